"""Coordinator lease under pauses, lost responses and competing candidates."""

import asyncio
from datetime import timedelta
from typing import NamedTuple

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from peridotrill.clock import ManualClock
from peridotrill.exceptions import (
    AppendOutcomeUnknown,
    CodecError,
    LogUnavailable,
    RecordsExpired,
    StoreRestored,
)
from peridotrill.gateway.cluster_clock import ClusterClock
from peridotrill.gateway.coordinator import Coordinator
from peridotrill.gateway.usage_archive import UsageArchive, decode_snapshot
from peridotrill.gateway.usage_counts import UsageCounts
from peridotrill.gateway.usage_reporter import UsageReporter
from tests.gateway_builders import RecordingLog, advance

_TTL = timedelta(seconds=4)
_NO_MARGIN = timedelta(0)


class Page(NamedTuple):
    records: list
    generation: int


class Outcome(NamedTuple):
    appended: bool
    offset: int


class FakeLog:
    """An in-memory log; ``faults`` lists the faults of the next appends."""

    def __init__(self):
        self.generation = 1
        self.records = []
        self.first = 0
        self.faults = []
        self.delayed = []
        self.down = False

    def restore(self, length):
        """Drop all records after the first ``length`` ones."""
        self.records = self.records[:length]
        self.generation += 1

    async def read(self, start, generation=None):
        if self.down:
            raise LogUnavailable('down')
        self._require(generation)
        if not self.first <= start <= len(self.records):
            raise RecordsExpired('expired', self.first)
        return Page(self.records[start:], self.generation)

    def _require(self, generation):
        if generation not in {None, self.generation}:
            raise StoreRestored('restored', self.generation)

    async def append(self, record, at, generation=None):
        fault = self.faults.pop(0) if self.faults else ''
        if self.down or fault == 'down':
            raise LogUnavailable('down')
        if fault == 'late':
            self.delayed.append((record, at))
            raise AppendOutcomeUnknown('late')
        outcome = self._append(record, at)
        self._require(generation)
        if fault == 'lost':
            raise AppendOutcomeUnknown('lost')
        return outcome

    def apply_delayed_appends(self):
        while self.delayed:
            self._append(*self.delayed.pop(0))

    def _append(self, record, at):
        if at != len(self.records):
            return Outcome(False, len(self.records))
        self.records.append(record)
        return Outcome(True, at)


class LeaseStateMachine(RuleBasedStateMachine):
    """Three candidates on one log.

    Guards against two holders at the same time, against fencing numbers that
    repeat or decrease, and against two holders that commit different usage
    for one window.
    """

    def __init__(self):
        super().__init__()
        self.clock = ManualClock()
        self.log = FakeLog()
        self.nodes = {name: self._create(name) for name in 'abc'}
        self.fences = []
        self.committed = {}
        self.paused = set()

    def _create(self, name):
        return Coordinator(name, self.log, _TTL, self.clock, RecordingLog())

    @rule(steps=st.integers(1, 20))
    def elapse(self, steps):
        for _ in range(steps):
            advance(self.clock, 0.25)
            for name in 'abc':
                if name not in self.paused:
                    asyncio.run(self.nodes[name].step(may_claim=True))
                self.check()

    @rule(name=st.sampled_from('abc'))
    def pause_or_resume(self, name):
        self.paused ^= {name}

    @rule(
        faults=st.lists(
            st.sampled_from(['lost', 'late', 'down', '']), max_size=3
        )
    )
    def plan_faults(self, faults):
        self.log.faults = faults

    @rule(lost=st.integers(0, 12))
    def restore(self, lost):
        self.log.restore(max(0, len(self.log.records) - lost))

    @rule()
    def toggle_outage(self):
        self.log.down = not self.log.down

    @rule()
    def apply_delayed_appends(self):
        self.log.apply_delayed_appends()

    @rule(name=st.sampled_from('abc'))
    def release(self, name):
        asyncio.run(self.nodes[name].release())

    @rule(name=st.sampled_from('abc'))
    def restart(self, name):
        self.nodes[name] = self._create(name)

    @rule(name=st.sampled_from('abc'), count=st.integers(1, 9))
    def commit_usage(self, name, count):
        node = self.nodes[name]
        if node.held_lease(_NO_MARGIN) is None or 1 in node.committed_usage:
            return
        if asyncio.run(node.commit_usage(1, {'team': count})):
            assert self.committed.setdefault(1, count) == count
            for peer in self.nodes.values():
                peer.observe_commitments(node.committed_usage)

    @invariant()
    def at_most_one_holder(self):
        self.check()

    def check(self):
        held = [
            (name, lease.fence)
            for name, node in self.nodes.items()
            if (lease := node.held_lease(_NO_MARGIN))
        ]
        assert len(held) <= 1
        if held and (not self.fences or self.fences[-1] != held[0]):
            assert all(fence < held[0][1] for _, fence in self.fences)
            self.fences.append(held[0])


TestLeaseStateMachine = LeaseStateMachine.TestCase
TestLeaseStateMachine.settings = settings(
    max_examples=100, stateful_step_count=40
)


def run_steps(clock, node, seconds, claims=True):
    for _ in range(int(seconds / 0.25)):
        advance(clock, 0.25)
        asyncio.run(node.step(claims))


def test_a_candidate_becomes_holder_after_the_lease_time():
    clock = ManualClock()
    log = FakeLog()
    first = Coordinator('a', log, _TTL, clock, RecordingLog())
    second = Coordinator('b', log, _TTL, clock, RecordingLog())
    run_steps(clock, first, 1)
    assert first.held_lease(_NO_MARGIN).fence == 1
    run_steps(clock, second, 3)
    assert second.held_lease(_NO_MARGIN) is None
    run_steps(clock, second, 2)
    assert second.held_lease(_NO_MARGIN).fence > 1
    assert first.held_lease(_NO_MARGIN) is None


def test_lease_of_a_holder_that_ends_is_claimed_at_once():
    # Guards against a usage window that nobody reports because each candidate
    # ends before the lease of its predecessor has expired.
    clock = ManualClock()
    log = FakeLog()
    for name in 'abc':
        node = Coordinator(name, log, _TTL, clock, RecordingLog())
        run_steps(clock, node, 0.5)
        assert node.held_lease(_NO_MARGIN)
        asyncio.run(node.release())
        assert node.held_lease(_NO_MARGIN) is None


def test_release_before_a_restore_does_not_count():
    # Guards against two holders: the claim that followed the release is lost.
    clock = ManualClock()
    log = FakeLog()
    first, second, third = (
        Coordinator(name, log, _TTL, clock, RecordingLog()) for name in 'abc'
    )
    run_steps(clock, first, 0.5)
    asyncio.run(first.release())
    length = len(log.records)
    run_steps(clock, second, 0.5)
    log.restore(length)
    run_steps(clock, third, 0.5)
    assert second.held_lease(_NO_MARGIN)
    assert third.held_lease(_NO_MARGIN) is None


def test_paused_holder_does_not_renew_after_its_successor():
    # Guards against a paused holder that resumes and renews a lease that
    # another process has claimed.
    clock = ManualClock()
    log = FakeLog()
    first = Coordinator('a', log, _TTL, clock, RecordingLog())
    second = Coordinator('b', log, _TTL, clock, RecordingLog())
    run_steps(clock, first, 0.5)
    run_steps(clock, second, 6)
    assert second.held_lease(_NO_MARGIN)
    asyncio.run(first.step(may_claim=True))
    assert first.held_lease(_NO_MARGIN) is None


def test_margin_shortens_the_usable_lease():
    clock = ManualClock()
    node = Coordinator('a', FakeLog(), _TTL, clock, RecordingLog())
    run_steps(clock, node, 0.5)
    advance(clock, 3)
    assert node.held_lease(_NO_MARGIN)
    assert node.held_lease(timedelta(seconds=1.2)) is None


def test_restored_log_gives_no_second_holder_while_a_lease_is_in_force():
    # Guards against a candidate that takes a log without records for one in
    # which no lease was ever claimed.
    clock = ManualClock()
    log = FakeLog()
    first = Coordinator('a', log, _TTL, clock, RecordingLog())
    run_steps(clock, first, 1)
    log.restore(0)
    second = Coordinator('b', log, _TTL, clock, RecordingLog())
    run_steps(clock, second, 1)
    assert first.held_lease(_NO_MARGIN)
    assert second.held_lease(_NO_MARGIN) is None


def test_fencing_number_rises_when_the_log_was_restored():
    # Guards against numbers that are used twice because offsets are.
    clock = ManualClock()
    log = FakeLog()
    first = Coordinator('a', log, _TTL, clock, RecordingLog())
    run_steps(clock, first, 12)
    second = Coordinator('b', log, _TTL, clock, RecordingLog())
    run_steps(clock, second, 6)
    before = second.held_lease(_NO_MARGIN).fence
    log.restore(0)
    third = Coordinator('c', log, _TTL, clock, RecordingLog())
    run_steps(clock, third, 6)
    assert third.held_lease(_NO_MARGIN).fence > before


def test_holder_keeps_its_lease_in_a_restored_log():
    # Guards against some seconds without coordinator after each restore.
    clock = ManualClock()
    log = FakeLog()
    node = Coordinator('a', log, _TTL, clock, RecordingLog())
    run_steps(clock, node, 4)
    fence = node.held_lease(_NO_MARGIN).fence
    log.restore(1)
    for _ in range(40):
        run_steps(clock, node, 0.25)
        assert node.held_lease(_NO_MARGIN).fence == fence


def test_commitments_are_written_again_to_a_restored_log():
    # Guards against a window that is committed with other counts after the
    # record of its commitment was lost.
    clock = ManualClock()
    log = FakeLog()
    node = Coordinator('a', log, _TTL, clock, RecordingLog())
    run_steps(clock, node, 1)
    assert asyncio.run(node.commit_usage(1, {'growers': 3}))
    log.restore(1)
    run_steps(clock, node, 3)
    successor = Coordinator('b', log, _TTL, clock, RecordingLog())
    run_steps(clock, successor, 6)
    assert successor.held_lease(_NO_MARGIN)
    assert successor.committed_usage[1] == {'growers': 3}


def test_coordinator_skips_expired_records():
    # Guards against a coordinator that stops at records that have expired.
    clock = ManualClock()
    log = FakeLog()
    log.records = [b'x'] * 5
    log.first = 3
    node = Coordinator('a', log, _TTL, clock, RecordingLog())
    run_steps(clock, node, 6)
    assert node.held_lease(_NO_MARGIN).fence == 6


@pytest.mark.parametrize(
    'record',
    [
        b'',
        b'[]',
        b'{}',
        b'null',
        b'{"kind":"usage"}',
        b'{"kind":"usage","window":null,"counts":{}}',
        b'{"kind":"usage","window":1,"counts":[1]}',
    ],
)
def test_unreadable_record_does_not_stop_the_coordinator(record):
    # Guards against a gateway that reads the same record forever and never
    # claims the lease.
    clock = ManualClock()
    log = FakeLog()
    log.records = [record]
    node = Coordinator('a', log, _TTL, clock, RecordingLog())
    run_steps(clock, node, 6)
    assert node.held_lease(_NO_MARGIN) is not None


class UsagePort:
    def __init__(self):
        self.calls = []
        self.answers = []

    async def report_usage(self, fence, window, counts):
        self.calls.append((fence, window, dict(counts)))
        return self.answers.pop(0) if self.answers else 'ok'


def test_counts_are_committed_before_they_are_reported():
    # Guards against different counts for one window: after a report without a
    # response, counts that arrive later must not change the repeated report.
    clock = ManualClock()
    node = Coordinator('a', FakeLog(), _TTL, clock, RecordingLog())
    counts = UsageCounts(5, ClusterClock(clock))
    port = UsagePort()
    port.answers = ['timeout']
    archive = UsageArchive('n/1', counts, FakeTopic(), RecordingLog())
    reporter = UsageReporter(counts, archive, node, port, 10, RecordingLog())
    run_steps(clock, node, 0.5)
    counts.count('growers')
    window = counts.current_window()
    for _ in range(32):
        run_steps(clock, node, 0.25)
        asyncio.run(reporter.step())
        if len(port.calls) == 1:
            counts.observe_peer('late', {window: {'growers': 3}})
    assert port.calls == [(1, window, {'growers': 1})] * 2


def test_unchanged_usage_is_written_again_after_a_restore():
    # Guards against a writer that skips what it saved before the restore.
    counts = UsageCounts(5, ClusterClock(ManualClock()))
    topic = FakeTopic()
    archive = UsageArchive('n/1', counts, topic, RecordingLog())
    counts.count('growers')
    asyncio.run(archive.save())
    asyncio.run(archive.save())
    assert topic.puts == 1
    topic.generation += 1
    asyncio.run(archive.save())
    asyncio.run(archive.save())
    assert topic.puts == 2


class FakeTopic:
    """An in-memory keyed topic; ``down`` makes its calls fail."""

    def __init__(self):
        self.content = {}
        self.puts = 0
        self.down = False
        self.generation = 1

    async def newest(self):
        if self.down:
            raise LogUnavailable('down')
        return UsagePage(list(self.content.items()))

    async def put(self, key, content):
        if self.down:
            raise AppendOutcomeUnknown('down')
        self.puts += 1
        self.content[key] = content
        return self.generation


class UsagePage(NamedTuple):
    rows: list


def make_archive(clock, topic, process):
    counts = UsageCounts(5, ClusterClock(clock))
    return counts, UsageArchive(process, counts, topic, RecordingLog())


def test_counts_survive_a_restart_of_all_gateways_without_a_coordinator():
    # Guards against windows that are reported without the requests of processes
    # that ended one after the other while nobody held the lease.
    clock = ManualClock()
    topic = FakeTopic()
    for process in ('n1/1', 'n2/1', 'n1/2'):
        counts, archive = make_archive(clock, topic, process)
        counts.count('growers')
        asyncio.run(archive.save_last())
    counts, archive = make_archive(clock, topic, 'n2/2')
    assert asyncio.run(archive.load())
    assert counts.total(counts.current_window()) == {'growers': 3}
    # The coordinator takes them into its own record.
    asyncio.run(archive.save())
    assert [key for key, content in topic.content.items() if content] == [
        'counts'
    ]
    assert asyncio.run(archive.load())


def test_unreachable_store_does_not_keep_a_process_from_ending():
    # Guards against an error in the last write that ends a process abnormally.
    topic = FakeTopic()
    topic.down = True
    _, archive = make_archive(ManualClock(), topic, 'n/1')
    asyncio.run(archive.save_last())


def test_counts_survive_the_loss_of_all_gateways():
    # Guards against windows that are reported without the requests counted
    # before all gateways were killed; seen in tapbook trouble-3
    # with 318 of 905 requests.
    clock = ManualClock()
    topic = FakeTopic()
    counts, archive = make_archive(clock, topic, 'n/1')
    window = counts.current_window()
    counts.count('growers')
    counts.observe_peer('m/1', {window: {'growers': 5}})
    asyncio.run(archive.save())
    counts, archive = make_archive(clock, topic, 'n/2')
    counts.count('growers')
    assert asyncio.run(archive.load())
    assert counts.total(window) == {'growers': 7}
    # A process that still runs is counted once, with its newer count.
    counts.observe_peer('m/1', {window: {'growers': 6}})
    asyncio.run(archive.load())
    assert counts.total(window) == {'growers': 8}


def test_counts_are_saved_when_they_change():
    # Guards against redundant calls to the store.
    clock = ManualClock()
    topic = FakeTopic()
    counts, archive = make_archive(clock, topic, 'n/1')
    for step in range(6):
        if step < 3:
            counts.count('growers')
        asyncio.run(archive.save())
    assert topic.puts == 3


def test_counts_are_saved_after_an_answer_was_lost():
    clock = ManualClock()
    topic = FakeTopic()
    counts, archive = make_archive(clock, topic, 'n/1')
    counts.count('growers')
    topic.down = True
    asyncio.run(archive.save())
    topic.down = False
    asyncio.run(archive.save())
    assert topic.puts == 1


def test_only_a_coordinator_that_has_read_the_archive_writes_it():
    # Guards against a snapshot that drops the counts of processes that no
    # longer run.
    clock = ManualClock()
    node = Coordinator('a', FakeLog(), _TTL, clock, RecordingLog())
    topic = FakeTopic()
    counts, archive = make_archive(clock, topic, 'n/1')
    reporter = UsageReporter(
        counts, archive, node, UsagePort(), 10, RecordingLog()
    )
    assert not reporter.is_loaded
    topic.down = True
    run_steps(clock, node, 0.5)
    asyncio.run(reporter.step())
    assert not reporter.is_loaded
    topic.down = False
    asyncio.run(reporter.step())
    assert reporter.is_loaded
    advance(clock, 10)
    assert not reporter.is_loaded


def test_coordinator_reports_nothing_before_it_has_read_the_archive():
    # Guards against a report without the counts of processes that no longer
    # run; a report cannot be corrected later.
    clock = ManualClock()
    node = Coordinator('a', FakeLog(), _TTL, clock, RecordingLog())
    topic = FakeTopic()
    counts, archive = make_archive(clock, topic, 'n/2')
    window = counts.current_window()
    old, old_archive = make_archive(clock, topic, 'n/1')
    old.count('growers')
    asyncio.run(old_archive.save())
    counts.count('growers')
    port = UsagePort()
    reporter = UsageReporter(counts, archive, node, port, 10, RecordingLog())
    topic.down = True
    for _ in range(28):
        run_steps(clock, node, 0.25)
        asyncio.run(reporter.step())
    assert port.calls == []
    topic.down = False
    run_steps(clock, node, 0.25)
    asyncio.run(reporter.step())
    assert [call[1:] for call in port.calls] == [(window, {'growers': 2})]


@given(st.binary(max_size=60))
def test_arbitrary_snapshot_decodes_or_raises(content):
    try:
        decode_snapshot(content)
    except CodecError:
        return


def test_counts_of_restarted_processes_are_kept():
    # Guards against windows that lose the counts reported by a killed process.
    clock = ManualClock()
    counts = UsageCounts(5, ClusterClock(clock))
    window = counts.current_window()
    counts.observe_peer('n/1', {window: {'growers': 2}})
    counts.observe_peer('n/2', {window: {'growers': 1}})
    counts.observe_peer('n/1', {window: {'growers': 2}})
    counts.count('growers')
    assert counts.total(window) == {'growers': 4}


def test_cluster_clock_follows_the_median_of_the_peers():
    # Guards against usage in the wrong window after a clock has stepped.
    clock = ManualClock()
    cluster_clock = ClusterClock(clock)
    peer_unix_s = cluster_clock.unix_s() + 30
    cluster_clock.observe_peer('odd', float('nan'))
    cluster_clock.observe_peer('a', peer_unix_s)
    cluster_clock.observe_peer('b', peer_unix_s + 0.01)
    assert abs(cluster_clock.unix_s() - peer_unix_s) < 0.1
    advance(clock, 20)
    assert abs(cluster_clock.unix_s() - peer_unix_s + 10) < 0.1
