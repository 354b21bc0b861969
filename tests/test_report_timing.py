"""Ages by which gateways judge each other, at every size of the fleet."""

import math
import random
from datetime import timedelta

import pytest

from peridotrill.clock import ManualClock
from peridotrill.gateway.load_tracker import LoadTracker
from peridotrill.gateway.peers import PeerExchange
from peridotrill.gateway.report_timing import report_interval_s, silence_s
from peridotrill.gateway.shared_quotas import SharedQuotas
from peridotrill.settings import Address
from tests.gateway_builders import RecordingLog, advance, team

_SIZES = (4, 11, 68, 200, 420)
_LOSS_RATIO = 0.025
_WINDOW = timedelta(seconds=8)
_SMALLEST_AGE_S = 0.6


class QuietGateway:
    """One gateway that hears all others, which spend nothing."""

    def __init__(self, size, loss_ratio=0.0, relays=0):
        """:param relays: one of so many relays has failed; 0 without relays."""
        self.clock = ManualClock()
        self.peers = [f'front-{number}' for number in range(size - 1)]
        self.team = team(rate_per_s=1000, burst=1000)
        self.quotas = SharedQuotas(self.clock, _WINDOW, is_first_start=True)
        self.quotas.configure({self.team.name: self.team})
        for peer in self.peers:
            self.quotas.add_peer(peer)
        self._random = random.Random(size)
        self._loss_ratio = loss_ratio
        self._relays = relays
        self._sent = dict.fromkeys(self.peers, 0)
        self._next_s = {
            peer: self._random.uniform(0, self.interval_s)
            for peer in self.peers
        }

    @property
    def interval_s(self):
        return report_interval_s(len(self.peers))

    def run(self, seconds, silent=()):
        """Let time pass; each peer reports once in each interval."""
        for _ in range(math.ceil(seconds / 0.05)):
            advance(self.clock, 0.05)
            now_s = self.clock.monotonic_s()
            for peer in self.peers:
                if peer in silent or now_s < self._next_s[peer]:
                    continue
                self._next_s[peer] += self.interval_s
                self._sent[peer] += 1
                if self._relays and self._sent[peer] % self._relays == 0:
                    continue
                if self._random.random() >= self._loss_ratio:
                    self.quotas.observe_peer(peer, '1', {})
            self.quotas.end_report_interval()

    def stranded(self):
        """Return the part of the limit that counts as spent by others."""
        decision = self.quotas.admit(self.team, 10_000_000)
        limit = 1000 * _WINDOW.total_seconds() + 1000
        return 1 - decision.left / limit


@pytest.mark.parametrize('size', _SIZES)
def test_quiet_peers_strand_nothing_of_a_limit(size):
    # Guards against allowances that are refused although nothing has failed:
    # each peer counted as silent between two of its reports.
    gateway = QuietGateway(size, _LOSS_RATIO)
    gateway.run(4 * gateway.interval_s)
    gateway.run(_WINDOW.total_seconds())
    assert gateway.stranded() < 0.01


@pytest.mark.parametrize('size', [24, 68, 200, 420])
def test_quiet_peers_strand_nothing_behind_a_failed_relay(size):
    # Guards against allowances that are refused while one of the four relays
    # that a zone needs has failed. A report is lost on two ways.
    loss_ratio = 1 - (1 - _LOSS_RATIO) ** 2
    gateway = QuietGateway(size, loss_ratio, relays=4)
    gateway.run(4 * gateway.interval_s)
    gateway.run(_WINDOW.total_seconds())
    assert gateway.stranded() < 0.01


@pytest.mark.parametrize('size', _SIZES)
def test_silent_peers_count_as_spending_their_share(size):
    # Guards against a limit that is exceeded while half of the gateways are cut
    # off from the others.
    gateway = QuietGateway(size)
    gateway.run(4 * gateway.interval_s)
    half = gateway.peers[: len(gateway.peers) // 2]
    silence = silence_s(len(gateway.peers), _SMALLEST_AGE_S)
    gateway.run(silence + _WINDOW.total_seconds(), silent=half)
    assert gateway.stranded() == pytest.approx(len(half) / size, rel=0.05)


@pytest.mark.parametrize('size', _SIZES)
def test_peer_with_one_lost_report_stays_active(size):
    # Guards against a set of members that is never complete in a large fleet.
    clock = ManualClock()
    exchange = PeerExchange('front-x', clock, RecordingLog())
    for number in range(size - 1):
        exchange.add_member(f'front-{number}', Address('127.0.0.1', 7500))
    for member in exchange.members.values():
        member.heard_s = clock.monotonic_s()
    advance(clock, 2 * report_interval_s(size - 1))
    assert len(exchange.active_members()) == size - 1
    advance(clock, silence_s(size - 1, 1))
    assert not exchange.active_members()


@pytest.mark.parametrize('size', _SIZES)
def test_load_of_a_peer_counts_until_its_next_reports(size):
    # Guards against load that vanishes between two reports, so that busy engines
    # look free.
    clock = ManualClock()
    loads = LoadTracker(clock)
    for number in range(size - 1):
        loads.observe_peer(f'front-{number}', {'i-1': 1})
    advance(clock, 2 * report_interval_s(size - 1))
    loads.observe_peer('front-0', {'i-1': 1})
    assert loads.total('i-1') == size - 1
    advance(clock, silence_s(size - 1, 1) + 0.1)
    loads.observe_peer('front-0', {'i-1': 1})
    assert loads.total('i-1') == 1


@pytest.mark.parametrize('size', _SIZES)
def test_refused_caller_returns_after_the_next_reports(size):
    # Guards against callers that are told to come back before any gateway can
    # know more than now.
    gateway = QuietGateway(size)
    gateway.run(gateway.interval_s)
    while gateway.quotas.admit(gateway.team, 1).is_admitted:
        pass
    decision = gateway.quotas.admit(gateway.team, 1)
    assert decision.retry_after_s >= min(5, gateway.interval_s)


def test_started_gateway_imports_usage_in_a_large_fleet():
    # Guards against a gateway that stops importing before its peers have sent
    # what was spent, and refuses a whole window.
    clock = ManualClock()
    quotas = SharedQuotas(clock, _WINDOW)
    limited = team(rate_per_s=1000, burst=1000)
    quotas.configure({limited.name: limited})
    for number in range(419):
        quotas.add_peer(f'front-{number}')
    advance(clock, 3 * report_interval_s(419))
    quotas.import_usage({limited.name: [0, 0, 0, 0, 0, 0, 0, 0]})
    assert quotas.admit(limited, 1).is_admitted
