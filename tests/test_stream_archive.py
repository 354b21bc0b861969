"""Origins of streams that the store keeps, without a network."""

import asyncio

import pytest
from hypothesis import given
from hypothesis import strategies as st

from peridotrill.clock import ManualClock
from peridotrill.gateway.cluster_clock import ClusterClock
from peridotrill.gateway.stream_archive import StreamArchive
from peridotrill.gateway.stream_origins import StreamOrigin, StreamOrigins
from peridotrill.gateway.version_history import VersionHistory
from tests.gateway_builders import FakeTopic, RecordingLog, advance

_OLD, _NEW = StreamOrigin('llm', 'v1'), StreamOrigin('llm', 'v2')
_INTERVAL_S = 0.2
# 30 s of intervals, twice.
_MAX_RECORDS = 300


class Gateway:
    """The part of a gateway that knows and keeps the origins of streams."""

    def __init__(self, topic, *versions):
        self.clock = ManualClock()
        self.origins = StreamOrigins(self.clock)
        self.versions = VersionHistory(self.clock, is_complete=True)
        self.log = RecordingLog()
        for version in versions:
            self.versions.see('llm', version)
        self.archive = StreamArchive(
            self.origins,
            self.versions,
            topic,
            ClusterClock(self.clock),
            self.clock,
            self.log,
        )

    def save(self, *, is_writer=True):
        advance(self.clock, _INTERVAL_S)
        asyncio.run(self.archive.save(is_writer))

    def load(self):
        advance(self.clock, 1)
        asyncio.run(self.archive.load())


def restarted(topic):
    """Return a gateway that starts after the loss of all gateways."""
    gateway = Gateway(topic)
    gateway.load()
    return gateway


@pytest.fixture
def topic():
    return FakeTopic()


def test_streams_of_two_versions_are_known_after_the_loss_of_all(topic):
    # Guards against sound streams that are refused because no gateway is left
    # that knew which version began them.
    gateway = Gateway(topic, 'v1', 'v2')
    gateway.origins.record(1, _OLD)
    gateway.origins.record(2, _NEW)
    gateway.save()
    found = restarted(topic).origins
    assert (found.find(1), found.find(2)) == (_OLD, _NEW)


def test_streams_of_one_interval_are_one_write(topic):
    # Guards against an append for each stream, which the store cannot carry.
    gateway = Gateway(topic, 'v1', 'v2')
    for digest in range(100):
        gateway.origins.record(digest, _OLD)
    gateway.save()
    gateway.save()
    assert topic.writes == 1


def test_nothing_is_written_while_one_version_serves(topic):
    # Guards against calls to the store that a calm system does not need.
    gateway = Gateway(topic, 'v1')
    gateway.origins.record(1, _OLD)
    gateway.save()
    assert not topic.writes


def test_only_one_gateway_writes(topic):
    # Guards against calls that grow with the number of gateways.
    gateway = Gateway(topic, 'v1', 'v2')
    gateway.origins.record(1, _OLD)
    gateway.save(is_writer=False)
    assert not topic.writes


def test_streams_of_before_the_second_version_are_written_as_it_appears(topic):
    # Guards against streams that began while one version served and are unknown
    # once a second one has come.
    gateway = Gateway(topic, 'v1')
    gateway.origins.record(1, _OLD)
    gateway.save()
    gateway.versions.see('llm', 'v2')
    gateway.save()
    assert restarted(topic).origins.find(1) == _OLD


def test_new_coordinator_writes_what_the_last_one_may_have_missed(topic):
    # Guards against streams that were reported but not written when the
    # coordinator ended.
    gateway = Gateway(topic, 'v1', 'v2')
    gateway.origins.record(1, _OLD)
    gateway.save(is_writer=False)
    gateway.save()
    assert restarted(topic).origins.find(1) == _OLD


def test_restored_store_gets_the_streams_again(topic):
    # Guards against a writer that skips what it has saved before the store was
    # restored from an older copy.
    gateway = Gateway(topic, 'v1', 'v2')
    gateway.origins.record(1, _OLD)
    gateway.save()
    topic.rows.clear()
    topic.generation += 1
    gateway.save()
    assert restarted(topic).origins.find(1) == _OLD


def test_streams_are_written_after_an_outage_of_the_store(topic):
    # Guards against streams that are given up when one write fails.
    gateway = Gateway(topic, 'v1', 'v2')
    gateway.origins.record(1, _OLD)
    topic.is_down = True
    gateway.save()
    gateway.load()
    topic.is_down = False
    gateway.save()
    assert restarted(topic).origins.find(1) == _OLD
    assert [event for event, _ in gateway.log.events] == [
        'streams_not_archived',
        'streams_not_loaded',
        'streams_archived',
    ]


def test_records_are_overwritten(topic):
    # Guards against an archive that grows for as long as two versions serve.
    gateway = Gateway(topic, 'v1', 'v2')
    for digest in range(1000):
        gateway.origins.record(digest, _OLD)
        gateway.versions.see('llm', 'v1')
        gateway.versions.see('llm', 'v2')
        gateway.save()
    assert len(topic.rows) <= _MAX_RECORDS
    found = restarted(topic).origins
    assert all(found.find(digest) == _OLD for digest in range(850, 1000))


def test_many_streams_are_split_into_records(topic):
    # Guards against a record above the limit of the store when a second version
    # appears in a large deployment.
    gateway = Gateway(topic, 'v1', 'v2')
    for number in range(50_000):
        gateway.origins.record(2**63 + number, _OLD)
    gateway.save()
    assert max(map(len, topic.rows.values())) < 256 * 1024
    assert restarted(topic).origins.find(2**63 + 49_999) == _OLD


def test_unreadable_record_does_not_hide_the_others(topic):
    # Guards against an entry of another writer in the topic.
    gateway = Gateway(topic, 'v1', 'v2')
    gateway.origins.record(1, _OLD)
    gateway.save()
    topic.rows = {'0': b'\xc1', **topic.rows, 'x': b'\x91\x93\x01\x02\x03'}
    assert restarted(topic).origins.find(1) == _OLD


def test_many_requests_read_the_archive_once(topic):
    # Guards against a read of the store for each caller that comes back after
    # the loss of all gateways.
    gateway = Gateway(topic)
    gateway.load()
    asyncio.run(gateway.archive.load())
    events = [event for event, _ in gateway.log.events]
    assert events == ['streams_loaded']


@given(
    steps=st.lists(
        st.sampled_from(
            ('begin', 'save', 'fail', 'restore', 'hand over', 'return')
        ),
        max_size=40,
    )
)
def test_each_stream_is_known_after_a_save(steps):
    # Guards against streams that are lost between failing writes, restored
    # stores and changes of the coordinator.
    topic = FakeTopic()
    gateway = Gateway(topic, 'v1', 'v2')
    begun = []
    for step in (*steps, 'return', 'save'):
        if step == 'begin':
            begun.append(len(begun))
            gateway.origins.record(begun[-1], (_OLD, _NEW)[len(begun) % 2])
        elif step == 'restore':
            topic.rows.clear()
            topic.generation += 1
        elif step == 'hand over':
            gateway.save(is_writer=False)
        else:
            topic.is_down = step == 'fail'
            gateway.save()
    found = restarted(topic).origins
    assert all(
        found.find(digest) == (_NEW, _OLD)[digest % 2] for digest in begun
    )
