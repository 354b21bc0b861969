"""Simulation of one queue and its targets under more load than they can serve.

Time advances in steps; nothing waits for the system clock.
"""

import asyncio
import random
from typing import NamedTuple

from peridotrill.clock import ManualClock
from peridotrill.fair_queue import QueueBounds
from peridotrill.gateway.admission_queue import (
    AdmissionQueue,
    Reservation,
    ReservationRequest,
)
from tests.gateway_builders import advance, target

STEP_S = 0.01
SLOTS = 10


class Kind(NamedTuple):
    """A kind of request; its work is ``mean_s`` of one slot on average."""

    name: str
    priority: int
    goal_s: float
    deadline_s: float
    mean_s: float
    load: float = 0.2
    teams: tuple[str, ...] = ('a', 'b', 'c')


# Together 0.8 of the capacity.
KINDS = (
    Kind('chat', 0, 0.4, 2, 0.05),
    Kind('search', 1, 0.8, 4, 0.1),
    Kind('report', 1, 1.5, 6, 0.4),
    Kind('batch', 2, 3, 10, 0.1),
)


class Phase(NamedTuple):
    """A span of time; ``factors`` multiply the load of kinds."""

    duration_s: float
    factors: dict[str, float] = {}
    speed: float = 1


class Outcome(NamedTuple):
    """What became of one request; ``size`` is its rank in its kind, 0 to 1."""

    kind: str
    team: str
    work_s: float
    waited_s: float
    is_served: bool
    is_in_goal: bool
    deadline_s: float


class StrictPriority:
    """The rule without load shedding: nothing that waits is turned away."""

    totals = {}

    def is_review_due(self, waiting):
        return False

    def mark_late(self, request):
        return request._replace(is_late=True)

    def make_place(self, newcomer, waiting):
        return []

    def next_protected(self, waiting):
        return None

    def ignore(self, *args, **kwargs):
        """Keep no records."""

    record_arrival = record_outcome = record_grant = reset = ignore


class DistortedRate:
    """A service rate that is measured wrongly by a factor."""

    def __init__(self, rate, factor):
        self._rate, self._factor = rate, factor
        self.served, self.idle = rate.served, rate.idle

    @property
    def tokens_per_s(self):
        rate = self._rate.tokens_per_s
        return None if rate is None else rate * self._factor

    def current(self, now_s):
        rate = self._rate.current(now_s)
        return None if rate is None else rate * self._factor


class Simulation:
    """A queue and ``SLOTS`` slots that take requests of several kinds."""

    def __init__(self, shedder=None, seed=1, rate_factor=1, max_requests=400):
        self.clock = ManualClock()
        self.random = random.Random(seed)
        self.speed = 1
        self.left_s = []
        self.displacements = []
        self.outcomes = []
        self._tasks = []
        self.queue = AdmissionQueue(
            self.clock,
            QueueBounds(max_requests, 1),
            self._on_grant,
            self._on_release,
            shedder=shedder,
        )
        self.queue._queue._rate = DistortedRate(
            self.queue._queue._rate, rate_factor
        )

    def run(self, phases, kinds=KINDS):
        """Play the phases, and then wait until all requests have ended."""
        asyncio.run(self._run(phases, kinds))
        return self

    async def _run(self, phases, kinds):
        for phase in phases:
            self.speed = phase.speed
            for _ in range(round(phase.duration_s / STEP_S)):
                for kind in kinds:
                    self._arrive(kind, phase.factors.get(kind.name, 1))
                await self._step()
        self.speed = 1
        while not all(task.done() for task in self._tasks):
            await self._step()
        await asyncio.gather(*self._tasks)

    def _arrive(self, kind, factor):
        rate = SLOTS * kind.load * factor / kind.mean_s
        mean = rate * STEP_S
        while mean > 0:
            if self.random.random() < mean:
                # The largest tenth of a kind has over 1.9 times its mean work.
                work_s = kind.mean_s * (0.4 + self.random.expovariate(1 / 0.6))
                team = self.random.choice(kind.teams)
                self._tasks.append(
                    asyncio.create_task(self._send(kind, team, work_s))
                )
            mean -= 1

    async def _send(self, kind, team, work_s):
        now_s = self.clock.monotonic_s()
        goal_s = kind.goal_s - kind.mean_s
        deadline_s = kind.deadline_s - work_s
        reservation = await self.queue.acquire(
            ReservationRequest(
                lambda: self._find(work_s),
                team,
                kind.priority,
                work_s * 1000,
                now_s + goal_s,
                now_s + deadline_s,
                kind.name,
                is_displaceable=True,
                on_displaced=self.displacements.append,
            )
        )
        waited_s = self.clock.monotonic_s() - now_s
        self.outcomes.append(
            Outcome(
                kind.name,
                team,
                work_s,
                waited_s,
                reservation is not None,
                reservation is not None and waited_s <= goal_s,
                kind.deadline_s,
            )
        )

    def _find(self, work_s):
        if len(self.left_s) < SLOTS:
            return Reservation(target(), prefill_ms=work_s)
        return None

    def _on_grant(self, reservation):
        self.left_s.append(reservation.prefill_ms)

    def _on_release(self, reservation):
        self.left_s.remove(reservation.prefill_ms)

    async def _step(self):
        advance(self.clock, STEP_S)
        done_s = STEP_S * self.speed
        self.left_s = [left - done_s for left in self.left_s if left > done_s]
        self.queue.dispatch()
        for _ in range(3):
            await asyncio.sleep(0)


class Summary(NamedTuple):
    """Shares of some requests, and how soon they were refused.

    ``refused_after`` is the mean time, as a part of the time to the deadline.
    """

    requests: int
    in_goal: float
    late: float
    refused: float
    refused_after: float

    @property
    def served(self):
        return self.in_goal + self.late


def summarize(outcomes):
    count = max(1, len(outcomes))
    refused = [row for row in outcomes if not row.is_served]
    in_goal = sum(row.is_in_goal for row in outcomes)
    return Summary(
        len(outcomes),
        in_goal / count,
        (len(outcomes) - len(refused) - in_goal) / count,
        len(refused) / count,
        sum(row.waited_s / row.deadline_s for row in refused)
        / max(1, len(refused)),
    )


def by_kind(outcomes):
    names = sorted({row.kind for row in outcomes})
    return {
        name: summarize([row for row in outcomes if row.kind == name])
        for name in names
    }


def by_size(outcomes):
    """Summarize the largest tenth of each kind, the fifth below, and the rest."""
    groups = ([], [], [])
    for name in {row.kind for row in outcomes}:
        rows = sorted(
            (row for row in outcomes if row.kind == name),
            key=lambda row: -row.work_s,
        )
        for rank, row in enumerate(rows):
            size = 0 if rank < len(rows) * 0.1 else 1
            groups[2 if rank >= len(rows) * 0.3 else size].append(row)
    return tuple(summarize(group) for group in groups)


def by_team(outcomes):
    return {
        team: summarize([row for row in outcomes if row.team == team])
        for team in sorted({row.team for row in outcomes})
    }


def alternating_bursts(total):
    """Return bursts of each kind in turn, up to a load of all requests.

    :param total: load in a burst, as a multiple of the capacity.
    """
    phases = [Phase(1)]
    for kind in KINDS:
        others = sum(row.load for row in KINDS) - kind.load
        factor = (total - others) / kind.load
        phases += [Phase(4, {kind.name: factor}), Phase(1.5)]
    return phases


def all_burst(total, duration_s=12):
    """Return a burst of all kinds together."""
    factor = total / sum(kind.load for kind in KINDS)
    return [Phase(1), Phase(duration_s, {row.name: factor for row in KINDS})]


FLOODED = (
    Kind('search', 1, 0.8, 4, 0.1, 0.3, ('calm', 'quiet')),
    Kind('flood', 1, 0.8, 4, 0.1, 0.2, ('loud',)),
)
FLOOD = [Phase(1), Phase(8, {'flood': 15})]
SLOW_ENGINES = [
    Phase(2),
    Phase(6, {}, 0.4),
    Phase(4),
]

CROWD = (
    Kind('chat', 0, 0.4, 2, 0.05, 0.3),
    Kind('batch', 2, 3, 10, 0.05, 0.3),
)
FULL_QUEUE = [Phase(1), Phase(10, {'batch': 12}), Phase(2)]

LOADS = {
    'bursts of 1.5': (alternating_bursts(1.5), KINDS),
    'bursts of 2': (alternating_bursts(2), KINDS),
    'all 1.5': (all_burst(1.5), KINDS),
    'all 2': (all_burst(2), KINDS),
    'flood': (FLOOD, FLOODED),
    'full queue': (FULL_QUEUE, CROWD),
    'slow engines': (SLOW_ENGINES, KINDS),
}


def compare(name, seeds=(1, 2, 3), rate_factor=1):
    """Return the outcomes of both rules, all seeds together."""
    phases, kinds = LOADS[name]
    strict, shedding = [], []
    for seed in seeds:
        strict += (
            Simulation(StrictPriority(), seed, rate_factor)
            .run(phases, kinds)
            .outcomes
        )
        shedding += (
            Simulation(None, seed, rate_factor).run(phases, kinds).outcomes
        )
    return strict, shedding


def format_summary(summary):
    return (
        f'{summary.requests:5} in goal {summary.in_goal:.2f} '
        f'late {summary.late:.2f} refused {summary.refused:.2f} '
        f'after {summary.refused_after:.2f}'
    )


def main():
    for rate_factor in (1, 0.5, 2):
        for name in LOADS:
            print('==', name, 'rate', rate_factor)
            for label, rows in zip(
                ('strict', 'shed'), compare(name, (1, 2), rate_factor)
            ):
                print(label, 'all', format_summary(summarize(rows)))
                for part in (by_kind(rows), by_team(rows)):
                    for key, summary in part.items():
                        print('  ', f'{key:8}', format_summary(summary))
                print('   sizes', *(f'{x.served:.2f}' for x in by_size(rows)))


if __name__ == '__main__':
    main()
