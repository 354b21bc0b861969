"""Plays the callers of a site in a process of its own.

``python -m tests.load_callers SETTINGS`` sends requests at a fixed rate, however
slow the responses are, and writes one line of JSON for each attempt. Callers
reuse their connections until the gateway ends them, and take broken streams up
at another gateway.
"""

import asyncio
import json
import random
import re
import sys
import time
from typing import NamedTuple
from zlib import crc32

import httptools

from tests.gateway_builders import HOST, prompt_headers
from tests.load_checks import STREAMS

_EVENT = re.compile(r'id: (\d+)\ndata: token (\d+)\n(?:: (v\d+)\n)?\n')


class Attempt(NamedTuple):
    """What a caller saw of one attempt.

    ``began`` is the request with the first event of the stream; ``events`` are
    the ids and versions of those that arrived whole.
    """

    name: str
    began: str
    gateway: str
    sent_s: float
    ended_s: float
    status: int
    is_complete: bool
    after: int
    events: list
    error: str


class _Response:
    """Parses one response; a caller reads all of it."""

    def __init__(self):
        self.parser = httptools.HttpResponseParser(self)
        self.body = bytearray()
        self.is_complete = False
        self.has_length = False

    def on_header(self, name, content):
        if name.lower() in {b'content-length', b'transfer-encoding'}:
            self.has_length = True

    def on_body(self, body):
        self.body += body

    def on_message_complete(self):
        self.is_complete = True

    @property
    def status(self):
        return self.parser.get_status_code()


class Load:
    """Open-loop load on several gateways."""

    def __init__(self, settings):
        self._settings = settings
        self._random = random.Random(settings['seed'])
        self._ports = settings['gateways']
        self._idle = {name: [] for name in self._ports}
        self._journal = open(settings['journal'], 'a', buffering=1)  # noqa: SIM115
        self._count = 0

    async def run(self):
        end_s = time.monotonic() + self._settings['duration_s']
        rates = self._settings['rates']
        due_s = time.monotonic()
        async with asyncio.TaskGroup() as tasks:
            while time.monotonic() < end_s:
                due_s += self._random.expovariate(sum(rates.values()))
                await asyncio.sleep(max(0, due_s - time.monotonic()))
                kind = self._random.choices([*rates], [*rates.values()])[0]
                self._count += 1
                name = f'{kind}-{self._settings["seed"]}-{self._count}'
                tasks.create_task(self._request(kind, name))
        for pairs in self._idle.values():
            for _, writer in pairs:
                writer.transport.abort()

    async def _request(self, kind, name):
        events = []
        began = name
        tries = self._settings['tries'] if STREAMS.get(kind) else 1
        gateway = self._random.choice([*self._ports])
        for number in range(tries):
            after = events[-1][0] if events else 0
            attempt_name = f'{name}-{number}' if number else name
            if not events:
                began = attempt_name
            found = await self._attempt(
                kind, attempt_name, gateway, began, after
            )
            events += found.events
            if found.is_complete and found.status < 500:
                return
            gateway = self._random.choice(
                [row for row in self._ports if row != gateway]
            )
            await asyncio.sleep(self._random.choice((0, 0.002, 0.05, 0.2)))

    async def _attempt(self, kind, name, gateway, began, after):
        response = _Response()
        sent_s = time.monotonic()
        error = ''
        patience_s = 4.0
        if self._random.random() < self._settings['leaving']:
            patience_s = self._random.uniform(0.02, 0.4)
        try:
            async with asyncio.timeout(patience_s):
                await self._exchange(
                    kind, name, gateway, began, after, response
                )
        except (OSError, TimeoutError, httptools.HttpParserError) as failure:
            error = type(failure).__name__
        text = response.body.decode('latin-1')
        attempt = Attempt(
            name=name,
            began=began,
            gateway=gateway,
            sent_s=sent_s,
            ended_s=time.monotonic(),
            status=response.status,
            is_complete=response.is_complete and not error,
            after=after,
            events=[
                [int(row[1]), row[3] or ''] for row in _EVENT.finditer(text)
            ],
            error=error,
        )
        self._journal.write(json.dumps(attempt._asdict()) + '\n')
        return attempt

    async def _exchange(self, kind, name, gateway, began, after, response):
        reader, writer, is_new = await self._connect(gateway)
        try:
            writer.write(_format_request(kind, name, began, after))
            while not response.is_complete:
                content = await reader.read(65536)
                if not content:
                    if not response.status and not is_new:
                        raise ConnectionResetError('idle connection')
                    break
                response.parser.feed_data(content)
        except BaseException:
            writer.transport.abort()
            raise
        if response.is_complete and response.has_length:
            self._idle[gateway].append((reader, writer))
        else:
            writer.transport.abort()

    async def _connect(self, gateway):
        idle = self._idle[gateway]
        while idle:
            reader, writer = idle.pop(self._random.randrange(len(idle)))
            if not reader.at_eof() and not writer.is_closing():
                return reader, writer, False
            writer.transport.abort()
        pair = await asyncio.open_connection('127.0.0.1', self._ports[gateway])
        return *pair, True


def _format_request(kind, name, began, after):
    headers = {
        'Host': HOST,
        'Authorization': 'Bearer key-g',
        'X-Peridotrill-Request-Id': name,
        'X-Peridotrill-Deadline-Ms': '3500',
        'Content-Length': '4',
    }
    if kind in STREAMS:
        shared = 50 if kind == 'quick' else 5000
        part = f'a{crc32(name.encode()) % 40:02d}'
        headers.update(prompt_headers(shared=shared, part_id=part))
    if after:
        headers.update({'Last-Event-Id': str(after), 'Resumes': began})
    rows = ''.join(f'{field}: {text}\r\n' for field, text in headers.items())
    return f'POST /{kind}/x HTTP/1.1\r\n{rows}\r\nbody'.encode()


def main():
    asyncio.run(Load(json.loads(sys.argv[1])).run())


if __name__ == '__main__':
    main()
