from collections import Counter
from datetime import timedelta

import anyio
import httpx
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from peridotrill import usage
from peridotrill.clock import ManualClock
from peridotrill.codec import decode_json
from peridotrill.control_state import USAGE_LEASE, ControlState
from peridotrill.entry_background_tasks import (
    EntryBackgroundTasks,
    LogComponents,
)
from peridotrill.exceptions import LogUnavailable
from peridotrill.leases import DEFAULT_LEASE_TTL, Lease
from peridotrill.records import decode_record
from peridotrill.snapshots import SnapshotSettings
from peridotrill.timeline import Recorder
from peridotrill.usage import (
    UsageCounter,
    UsageReporter,
    UsageSettings,
    flush_usage,
)
from peridotrill.usage_windows import UsageFigure, UsageWindow
from tests.memory_log import MemoryLog

WINDOW = timedelta(seconds=60)
SETTINGS = UsageSettings(timedelta(seconds=5), WINDOW, timedelta(seconds=10))
ENTRY_INDEXES = st.integers(0, 1)


class _Platform:
    """Keeps the first figure of each team and window, as the platform does."""

    def __init__(self) -> None:
        self.figures: dict[tuple[str, int], dict] = {}
        self.conflicts = 0
        self.fault = ''

    def respond(self, request: httpx.Request) -> httpx.Response:
        if self.fault == 'down':
            raise httpx.ConnectError('down')
        body = decode_json(request.content)
        body.pop('epoch')
        key = body['team'], body['window_start_s']
        if self.figures.setdefault(key, body) != body:
            self.conflicts += 1
            return httpx.Response(409)
        if self.fault == 'lose_answer':
            raise httpx.ReadTimeout('lost')
        return httpx.Response(200, json={'accepted': True})


class _Entry:
    def __init__(self, name, clock, log, platform) -> None:
        self.state = ControlState()
        recorder = Recorder(name, clock)
        self.recorder = recorder
        self.counter_id = name
        self.counter = UsageCounter(name, name, WINDOW, self)
        self.clock = clock
        self.lease = Lease(
            USAGE_LEASE, name, DEFAULT_LEASE_TTL, self.state, clock, recorder
        )
        http = httpx.AsyncClient(
            transport=httpx.MockTransport(platform.respond)
        )
        self.reporter = UsageReporter(
            'http://platform',
            http,
            log,
            self.lease,
            self.state,
            self,
            SETTINGS,
            recorder,
            'e1',
        )

    def platform_time_s(self) -> float:
        return self.clock.monotonic_s()


class UsageMachine(RuleBasedStateMachine):
    """Guards against usage that is lost, counted twice or reported with two
    figures, under lost responses, outages and killed entries."""

    def __init__(self) -> None:
        super().__init__()
        self.clock = ManualClock()
        self.log = MemoryLog()
        self.platform = _Platform()
        self.started = 0
        self.counted = [0, 0]
        self.entries = [self._new_entry(), self._new_entry()]

    def _new_entry(self):
        self.started += 1
        return _Entry(f'e{self.started}', self.clock, self.log, self.platform)

    @rule(
        index=ENTRY_INDEXES,
        team=st.sampled_from('ab'),
        tokens=st.integers(0, 9),
    )
    def count(self, index, team, tokens):
        self.entries[index].counter.count(team, 1, tokens, 0)
        self.counted[index] += 1

    @rule(
        index=ENTRY_INDEXES, fault=st.sampled_from(['', 'down', 'lose_answer'])
    )
    def flush(self, index, fault):
        entry = self.entries[index]
        self.log.fault = fault
        anyio.run(flush_usage, entry.counter, self.log, entry.recorder)
        self.log.fault = ''
        if not fault:
            written = self.count_written_requests()
            assert written[entry.counter_id] == self.counted[index]

    @rule(
        index=ENTRY_INDEXES,
        log_fault=st.sampled_from(['', '', 'down', 'lose_answer']),
        fault=st.sampled_from(['', '', 'down', 'lose_answer']),
    )
    def report(self, index, log_fault, fault):
        entry = self.entries[index]
        self.log.read_into(entry.state)
        entry.lease.update_from_state()
        record = entry.lease.next_record()
        if record is not None:
            self.log.store(record)
            self.log.read_into(entry.state)
            entry.lease.update_from_state()
        self.log.fault, self.platform.fault = log_fault, fault
        anyio.run(entry.reporter.run_once)
        self.log.fault = self.platform.fault = ''

    @rule(duration_s=st.sampled_from([1, 7, 75]))
    def advance(self, duration_s):
        self.clock.advance(timedelta(seconds=duration_s))

    @rule(index=ENTRY_INDEXES)
    def kill(self, index):
        self.entries[index] = self._new_entry()
        self.counted[index] = 0

    def count_written_requests(self):
        """Count the requests by process, ignoring repeated records."""
        records = {}
        for payload in self.log.payloads:
            record = decode_record(payload)
            if record['kind'] == 'usage_counted':
                key = record['incarnation'], record['sequence']
                assert records.setdefault(key, record) == record
        requests = Counter({entry.counter_id: 0 for entry in self.entries})
        for (incarnation, _), record in records.items():
            figures = record['counts'].values()
            requests[incarnation] += sum(figure[0] for figure in figures)
        return requests

    @invariant()
    def every_written_request_is_counted_once(self):
        state = ControlState()
        self.log.read_into(state)
        counted_requests = sum(
            figure.requests
            for window in state.usage.windows.values()
            for figure in window.figures.values()
        )
        counted_requests += sum(
            fig.requests for fig in state.usage.carried.values()
        )
        assert counted_requests == self.count_written_requests().total()
        assert not self.platform.conflicts
        for (team, start_s), body in self.platform.figures.items():
            figure = state.usage.windows[start_s].figures[team]
            assert body['requests'] == figure.requests


TestUsage = UsageMachine.TestCase
TestUsage.settings = settings(
    max_examples=150, stateful_step_count=30, deadline=None, derandomize=True
)


def test_a_failed_flush_is_repeated_with_the_same_counts():
    # Guards against counts that are lost when the log is unavailable.
    clock, log = ManualClock(), MemoryLog()
    entry = _Entry('e', clock, log, _Platform())
    entry.counter.count('a', 1, 2, 3)
    log.fault = 'down'
    assert not anyio.run(flush_usage, entry.counter, log, entry.recorder)
    log.fault = ''
    assert anyio.run(flush_usage, entry.counter, log, entry.recorder)
    log.read_into(entry.state)
    assert entry.state.usage.windows[0].figures['a'] == (1, 2, 3)
    assert entry.counter.is_written


def test_late_counts_go_into_the_next_window():
    # Guards against a figure that changes after its window was closed, and
    # against usage that is lost because it was written late.
    clock, log, platform = ManualClock(), MemoryLog(), _Platform()
    prompt_entry, slow_entry = (
        _Entry(name, clock, log, platform) for name in 'ab'
    )

    def report_due_windows():
        log.read_into(prompt_entry.state)
        prompt_entry.lease.update_from_state()
        record = prompt_entry.lease.next_record()
        if record:
            log.store(record)
            log.read_into(prompt_entry.state)
            prompt_entry.lease.update_from_state()
        for _ in range(2):
            anyio.run(prompt_entry.reporter.run_once)
            log.read_into(prompt_entry.state)

    slow_entry.counter.count('a', 1, 0, 0)
    prompt_entry.counter.count('a', 1, 0, 0)
    anyio.run(flush_usage, prompt_entry.counter, log, prompt_entry.recorder)
    clock.advance(timedelta(seconds=75))
    report_due_windows()
    anyio.run(flush_usage, slow_entry.counter, log, slow_entry.recorder)
    for _ in range(2):
        clock.advance(timedelta(seconds=75))
        report_due_windows()
    reported = {key: body['requests'] for key, body in platform.figures.items()}
    assert reported[('a', 0)] == 1
    assert sum(reported.values()) == 2
    assert not platform.conflicts


def test_report_does_not_outlast_the_lease_margin(monkeypatch):
    # Guards against a slow report that takes effect after the lease ended:
    # the timeouts of the HTTP client apply to each step of a request only.
    monkeypatch.setattr(usage, 'REPORT_TIMEOUT', timedelta(milliseconds=50))
    log, clock = MemoryLog(), ManualClock()

    class SlowPlatform:
        async def respond(self, request):
            await anyio.sleep(10)

    entry = _Entry('e1', clock, log, SlowPlatform())
    window = UsageWindow(0)
    window.add('growers', UsageFigure(1, 1, 1))

    async def report():
        with anyio.fail_after(5):
            return await entry.reporter._send(window, 'growers')

    assert anyio.run(report) == 0


def test_final_flush_waits_for_a_running_flush():
    # Guards against lost counts: if a record overtakes an earlier one in the
    # log, readers of the log skip the earlier one.
    log, clock = MemoryLog(), ManualClock()

    class SlowFirstAppend:
        calls = 0

        async def append(self, record):
            if record['kind'] == 'usage_counted':
                self.calls += 1
                if self.calls == 1:
                    await anyio.sleep(0.2)
                return log.store(record)
            raise LogUnavailable('down')

    class Time:
        def platform_time_s(self):
            return 5.0

    state, client = ControlState(), SlowFirstAppend()

    async def run():
        async with (
            httpx.AsyncClient() as http,
            anyio.create_task_group() as tasks,
        ):
            background_tasks = EntryBackgroundTasks(
                ('e1', 'i1'),
                UsageSettings(timedelta(milliseconds=20), WINDOW, WINDOW),
                LogComponents(client, Time(), state, None),
                ('http://platform', http),
                clock,
                Recorder('e1', clock),
                SnapshotSettings(),
            )
            background_tasks.counter.count('growers', 1, 0, 0)
            background_tasks.start(tasks)
            while not client.calls:
                await anyio.sleep(0.01)
            background_tasks.counter.count('buyers', 1, 0, 0)
            await background_tasks.finish()
            tasks.cancel_scope.cancel()

    anyio.run(run)
    log.read_into(state)
    assert set(state.usage.windows[0].figures) == {'growers', 'buyers'}
