"""Real gateways while targets name a limit on their requests."""

import itertools
import threading
import time

import pytest

from tests.gateway_site import call, run_site

LIMIT_PER_S = 4.0
# The users' rule: from CONTACT_S after a limit was first named, a target gets
# in any WINDOW_S at most EXCESS_RATIO times what it allows, and EXCESS more.
CONTACT_S, WINDOW_S, EXCESS_RATIO, EXCESS = 3, 4, 1.5, 5
CALLERS_PER_GATEWAY = 4
DURATION_S = 9

_numbers = itertools.count()


@pytest.fixture
def site(tmp_path):
    with run_site(tmp_path) as running:
        yield running


def call_until(gateway, end_s, statuses):
    while time.monotonic() < end_s:
        request_id = f'limit-{next(_numbers)}'
        response = call(
            gateway,
            '/pay/x',
            request_id,
            **{'X-Peridotrill-Deadline-Ms': '600'},
        )
        statuses[request_id] = response.status_code
        if response.status_code == 503:
            time.sleep(0.1)


def most_in_window(times_s):
    """Return the largest number of times within a window."""
    return max(
        sum(start_s <= at_s < start_s + WINDOW_S for at_s in times_s)
        for start_s in times_s
    )


def test_targets_get_no_more_requests_than_the_limit_that_they_name(site):
    # Guards against gateways that ignore a limit, or that keep it each alone.
    gateways = site.start_gateways('front-a-1', 'front-a-2', 'front-a-3')
    limited = [site.engines['i-till-1'], site.engines['i-till-2']]
    for engine in limited:
        engine.limit_per_s = LIMIT_PER_S
    started_s = time.monotonic()
    statuses = {}
    threads = [
        threading.Thread(
            target=call_until,
            args=(gateway, started_s + DURATION_S, statuses),
        )
        for gateway in gateways * CALLERS_PER_GATEWAY
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    bound = EXCESS_RATIO * LIMIT_PER_S * WINDOW_S + EXCESS
    for engine in limited:
        times_s = [
            at_s for at_s in engine.received_s if at_s > started_s + CONTACT_S
        ]
        assert most_in_window(times_s) <= bound
        # The limit is also used.
        assert most_in_window(times_s) >= LIMIT_PER_S * WINDOW_S / 2
    # A request that is sent just before its deadline may end with 504.
    assert set(statuses.values()) <= {200, 503, 504}
    refused = {name for name, status in statuses.items() if status == 503}
    assert not refused & {run for row in limited for run in row.runs}
