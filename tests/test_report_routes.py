"""Reports between zones through relays."""

import itertools
from collections import Counter, defaultdict

import msgspec
import pytest

from peridotrill.clock import ManualClock
from peridotrill.gateway.metrics import RELAYED_REPORTS
from peridotrill.gateway.peers import (
    PeerExchange,
    decode_message,
    encode_message,
)
from peridotrill.gateway.report_routes import (
    FULL_REPORT_INTERVAL,
    Member,
    ReportRoutes,
)
from peridotrill.gateway.report_timing import report_interval_s
from peridotrill.settings import Address
from tests.gateway_builders import RecordingLog, advance
from tests.report_network import EarlierReport, ReportNetwork, report_of
from tests.test_gateway_reporting import Gateway

_FLEETS = [(24, 3), (68, 6)]
_LOSS_RATIO = 0.025
# Time after which all gateways have known each other for long enough.
_SETTLING_S = 4
# Part of the time for which gateways that run may count as silent: what they
# are then taken to spend is far below the margin of any limit.
_MAX_SILENT_RATIO = 0.001


def network(size, zones, **options):
    """Return a network whose gateways have known each other for long."""
    built = ReportNetwork(size, zones, **options)
    built.run(_SETTLING_S)
    built.reset()
    return built


def first_of_each_zone(built):
    first = {}
    for node, gateway in built.gateways.items():
        first.setdefault(gateway.zone, node)
    return set(first.values())


def break_nothing(built):
    return set()


def kill_relays(built):
    built.dead = first_of_each_zone(built)
    return built.dead


def cut_relays_off(built):
    relays = first_of_each_zone(built)
    for node in relays:
        built.cut_off(node, built.zone_of(node))
    return relays


def cut_what_relays_send(built):
    relays = first_of_each_zone(built)
    for node in relays:
        built.cut |= {(node, other) for other in built.zone_of(node)}
    return relays


_FAILURES = [break_nothing, kill_relays, cut_relays_off, cut_what_relays_send]


def assert_forwarded_once(built):
    """Check each report: one relay for a zone, one copy for a recipient."""
    assert built.forwards
    assert set(built.forwards.values()) == {1}
    relays = defaultdict(set)
    for node, incarnation, sequence, relay, _ in built.forwards:
        zone = built.gateways[relay].zone
        assert built.gateways[node].zone != zone
        relays[node, incarnation, sequence, zone].add(relay)
    assert {len(names) for names in relays.values()} == {1}


@pytest.mark.parametrize(('size', 'zones'), _FLEETS)
def test_report_crosses_once_to_each_zone(size, zones):
    # Guards against bytes between zones that grow with the gateways of a zone.
    built = network(size, zones)
    built.run(3)
    assert set(built.crossed.values()) == {1}
    assert built.received_ratio() == pytest.approx(1, abs=0.01)
    assert_forwarded_once(built)


@pytest.mark.parametrize('fail', _FAILURES)
@pytest.mark.parametrize(('size', 'zones'), _FLEETS)
def test_gateways_stay_fresh_behind_failed_relays(size, zones, fail):
    # Guards against gateways that count as silent, with wrong shares of limits
    # and loads, while one relay of each zone has failed and datagrams are lost.
    built = network(size, zones, loss_ratio=_LOSS_RATIO)
    failed = fail(built)
    built.run(10)
    assert built.silent_ratio(0.6, failed) < _MAX_SILENT_RATIO
    assert built.silent_ratio(1.0, failed) < _MAX_SILENT_RATIO
    assert built.least_full(failed) >= 2
    assert_forwarded_once(built)


def test_gateway_that_is_cut_off_from_its_zone_hears_the_others():
    # Guards against a gateway that loses all others when it loses its zone.
    built = network(24, 3)
    node = 'front-00'
    built.cut_off(node, built.zone_of(node))
    log = built.gateways[node].log
    assert 'zone_heard' in {event for event, _ in log.events}
    assert 'zone_not_heard' not in {event for event, _ in log.events}
    # Until it counts its zone as silent, only reports that it relays arrive.
    built.run(1.5)
    assert 'zone_not_heard' in {event for event, _ in log.events}
    built.reset()
    built.run(3)
    gateway = built.gateways[node]
    zone = set(built.zone_of(node))
    assert not zone & gateway.heard_s.keys()
    for other in built.gateways.keys() - zone - {node}:
        assert len(gateway.heard_s[other]) >= 3 / gateway.interval_s - 1


@pytest.mark.parametrize('seed', range(3))
def test_copies_and_reordering_cause_no_second_forward(seed):
    # Guards against a report that goes round between relays.
    built = network(24, 3, loss_ratio=_LOSS_RATIO, copy_ratio=0.3, seed=seed)
    built.run(5)
    assert_forwarded_once(built)


def test_new_member_hears_all_before_it_settles():
    # Guards against gateways that wait at their start for reports that relays
    # lose, or that do not know them yet.
    built = network(24, 3)
    kill_relays(built)
    built.run(2)
    running = set(built.gateways) - built.dead
    new = built.add('front-99', 'zone-1')
    # Time for the first report and margin of gateway_followers.
    built.run(0.1 + 0.2 + report_interval_s(24))
    assert running <= {
        node
        for node, member in new.peers.members.items()
        if member.heard_s is not None
    }
    assert all('front-99' in built.gateways[node].heard_s for node in running)
    built.run(_SETTLING_S)
    built.reset()
    built.run(3)
    assert built.received_ratio() == pytest.approx(1, abs=0.01)
    # The new one does not know the zones of those that have ended.
    assert {
        copies
        for (node, *_), copies in built.crossed.items()
        if node != new.node
    } == {1}


@pytest.mark.parametrize('seed', range(1, 9))
def test_member_that_changes_its_zone_gets_all_reports(seed):
    # Guards against reports that go to the relays of the former zone, and
    # against a second relay: gateways that missed the first report of the moved
    # process still take it for a relay of its former zone.
    built = network(24, 3, loss_ratio=_LOSS_RATIO, seed=seed)
    moved = built.gateways['front-00']
    built.dead = {moved.node}
    built.run(0.5)
    built.dead = set()
    moved.restart('zone-2')
    built.reset()
    built.run(6)
    assert_forwarded_once(built)
    assert built.silent_ratio(1.0) < _MAX_SILENT_RATIO
    # The first time includes the start of the process.
    assert built.longest_gap_s() < 1
    for gateway in built.gateways.values():
        if gateway is not moved:
            assert gateway.peers.members[moved.node].zone == 'zone-2'


def test_frozen_relay_does_not_bring_back_ended_processes():
    # Guards against late reports of a process that has been replaced, which
    # look like those of a new one: its totals become the baseline again.
    built = network(24, 3)
    relay = built.gateways['front-00']
    restarted = built.gateways['front-01']
    built.freeze(relay.node)
    built.run(2)
    restarted.restart(restarted.zone)
    built.run(2)
    for gateway in built.gateways.values():
        gateway.processes.clear()
    built.resume(relay.node)
    built.run(2)
    assert_forwarded_once(built)
    for gateway in built.gateways.values():
        if gateway not in {relay, restarted}:
            assert gateway.processes[restarted.node] == {'11'}


def test_gateways_of_the_earlier_version_hear_all_during_an_update():
    # Guards against gateways that lose each other during a rolling restart.
    built = ReportNetwork(24, 3)
    earlier = {f'front-{number:02}' for number in range(0, 24, 3)}
    earlier |= {'front-01', 'front-04'}
    for node in earlier:
        gateway = built.gateways[node]
        gateway.is_earlier = True
        gateway.restart(gateway.zone)
    built.run(_SETTLING_S)
    built.reset()
    built.run(4)
    assert built.received_ratio() == pytest.approx(1, abs=0.01)
    assert_forwarded_once(built)
    assert not earlier & {relay for *_, relay, _ in built.forwards}


def test_earlier_version_reads_the_report():
    # Guards against fields that gateways of the earlier version cannot read.
    report = report_of('a', '1', 1, zone='z', hears_zone=True, relay='b')
    earlier = msgspec.msgpack.decode(encode_message(report), type=EarlierReport)
    assert earlier.node == 'a'
    read = decode_message(msgspec.msgpack.encode(earlier))
    assert (read.zone, read.hears_zone, read.relay) == ('', False, '')


def routes_to(clock, zones, own='zone-0'):
    """Return routes of a gateway that has heard ``zones`` (sizes) for long."""
    members = {}
    for zone, size in zones.items():
        for number in range(size):
            node = f'{zone}-{number}'
            members[node] = member = Member(node, Address(node, 7500))
            member.zone = zone
            member.hears_zone = True
            member.process_heard_s = clock.monotonic_s()
    advance(clock, 10)
    for member in members.values():
        member.heard_s = clock.monotonic_s()
    return ReportRoutes('own', own, members, clock)


def relays_of(routes, sequence):
    return {member.node for member in routes.route(sequence).relays}


@pytest.mark.parametrize(
    ('zones', 'relayed'),
    [
        ({'zone-0': 4, 'zone-1': 10}, set()),
        ({'zone-0': 5, 'zone-1': 10}, {'zone-1'}),
        ({'zone-0': 9, 'zone-1': 3, 'zone-2': 4}, {'zone-2'}),
        ({'zone-0': 9, 'zone-1': 1, 'zone-2': 2, 'zone-3': 8}, {'zone-3'}),
    ],
)
def test_small_fleets_and_zones_get_reports_directly(zones, relayed):
    # Guards against zones with so few relays that one failure makes gateways
    # count as silent.
    routes = routes_to(ManualClock(), zones)
    route = routes.route(1)
    assert {member.zone for member in route.relays} == relayed
    direct = Counter(member.zone for member in route.direct)
    assert direct == {
        zone: size for zone, size in zones.items() if zone not in relayed
    }


def test_new_process_gets_reports_directly():
    # Guards against a new process that relays do not know yet, and that misses
    # the three reports that say what teams have spent.
    clock = ManualClock()
    routes = routes_to(clock, {'zone-0': 8, 'zone-1': 9})
    new = routes._members['zone-1-3']
    new.process_heard_s = clock.monotonic_s()
    assert new in routes.route(1).direct
    advance(clock, routes.active_age_s / 2)
    for member in routes._members.values():
        member.heard_s = clock.monotonic_s()
    assert new in routes.route(2).direct
    advance(clock, routes.active_age_s / 2 + 0.1)
    for member in routes._members.values():
        member.heard_s = clock.monotonic_s()
    assert new not in routes.route(3).direct


def test_gateway_without_a_zone_sends_directly():
    routes = routes_to(ManualClock(), {'zone-1': 30}, own='')
    assert len(routes.route(1).direct) == 30


@pytest.mark.parametrize('size', range(4, 30))
def test_relays_rotate_for_all_reports_and_for_full_ones(size):
    # Guards against a relay that costs two of three reports in a row, or all
    # reports with usage and demand.
    routes = routes_to(ManualClock(), {'zone-0': 15, 'zone-1': size})
    relays = [min(relays_of(routes, number)) for number in range(size * 9)]
    assert set(Counter(relays).values()) == {9}
    for start in range(len(relays) - 4):
        assert len(set(relays[start : start + 4])) == 4
    full = relays[::FULL_REPORT_INTERVAL]
    for before, after in itertools.pairwise(full):
        assert before != after
    assert set(full) == set(relays)


def test_silent_relays_are_left_out():
    routes = routes_to(ManualClock(), {'zone-0': 15, 'zone-1': 8})
    for number in range(4):
        routes._members[f'zone-1-{number}'].heard_s -= 2
    used = set().union(*(relays_of(routes, number) for number in range(9)))
    assert used == {f'zone-1-{number}' for number in range(4, 8)}
    # With fewer than four, the whole zone gets reports directly.
    routes._members['zone-1-4'].heard_s -= 2
    assert not relays_of(routes, 1)
    assert len(routes.route(1).direct) == 23


@pytest.mark.parametrize(
    ('zone', 'relay'),
    [
        ('zone-1', ''),
        ('zone-1', 'zone-0/other'),
        ('zone-1', 'zone-2/own'),
        ('zone-0', 'zone-0/own'),
        ('', 'zone-0/own'),
    ],
)
def test_only_the_named_relay_of_another_zone_forwards(zone, relay):
    routes = routes_to(ManualClock(), {'zone-0': 8, 'zone-1': 8})
    assert len(routes.recipients('zone-1-0', 'zone-1', 'zone-0/own')) == 8
    assert not routes.recipients('zone-1-0', zone, relay)


class ListTransport:
    """Transport that records what is sent."""

    def __init__(self):
        self.sent = []

    def is_closing(self):
        return False

    def sendto(self, datagram, address):
        self.sent.append((datagram, address))


def test_relay_forwards_the_datagram_unchanged_to_current_addresses():
    # Guards against a relay that takes the socket that a datagram came from
    # for the reporting gateway, and against addresses of an earlier process.
    transport = ListTransport()
    peers = PeerExchange('own', ManualClock(), RecordingLog(), 'zone-0')
    peers.connection_made(transport)
    for incarnation, host in (('1', 'old'), ('2', 'new')):
        report = report_of('near', incarnation, 1, zone='zone-0')
        report = msgspec.structs.replace(report, host=host)
        peers.datagram_received(encode_message(report), None)
    before = RELAYED_REPORTS._value.get()
    far = report_of('far', '1', 1, zone='zone-1', relay='zone-0/own')
    datagram = encode_message(far)
    for _ in range(2):
        peers.datagram_received(datagram, ('somewhere', 1))
    assert transport.sent == [(datagram, Address('new', 7500))]
    assert peers.members['far'].address == Address('far', 7500)
    assert RELAYED_REPORTS._value.get() == before + 1


def test_late_report_does_not_bring_back_an_address():
    # Guards against reports that go to the address of a replaced process.
    peers = PeerExchange('own', ManualClock(), RecordingLog(), 'zone-0')
    for incarnation, host in (('1', 'old'), ('2', 'new'), ('1', 'old')):
        report = report_of('far', incarnation, 1)
        report = msgspec.structs.replace(report, host=host)
        peers.datagram_received(encode_message(report), None)
    assert peers.members['far'].address == Address('new', 7500)


def test_copies_of_two_processes_are_forwarded_once():
    # Guards against late copies from before a restart that count as new.
    transport = ListTransport()
    peers = PeerExchange('own', ManualClock(), RecordingLog(), 'zone-0')
    peers.connection_made(transport)
    near = report_of('near', '1', 1, zone='zone-0')
    peers.datagram_received(encode_message(near), None)
    order = [('1', 5), ('2', 1), ('1', 5), ('1', 6), ('2', 1), ('2', 2)]
    forwarded = []
    for incarnation, sequence in order:
        transport.sent.clear()
        report = report_of(
            'far', incarnation, sequence, zone='zone-1', relay='zone-0/own'
        )
        peers.datagram_received(encode_message(report), None)
        forwarded.append(len(transport.sent))
    assert forwarded == [1, 1, 0, 0, 0, 1]
    assert peers.members['far'].incarnation == '2'


def test_last_report_goes_to_all_directly():
    # Guards against counts of a process that are lost with the relay of its
    # last report, and against a relay that has ended.
    gateway = Gateway(ManualClock(), 'own')
    transport = ListTransport()
    gateway.peers.connection_made(transport)
    routes = routes_to(gateway.clock, {'zone-0': 8, 'zone-1': 8})
    gateway.peers.members.update(routes._members)
    gateway.peers.routes.zone = 'zone-0'
    gateway.peers.send_report(gateway.reporting.make_report())
    assert len(transport.sent) == 8 + 1
    report = decode_message(transport.sent[-1][0])
    assert (report.zone, report.hears_zone) == ('zone-0', True)
    assert report.relay.startswith('zone-1/zone-1-')
    transport.sent.clear()
    gateway.reporting.send_last()
    assert len(transport.sent) == 16
    report = decode_message(transport.sent[0][0])
    assert (report.relay, report.hears_zone) == ('', False)
