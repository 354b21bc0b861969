"""What callers hold, and which connections are given up to make room."""

import asyncio
import socket
import time
from contextlib import asynccontextmanager
from http import HTTPStatus

import anyio
import pytest

from peridotrill.gateway.caller_account import (
    CONNECTION_BYTES,
    AccountLimits,
    CallerAccount,
)
from peridotrill.gateway.caller_server import CallerServer
from peridotrill.gateway.configuration import DEFAULT_CALLER_LIMITS
from tests.gateway_builders import RecordingLog
from tests.untrusted_callers import chunks

MIB = 1024 * 1024
HEAD = b'POST /%b HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n'
CHUNKED_HEAD = (
    b'POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n'
)
LIMITS = AccountLimits(max_bytes=4 * MIB, max_connections=8)


@pytest.fixture
def anyio_backend():
    return 'asyncio', {'use_uvloop': True}


class Site:
    """A server, its clients, and a handler that may be held."""

    def __init__(self):
        self.may_answer = asyncio.Event()
        self.may_answer.set()
        self.answer = b'ok'
        self.clients = []
        self.handled = []

    async def handle(self, request, responder):
        self.handled.append(request.target)
        if request.target == b'/held':
            await self.may_answer.wait()
        responder.send(HTTPStatus.OK, [], self.answer)

    async def connect(self, content=b''):
        client = socket.create_connection(self.address)
        client.settimeout(5)
        self.clients.append(client)
        await self.send(client, content)
        return client

    async def send(self, client, content):
        await asyncio.to_thread(client.sendall, content)
        await asyncio.sleep(0.05)

    async def receive(self, client, size_bytes=1000):
        return await asyncio.to_thread(client.recv, size_bytes)


@asynccontextmanager
async def run_site(**caller_limits):
    site = Site()
    limits = DEFAULT_CALLER_LIMITS._replace(**caller_limits)
    async with anyio.create_task_group() as tasks:
        site.server = CallerServer(
            site.handle,
            tasks,
            lambda: limits,
            time.monotonic,
            RecordingLog(),
            LIMITS,
        )
        listener = await asyncio.get_running_loop().create_server(
            site.server.create_connection, '127.0.0.1', 0
        )
        site.address = listener.sockets[0].getsockname()
        yield site
        for client in site.clients:
            client.close()
        with anyio.move_on_after(5):
            while site.server.connections:
                await asyncio.sleep(0.02)
        listener.close()
        tasks.cancel_scope.cancel()
    assert site.server.account.used_bytes == 0
    assert site.server.account.open_connections == 0


def head(size_bytes, path=b'x'):
    return HEAD % (path, size_bytes)


@pytest.mark.anyio
async def test_newcomer_is_served_while_a_crowd_holds_the_account():
    # Guards against a crowd with unfinished bodies that keeps others out.
    async with run_site() as site:
        crowd = [
            await site.connect(head(MIB) + bytes(MIB - 1)) for _ in range(5)
        ]
        ordinary = await site.connect(head(65536) + bytes(65536))
        assert (await site.receive(ordinary)).startswith(b'HTTP/1.1 200 ')
        refused = [
            client
            for client in crowd
            if select_readable(client)
            and b' 503 ' in (response := await site.receive(client))
            and b'Retry-After: ' in response
        ]
        assert 1 <= len(refused) < len(crowd)
        assert site.handled == [b'/x']


@pytest.mark.anyio
async def test_request_that_was_read_whole_is_never_given_up():
    # Guards against a 503 for a request that a target may have run (REPEATED).
    async with run_site() as site:
        site.may_answer.clear()
        held = [
            await site.connect(head(MIB, b'held') + bytes(MIB))
            for _ in range(3)
        ]
        for _ in range(3):
            await site.connect(head(MIB) + bytes(MIB - 1))
        site.may_answer.set()
        for client in held:
            response = await site.receive(client)
            assert response.startswith(b'HTTP/1.1 200 ')


@pytest.mark.anyio
async def test_newcomer_takes_the_place_of_a_silent_connection():
    # Guards against idle connections that use up the descriptors.
    async with run_site() as site:
        kept = await site.connect(head(0))
        await site.receive(kept)
        for _ in range(LIMITS.max_connections + 5):
            await site.connect()
        ordinary = await site.connect(head(0))
        assert (await site.receive(ordinary)).startswith(b'HTTP/1.1 200 ')
        account = site.server.account
        assert account.open_connections <= LIMITS.max_connections
        assert len(site.server.connections) <= LIMITS.max_connections + 1


@pytest.mark.anyio
async def test_unread_response_is_reset_when_memory_is_needed():
    # Guards against a cut response that looks complete.
    async with run_site() as site:
        site.answer = bytes(16 * MIB)
        slow = await site.connect(head(0))
        await asyncio.sleep(0.1)
        with pytest.raises(ConnectionResetError):
            while await site.receive(slow, MIB):
                """Read what was sent before the reset."""


@pytest.mark.anyio
async def test_next_response_waits_for_the_reader():
    # Guards against pipelined requests whose responses pile up.
    async with run_site() as site:
        site.answer = bytes(LIMITS.max_bytes // 2)
        client = await site.connect()
        await site.send(client, head(0) * 30)
        await asyncio.sleep(0.2)
        assert len(site.handled) < 15
        read_bytes = 0
        while read_bytes < 30 * len(site.answer):
            received = await site.receive(client, MIB)
            assert received
            read_bytes += len(received)
        await asyncio.sleep(0.05)
        assert len(site.handled) == 30


@pytest.mark.anyio
async def test_reader_that_has_stopped_is_reset():
    # Guards against responses that are held until a caller closes.
    async with run_site(idle_timeout_ms=300) as site:
        site.answer = bytes(LIMITS.max_bytes // 2)
        client = await site.connect(head(0) * 10)
        await asyncio.sleep(1.5)
        assert not site.server.connections
        with pytest.raises(ConnectionResetError):
            while await site.receive(client, MIB):
                """Read what was sent before the reset."""


@pytest.mark.anyio
async def test_slow_reader_that_goes_on_is_served():
    # Guards against a reset of a caller that reads on, while the socket's buffer
    # hides it.
    async with run_site(idle_timeout_ms=3000) as site:
        site.answer = bytes(LIMITS.max_bytes // 2)
        client = await site.connect(head(0) * 6)
        for _ in range(60):
            assert await site.receive(client, 16384)
            await asyncio.sleep(0.1)
        assert site.server.connections
        assert not site.server.log.events


@pytest.mark.anyio
async def test_body_in_small_chunks_is_joined():
    # Guards against a legal body that is refused although there is room.
    async with run_site() as site:
        body = chunks(300_000, 2) + b'0\r\n\r\n'
        client = await site.connect(CHUNKED_HEAD + body)
        assert (await site.receive(client)).startswith(b'HTTP/1.1 200 ')


@pytest.mark.anyio
async def test_small_chunks_of_several_callers_do_not_delay_others():
    # Guards against callers that take the processor time of all others.
    async with run_site() as site:
        for _ in range(4):
            await site.connect(CHUNKED_HEAD)
        content = chunks(300_000, 2)
        sending = [
            asyncio.create_task(asyncio.to_thread(client.sendall, content))
            for client in site.clients
        ]
        ordinary = await site.connect(head(0))
        assert (await site.receive(ordinary)).startswith(b'HTTP/1.1 200 ')
        assert site.server.waiting_connections
        await asyncio.gather(*sending)


class Holder:
    """A connection that holds bytes and transfers some."""

    def __init__(self, account, shed_weight=1):
        self.shed_weight = shed_weight
        self.transferred_bytes = 0
        self.reasons = []
        self.entry = account.open(self)

    def measure_transfer(self):
        return self.transferred_bytes

    def shed(self, reason):
        self.reasons.append(reason.name)
        self.entry.resize(0)


def test_connection_that_transfers_least_is_given_up_first():
    # Guards against the loss of a caller that makes progress.
    account = CallerAccount(AccountLimits(MIB, 10))
    active, stalled = Holder(account), Holder(account)
    for holder in (active, stalled):
        holder.transferred_bytes = 300_000
        assert holder.entry.resize(300_000)
    for _ in range(4):
        active.transferred_bytes += 100_000
        account.sample()
    assert Holder(account).entry.resize(400_000)
    assert (active.reasons, stalled.reasons) == ([], ['memory'])


def test_small_request_stays_beside_large_bodies_that_just_arrived():
    # Guards against kept connections of ordinary callers, which transfer little,
    # that are given up before a crowd that has just sent its bodies.
    account = CallerAccount(AccountLimits(MIB, 10))
    ordinary = Holder(account, 2)
    ordinary.transferred_bytes = 3000
    for _ in range(6):
        account.sample()
    assert ordinary.entry.resize(5000)
    for _ in range(4):
        large = Holder(account, 2)
        large.transferred_bytes = 400_000
        large.entry.resize(400_000)
    assert not ordinary.reasons


def test_small_holder_has_room_beside_large_ones_that_stay():
    # Guards against whole requests that keep small ones out.
    account = CallerAccount(AccountLimits(MIB, 10))
    assert Holder(account, 0).entry.resize(int(0.86 * MIB))
    assert Holder(account).entry.resize(64 * 1024)
    assert not Holder(account).entry.resize(256 * 1024)


@pytest.mark.parametrize('memory_mb', [160, 552])
def test_limits_leave_room_for_each_caller_of_the_machine(memory_mb):
    # Guards against a limit that a legal request exceeds.
    limits = AccountLimits.from_machine(memory_mb, 1638)
    assert limits.max_connections > 900
    left_bytes = limits.max_bytes - 900 * CONNECTION_BYTES
    assert left_bytes > 4 * DEFAULT_CALLER_LIMITS.max_body_bytes


def select_readable(client):
    client.settimeout(0.2)
    try:
        return bool(client.recv(1, socket.MSG_PEEK))
    except TimeoutError:
        return False
