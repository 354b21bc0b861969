"""End-to-end requests through entries and agents to stand-in targets."""

import time
import uuid

import httpx
import openai
import pytest

from standins.completions import generate_text
from tests.callers import PROMPT, StreamCall, auth_headers, completion_request
from tests.cluster import MODEL, SERVICES, run_cluster
from tests.observer import Violations, is_silently_truncated, read_error
from tests.processes import wait_for

KEY_WITHDRAWAL_TIMEOUT_S = 5.0
CONFIGURATION_TIMEOUT_S = 5.0


@pytest.fixture(scope='module')
def cluster(tmp_path_factory):
    with run_cluster(
        tmp_path_factory.mktemp('cluster'),
        usage_window='4s',
        usage_grace='1s',
        usage_flush='500ms',
    ) as running:
        for proxy in running.target_proxies.values():
            proxy.recording = True
        running.key = running.grant('alpha')
        for url in running.entry_urls.values():
            wait_for(lambda entry=url: accepts(running, entry, running.key))
        yield running


def accepts(cluster, url, key):
    return cluster.client.get(
        f'{url}/stock/1', headers=auth_headers(key)
    ).is_success


def test_completion_matches_the_prompt(cluster):
    # Guards against truncated, swapped or altered responses.
    for number, url in enumerate(cluster.entry_urls.values()):
        prompt = f'{PROMPT} {number}'
        response = cluster.client.post(
            f'{url}/v1/completions',
            json=completion_request(prompt),
            headers=auth_headers(cluster.key),
        )
        assert response.status_code == 200, response.text
        assert response.headers['x-request-id']
        choice = response.json()['choices'][0]
        assert choice['text'] == generate_text(prompt, 16)


def test_concurrent_streams_are_complete(cluster):
    # Guards against lost or duplicated output and swapped streams.
    calls = [
        StreamCall(url, cluster.key, f'{PROMPT} {number}', 200)
        for number in range(6)
        for url in cluster.entry_urls.values()
    ]
    for call in calls:
        stream = call.wait_end()
        assert stream.ended
        assert stream.text == generate_text(call.prompt, 200)


def test_openai_client_works_unchanged(cluster):
    client = openai.OpenAI(
        base_url=f'{cluster.entry_urls["entry-1"]}/v1',
        api_key=cluster.key,
        max_retries=0,
    )
    chat = {
        'model': MODEL,
        'messages': [{'role': 'user', 'content': 'hello'}],
        'max_tokens': 12,
    }
    expected = generate_text('user\nhello\n', 12)
    with client:
        answer = client.chat.completions.create(**chat)
        pieces = [
            piece.choices[0].delta.content or ''
            for piece in client.chat.completions.create(**chat, stream=True)
        ]
        assert MODEL in [model.id for model in client.models.list()]
    assert answer.choices[0].message.content == expected
    assert ''.join(pieces) == expected


@pytest.mark.parametrize('authorization', [None, 'Bearer wrong', 'Basic eDp5'])
def test_request_without_a_valid_key_does_not_run(cluster, authorization):
    headers = {'Authorization': authorization} if authorization else {}
    observer = cluster.observer()
    before = observer.runs()
    for url in cluster.entry_urls.values():
        response = cluster.client.post(f'{url}/charges', headers=headers)
        assert response.status_code == 401
        assert read_error(response.json())['outcome'] == 'not_run'
    assert observer.runs() == before


def test_open_route_needs_no_key(cluster):
    for url in cluster.entry_urls.values():
        assert cluster.client.get(f'{url}/health').is_success
        assert cluster.client.get(f'{url}/stock/1').status_code == 401


def test_charges_run_once_and_responses_are_not_swapped(cluster):
    # Guards against a second run of an idempotency key and swapped responses.
    observer = cluster.observer()
    for number in range(6):
        body = b'charge %d' % number
        for url in cluster.entry_urls.values():
            result = observer.post(
                f'{url}/charges', body, cluster.key, f'charge-{number}'
            )
            assert result.status == 201, result
    other_body = observer.post(
        f'{url}/charges', b'other', cluster.key, 'charge-0'
    )
    assert other_body.code == 'idempotency_key_reused'
    assert observer.violations() == Violations()


def test_withdrawn_key_ends_requests_and_streams(cluster):
    # Guards against a withdrawn key that still works, also for open streams.
    key = cluster.grant('beta', 'withdrawn')
    urls = cluster.entry_urls.values()
    for url in urls:
        wait_for(lambda entry=url: accepts(cluster, entry, key))
    calls = [StreamCall(url, key, PROMPT, 4000) for url in urls]
    for call in calls:
        call.wait_tokens(10)
    cluster.withdraw('withdrawn')
    withdrawn_s = time.monotonic()
    for call in calls:
        stream = call.wait_end()
        assert not stream.ended
        assert not is_silently_truncated(stream, call.prompt, call.max_tokens)
    for url in urls:
        wait_for(lambda entry=url: not accepts(cluster, entry, key))
    assert time.monotonic() - withdrawn_s < KEY_WITHDRAWAL_TIMEOUT_S
    assert accepts(cluster, url, cluster.key)


def test_targets_and_logs_never_see_a_key(cluster):
    # Guards against an API key that is forwarded or logged.
    marker = uuid.uuid4().hex
    for url in cluster.entry_urls.values():
        for path in ('charges', 'v1/completions'):
            cluster.client.post(
                f'{url}/{path}',
                json=completion_request(marker),
                headers=auth_headers(cluster.key),
            ).raise_for_status()
    proxies = cluster.target_proxies.values()
    seen = b''.join(bytes(proxy.recorded) for proxy in proxies)
    seen += b''.join(
        path.read_bytes() for path in cluster.processes.folder.iterdir()
    )
    assert marker.encode() in seen
    assert b'ptk_' not in seen
    assert b'Bearer' not in seen


def test_usage_is_reported_once_with_the_right_figure(cluster):
    # Guards against usage that is lost, doubled or counted for another team.
    key = cluster.grant('gamma', 'usage')
    urls = list(cluster.entry_urls.values())
    for url in urls:
        wait_for(
            lambda entry=url: (
                cluster.client.get(
                    f'{entry}/v1/models', headers=auth_headers(key)
                ).is_success
            )
        )
    # A second report of the first window would arrive before the first
    # report of a later window.
    for request_count in (10, 20):
        for number in range(10):
            cluster.client.post(
                f'{urls[number % len(urls)]}/v1/completions',
                json=completion_request('x' * 40, max_tokens=7),
                headers=auth_headers(key),
            ).raise_for_status()
        wait_for(
            lambda total=request_count: reported(cluster)[0] >= total,
            timeout_s=20,
            description='usage reports',
        )
        expected = [request_count, request_count * 10, request_count * 7]
        assert reported(cluster) == expected
    windows = cluster.observe_platform()['usage']
    assert [window['reports'] for window in windows] == [1] * len(windows)
    assert not any(window['conflicts'] for window in windows)


def reported(cluster, team='gamma'):
    """Return the sums of requests, prompt tokens and output tokens."""
    figures = [
        window['figure'][1:]
        for window in cluster.observe_platform()['usage']
        if window['team'] == team
    ]
    return [sum(column) for column in zip(*figures)] or [0, 0, 0]


def test_unknown_path_and_model_do_not_run(cluster):
    url = cluster.entry_urls['entry-1']
    for path, call in (
        ('nowhere', {}),
        ('v1/completions', completion_request() | {'model': 'other'}),
    ):
        response = httpx.post(
            f'{url}/{path}', json=call, headers=auth_headers(cluster.key)
        )
        assert response.status_code == 404
        assert read_error(response.json())['outcome'] == 'not_run'


def test_entries_share_the_rate_limit_of_a_team(cluster):
    # Guards against entries that each admit the full rate and burst.
    key = cluster.grant('delta')
    urls = list(cluster.entry_urls.values())
    for url in urls:
        wait_for(
            lambda entry=url: (
                cluster.client.get(
                    f'{entry}/v1/models', headers=auth_headers(key)
                ).is_success
            )
        )
    started_s = time.monotonic()
    statuses = [
        cluster.client.get(
            f'{urls[number % len(urls)]}/stock/1', headers=auth_headers(key)
        ).status_code
        for number in range(60)
    ]
    allowed = 8 + 2 * (time.monotonic() - started_s)
    assert set(statuses) == {200, 429}
    assert statuses.count(200) <= allowed


def test_rate_limit_never_reports_not_run_for_a_key_that_ran(cluster):
    # Guards against `rate_limited` for a retry of a charge that ran: the
    # caller would conclude that the charge did not run.
    key = cluster.grant('delta', 'delta-charges')
    first, *_, last = cluster.entry_urls.values()

    def charge(url, name):
        headers = {**auth_headers(key), 'Idempotency-Key': name}
        return cluster.client.post(
            f'{url}/charges', headers=headers, json={'charge': name}
        )

    for url in (first, last):
        wait_for(lambda entry=url: charge(entry, 'limit-0').is_success)
    statuses = [charge(last, f'limit-{number}') for number in range(1, 20)]
    refused = [row for row in statuses if row.status_code == 429]
    assert refused
    assert read_error(refused[-1].json())['outcome'] == 'not_run'
    repeated = charge(last, 'limit-0')
    assert repeated.status_code == 201
    assert repeated.headers['Idempotency-Replayed'] == 'true'


def test_new_configuration_is_in_force_everywhere_and_stays(cluster):
    # Guards against entries that differ or apply an outdated change.
    texts = {'till': SERVICES['till'].replace('/stock/', '/shelf/')}
    version = cluster.status('entry-1')['config_version']
    cluster.publish(texts, base_version=version)
    published_s = time.monotonic()
    for url in cluster.entry_urls.values():
        wait_for(
            lambda entry=url: (
                cluster.client.get(
                    f'{entry}/shelf/1', headers=auth_headers(cluster.key)
                ).is_success
            )
        )
    assert time.monotonic() - published_s < CONFIGURATION_TIMEOUT_S
    newest = cluster.status('entry-1')['config_version']
    assert newest > version
    cluster.publish({'till': SERVICES['till']}, base_version=version)
    cluster.withdraw('alpha-key')
    for entry_id, url in cluster.entry_urls.items():
        # The withdrawal follows the outdated change in the log.
        wait_for(
            lambda entry=url: (
                cluster.client.get(
                    f'{entry}/v1/models', headers=auth_headers(cluster.key)
                ).status_code
                == 401
            )
        )
        assert cluster.status(entry_id)['config_version'] == newest
