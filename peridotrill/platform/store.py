"""Client of the platform's metadata store."""

import base64
import struct
from collections.abc import Callable
from http import HTTPStatus
from typing import Any, Final, NamedTuple, final
from urllib.parse import quote

import anyio

from peridotrill.codec import decode_json
from peridotrill.exceptions import (
    AppendOutcomeUnknown,
    CodecError,
    LogUnavailable,
    RecordsExpired,
    StoreRestored,
    TargetOutcomeUnknown,
    TargetUnreachable,
)
from peridotrill.gateway.connection_pool import ConnectionPool
from peridotrill.gateway.target_connections import (
    Response,
    ResponseHead,
)
from peridotrill.platform.names import STORE_GENERATION

# Raised while decoding a malformed response.
_DECODE_ERRORS: Final = (
    CodecError,
    LookupError,
    TypeError,
    ValueError,
    AttributeError,
)
_LENGTH: Final = struct.Struct('>I')
_OFFSETS: Final = struct.Struct('>QQ')
# Longer idle connections are not reused; the store declares no limit.
_MAX_IDLE_S: Final = 5.0


class StorePage(NamedTuple):
    """Records from the requested offset on; ``end`` is the next offset.

    Offsets are only valid in this ``generation`` of the store.
    """

    end: int
    first_kept: int
    records: list[bytes]
    generation: int


class NewestRecord(NamedTuple):
    """The newest record of a key; a newer record has a higher ``offset``."""

    key: str
    content: bytes
    offset: int


class NewestPage(NamedTuple):
    """The newest records of a topic; ``end`` is the offset of the next read.

    The offset is only valid in this ``generation`` of the store.
    """

    records: list[NewestRecord]
    end: int
    generation: int
    has_more: bool = False


class AppendResult(NamedTuple):
    """Result of a conditional append.

    ``offset`` is that of the record, or the end of the log if rejected. The
    record may be lost in a later ``generation`` of the store.
    """

    appended: bool
    offset: int
    generation: int


def split_records(content: bytes) -> list[bytes]:
    """Split framed records; raises CodecError if the last is truncated."""
    records: list[bytes] = []
    position = 0
    while position < len(content):
        if position + _LENGTH.size > len(content):
            raise CodecError('truncated record length')
        length = _LENGTH.unpack_from(content, position)[0]
        position += _LENGTH.size
        if position + length > len(content):
            raise CodecError('truncated record')
        records.append(content[position : position + length])
        position += length
    return records


def join_records(records: list[bytes]) -> bytes:
    """Frame records for an append."""
    return b''.join(_LENGTH.pack(len(row)) + row for row in records)


def encode_keyed_record(key: str, content: bytes) -> bytes:
    """Return a record of a keyed topic; empty content deletes the key."""
    name = key.encode()
    return bytes((len(name),)) + name + content


def decode_keyed_record(record: bytes) -> tuple[str, bytes]:
    """Return the key and content of a record; raises CodecError."""
    if not record or len(record) < record[0] + 1:
        raise CodecError('truncated key')
    end = record[0] + 1
    try:
        return record[1:end].decode(), record[end:]
    except UnicodeDecodeError as error:
        raise CodecError('key is not valid UTF-8') from error


@final
class StoreClient:
    """Makes calls to the store, each with a timeout."""

    def __init__(self, pool: ConnectionPool, timeout_s: float) -> None:
        """:param timeout_s: timeout of one call, excluding long-poll time."""
        self._pool = pool
        self._timeout_s = timeout_s
        self.calls = 0
        # Highest generation that the store has named; 0 if it has named none.
        self.generation = 0
        self.on_restored: Callable[[int, int], None] = _ignore_restore

    async def read(
        self,
        topic: str,
        start: int,
        wait_s: float,
        generation: int | None = None,
    ) -> StorePage:
        """Read records of partition 0; wait up to ``wait_s`` if there are none.

        :param generation: generation of the store in which ``start`` was read;
            None for any. Raises StoreRestored in another one, RecordsExpired
            or LogUnavailable.
        """
        response = await self._call(
            b'GET',
            f'/-/log-read?topic={quote(topic)}&part=0'
            + f'&from={start}&wait-ms={int(wait_s * 1000)}',
            b'',
            wait_s,
        )
        found = _require_generation(response, generation, topic)
        if response.head.status == HTTPStatus.GONE:
            first = _decode(response).get('first')
            raise RecordsExpired(f'{topic} at {start}', first)
        _require_ok(response)
        if len(response.body) < _OFFSETS.size:
            raise LogUnavailable('truncated page')
        end, first_kept = _OFFSETS.unpack_from(response.body)
        try:
            records = split_records(response.body[_OFFSETS.size :])
        except CodecError as error:
            raise LogUnavailable(str(error)) from error
        return StorePage(end, first_kept, records, found)

    async def newest(self, topic: str) -> NewestPage:
        """Read the newest record of each key.

        Raises LogUnavailable, also if the store is restored between two pages.
        """
        records: list[NewestRecord] = []
        path = f'/-/log-newest?topic={quote(topic)}&part=0'
        suffix = ''
        first: NewestPage | None = None
        while True:
            response = await self._call(b'GET', path + suffix, b'', 0)
            _require_ok(response)
            page = _decode_page(response)
            records += page.records
            # Pages are not a consistent snapshot. A reader that continues at
            # the end of the first page sees all changes made meanwhile.
            first = first or page
            if page.generation != first.generation:
                raise LogUnavailable(f'{topic} was restored between two pages')
            if not page.has_more or not page.records:
                return first._replace(records=records, has_more=False)
            suffix = f'&after={quote(records[-1].key)}'

    async def append(
        self,
        topic: str,
        records: list[bytes],
        at: int | None = None,
        generation: int | None = None,
    ) -> AppendResult:
        """Append records to partition 0.

        :param at: append only if the log ends at this offset; None appends
            unconditionally.
        :param generation: generation of the store in which ``at`` was read.
        :return: offset of the first record, or the end of the log if it
            is not ``at``.

        Raises AppendOutcomeUnknown, LogUnavailable, or StoreRestored in another
        generation, where the records may have been appended.
        """
        path = f'/-/log-append?topic={quote(topic)}&part=0'
        if at is not None:
            path = f'{path}&at={at}'
        try:
            response = await self._exchange(
                b'POST',
                path,
                join_records(records),
                0,
            )
        except (TargetOutcomeUnknown, TimeoutError) as error:
            raise AppendOutcomeUnknown(f'no response: {error}') from error
        except TargetUnreachable as error:
            raise LogUnavailable(str(error)) from error
        found = _require_generation(response, generation, topic)
        if response.head.status == HTTPStatus.PRECONDITION_FAILED:
            return AppendResult(False, _decode_offset(response, 'end'), found)
        _require_ok(response)
        return AppendResult(True, _decode_offset(response, 'offset'), found)

    def close(self) -> None:
        """Close idle connections."""
        self._pool.close()

    async def _call(
        self,
        method: bytes,
        path: str,
        body: bytes,
        wait_s: float,
    ) -> Response:
        try:
            return await self._exchange(method, path, body, wait_s)
        except (TargetOutcomeUnknown, TargetUnreachable, TimeoutError) as error:
            raise LogUnavailable(str(error) or 'timeout') from error

    async def _exchange(
        self,
        method: bytes,
        path: str,
        body: bytes,
        wait_s: float,
    ) -> Response:
        self.calls += 1
        connection = await self._pool.acquire(_MAX_IDLE_S)
        with anyio.fail_after(self._timeout_s + wait_s):
            response = await connection.call(method, path.encode(), body)
        self._observe_generation(response.head)
        return response

    def _observe_generation(self, head: ResponseHead) -> None:
        generation = _decode_generation(head)
        previous = self.generation
        if generation < previous:
            # Sent before the restore, which may have undone the call.
            raise TargetOutcomeUnknown(f'response of generation {generation}')
        if generation > previous:
            self.generation = generation
            if previous:
                self.on_restored(previous, generation)


def _ignore_restore(previous: int, generation: int) -> None:
    """Default callback for a restored store."""


def _decode_generation(head: ResponseHead) -> int:
    """Return the generation that a response names.

    Raises TargetOutcomeUnknown, as the call may have taken effect.

    :return: 0 if it names none.
    """
    named = head.get(STORE_GENERATION)
    if named is None:
        return 0
    try:
        return int(named)
    except ValueError as error:
        raise TargetOutcomeUnknown(f'invalid generation: {named!r}') from error


def _require_generation(
    response: Response, generation: int | None, topic: str
) -> int:
    """Return the generation of a response; raises StoreRestored.

    :param generation: the expected one; None for any.
    """
    found = _decode_generation(response.head)
    if generation is not None and found != generation:
        raise StoreRestored(f'{topic} in generation {found}', found)
    return found


def _decode_page(response: Response) -> NewestPage:
    try:
        page = decode_json(response.body)
        records = [
            NewestRecord(
                str(row['key']),
                base64.b64decode(row['value']),
                int(row['offset']),
            )
            for row in page.get('items', ())
        ]
        return NewestPage(
            records,
            int(page['end']),
            _decode_generation(response.head),
            bool(page.get('has-more')),
        )
    except _DECODE_ERRORS as error:
        raise LogUnavailable(f'invalid page: {error!r}') from error


def _decode_offset(response: Response, name: str) -> int:
    """Return an offset from the response to an append.

    Raises AppendOutcomeUnknown, as the append may have taken effect.
    """
    try:
        return int(decode_json(response.body)[name])
    except _DECODE_ERRORS as error:
        raise AppendOutcomeUnknown(f'invalid response: {error!r}') from error


def _require_ok(response: Response) -> None:
    if response.head.status != HTTPStatus.OK:
        raise LogUnavailable(f'status {response.head.status}')


def _decode(response: Response) -> Any:
    try:
        return decode_json(response.body)
    except CodecError as error:
        raise LogUnavailable(str(error)) from error
