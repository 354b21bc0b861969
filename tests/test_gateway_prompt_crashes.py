"""Real gateways while one part of prompts crashes each engine."""

import itertools
import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from peridotrill.prompt_quarantine import MIN_CRASHES
from tests.gateway_site import call, run_site, wait_until

DEADLY, COMMON = 'dead', 'c0'
# Bounds of the users' rules: from CONTACT_S after the fifth crash, at most
# three requests with the part may reach engines.
MAX_CRASHES, CONTACT_S, MAX_LATE_REQUESTS = 5, 3, 3
DEADLY_REQUESTS, SOUND_REQUESTS = 12, 10

_numbers = itertools.count()


@pytest.fixture
def site(tmp_path):
    with run_site(tmp_path) as running:
        yield running


def draft(gateway, *parts, route='draft'):
    """Send a prompt with these shared parts and one of its own.

    :param route: ``quick`` may be sent again, ``draft`` may not.
    """
    number = next(_numbers)
    rows = [f'{part}:1000' for part in parts]
    return call(
        gateway,
        f'/{route}/{number}',
        f'crash-{number}',
        **{
            'X-Peridotrill-Model': 'm',
            'X-Peridotrill-Token-Count': f'{1000 * len(rows) + 200},20',
            'X-Peridotrill-Prompt-Prefix': ','.join(
                (*rows, f'{number:08x}:200')
            ),
        },
    )


def crash_count(site):
    return sum(engine.crashes for engine in site.engines.values())


def reached_engines(site):
    """Return the ids of the requests with the part that engines received."""
    return {
        row['x-peridotrill-request-id']
        for engine in site.engines.values()
        for row in engine.received
        if DEADLY in row.get('x-peridotrill-prompt-prefix', '')
    }


def wait_for_engines(site):
    wait_until(
        lambda: not any(row.crashed.is_set() for row in site.engines.values())
    )
    time.sleep(0.8)


def crash_engines(site, gateways):
    """Send requests with the part to the gateways in turn."""
    for engine in site.engines.values():
        engine.deadly_part = DEADLY
    for _, gateway in zip(
        range(DEADLY_REQUESTS), itertools.cycle(gateways), strict=False
    ):
        if crash_count(site) >= MAX_CRASHES:
            return
        draft(gateway, COMMON, DEADLY)
        wait_for_engines(site)
        assert draft(gateway, COMMON).status_code == 200


def test_prompt_part_that_crashes_engines_is_no_longer_sent(site):
    # Guards against gateways that crash engine after engine with one prompt part.
    gateways = site.start_gateways('front-a-1', 'front-a-2')
    crash_engines(site, gateways)
    time.sleep(CONTACT_S)
    before = reached_engines(site)
    started_s = time.monotonic()
    answers = [draft(row, COMMON, DEADLY) for row in gateways * 4]
    elapsed_s = time.monotonic() - started_s
    late = reached_engines(site) - before
    assert len(late) <= MAX_LATE_REQUESTS, late
    # Such a request is rejected at once, and not by blaming the caller.
    assert {row.status_code for row in answers} == {503}
    assert elapsed_s < len(answers)


def test_prompts_that_share_other_parts_are_served_after_crashes(site):
    # Guards against the rejection of sound prompts beside those that crash.
    gateways = site.start_gateways('front-a-1', 'front-a-2')
    crash_engines(site, gateways)
    wait_for_engines(site)
    for gateway in gateways:
        for _ in range(SOUND_REQUESTS):
            assert draft(gateway, COMMON).status_code == 200
            assert draft(gateway, COMMON, 'e5').status_code == 200


def end_next_request(*engines):
    """Let the engine that runs the next prompt end together with the others."""
    for engine in engines:
        engine.deadly_part = COMMON
        engine.neighbours = [row for row in engines if row is not engine]


def use_engines(gateway, engines):
    """Let the gateway open connections to all of the engines."""
    rows = [f'{number:x}0' for number in range(16)]
    with ThreadPoolExecutor(len(rows)) as callers:
        for _ in range(2):
            list(callers.map(lambda row: draft(gateway, row), rows))
    assert all(engine.runs for engine in engines)


def restart_engines(site):
    wait_for_engines(site)
    for engine in site.engines.values():
        engine.deadly_part = ''
        engine.neighbours = []


def test_part_is_not_held_after_two_engines_ended_together(site):
    # Guards against a popular part that is held for 30 s: its request is sent
    # again at once, on a connection whose end has not arrived yet.
    (gateway,) = site.start_gateways('front-a-1')
    engines = [site.engines[name] for name in ('i-dec-1', 'i-dec-2')]
    use_engines(gateway, engines)
    for crashes in (1, 2):
        end_next_request(*engines)
        draft(gateway, COMMON, route='quick')
        restart_engines(site)
        assert [engine.crashes for engine in engines] == [crashes, crashes]
    assert draft(gateway, COMMON).status_code == 200


def test_part_that_crashes_engines_at_once_is_held_after_few(site):
    # Guards against retries that are excused although they end engines that
    # were running when the former engine had ended.
    (gateway,) = site.start_gateways('front-a-1')
    use_engines(gateway, [site.engines['i-dec-1'], site.engines['i-dec-2']])
    for engine in site.engines.values():
        engine.processing_s = 0
    for engine in site.engines.values():
        engine.deadly_part = DEADLY
    for _ in range(4):
        draft(gateway, DEADLY, route='quick')
        wait_for_engines(site)
    assert crash_count(site) <= MIN_CRASHES + 1
