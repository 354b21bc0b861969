"""Servers that send bytes without end until their client closes."""

import asyncio
from contextlib import asynccontextmanager, closing

import httpx
import pytest

from peridotrill.exceptions import TargetOutcomeUnknown
from peridotrill.gateway.body_budget import BodyBudget
from peridotrill.gateway.target_connections import open_connection
from peridotrill.platform.wire import matches_request
from peridotrill.settings import Address
from peridotrill.target_client import get_json

MIB = 1024 * 1024
# A gateway has 200 MB of memory or more for all of its connections.
MAX_HEAD_BYTES = MIB
MAX_BODY_BYTES = 32 * MIB
TIMEOUT_S = 20
HEAD = b'HTTP/1.1 200 OK\r\n'
OTHER_HEAD = HEAD + b'X-Peridotrill-Request-Id: other\r\n'
CHUNKED = HEAD + b'Transfer-Encoding: chunked\r\n\r\n'


class EndlessServer:
    """Sends a beginning, then the same bytes until the client closes."""

    def __init__(self, beginning, repeated):
        self._beginning = beginning
        self._repeated = repeated * (65536 // len(repeated))
        self.sent_bytes = 0
        self.closed = asyncio.Event()

    async def handle(self, reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(self._beginning)
        try:
            while True:
                writer.write(self._repeated)
                await writer.drain()
                self.sent_bytes += len(self._repeated)
        except ConnectionError:
            self.closed.set()


@asynccontextmanager
async def run_server(beginning, repeated):
    endless = EndlessServer(beginning, repeated)
    server = await asyncio.start_server(endless.handle, '127.0.0.1', 0)
    endless.address = Address(*server.sockets[0].getsockname()[:2])
    async with server:
        yield endless


async def read_whole(address, budget=None):
    connection = await open_connection(
        address, 1, lambda _: None, budget or BodyBudget(MAX_BODY_BYTES)
    )
    exchange = connection.start(
        b'GET / HTTP/1.1',
        [(b'Host', b'h')],
        b'',
        lambda head: matches_request('mine', head),
    )
    with closing(exchange):
        await exchange.read_head()
        return await exchange.read_body()


@pytest.mark.parametrize(
    ('beginning', 'repeated', 'max_bytes'),
    [
        (b'', b'x', MAX_HEAD_BYTES),
        (b'HTTP/1.1 200 ', b'x', MAX_HEAD_BYTES),
        (HEAD + b'X-A: ', b'x', MAX_HEAD_BYTES),
        (HEAD, b'X-A: 1\r\n', MAX_HEAD_BYTES),
        (b'', b'HTTP/1.1 103 Early Hints\r\n\r\n', MAX_HEAD_BYTES),
        (OTHER_HEAD + b'\r\n', b'x', MAX_HEAD_BYTES),
        (CHUNKED + b'1;a=', b'x', MAX_HEAD_BYTES),
        (CHUNKED + b'0\r\nX-A: ', b'x', MAX_HEAD_BYTES),
        (CHUNKED + b'0\r\n', b'X-A: 1\r\n', MAX_HEAD_BYTES),
        (CHUNKED, b'100\r\n' + b'x' * 256 + b'\r\n', MAX_BODY_BYTES),
        (HEAD + b'\r\n', b'x', MAX_BODY_BYTES),
        (HEAD + b'Content-Length: 9999999999\r\n\r\n', b'x', MAX_BODY_BYTES),
    ],
)
def test_endless_response_is_broken_off(beginning, repeated, max_bytes):
    # Guards against memory that grows until a server ends its response.
    async def run():
        async with run_server(beginning, repeated) as endless:
            with pytest.raises(TargetOutcomeUnknown):
                await read_whole(endless.address)
            await asyncio.wait_for(endless.closed.wait(), 5)
            # Socket buffers hold what was sent and never read.
            assert endless.sent_bytes <= max_bytes + 16 * MIB

    asyncio.run(asyncio.wait_for(run(), TIMEOUT_S))


def test_endless_bodies_share_a_bound():
    # Guards against many endless responses that are each within their bound.
    budget = BodyBudget(4 * MIB)

    async def run():
        async with run_server(HEAD + b'\r\n', b'x') as endless:
            outcomes = await asyncio.gather(
                *(read_whole(endless.address, budget) for _ in range(8)),
                return_exceptions=True,
            )
            assert {type(row) for row in outcomes} == {TargetOutcomeUnknown}
            assert budget.used_bytes == 0

    asyncio.run(asyncio.wait_for(run(), TIMEOUT_S))


def test_exhausted_budget_does_not_break_ordinary_responses():
    # Guards against one server whose endless responses break all others.
    budget = BodyBudget(0)
    response = HEAD + b'Content-Length: 1000\r\n\r\n' + b'y' * 1000

    async def run():
        async with run_server(response, b'x') as server:
            assert await read_whole(server.address, budget) == b'y' * 1000

    asyncio.run(asyncio.wait_for(run(), TIMEOUT_S))


def test_endless_load_report_is_broken_off():
    # Guards against an agent whose memory grows with a report of its target.
    async def run():
        async with run_server(HEAD + b'\r\n', b'x') as endless:
            url = f'http://{endless.address}'
            async with httpx.AsyncClient(base_url=url) as http:
                assert await get_json(http, '/load') == {}
            await asyncio.wait_for(endless.closed.wait(), 5)
            assert endless.sent_bytes <= 16 * MIB

    asyncio.run(asyncio.wait_for(run(), TIMEOUT_S))
