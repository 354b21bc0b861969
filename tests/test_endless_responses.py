"""Servers that send bytes without end until their client closes."""

import asyncio
import gc
import time
import tracemalloc
from contextlib import asynccontextmanager, closing

import httpx
import pytest

from peridotrill.clock import ManualClock
from peridotrill.exceptions import ResponseExcessive, TargetOutcomeUnknown
from peridotrill.gateway.event_stream import EventStreamParser
from peridotrill.gateway.receive_limits import (
    CONNECTION_RATE,
    TARGET_RATE,
    ReceiveBudget,
    WorkMeter,
    response_work,
)
from peridotrill.gateway.target_connections import (
    TargetConnection,
    open_connection,
)
from peridotrill.platform.wire import matches_request
from peridotrill.settings import Address
from peridotrill.target_client import get_json
from tests.gateway_builders import advance, receive_limits

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


async def read_whole(address, budget=None, limits=None):
    connection = await open_connection(
        address,
        1,
        lambda _: None,
        limits or receive_limits(budget or ReceiveBudget(MAX_BODY_BYTES)),
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
    budget = ReceiveBudget(4 * MIB)

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
    budget = ReceiveBudget(0, MIB)
    response = HEAD + b'Content-Length: 1000\r\n\r\n' + b'y' * 1000

    async def run():
        async with run_server(response, b'x') as server:
            assert await read_whole(server.address, budget) == b'y' * 1000

    asyncio.run(asyncio.wait_for(run(), TIMEOUT_S))


@pytest.mark.parametrize(
    ('beginning', 'repeated'),
    [
        (CHUNKED, b'1\r\nx\r\n'),
        (b'', b'HTTP/1.1 100 Continue\r\n\r\n'),
        (HEAD, b'X: 1\r\n'),
    ],
)
def test_many_small_pieces_are_broken_off(beginning, repeated):
    # Guards against a target that takes the processor time of all callers with
    # few bytes.
    async def run():
        async with run_server(beginning, repeated) as endless:
            address = endless.address
            connection = await open_connection(
                address, 1, lambda _: None, receive_limits()
            )
            started_s = time.process_time()
            with pytest.raises(ResponseExcessive):
                await connection.call(b'GET', b'/x')
            # The server of the test uses the same processor.
            assert time.process_time() - started_s < 1
            await asyncio.wait_for(endless.closed.wait(), 5)

    asyncio.run(asyncio.wait_for(run(), TIMEOUT_S))


class DiscardingTransport:
    """Transport that keeps nothing."""

    def write(self, data):
        """Drop the request."""

    def abort(self):
        """Close nothing."""

    pause_reading = abort

    def get_extra_info(self, name):
        return None


def test_small_header_fields_are_counted_by_their_memory():
    # Guards against heads that take many times the memory of their bytes.
    budget = ReceiveBudget(MIB)
    piece = b'X-Field: 1\r\n' * 300
    exchanges = []
    tracemalloc.start()
    for _ in range(60):
        connection = TargetConnection(lambda _: None, receive_limits(budget))
        connection.connection_made(DiscardingTransport())
        exchanges.append(connection.start(b'GET / HTTP/1.1', [], b''))
        connection.data_received(HEAD)
        while connection.is_open:
            connection.data_received(piece)
    kept_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    # Each response may take 64 KiB besides the budget.
    assert kept_bytes < 60 * 2 * 65536 + 2 * MIB
    for exchange in exchanges:
        exchange.close()
    assert budget.used_bytes == 0


def test_target_that_fills_the_memory_does_not_break_others():
    # Guards against a sound response that is broken off, and blamed, because
    # another target has used the memory up.
    budget = ReceiveBudget(4 * MIB)
    response = HEAD + b'Content-Length: 1048576\r\n\r\n' + b'y' * MIB

    async def run():
        async with (
            run_server(HEAD + b'\r\n', b'x') as endless,
            run_server(response, b'x') as sound,
        ):
            limits = receive_limits(budget)
            outcomes = await asyncio.gather(
                *(read_whole(endless.address, limits=limits) for _ in range(8)),
                read_whole(sound.address, budget),
                return_exceptions=True,
            )
            assert {type(row) for row in outcomes[:-1]} == {ResponseExcessive}
            assert outcomes[-1] == b'y' * MIB

    asyncio.run(asyncio.wait_for(run(), TIMEOUT_S))


@pytest.mark.parametrize('rate', [CONNECTION_RATE, TARGET_RATE])
def test_work_is_limited_over_any_time(rate):
    # Guards against a target that stays just below the limit of one response.
    clock = ManualClock()
    meter = WorkMeter(rate, clock.monotonic_s)
    spent = 0
    for _ in range(100):
        try:
            while True:
                meter.charge(1)
                spent += 1
        except ResponseExcessive:
            advance(clock, 0.1)
    assert spent <= rate.burst + rate.per_s * 10 + 1


def test_connections_of_a_target_share_its_limit():
    # Guards against a target with many connections, each within its limit.
    limits = receive_limits()
    charged = 0
    with pytest.raises(ResponseExcessive):
        while True:
            limits.open_meter().charge(1)
            charged += 1
    assert charged < TARGET_RATE.burst * 2


def test_fast_stream_after_a_pause_of_the_gateway_is_sound():
    # Guards against streams that are cut because what arrived during a freeze
    # is read at once.
    meter = receive_limits().open_meter()
    for _ in range(300 * 4):
        meter.charge(2)


def test_work_for_an_endless_event_is_linear():
    # Guards against a search that begins anew with each byte of an event.
    parser = EventStreamParser()
    parser.feed(b'x' * 900_000)
    started_s = time.process_time()
    for _ in range(20_000):
        parser.feed(b'x')
    assert time.process_time() - started_s < 0.5


def test_event_end_is_found_across_small_pieces():
    # Guards against an event whose end is missed because it comes in pieces.
    parser = EventStreamParser()
    stream = b'id: 1\r\ndata: a\r\n\r\nid: 2\ndata: b\n\n'
    events = [event for byte in stream for event in parser.feed(bytes([byte]))]
    assert [event.event_id for event in events] == [b'1', b'2']
    assert not parser.partial_bytes


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


def test_responses_are_sound_whatever_other_connections_send():
    # Guards against a sound response that is broken off because the same target
    # sends too much on another connection, or has much to do.
    limits = receive_limits()
    faulty = limits.open_meter()
    with pytest.raises(ResponseExcessive):
        while True:
            faulty.charge(1)
    for _ in range(1000):
        meter = limits.open_meter()
        meter.grant(response_work(max_events=50))
        for _ in range(100):
            meter.charge(1)


def test_granted_work_lapses_with_its_response():
    # Guards against responses that leave to a faulty one what they did not need.
    meter = receive_limits().open_meter()
    for _ in range(1000):
        meter.grant(response_work(max_events=50))
    charged = 0
    with pytest.raises(ResponseExcessive):
        while True:
            meter.charge(1)
            charged += 1
    assert charged < CONNECTION_RATE.burst * 2


def test_broken_connections_keep_nothing_of_their_responses():
    # Guards against pieces of responses that a process keeps until the next full
    # garbage collection, by far more than its budget for responses.
    budget = ReceiveBudget(MIB)
    piece = b'x' * 262144
    tracemalloc.start()
    gc.disable()
    try:
        for _ in range(40):
            connection = TargetConnection(
                lambda _: None, receive_limits(budget)
            )
            connection.connection_made(DiscardingTransport())
            exchange = connection.start(b'GET / HTTP/1.1', [], b'')
            connection.data_received(HEAD + b'\r\n')
            while connection.is_open:
                connection.data_received(bytes(piece))
            exchange.close()
        kept_bytes = tracemalloc.get_traced_memory()[0]
    finally:
        gc.enable()
        tracemalloc.stop()
    assert kept_bytes < MIB
