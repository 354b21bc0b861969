"""Connections of callers whose process stalls while a timer is due."""

import asyncio
import socket
import threading
import time
import tracemalloc
from contextlib import asynccontextmanager
from http import HTTPStatus

import anyio
import pytest

from peridotrill.gateway.caller_server import CallerServer
from peridotrill.gateway.configuration import DEFAULT_CALLER_LIMITS
from tests.gateway_builders import RecordingLog

REQUEST = b'POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n'
HEADER_TIMEOUT_S = 0.3
STALL_S = 0.4


@pytest.fixture
def anyio_backend():
    return 'asyncio', {'use_uvloop': True}


async def answer(request, responder):
    responder.send(HTTPStatus.OK, [], b'ok')


@asynccontextmanager
async def run_server(handler=answer):
    """Run a server; yield it and a client that is connected to it."""
    limits = DEFAULT_CALLER_LIMITS._replace(
        header_timeout_ms=HEADER_TIMEOUT_S * 1000
    )
    async with anyio.create_task_group() as tasks:
        server = CallerServer(
            handler, tasks, lambda: limits, time.monotonic, RecordingLog()
        )
        loop = asyncio.get_running_loop()
        listener = await loop.create_server(
            server.create_connection, '127.0.0.1', 0
        )
        client = socket.create_connection(listener.sockets[0].getsockname())
        client.settimeout(5)
        with client:
            yield server, client
        listener.close()
        tasks.cancel_scope.cancel()


async def stall(client, content, delay_s):
    """Stall the event loop; meanwhile, send bytes after a delay."""
    ours, theirs = socket.socketpair()
    # A stall while the loop reads: timers that came due run before what has
    # arrived since is read.
    asyncio.get_running_loop().add_reader(
        theirs, lambda: (theirs.recv(1), time.sleep(STALL_S))
    )
    threading.Timer(delay_s, client.sendall, (content,)).start()
    ours.send(b'x')
    await asyncio.sleep(STALL_S + 0.1)
    asyncio.get_running_loop().remove_reader(theirs)
    ours.close()
    theirs.close()


@pytest.mark.anyio
async def test_request_whose_caller_has_left_is_not_handled():
    # Guards against requests that are sent on although their callers had closed
    # before an overloaded gateway read them (GONE).
    handled = []

    async def record(request, responder):
        handled.append(request)
        responder.send(HTTPStatus.OK, [], b'')

    async with run_server(record) as (_, client):
        address = client.getpeername()
        for _ in range(20):
            with socket.create_connection(address) as leaving:
                leaving.sendall(REQUEST)
        await asyncio.sleep(0.2)
        assert not handled


@pytest.mark.anyio
async def test_kept_connections_do_not_hold_bodies_of_answered_requests():
    # Guards against a gateway that exceeds its memory by the bodies of requests
    # that were answered (Fault).
    connections, body_bytes = 20, 1_000_000
    head = b'POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n'
    request = head % body_bytes + bytes(body_bytes)
    async with run_server() as (server, client):
        address = client.getpeername()
        clients = [
            socket.create_connection(address, 5) for _ in range(connections)
        ]
        tracemalloc.start()
        for kept in clients:
            await asyncio.to_thread(kept.sendall, request)
            assert await asyncio.to_thread(kept.recv, 1000)
        held_bytes = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        assert len(server.connections) == connections + 1
        assert held_bytes < body_bytes
        for kept in clients:
            kept.close()


@pytest.mark.anyio
@pytest.mark.parametrize('earlier', [0, 1])
async def test_idle_close_after_a_stall_reads_what_has_arrived(earlier):
    # Guards against a reset of a request that waits in the socket.
    async with run_server() as (server, client):
        for _ in range(earlier):
            client.sendall(REQUEST)
            assert await asyncio.to_thread(client.recv, 1000)
        await asyncio.sleep(0.05)
        server.drain()
        server.close_idle()
        await stall(client, REQUEST, 0.1)
        response = await asyncio.to_thread(client.recv, 1000)
        assert response.startswith(b'HTTP/1.1 200 ')


@pytest.mark.anyio
async def test_header_timeout_after_a_stall_reads_what_has_arrived():
    # Guards against a 408 for a request that waits in the socket.
    async with run_server() as (_, client):
        client.sendall(REQUEST[:-2])
        await asyncio.sleep(0.1)
        await stall(client, REQUEST[-2:], 0.05)
        response = await asyncio.to_thread(client.recv, 1000)
        assert response.startswith(b'HTTP/1.1 200 ')
