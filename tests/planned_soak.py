"""Soak test of planned work: signals and configurations that overlap.

No process is killed or frozen, no link is cut and no engine fails, so each
request that a gateway has read gets a complete response.
"""

import asyncio
import random
import subprocess
import threading
import time
from collections import Counter
from pathlib import Path
from typing import NamedTuple

from peridotrill.codec import encode_json
from standins.platform_engine import ScriptedEngine
from tests.gateway_builders import configuration_document, route_row
from tests.gateway_site import CONFIG_TOPIC, SIGHUP, SIGTERM, run_site
from tests.kept_callers import (
    DEADLINE_MS,
    EVENT_INTERVAL_S,
    STREAM_KINDS,
    Callers,
)
from tests.soak_checks import (
    AT_MOST_ONCE_KINDS,
    find_exit_faults,
    find_recovery_faults,
    find_run_faults,
    find_usage_faults,
)

# Seeds that have failed, each with the cause.
PLANNED_REGRESSION_SEEDS = {
    1: 'a second signal ended a process that was starting or draining',
    2: 'a request on a kept connection began too late in the drain to end',
    5: 'a signal ended a process that was leaving after its drain',
    13: 'SIGTERM while a process started: it ran longer than its grace period',
}
# Bounds of the platform: ``grace-s``, ``lost-ms``, ``drain-ms``, and
# ``config-ms`` with the second that the platform adds.
GRACE_S = 6
LOST_S = 0.2
DRAIN_S = 2.0
CONFIG_S = 3.0
# A request that was sent until LATE_SENT_S after SIGTERM may be cut if its
# engine still works on it in the last sixth of the grace period.
LATE_WORK_S = GRACE_S * 5 / 6
LATE_SENT_S = 3.0
POLL_S = 0.1
# Tolerance of measured times.
SLACK_S = 0.1
# Before its deadline, a request is no longer queued for this long: its
# output would take longer.
QUEUE_MARGIN_S = 0.4
# An engine that is delayed for longer may seem silent to a gateway.
MAX_DELAY_S = 0.2
TIMEOUT_MS = 8000
# ``header-timeout-ms`` of the configurations.
HEADER_TIMEOUT_S = 0.5
GATEWAYS = 3
CALLERS = 18
LARGE_CALLERS = 48
DURATION_S = 20.0
# Seeds with this factor play a site of 24 gateways and 40 engines.
LARGE_INTERVAL = 10
LARGE_SCALE = 8
# An engine is back this long after it began to drain.
LEAVE_INTERVAL_S = 9.0
# After SIGTERM, a gateway closes idle connections and refuses what may last
# longer than itself at CLOSE_S, and ends what is still in progress at STOP_S.
CLOSE_S = 2.6
STOP_S = GRACE_S - 0.9
# ``goal-ms`` of the routes.
GOAL_S = 0.5
REASONS_AT_START = (b'configuration_unknown', b'configuration_stale')


class TimedEngine(ScriptedEngine):
    """An engine whose streams have as many events as the request asks for."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        # Name and time of each request that arrived, and when it ended.
        self.arrivals = []
        self.ends_s = {}
        self.running = 0

    def record(self, address, state='ready', **changes):
        return super().record(address, state, **{'slots': 32, **changes})

    async def handle(self, request, responder):
        """Handle one request."""
        if request.target.startswith(b'/-/'):
            await super().handle(request, responder)
            return
        fields = dict(request.headers)
        name = fields[b'x-peridotrill-request-id'].decode()
        self.arrivals.append((name, time.monotonic()))
        self.running += 1
        try:
            await super().handle(request, responder)
        finally:
            self.running -= 1
            self.ends_s[name] = time.monotonic()

    async def _stream(self, fault, headers, response_headers, responder):
        first = int(headers.get('last-event-id', '0')) + 1
        responder.start_stream(200, response_headers)
        for number in range(first, int(headers['x-soak-events']) + 1):
            responder.send_chunk(_event(number))
            await asyncio.sleep(EVENT_INTERVAL_S)
        responder.end_stream()


def _event(number):
    return f'id: {number}\ndata: token {number}\n\n'.encode()


def create_engines(scale):
    """Return five engines, or a multiple of them."""
    engines = []
    for number in range(1, 2 * scale + 1):
        zone = 'ab'[number % 2]
        engines.append(TimedEngine(f'i-till-{number}', 'till', zone))
        engines.append(TimedEngine(f'i-dec-{number}', 'llm', zone, 'decode'))
        if number <= scale:
            name = f'i-pre-{number}'
            engines.append(TimedEngine(name, 'llm', zone, 'prefill'))
    return engines


class Change(NamedTuple):
    """What a configuration changes."""

    has_spare_route: bool = True
    timeout_ms: int = TIMEOUT_MS
    idle_timeout_ms: int = 5000


class Publish(NamedTuple):
    """A new configuration."""

    at_s: float
    change: Change


class Leave(NamedTuple):
    """An engine drains, ends and is started again."""

    at_s: float
    engine: str


class Signals(NamedTuple):
    """Signals to one process, and to the one that replaces it.

    Signals are pairs of a time after the first one, and a number;
    ``after_start_s`` lists times of SIGHUP after the start of the new process.
    """

    at_s: float
    node: str
    signals: tuple
    after_start_s: tuple = ()


class Plan:
    """The steps of a seed, which depend on nothing else."""

    def __init__(self, seed, nodes, engines, duration_s):
        """Plan the steps of a run.

        :param engines: names of the engines that may leave.
        """
        self._random = random.Random(f'planned {seed}')
        self._nodes = nodes
        self._engines = engines
        self._busy_until_s = {}
        self.steps = []
        at_s = 0.5
        while at_s < duration_s:
            self._add(at_s)
            at_s += self._random.uniform(0.1, 1.5)
        self.steps.sort(key=lambda step: step.at_s)

    def _add(self, at_s):
        add = self._random.choice(
            (
                self._terminate,
                self._terminate,
                self._terminate_several,
                self._terminate_with_engine,
                self._reload,
                self._publish,
                self._publish,
            ),
        )
        add(at_s)

    def _terminate_several(self, at_s):
        # More starts at once would take longer than the recovery time.
        count = self._random.randint(2, max(3, len(self._nodes) // 3))
        for node in self._random.sample(self._nodes, count):
            self._terminate(at_s + self._random.choice((0, 0.2)), node)

    def _terminate_with_engine(self, at_s):
        engine = self._random.choice(self._engines)
        if at_s >= self._busy_until_s.get(engine, 0):
            self._busy_until_s[engine] = at_s + LEAVE_INTERVAL_S
            self.steps.append(Leave(at_s, engine))
        self._terminate(at_s + self._random.choice((0, 0, 0.01, 1, 2)))

    def _terminate(self, at_s, node=None):
        choose = self._random
        signals = [(0, SIGTERM)]
        if choose.random() < 0.3:
            signals.insert(0, (0, SIGHUP))
        if choose.random() < 0.3:
            signals.append((choose.uniform(0, 0.01), SIGTERM))
        for _ in range(choose.randint(0, 3)):
            number = choose.choice((SIGHUP, SIGHUP, SIGTERM))
            signals.append((choose.uniform(0, GRACE_S - 0.5), number))
        starts = [
            choose.uniform(*choose.choice(((0, 0.1), (0.1, 1.5))))
            for _ in range(choose.randint(0, 2))
        ]
        self.steps.append(
            Signals(
                at_s,
                node or choose.choice(self._nodes),
                tuple(sorted(signals, key=lambda row: row[0])),
                tuple(sorted(starts)),
            ),
        )

    def _reload(self, at_s):
        choose = self._random
        offsets = sorted(choose.uniform(0, 0.5) for _ in range(3))
        signals = tuple((offset_s, SIGHUP) for offset_s in offsets)
        for node in choose.sample(self._nodes, choose.randint(1, 2)):
            self.steps.append(Signals(at_s, node, signals))

    def _publish(self, at_s):
        for _ in range(self._random.randint(1, 4)):
            change = Change(
                self._random.random() < 0.5,
                self._random.choice((TIMEOUT_MS, TIMEOUT_MS, 2500, 700)),
                self._random.choice((5000, 1000, 300)),
            )
            self.steps.append(Publish(at_s, change))
            at_s += self._random.uniform(0, 0.4)


class PlannedSoak:
    """One run: callers, planned work and observed outcomes."""

    def __init__(self, site, seed, nodes, duration_s):
        """:param nodes: names of the gateways."""
        self._duration_s = duration_s
        self.site = site
        self.counts = Counter()
        self._nodes = nodes
        # Half of the engines stay, so that each request finds a target.
        leaving = [
            name
            for name in site.engines
            if int(name.rpartition('-')[2]) % 2 == 0
        ]
        self._plan = Plan(seed, nodes, leaving, duration_s)
        self._callers = Callers(seed, site.gateways)
        self._violations = []
        self._version = 1
        # When each configuration was published.
        self._published = []
        # Engine, and the span in which no request may arrive at it.
        self._left = []
        # When each process, named by node and start, was ready.
        self._ready_s = {}
        # Of requests without a response: when they ended, and what is known.
        self._notes = []
        self._threads = []
        self._is_over = threading.Event()
        self._start_s = 0

    def run(self):
        """Return the violations."""
        self._publish(Change())
        bounds = {'window-s': 2, 'grace-s': GRACE_S}
        self.site.start_gateways(*self._nodes, **bounds)
        supervisors = [
            threading.Thread(
                target=self._supervise, args=(gateway,), daemon=True
            )
            for gateway in self.site.gateways.values()
        ]
        for supervisor in supervisors:
            supervisor.start()
        self._start_s = time.monotonic()
        calling = self.site.portal.start_task_soon(
            self._callers.run,
            CALLERS if len(self._nodes) == GATEWAYS else LARGE_CALLERS,
            self._duration_s + 2,
        )
        for step in self._plan.steps:
            time.sleep(
                max(0, self._start_s + step.at_s - time.monotonic()),
            )
            self._take(step)
        calling.result()
        for thread in self._threads:
            thread.join()
        self._publish(Change())
        outcomes = {
            row.name: (row.kind, row.status if row.is_complete else row.error)
            for row in self._callers.sent
        }
        self._violations += find_recovery_faults(self.site)
        self._is_over.set()
        for supervisor in supervisors:
            supervisor.join()
        self._check_requests()
        self._check_drains()
        self._violations += find_run_faults(self.site, outcomes)
        self._violations += find_usage_faults(self.site)
        self._violations += find_exit_faults(self.site)
        return self._violations

    def summary(self):
        """Return numbers of requests by outcome, and of planned steps."""
        gateways = self.site.gateways.values()
        return {
            **self.counts,
            'signals': sum(len(gateway.signals) for gateway in gateways),
            'ended processes': sum(len(gateway.exits) for gateway in gateways),
            'refused connections': self._callers.refused,
            'delay_ms': round(1000 * self._callers.longest_delay_s),
        }

    def time_line(self):
        """Return signals, ends of processes and lost or crossed requests."""
        rows = list(self._notes)
        for gateway in self.site.gateways.values():
            rows += (
                (row.sent_s, f'{gateway.node} {row.pid} {row.number!r}')
                for row in gateway.signals
            )
            rows += (
                (row.ended_s, f'{gateway.node} {row.pid} ended: {row.status}')
                for row in gateway.exits
            )
        return [f'{self._time(at_s)} {text}' for at_s, text in sorted(rows)]

    # Steps of the plan.

    def _take(self, step):
        if isinstance(step, Publish):
            self._publish(step.change)
            return
        action = self._leave if isinstance(step, Leave) else self._signal
        thread = threading.Thread(target=action, args=(step,))
        thread.start()
        self._threads.append(thread)

    def _publish(self, change):
        self._version += 1
        content = configuration_document(self._version)
        if change.has_spare_route:
            spare = route_row('spare', 'non_idempotent', 'till')
            content['routes'].append(spare)
        for route in content['routes']:
            route['timeout-ms'] = change.timeout_ms
        content['limits']['idle-timeout-ms'] = change.idle_timeout_ms
        self._published.append((time.monotonic(), change))
        put = self.site.store.put
        self.site.portal.call(put, CONFIG_TOPIC, 'config', encode_json(content))

    def _leave(self, step):
        """Let an engine end as soon as it has drained."""
        engine = self.site.engines[step.engine]
        self.site.register(step.engine, state='draining')
        time.sleep(DRAIN_S + SLACK_S)
        drained_s = time.monotonic()
        while engine.running:
            time.sleep(0.02)
        self.site.remove(step.engine)
        time.sleep(0.3)
        self._left.append((engine, drained_s, time.monotonic()))
        self.site.portal.call(engine.crashed.set)

    def _signal(self, step):
        gateway = self.site.gateways[step.node]
        process = gateway.process
        terminated_s = None
        for offset_s, number in step.signals:
            _wait_for_end(process, self._start_s + step.at_s + offset_s)
            gateway.signal(number, process)
            if number == SIGTERM and terminated_s is None:
                terminated_s = time.monotonic()
        if terminated_s is None:
            return
        if not _wait_for_end(process, terminated_s + GRACE_S + SLACK_S):
            self._violations.append(
                f'{step.node}: process {process.pid} runs longer than its '
                f'grace period after SIGTERM at {self._time(terminated_s)}'
            )
            process.kill()
        process.wait()
        while gateway.process is process:
            time.sleep(0.002)
        process = gateway.process
        for offset_s in step.after_start_s:
            _wait_for_end(process, gateway.starts_s[-1] + offset_s)
            gateway.signal(SIGHUP, process)

    def _supervise(self, gateway):
        """Record when a process is ready; start it again when it ends."""
        while not self._is_over.is_set():
            if _wait_for_end(gateway.process, time.monotonic() + POLL_S):
                gateway.start_after(gateway.process)
                continue
            started = (gateway.node, gateway.starts_s[-1])
            if started not in self._ready_s and gateway.is_ready():
                self._ready_s[started] = time.monotonic()

    # Checks at the end of the run.

    def _time(self, at_s):
        return f'{at_s - self._start_s:.3f}'

    def _check_drains(self):
        for engine, drained_s, ended_s in self._left:
            self._violations += (
                f'{name}: sent to {engine.target_id} at {self._time(at_s)}, '
                f'which drained until {self._time(drained_s)}'
                for name, at_s in engine.arrivals
                if drained_s < at_s < ended_s
            )

    def _check_requests(self):
        arrivals = {}
        for engine in self.site.engines.values():
            for name, at_s in engine.arrivals:
                arrivals.setdefault(name, []).append((at_s, engine))
        for row in self._callers.sent:
            arrived = sorted(
                arrivals.get(row.name, ()), key=lambda arrival: arrival[0]
            )
            fault = self._find_fault(row, arrived)
            text = self._describe(row, fault or 'allowed', arrived)
            if fault:
                self._violations.append(text)
            if fault or not row.is_complete:
                self._notes.append((row.ended_s, text))

    def _describe(self, row, fault, arrived):
        engines = ', '.join(
            f'{engine.target_id} at {self._time(at_s)}'
            for at_s, engine in arrived
        )
        return (
            f'{row.name} ({row.kind}, {row.node}): {fault}; '
            f'last byte sent at {self._time(row.last_s)}, '
            f'ended at {self._time(row.ended_s)}, '
            f'connected at {self._time(row.opened_s)}, '
            f'{row.earlier} requests before; '
            f'engines: {engines or "none"}; {row.error}'
        )

    def _find_fault(self, row, arrived):
        """Return why the outcome of a request is wrong, or an empty string."""
        if row.is_complete:
            self.counts[str(row.status)] += 1
            return self._find_response_fault(row)
        if not row.last_s:
            # The connection broke before the whole request was sent.
            return ''
        lost_s = LOST_S + self._callers.delay_s(row.last_s, row.ended_s)
        if not arrived and row.ended_s - row.last_s < lost_s:
            first = '' if row.earlier else ', first of its connection'
            self.counts[f'crossed a close{first}'] += 1
            return ''
        if self._is_late(row) or self._is_late_work(row, arrived):
            self.counts['cut at a deadline'] += 1
            return ''
        self.counts['lost'] += 1
        return 'lost'

    def _find_response_fault(self, row):
        if row.status == 200:
            expected = f'answer to {row.name}'.encode()
            if row.kind in STREAM_KINDS:
                expected = b''.join(map(_event, range(1, row.events + 1)))
            return '' if row.body == expected else f'body {row.body!r}'
        took_s = row.ended_s - row.first_s
        is_explained = (
            (row.status >= 500 and self._is_late(row, QUEUE_MARGIN_S))
            # The engines run in the same event loop.
            or (row.status >= 500 and self._was_delayed(row))
            or (row.status == 503 and self._is_starting(row))
            or (row.status in {502, 503} and self._is_stopping(row))
            or (row.status == 404 and self._may_lack_route(row))
            or (row.status == 408 and took_s > HEADER_TIMEOUT_S - SLACK_S)
        )
        return '' if is_explained else f'status {row.status} {row.body!r}'

    def _is_late(self, row, margin_s=SLACK_S):
        """Tell whether the deadline or the time-out of the route had passed."""
        times_ms = [change.timeout_ms for change in self._changes(row)]
        limit_s = min(DEADLINE_MS, *times_ms) / 1000
        return row.ended_s - row.first_s > limit_s - margin_s

    def _is_late_work(self, row, arrived):
        """Tell whether the engine worked at the end of the grace period."""
        gateway = self.site.gateways[row.node]
        return any(
            engine.ends_s.get(row.name, row.ended_s)
            > signal.sent_s + LATE_WORK_S
            for signal in gateway.signals
            for _, engine in arrived
            if signal.number == SIGTERM
            and signal.sent_s < row.ended_s
            and row.last_s < signal.sent_s + LATE_SENT_S
        )

    def _was_delayed(self, row):
        """Tell whether engines may have seemed silent for lack of CPU time."""
        delay_s = self._callers.delay_s(row.first_s, row.ended_s)
        return delay_s > MAX_DELAY_S

    def _is_starting(self, row):
        """Tell whether the gateway had not become ready yet."""
        start_s = max(
            start_s
            for start_s in self.site.gateways[row.node].starts_s
            if start_s < row.ended_s
        )
        ready_s = self._ready_s.get((row.node, start_s), row.ended_s)
        is_known = any(reason in row.body for reason in REASONS_AT_START)
        return is_known and row.ended_s <= ready_s

    def _is_stopping(self, row):
        """Tell whether the request could have lasted longer than its gateway.

        It is refused then, unless it was sent to an engine before. A request
        that may not be repeated is judged by its deadline, as a stream is.
        """
        is_brief = row.kind not in STREAM_KINDS | AT_MOST_ONCE_KINDS
        delay_s = STOP_S - GOAL_S if is_brief else CLOSE_S
        return b'gateway_stopping' in row.body and any(
            delay_s < row.ended_s - signal.sent_s < GRACE_S
            for signal in self.site.gateways[row.node].signals
            if signal.number == SIGTERM
        )

    def _may_lack_route(self, row):
        return row.kind == 'spare' and not all(
            change.has_spare_route for change in self._changes(row)
        )

    def _changes(self, row):
        """Return the configurations that may be in force for a request."""
        until = [
            change
            for at_s, change in self._published
            if at_s + CONFIG_S < row.first_s
        ]
        return until[-1:] + [
            change
            for at_s, change in self._published
            if row.first_s - CONFIG_S <= at_s < row.ended_s
        ]


def _wait_for_end(process, until_s):
    """Wait for a process; return whether it has ended by then."""
    try:
        process.wait(max(0, until_s - time.monotonic()))
    except subprocess.TimeoutExpired:
        return False
    return True


def run_planned_seed(seed, folder, duration_s=DURATION_S):
    """Run a seed; return the violations, a summary and the time line."""
    scale = 1 if seed % LARGE_INTERVAL else LARGE_SCALE
    nodes = [f'front-a-{number + 1}' for number in range(GATEWAYS * scale)]
    with run_site(Path(folder), create_engines(scale)) as site:
        soak = PlannedSoak(site, seed, nodes, duration_s)
        return soak.run(), soak.summary(), soak.time_line()
