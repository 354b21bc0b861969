"""Speed at which engines read prompts, and what follows from it."""

import random
from datetime import timedelta

import pytest

from peridotrill.clock import ManualClock
from peridotrill.gateway.admission_queue import Reservation
from peridotrill.gateway.cluster_state import ClusterState, FreshnessBounds
from peridotrill.gateway.load_tracker import LoadTracker
from peridotrill.gateway.peers import (
    PeerExchange,
    Report,
    decode_message,
    encode_message,
)
from peridotrill.gateway.placement import Placement
from peridotrill.gateway.prefill_speed import PrefillSpeed
from peridotrill.gateway.target_health import TargetHealth
from peridotrill.gateway.target_limits import TargetLimits
from peridotrill.gateway.targets import TargetRole
from tests.gateway_builders import RecordingLog, advance, prompt, target

_OVERHEAD_MS = 30


def report(slowdowns):
    """Return a report of a gateway that only knows the speed of engines."""
    return Report(
        'front-a-1',
        'x',
        1,
        '127.0.0.1',
        1,
        0.0,
        True,
        {},
        {},
        {},
        [],
        {},
        [],
        slowdowns=slowdowns,
    )


def taught(ratio, service='llm', seed=1):
    """Return what a gateway learns of engines that are ``ratio`` times slower."""
    speed = PrefillSpeed()
    random_source = random.Random(seed)
    for _ in range(40):
        model_ms = random_source.uniform(20, 400)
        noise = random_source.uniform(0.8, 1.25)
        took_ms = _OVERHEAD_MS + model_ms * ratio * noise
        speed.record(service, model_ms, took_ms)
    return speed


@pytest.mark.parametrize('ratio', [0.5, 1, 2.3, 5])
def test_speed_is_learned_from_the_time_of_prompts(ratio):
    # Guards against forecasts that assume the engines of another deployment.
    assert taught(ratio).slowdown('llm') == pytest.approx(ratio, rel=0.1)


def test_services_are_learned_separately():
    # Guards against a slow service that slows the forecasts of a fast one.
    assert taught(3).slowdown('other') == 1


def test_few_or_short_prompts_teach_nothing():
    # Guards against forecasts that follow the overhead of single calls.
    speed = PrefillSpeed()
    for _ in range(4):
        speed.record('llm', 200, 2000)
    for _ in range(50):
        speed.record('llm', 10, 500)
    assert speed.slowdown('llm') == 1


def test_stuck_prompts_do_not_teach():
    # Guards against an engine that hangs for a while and makes all forecasts
    # hopeless.
    speed = taught(1)
    for _ in range(15):
        speed.record('llm', 150, 5000)
    assert speed.slowdown('llm') < 1.5
    for _ in range(100):
        speed.record('llm', 150, 50000)
    assert speed.slowdown('llm') <= 8


def test_gateways_use_the_median_of_all():
    # Guards against a gateway that has had no long prompt, or unusual ones, and
    # forecasts otherwise than the others.
    speed = PrefillSpeed()
    for number, ratio in enumerate((2.2, 2.3, 7.0)):
        speed.observe_peer(f'front-{number}', {'llm': ratio})
    assert speed.slowdown('llm') == 2.3


def test_report_with_a_speed_that_is_no_number_is_dropped():
    # Guards against a report that makes all forecasts infinite.
    bad = encode_message(report({'llm': float('inf')}))
    peers = PeerExchange('front-b-1', ManualClock(), RecordingLog())
    peers.datagram_received(bad, None)
    assert decode_message(bad) is None
    assert not peers.members


class Site:
    """Placement of one gateway, before engines of a given speed."""

    def __init__(self):
        self.clock = ManualClock()
        log = RecordingLog()
        state = ClusterState(
            self.clock,
            FreshnessBounds(timedelta(seconds=4), timedelta(seconds=1)),
            log,
            is_first_start=True,
        )
        state.update_target(target('i-pre', TargetRole.PREFILL, slots=64))
        state.update_target(target('i-dec', TargetRole.DECODE, slots=64))
        self.loads = LoadTracker(self.clock)
        self.placement = Placement(
            state,
            self.loads,
            TargetHealth(self.clock),
            TargetLimits('front-a-1', list, self.clock, log),
            self.clock,
            'a',
        )

    def reserve(self, unshared):
        found = self.placement.prefill_finder(
            'llm', prompt(shared=0, unshared=unshared, part_id=None), set()
        )()
        if found is not None:
            self.loads.begin(found)
        return found

    def serve(self, slowdown, count=20):
        """Read prompts one after the other."""
        for _ in range(count):
            found = self.reserve(12_000)
            model_ms = found.prefill_ms / found.slowdown
            took_ms = _OVERHEAD_MS + model_ms * slowdown
            advance(self.clock, took_ms / 1000)
            self.loads.end(found)
            self.placement.record_prefill_time(found, took_ms)


@pytest.mark.parametrize('slowdown', [1, 2.3])
def test_engine_is_given_work_for_the_same_time_at_any_speed(slowdown):
    # Guards against slow engines with half a second of prompts before them,
    # while the queue at the gateway, which serves urgent ones first, is empty.
    site = Site()
    site.serve(slowdown)
    granted = [found for _ in range(50) if (found := site.reserve(3_000))]
    at_prefill = [row for row in granted if row.target.target_id == 'i-pre']
    work_ms = sum(
        row.prefill_ms / row.slowdown * slowdown for row in at_prefill
    )
    assert 240 <= work_ms <= 240 + 100 * slowdown


def test_demand_counts_the_time_that_engines_need():
    # Guards against a plan of roles that takes slow engines for idle ones.
    site = Site()
    expected_ms = site.placement.prefill_work_ms('llm', prompt(0, 10_000))
    site.serve(2.3)
    found_ms = site.placement.prefill_work_ms('llm', prompt(0, 10_000))
    assert found_ms == pytest.approx(2.3 * expected_ms, rel=0.05)


def test_speed_is_kept_while_requests_run():
    # Guards against a prompt that was placed before the speed was known, and is
    # taken for a fast one when it has been read.
    site = Site()
    before = site.reserve(12_000)
    site.loads.end(before)
    site.serve(4)
    site.placement.record_prefill_time(
        before, _OVERHEAD_MS + before.prefill_ms * 4
    )
    assert site.placement.speed.slowdown('llm') == pytest.approx(4, rel=0.05)


def test_report_carries_the_speed_to_new_gateways():
    # Guards against a gateway that starts and forecasts by the engine model.
    speed = taught(2.3)
    received = decode_message(encode_message(report(speed.local_slowdowns())))
    started = PrefillSpeed()
    started.observe_peer(received.node, received.slowdowns)
    assert started.slowdown('llm') == pytest.approx(2.3, rel=0.1)


def test_slow_engine_gets_less_prefill_and_does_not_slow_the_forecasts():
    # Guards against one slow engine that holds as many prompts as the others,
    # and makes the prompts at all of them look slow.
    site = Site()
    engines = [
        target(name, TargetRole.PREFILL, slots=64) for name in ('a', 'b', 'c')
    ]
    for row in engines:
        site.placement._cluster_state.update_target(row)
    for _ in range(20):
        for row in engines:
            took_ms = 200 if row.target_id == 'a' else 100
            site.placement.record_prefill_time(
                Reservation(row, prefill_ms=100), _OVERHEAD_MS + took_ms
            )
        advance(site.clock, 0.3)
    # The samples of one gateway do not outweigh the prior altogether.
    learnt = site.placement.target_speeds.learnt('a')
    assert 1.5 < learnt <= 2
    assert site.placement.speed.slowdown('llm') == pytest.approx(1, rel=0.05)
    granted = [found for _ in range(50) if (found := site.reserve(3_000))]
    counts = [
        sum(row.target.target_id == name for row in granted)
        for name in ('a', 'b', 'c')
    ]
    # The same time of work, but for one prompt with which each exceeds it.
    assert 0 < counts[0] < min(counts[1:])
    assert (counts[0] - 1) * learnt <= min(counts[1:])
