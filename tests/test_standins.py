import asyncio
import signal
import subprocess
import sys
import time
from concurrent.futures import ThreadPoolExecutor
from contextlib import ExitStack, contextmanager

import httpx
import pytest

from peridotrill.codec import decode_json
from standins.completions import (
    DEFAULT_OUTPUT_TOKENS,
    generate_text,
    hash_prefixes,
)


@contextmanager
def run_program(module, *flags):
    process = subprocess.Popen(
        [sys.executable, '-m', module, *flags], stdout=subprocess.PIPE
    )
    ready = process.stdout.readline().decode()
    address = ready.strip().removeprefix('ready address=')
    with httpx.Client(base_url=f'http://{address}') as client:
        try:
            yield client
        finally:
            # The client stays open, since open connections must not delay exit.
            process.send_signal(signal.SIGTERM)
            status = process.wait(timeout=5)
            process.stdout.close()
    assert status == 0


@pytest.fixture
def start():
    with ExitStack() as stack:
        yield lambda name, *flags: stack.enter_context(
            run_program(f'standins.{name}', *flags)
        )


def wait_for(condition, timeout_s=5):
    end_s = time.monotonic() + timeout_s
    while not condition():
        assert time.monotonic() < end_s
        time.sleep(0.005)


def observe(client):
    return client.get('/observations').json()


def read_log(client, from_offset, wait_ms=0):
    return client.get(
        '/log/read', params={'from': from_offset, 'wait_ms': wait_ms}
    )


def test_log_offsets_are_contiguous_and_append_wakes_a_waiting_reader(start):
    # Guards against gaps in the offsets and long polls that miss records.
    platform = start('platform')
    offsets = [
        platform.post('/log/append', content=b'%d' % number).json()['offset']
        for number in range(3)
    ]
    assert offsets == [1, 2, 3]
    assert read_log(platform, 4).json()['next_offset'] == 4

    async def read_while_appending():
        async with httpx.AsyncClient(base_url=platform.base_url) as client:
            params = {'from': 4, 'wait_ms': 5000}
            reader = asyncio.create_task(client.get('/log/read', params=params))
            await asyncio.sleep(0.1)
            await client.post('/log/append', content=b'late')
            return (await reader).json()

    page = asyncio.run(asyncio.wait_for(read_while_appending(), 3))
    assert [row['offset'] for row in page['records']] == [4]


def test_append_with_a_lost_response_takes_effect(start):
    # Guards against a ``lose_answers`` fault that also loses the record.
    platform = start('platform')
    platform.post('/faults', json={'log': 'lose_answers'})
    with pytest.raises(httpx.RemoteProtocolError):
        platform.post('/log/append', content=b'kept')
    assert len(read_log(platform, 1).json()['records']) == 1
    platform.post('/faults', json={'log': 'down'})
    assert platform.post('/log/append', content=b'no').status_code == 503
    assert observe(platform)['appends'] == 1


def test_reading_expired_records_returns_410(start):
    # Guards against readers that skip expired records without an error.
    platform = start('platform', '--log-retention-records', '2')
    for _ in range(5):
        platform.post('/log/append', content=b'x')
    response = read_log(platform, 1)
    assert (response.status_code, response.json()['first_offset']) == (410, 4)
    assert len(read_log(platform, 4).json()['records']) == 2


def test_conflicting_usage_report_is_rejected(start):
    # Guards against a later report that overwrites the accepted values.
    platform = start('platform')
    figure = {
        'team': 'a',
        'window_start_s': 60,
        'window_end_s': 120,
        'requests': 3,
        'prompt_tokens': 5,
        'output_tokens': 7,
        'epoch': 1,
    }
    statuses = [
        platform.post('/usage', json=body).status_code
        for body in (figure, {**figure, 'epoch': 2}, {**figure, 'requests': 4})
    ]
    assert statuses == [200, 200, 409]


def test_target_orders_are_idempotent_and_check_the_zone(start):
    # Guards against a repeated stop order that stops a restarted target, and
    # against a VM list that shows changes without a lag.
    platform = start('platform', '--vms-lag', '1s')
    vm = {'kind': 'target', 'state': 'live', 'zone': 'a', 'service': 's'}
    vm |= {'target_id': 't', 'target_kind': 'engine', 'address': '127.0.0.1:1'}
    platform.put('/vms/v', json=vm)
    assert platform.get('/vms').json()['vms'] == []
    orders = [('stop', 'a', '1'), ('start', 'a', '2'), ('stop', 'a', '1')]
    statuses = [
        platform.post(
            f'/targets/t/{verb}', json={'zone': zone, 'order_id': order_id}
        ).status_code
        for verb, zone, order_id in (*orders, ('stop', 'b', '3'))
    ]
    assert statuses == [202, 202, 202, 409]
    assert platform.get('/targets').json()['targets'][0]['state'] == 'starting'
    wait_for(lambda: platform.get('/vms').json()['vms'])


def test_plain_request_with_a_dropped_response_is_executed(start):
    # Guards against a ``drop_answers`` fault that also skips the execution.
    service = start('plain_service')
    headers = {'X-Attempt-Id': 'attempt-1'}
    service.post('/faults', json={'drop_answers': 1})
    with pytest.raises(httpx.RemoteProtocolError):
        service.post('/receipts', content=b'1', headers=headers)
    assert service.post('/receipts', headers=headers).status_code == 201
    assert observe(service)['executions'] == {'attempt-1': 2}


def stream_tokens(client, prompt, max_tokens, attempt_id='a', resume=0):
    body = {'model': 'summariser', 'prompt': prompt, 'stream': True}
    headers = {'X-Attempt-Id': attempt_id, 'X-Resume-Tokens': str(resume)}
    with client.stream(
        'POST',
        '/v1/completions',
        json={**body, 'max_tokens': max_tokens},
        headers=headers,
    ) as response:
        lines = [line for line in response.iter_lines() if line]
    assert lines.pop() == 'data: [DONE]'
    events = [decode_json(line.removeprefix('data: ')) for line in lines]
    return [event['choices'][0]['text'] for event in events[:-1]]


def test_engine_output_depends_only_on_the_prompt(start):
    # Guards against mixing up the tokens of concurrent requests.
    engine = start('engine')
    prompts = [f'prompt {number}' for number in range(8)]
    with ThreadPoolExecutor() as pool:
        token_lists = pool.map(
            lambda prompt: stream_tokens(engine, prompt, 20), prompts
        )
        texts = [''.join(tokens) for tokens in token_lists]
    assert texts == [generate_text(prompt, 20) for prompt in prompts]
    chat = {
        'model': 'summariser',
        'messages': [{'role': 'user', 'content': 'hello'}],
    }
    response = engine.post('/v1/chat/completions', json=chat).json()
    text = response['choices'][0]['message']['content']
    assert text == generate_text('user\nhello\n', DEFAULT_OUTPUT_TOKENS)


def test_resumed_stream_neither_repeats_nor_skips_tokens(start):
    # Guards against an off-by-one resume position.
    engine = start('engine')
    whole = stream_tokens(engine, 'p', 12)
    for position in (1, 7, 12):
        resumed = stream_tokens(engine, 'p', 12, resume=position)
        assert whole[:position] + resumed == whole


def test_requests_wait_while_kv_memory_is_full(start):
    # Guards against a batch that exceeds the KV memory, and against memory
    # that is not freed when an attempt is cancelled.
    engine = start('engine', '--total-pieces', '1', '--load-lag', '0s')
    with ThreadPoolExecutor() as pool:
        first = pool.submit(stream_tokens, engine, 'p', 1500, 'first')
        wait_for(lambda: engine.get('/load').json()['free_pieces'] == 0)
        second = pool.submit(stream_tokens, engine, 'p', 3, 'second')
        wait_for(lambda: engine.get('/load').json()['waiting_requests'] == 1)
        assert engine.get('/load').json()['running_requests'] == 1
        assert engine.post('/attempts/first/cancel').json()['cancelled']
        assert len(second.result(timeout=5)) == 3
        assert len(first.result(timeout=5)) < 1500
    assert engine.get('/load').json()['free_pieces'] == 1


@pytest.mark.parametrize(('checks', 'status'), [('on', 409), ('off', 202)])
def test_stale_fencing_number_is_rejected_only_if_checked(
    start, checks, status
):
    # With the check off, the engine must accept stale orders, so that tests of
    # fencing do not pass only because the engine rejects them.
    engine = start('engine', '--checks-fencing', checks, '--load-lag', '0s')
    order = {'kind': 'load_adapter', 'argument': 'x'}
    statuses = [
        engine.post(
            '/orders', json={**order, 'order_id': str(n), 'fencing_number': n}
        ).status_code
        for n in (7, 6)
    ]
    assert statuses == [202, status]


def test_weight_loading_is_limited_by_the_rate_of_the_weight_store(start):
    # Guards against load times that are independent of the weight store, and
    # against an engine that accepts requests during a role change.
    platform = start(
        'platform', '--weights-bytes', '300000', '--weights-bytes-per-s', '1e6'
    )
    url = str(platform.base_url)
    flags = ('--load-lag', '0s', '--role-change', '1s')
    engine = start('engine', '--platform-url', url, *flags)
    started_s = time.monotonic()
    order = {'fencing_number': 1, 'kind': 'load_model', 'argument': 'm/2'}
    engine.post('/orders', json={**order, 'order_id': 'a'})
    wait_for(lambda: 'm/2' in engine.get('/load').json()['models'])
    assert time.monotonic() - started_s >= 0.29
    order |= {'order_id': 'b', 'kind': 'role', 'argument': 'decode'}
    engine.post('/orders', json=order)
    wait_for(lambda: not engine.get('/load').json()['ready'])
    call = {'model': 'm/2', 'prompt': 'p'}
    assert engine.post('/v1/completions', json=call).status_code == 503
    wait_for(lambda: engine.get('/load').json()['role'] == 'decode')
    assert engine.post('/v1/completions', json=call).status_code == 200


def test_imported_kv_prefix_counts_as_cached(start):
    # Guards against imports without effect, and against cache events that are
    # never sent or never dropped.
    flags = ('--cache-event-delay', '0s', '--cache-event-drop-every', '4')
    sender, receiver = start('engine', *flags), start('engine', *flags)
    prompt = 'x' * 40 * 1024
    prefix = hash_prefixes(prompt)[-1]
    stream_tokens(sender, prompt, 1)
    events = sender.get('/cache-events').json()['events']
    assert prefix in {event['prefix'] for event in events}
    assert len(events) == 30
    exported = sender.post('/kv/export', json={'prefix': prefix}).content
    assert receiver.post('/kv/import', content=exported[:-1]).is_error
    assert receiver.post('/kv/import', content=exported).is_success
    call = {'model': 'summariser', 'prompt': prompt, 'max_tokens': 1}
    usage = receiver.post('/v1/completions', json=call).json()['usage']
    assert usage['prompt_tokens_details'] == {'cached_tokens': 10240}


def test_sigterm_ends_a_program_with_open_requests(start):
    # Guards against a shutdown that waits for streams or long polls, and
    # against an interrupted response that appears complete.
    with ExitStack() as programs, ThreadPoolExecutor() as pool:
        engine = programs.enter_context(run_program('standins.engine'))
        platform = programs.enter_context(run_program('standins.platform'))
        calls = [
            pool.submit(stream_tokens, engine, 'p', 5000),
            pool.submit(read_log, platform, 1, wait_ms=60000),
        ]
        wait_for(lambda: observe(engine)['attempts'])
        wait_for(lambda: observe(platform)['waiting_reads'])
        programs.close()
        errors = [type(call.exception(timeout=5)) for call in calls]
    assert errors == [httpx.RemoteProtocolError] * 2
