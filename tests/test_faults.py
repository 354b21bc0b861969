"""Faults of processes and connections during requests."""

import threading
import uuid
from concurrent.futures import ThreadPoolExecutor
from functools import partial

import httpx
import pytest

from standins.completions import generate_text
from tests.callers import PROMPT, StreamCall, auth_headers, run_in_background
from tests.cluster import ClusterSource, split
from tests.observer import ANSWERED, Violations, digest, is_silently_truncated
from tests.processes import wait_for
from tests.proxy import TO_CLIENT

LONG_TOKENS = 1000
# An isolated entry that cannot read the log refuses requests with an API key
# after 5 s.
STALE_TIMEOUT_S = 6.0
# Interval of readiness checks; shorter than drain_delay of the entries.
BALANCER_LAG_S = 0.7


@pytest.fixture(scope='module')
def source(tmp_path_factory):
    clusters = ClusterSource(
        tmp_path_factory.mktemp('clusters'), drain_delay='1s'
    )
    yield clusters
    clusters.close()


@pytest.fixture
def cluster(source):
    with source.take() as running:
        running.key = running.grant('alpha')
        running.urls = list(running.entry_urls.values())
        for url in running.urls:
            wait_for(lambda entry=url: is_key_accepted(running, entry))
        yield running


@pytest.fixture
def pool():
    with ThreadPoolExecutor(8) as threads:
        yield threads


def is_key_accepted(cluster, url):
    return cluster.client.get(
        f'{url}/stock/1', headers=auth_headers(cluster.key)
    ).is_success


def start_stream(cluster, url, token_count=LONG_TOKENS):
    prompt = f'{PROMPT} {uuid.uuid4()}'
    call = StreamCall(url, cluster.key, prompt, token_count)
    call.wait_tokens(20)
    return call


def busy_target(cluster):
    """Wait for a target that runs a request and return its id."""

    def find():
        for target_id, url in cluster.target_urls.items():
            # Engines report their load late; their observations are current.
            seen = cluster.client.get(f'{url}/observations').json()
            load = seen.get('load') or cluster.client.get(f'{url}/load').json()
            if load['running_requests']:
                return target_id
        return None

    return wait_for(find, description='a running request')


def set_delay(cluster, delay_s):
    for target_id, url in cluster.target_urls.items():
        if cluster.targets[target_id].kind == 'plain':
            cluster.client.post(f'{url}/faults', json={'delay_s': delay_s})


def check_complete(call):
    stream = call.wait_end()
    assert stream.ended, stream[1:]
    assert stream.text == generate_text(call.prompt, call.max_tokens)


def check_not_silently_truncated(call):
    stream = call.wait_end()
    assert not is_silently_truncated(stream, call.prompt, call.max_tokens), (
        stream[1:]
    )


def post(observer, cluster, url, body, idempotency_key):
    return observer.post(f'{url}/charges', body, cluster.key, idempotency_key)


def test_agent_killed_in_a_stream(cluster):
    # Guards against a partial response that ends cleanly.
    call = start_stream(cluster, cluster.urls[0])
    cluster.agents[busy_target(cluster)].kill()
    check_not_silently_truncated(call)


def test_entry_killed_in_a_stream(cluster):
    # Guards against a partial response that ends cleanly.
    call = start_stream(cluster, cluster.urls[0])
    cluster.entries['entry-1'].kill()
    stream = call.wait_end()
    assert stream.broken
    assert not stream.ended


def test_engine_killed_in_a_stream(cluster):
    # Guards against a partial response that ends cleanly.
    call = start_stream(cluster, cluster.urls[0])
    engine = cluster.target_urls[busy_target(cluster)]
    with pytest.raises(httpx.TransportError):
        cluster.client.post(f'{engine}/faults', json={'crash': True})
    check_not_silently_truncated(call)


def test_retry_at_another_entry_after_a_dropped_answer(cluster):
    # Guards against a second run if a caller retries after a lost response.
    observer = cluster.observer()
    proxy = cluster.proxies.start(split(cluster.urls[0]))
    proxy.drop_answers()
    lost_url = 'http://{0}:{1}'.format(*proxy.address)
    for number in range(5):
        body = b'dropped %d' % number
        lost = post(observer, cluster, lost_url, body, f'drop-{number}')
        assert lost.status == 0
        again = post(observer, cluster, cluster.urls[1], body, f'drop-{number}')
        assert again.outcome == ANSWERED, again
    assert proxy.dropped_answers == 5
    assert observer.violations() == Violations()


def test_answer_dropped_between_agent_and_target(cluster):
    # Guards against a retry by the entry or agent after an unknown outcome.
    observer = cluster.observer()
    for target_id, proxy in cluster.target_proxies.items():
        if cluster.targets[target_id].kind == 'plain':
            proxy.drop_answers()
    body = b'unknown'
    first = post(observer, cluster, cluster.urls[0], body, 'unknown-1')
    for proxy in cluster.target_proxies.values():
        proxy.heal()
    again = post(observer, cluster, cluster.urls[1], body, 'unknown-1')
    assert (first.outcome, again.outcome) == ('unknown', 'unknown')
    assert observer.runs()[digest(body)] == 1


def test_retry_after_the_entry_was_killed(cluster, pool):
    # Guards against a second run while the first is still running.
    observer = cluster.observer()
    set_delay(cluster, 2.0)
    body = b'entry killed'
    first = pool.submit(
        post, observer, cluster, cluster.urls[0], body, 'killed-1'
    )
    busy_target(cluster)
    cluster.entries['entry-1'].kill()
    assert first.result().status == 0
    again = post(observer, cluster, cluster.urls[1], body, 'killed-1')
    assert again.outcome == ANSWERED, again
    assert observer.violations() == Violations()


def test_retry_after_the_agent_was_replaced(cluster, pool):
    # Guards against a second run by an agent that starts without a ledger.
    observer = cluster.observer()
    set_delay(cluster, 1.0)
    body = b'agent killed'
    first = pool.submit(
        post, observer, cluster, cluster.urls[0], body, 'killed-2'
    )
    target_id = busy_target(cluster)
    cluster.agents[target_id].kill()
    cluster.start_agent(target_id)
    assert first.result().outcome == 'unknown', first.result()
    again = post(observer, cluster, cluster.urls[1], body, 'killed-2')
    assert again.outcome in {'unknown', 'ran'}, again
    set_delay(cluster, 0)
    for number in range(8):
        other = b'new key %d' % number
        wait_for(
            lambda other=other: (
                post(
                    observer, cluster, cluster.urls[1], other, str(other)
                ).outcome
                == ANSWERED
            )
        )
    assert observer.violations() == Violations()


def test_retry_after_entry_and_agent_were_replaced(cluster, pool):
    # Guards against a second run when both records of a key are lost.
    observer = cluster.observer()
    set_delay(cluster, 1.0)
    body = b'both killed'
    first = pool.submit(
        post, observer, cluster, cluster.urls[0], body, 'killed-3'
    )
    target_id = busy_target(cluster)
    cluster.entries['entry-1'].kill()
    cluster.agents[target_id].kill()
    first.result()
    cluster.start_agent(target_id)
    cluster.start_entry('entry-1')
    cluster.wait_ready()
    again = post(observer, cluster, cluster.urls[1], body, 'killed-3')
    assert again.outcome == 'unknown', again
    assert observer.violations() == Violations()


def test_unresponsive_connection_does_not_break_a_stream(cluster):
    # Guards against an endless wait on an unresponsive connection.
    call = start_stream(cluster, cluster.urls[0])
    for proxy in cluster.link_proxies.values():
        proxy.hold(new=False)
    check_complete(call)


def test_one_way_stall_does_not_run_a_charge_again(cluster, pool):
    # Guards against a StartAttempt that is sent again after a one-way cut.
    observer = cluster.observer()
    set_delay(cluster, 1.0)
    body = b'one-way'
    first = pool.submit(
        post, observer, cluster, cluster.urls[0], body, 'one-way-1'
    )
    target_id = busy_target(cluster)
    cluster.link_proxies['entry-1', target_id].hold({TO_CLIENT}, new=False)
    assert first.result().outcome == ANSWERED, first.result()
    assert observer.violations() == Violations()


def test_partition_while_a_charge_runs(cluster, pool):
    # Guards against a wrong `not_run`, after which the entry would retry.
    observer = cluster.observer()
    set_delay(cluster, 1.0)
    body = b'partition'
    first = pool.submit(post, observer, cluster, cluster.urls[0], body, None)
    target_id = busy_target(cluster)
    cluster.link_proxies['entry-1', target_id].hold()
    assert first.result().outcome == 'unknown', first.result()
    assert observer.violations() == Violations()


@pytest.mark.parametrize('paused', ['entry', 'agent'])
def test_pause_in_a_stream(cluster, paused):
    # Guards against truncated or duplicated output after a pause.
    call = start_stream(cluster, cluster.urls[0])
    process = cluster.entries['entry-1']
    if paused == 'agent':
        process = cluster.agents[busy_target(cluster)]
    process.pause()
    timer = threading.Timer(3.0, process.resume)
    timer.start()
    check_not_silently_truncated(call)
    timer.join()


def test_requests_while_an_agent_is_paused(cluster):
    # Guards against a wrong `not_run` and second runs by delayed starts.
    observer = cluster.observer()
    paused = cluster.agents['till-1']
    paused.pause()
    with run_in_background(
        lambda number: post(
            observer,
            cluster,
            cluster.urls[number % 2],
            b'paused %d' % number,
            None if number % 4 < 2 else f'paused-{number}',
        ),
        worker_count=8,
    ) as results:
        wait_for(lambda: len(results) > 30, timeout_s=30)
        paused.resume()
        wait_for(partial(is_answering, results), timeout_s=30)
    assert observer.violations() == Violations()


def is_answering(results, count=40):
    latest = results[-count:]
    return all(result.outcome == ANSWERED for result in latest)


@pytest.mark.parametrize('stopped', ['agents', 'entry-1'])
def test_graceful_stop_under_load_fails_no_request(cluster, stopped):
    # Guards against requests that fail during a planned shutdown.
    observer = cluster.observer()
    call = start_stream(cluster, cluster.urls[0])
    processes = [cluster.entries['entry-1']]
    if stopped == 'agents':
        ids = [busy_target(cluster), 'till-1']
        processes = [cluster.agents[target_id] for target_id in ids]

    def charge(number):
        url = cluster.entry_urls[balancer.choose(number)]
        return post(observer, cluster, url, b'load %d' % number, None)

    with (
        cluster.balancer(BALANCER_LAG_S) as balancer,
        run_in_background(charge) as results,
    ):
        wait_for(lambda: len(results) > 50)
        for process in processes:
            process.terminate()
        check_complete(call)
        assert [process.wait() for process in processes] == [0] * len(processes)
        count = len(results)
        wait_for(lambda: len(results) > count + 50)
    assert [it for it in results if it.outcome != ANSWERED] == []
    assert observer.violations() == Violations()


def test_requests_pass_while_the_log_is_down(cluster):
    # Guards against requests that depend on a call to the log.
    observer = cluster.observer()
    cluster.switch_platform(log='down', vms='down', usage='down')
    wait_for(
        lambda: all(
            cluster.log_age_s(it) > STALE_TIMEOUT_S for it in cluster.entries
        ),
        description='a log outage longer than STALE_TIMEOUT_S',
    )
    call = start_stream(cluster, cluster.urls[0])
    for number in range(40):
        result = post(
            observer,
            cluster,
            cluster.urls[number % 2],
            b'down %d' % number,
            f'down-{number}',
        )
        assert result.outcome == ANSWERED, result
    check_complete(call)
    cluster.switch_platform(log='up', vms='up', usage='up')
    key = cluster.grant('beta')
    for url in cluster.urls:
        wait_for(
            lambda entry=url: (
                cluster.client.get(
                    f'{entry}/stock/1', headers=auth_headers(key)
                ).is_success
            )
        )
    assert observer.violations() == Violations()
