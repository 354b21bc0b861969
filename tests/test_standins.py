import asyncio
import signal
import subprocess
import sys
import time
from contextlib import ExitStack, contextmanager

import httpx
import pytest


@contextmanager
def run_program(module, *flags):
    process = subprocess.Popen(
        [sys.executable, '-m', module, *flags], stdout=subprocess.PIPE
    )
    try:
        ready = process.stdout.readline().decode()
        address = ready.strip().removeprefix('ready address=')
        with httpx.Client(base_url=f'http://{address}') as client:
            yield client
    finally:
        process.send_signal(signal.SIGTERM)
        started_s = time.monotonic()
        process.wait(timeout=10)
        process.stdout.close()
    assert time.monotonic() - started_s < 1


@pytest.fixture
def start():
    with ExitStack() as stack:
        yield lambda name, *flags: stack.enter_context(
            run_program(f'standins.{name}', *flags)
        )


def read_log(client, from_offset, wait_ms=0):
    return client.get(
        '/log/read', params={'from': from_offset, 'wait_ms': wait_ms}
    )


def test_log_keeps_order_and_wakes_a_waiting_reader(start):
    # Guards against gaps in the offsets and a long poll that misses records.
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


def test_lost_answer_comes_after_the_effect(start):
    # Guards against a fault switch that drops the record with its answer.
    platform = start('platform')
    platform.post('/faults', json={'log': 'lose_answers'})
    with pytest.raises(httpx.RemoteProtocolError):
        platform.post('/log/append', content=b'kept')
    assert len(read_log(platform, 1).json()['records']) == 1
    platform.post('/faults', json={'log': 'down'})
    assert platform.post('/log/append', content=b'no').status_code == 503
    assert platform.get('/observations').json()['appends'] == 1


def test_records_below_the_retention_are_reported_as_gone(start):
    # Guards against a reader that silently skips expired records.
    platform = start('platform', '--log-retention-records', '2')
    for _ in range(5):
        platform.post('/log/append', content=b'x')
    answer = read_log(platform, 1)
    assert (answer.status_code, answer.json()['first_offset']) == (410, 4)
    assert len(read_log(platform, 4).json()['records']) == 2


def test_usage_window_takes_one_figure(start):
    # Guards against a second figure that replaces the first one.
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


def test_dropped_answer_of_a_plain_service_has_executed(start):
    # Guards against a fault switch that drops the execution as well.
    service = start('plain_service')
    headers = {'X-Attempt-Id': 'attempt-1'}
    service.post('/faults', json={'drop_answers': 1})
    with pytest.raises(httpx.RemoteProtocolError):
        service.post('/receipts', content=b'1', headers=headers)
    assert service.post('/receipts', headers=headers).status_code == 201
    executions = service.get('/observations').json()['executions']
    assert executions == {'attempt-1': 2}
