"""In-process stand-in for the platform's topic store."""

import asyncio
import base64
import struct
from collections import Counter, defaultdict
from urllib.parse import parse_qs, urlsplit

import anyio

from peridotrill.codec import encode_json
from peridotrill.exceptions import CodecError
from peridotrill.platform.names import STORE_GENERATION
from peridotrill.platform.store import (
    decode_keyed_record,
    encode_keyed_record,
    join_records,
    split_records,
)

_OK = 200
_BAD_REQUEST = 400
_NOT_FOUND = 404
_GONE = 410
_PRECONDITION_FAILED = 412
_UNAVAILABLE = 503


class PlatformStore:
    """Keeps partition 0 of each topic in memory.

    ``fault`` is empty or one of ``down`` (503 to every request), ``silent``
    (no responses), ``deaf`` (held reads hear of no change until they end) and ``lose_appends`` (appends take effect, but their
    connections are closed without a response). Each response names the
    ``generation``, which rises when the store is restored from a copy.
    """

    def __init__(self) -> None:
        """Create a store with empty topics."""
        self.topics: dict[str, list[bytes]] = defaultdict(list)
        self.first_offsets: dict[str, int] = defaultdict(int)
        self.fault = ''
        self.generation = 1
        self.calls: Counter[str] = Counter()
        self._changed = asyncio.Condition()

    async def put(self, topic: str, key: str, content: bytes) -> None:
        """Append a record to a keyed topic, as operators and targets do."""
        await self._append(topic, [encode_keyed_record(key, content)])

    def copy(self) -> dict[str, list[bytes]]:
        """Return a copy of all topics for ``restore``."""
        return {topic: list(rows) for topic, rows in self.topics.items()}

    def restore(self, copied: dict[str, list[bytes]]) -> None:
        """Replace all topics by a copy, as after the loss of the store."""
        self.topics.clear()
        self.topics.update({topic: list(copied[topic]) for topic in copied})
        self.generation += 1

    async def handle(self, request, responder) -> None:
        """Handle one request."""
        responder = _GenerationResponder(self, responder)
        parts = urlsplit(request.target.decode())
        query = {name: rows[0] for name, rows in parse_qs(parts.query).items()}
        if self.fault == 'silent':
            await asyncio.Event().wait()
        if self.fault == 'down':
            responder.send(_UNAVAILABLE, [], b'')
            return
        topic = query.get('topic', '')
        self.calls[topic] += 1
        if parts.path == '/-/log-append':
            await self._handle_append(topic, query, request, responder)
        elif parts.path == '/-/log-read':
            await self._handle_read(topic, query, responder)
        elif parts.path == '/-/log-newest':
            responder.send(_OK, [], encode_json(self._newest_records(topic)))
        else:
            responder.send(_NOT_FOUND, [], b'')

    async def _append(self, topic, records) -> int:
        offset = self._end_offset(topic)
        self.topics[topic].extend(records)
        async with self._changed:
            self._changed.notify_all()
        return offset

    async def _handle_append(self, topic, query, request, responder) -> None:
        end = self._end_offset(topic)
        if int(query.get('at', end)) != end:
            responder.send(
                _PRECONDITION_FAILED,
                [],
                encode_json({'end': end}),
            )
            return
        try:
            records = split_records(request.body)
        except CodecError:
            responder.send(_BAD_REQUEST, [], b'')
            return
        offset = await self._append(topic, records)
        if self.fault == 'lose_appends':
            responder.abort()
            return
        response = {'offset': offset, 'end': self._end_offset(topic)}
        responder.send(_OK, [], encode_json(response))

    async def _handle_read(self, topic, query, responder) -> None:
        start = int(query['from'])
        first = self.first_offsets[topic]
        if not first <= start <= self._end_offset(topic):
            responder.send(_GONE, [], encode_json({'first': first}))
            return
        await self._wait_for(topic, start, int(query.get('wait-ms', 0)))
        if self.fault == 'silent':
            await asyncio.Event().wait()
        head = struct.pack('>QQ', self._end_offset(topic), first)
        rows = self.topics[topic][start - first :]
        responder.send(_OK, [], head + join_records(rows))

    async def _wait_for(self, topic, start, wait_ms) -> None:
        with anyio.move_on_after(wait_ms / 1000):
            if self.fault == 'deaf' and self._end_offset(topic) <= start:
                await asyncio.Event().wait()
            async with self._changed:
                while self._end_offset(topic) <= start:
                    await self._changed.wait()

    def _end_offset(self, topic) -> int:
        return self.first_offsets[topic] + len(self.topics[topic])

    def _newest_records(self, topic) -> dict:
        rows = {}
        for offset, record in enumerate(self.topics[topic]):
            key, content = decode_keyed_record(record)
            rows[key] = {
                'key': key,
                'value': base64.b64encode(content).decode(),
                'offset': offset,
            }
            if not content:
                rows.pop(key)
        return {
            'items': list(rows.values()),
            'has-more': False,
            'end': self._end_offset(topic),
        }


class _GenerationResponder:
    """Adds the generation of the store to each response."""

    def __init__(self, store, responder) -> None:
        self._store = store
        self._responder = responder

    def send(self, status, headers, body) -> None:
        generation = str(self._store.generation).encode()
        named = (STORE_GENERATION, generation)
        self._responder.send(status, [*headers, named], body)

    def abort(self) -> None:
        self._responder.abort()
