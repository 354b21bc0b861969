"""Connections to targets between two requests."""

import asyncio
import time
from contextlib import asynccontextmanager, suppress
from types import SimpleNamespace

import pytest
import uvloop

from peridotrill.clock import SystemClock
from peridotrill.exceptions import TargetUnreachable
from peridotrill.gateway.connection_pool import ConnectionPool
from peridotrill.gateway.target_http_client import (
    ConnectionTimeouts,
    TargetHttpClient,
)
from peridotrill.gateway.target_messages import RequestOptions
from peridotrill.gateway.targets import TargetRole
from peridotrill.platform import wire
from peridotrill.settings import Address
from tests.gateway_builders import caller_request, receive_budget, target

ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'
TIMEOUT_S = 5


class Server:
    """Answers requests; a test reads and writes the rest by itself."""

    def __init__(self):
        self.streams = []

    async def handle(self, reader, writer):
        self.streams.append((reader, writer))


@asynccontextmanager
async def run_pool():
    running = Server()
    server = await asyncio.start_server(running.handle, '127.0.0.1', 0)
    address = Address(*server.sockets[0].getsockname()[:2])
    async with server:
        yield (
            ConnectionPool(address, time.monotonic, 1, 4, receive_budget()),
            running,
        )


async def use(pool, running):
    """Send a request and read its answer; return the connection."""
    connection = await pool.acquire(5)
    exchange = connection.start(b'GET / HTTP/1.1', [], b'')
    while not running.streams:
        await asyncio.sleep(0.01)
    reader, writer = running.streams[-1]
    await reader.readuntil(b'\r\n\r\n')
    writer.write(ANSWER)
    await exchange.read_head()
    assert await exchange.read_body() == b'ok'
    await asyncio.sleep(0)
    return connection


def run(test):
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(asyncio.wait_for(test(), TIMEOUT_S))


@pytest.mark.parametrize('extra', [ANSWER, b''], ids=['answer', 'end'])
def test_connection_with_unread_bytes_is_not_reused(extra):
    # Guards against an extra answer, or the end of the connection, that is
    # read only after the next request was written.
    async def test():
        async with run_pool() as (pool, running):
            first = await use(pool, running)
            _, writer = running.streams[-1]
            peer = writer.get_extra_info('socket').dup()
            if extra:
                peer.send(extra)
            else:
                peer.shutdown(1)
            peer.close()
            time.sleep(0.05)  # Keeps the event loop from reading.
            assert await pool.acquire(5) is not first

    run(test)


def test_request_on_an_ended_connection_is_known_as_not_sent():
    # Guards against a request that waits for its deadline on a connection that
    # ended between its opening and the request.
    async def test():
        async with run_pool() as (pool, _):
            connection = await pool.acquire(5)
            connection.abort('ended')
            with pytest.raises(TargetUnreachable):
                connection.start(b'GET / HTTP/1.1', [], b'')

    run(test)


def test_rest_of_a_body_comes_before_the_next_request():
    # Guards against other bytes where an engine that answered early still
    # expects the rest of a body.
    body = b'b' * 30_000_000

    async def test():
        async with run_pool() as (pool, running):
            connection = await pool.acquire(5)
            exchange = connection.start(b'POST /1 HTTP/1.1', [], body)
            while not running.streams:
                await asyncio.sleep(0.01)
            reader, writer = running.streams[-1]
            await reader.readuntil(b'\r\n\r\n')
            writer.write(ANSWER)
            await exchange.read_head()
            await exchange.read_body()
            await asyncio.sleep(0)
            reused = await pool.acquire(5)
            reused.start(b'POST /2 HTTP/1.1', [], b'')
            assert await reader.readexactly(len(body)) == body
            if reused is connection:
                assert await reader.readline() == b'POST /2 HTTP/1.1\r\n'
            else:
                assert await reader.read() == b''

    run(test)


def test_late_refusal_of_a_prefill_is_not_that_of_the_decode():
    # Guards against a stream that is sent to two engines: one changes its role
    # after it has refused the prefill, takes the decode of the same request, and
    # then writes the refusal once more.
    refusal = (
        b'HTTP/1.1 503 Full\r\nX-Peridotrill-Request-Id: r\r\n'
        b'X-Peridotrill-Not-Run: 1\r\nContent-Length: 0\r\n\r\n'
    )
    answer = refusal.replace(b'503 Full', b'200 OK').replace(
        b'Not-Run', b'Other'
    )

    async def handle(reader, writer):
        await reader.readuntil(b'body')
        writer.write(refusal)
        with suppress(asyncio.IncompleteReadError, ConnectionError):
            await reader.readuntil(b'body')
            writer.write(refusal + answer)

    async def handle_first(reader, writer):
        server.handle = handle_second
        await handle(reader, writer)

    async def handle_second(reader, writer):
        await reader.readuntil(b'body')
        writer.write(answer)

    server = SimpleNamespace(handle=handle_first)

    async def test():
        listener = await asyncio.start_server(
            lambda *streams: server.handle(*streams), '127.0.0.1', 0
        )
        address = Address(*listener.sockets[0].getsockname()[:2])
        client = TargetHttpClient(
            wire, SystemClock(), ConnectionTimeouts(), receive_budget()
        )
        engine = target(address=address, role=TargetRole.PREFILL)
        statuses = []
        for role in TargetRole:
            exchange = await client.send(
                caller_request(),
                engine,
                RequestOptions('i-1', None, 1000, role=role),
                allow_retry=True,
            )
            response = await client.read_response_head(exchange)
            await exchange.read_body()
            await asyncio.sleep(0)
            statuses.append(response.status)
        assert statuses == [503, 200]

    run(test)
