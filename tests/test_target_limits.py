"""Limits that targets name, shared by all gateways; without a network."""

import random
from collections import Counter
from functools import partial

import pytest

from peridotrill.clock import ManualClock
from peridotrill.gateway.target_connections import ResponseHead
from peridotrill.gateway.target_limits import TargetLimits
from peridotrill.platform.wire import decode_response_head
from tests.gateway_builders import RecordingLog, advance

TARGET = 'i-1'
# The users' rule: in any WINDOW_S at most EXCESS_RATIO times what the limit
# allows, and EXCESS more.
WINDOW_S, EXCESS_RATIO, EXCESS = 4, 1.5, 5
STEP_S = 0.02


class Cluster:
    """Gateways that send as much to one target as its limit allows."""

    def __init__(self, gateways, rate_per_s, loss=0):
        self.clock = ManualClock()
        advance(self.clock, 100)
        self.limits = [
            TargetLimits(
                f'peer-{number}',
                partial(self._peers, number),
                self.clock,
                RecordingLog(),
            )
            for number in range(gateways)
        ]
        for number, limits in enumerate(self.limits):
            for peer in self._peers(number):
                limits.quotas.add_peer(peer)
        self.rate_per_s = rate_per_s
        self.sent_s = []
        self._random = random.Random(1)
        self._loss = loss

    def _peers(self, number):
        return [
            f'peer-{peer}' for peer in range(len(self.limits)) if peer != number
        ]

    def play(self, duration_s, attempts=3):
        """Let each gateway try to send in each step; report in between."""
        interval = max(5, round(0.012 * len(self.limits) / STEP_S))
        for step in range(round(duration_s / STEP_S)):
            for number, limits in enumerate(self.limits):
                for _ in range(attempts):
                    self._try_to_send(limits)
                if step % interval == number % interval:
                    self._report(number)
            advance(self.clock, STEP_S)

    def _try_to_send(self, limits):
        if limits.has_room(TARGET):
            limits.charge(TARGET)
            self.sent_s.append(self.clock.monotonic_s())
            limits.observe(TARGET, self.rate_per_s)

    def _report(self, number):
        limits = self.limits[number]
        named, spent = limits.report(), limits.spent()
        limits.quotas.end_report_interval()
        for peer, other in enumerate(self.limits):
            if peer != number and self._random.random() >= self._loss:
                other.observe_peer(named)
                other.quotas.observe_peer(f'peer-{number}', '1', spent)

    def most_in_window(self, since_s):
        times_s = [at_s for at_s in self.sent_s if at_s >= since_s]
        return max(
            sum(start_s <= at_s < start_s + WINDOW_S for at_s in times_s)
            for start_s in times_s
        )


@pytest.mark.parametrize('loss', [0, 0.2])
@pytest.mark.parametrize('gateways', [1, 5, 23])
@pytest.mark.parametrize('rate_per_s', [4, 30, 200])
def test_all_gateways_together_keep_to_the_limit(gateways, rate_per_s, loss):
    # Guards against a limit that each gateway keeps for itself.
    cluster = Cluster(gateways, rate_per_s, loss)
    cluster.limits[0].observe(TARGET, rate_per_s)
    cluster._report(0)
    cluster._report(0)
    named_s = cluster.clock.monotonic_s()
    cluster.play(12)
    allowed = EXCESS_RATIO * rate_per_s * WINDOW_S + EXCESS
    assert cluster.most_in_window(named_s + 3) <= allowed
    # The limit is used: otherwise callers would wait for nothing.
    used = sum(at_s >= named_s + 4 for at_s in cluster.sent_s) / 8
    assert used >= 0.5 * rate_per_s


@pytest.mark.parametrize('rate_per_s', [0, 0.3, 1])
def test_low_limits_are_kept_and_still_show_their_end(rate_per_s):
    # Guards against a target that gets nothing, so that no response can tell
    # that its limit has ended.
    cluster = Cluster(5, rate_per_s)
    for limits in cluster.limits:
        limits.observe(TARGET, rate_per_s)
    named_s = cluster.clock.monotonic_s()
    cluster.play(12)
    allowed = EXCESS_RATIO * rate_per_s * WINDOW_S + EXCESS
    assert 1 <= cluster.most_in_window(named_s + 3) <= allowed


def test_limit_holds_for_gateways_that_no_response_has_told():
    # Guards against gateways that exceed a limit until they are told.
    cluster = Cluster(2, 4)
    first, second = cluster.limits
    first.observe(TARGET, 4)
    second.observe_peer(first.report())
    assert second.limited_targets == 1


def test_limit_ends_with_responses_that_do_not_name_it():
    # Guards against limits that stay in force, and against one that ends by a
    # response that was sent before it began.
    log = RecordingLog()
    clock = ManualClock()
    limits = TargetLimits('n', list, clock, log)
    limits.observe(TARGET, 4)
    advance(clock, 0.5)
    limits.observe(TARGET, None)
    assert limits.limited_targets == 1
    named = limits.report()
    advance(clock, 0.6)
    limits.observe(TARGET, None)
    assert not limits.limited_targets
    # A peer that has had no response since then does not bring it back.
    limits.observe_peer(
        {name: (rate, 1100) for name, (rate, _) in named.items()}
    )
    assert not limits.limited_targets
    assert [event for event, _ in log.events] == [
        'target_limited',
        'target_unlimited',
    ]


def test_limit_without_responses_is_forgotten():
    # Guards against limits of targets that are gone, kept alive by reports.
    clock = ManualClock()
    first, second = (
        TargetLimits('n', list, clock, RecordingLog()) for _ in range(2)
    )
    first.observe(TARGET, 4)
    for _ in range(70):
        second.observe_peer(first.report())
        first.observe_peer(second.report())
        advance(clock, 1)
    assert not first.report()
    assert not second.report()


def test_replaced_target_has_no_limit():
    # Guards against a limit that outlives the process that named it.
    limits = TargetLimits('n', list, ManualClock(), RecordingLog())
    limits.observe(TARGET, 4)
    limits.forget(TARGET)
    assert not limits.limited_targets
    assert limits.has_room(TARGET)


@pytest.mark.parametrize(
    ('content', 'expected'),
    [
        (b'31.25', 31.25),
        (b' 4 ', 4.0),
        (b'0', 0.0),
        (b'-1', None),
        (b'nan', None),
        (b'inf', None),
        (b'fast', None),
        (b'', None),
    ],
)
def test_limit_is_decoded_and_not_forwarded(content, expected):
    # Guards against malformed limits, and against callers that see a limit
    # which concerns the gateways.
    head = ResponseHead(200, [(b'server-limit', content), (b'x-a', b'1')])
    response = decode_response_head(head)
    assert response.limit_per_s == expected
    assert response.headers == [(b'x-a', b'1')]


@pytest.mark.parametrize('rate_per_s', [7, 30])
def test_limit_is_used_evenly(rate_per_s):
    # Guards against gateways that use up a window at once and then leave their
    # callers waiting until the next one.
    cluster = Cluster(5, rate_per_s)
    cluster.limits[0].observe(TARGET, rate_per_s)
    cluster.play(10)
    per_second = Counter(int(at_s) for at_s in cluster.sent_s)
    settled = [per_second[second] for second in range(102, 110)]
    assert min(settled) >= 0.5 * rate_per_s
    assert max(settled) <= 1.5 * rate_per_s
