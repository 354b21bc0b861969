"""Streams of a process that no record names yet."""

import httpx

from tests.gateway_builders import HOST, prompt_headers
from tests.gateway_site import run_site, wait_until
from tests.test_gateway_stream_versions import (
    _NEW,
    _OLD,
    _TWO_BREAKS,
    leave_after_first_event,
    mixed_engines,
    set_faults,
    versions,
)


def test_no_event_of_an_unidentified_process_reaches_its_caller(tmp_path):
    # Guards against a stream of unknown version that another gateway, or this one
    # after a loss of all, takes up at the only version that is registered (ORDER).
    with run_site(tmp_path, mixed_engines(d1=_OLD, d2=_OLD)) as site:
        (gateway,) = site.start_gateways('front-a-1', is_first_start=True)
        restarted, other = site.engines['i-d1'], site.engines['i-d2']
        restarted.event_interval_s = 0.2
        other.default_fault = 'shed'
        leave_after_first_event(gateway, 'left')
        wait_until(lambda: restarted.cancelled)
        restarted.event_interval_s = 0.005
        site.registration_delay_s = 15
        restarted.replace('i-d1', _NEW)
        wait_until(lambda: not restarted.crashed.is_set())
        set_faults(site, _TWO_BREAKS)
        response = ask_until_run(site, gateway)
        assert response.status_code == 502
        assert 'token' not in response.text


def ask_until_run(site, gateway):
    """Send a stream that runs at the new process; return the response."""
    headers = {
        'Host': HOST,
        'X-Peridotrill-Deadline-Ms': '3000',
        'Authorization': 'Bearer key-g',
        **prompt_headers(50),
    }
    for number in range(50):
        request_id = f'unidentified-{number}'
        response = httpx.post(
            f'{gateway.url}/quick/x',
            headers={**headers, 'X-Peridotrill-Request-Id': request_id},
            content=b'body',
        )
        if versions(site, request_id) == {_NEW}:
            return response
    raise AssertionError('no stream reached the new process')
