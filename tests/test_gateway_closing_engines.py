"""Targets that end each connection with its response, as HTTP allows."""

import re
import time

import httpx
import pytest

from standins.platform_engine import ScriptedEngine
from tests.gateway_builders import prompt_headers
from tests.gateway_site import DECODE, call, run_site

_REQUESTS = 100


@pytest.fixture(scope='module')
def caller():
    with httpx.Client() as client:
        yield client


def closing_engines(versions, closing_share=1.0):
    engines = [
        ScriptedEngine('i-till-1', 'till', 'a'),
        ScriptedEngine('i-till-2', 'till', 'a'),
        ScriptedEngine('i-pre', 'llm', 'a', 'prefill'),
        *(ScriptedEngine(f'i-{name}', 'llm', 'a', DECODE) for name in 'abc'),
    ]
    for engine, version in zip(engines[-3:], versions, strict=True):
        engine.software_version = version
    for engine in engines:
        engine.closing_share = closing_share
    return tuple(engines)


@pytest.mark.parametrize('closing_share', [0.3, 1.0])
@pytest.mark.parametrize('versions', [('v1', 'v1', 'v1'), ('v1', 'v2', 'v1')])
def test_targets_that_close_their_connections_serve(
    tmp_path, caller, versions, closing_share
):
    # Guards against sound targets that count as unreachable, because no
    # connection stays open after the report that identifies its process.
    engines = closing_engines(versions, closing_share)
    with run_site(tmp_path, engines) as site:
        gateways = site.start_gateways('front-a-1', 'front-b-1')
        for kind in ('quick', 'pay'):
            statuses = [
                call(
                    gateways[number % 2],
                    f'/{kind}/x',
                    f'{kind}-{number}',
                    client=caller,
                    **prompt_headers(50),
                ).status_code
                for number in range(_REQUESTS)
            ]
            assert statuses.count(200) >= 0.99 * _REQUESTS


def test_broken_stream_of_a_target_that_closes_goes_on(tmp_path, caller):
    # Guards against an identity that only a kept connection can prove.
    with run_site(tmp_path, closing_engines(('v1', 'v2', 'v1'))) as site:
        (gateway,) = site.start_gateways('front-a-1')
        for engine in site.engines.values():
            engine.names_version = True
            engine.event_count = 4
        whole = 0
        for number in range(20):
            for engine in site.engines.values():
                engine.plan = ['cut'] if engine.role == DECODE else []
            try:
                response = call(
                    gateway,
                    '/quick/x',
                    f'cut-{number}',
                    client=caller,
                    **prompt_headers(50),
                )
            except httpx.RemoteProtocolError:
                # Begun by v2, of which there is no second target.
                continue
            whole += response.text.count('data: token') == 4
            assert not (': v1' in response.text and ': v2' in response.text)
        assert whole >= 5


@pytest.mark.parametrize('closing_share', [0.0, 1.0])
def test_target_whose_report_names_no_start_time_serves(
    tmp_path, caller, closing_share
):
    # Guards against sound targets that are refused for what they do not tell.
    engines = closing_engines(('v1', 'v2', 'v1'))
    for engine in engines:
        engine.closing_share = closing_share
        engine.names_start_time = False
    with run_site(tmp_path, engines) as site:
        (gateway,) = site.start_gateways('front-a-1')
        statuses = [
            call(
                gateway,
                '/quick/x',
                f'unnamed-{number}',
                client=caller,
                **prompt_headers(50),
            ).status_code
            for number in range(_REQUESTS)
        ]
        assert statuses.count(200) >= 0.99 * _REQUESTS


def test_target_that_fails_while_it_is_ready_is_named(tmp_path, caller):
    # Guards against a target that all gateways avoid, and nobody hears of it.
    engines = closing_engines(('v1', 'v1', 'v1'), closing_share=0.0)
    with run_site(tmp_path, engines) as site:
        (gateway,) = site.start_gateways('front-a-1')
        for engine in site.engines.values():
            engine.default_fault = 'reset' if engine.service == 'till' else ''
        end_s = time.monotonic() + 2.5
        while time.monotonic() < end_s:
            call(gateway, '/read/x', f'read-{time.monotonic()}', client=caller)
        log = gateway.read_log()
        assert re.search('event=target_avoided .*failure=broken', log)
