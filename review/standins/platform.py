"""Stand-ins for the platform's store, the duties' API and engines."""

import asyncio
import base64
import itertools
import json
import struct
import time
from collections import defaultdict
from urllib.parse import parse_qs, urlsplit

from review.standins.http import Server


def frame(records):
    return b''.join(struct.pack('>I', len(row)) + row for row in records)


def unframe(content):
    records = []
    while content:
        length = struct.unpack_from('>I', content)[0]
        records.append(content[4 : 4 + length])
        content = content[4 + length :]
    return records


class Store:
    """The platform's store, with partition 0 of each topic.

    While ``is_down``, each call gets 503.
    """

    def __init__(self):
        self.topics = defaultdict(list)
        self.is_down = False
        self.server = Server(self._handle)
        self._changed = asyncio.Condition()

    async def put(self, topic, key, value):
        """Write the newest record of a key, as operator and engines do."""
        name = key.encode()
        await self.append(topic, [bytes((len(name),)) + name + value])

    async def append(self, topic, records):
        offset = len(self.topics[topic])
        self.topics[topic] += records
        async with self._changed:
            self._changed.notify_all()
        return offset

    async def _handle(self, request, exchange):
        parts = urlsplit(request.target)
        query = {name: row[0] for name, row in parse_qs(parts.query).items()}
        if self.is_down:
            exchange.send(503)
            return
        rows = self.topics[query.get('topic', '')]
        if parts.path == '/-/log-append':
            await self._answer_append(query, request, exchange)
        elif parts.path == '/-/log-read':
            await self._answer_read(query, exchange)
        elif parts.path == '/-/log-newest':
            exchange.send(200, body=json.dumps(self._newest(rows)).encode())
        else:
            exchange.send(404)

    async def _answer_append(self, query, request, exchange):
        rows = self.topics[query['topic']]
        if int(query.get('at', len(rows))) != len(rows):
            answer = json.dumps({'end': len(rows)}).encode()
            exchange.send(412, body=answer)
            return
        offset = await self.append(query['topic'], unframe(request.body))
        answer = {'offset': offset, 'end': len(rows)}
        exchange.send(200, body=json.dumps(answer).encode())

    async def _answer_read(self, query, exchange):
        rows = self.topics[query['topic']]
        start = int(query['from'])
        try:
            async with asyncio.timeout(int(query.get('wait-ms', 0)) / 1000):
                async with self._changed:
                    await self._changed.wait_for(lambda: len(rows) > start)
        except TimeoutError:
            pass
        if self.is_down:
            exchange.send(503)
            return
        head = struct.pack('>QQ', len(rows), 0)
        exchange.send(200, body=head + frame(rows[start:]))

    def _newest(self, rows):
        items = {}
        for offset, row in enumerate(rows):
            end = row[0] + 1
            key, value = row[1:end].decode(), row[end:]
            items.pop(key, None)
            if value:
                text = base64.b64encode(value).decode()
                items[key] = {'key': key, 'value': text, 'offset': offset}
        return {
            'items': list(items.values()),
            'has-more': False,
            'end': len(rows),
        }


class Duties:
    """The platform's API for the duties; keeps the usage reports."""

    def __init__(self):
        self.usage = []
        self.server = Server(self._handle)

    async def _handle(self, request, exchange):
        if request.target == '/usage':
            self.usage.append(json.loads(request.body))
        exchange.send(200)


class Engine:
    """An engine that writes a beat to the store, as a sound one does.

    With ``stage`` it is a model engine, else a plain service. A model engine's
    events name the software version and the process that made them.
    """

    def __init__(self, store, engine_id, service, stage=None, version='1'):
        self.store = store
        self.engine_id = engine_id
        self.service = service
        self.stage = stage
        self.version = version
        self.zone = 'a'
        self.slots = 64
        self.work_s = 0.01
        self.event_count = 5
        self.event_gap_s = 0.01
        self.beat_s = 1.2
        self.server = Server(self._handle)
        # Requests that began to run: id, version, start.
        self.runs = []
        self.is_up = False
        self._born_ms = 0
        self._seq = 0
        self._handles = {}
        self._beat = None

    async def start(self):
        """Start a process, which registers itself at once."""
        self._born_ms = max(self._born_ms + 1, int(time.time() * 1000))
        self._seq = 0
        self._handles = {}
        await self.server.start()
        self.is_up = True
        await self._register()
        self._beat = asyncio.ensure_future(self._keep_registered())

    async def crash(self):
        """End the process without a word."""
        self.is_up = False
        self._beat.cancel()
        await self.server.crash()

    async def _keep_registered(self):
        while True:
            await asyncio.sleep(self.beat_s)
            await self._register()

    async def _register(self):
        if self.store.is_down:
            return
        self._seq += 1
        record = {
            'service': self.service,
            'addr': self.server.address,
            'zone': self.zone,
            'version': self.version,
            'slots': self.slots,
            'state': 'ready',
            'cold-left-ms': 0,
            'seq': self._seq,
            'born': self._born_ms,
        }
        if self.stage is not None:
            record['stage'] = self.stage
            record['models'] = [{'name': 'm', 'version': 1, 'adapters': []}]
        value = json.dumps(record).encode()
        await self.store.put('keyed.servers', self.engine_id, value)

    async def _handle(self, request, exchange):
        request_id = request.get('x-peridotrill-request-id')
        named = [('X-Peridotrill-Request-Id', request_id)]
        not_run = [*named, ('X-Peridotrill-Not-Run', '1')]
        if request.get('x-peridotrill-expect-instance') not in {
            '',
            self.engine_id,
        }:
            exchange.send(421, not_run)
        elif request.target.startswith('/-/'):
            self._answer_control(request, exchange)
        elif request.get('x-peridotrill-stage') == 'prefill':
            if self.stage != 'prefill':
                exchange.send(421, not_run)
                return
            await asyncio.sleep(self.work_s)
            handle = f'{int(time.time() * 1e6):x}{len(self._handles):x}'
            self._handles[handle] = request_id
            answer = {'handle': handle, 'tokens': 1, 'version': 1}
            exchange.send(200, named, json.dumps(answer).encode())
        elif self.stage == 'prefill':
            exchange.send(421, not_run)
        else:
            stamp = f'{self.engine_id}.{self._born_ms}'
            stamped = [*named, ('X-Peridotrill-Engine-Stamp', stamp)]
            self.runs.append((request_id, self.version, time.monotonic()))
            if self.stage is None:
                await asyncio.sleep(self.work_s)
                exchange.send(200, stamped, f'answer {request_id}'.encode())
            else:
                await self._stream(request, exchange, stamped)

    async def _stream(self, request, exchange, headers):
        await asyncio.sleep(self.work_s)
        first = int(request.get('last-event-id', '0') or 0) + 1
        version, born = self.version, self._born_ms
        rows = [*headers, ('Content-Type', 'text/event-stream')]
        exchange.start_stream(200, rows)
        for number in itertools.count(first):
            if number > self.event_count:
                break
            event = f'id: {number}\ndata: {version} {self.engine_id}/{born}\n\n'
            exchange.send_chunk(event.encode())
            await exchange.writer.drain()
            if number < self.event_count:
                await asyncio.sleep(self.event_gap_s)
        exchange.end_stream()

    def _answer_control(self, request, exchange):
        if request.target.startswith('/-/report'):
            report = {
                'stage': self.stage,
                'models': [{'name': 'm', 'version': 1, 'adapters': []}],
                'busy': False,
                'seq': 0,
                'waiting': 0,
                'running': 0,
                'kv-used': 0,
                'kv-total': 500000,
                'handles': len(self._handles),
                'born': self._born_ms,
            }
            exchange.send(200, body=json.dumps(report).encode())
        elif request.target.startswith('/-/kv-list'):
            answer = {'epoch': self._born_ms, 'next': 1, 'held': []}
            exchange.send(200, body=json.dumps(answer).encode())
        elif request.target.startswith('/-/kv-handle/'):
            found = self._handles.pop(request.target.rsplit('/', 1)[1], None)
            exchange.send(404 if found is None else 200)
        elif request.target == '/-/order':
            # The stages of a small deployment stay as they are.
            exchange.send(400)
        else:
            exchange.send(404)
