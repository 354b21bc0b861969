"""Origins of streams, and versions that may have written them."""

import asyncio
from datetime import timedelta

import pytest

from peridotrill.clock import ManualClock
from peridotrill.gateway.cluster_state import ClusterState, FreshnessBounds
from peridotrill.gateway.peers import StreamListing, encode_message
from peridotrill.gateway.stream_origins import (
    BegunStreams,
    StreamOrigin,
    StreamOrigins,
    digest_request,
)
from peridotrill.gateway.targets import TargetRole
from peridotrill.gateway.version_archive import VersionArchive
from tests.gateway_builders import FakeTopic, RecordingLog, advance, target

_OLD = StreamOrigin('llm', 'v1')
_NEW = StreamOrigin('llm', 'v2')
_KEY_V1, _KEY_V2 = '["llm","v1"]', '["llm","v2"]'
_MAX_DATAGRAM_BYTES = 8192


def test_lost_report_does_not_lose_a_stream():
    # Guards against streams that a peer never learns of because one datagram
    # was lost.
    origins = StreamOrigins(ManualClock())
    origins.record(1, _OLD)
    assert origins.take_report_entries() == [BegunStreams(*_OLD, (1,))]
    origins.record(2, _NEW)
    assert origins.take_report_entries() == [
        BegunStreams(*_OLD, (1,)),
        BegunStreams(*_NEW, (2,)),
    ]
    assert origins.take_report_entries() == [BegunStreams(*_NEW, (2,))]
    assert not origins.take_report_entries()


def test_many_streams_are_reported_in_parts():
    # Guards against reports that exceed the size of a datagram.
    origins = StreamOrigins(ManualClock())
    streams = range(1000)
    for digest in streams:
        origins.record(digest_request('t', str(digest)), _OLD)
    receiver = StreamOrigins(ManualClock())
    for _ in range(4):
        entries = origins.take_report_entries()
        assert sum(len(row.digests) for row in entries) <= 500
        receiver.observe_peer(entries)
    assert all(
        receiver.find(digest_request('t', str(digest))) == _OLD
        for digest in streams
    )


def test_listing_fits_into_datagrams():
    # Guards against listings for a new process that are too large to be sent.
    origins = StreamOrigins(ManualClock())
    for digest in range(1500):
        origins.record(digest_request('t', str(digest)), _OLD)
    listing = origins.listing()
    assert len(listing) == 3
    assert all(
        len(encode_message(StreamListing('front-a-1', part)))
        <= _MAX_DATAGRAM_BYTES
        for part in listing
    )


def test_same_id_with_two_origins_is_not_trusted():
    # Guards against two callers that use the same request id.
    origins = StreamOrigins(ManualClock())
    origins.record(1, _OLD)
    origins.observe_peer([BegunStreams(*_NEW, (1,))])
    assert origins.find(1) is None
    origins.observe_peer([BegunStreams(*_OLD, (1,))])
    assert origins.find(1) is None


def test_requests_of_two_teams_have_different_digests():
    # Guards against a team that takes up the stream of another one.
    assert digest_request('ab', 'c') != digest_request('a', 'bc')


def test_origins_expire():
    # Guards against memory that grows with each stream.
    clock = ManualClock()
    origins = StreamOrigins(clock)
    origins.record(1, _OLD)
    advance(clock, 31)
    origins.record(2, _OLD)
    assert origins.find(1) is None
    assert origins.find(2) == _OLD


class VersionHarness:
    """A gateway's knowledge of the versions of its targets."""

    def __init__(self, topic, *, is_first_start=False):
        self.clock = ManualClock()
        self.state = ClusterState(
            self.clock,
            FreshnessBounds(timedelta(seconds=4), timedelta(seconds=1)),
            RecordingLog(),
            is_first_start,
        )
        self.topic = topic
        self.archive = VersionArchive(self.state, topic, RecordingLog())

    def add(self, name, version):
        self.state.update_target(
            target(name, TargetRole.DECODE, software_version=version)
        )

    def list_targets(self, *names):
        self.state.retain_targets(names)

    def step(self, *, is_coordinator=False, steps=1):
        for _ in range(steps):
            asyncio.run(self.archive.step(is_coordinator))
            advance(self.clock, 0.25)

    @property
    def sole_version(self):
        now_s = self.clock.monotonic_s()
        self.state.confirm_targets(now_s)
        return self.state.sole_version('llm', now_s)


@pytest.fixture
def topic():
    return FakeTopic()


def running_gateway(topic, *versions):
    """Return the gateway of a system that has just been set up."""
    gateway = VersionHarness(topic, is_first_start=True)
    for version in versions:
        gateway.add(f'i-{version}', version)
    gateway.step(is_coordinator=True)
    return gateway


def test_version_is_known_to_be_the_only_one_after_a_restart_of_all(topic):
    # Guards against sound streams that are refused in a calm system.
    running_gateway(topic, 'v1')
    started = VersionHarness(topic)
    started.add('i-v1', 'v1')
    started.list_targets('i-v1')
    assert started.sole_version is None
    started.step()
    assert started.sole_version == 'v1'


def test_version_that_left_while_all_gateways_were_down_counts(topic):
    # Guards against the view that one version is registered now, which proves
    # nothing just after another one has left.
    running_gateway(topic, 'v1', 'v2')
    started = VersionHarness(topic)
    started.add('i-v2', 'v2')
    started.list_targets('i-v2')
    started.step(is_coordinator=True)
    assert started.sole_version is None
    started.step(is_coordinator=True, steps=125)
    assert started.sole_version == 'v2'
    assert topic.versions == {_KEY_V2}


def test_versions_are_unknown_until_the_archive_is_read(topic):
    # Guards against a guess while the store is away.
    running_gateway(topic, 'v1', 'v2')
    topic.is_down = True
    started = VersionHarness(topic)
    started.add('i-v2', 'v2')
    started.step(steps=4)
    assert started.sole_version is None


def test_restored_archive_is_not_trusted(topic):
    # Guards against an archive that lost a version when the store was restored
    # from an older copy.
    running_gateway(topic, 'v1')
    topic.generation = 2
    started = VersionHarness(topic)
    started.add('i-v1', 'v1')
    started.step()
    assert started.sole_version is None
    started.step(is_coordinator=True, steps=125)
    assert started.sole_version == 'v1'
    assert topic.rows == {_KEY_V1: b'2'}


def test_restore_makes_a_gateway_write_the_versions_again(topic):
    # Guards against versions that are missing from the restored store.
    gateway = running_gateway(topic, 'v1')
    topic.rows.clear()
    topic.generation = 2
    gateway.step(is_coordinator=True)
    assert topic.rows == {_KEY_V1: b'2'}


def test_full_read_of_the_targets_requires_the_archive_again(topic):
    # Guards against a version that came and went while this gateway was cut off
    # from the store.
    gateway = running_gateway(topic, 'v1')
    gateway.list_targets('i-v1')
    assert gateway.sole_version == 'v1'
    topic.rows[_KEY_V2] = b'1'
    gateway.list_targets('i-v1')
    gateway.step()
    assert gateway.sole_version is None


def test_version_is_unknown_without_records_of_the_take_up(topic):
    # Guards against a gateway that misses a version which registered between its
    # last read and the take-up of a stream (ORDER).
    gateway = running_gateway(topic, 'v1')
    assert gateway.sole_version == 'v1'
    read_s = gateway.clock.monotonic_s()
    advance(gateway.clock, 0.01)
    taken_up_s = gateway.clock.monotonic_s()
    assert gateway.state.sole_version('llm', taken_up_s) is None
    assert gateway.state.sole_version('llm', read_s) == 'v1'


def test_version_of_a_process_with_an_earlier_start_time_counts(topic):
    # Guards against an engine that starts again after the clock of its machine was
    # set back: its record counts as outdated, but it serves (ORDER).
    gateway = running_gateway(topic, 'v1')
    gateway.add('i-0', 'v1')
    record = target('i-0', TargetRole.DECODE, software_version='v2')
    current = gateway.state.find_target('i-0')
    gateway.state.update_target(current._replace(started_ms=2000))
    gateway.state.update_target(record._replace(started_ms=1000))
    assert gateway.sole_version is None


def test_version_is_archived_without_coordinator(topic):
    # Guards against a new version that is not archived while the lease is free.
    gateway = VersionHarness(topic, is_first_start=True)
    gateway.add('i-v1', 'v1')
    gateway.step(steps=8)
    assert topic.versions == {_KEY_V1}
    assert topic.writes == 1


def test_new_coordinator_writes_what_another_one_has_deleted(topic):
    # Guards against a version that returns and is never archived, since this
    # gateway remembers that it once wrote it.
    gateway = running_gateway(topic, 'v1')
    gateway.step()
    topic.rows[_KEY_V1] = b''
    gateway.step(is_coordinator=True)
    assert topic.versions == {_KEY_V1}


@pytest.mark.parametrize('key', ['', '[]', '["llm"]', '7', '[1,2]', '\x00'])
def test_unreadable_key_of_the_archive_is_skipped(topic, key):
    # Guards against an entry of another writer that hides the other versions.
    running_gateway(topic, 'v1', 'v2')
    topic.rows[key] = b'1'
    started = VersionHarness(topic)
    started.add('i-v2', 'v2')
    started.step()
    assert started.state.versions.is_complete
    assert started.sole_version is None
