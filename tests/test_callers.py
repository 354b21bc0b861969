"""Tests of the application that serves callers, with a scripted agent."""

import json
from contextlib import asynccontextmanager
from pathlib import Path

import anyio
import httpx
import pytest
from prometheus_client import CollectorRegistry

from peridotrill import admission, caller_app, messages, records
from peridotrill.caller_server import serve_callers
from peridotrill.control_state import ControlState
from peridotrill.entry_metrics import EntryMetrics
from peridotrill.errors import describe_errors
from peridotrill.keys import create_key, digest_key
from peridotrill.limits import TeamLimiter
from peridotrill.settings import Address
from tests import builders
from tests.scripted_agent import (
    COMPLETE_RESPONSE,
    END,
    HEAD,
    STARTED,
    ScriptedAgent,
    chunk,
    failed,
    refused,
)
from tests.processes import free_port

pytestmark = pytest.mark.anyio
CHAT = '/v1/chat/completions'
STREAM_HEAD = HEAD._replace(headers=[('Content-Type', 'text/event-stream')])


@pytest.fixture
def anyio_backend():
    return 'asyncio'


class EntryHarness:
    """The caller application with a scripted agent as its back end."""

    def __init__(self, *scripts, service='receipts'):
        self.agent = ScriptedAgent(*scripts, service=service)
        self.state = ControlState()
        self.key = create_key()
        self.keyed_unavailable_reason = ''
        texts = {
            document['name']: builders.service_text(document)
            for document in (
                builders.plain_document(),
                builders.model_document(),
            )
        }
        self.apply(
            kind='config_published',
            publish_id='p',
            base_version=0,
            changed=texts,
            removed=[],
            author='a',
        )
        self.apply(
            kind='key_granted',
            name='k1',
            team='growers',
            digest=digest_key(self.key),
        )
        limiter = TeamLimiter(self.agent.clock)
        for configured in self.state.catalog.services.values():
            policy = configured.teams['growers']._replace(
                rate_per_s=1e6, burst=2
            )
            limiter.configure(configured.name, 'growers', policy, 1)
        self.limiter = limiter
        self.running = admission.RunningRequests(self.state)
        self.app = caller_app.CallerApp(
            admission.Admission(
                self.state,
                limiter,
                self.agent.clock,
                lambda: self.keyed_unavailable_reason,
            ),
            self.running,
            self.agent.dependencies,
            EntryMetrics(CollectorRegistry()),
            lambda: '',
        )

    def apply(self, **record):
        payload = records.encode_record(record)
        decoded = records.decode_record(payload)
        self.state.apply(self.state.offset + 1, decoded, 0)

    async def call(self, method, path, key=None, **options):
        headers = {'Authorization': f'Bearer {key or self.key}'}
        headers |= options.pop('headers', {})
        transport = httpx.ASGITransport(self.app, raise_app_exceptions=False)
        async with httpx.AsyncClient(
            transport=transport, base_url='http://entry'
        ) as client:
            return await client.request(
                method, path, headers=headers, **options
            )

    @asynccontextmanager
    async def serve(self):
        """Serve the application on a TCP port; yields the port."""
        address = Address('127.0.0.1', free_port())
        stopping = anyio.Event()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(
                lambda: serve_callers(self.app, address, stopping.wait)
            )
            yield address.port
            stopping.set()

    async def connect(self, port):
        """Connect once the server listens."""
        while True:
            try:
                return await anyio.connect_tcp('127.0.0.1', port)
            except OSError:
                await anyio.sleep(0.01)

    async def post_raw(self, port, body, connection='keep-alive'):
        """Send a chat request; return all bytes until the connection closes."""
        with anyio.fail_after(10):
            async with await self.connect(port) as stream:
                await stream.send(
                    f'POST {CHAT} HTTP/1.1\r\nHost: e\r\n'
                    f'Connection: {connection}\r\n'
                    f'Authorization: Bearer {self.key}\r\n'
                    f'Content-Length: {len(body)}\r\n\r\n'.encode()
                    + body
                )
                return b''.join([part async for part in stream])


def error_summary(response):
    """Return status, code and outcome of an error; check its request id."""
    error = response.json()['error']
    assert error['request_id'] == response.headers['x-request-id']
    return response.status_code, error['code'], error['outcome']


def model_body(**changes):
    fields = {'model': 'summariser-7b', 'messages': [], 'max_tokens': 5}
    return json.dumps(fields | changes).encode()


async def test_requests_are_forwarded_without_api_key_or_internal_headers():
    # Guards against leaking API keys to targets, and against callers who set
    # hop-by-hop or internal headers.
    head = HEAD._replace(
        headers=[('Content-Type', 'text/x'), ('Connection', 'close')]
    )
    harness = EntryHarness([STARTED, head, *COMPLETE_RESPONSE[2:]])
    response = await harness.call(
        'POST',
        '/receipts/posts?a=b',
        content=b'{}',
        headers={
            'X-Peridotrill-Team': 'other',
            'X-Attempt-Id': '1',
            'Connection': 'x-secret',
            'X-Secret': '1',
            'X-Kept': '1',
        },
    )
    assert (response.status_code, response.content) == (200, b'abcdef')
    assert response.headers['content-type'] == 'text/x'
    assert 'connection' not in response.headers
    start = harness.agent.of_type(messages.StartAttempt)[0]
    assert (start.team, start.path) == ('growers', '/receipts/posts?a=b')
    assert dict(start.headers)['x-kept'] == '1'
    assert harness.key not in str(start)
    names = {name for name, _ in start.headers}
    assert not names & {
        'authorization',
        'connection',
        'host',
        'x-attempt-id',
        'x-peridotrill-team',
        'x-secret',
    }


@pytest.mark.parametrize(
    ('method', 'path', 'options', 'expected'),
    [
        ('GET', '/none', {}, (404, 'route_not_found', 'not_run')),
        ('POST', CHAT, {'content': b'x'}, (400, 'invalid_request', 'not_run')),
        ('POST', CHAT, {'content': b'{}'}, (400, 'invalid_request', 'not_run')),
        (
            'POST',
            CHAT,
            {'content': model_body(model='x')},
            (404, 'model_not_found', 'not_run'),
        ),
        (
            'POST',
            CHAT,
            {'content': bytes(caller_app.MAX_BODY_BYTES + 1)},
            (413, 'body_too_large', 'not_run'),
        ),
        (
            'GET',
            '/none',
            {'headers': {'X': 'x' * caller_app.MAX_HEADER_BYTES}},
            (431, 'header_too_large', 'not_run'),
        ),
        (
            'POST',
            '/receipts/posts',
            {'key': 'ptk_other'},
            (401, 'key_invalid', 'not_run'),
        ),
        (
            'POST',
            '/receipts/posts',
            {'headers': {'Authorization': ''}},
            (401, 'key_missing', 'not_run'),
        ),
        (
            'POST',
            '/receipts/posts',
            {'headers': {'Idempotency-Key': 'x' * 256}},
            (400, 'invalid_request', 'not_run'),
        ),
    ],
)
async def test_refused_requests_return_their_error_code(
    method, path, options, expected
):
    # Guards against forwarding invalid requests, such as those without a valid
    # API key, to a target.
    harness = EntryHarness()
    assert (
        error_summary(await harness.call(method, path, **options)) == expected
    )
    assert harness.agent.sent == []


@pytest.mark.parametrize('path', [CHAT, '/receipts/posts', '/none'])
async def test_body_is_not_read_without_a_valid_api_key(path):
    # Guards against callers without a valid API key who exhaust memory with
    # bodies. Reading the body would fail, because ``receive`` is None.
    sent = []

    async def send(message):
        sent.append(message)

    scope = {
        'type': 'http',
        'method': 'POST',
        'path': path,
        'raw_path': path.encode(),
        'query_string': b'',
        'headers': [(b'authorization', b'Bearer ptk_other')],
    }
    await EntryHarness().app(scope, None, send)
    assert sent[0]['status'] in {401, 404}


async def test_limits_and_stale_state_refuse_only_requests_with_an_api_key():
    # Guards against requests above the rate limit, and against accepting
    # withdrawn API keys in a process that is disconnected from the log.
    harness = EntryHarness(COMPLETE_RESPONSE, COMPLETE_RESPONSE)
    policy = builders.policy(rate_per_s=0.5, burst=1)
    harness.limiter.configure('receipts', 'growers', policy, 1)
    assert (await harness.call('POST', '/receipts/posts')).status_code == 200
    response = await harness.call('POST', '/receipts/posts')
    assert error_summary(response) == (429, 'rate_limited', 'not_run')
    assert response.headers['retry-after'] == '2'
    harness.keyed_unavailable_reason = 'stale'
    assert error_summary(await harness.call('POST', '/receipts/posts'))[1:] == (
        'entry_unavailable',
        'not_run',
    )
    response = await harness.call('GET', '/receipts/x', key='none')
    assert response.content == b'abcdef'


async def test_idempotency_keys_are_scoped_and_replays_are_marked():
    # Guards against running a different request with a used idempotency key,
    # and against a replayed response that looks like a second run.
    replay = [STARTED._replace(replayed=True), *COMPLETE_RESPONSE[1:]]
    harness = EntryHarness(COMPLETE_RESPONSE, replay, COMPLETE_RESPONSE)
    headers = {'Idempotency-Key': 'k'}
    first, second, third = [
        await harness.call(
            'POST', '/receipts/posts', content=body, headers=headers
        )
        for body in (b'1', b'1', b'2')
    ]
    starts = harness.agent.of_type(messages.StartAttempt)
    assert len({start.key_digest for start in starts}) == 1
    digests = [start.request_digest for start in starts]
    assert digests[0] == digests[1] != digests[2]
    assert all(start.caller_key for start in starts)
    assert 'idempotency-replayed' not in first.headers
    assert second.headers['idempotency-replayed'] == 'true'
    assert third.status_code == 200
    # The usage of the first and third requests; a replay is not counted.
    assert harness.agent.counted == [('growers', 1, 3, 2)] * 2


async def test_models_are_listed_for_the_team_of_the_api_key():
    response = await EntryHarness().call('GET', '/v1/models')
    assert [row['id'] for row in response.json()['data']] == ['summariser-7b']


async def test_outcomes_of_the_agent_reach_the_caller():
    # Guards against reporting an unknown outcome as safe to retry.
    harness = EntryHarness(
        [STARTED, failed('unknown')], [refused('x', not_run=False)]
    )
    for _ in range(2):
        response = await harness.call('POST', '/receipts/posts')
        assert error_summary(response) == (502, 'outcome_unknown', 'unknown')


async def test_complete_stream_ends_with_the_terminating_chunk():
    # The zero-length chunk that ends a body in chunked transfer encoding.
    harness = EntryHarness(
        [STARTED, STREAM_HEAD, chunk(0, b'data: x\n\n')]
        + [END._replace(total_bytes=9)],
        service='summariser',
    )
    async with harness.serve() as port:
        raw = await harness.post_raw(port, model_body(stream=True), 'close')
    assert b'data: x' in raw
    assert raw.endswith(b'0\r\n\r\n')


@pytest.mark.parametrize('ending', ['failed', 'withdrawn'])
async def test_broken_stream_never_ends_with_the_terminating_chunk(ending):
    # Guards against a truncated response that the caller takes for complete,
    # and against streams that continue after their API key was withdrawn.
    script = [STARTED, STREAM_HEAD, chunk(0, b'data: x\n\n')]
    script += [failed('unknown')] if ending == 'failed' else []
    script += [messages.CancelAttempt, messages.CancelConfirmed('', True, 1, 1)]
    harness = EntryHarness(script, service='summariser')
    code = 'target_failed' if ending == 'failed' else 'key_withdrawn'

    async def withdraw_key():
        while not harness.agent.sent:
            await anyio.sleep(0.01)
        await anyio.sleep(0.1)
        harness.apply(kind='key_withdrawn', name='k1')
        harness.running.cancel_withdrawn()

    async with harness.serve() as port, anyio.create_task_group() as tasks:
        if ending == 'withdrawn':
            tasks.start_soon(withdraw_key)
        raw = await harness.post_raw(port, model_body(stream=True))
    assert b'transfer-encoding: chunked' in raw.lower()
    assert f'"code":"{code}"'.encode() in raw
    assert not raw.endswith(b'0\r\n\r\n')


@pytest.mark.parametrize('is_complete', [True, False])
async def test_http2_streams_end_or_are_reset(is_complete):
    # Guards against callers who wait forever for a broken HTTP/2 stream.
    last = END._replace(total_bytes=9) if is_complete else failed('unknown')
    script = [STARTED, STREAM_HEAD, chunk(0, b'data: x\n\n'), last]
    harness = EntryHarness(script, service='summariser')
    received = b''
    async with harness.serve() as port:
        await (await harness.connect(port)).aclose()
        with anyio.fail_after(10):
            async with (
                httpx.AsyncClient(http1=False, http2=True) as client,
                client.stream(
                    'POST',
                    f'http://127.0.0.1:{port}{CHAT}',
                    content=model_body(stream=True),
                    headers={'Authorization': f'Bearer {harness.key}'},
                ) as response,
            ):
                try:
                    async for part in response.aiter_bytes():
                        received += part
                except httpx.RemoteProtocolError:
                    assert not is_complete
                else:
                    assert is_complete
    assert response.http_version == 'HTTP/2'
    assert (b'target_failed' in received) != is_complete


async def test_caller_disconnect_cancels_the_attempt():
    # Guards against targets that keep working after the caller disconnected.
    script = [STARTED, STREAM_HEAD, chunk(0, b'data: x\n\n')]
    script += [messages.CancelAttempt, messages.CancelConfirmed('', True, 3, 1)]
    harness = EntryHarness(script, service='summariser')
    async with harness.serve() as port:
        with anyio.move_on_after(0.5):
            await harness.post_raw(port, model_body(stream=True))
        with anyio.fail_after(5):
            while not harness.agent.counted:
                await anyio.sleep(0.01)
    assert harness.agent.counted == [('growers', 1, 3, 1)]
    assert harness.app.in_flight == 0


def test_error_code_documentation_is_current():
    # Guards against undocumented error codes.
    page = Path(__file__).parent.parent / 'docs' / 'errors.md'
    assert describe_errors() in page.read_text('utf-8')
