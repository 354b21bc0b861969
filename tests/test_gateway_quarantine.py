"""Agreement of gateways on quarantined prompt parts, without a network."""

import math
import random
from types import SimpleNamespace

import anyio
import pytest

from peridotrill.clock import ManualClock
from peridotrill.exceptions import LogUnavailable, TargetOutcomeUnknown
from peridotrill.gateway.cluster_clock import ClusterClock
from peridotrill.gateway.error_responses import GatewayError
from peridotrill.gateway.peers import (
    PeerExchange,
    decode_message,
    encode_message,
)
from peridotrill.gateway.quarantine_archive import QuarantineArchive
from peridotrill.gateway.quarantine_sharing import QuarantineSharing
from peridotrill.gateway.request_context import RequestContext
from peridotrill.gateway.target_health import TargetHealth
from peridotrill.gateway.targets import TargetRole
from peridotrill.platform.topics import KeyedPage
from peridotrill.prompt_quarantine import MIN_CRASHES, PromptQuarantine
from peridotrill.settings import Address
from peridotrill.target_crashes import CrashDetector, Exposure, TargetCrash
from tests.gateway_builders import (
    RecordingLog,
    advance,
    caller_request,
    prompt,
    target,
)

NODES = ('front-1', 'front-2', 'front-3')
# Reports from 23 gateways are 0.26 s apart.
INTERVAL_S = 0.26


class Gateway:
    def __init__(self, node, clock):
        log = RecordingLog()
        self.node = node
        self.clock = clock
        self.sent = []
        self.peers = PeerExchange(node, clock, log)
        self.peers.send = lambda message, node=None: self.sent.append(message)
        self.quarantine = PromptQuarantine(clock, log)
        self.sharing = QuarantineSharing(
            node, self.quarantine, self.peers, clock
        )

    def crash(self, process, *parts):
        now_s = self.clock.monotonic_s()
        exposure = Exposure(parts, now_s - 0.05)
        self.sharing.record_crash(TargetCrash(process, now_s, (exposure,)))

    def hear_all(self):
        """Let all other gateways count as active."""
        for member in self.peers.members.values():
            member.heard_s = self.clock.monotonic_s()

    def holds(self, *parts):
        return self.sharing.find(parts) is not None


class Cluster:
    def __init__(self, loss=0):
        self.clock = ManualClock()
        advance(self.clock, 100)
        self.gateways = [Gateway(node, self.clock) for node in NODES]
        self._random = random.Random(1)
        self._loss = loss

    def join(self):
        """Let the gateways know each other."""
        for gateway in self.gateways:
            for node in NODES:
                gateway.peers.add_member(node, Address('127.0.0.1', 7500))

    def exchange(self, reports=1):
        for _ in range(reports):
            for gateway in self.gateways:
                gateway.sharing.send_report()
                self._deliver(gateway)
            advance(self.clock, INTERVAL_S)

    def _deliver(self, sender):
        while sender.sent:
            datagram = encode_message(sender.sent.pop(0))
            assert len(datagram) <= 8192
            for receiver in self.gateways:
                if self._random.random() >= self._loss:
                    receiver.peers.datagram_received(datagram, ('', 0))


@pytest.mark.parametrize('loss', [0, 0.3])
def test_crashes_at_different_gateways_add_up(loss):
    # Guards against a part that crashes some engines through each gateway.
    cluster = Cluster(loss)
    for number in range(MIN_CRASHES):
        cluster.gateways[number % 3].crash(f'process-{number}', 'p', 'a')
        cluster.exchange(4)
        for gateway in cluster.gateways:
            gateway.sharing.record_proof(('a',), cluster.clock.monotonic_s())
    cluster.exchange(8)
    assert all(row.holds('p', 'a') for row in cluster.gateways)
    assert not any(row.holds('a') for row in cluster.gateways)


def test_proof_of_one_gateway_clears_a_part_at_all():
    # Guards against sound prompts that only one gateway serves.
    cluster = Cluster()
    for number in range(MIN_CRASHES):
        cluster.gateways[0].crash(f'process-{number}', 'p')
        cluster.exchange()
    assert all(row.holds('p') for row in cluster.gateways)
    cluster.gateways[1].sharing.record_proof(
        ('p',), cluster.clock.monotonic_s()
    )
    cluster.exchange()
    assert not any(row.holds('p') for row in cluster.gateways)


def test_proof_that_a_peer_does_not_know_answers_its_suspicion():
    # Guards against gateways that disagree, because a proof was recorded when
    # the part was not yet suspected there.
    cluster = Cluster()
    first, second, _ = cluster.gateways
    now_s = cluster.clock.monotonic_s()
    second.sharing.record_proof(('p',), now_s + 5)
    for number in range(MIN_CRASHES):
        first.crash(f'process-{number}', 'p')
        advance(cluster.clock, 0.1)
    assert first.holds('p')
    cluster.exchange(2)
    assert not first.holds('p')


def test_started_gateway_learns_the_quarantine_from_its_peers():
    # Guards against engines that crash again through a restarted gateway.
    cluster = Cluster()
    for number in range(MIN_CRASHES):
        cluster.gateways[0].crash(f'process-{number}', 'p')
        cluster.exchange()
    cluster.exchange(10)
    started = Gateway('front-2', cluster.clock)
    cluster.gateways[1] = started
    cluster.exchange(5)
    assert started.holds('p')


def test_quarantine_is_listed_by_few_gateways():
    # Guards against traffic that grows with the square of the fleet.
    cluster = Cluster()
    cluster.join()
    for number in range(MIN_CRASHES):
        cluster.gateways[0].crash(f'process-{number}', 'p')
        cluster.exchange()
    cluster.exchange(4)
    listings = 0
    for _ in range(10):
        advance(cluster.clock, 1)
        for gateway in cluster.gateways:
            gateway.hear_all()
            gateway.sharing.send_report()
            listings += len(gateway.sent)
            gateway.sent.clear()
    assert 10 <= listings <= 2 * 10


def test_only_one_gateway_tries_a_part_at_a_time():
    # Guards against one crash for each gateway at the end of a quarantine.
    cluster = Cluster()
    cluster.join()
    for number in range(MIN_CRASHES):
        cluster.gateways[0].crash(f'process-{number}', 'p')
        cluster.exchange()
    trials = 0
    for _ in range(40):
        advance(cluster.clock, 1)
        for gateway in cluster.gateways:
            gateway.hear_all()
            trials += gateway.sharing.try_start_trial('p')
    assert 1 <= trials <= 2


class MemoryTopic:
    """Keyed topic in memory; fails as often as told."""

    def __init__(self):
        self.rows = {}
        self.writes = 0
        self.failures = 0
        self.generation = 1

    async def newest(self):
        if self.failures:
            self.failures -= 1
            raise LogUnavailable('down')
        return KeyedPage(list(self.rows.items()), 0)

    async def put(self, key, content):
        if self.failures:
            self.failures -= 1
            raise LogUnavailable('down')
        self.writes += 1
        self.rows[key] = content
        return self.generation


class ArchiveSite:
    def __init__(self, topic):
        self.clock = ManualClock()
        self.log = RecordingLog()
        self.gateway = Gateway('front-1', self.clock)
        self.archive = QuarantineArchive(
            self.gateway.quarantine,
            topic,
            ClusterClock(self.clock),
            self.clock,
            self.log,
        )

    def crash_three_times(self):
        for number in range(MIN_CRASHES):
            advance(self.clock, 1)
            self.gateway.crash(f'process-{number}', 'p')


def test_quarantine_survives_a_restart_of_all_gateways():
    # Guards against engines that crash again after all gateways were killed.
    topic = MemoryTopic()
    before = ArchiveSite(topic)
    before.crash_three_times()
    anyio.run(before.archive.save)
    after = ArchiveSite(topic)
    advance(after.clock, 10)
    topic.failures = 1
    anyio.run(after.archive.load)
    assert after.log.events[0][0] == 'quarantine_not_loaded'
    assert after.gateway.holds('p')


def test_unchanged_quarantine_is_written_once():
    # Guards against a write to the store in each interval.
    topic = MemoryTopic()
    site = ArchiveSite(topic)
    anyio.run(site.archive.save)
    assert not topic.writes
    site.crash_three_times()
    topic.failures = 1
    anyio.run(site.archive.save)
    assert site.log.events[-1][0] == 'quarantine_not_saved'
    for _ in range(3):
        anyio.run(site.archive.save)
    assert topic.writes == 1
    site.gateway.sharing.record_proof(('p',), site.clock.monotonic_s())
    anyio.run(site.archive.save)
    assert topic.writes == 2


def test_unchanged_quarantine_is_written_again_after_a_restore():
    # Guards against a writer that skips what it saved before the restore.
    topic = MemoryTopic()
    site = ArchiveSite(topic)
    site.crash_three_times()
    anyio.run(site.archive.save)
    topic.generation += 1
    for _ in range(3):
        anyio.run(site.archive.save)
    assert topic.writes == 2


@pytest.mark.parametrize('content', [b'', b'\xc1', b'\x91\x01'])
def test_unreadable_archive_is_logged(content):
    # Guards against a gateway that does not start because of a bad record.
    topic = MemoryTopic()
    topic.rows['parts'] = content
    site = ArchiveSite(topic)
    anyio.run(site.archive.load)
    assert site.log.events[0][0] == 'quarantine_not_loaded'


def test_malformed_reports_are_dropped():
    # Guards against datagrams that end the receiving task.
    assert (
        decode_message(b'\x94\xa7crashes\xa1n\x91\x94\x01\x02\x03\x90') is None
    )
    assert decode_message(b'\x92\xa7crashes\xa1n') is None


def test_trial_that_crashes_an_engine_is_not_repeated_at_another():
    # Guards against two crashes for each trial of a request that may be
    # repeated.
    cluster = Cluster()
    gateway = cluster.gateways[0]
    for number in range(MIN_CRASHES):
        gateway.crash(f'process-{number}', 'p')
        cluster.exchange()
    log = RecordingLog()
    shared = SimpleNamespace(
        clock=cluster.clock,
        log=log,
        health=TargetHealth(cluster.clock),
        crashes=CrashDetector(cluster.clock, log),
        quarantine=gateway.sharing,
        targets=SimpleNamespace(is_refused=print, alive_s=lambda _: math.inf),
        cluster_state=SimpleNamespace(find_target=lambda _: None),
        start_task=lambda *_: None,
    )
    request = caller_request(
        received_s=cluster.clock.monotonic_s(), prompt=prompt(part_id='p')
    )
    route = SimpleNamespace(timeout_ms=5000)
    context = RequestContext(request, route, None, 'llm', None, shared)
    context.is_trial = True
    context.require_no_quarantine()
    context.record_broken_response(
        target('i-9', role=TargetRole.DECODE),
        TargetOutcomeUnknown('connection closed'),
        cluster.clock.monotonic_s(),
    )
    with pytest.raises(GatewayError):
        context.require_no_quarantine()
