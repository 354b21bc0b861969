"""Model engines that serve well and answer the questions about them late."""

import re
from concurrent.futures import ThreadPoolExecutor

import pytest

from tests.gateway_builders import prompt_headers
from tests.gateway_site import call, run_site
from tests.test_gateway_stream_versions import (
    _OLD,
    leave_after_first_event,
    mixed_engines,
    quick,
)

_STREAMS = 16


@pytest.mark.parametrize('delay_s', [0.25, 0.5])
def test_streams_begin_while_reports_are_slow(tmp_path, delay_s):
    # Guards against sound engines of the only version that count as
    # unreachable, and streams that wait for more than one report, because the
    # answer to the question which process runs comes late.
    with run_site(tmp_path, mixed_engines(d1=_OLD, d2=_OLD)) as site:
        (gateway,) = site.start_gateways('front-a-1', is_first_start=True)
        # Each engine is asked once while it responds to that at once.
        for name in ('i-d1', 'i-d2'):
            site.engines[name].default_fault = 'shed'
            assert quick(gateway, f'without-{name}').status_code == 200
            site.engines[name].default_fault = ''
        for engine in site.engines.values():
            engine.report_delay_s = delay_s
            engine.event_interval_s = 0.1
        with ThreadPoolExecutor(_STREAMS) as pool:
            found = list(
                pool.map(
                    lambda number: (
                        call(
                            gateway,
                            '/quick/x',
                            f'slow-{number}',
                            **prompt_headers(50),
                        ).status_code
                    ),
                    range(_STREAMS),
                )
            )
        log = gateway.read_log()
        assert found.count(200) >= 0.9 * _STREAMS
        first_ms = sorted(map(int, re.findall(r'first_ms=(\d+)', log)))
        assert first_ms[len(first_ms) // 2] < 200 + 1000 * delay_s
        assert log.count('process_not_identified') == 0


def test_streams_are_served_after_reports_have_timed_out(tmp_path):
    # Guards against targets that count as possibly restarted, and refuse all
    # streams on new connections, because one answer about them came late.
    with run_site(tmp_path, mixed_engines(d1=_OLD, d2=_OLD)) as site:
        (gateway,) = site.start_gateways('front-a-1', is_first_start=True)
        for name in ('i-d1', 'i-d2'):
            site.engines[name].default_fault = 'shed'
            leave_after_first_event(gateway, f'warm-{name}')
            site.engines[name].default_fault = ''
        for engine in site.engines.values():
            engine.report_delay_s = 0.5
            engine.event_interval_s = 0.2
        for number in range(6):
            leave_after_first_event(gateway, f'left-{number}')
        found = [quick(gateway, f'whole-{row}').status_code for row in range(6)]
        assert found.count(200) >= 5
