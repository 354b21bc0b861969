"""Speed of targets, and how their work is spread; without a network."""

import pytest

from peridotrill.clock import ManualClock
from peridotrill.gateway.reported_slowness import ReportedSlowness
from tests.gateway_builders import advance
from tests.gateway_site import call, run_site, wait_until


def test_stated_slowness_applies_only_for_some_hundred_milliseconds():
    # Guards against a target that is avoided for a slowness that has ended.
    clock = ManualClock()
    reported = ReportedSlowness(clock)
    reported.observe('i-1', 2.5)
    assert reported.slowness('i-1') == pytest.approx(2.5)
    advance(clock, 0.15)
    assert reported.slowness('i-1') == pytest.approx(1.75)
    advance(clock, 0.15)
    assert reported.slowness('i-1') == pytest.approx(1)
    advance(clock, 10)
    assert reported.slowness('i-1') == 1


@pytest.mark.parametrize('slowness', [1e-5, 0.01, 99999.99, 1e300])
def test_wrong_figure_is_bounded(slowness):
    # Guards against a target that gets all requests, or none, by its own figure.
    reported = ReportedSlowness(ManualClock())
    reported.observe('i-1', slowness)
    assert 0.5 <= reported.slowness('i-1') <= 4


def test_figure_is_forgotten_with_the_target():
    # Guards against a new process that is taken for the slow one before it.
    reported = ReportedSlowness(ManualClock())
    reported.observe('i-1', 2.5)
    reported.forget('i-1')
    assert reported.slowness('i-1') == 1


def test_malformed_loads_are_logged_at_a_bounded_rate():
    # Guards against a log line for each response of a target.
    clock = ManualClock()
    reported = ReportedSlowness(clock)
    logged = []
    for _ in range(300):
        logged.append(reported.count_malformed())
        advance(clock, 0.01)
    counts = [count for count in logged if count is not None]
    assert len(counts) in {3, 4}
    assert counts[-1] > 200


def test_malformed_loads_are_counted_and_responses_forwarded(tmp_path):
    # Guards against loads that are dropped without a trace, and against a
    # response that fails for its load.
    with run_site(tmp_path) as site:
        (gateway,) = site.start_gateways('front-a-1')
        for engine in site.engines.values():
            engine.load = b'1,0,8,quick'
        assert call(gateway, '/read/x', 'a').status_code == 200
        wait_until(lambda: 'event=load_unreadable' in gateway.read_log(), 5)
        for engine in site.engines.values():
            engine.load = b'1,0,8,250'
        before = gateway.read_log().count('load_unreadable')
        assert call(gateway, '/read/x', 'b').status_code == 200
        assert gateway.read_log().count('load_unreadable') == before
