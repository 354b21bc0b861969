"""Real gateways while one part of prompts crashes each engine."""

import itertools
import time

import pytest

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


def draft(gateway, *parts):
    """Send a prompt with these shared parts and one of its own."""
    number = next(_numbers)
    rows = [f'{part}:1000' for part in parts]
    return call(
        gateway,
        '/draft/x',
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
