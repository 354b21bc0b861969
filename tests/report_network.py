"""Simulation of the reports of many gateways, with losses and cuts."""

import heapq
import itertools
import random
from collections import Counter, defaultdict

import msgspec

from peridotrill.clock import ManualClock
from peridotrill.gateway.part_directory import PartLocation
from peridotrill.gateway.peers import PeerExchange, Report, decode_message
from peridotrill.gateway.report_routes import FULL_REPORT_INTERVAL
from peridotrill.gateway.report_timing import report_interval_s, silence_s
from peridotrill.settings import Address
from tests.gateway_builders import RecordingLog, advance

# IPv4 and UDP headers of a datagram.
HEADER_BYTES = 28
_LATENCY_S = (0.0002, 0.003)


class EarlierReport(msgspec.Struct, array_like=True, frozen=True, tag='report'):
    """The report as the version before the relays has it, without defaults."""

    node: str
    incarnation: str
    sequence: int
    host: str
    port: int
    unix_s: float
    can_claim: bool
    spent: dict
    work: dict
    usage: dict
    parts: list
    demand: dict
    switching: list


def report_of(node, incarnation, sequence, **fields):
    """Return a report of the size that 19 teams and 24 engines give it."""
    teams = [f'team-{number:02}' for number in range(19)]
    engines = [f'i-{number:04x}' for number in range(8)]
    is_full = sequence % FULL_REPORT_INTERVAL == 0
    usage = {
        356_000_000 + window: {team: 40 + window for team in teams[:8]}
        for window in range(5)
    }
    return Report(
        node,
        incarnation,
        sequence,
        node,
        7500,
        1_780_000_000.123,
        True,
        {team: 61_000 + sequence for team in teams},
        {f'{engine}/read': 900 for engine in engines},
        usage if is_full else {},
        [PartLocation(f'{node}-{sequence}', engines[0], 1500)],
        {'chat': (81_234.5, 42_000.0)} if is_full else {},
        [],
        **fields,
    )


class SimulatedGateway:
    """Sends reports in its interval and records those that it accepts."""

    def __init__(self, network, node, zone, is_earlier=False):
        self.network = network
        self.node = node
        self.zone = zone
        self.is_earlier = is_earlier
        self.incarnation = '1'
        self.start()

    def start(self):
        """Start a process."""
        self.sequence = 0
        self.heard_s = defaultdict(list)
        self.full = Counter()
        # Incarnations of each node whose reports were accepted.
        self.processes = defaultdict(set)
        self.log = RecordingLog()
        self.peers = PeerExchange(
            self.node,
            self.network.clock,
            self.log,
            '' if self.is_earlier else self.zone,
        )
        self.peers.on_report = self._record
        self.peers.connection_made(self)
        for node in self.network.gateways:
            self.peers.add_member(node, Address(node, 7500))
        self.run_id = object()
        self.network.plan_reports(self)

    def restart(self, zone):
        """Replace the process by one in another zone."""
        self.incarnation += '1'
        self.zone = zone
        self.start()

    @property
    def interval_s(self):
        return report_interval_s(len(self.peers.members))

    def report(self, is_last=False):
        self.sequence += 1
        if self.is_earlier:
            return report_of(self.node, self.incarnation, self.sequence)
        return report_of(
            self.node,
            self.incarnation,
            self.sequence,
            zone=self.zone,
            hears_zone=not is_last and self.peers.routes.hears_zone,
        )

    def send_report(self):
        if self.is_earlier:
            self.peers.send(self.report())
        else:
            self.peers.send_report(self.report())

    def is_closing(self):
        return False

    def sendto(self, datagram, address):
        self.network.send(self, datagram, address.host)

    def _record(self, report):
        self.heard_s[report.node].append(self.network.clock.monotonic_s())
        self.full[report.node] += bool(report.usage)
        self.processes[report.node].add(report.incarnation)


class ReportNetwork:
    """Carries the datagrams and counts them."""

    def __init__(self, size, zones, loss_ratio=0.0, copy_ratio=0.0, seed=1):
        """:param size: number of gateways, spread evenly over the zones.

        :param copy_ratio: part of the datagrams that arrive twice.
        """
        self.clock = ManualClock()
        self.random = random.Random(seed)
        self.loss_ratio = loss_ratio
        self.copy_ratio = copy_ratio
        self.dead = set()
        # What gateways that are frozen will read.
        self._frozen = {}
        # Pairs (sender, recipient) whose datagrams are lost.
        self.cut = set()
        self.gateways = {}
        self._due = []
        self._numbers = itertools.count()
        self.reset()
        for number in range(size):
            zone = f'zone-{number % zones}'
            self.add(f'front-{number:02}', zone)
        for gateway in self.gateways.values():
            for node in self.gateways:
                gateway.peers.add_member(node, Address(node, 7500))

    def reset(self):
        """Forget what was counted."""
        self.began_s = self.clock.monotonic_s()
        self.sent = Counter()
        self.crossed = Counter()
        self.crossed_bytes = 0
        self.forwards = Counter()
        for gateway in self.gateways.values():
            gateway.heard_s.clear()
            gateway.full.clear()

    def add(self, node, zone, is_earlier=False):
        self.gateways[node] = SimulatedGateway(self, node, zone, is_earlier)
        return self.gateways[node]

    def plan_reports(self, gateway):
        first_s = self.random.uniform(0, 0.1)
        self._plan(first_s, self._send_reports, gateway, gateway.run_id)

    def _send_reports(self, gateway, run_id):
        if gateway.run_id is not run_id:
            return
        if gateway.node not in self.dead | self._frozen.keys():
            gateway.send_report()
            self.sent[gateway.node] += 1
        self._plan(gateway.interval_s, self._send_reports, gateway, run_id)

    def send(self, sender, datagram, node):
        self._count(sender, datagram, node)
        is_lost = self.random.random() < self.loss_ratio
        if is_lost or (sender.node, node) in self.cut:
            return
        for _ in range(1 + (self.random.random() < self.copy_ratio)):
            latency_s = self.random.uniform(*_LATENCY_S)
            self._plan(latency_s, self._deliver, sender.node, datagram, node)

    def _deliver(self, sender, datagram, node):
        if node in self._frozen:
            self._frozen[node].append((sender, datagram))
        elif node not in self.dead:
            receiver = self.gateways[node].peers
            receiver.datagram_received(datagram, (sender, 7500))

    def _count(self, sender, datagram, node):
        report = decode_message(datagram)
        zone = self.gateways[node].zone
        key = (report.node, report.incarnation, report.sequence)
        if sender.zone != zone:
            self.crossed[*key, zone] += 1
            self.crossed_bytes += len(datagram) + HEADER_BYTES
        if sender.node != report.node:
            self.forwards[*key, sender.node, node] += 1

    def _plan(self, delay_s, action, *arguments):
        due_s = self.clock.monotonic_s() + delay_s
        entry = (due_s, next(self._numbers), action, arguments)
        heapq.heappush(self._due, entry)

    def run(self, seconds):
        """Let time pass."""
        end_s = self.clock.monotonic_s() + seconds
        while self._due and self._due[0][0] <= end_s:
            due_s, _, action, arguments = heapq.heappop(self._due)
            advance(self.clock, max(0, due_s - self.clock.monotonic_s()))
            action(*arguments)
        advance(self.clock, max(0, end_s - self.clock.monotonic_s()))

    def freeze(self, node):
        self._frozen[node] = []

    def resume(self, node):
        for sender, datagram in self._frozen.pop(node):
            self._deliver(sender, datagram, node)

    def cut_off(self, node, others):
        """Cut one gateway off from others in both directions."""
        for other in others:
            self.cut |= {(node, other), (other, node)}

    def zone_of(self, node):
        zone = self.gateways[node].zone
        return [
            name
            for name, gateway in self.gateways.items()
            if gateway.zone == zone and name != node
        ]

    def pairs(self, excluded=()):
        """Return the receivers and senders that run."""
        left = [
            gateway
            for node, gateway in self.gateways.items()
            if node not in self.dead and node not in excluded
        ]
        return [
            (receiver, sender.node)
            for receiver, sender in itertools.permutations(left, 2)
        ]

    def silent_ratio(self, least_s, excluded=()):
        """Return the part of the time for which others counted as silent.

        It is the mean over all pairs of gateways that run.
        """
        silent_s = 0.0
        pairs = self.pairs(excluded)
        now_s = self.clock.monotonic_s()
        for receiver, sender in pairs:
            age_s = silence_s(len(receiver.peers.members), least_s)
            times = [self.began_s, *receiver.heard_s[sender], now_s]
            for before_s, after_s in itertools.pairwise(times):
                silent_s += max(0, after_s - before_s - age_s)
        return silent_s / len(pairs) / (now_s - self.began_s)

    def least_full(self, excluded=()):
        """Return the fewest full reports that any pair has exchanged."""
        return min(
            receiver.full[sender] for receiver, sender in self.pairs(excluded)
        )

    def longest_gap_s(self, excluded=()):
        now_s = self.clock.monotonic_s()
        return max(
            after_s - before_s
            for receiver, sender in self.pairs(excluded)
            for before_s, after_s in itertools.pairwise(
                [self.began_s, *receiver.heard_s[sender], now_s]
            )
        )

    def received_ratio(self):
        """Return the part of the reports that arrived, over all pairs."""
        pairs = self.pairs()
        received = sum(
            len(receiver.heard_s[sender]) for receiver, sender in pairs
        )
        return received / sum(self.sent[sender] for _, sender in pairs)
