import json
import re
import subprocess
import sys
from contextlib import asynccontextmanager
from datetime import timedelta
from pathlib import Path

import anyio
import httpx
import pytest

from peridotrill import messages
from peridotrill.agent import Agent, AgentConfig
from peridotrill.attempt_table import ENTRY_LOST_TIMEOUT, AttemptTable
from peridotrill.buffered_response import (
    WINDOW_BYTES,
    BufferedResponse,
    Delivery,
)
from peridotrill.clock import ManualClock, SystemClock
from peridotrill.control_port import ControlSource, create_control_app
from peridotrill.engine_client import EngineClient
from peridotrill.link import AgentLink, LinkDown, LinkUp
from peridotrill.settings import Address
from peridotrill.target_client import create_http_client
from peridotrill.timeline import Recorder
from tests import builders
from tests.processes import free_port

pytestmark = pytest.mark.anyio
LOAD = {'ready': True, 'running_requests': 3, 'free_pieces': 5, 'role': 'mixed'}
LARGE_BYTES = 4 * WINDOW_BYTES


@pytest.fixture
def anyio_backend():
    return 'asyncio'


class FakeTarget:
    """Records requests; the path of a request selects the behaviour."""

    def __init__(self):
        self.ran = []
        self.cancelled = []
        self.sent_bytes = 0
        self.release = anyio.Event()

    async def serve(self, stream):
        async with stream:
            try:
                await self.answer(stream)
            except (anyio.BrokenResourceError, anyio.EndOfStream):
                return

    async def answer(self, stream):
        received = b''
        while b'\r\n\r\n' not in received:
            received += await stream.receive()
        path = received.split()[1].decode()
        if path == '/load':
            await self.reply(stream, json.dumps(LOAD).encode())
        elif path.startswith('/cache-events'):
            events = [{'sequence': 1, 'kind': 'stored', 'prefix': 77}]
            page = {'events': events, 'next': 2}
            await self.reply(stream, json.dumps(page).encode())
        elif path.startswith('/attempts/'):
            self.cancelled.append(path.split('/')[2])
            await self.reply(stream, b'{}')
        else:
            self.ran.append(path)
            await getattr(self, path[1:])(stream)

    async def reply(self, stream, body, content_type='application/json'):
        head = (
            f'HTTP/1.1 200 OK\r\ncontent-type: {content_type}\r\n'
            f'content-length: {len(body)}\r\n\r\n'
        )
        await stream.send(head.encode() + body)

    async def post(self, stream):
        await self.release.wait()
        usage = {'prompt_tokens': 11, 'completion_tokens': 4}
        await self.reply(stream, json.dumps({'usage': usage}).encode())

    async def events(self, stream):
        one = b'data: {"choices":[{"delta":{"content":"x"}}]}\n\n'
        body = one * 3 + b'data: [DONE]\n\n'
        await self.reply(stream, body, 'text/event-stream')

    async def cut_events(self, stream):
        head = b'HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n'
        await stream.send(head + b'data: {"choices":[{}]}\n\n')

    async def reset(self, stream):
        return

    async def large(self, stream):
        head = f'HTTP/1.1 200 OK\r\ncontent-length: {LARGE_BYTES}\r\n\r\n'
        await stream.send(head.encode())
        for number in range(LARGE_BYTES // 1024):
            await stream.send(number.to_bytes(4, 'big') * 256)
            self.sent_bytes += 1024


class AgentHarness:
    def __init__(self, tasks):
        self.tasks = tasks
        self.clock = SystemClock()
        self.target = FakeTarget()
        self.target_port = free_port()
        self.http = create_http_client(f'http://127.0.0.1:{self.target_port}')
        self.control = create_http_client(str(self.http.base_url), 1)
        self.address = Address('127.0.0.1', free_port())
        config = AgentConfig('t1', 'receipts', 'engine', 'z1', self.address)
        self.agent = Agent.from_config(
            config,
            EngineClient(self.http, self.control),
            self.clock,
            Recorder('agent', self.clock),
        )
        self.link = self.new_link()

    def new_link(self):
        return AgentLink.from_config(
            self.address,
            builders.hello,
            self.clock,
            Recorder('entry', self.clock),
        )

    async def connect(self, link):
        scope = anyio.CancelScope()

        async def run():
            with scope:
                await link.run()

        self.tasks.start_soon(run)
        await self.receive(LinkUp, link=link)
        return scope

    def start(self, attempt_id='x1', key=None, path='/post', **changes):
        if key is not None:
            changes.update(idempotent=False, key_digest=key, caller_key=True)
        changes.setdefault('start_before_s', self.clock.monotonic_s() + 30)
        self.link.send(builders.start(attempt_id, path=path, **changes))

    async def receive(self, kind, attempt_id=None, link=None):
        with anyio.fail_after(10):
            while True:
                event = await (link or self.link).events.receive()
                if isinstance(event, kind) and attempt_id in {
                    None,
                    getattr(event, 'attempt_id', None),
                }:
                    return event


@asynccontextmanager
async def serving():
    async with anyio.create_task_group() as tasks:
        harness = AgentHarness(tasks)
        listener = await anyio.create_tcp_listener(
            local_host='127.0.0.1', local_port=harness.target_port
        )
        tasks.start_soon(listener.serve, harness.target.serve)
        tasks.start_soon(harness.agent.run)
        harness.scope = await harness.connect(harness.link)
        harness.link.send(messages.ForwardedKeys([], True, 0))
        yield harness
        tasks.cancel_scope.cancel()
        await harness.http.aclose()
        await harness.control.aclose()


async def test_token_usage_and_load_are_reported():
    async with serving() as harness:
        report = await harness.receive(messages.LoadReport)
        while not report.ready:
            # The agent may send a report before it has polled the target.
            assert report.running_requests == 0
            report = await harness.receive(messages.LoadReport)
        assert report.running_requests == 3
        while not report.cached_prefixes:
            report = await harness.receive(messages.LoadReport)
        assert report.cached_prefixes == [77]
        harness.target.release.set()
        harness.start()
        assert (await harness.receive(messages.AttemptHead)).status == 200
        end = await harness.receive(messages.AttemptEnd)
        assert (end.prompt_tokens, end.output_tokens) == (11, 4)
        harness.start('x2', path='/events')
        end = await harness.receive(messages.AttemptEnd)
        assert end.output_tokens == 3


async def test_repeated_key_joins_the_running_attempt_and_later_replays():
    # Guards against running a repeated request twice.
    async with serving() as harness:
        harness.start('x1', b'k1')
        await harness.receive(messages.AttemptStarted, 'x1')
        harness.start('x2', b'k1')
        await harness.receive(messages.AttemptStarted, 'x2')
        harness.target.release.set()
        ends = [await harness.receive(messages.AttemptEnd) for _ in range(2)]
        assert sorted(end.output_tokens for end in ends) == [0, 4]
        harness.start('x3', b'k1')
        assert (await harness.receive(messages.AttemptStarted)).replayed
        chunk = await harness.receive(messages.AttemptChunk)
        assert b'usage' in chunk.payload
        harness.start('x4', b'k1', request_digest=b'body-2')
        refused = await harness.receive(messages.AttemptRefused)
        assert refused.code == 'idempotency_key_reused'
        assert harness.target.ran == ['/post']


async def test_outcome_is_unknown_after_reset_and_not_run_if_refused():
    # Guards against reporting not_run after the request was written.
    async with serving() as harness:
        harness.start('x1', b'k1', path='/reset')
        failed = await harness.receive(messages.AttemptFailed)
        assert (failed.code, failed.outcome) == ('target_failed', 'unknown')
        harness.start('x2', b'k1', path='/reset')
        refused = await harness.receive(messages.AttemptRefused)
        assert (refused.code, refused.not_run) == ('outcome_unknown', False)
        harness.http.base_url = f'http://127.0.0.1:{free_port()}'
        harness.start('x3', b'k2')
        failed = await harness.receive(messages.AttemptFailed)
        assert failed.outcome == 'not_run'
        assert harness.target.ran == ['/reset']


async def test_stream_without_its_last_event_is_not_complete():
    # Guards against a stream that ends as if it were complete, because an
    # engine without a length or chunks was stopped between two events.
    async with serving() as harness:
        harness.start(path='/cut_events')
        failed = await harness.receive(messages.AttemptFailed)
        assert (failed.code, failed.outcome) == ('target_failed', 'unknown')


async def test_expired_cancelled_and_unknown_attempts_do_not_run():
    async with serving() as harness:
        harness.start('late', start_before_s=harness.clock.monotonic_s() - 1)
        refused = await harness.receive(messages.AttemptRefused)
        assert (refused.code, refused.not_run) == ('expired', True)
        harness.link.send(messages.CancelAttempt('x1', 'caller left'))
        assert not (await harness.receive(messages.CancelConfirmed)).started
        harness.start('x1')
        refused = await harness.receive(messages.AttemptRefused)
        assert (refused.code, refused.not_run) == ('cancelled', True)
        harness.link.send(messages.ResumeAttempt('x2', 0))
        refused = await harness.receive(messages.AttemptRefused)
        assert (refused.code, refused.not_run) == ('not_received', True)
        assert not harness.target.ran


async def test_cancel_reaches_the_target_and_is_confirmed_as_started():
    async with serving() as harness:
        harness.start('x1', b'k1')
        while not harness.target.ran:
            await anyio.sleep(0.01)
        harness.link.send(messages.CancelAttempt('x1', 'caller left'))
        assert (await harness.receive(messages.CancelConfirmed)).started
        harness.start('x2', b'k1')
        refused = await harness.receive(messages.AttemptRefused)
        assert (refused.code, refused.not_run) == ('outcome_unknown', False)
        with anyio.fail_after(5):
            while harness.target.cancelled != ['x1']:
                await anyio.sleep(0.01)


async def test_window_limits_bytes_and_resume_works_after_reconnect():
    # Guards against unbounded buffering and lost or duplicated bytes.
    async with serving() as harness:
        harness.start(path='/large')
        received_bytes = bytearray()
        while len(received_bytes) < WINDOW_BYTES:
            chunk = await harness.receive(messages.AttemptChunk)
            assert chunk.position == len(received_bytes)
            received_bytes += chunk.payload
        with anyio.move_on_after(0.3):
            await harness.receive(messages.AttemptChunk)
            pytest.fail('more bytes than the window were sent')
        assert len(received_bytes) == WINDOW_BYTES
        harness.scope.cancel()
        del received_bytes[100_000:]
        harness.link = harness.new_link()
        await harness.connect(harness.link)
        harness.link.send(messages.ResumeAttempt('x1', len(received_bytes)))
        while len(received_bytes) < LARGE_BYTES:
            event = await harness.receive((messages.AttemptChunk, LinkDown))
            assert event.position == len(received_bytes)
            received_bytes += event.payload
            harness.link.send(
                messages.AcknowledgeBytes('x1', len(received_bytes))
            )
        end = await harness.receive(messages.AttemptEnd)
        assert end.total_bytes == LARGE_BYTES
        assert bytes(received_bytes) == b''.join(
            number.to_bytes(4, 'big') * 256
            for number in range(LARGE_BYTES // 1024)
        )


async def test_draining_agent_finishes_attempts_and_refuses_new_ones():
    async with serving() as harness:
        harness.start('x1')
        await harness.receive(messages.AttemptStarted)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(harness.agent.drain, timedelta(seconds=5))
            await harness.receive(messages.Draining)
            harness.start('x2')
            refused = await harness.receive(messages.AttemptRefused)
            assert (refused.code, refused.not_run) == ('draining', True)
            harness.target.release.set()
            end = await harness.receive(messages.AttemptEnd, 'x1')
            position = messages.AcknowledgeBytes('x1', end.total_bytes)
            harness.link.send(position)
            with anyio.fail_after(2):
                while not harness.agent._attempts.find('x1').is_done:
                    await anyio.sleep(0.01)


@pytest.mark.parametrize('idempotent', [True, False])
async def test_only_idempotent_attempts_of_a_lost_entry_are_cancelled(
    idempotent,
):
    # Guards against running requests whose caller is gone, and against
    # cancelling a keyed request whose outcome another entry may ask for.
    clock = ManualClock()
    table = AttemptTable(clock)
    table.connect(1, builders.hello())
    answer = BufferedResponse(builders.start(idempotent=idempotent), 0)
    entry = table.entry(1)
    table.add(Delivery('x1', entry, 1, answer, lambda peer, message: None))
    table.disconnect(1)
    table.sweep()
    clock.advance(ENTRY_LOST_TIMEOUT - timedelta(seconds=1))
    table.sweep()
    assert table.find('x1') is not None
    clock.advance(timedelta(seconds=2))
    table.sweep()
    assert table.find('x1') is None
    assert table.seen_attempts.may_contain('x1')
    assert answer.scope.cancel_called == idempotent


async def test_control_port_shows_health_metrics_status_and_timeline():
    clock = SystemClock()
    recorder = Recorder('agent', clock)
    for kind in ('one', 'two'):
        recorder.emit(kind)
    ready = []
    source = ControlSource(recorder, lambda: bool(ready), lambda: {'a': 1})
    transport = httpx.ASGITransport(create_control_app(source))
    async with httpx.AsyncClient(
        transport=transport, base_url='http://agent'
    ) as http:
        assert (await http.get('/livez')).status_code == 200
        assert (await http.get('/readyz')).status_code == 503
        ready.append(1)
        assert (await http.get('/readyz')).status_code == 200
        assert (await http.get('/status')).json() == {'a': 1}
        assert b'python_info' in (await http.get('/metrics')).content
        page = (await http.get('/timeline?after=1')).json()
        assert [event['kind'] for event in page['events']] == ['two']
        assert (await http.get('/nothing')).status_code == 404


def test_sigterm_exits_with_status_0_and_memory_is_bounded():
    control, link = free_port(), free_port()
    options = {
        'target-id': 't1',
        'service': 's',
        'kind': 'engine',
        'zone': 'z1',
        'listen': f'127.0.0.1:{link}',
        'control-listen': f'127.0.0.1:{control}',
        'target-url': f'http://127.0.0.1:{free_port()}',
    }
    flags = [f'--{name}={text}' for name, text in options.items()]
    command = [sys.executable, '-m', 'peridotrill.agent_main', *flags]
    with subprocess.Popen(command, stderr=subprocess.PIPE) as process:
        assert b'event=started' in process.stderr.readline()
        status = Path(f'/proc/{process.pid}/status').read_text()
        process.terminate()
        output = process.communicate(timeout=20)[1]
    assert process.returncode == 0, output
    assert b'event=drained' in output
    resident = re.search(r'VmRSS:\s+(\d+) kB', status)
    assert int(resident[1]) < 64 * 1024


async def test_unchanged_load_is_reported_less_often():
    # Guards against control traffic of an idle system that grows with the
    # number of entries times targets.
    async with serving() as harness:
        await harness.receive(messages.LoadReport)
        await anyio.sleep(1.5)
        reports = []
        with anyio.move_on_after(2):
            while True:
                reports.append(await harness.receive(messages.LoadReport))
        # Reporting each poll would send 14; the first reports may still carry
        # changes of the cache.
        assert 2 <= len(reports) <= 6
        harness.agent.is_draining = True
        with anyio.fail_after(2):
            while not (await harness.receive(messages.LoadReport)).draining:
                pass
