"""Responses that a target breaks, read by the client of an agent."""

import asyncio
from contextlib import asynccontextmanager
from socket import SO_LINGER, SOL_SOCKET

import pytest

from peridotrill.exceptions import TargetOutcomeUnknown
from peridotrill.plain_client import PlainClient
from peridotrill.target_client import create_http_client
from tests import builders
from tests.broken_engines import CHUNKED, EMPTY, LINGER_RESET, RESET, chunk

TIMEOUT_S = 5
OK = b'HTTP/1.1 200 OK\r\n'
FIRST = OK + b'Content-Length: 5\r\n\r\nfirst'
OWN = OK + b'Content-Length: 3\r\n\r\nown'


class BrokenTarget:
    """Answers each request with the next script of bytes, then closes."""

    def __init__(self, *scripts, keeps_connection=False):
        self.scripts = list(scripts)
        self.keeps_connection = keeps_connection
        self.tasks = []

    async def handle(self, reader, writer):
        self.tasks.append(asyncio.current_task())
        try:
            while self.scripts:
                await reader.readuntil(b'\r\n\r\n')
                await self._answer(writer)
                if not self.keeps_connection:
                    break
        except asyncio.IncompleteReadError:
            """The client has closed the connection."""
        writer.close()

    async def _answer(self, writer):
        for step in self.scripts.pop(0):
            if step == RESET:
                peer = writer.get_extra_info('socket')
                peer.setsockopt(SOL_SOCKET, SO_LINGER, LINGER_RESET)
                writer.transport.abort()
            else:
                writer.write(step)
                await asyncio.sleep(0.02)


@asynccontextmanager
async def run_client(target):
    server = await asyncio.start_server(target.handle, '127.0.0.1', 0)
    url = 'http://127.0.0.1:{}'.format(server.sockets[0].getsockname()[1])
    async with (
        server,
        create_http_client(url) as http,
        create_http_client(url, 4) as control,
    ):
        yield PlainClient(http, control)
    await asyncio.gather(*target.tasks)


async def fetch(client, idempotent):
    start = builders.start(body=b'', idempotent=idempotent)
    async with client.open(start) as response:
        parts = [part async for part in response.aiter_raw()]
        return response.status_code, b''.join(parts)


def run(test):
    asyncio.run(asyncio.wait_for(test(), TIMEOUT_S))


@pytest.mark.parametrize('idempotent', [True, False])
@pytest.mark.parametrize(
    'script', [[FIRST + FIRST], [FIRST, FIRST]], ids=['at once', 'later']
)
def test_repeated_response_is_not_that_of_the_next_request(script, idempotent):
    # Guards against a caller that gets the answer to another request, which
    # the target wrote once more on a kept connection.
    target = BrokenTarget(script, [OWN], keeps_connection=True)

    async def test():
        async with run_client(target) as client:
            assert await fetch(client, idempotent) == (200, b'first')
            assert await fetch(client, idempotent) == (200, b'own')

    run(test)


@pytest.mark.parametrize('idempotent', [True, False])
@pytest.mark.parametrize(
    'script',
    [
        [b'HTTP/1.1 20'],
        [OK + b'Content-Le'],
        [OK],
        [OK + b'\r\nshort', RESET],
        [OK + b'\r\n', RESET],
        [OK + b'Content-Length: 9\r\n\r\n'],
        [OK + b'Content-Length: 9\r\n\r\nshort'],
        [OK + CHUNKED],
        [OK + CHUNKED + b'5'],
        [OK + CHUNKED + chunk(b'short')],
        [OK + CHUNKED + chunk(b'short') + b'0\r\n'],
        [b'HTTP/1.1 103 Hints\r\n\r\n'],
    ],
)
def test_cut_response_is_no_success(script, idempotent):
    # Guards against an empty or short body that looks whole, because a target
    # stopped in its head, before its length or by a reset.
    async def test():
        async with run_client(BrokenTarget(script)) as client:
            with pytest.raises(TargetOutcomeUnknown):
                await fetch(client, idempotent)

    run(test)


@pytest.mark.parametrize(
    'script',
    [
        [OK + b'\r\now', b'n'],
        [OK + CHUNKED + chunk(b'ow'), chunk(b'n') + b'0\r\n\r\n'],
        [b'HTTP/1.1 103 Hints\r\n\r\n' + OWN],
    ],
)
def test_whole_response_in_pieces_is_a_success(script):
    # Guards against checks that break whole responses.
    async def test():
        async with run_client(BrokenTarget(script)) as client:
            assert await fetch(client, True) == (200, b'own')

    run(test)


@pytest.mark.parametrize('cut', [b'HTTP/1.1 200 O', OK + b'X-A: b'])
def test_head_of_two_responses_is_no_success(cut):
    # Guards against a success that is read for a failure, because the target
    # stopped in one head and began another.
    script = [cut, b'HTTP/1.1 500 Failed\r\n' + EMPTY]

    async def test():
        async with run_client(BrokenTarget(script)) as client:
            with pytest.raises(TargetOutcomeUnknown):
                await fetch(client, False)

    run(test)
