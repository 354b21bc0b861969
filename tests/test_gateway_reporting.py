"""Reports between gateways and selection of the coordinator."""

from datetime import timedelta

import anyio

from peridotrill.clock import ManualClock
from peridotrill.exceptions import TargetUnreachable
from peridotrill.gateway.cluster_clock import ClusterClock
from peridotrill.gateway.cluster_state import ClusterState, FreshnessBounds
from peridotrill.gateway.coordinator import Coordinator
from peridotrill.gateway.demand import DemandMeter
from peridotrill.gateway.engine_speed import EngineSpeeds
from peridotrill.gateway.load_tracker import LoadTracker
from peridotrill.gateway.part_directory import PartDirectory, PartLocation
from peridotrill.gateway.part_sharing import PartSharing
from peridotrill.gateway.peers import (
    PartListing,
    PeerExchange,
    decode_message,
    encode_message,
)
from peridotrill.gateway.prefill_speed import PrefillSpeed
from peridotrill.gateway.reported_slowness import ReportedSlowness
from peridotrill.gateway.reporting import Reporting, ReportSources, Sender
from peridotrill.gateway.shared_quotas import SharedQuotas
from peridotrill.gateway.stream_origins import StreamOrigins
from peridotrill.gateway.target_limits import TargetLimits
from peridotrill.gateway.targets import TargetRole
from peridotrill.gateway.usage_counts import UsageCounts
from peridotrill.platform.configuration import decode_configuration
from peridotrill.gateway.waiting_work import WaitingWork
from peridotrill.settings import Address
from tests.gateway_builders import (
    RecordingLog,
    advance,
    configuration_record,
    target,
)
from tests.test_gateway_coordinator import FakeLog


class Gateway:
    """The components of a gateway that are involved in reports."""

    def __init__(self, clock, node):
        log = RecordingLog()
        self.cluster_state = ClusterState(
            clock,
            FreshnessBounds(timedelta(seconds=4), timedelta(seconds=1)),
            log,
        )
        cluster_clock = ClusterClock(clock)
        self.loads = LoadTracker(clock)
        self.demand = DemandMeter(clock)
        self.peers = PeerExchange(node, clock, log)
        self.reporting = Reporting(
            Sender(node, '1', Address('127.0.0.1', 7500)),
            self.peers,
            ReportSources(
                self.cluster_state,
                Coordinator(node, FakeLog(), timedelta(seconds=4), clock, log),
                SharedQuotas(clock, timedelta(seconds=8)),
                self.loads,
                UsageCounts(5, cluster_clock),
                self.demand,
                PartDirectory(1000),
                cluster_clock,
                TargetLimits(node, list, clock, log),
                StreamOrigins(clock),
                PrefillSpeed(),
                EngineSpeeds(clock, ReportedSlowness(clock)),
                WaitingWork(clock),
            ),
            clock,
        )
        self.clock = clock
        self.confirm()

    def confirm(self):
        self.cluster_state.confirm_configuration(self.clock.monotonic_s())


def exchange(*gateways):
    for sender in gateways:
        datagram = encode_message(sender.reporting.make_report())
        for receiver in gateways:
            receiver.peers.datagram_received(datagram, None)


def test_first_gateway_by_name_claims():
    clock = ManualClock()
    first, second = Gateway(clock, 'a'), Gateway(clock, 'b')
    exchange(first, second)
    assert first.reporting.should_claim()
    assert not second.reporting.should_claim()


def test_gateway_that_lost_the_store_does_not_claim():
    # Guards against a system without a coordinator while the gateway whose name
    # sorts first runs but cannot reach the store.
    clock = ManualClock()
    first, second = Gateway(clock, 'a'), Gateway(clock, 'b')
    advance(clock, 3.5)
    second.confirm()
    exchange(first, second)
    assert not first.reporting.should_claim()
    assert second.reporting.should_claim()


def test_leaving_gateway_does_not_claim():
    clock = ManualClock()
    first, second = Gateway(clock, 'a'), Gateway(clock, 'b')
    first.reporting.is_draining = True
    exchange(first, second)
    assert not first.reporting.should_claim()
    assert second.reporting.should_claim()


def test_old_and_duplicate_reports_are_ignored():
    # Guards against a delayed datagram that resets totals to older values.
    clock = ManualClock()
    first, second = Gateway(clock, 'a'), Gateway(clock, 'b')
    first.loads.add('i-1', 2)
    old = encode_message(first.reporting.make_report())
    first.loads.add('i-1', 1)
    new = encode_message(first.reporting.make_report())
    for datagram in (new, old, new):
        second.peers.datagram_received(datagram, None)
    assert second.loads.total('i-1') == 3


def test_engines_that_change_roles_are_suspended_on_all_gateways():
    # Guards against requests that are sent to an engine during a role change.
    clock = ManualClock()
    first, second = Gateway(clock, 'a'), Gateway(clock, 'b')
    for gateway in (first, second):
        gateway.cluster_state.update_target(target())
    first.reporting.switching = lambda: ['i-1']
    exchange(first, second)
    assert not first.cluster_state.usable_targets('till')
    assert not second.cluster_state.usable_targets('till')
    # The coordinator may fail before the engine has changed its role.
    advance(clock, 2)
    assert not second.cluster_state.usable_targets('till')
    advance(clock, 2)
    assert second.cluster_state.usable_targets('till')


def test_engine_is_used_as_soon_as_its_record_shows_the_new_role():
    clock = ManualClock()
    first, second = Gateway(clock, 'a'), Gateway(clock, 'b')
    second.cluster_state.update_target(target('i-1', TargetRole.DECODE))
    first.reporting.switching = lambda: ['i-1']
    exchange(first, second)
    assert not second.cluster_state.usable_targets('llm')
    second.cluster_state.update_target(target('i-1', TargetRole.PREFILL))
    assert second.cluster_state.usable_targets('llm')


def test_usage_and_demand_go_with_each_third_report():
    # Guards against totals that are reset by reports that omit them.
    clock = ManualClock()
    first, second = Gateway(clock, 'a'), Gateway(clock, 'b')
    first.demand.record('llm', 100, 10)
    for _ in range(3):
        exchange(first, second)
    second.demand.sample()
    advance(clock, 1)
    first.demand.record('llm', 1000, 10)
    for _ in range(5):
        exchange(first, second)
    second.demand.sample()
    assert second.demand.rate('llm').reading == 1


class FakePeerExchange:
    """Records the messages that one gateway sends."""

    def __init__(self, node, others):
        self.node = node
        self.others = others
        self.sent = []
        self.on_parts = None

    def active_members(self):
        return [name for name in self.others if name != self.node]

    def send(self, message, node=None):
        self.sent.append((node, message))


class FakePartLister:
    """Lists one part for each engine and records which were queried."""

    def __init__(self):
        self.asked = []

    async def list_parts(self, engine):
        self.asked.append(engine.target_id)
        if engine.target_id == 'i-dark':
            raise TargetUnreachable('dark')
        return [PartLocation(f'part-{engine.target_id}', engine.target_id, 900)]


_GATEWAYS = ('g1', 'g2', 'g3', 'g4', 'g5')


def make_sharing(node, lister, engines=()):
    clock = ManualClock()
    log = RecordingLog()
    bounds = FreshnessBounds(timedelta(seconds=4), timedelta(seconds=1))
    cluster_state = ClusterState(clock, bounds, log)
    for name in engines:
        cluster_state.update_target(target(name, TargetRole.PREFILL))
    cluster_state.update_configuration(
        decode_configuration(configuration_record())
    )
    exchange = FakePeerExchange(node, _GATEWAYS)
    parts = PartDirectory(500000)
    sharing = PartSharing(
        node, parts, exchange, cluster_state, lister, clock, log
    )
    return sharing, parts, exchange


def test_last_report_of_a_process_has_its_usage():
    # Guards against requests that are missing in usage after a restart.
    gateway = Gateway(ManualClock(), 'a')
    gateway.reporting._sources.usage.count('growers')
    reports = [gateway.reporting.make_report() for _ in range(3)]
    assert not all(report.usage for report in reports)
    reports = [gateway.reporting.make_report(is_last=True) for _ in range(3)]
    assert all(report.usage for report in reports)


def test_two_gateways_send_part_listings_to_a_new_process():
    # Guards against a new process that knows no cached parts, so that prompts
    # are prefilled again after each gateway restart (seen in tapbook
    # trouble-2), and against listings from all other gateways at once.
    told = []
    for node in _GATEWAYS[1:]:
        sharing, parts, exchange = make_sharing(node, FakePartLister())
        for number in range(300):
            parts.record(PartLocation(f'p{number}', 'i-1', 1000))
        sharing.send_listing('g1')
        if exchange.sent:
            told.append(exchange.sent)
    assert len(told) == 2
    new, parts, _ = make_sharing('g1', FakePartLister())
    for node, message in told[0]:
        assert node == 'g1'
        datagram = encode_message(message)
        assert len(datagram) <= 8192
        new.handle_listing(decode_message(datagram))
    assert parts.has('i-1', 'p0')
    assert parts.has('i-1', 'p299')


def test_part_listing_is_bounded_to_the_most_recently_used():
    parts = PartDirectory(10**9)
    for engine in range(10):
        for number in range(50):
            parts.record(PartLocation(f'p{number}', f'i-{engine}', 1000))
    listed = parts.listing(100)
    assert len(listed) == 100
    assert {row.part_id for row in listed} == {f'p{n}' for n in range(40, 50)}


def test_engines_are_asked_once_after_the_loss_of_all_gateways():
    engines = ('i-1', 'i-2', 'i-3', 'i-dark')
    asked = []
    for node in _GATEWAYS:
        lister = FakePartLister()
        sharing, parts, exchange = make_sharing(node, lister, engines)
        anyio.run(sharing.ask_engines)
        asked += lister.asked
        for name in set(lister.asked) - {'i-dark'}:
            assert parts.has(name, f'part-{name}')
        assert len(exchange.sent) == len(set(lister.asked) - {'i-dark'})
    assert sorted(asked) == sorted(engines)


def test_engines_are_not_asked_before_evacuated_zones_are_known():
    # Guards against calls to an evacuated zone by a gateway that starts while
    # the store is slow to list the configuration.
    lister = FakePartLister()
    sharing, _, _ = make_sharing('g2', lister, ('i-1', 'i-2'))
    cluster_state = sharing._cluster_state
    cluster_state.configuration = None

    async def run():
        with anyio.move_on_after(1):
            await sharing.ask_engines()
        assert not lister.asked
        cluster_state.update_evacuation('a', is_evacuated=True)
        cluster_state.update_configuration(
            decode_configuration(configuration_record())
        )
        await sharing.ask_engines()

    anyio.run(run)
    assert not lister.asked


def test_engines_are_not_asked_if_another_gateway_knows():
    lister = FakePartLister()
    sharing, _, _ = make_sharing('g1', lister, ('i-1', 'i-2', 'i-3'))
    sharing.handle_listing(PartListing('g2', []))
    anyio.run(sharing.ask_engines)
    assert lister.asked == []


class RefusingTransport:
    """Transport that refuses the address of one member."""

    def __init__(self):
        self.sent = []

    def is_closing(self):
        return False

    def sendto(self, datagram, address):
        if address.port > 65535:
            raise OverflowError('port must be 0-65535')
        self.sent.append(address.port)


def test_member_with_an_unusable_address_does_not_stop_the_reports():
    # Guards against one address of another writer that ends the reports to all
    # gateways.
    gateway = Gateway(ManualClock(), 'g1')
    transport = RefusingTransport()
    gateway.peers.connection_made(transport)
    for number, port in enumerate((7500, 99999, 7501)):
        gateway.peers.add_member(f'm{number}', Address('127.0.0.1', port))
    gateway.peers.send(gateway.reporting.make_report())
    assert transport.sent == [7500, 7501]
