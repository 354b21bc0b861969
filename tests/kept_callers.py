"""Callers that keep their connections, with the times of each request."""

import asyncio
import random
import time
from dataclasses import dataclass, field

import h11

from tests.gateway_builders import HOST, prompt_headers

STREAM_KINDS = frozenset(('draft', 'quick'))
DEADLINE_MS = 7000
# A request without an outcome after this time is given up.
GIVE_UP_S = 12
RETRY_AFTER_S = 0.1
# Interval of the check of the event loop, and the shortest delay recorded.
TICK_S = 0.01
MIN_DELAY_S = 0.03
READ_BYTES = 65536
EVENT_INTERVAL_S = 0.1


@dataclass
class Sent:
    """One request: when it was sent, on which connection, how it ended."""

    name: str
    kind: str
    node: str
    # Requests that the connection had carried before this one.
    earlier: int
    events: int
    opened_s: float
    first_s: float = 0
    # Just before the last byte was handed to the kernel.
    last_s: float = 0
    ended_s: float = 0
    status: int = 0
    body: bytes = b''
    is_complete: bool = False
    error: str = ''


@dataclass
class Style:
    """How a caller uses its connections."""

    # Requests per connection.
    limit: int = 1_000_000
    # Range of the pause between two requests.
    pause_s: tuple[float, float] = (0, 0.02)
    # Range of the delay of the last bytes of a body.
    delay_s: tuple[float, float] = (0, 0)
    kinds: tuple[str, ...] = ('pay', 'read', 'draft', 'quick')
    events: tuple[int, ...] = (1, 5)
    # Whether the caller notices before a request that its connection is closed.
    checks_close: bool = False


STYLES = (
    Style(),
    Style(pause_s=(0.03, 2.5), kinds=('pay', 'read'), checks_close=True),
    Style(limit=1, kinds=('pay', 'read', 'spare')),
    Style(kinds=('draft', 'quick'), events=(5, 20, 38)),
    Style(delay_s=(0.005, 0.3), kinds=('pay', 'read', 'spare')),
    Style(pause_s=(0.2, 3.2), kinds=('draft', 'read', 'spare')),
)


@dataclass
class Callers:
    """All callers of a run; they run in one event loop."""

    seed: int
    gateways: dict
    sent: list[Sent] = field(default_factory=list)
    refused: int = 0
    # Spans in which the event loop was delayed, so that times are late.
    delays: list[tuple[float, float]] = field(default_factory=list)

    async def run(self, count, duration_s):
        """Send requests for a time, then finish those in progress."""
        self._end_s = time.monotonic() + duration_s
        watch = asyncio.create_task(self._watch_delays())
        await asyncio.gather(*(self._call(number) for number in range(count)))
        watch.cancel()

    def delay_s(self, start_s, end_s):
        """Return the total delay of the event loop in a span."""
        return sum(
            max(0, min(end_s, delayed_s) - max(start_s, since_s))
            for since_s, delayed_s in self.delays
        )

    @property
    def longest_delay_s(self):
        return max(
            (end_s - start_s for start_s, end_s in self.delays), default=0
        )

    async def _watch_delays(self):
        while True:
            start_s = time.monotonic()
            await asyncio.sleep(TICK_S)
            end_s = time.monotonic()
            if end_s - start_s > MIN_DELAY_S:
                self.delays.append((start_s + TICK_S, end_s))

    def _is_over(self):
        return time.monotonic() >= self._end_s

    async def _call(self, number):
        chooser = random.Random(f'{self.seed} caller {number}')
        style = STYLES[number % len(STYLES)]
        nodes = sorted(self.gateways)
        sequence = 0
        while not self._is_over():
            node = chooser.choice(nodes)
            try:
                streams = await asyncio.open_connection(
                    '127.0.0.1', self.gateways[node].caller_port
                )
            except OSError:
                self.refused += 1
                await asyncio.sleep(0.05)
                continue
            connection = KeptConnection(streams)
            for earlier in range(style.limit):
                sequence += 1
                row = Sent(
                    f'{number}-{sequence}',
                    chooser.choice(style.kinds),
                    node,
                    earlier,
                    chooser.choice(style.events),
                    connection.opened_s,
                )
                self.sent.append(row)
                delay_s = chooser.uniform(*style.delay_s)
                await connection.send(row, delay_s)
                await asyncio.sleep(chooser.uniform(*style.pause_s))
                if row.status == 503:
                    await asyncio.sleep(RETRY_AFTER_S)
                is_closed = style.checks_close and connection.is_closed
                if is_closed or not connection.is_usable or self._is_over():
                    break
            connection.close()


class KeptConnection:
    """A connection of a caller, used until the gateway closes it."""

    def __init__(self, streams):
        self._reader, self._writer = streams
        self._parser = h11.Connection(h11.CLIENT)
        self.opened_s = time.monotonic()
        self.is_usable = True

    @property
    def is_closed(self):
        return self._reader.at_eof()

    def close(self):
        self._writer.close()

    async def send(self, row, delay_s):
        """Send a request and read its response."""
        try:
            async with asyncio.timeout(GIVE_UP_S):
                await self._exchange(row, delay_s)
        except (OSError, h11.RemoteProtocolError, TimeoutError) as error:
            row.error = repr(error)
        row.ended_s = time.monotonic()
        self.is_usable = (
            row.is_complete and self._parser.their_state is h11.DONE
        )
        if self.is_usable:
            self._parser.start_next_cycle()

    async def _exchange(self, row, delay_s):
        parser = self._parser
        request = h11.Request(
            method='POST', target=f'/{row.kind}/x', headers=_headers(row)
        )
        content = parser.send(request) + parser.send(h11.Data(data=b'body'))
        parser.send(h11.EndOfMessage())
        row.first_s = row.last_s = time.monotonic()
        if delay_s:
            self._writer.write(content[:-2])
            await asyncio.sleep(delay_s)
            row.last_s = time.monotonic()
            self._writer.write(content[-2:])
        else:
            self._writer.write(content)
        await self._writer.drain()
        while not row.is_complete:
            event = parser.next_event()
            if event is h11.NEED_DATA:
                parser.receive_data(await self._reader.read(READ_BYTES))
            elif isinstance(event, h11.Response):
                row.status = event.status_code
            elif isinstance(event, h11.Data):
                row.body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                row.is_complete = True
            elif isinstance(event, h11.ConnectionClosed):
                raise ConnectionResetError('closed without a response')


def _headers(row):
    headers = {
        'Host': HOST,
        'Authorization': 'Bearer key-g',
        'Content-Length': '4',
        'X-Peridotrill-Request-Id': row.name,
        'X-Peridotrill-Deadline-Ms': str(DEADLINE_MS),
        'X-Soak-Events': str(row.events),
    }
    if row.kind in STREAM_KINDS:
        headers.update(prompt_headers(shared=50 if row.events < 20 else 5000))
    return list(headers.items())
