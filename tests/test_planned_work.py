"""Planned work that overlaps other planned work: no request is lost."""

import asyncio
import http.client
import os
import signal
import socket
import sys
import time
from contextlib import ExitStack, asynccontextmanager, closing, suppress
from datetime import timedelta
from pathlib import Path

import anyio
import httpx
import pytest

from peridotrill import caller_server
from peridotrill.agent_program import SETTINGS as AGENT_SETTINGS
from peridotrill.caller_server import serve_callers
from peridotrill.clock import ManualClock
from peridotrill.exceptions import LinkClosed
from peridotrill.services import DEADLINE_RANGE
from peridotrill.settings import Address, parse_duration
from peridotrill.target_links import TargetLinks, choose_subset
from peridotrill.targets import UNLISTED_RETENTION, TargetTable, VmRow
from peridotrill.timeline import Recorder
from standins.completions import generate_text
from tests import builders
from tests.callers import PROMPT, StreamCall, auth_headers, run_in_background
from tests.cluster import SERVICES, free_loopback_address, run_cluster, split
from tests.processes import flags, run_processes, wait_for

SIGNALS = (signal.SIGHUP, signal.SIGTERM, signal.SIGINT, signal.SIGUSR1)
# A library that both programs import after their first modules.
IMPORTED_LIBRARY = 'msgspec'
STREAM_TOKENS = 600
# More than the server needs to shut down.
ITERATIONS = 60
REQUEST = b'GET / HTTP/1.1\r\nHost: e\r\n\r\n'


@pytest.fixture
def anyio_backend():
    return 'asyncio'


@pytest.fixture
def processes(tmp_path):
    with run_processes(tmp_path) as group:
        yield group


def start_program(processes, program):
    """Start an agent or an entry that reaches no other process."""
    settings = {
        'agent': {
            'target_id': 't1',
            'service': 'till',
            'kind': 'plain',
            'target_url': f'http://{free_loopback_address()}',
        },
        'entry': {
            'entry_id': 'e1',
            'platform_url': f'http://{free_loopback_address()}',
            'drain_delay': '100ms',
        },
    }[program]
    arguments = flags(
        zone='z1',
        listen=free_loopback_address(),
        control_listen=free_loopback_address(),
        **settings,
    )
    module = f'peridotrill.{program}_main'
    return processes.start(program, [sys.executable, '-m', module, *arguments])


def send(process, *numbers):
    for number in numbers:
        if process.is_running:
            os.kill(process.pid, number)


def has_mapped(process, library):
    maps = Path(f'/proc/{process.pid}/maps').read_text()
    return library in maps or not process.is_running


@pytest.mark.parametrize('program', ['agent', 'entry'])
def test_signals_during_the_imports_end_no_program(processes, program):
    # Guards against the default action of signals before handlers are set.
    process = start_program(processes, program)
    wait_for(lambda: has_mapped(process, IMPORTED_LIBRARY), interval_s=0.001)
    send(process, *SIGNALS)
    assert process.wait() == 0, process.output()
    received = process.output()
    for name in ('SIGHUP', 'SIGTERM', 'SIGINT'):
        assert f'signal={name}' in received


@pytest.mark.parametrize('program', ['agent', 'entry'])
def test_signals_until_the_process_is_gone_end_no_program(processes, program):
    # Guards against the default action of signals while a program drains,
    # after its drain, and while the interpreter ends.
    process = start_program(processes, program)
    send_when_running = wait_for(
        lambda: 'event=' in process.output() or not process.is_running,
    )
    assert send_when_running
    while process.is_running:
        send(process, *SIGNALS)
        time.sleep(0.0005)
    assert process.wait() == 0, process.output()[-2000:]


RECEIVING_PROGRAM = """
import anyio, time
from peridotrill import process_signals
process_signals.install()
async def run():
    with process_signals.SignalReceiver() as signals:
        print('event=running', flush=True)
        while (await signals.wait()).number.name != 'SIGTERM':
            pass
        print('event=left', flush=True)
    time.sleep(0.1)
anyio.run(run, backend_options={'use_uvloop': %s})
time.sleep(0.1)
"""


@pytest.mark.parametrize('use_uvloop', [False, True])
def test_signal_receiver_works_with_each_event_loop(processes, use_uvloop):
    # Guards against a signal that does not wake up a sleeping event loop, and
    # against the default action after the receiver and its loop have ended.
    command = [sys.executable, '-c', RECEIVING_PROGRAM % use_uvloop]
    process = processes.start('receiving', command)
    wait_for(lambda: 'event=running' in process.output())
    send(process, signal.SIGHUP)
    time.sleep(0.1)
    send(process, signal.SIGTERM)
    wait_for(lambda: 'event=left' in process.output(), timeout_s=5)
    while process.is_running:
        send(process, *SIGNALS)
        time.sleep(0.001)
    assert process.wait() == 0, process.output()


@pytest.fixture
def cluster(tmp_path):
    with run_cluster(tmp_path, engines=1, plain=1, entries=1) as running:
        running.key = running.grant('alpha')
        url = running.entry_urls['entry-1']
        wait_for(lambda: get_stock(running, url).is_success)
        yield running


def get_stock(cluster, url):
    return cluster.client.get(
        f'{url}/stock/1', headers=auth_headers(cluster.key)
    )


@pytest.mark.parametrize('program', ['entry', 'agent'])
def test_stream_survives_all_signals_while_its_process_drains(cluster, program):
    # Guards against a signal that ends a stream, alone or after SIGTERM.
    url = cluster.entry_urls['entry-1']
    call = StreamCall(url, cluster.key, PROMPT, STREAM_TOKENS)
    call.wait_tokens(10)
    process = {
        'entry': cluster.entries['entry-1'],
        'agent': cluster.agents['assistant-1'],
    }[program]
    send(process, *SIGNALS)
    while call.result is None:
        send(process, *SIGNALS)
        time.sleep(0.05)
    stream = call.wait_end()
    assert stream.ended, stream
    assert stream.text == generate_text(PROMPT, STREAM_TOKENS)
    assert process.wait() == 0


async def answer(scope, receive, send):
    """Application that answers at once."""
    await send(
        {
            'type': 'http.response.start',
            'status': 200,
            'headers': [(b'content-length', b'4')],
        }
    )
    await send({'type': 'http.response.body', 'body': b'done'})


@asynccontextmanager
async def serve(app):
    """Serve an application; yields its address and the event that stops it."""
    address = split(free_loopback_address())
    stopping = anyio.Event()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(
            lambda: serve_callers(app, Address(*address), stopping.wait)
        )
        while not can_connect(address):
            await anyio.sleep(0.01)
        yield address, stopping
        stopping.set()


def can_connect(address):
    try:
        socket.create_connection(address).close()
    except ConnectionRefusedError:
        return False
    return True


def is_closed(connection):
    """Tell whether a caller knows that its connection was closed."""
    try:
        return not connection.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return False
    except ConnectionResetError:
        return True


async def read_response(connection):
    """Return the response; nothing if the connection closes without one."""
    connection.setblocking(False)
    received = b''
    loop = asyncio.get_running_loop()
    with suppress(ConnectionResetError):
        while not received.endswith(b'done'):
            part = await loop.sock_recv(connection, 4096)
            if not part:
                break
            received += part
    return received


@pytest.mark.anyio
async def test_response_during_the_shutdown_announces_the_close():
    # Guards against callers that send the next request on a connection that
    # is about to be closed.
    is_complete = anyio.Event()

    async def answer_later(scope, receive, send):
        await is_complete.wait()
        await answer(scope, receive, send)

    async with serve(answer_later) as (address, stopping):
        with socket.create_connection(address) as connection:
            connection.sendall(REQUEST)
            await anyio.sleep(0.1)
            stopping.set()
            await anyio.sleep(0.1)
            is_complete.set()
            with anyio.fail_after(5):
                received = await read_response(connection)
    assert b'connection: close' in received


@pytest.mark.anyio
@pytest.mark.parametrize('idle_s', [0, 1])
async def test_request_on_an_idle_connection_during_the_shutdown_is_answered(
    monkeypatch, idle_s
):
    # Guards against requests that have arrived when the server closes the
    # idle connections; each is sent in another iteration of the event loop.
    monkeypatch.setattr(
        caller_server,
        '_IDLE_BEFORE_CLOSE',
        timedelta(seconds=idle_s),
        raising=False,
    )
    async with serve(answer) as (address, stopping):
        with ExitStack() as stack:
            connections = [
                stack.enter_context(socket.create_connection(address))
                for _ in range(ITERATIONS)
            ]
            for connection in connections:
                connection.sendall(REQUEST)
                await read_response(connection)
            stopping.set()
            asked = []
            for connection in connections:
                await anyio.sleep(0)
                if not is_closed(connection):
                    connection.sendall(REQUEST)
                    asked.append(connection)
            with anyio.fail_after(5):
                responses = [await read_response(it) for it in asked]
    assert [it[-4:] for it in responses] == [b'done'] * len(asked)


@pytest.mark.anyio
async def test_connection_made_during_the_shutdown_is_refused_or_served():
    # Guards against connections that the kernel has accepted when the server
    # closes its listening socket.
    async with serve(answer) as (address, stopping):
        with ExitStack() as stack:
            stopping.set()
            asked = []
            with suppress(ConnectionRefusedError):
                for _ in range(ITERATIONS):
                    connection = socket.create_connection(address)
                    stack.enter_context(connection)
                    connection.sendall(REQUEST)
                    asked.append(connection)
                    await anyio.sleep(0)
            with anyio.fail_after(5):
                responses = [await read_response(it) for it in asked]
    assert asked
    assert [it[-4:] for it in responses] == [b'done'] * len(asked)


@pytest.mark.anyio
async def test_request_in_parts_during_the_shutdown_is_answered():
    # Guards against a connection that is closed between the parts of a head.
    async with serve(answer) as (address, stopping):
        with socket.create_connection(address) as connection:
            connection.sendall(REQUEST[:-2])
            await anyio.sleep(0.1)
            stopping.set()
            await anyio.sleep(1.5)
            connection.sendall(REQUEST[-2:])
            with anyio.fail_after(5):
                received = await read_response(connection)
    assert received.endswith(b'done')


@pytest.mark.anyio
async def test_pipelined_requests_during_the_shutdown_are_answered():
    # Guards against a connection that is closed behind the first of them.
    is_complete = anyio.Event()

    async def answer_later(scope, receive, send):
        await is_complete.wait()
        await answer(scope, receive, send)

    async with serve(answer_later) as (address, stopping):
        with socket.create_connection(address) as connection:
            connection.sendall(REQUEST * 2)
            await anyio.sleep(0.1)
            stopping.set()
            await anyio.sleep(0.1)
            is_complete.set()
            with anyio.fail_after(5):
                received = await read_response(connection)
                received += await read_response(connection)
    assert received.count(b'HTTP/1.1 200') == 2
    assert received.count(b'connection: close') == 1


@pytest.mark.anyio
async def test_http2_stream_opened_during_the_shutdown_is_answered():
    # Guards against streams that are reset as if their outcome were unknown.
    async with serve(answer) as (address, stopping):
        url = f'http://{address[0]}:{address[1]}/'
        async with httpx.AsyncClient(http1=False, http2=True) as client:
            await client.get(url)
            stopping.set()
            await anyio.sleep(0.1)
            response = await client.get(url)
    assert response.text == 'done'


def test_kept_connections_are_answered_until_the_entry_is_gone(cluster):
    # Guards against requests that get neither an answer nor a refusal while
    # the entry shuts down.
    entry = cluster.entries['entry-1']
    address = split(cluster.entry_urls['entry-1'])
    with run_in_background(lambda _: send_until_closed(address)) as results:
        time.sleep(0.3)
        send(entry, signal.SIGTERM)
        assert entry.wait() == 0
    statuses = [status for statuses in results for status in statuses]
    assert len(statuses) > 20
    assert set(statuses) == {200}


def send_until_closed(address):
    """Send requests on one connection until the entry announces its close.

    Returns the statuses; ``lost`` for a request that got no response.
    """
    statuses = []
    connection = http.client.HTTPConnection(*address, timeout=10)
    with closing(connection):
        try:
            connection.connect()
        except ConnectionRefusedError:
            time.sleep(0.01)
            return []
        while connection.sock is not None:
            try:
                connection.request('GET', '/health')
                response = connection.getresponse()
            except (OSError, http.client.HTTPException):
                return [*statuses, 'lost']
            response.read()
            statuses.append(response.status)
            time.sleep(0.002)
    return statuses


class IdleLink:
    """A link to an agent that sends nothing."""

    def __init__(self, _address):
        self._sending, self.events = anyio.create_memory_object_stream(1)
        self.sent = []

    async def run(self):
        await anyio.sleep_forever()

    def send(self, message):
        self.sent.append(message)


@pytest.mark.anyio
@pytest.mark.parametrize('change', ['subset', 'list'])
async def test_target_keeps_its_link_until_its_attempts_end(change):
    # Guards against attempts that are cut because another target was added,
    # which moves their target out of the subset, or their target withdrawn.
    clock = ManualClock()
    table = TargetTable(clock)
    recorder = Recorder('e1', clock)
    links = TargetLinks(
        table, clock, recorder, IdleLink, {}, {}, builders.hello
    )
    row = VmRow('v', 'target', 'live', 'z', 's', 't1', 'plain', '127.0.0.1:1')
    table.apply_vms([row])
    async with anyio.create_task_group() as tasks:
        links._update_links(tasks)
        table.link_up('t1', builders.welcome())
        inbox = links.inboxes.open('t1', 'a1')
        if change == 'subset':
            links.subset_size = lambda _service: 1
            added = row._replace(vm_id='w', target_id='t2')
            table.apply_vms([row, added])
            hello = next(
                hello
                for hello in (builders.hello(f'e{it}') for it in range(99))
                if choose_subset(hello.entry_id, table.views(), 1)
                != [table.find('t1')]
            )
            links._hello = lambda: hello
        else:
            table.apply_vms([])
            clock.advance(UNLISTED_RETENTION)
            table.apply_vms([])
        links._update_links(tasks)
        links.send('t1', 'acknowledgement')
        with pytest.raises(anyio.WouldBlock):
            inbox.receive_nowait()
        links.inboxes.close('a1')
        inbox.close()
        table.apply_vms([] if change == 'list' else [row, added])
        links._update_links(tasks)
        with pytest.raises(LinkClosed):
            links.send('t1', 'acknowledgement')
        tasks.cancel_scope.cancel()


def test_shutdown_waits_longer_than_any_request_may_run():
    # Guards against attempts that a shutdown ends before their deadline.
    setting = next(it for it in AGENT_SETTINGS if it.name == 'drain_timeout')
    longest = timedelta(hours=1)
    assert DEADLINE_RANGE.high == longest
    assert parse_duration(setting.default) > longest
    config = caller_server.make_config(Address('127.0.0.1', 1))
    assert config.graceful_timeout > longest.total_seconds()


def test_changes_of_the_configuration_leave_running_requests_alone(cluster):
    # Guards against a publish, or a changed VM list, that ends requests.
    url = cluster.entry_urls['entry-1']
    call = StreamCall(url, cluster.key, PROMPT, STREAM_TOKENS)
    call.wait_tokens(10)
    other = SERVICES['till'].replace('/stock/', '/moved/')
    shorter = SERVICES['assistant'].replace('deadline: 60s', 'deadline: 2s')
    version = cluster.status('entry-1')['config_version']
    cluster.publish({'till': other, 'assistant': shorter}, version)
    cluster.client.delete(
        f'{cluster._platform_url}/vms/vm-assistant-1'
    ).raise_for_status()
    wait_for(
        lambda: (
            cluster.status('entry-1')['config_version'] > version
            and cluster.status('entry-1')['targets']['assistant-1']['draining']
        )
    )
    assert call.result is None
    assert get_stock(cluster, url).status_code == 404
    stream = call.wait_end()
    assert stream.text == generate_text(PROMPT, STREAM_TOKENS)
    assert stream.ended
