"""Plays targets of unequal and changing speed under the rules of placement."""

import random
from collections import deque
from typing import NamedTuple

from peridotrill.clock import ManualClock
from peridotrill.gateway.admission_queue import Reservation
from peridotrill.gateway.completion_estimate import usual_slowness
from peridotrill.gateway.engine_speed import EngineSpeeds
from peridotrill.gateway.load_tracker import LoadTracker
from peridotrill.gateway.prompt_placement import (
    EngineLoads,
    Loads,
    PrefillLimits,
    choose_decode,
    choose_least_loaded,
    choose_prefill_engine,
)
from peridotrill.gateway.report_timing import report_interval_s
from peridotrill.gateway.reported_slowness import ReportedSlowness
from peridotrill.gateway.targets import TargetRole
from tests.gateway_builders import advance, prompt, target

_STEP_S = 0.004
_LIMITS = PrefillLimits(240, 60, 4, 12)
# Results of the first seconds are left out, in which speeds are learnt.
_LEARNING_S = 10


class Result(NamedTuple):
    """What callers and targets saw after the first seconds."""

    mean_ms: float
    p95_ms: float
    # Requests served in the play, by target.
    served: dict
    # Longest of the targets' mean times to work off what they hold, relative to
    # the mean of all targets.
    busiest: float


class _Job:
    def __init__(self, arrived_s, work_s):
        self.arrived_s = arrived_s
        self.work_s = work_s
        self.left_s = work_s


class _Machine:
    """A target that works on its jobs together, or on one after the other."""

    def __init__(self, record, speed, parallel):
        self.record = record
        self.speed = speed
        # Number of jobs that do not delay each other.
        self.parallel = parallel
        self.is_serial = record.role is TargetRole.PREFILL
        self.jobs = deque()
        self.slow_until_s = 0.0
        self.backlog_s = 0.0
        self.served = 0

    def slowness_now(self, now_s):
        return 2.5 if now_s < self.slow_until_s else 1.0

    def work(self, now_s):
        """Work for one step; return the jobs that end."""
        rate = self.speed / self.slowness_now(now_s) * _STEP_S
        ended = []
        if self.is_serial:
            while self.jobs and rate > 0:
                job = self.jobs[0]
                done_s = min(rate, job.left_s)
                job.left_s -= done_s
                rate -= done_s
                if job.left_s <= 0:
                    ended.append(self.jobs.popleft())
            return ended
        share = rate * min(1, self.parallel / max(1, len(self.jobs)))
        for job in list(self.jobs):
            job.left_s -= share
            if job.left_s <= 0:
                self.jobs.remove(job)
                ended.append(job)
        return ended


class Play:
    """Requests at machines of different speeds."""

    def __init__(
        self,
        speeds,
        rule,
        role=None,
        slots=6,
        parallel=3,
        work_s=0.06,
        slow_periods=False,
        seed=1,
    ):
        """:param rule: ``learnt``, or ``equal`` for the rule without speeds.

        :param parallel: jobs that a machine does without delaying each other.

        :param slow_periods: whether machines are 2.5 times slower for some
            hundred milliseconds at a time.
        """
        self.random = random.Random(seed)
        self.clock = ManualClock()
        advance(self.clock, 100)
        self.reported = ReportedSlowness(self.clock)
        self.speeds = EngineSpeeds(self.clock, self.reported)
        self.is_learning = rule == 'learnt'
        self.machines = {
            f'i-{n}': _Machine(
                target(f'i-{n}', role, slots=slots), speed, parallel
            )
            for n, speed in enumerate(speeds)
        }
        self.role = role
        self.work_s = work_s
        self.slow_periods = slow_periods
        self.waiting = deque()
        self.times_ms = []
        # Slowness that machines state wrongly, by name.
        self.wrong = {}

    @property
    def slowness(self):
        return self.speeds.slowness if self.is_learning else usual_slowness

    def choose(self, job):
        free = [
            row.record
            for row in self.machines.values()
            if len(row.jobs) < row.record.slots
        ]
        loads = Loads(
            lambda name: len(self.machines[name].jobs),
            lambda name: False,
            self.slowness,
        )
        if self.role is TargetRole.PREFILL:
            return self.choose_prefill(free, job)
        if self.role is TargetRole.DECODE:
            return choose_decode(free, loads, 'a', lambda name: False)
        return choose_least_loaded(free, loads, 'a')

    def choose_prefill(self, free, job):
        found = choose_prefill_engine(
            prompt(0, round(job.work_s * 1000 * 100), None),
            free,
            EngineLoads(
                lambda name: (
                    1000 * sum(row.left_s for row in self.machines[name].jobs)
                ),
                lambda name: 0,
                lambda name: False,
                lambda name, part: False,
                slowness=self.slowness,
            ),
            _LIMITS,
            is_cached_anywhere=False,
        )
        return None if found is None else found.target

    def run(self, utilisation, duration_s):
        """Play with a part of the capacity of all machines; return the result."""
        capacity = sum(
            row.speed * (1 if row.is_serial else row.parallel)
            for row in self.machines.values()
        )
        per_step = utilisation * capacity / self.work_s * _STEP_S
        begin_s = self.clock.monotonic_s() + _LEARNING_S
        end_s = begin_s + duration_s
        steps = 0
        while (now_s := self.clock.monotonic_s()) < end_s:
            if now_s < begin_s:
                self.times_ms.clear()
            steps += now_s >= begin_s
            self.step(now_s, per_step, now_s >= begin_s)
            advance(self.clock, _STEP_S)
        return self.result(steps)

    def restart(self, name, speed):
        """Replace a machine by one of another speed; its jobs go on."""
        machine = self.machines[name]
        machine.record = machine.record._replace(
            started_ms=machine.record.started_ms + 1
        )
        machine.speed = speed
        self.speeds.forget(name)
        self.reported.forget(name)

    def step(self, now_s, per_step, is_counted):
        arrivals = int(per_step) + (self.random.random() < per_step % 1)
        for _ in range(arrivals):
            work_s = self.work_s * self.random.uniform(0.5, 1.5)
            self.waiting.append(_Job(now_s, work_s))
        while self.waiting:
            chosen = self.choose(self.waiting[0])
            if chosen is None:
                break
            job = self.waiting.popleft()
            job.sent_s = now_s
            machine = self.machines[chosen.target_id]
            job.ahead_s = sum(row.left_s for row in machine.jobs)
            machine.jobs.append(job)
        for machine in self.machines.values():
            self.serve(machine, now_s, is_counted)

    def serve(self, machine, now_s, is_counted):
        if self.slow_periods and self.random.random() < _STEP_S / 1.5:
            machine.slow_until_s = now_s + self.random.uniform(0.2, 0.5)
        for job in machine.work(now_s):
            ended_s = now_s + _STEP_S
            self.times_ms.append((ended_s - job.arrived_s) * 1000)
            machine.served += is_counted
            self.learn(machine, job, ended_s)
        if is_counted:
            left_s = sum(job.left_s for job in machine.jobs)
            machine.backlog_s += left_s / machine.speed

    def learn(self, machine, job, ended_s):
        name = machine.record.target_id
        stated = self.wrong.get(name, machine.slowness_now(ended_s))
        self.reported.observe(name, stated)
        expected_s = job.work_s + (job.ahead_s if machine.is_serial else 0)
        self.speeds.record(
            machine.record,
            'work',
            (ended_s - job.sent_s) * 1000,
            expected_s * 1000,
        )

    def result(self, steps):
        times = sorted(self.times_ms)
        backlogs = [row.backlog_s / steps for row in self.machines.values()]
        return Result(
            sum(times) / len(times),
            times[len(times) * 95 // 100],
            {name: row.served for name, row in self.machines.items()},
            max(backlogs) / (sum(backlogs) / len(backlogs)),
        )


class FleetPlay(Play):
    """Requests of several gateways, which know each other's from reports."""

    def __init__(self, gateways, speeds, rule, **options):
        """:param gateways: their number, in three zones like the machines."""
        super().__init__(speeds, rule, **options)
        self.trackers = [LoadTracker(self.clock) for _ in range(gateways)]
        self.queues = [deque() for _ in range(gateways)]
        self.interval_s = report_interval_s(gateways - 1)
        begin_s = self.clock.monotonic_s()
        self.due_s = [
            begin_s + self.random.uniform(0, self.interval_s)
            for _ in range(gateways)
        ]
        for number, machine in enumerate(self.machines.values()):
            machine.record = machine.record._replace(zone=f'z{number % 3}')
        # Requests, and those that met a machine without a free slot.
        self.sent = 0
        self.shed = 0

    def step(self, now_s, per_step, is_counted):
        arrivals = int(per_step) + (self.random.random() < per_step % 1)
        for _ in range(arrivals):
            work_s = self.work_s * self.random.uniform(0.5, 1.5)
            self.random.choice(self.queues).append(_Job(now_s, work_s))
        for number, queue in enumerate(self.queues):
            while queue and self.send(number, queue[0], now_s):
                queue.popleft()
            if now_s >= self.due_s[number]:
                self.due_s[number] += self.interval_s
                self.report(number)
        for machine in self.machines.values():
            self.serve(machine, now_s, is_counted)

    def send(self, number, job, now_s):
        tracker = self.trackers[number]
        free = [
            row.record
            for name, row in self.machines.items()
            if tracker.total(name) < row.record.slots
        ]
        loads = Loads(tracker.total, lambda name: False, self.slowness)
        chosen = choose_least_loaded(free, loads, f'z{number % 3}')
        if chosen is None:
            return False
        machine = self.machines[chosen.target_id]
        job.sent_s, job.ahead_s = now_s, 0
        job.tracker, job.reservation = tracker, Reservation(chosen, 1)
        tracker.begin(job.reservation)
        self.sent += 1
        self.shed += len(machine.jobs) >= chosen.slots
        machine.jobs.append(job)
        return True

    def report(self, number):
        work = dict(self.trackers[number].local_totals())
        for other, tracker in enumerate(self.trackers):
            if other != number:
                tracker.observe_peer(str(number), work)
        self.trackers[number].end_report_interval()

    def learn(self, machine, job, ended_s):
        job.tracker.end(job.reservation)
        job.tracker.observe_target(machine.record.target_id, len(machine.jobs))
        super().learn(machine, job, ended_s)
