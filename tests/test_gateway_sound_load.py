"""A real gateway that gets much from a few sound engines."""

import asyncio
import itertools
import time
from collections import Counter

import httpx

from standins.platform_engine import ScriptedEngine
from tests.gateway_builders import HOST, prompt_headers
from tests.gateway_site import DECODE, run_site

_CALLERS = 24
_LOAD_S = 6.0
_EVENTS = 300
_numbers = itertools.count()


async def _call_until(url, until_s, results):
    async with httpx.AsyncClient(timeout=8, verify=False) as client:  # noqa: S501
        while time.monotonic() < until_s:
            headers = {
                'Host': HOST,
                'X-Peridotrill-Request-Id': f'load-{next(_numbers)}',
                'X-Peridotrill-Deadline-Ms': '6000',
                'Authorization': 'Bearer key-g',
                **prompt_headers(50, output=_EVENTS),
            }
            try:
                response = await client.post(f'{url}/draft/x', headers=headers)
            except httpx.HTTPError as error:
                results[type(error).__name__] += 1
            else:
                results[response.status_code] += 1


async def _load(url):
    results = Counter()
    until_s = time.monotonic() + _LOAD_S
    await asyncio.gather(
        *(_call_until(url, until_s, results) for _ in range(_CALLERS))
    )
    return results


def test_sound_engine_under_load_is_not_broken_off(tmp_path):
    # Guards against a limit on responses that a busy sound engine exceeds.
    engines = [
        ScriptedEngine('i-till-1', 'till', 'a'),
        ScriptedEngine('i-pre', 'llm', 'a', 'prefill'),
        ScriptedEngine('i-dec', 'llm', 'a', DECODE),
    ]
    engines[-1].event_count = _EVENTS
    engines[-1].event_interval_s = 0
    with run_site(tmp_path, engines) as site:
        (gateway,) = site.start_gateways('front-a-1')
        results = asyncio.run(_load(gateway.url))
        log = gateway.read_log()
    assert 'failure=excessive' not in log
    assert results[502] == results['RemoteProtocolError'] == 0
    # Enough to exceed a limit of some thousand events a second for a target.
    assert results[200] * _EVENTS > 2000 * _LOAD_S
