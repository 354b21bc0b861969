"""Requests through one real gateway: responses, errors, at most one run."""

import itertools
import socket
import threading
import time

import httpx
import pytest

from tests.gateway_builders import HOST, configuration_document, prompt_headers
from tests.gateway_site import DECODE, call, run_site, wait_until

_numbers = itertools.count()


@pytest.fixture(scope='module')
def site(tmp_path_factory):
    with run_site(tmp_path_factory.mktemp('site')) as running:
        running.start_gateways('front-a-1')
        yield running


@pytest.fixture(autouse=True)
def _reset_engines(site):
    yield
    for engine in site.engines.values():
        engine.plan = []
        engine.default_fault = ''
        engine.processing_s = 0.01
        engine.event_interval_s = 0.005
        engine.event_count = 5


@pytest.fixture
def gateway(site):
    return site.gateways['front-a-1']


@pytest.fixture
def request_id():
    return f'req-{next(_numbers)}'


def received(site, request_id):
    return [
        row
        for engine in site.engines.values()
        for row in engine.received
        if row.get('x-peridotrill-request-id') == request_id
    ]


def test_plain_response_is_returned_unchanged(site, gateway, request_id):
    # Guards against responses that lose their body, stamp or request id.
    response = call(gateway, '/pay/x?y=1', request_id)
    assert response.status_code == 200
    assert response.text == f'answer to {request_id}'
    assert response.headers['x-peridotrill-engine-stamp']
    assert response.headers['x-peridotrill-request-id'] == request_id


def test_target_gets_request_with_gateway_headers(site, gateway, request_id):
    # Guards against callers that set internal headers, and against API keys
    # that are forwarded to a target.
    call(
        gateway,
        '/pay/x?y=1',
        request_id,
        **{
            'X-Peridotrill-Tenant': 'other',
            'X-Peridotrill-Kv-Hold': 'h1',
            'X-Peridotrill-Pin-Ms': '100',
            'X-Custom': 'kept',
        },
    )
    (row,) = received(site, request_id)
    assert row['path'] == '/pay/x?y=1'
    assert row['body'] == b'body'
    assert row['x-custom'] == 'kept'
    assert row['x-peridotrill-tenant'] == 'growers'
    assert row['x-peridotrill-expect-instance'].startswith('i-till')
    assert 0 < int(row['x-peridotrill-deadline-ms']) <= 3000
    hidden = {'authorization', 'x-peridotrill-kv-hold', 'x-peridotrill-pin-ms'}
    assert not hidden & row.keys()


@pytest.mark.parametrize(
    ('path', 'key', 'status'),
    [
        ('/nowhere/x', 'key-g', 404),
        ('/pay/x', 'wrong', 401),
        ('/pay/x', None, 401),
        ('/open/x', None, 200),
    ],
)
def test_routes_and_keys(site, gateway, request_id, path, key, status):
    # Guards against forwarding requests with an unknown route or key.
    response = call(gateway, path, request_id, key=key)
    assert response.status_code == status
    assert len(site.runs(request_id)) == (1 if status == 200 else 0)


def test_non_idempotent_request_is_not_retried_after_reset(
    site, gateway, request_id
):
    # Guards against a payment that runs twice, or that is reported as not run,
    # after the connection to the target was reset.
    site.plan('till', 'reset')
    response = call(gateway, '/pay/x', request_id)
    assert response.status_code == 502
    assert len(site.runs(request_id)) == 1


def test_silent_target_ends_in_gateway_timeout(site, gateway, request_id):
    site.plan('till', 'silent')
    response = call(
        gateway, '/pay/x', request_id, **{'X-Peridotrill-Deadline-Ms': '400'}
    )
    assert response.status_code == 504
    assert len(site.runs(request_id)) == 1


@pytest.mark.parametrize('fault', ['reset', 'error', 'unstamped'])
def test_idempotent_request_is_retried_at_another_target(
    site, gateway, request_id, fault
):
    # Guards against a failed read although another target can serve it.
    wait_until(lambda: not site.engines['i-till-1'].plan)
    site.engines['i-till-1'].plan = [fault]
    site.engines['i-till-2'].plan = [fault]
    response = call(gateway, '/read/x', request_id)
    used = site.runs(request_id)
    assert len(used) == 2
    assert len(set(used)) == 2
    site.plan('till')
    assert response.status_code in {500, 502}
    assert call(gateway, '/read/x', f'{request_id}-b').status_code == 200


def test_idempotent_request_leaves_silent_target(site, gateway, request_id):
    # Guards against reads that wait until their deadline for a target that
    # hangs although another one responds.
    site.engines['i-till-1'].plan = ['silent']
    site.engines['i-till-2'].plan = ['silent']
    response = call(gateway, '/read/x', request_id)
    assert len(site.runs(request_id)) == 2
    assert response.status_code == 504
    site.engines['i-till-1'].plan = ['silent']
    site.engines['i-till-2'].plan = []
    for name in ('b', 'c'):
        started_s = time.monotonic()
        response = call(gateway, '/read/x', f'{request_id}-{name}')
        assert response.status_code == 200
        assert time.monotonic() - started_s < 1


def test_rejected_request_is_retried_at_another_target(
    site, gateway, request_id
):
    # Guards against failing a request that a target rejected without running
    # it, although another target can serve it.
    for engine in ('i-till-1', 'i-till-2'):
        site.engines[engine].plan = ['shed']
    response = call(gateway, '/pay/x', request_id)
    assert response.status_code == 503
    assert float(response.headers['retry-after']) > 0
    assert site.runs(request_id) == []
    site.engines['i-till-1'].plan = ['shed']
    site.engines['i-till-2'].plan = []
    assert call(gateway, '/pay/x', f'{request_id}-b').status_code == 200
    assert len(site.runs(f'{request_id}-b')) == 1


def test_response_to_another_request_is_skipped(site, gateway, request_id):
    # Guards against a late response that reaches the wrong caller.
    site.plan('till', 'late')
    response = call(gateway, '/pay/x', request_id)
    assert (
        response.status_code == 502
        or response.text == f'answer to {request_id}'
    )
    assert 'not yours' not in response.text


def test_long_prompt_is_prefilled_and_transferred(site, gateway, request_id):
    # Guards against long prompts that delay token output at decode engines.
    response = call(
        gateway, '/draft/x', request_id, **prompt_headers(shared=5000)
    )
    assert response.status_code == 200
    assert response.text.count('data: token') == 5
    stages = [
        row.get('x-peridotrill-stage') for row in received(site, request_id)
    ]
    assert stages == ['prefill', None]
    source = received(site, request_id)[1]['x-peridotrill-kv-source']
    assert source.startswith(str(site.addresses['i-pre']))
    assert len(site.runs(request_id)) == 1


def test_unused_prefilled_prompt_is_released(site, gateway, request_id):
    # Guards against unused prompts that fill the memory of an engine.
    site.plan('llm', 'shed', 'shed', role=DECODE)
    before = len(site.engines['i-pre'].released_handles)
    response = call(
        gateway, '/draft/x', request_id, **prompt_headers(shared=5000)
    )
    assert response.status_code == 503
    wait_until(lambda: len(site.engines['i-pre'].released_handles) > before)


@pytest.mark.parametrize('fault', ['cut', 'half'])
def test_broken_stream_that_cannot_resume_is_not_terminated(
    site, gateway, request_id, fault
):
    # Guards against a truncated stream that looks complete.
    site.plan('llm', fault, role=DECODE)
    with pytest.raises(httpx.RemoteProtocolError):
        call(gateway, '/draft/x', request_id, **prompt_headers(shared=50))
    assert len(site.runs(request_id)) == 1


def test_broken_stream_resumes_without_gap_or_repetition(
    site, gateway, request_id
):
    # Guards against missing or repeated events, and against forwarding the
    # incomplete event at which the first engine stopped.
    site.engines['i-dec-1'].plan = ['cut']
    site.engines['i-dec-2'].plan = ['cut']
    with pytest.raises(httpx.RemoteProtocolError):
        # Both engines fail, and the route allows at most two targets.
        call(gateway, '/quick/x', request_id, **prompt_headers(shared=50))
    assert len(site.runs(request_id)) == 2
    responses = []
    for first, second in (('i-dec-1', 'i-dec-2'), ('i-dec-2', 'i-dec-1')):
        site.engines[first].plan = ['cut']
        site.engines[second].plan = []
        response = call(
            gateway,
            '/quick/x',
            f'{request_id}-{first}',
            **prompt_headers(shared=50),
        )
        responses.append(response.text)
        resumed = received(site, f'{request_id}-{first}')
        # The stream is only resumed if the faulty engine was tried first.
        sent = {row.get('last-event-id') for row in resumed}
        broken = first in site.runs(f'{request_id}-{first}')
        assert sent == ({None, '2'} if broken else {None})
    expected = ''.join(
        f'id: {number}\ndata: token {number}\n\n' for number in range(1, 6)
    )
    assert responses == [expected, expected]


def test_events_are_streamed_without_buffering(site, gateway, request_id):
    # Guards against streams that are buffered before they are forwarded.
    for name in ('i-dec-1', 'i-dec-2'):
        site.engines[name].event_interval_s = 0.15
    headers = {
        'Host': HOST,
        'Authorization': 'Bearer key-g',
        'X-Peridotrill-Request-Id': request_id,
        **prompt_headers(shared=50),
    }
    started_s = time.monotonic()
    with httpx.stream(
        'POST', gateway.url + '/draft/x', headers=headers, timeout=8
    ) as response:
        next(response.iter_bytes())
        first_s = time.monotonic() - started_s
    assert first_s < 0.5


def test_caller_disconnect_cancels_target_request(site, gateway, request_id):
    # Guards against engines that keep working after the caller disconnects.
    for name in ('i-till-1', 'i-till-2'):
        site.engines[name].processing_s = 5
    connection = socket.create_connection(('127.0.0.1', gateway.caller_port))
    connection.sendall(
        f'POST /pay/x HTTP/1.1\r\nHost: {HOST}\r\n'
        f'X-Peridotrill-Request-Id: {request_id}\r\n'
        'Authorization: Bearer key-g\r\nContent-Length: 0\r\n\r\n'.encode()
    )
    wait_until(lambda: site.runs(request_id))
    connection.close()
    engines = site.engines.values()
    wait_until(
        lambda: any(request_id in engine.cancelled for engine in engines), 2
    )


@pytest.mark.parametrize(
    ('sent', 'status'),
    [
        (b'GET / HTTP/1.1\r\nbroken header\r\n\r\n', b'400'),
        (
            b'POST /pay/x HTTP/1.1\r\nHost: api.example\r\n'
            b'Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n',
            b'400',
        ),
        (
            b'POST /pay/x HTTP/1.1\r\nHost: api.example\r\n'
            b'Content-Length: 5\r\nContent-Length: 4\r\n\r\nbody',
            b'400',
        ),
        (
            b'POST /pay/x HTTP/1.1\r\nHost: api.example\r\n'
            b'Content-Length: 100001\r\n\r\n',
            b'413',
        ),
        (b'GET / HTTP/1.1\r\nX: ' + b'y' * 5000 + b'\r\n\r\n', b'431'),
        (b'GET /pay/x HTTP/1.1\r\nHost: api', b'408'),
    ],
    ids=['header', 'two framings', 'two lengths', 'body', 'head', 'slow'],
)
def test_malformed_requests_are_rejected_and_not_forwarded(
    site, gateway, sent, status
):
    # Guards against request smuggling and oversized or slow requests.
    before = sum(len(engine.received) for engine in site.engines.values())
    with socket.create_connection(
        ('127.0.0.1', gateway.caller_port), timeout=5
    ) as connection:
        connection.sendall(sent)
        response = connection.recv(4096)
    assert response.split(b' ')[1] == status
    after = sum(len(engine.received) for engine in site.engines.values())
    assert after == before


def test_pipelined_requests_are_answered_in_order(site, gateway):
    # Guards against responses to pipelined requests in the wrong order.
    ids = [f'pipe-{number}' for number in range(3)]
    with socket.create_connection(
        ('127.0.0.1', gateway.caller_port), timeout=5
    ) as connection:
        for request_id in ids:
            connection.sendall(
                f'GET /read/x HTTP/1.1\r\nHost: {HOST}\r\n'
                f'X-Peridotrill-Request-Id: {request_id}\r\n'
                'Authorization: Bearer key-g\r\n\r\n'.encode()
            )
        responses = b''
        while responses.count(b'answer to') < len(ids):
            responses += connection.recv(4096)
    places = [responses.index(f'answer to {name}'.encode()) for name in ids]
    assert places == sorted(places)


def test_draining_target_gets_no_new_requests(site, gateway):
    # Guards against requests that are cut off when a target stops.
    site.register('i-till-1', state='draining')
    wait_until(lambda: 'leaving=True' in gateway.read_log(), 3)
    before = len(site.engines['i-till-1'].received)
    for number in range(10):
        assert call(gateway, '/pay/x', f'drain-{number}').status_code == 200
    assert len(site.engines['i-till-1'].received) == before
    site.register('i-till-1')
    wait_until(
        lambda: gateway.read_log().rstrip().count('leaving=False') > 5, 3
    )


def test_stream_is_rejected_at_once_without_decode_engines(
    site, gateway, request_id
):
    # Guards against streams that are held until their deadline, and prompts that
    # are prefilled in vain, while no engine can respond.
    engines = ('i-dec-1', 'i-dec-2')
    for name in engines:
        site.register(name, state='draining')
    wait_until(
        lambda: all(
            f'target={name} service=llm' in line and 'leaving=True' in line
            for name, line in _last_changes(gateway, engines)
        ),
        3,
    )
    started_s = time.monotonic()
    response = call(gateway, '/draft/x', request_id, **prompt_headers())
    duration_s = time.monotonic() - started_s
    for name in engines:
        site.register(name)
    wait_until(
        lambda: all(
            'leaving=False' in line
            for _, line in _last_changes(gateway, engines)
        ),
        3,
    )
    assert response.status_code == 503
    assert response.json() == {'error': 'no_target'}
    assert float(response.headers['retry-after']) > 0
    assert duration_s < 1
    assert not received(site, request_id)


def _last_changes(gateway, names):
    """Return the last logged record of each target."""
    lines = gateway.read_log().splitlines()
    for name in names:
        found = [
            line
            for line in lines
            if 'event=target_changed' in line and f'target={name} ' in line
        ]
        yield name, found[-1]


def test_target_that_says_that_it_leaves_gets_no_new_requests(
    site, gateway, request_id
):
    # Guards against requests to a leaving target whose record does not say so yet
    # (DRAIN).
    engine = site.engines['i-till-1']
    engine.is_leaving = True
    before = len(engine.received)
    responses = [
        call(gateway, '/pay/x', f'{request_id}-{number}')
        for number in range(10)
    ]
    site.register('i-till-1')
    responses += [
        call(gateway, '/pay/x', f'{request_id}-later-{number}')
        for number in range(4)
    ]
    engine.is_leaving = False
    arrived = len(engine.received) - before
    engine.restart()
    site.register('i-till-1')
    wait_until(
        lambda: all(
            'leaving=False' in line
            for _, line in _last_changes(gateway, ['i-till-1'])
        ),
        3,
    )
    assert [row.status_code for row in responses] == [200] * 14
    assert arrived == 1
    assert not any('server-leaving' in row.headers for row in responses)


def test_target_that_asks_for_a_pause_gets_no_requests_until_its_end(
    site, gateway, request_id
):
    # Guards against requests to a target that has turned one away for a time
    # (BUDGET).
    engine = site.engines['i-till-1']
    engine.plan = ['shed']
    engine.retry_after_s = 1.5
    numbers = itertools.count()

    def send():
        response = call(gateway, '/pay/x', f'{request_id}-{next(numbers)}')
        assert response.status_code == 200

    while engine.plan:
        send()
    turned_away_s = time.monotonic()
    arrived = len(engine.received)
    while time.monotonic() < turned_away_s + 1.3:
        send()
    assert len(engine.received) == arrived
    wait_until(lambda: send() or len(engine.received) > arrived, 3)
    engine.retry_after_s = None


def test_unreadable_target_records_are_ignored(site, gateway):
    # Guards against a crash, or the loss of a target, because of an
    # unreadable record in the store.
    for content in (b'\xff\x00', b'[]', b'{"service":"till"}', b'null'):
        site.portal.call(site.store.put, 'keyed.servers', 'i-forged', content)
    site.register('i-till-2', seq=9)
    wait_until(lambda: 'target_record_unreadable' in gateway.read_log(), 3)
    assert call(gateway, '/pay/x', 'forged-1').status_code == 200


@pytest.mark.parametrize(
    'content',
    [
        b'[' * 100_000,
        b'{"a":' * 100_000 + b'1' + b'}' * 100_000,
        {'slots': 10**400},
        {'seq': 10**400},
        {'born': 10**400},
        {'addr': '127.0.0.1:99999'},
        {'addr': '127.0.0.1:0'},
        {'addr': '0.0.0.0:80'},
        {'zone': 'a\r\nb'},
    ],
    ids=(
        'nested list',
        'nested object',
        'slots',
        'seq',
        'born',
        'high port',
        'port 0',
        'unspecified address',
        'line break',
    ),
)
@pytest.mark.parametrize('engine_id', ['i-till-1', 'i-dec-1'])
def test_odd_entry_neither_ends_nor_stops_a_gateway(
    site, gateway, request_id, engine_id, content
):
    # Guards against one entry of another writer that ends the processes that
    # read the list, keeps them from following it, or fails their requests.
    process = gateway.process
    start = len(gateway.read_log())
    if isinstance(content, dict):
        content = site.engines[engine_id].record(
            site.addresses[engine_id], **content
        )
    site.portal.call(site.store.put, 'keyed.servers', 'i-odd', content)
    site.register(engine_id, slots=9)
    wait_until(
        lambda: (
            f'target_changed process={gateway.node} target={engine_id} '
            in gateway.read_log()[start:]
        ),
        3,
    )
    site.register(engine_id)
    for path, headers in (('/pay/x', {}), ('/draft/x', prompt_headers())):
        response = call(gateway, path, f'{request_id}{path}', **headers)
        assert response.status_code == 200
    log = gateway.read_log()[start:]
    assert 'target=i-odd' in log
    assert 'fault' not in log
    assert 'target_changed process=front-a-1 target=i-odd' not in log
    assert gateway.process is process
    assert process.poll() is None
    site.remove('i-odd')


def test_new_configuration_applies_and_older_one_is_ignored(site, gateway):
    # Guards against removed routes that are still served, and against an
    # older version that replaces a newer one.
    document = configuration_document()
    routes = [row for row in document['routes'] if row['name'] != 'open']
    site.publish(5, routes=routes)
    wait_until(
        lambda: call(gateway, '/open/x', 'old', key=None).status_code == 404, 2
    )
    site.publish(4)
    time.sleep(0.3)
    assert call(gateway, '/open/x', 'older', key=None).status_code == 404
    site.publish(6)
    wait_until(
        lambda: call(gateway, '/open/x', 'new', key=None).status_code == 200, 2
    )


def test_concurrent_requests_all_succeed(site, gateway):
    # Guards against requests that are lost in a queue.
    statuses = []
    threads = [
        threading.Thread(
            target=lambda number=number: statuses.append(
                call(gateway, '/read/x', f'many-{number}').status_code
            )
        )
        for number in range(60)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert statuses == [200] * 60


@pytest.mark.parametrize(
    'changes',
    [
        {'X-Peridotrill-Length-Hint': 'inf'},
        {'X-Peridotrill-Length-Hint': 'nan'},
        {'X-Peridotrill-Length-Hint': '-1'},
        {'X-Peridotrill-Token-Count': '-100000,0'},
        {'X-Peridotrill-Token-Count': f'{10**400},1'},
        {'X-Peridotrill-Prompt-Prefix': 'a1:-5,b2:9'},
        {'X-Peridotrill-Deadline-Ms': 'nan'},
    ],
)
def test_invalid_numeric_headers_are_rejected(site, gateway, changes):
    # Guards against a header that crashes the process (a length hint of
    # ``inf`` did), and against negative counts that raise the team's quota.
    headers = {**prompt_headers(), **changes}
    response = call(gateway, '/draft/x', 'numbers', **headers)
    assert response.status_code == 400
    assert 'malformed_request' in gateway.read_log()
    assert site.runs('numbers') == []
    assert call(gateway, '/pay/x', 'after').status_code == 200


def test_unverified_target_rejection_is_answered_502(site, gateway, request_id):
    # Guards against a payment that runs although the caller gets a 503 and
    # sends it again.
    site.plan('till', 'false_refusal')
    assert call(gateway, '/pay/x', request_id).status_code == 502
    assert len(site.runs(request_id)) == 1


def test_unreadable_requests_are_logged(site, gateway):
    # Guards against rejections that are missing from the log.
    with socket.create_connection(
        ('127.0.0.1', gateway.caller_port), timeout=5
    ) as connection:
        connection.sendall(b'GET /x HTTP/1.1\r\n' + b'X: y\r\n' * 2000)
        assert b'431' in connection.recv(4096)
    wait_until(lambda: 'event=request_unreadable' in gateway.read_log(), 3)
    assert 'status=431' in gateway.read_log()


def test_unreadable_pipelined_request_fails_after_earlier_ones(site, gateway):
    # Guards against an error response that is written before or into the
    # responses to earlier pipelined requests.
    with socket.create_connection(
        ('127.0.0.1', gateway.caller_port), timeout=5
    ) as connection:
        requests = ''.join(
            f'GET /read/x HTTP/1.1\r\nHost: {HOST}\r\n'
            f'X-Peridotrill-Request-Id: before-{number}\r\n'
            'Authorization: Bearer key-g\r\n\r\n'
            for number in range(3)
        )
        connection.sendall(requests.encode() + b'BAD\x01 / nothing\r\n\r\n')
        responses = b''
        while part := connection.recv(4096):
            responses += part
    assert responses.count(b'answer to before-') == 3
    assert responses.index(b'HTTP/1.1 400') > responses.index(b'before-2')
