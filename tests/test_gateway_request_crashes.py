"""Real gateways while one request crashes each target that runs it."""

import itertools
import time

import pytest

from tests.gateway_builders import prompt_headers
from tests.gateway_site import call, run_site, wait_until

# Bounds of the users' rules: from CONTACT_S after the third crash, at most
# three retries of the request may reach targets.
MAX_CRASHES, CONTACT_S, MAX_LATE_ARRIVALS = 3, 3, 3
DEADLY_REQUESTS, SOUND_REQUESTS = 12, 10

_numbers = itertools.count()


@pytest.fixture
def site(tmp_path):
    with run_site(tmp_path) as running:
        yield running


def ask(gateway, path):
    headers = {}
    if path.startswith('/quick'):
        number = next(_numbers)
        headers = prompt_headers(part_id=f'{number:08x}')
    return call(gateway, path, f'deadly-{next(_numbers)}', **headers)


def crash_count(site):
    return sum(engine.crashes for engine in site.engines.values())


def arrivals(site, path):
    return sum(
        row['path'] == path
        for engine in site.engines.values()
        for row in engine.received
    )


def wait_for_engines(site):
    wait_until(
        lambda: not any(row.crashed.is_set() for row in site.engines.values())
    )
    time.sleep(0.8)


def crash_targets(site, gateways, path):
    """Send the request to the gateways in turn until targets have crashed."""
    for engine in site.engines.values():
        engine.deadly_path = path
    for _, gateway in zip(
        range(DEADLY_REQUESTS), itertools.cycle(gateways), strict=False
    ):
        if crash_count(site) >= MAX_CRASHES:
            return
        ask(gateway, path)
        wait_for_engines(site)


@pytest.mark.parametrize('route', ['read', 'pay', 'quick'])
def test_request_that_crashes_its_targets_is_no_longer_sent(site, route):
    # Guards against gateways that crash target after target with one request.
    gateways = site.start_gateways('front-a-1', 'front-a-2')
    path = f'/{route}/deadly'
    crash_targets(site, gateways, path)
    time.sleep(CONTACT_S)
    before = arrivals(site, path)
    answers = []
    for gateway in gateways * 4:
        answers.append(ask(gateway, path))
        wait_for_engines(site)
    assert arrivals(site, path) - before <= MAX_LATE_ARRIVALS
    assert crash_count(site) <= MAX_CRASHES + 1
    # Such a request is rejected at once, with a time to return.
    assert {row.status_code for row in answers} == {503}
    assert all(float(row.headers['retry-after']) >= 1 for row in answers)
    assert all(row.elapsed.total_seconds() < 1 for row in answers)


def test_other_requests_of_the_team_are_served_after_crashes(site):
    # Guards against the rejection of sound requests beside one that crashes.
    gateways = site.start_gateways('front-a-1', 'front-a-2')
    crash_targets(site, gateways, '/read/deadly')
    wait_for_engines(site)
    for gateway in gateways:
        for number in range(SOUND_REQUESTS):
            assert ask(gateway, f'/read/{number}').status_code == 200
            assert ask(gateway, '/pay/x').status_code == 200
