"""Client of the platform's append-only log, and a follower of its records."""

import base64
import math
from collections.abc import Callable
from datetime import timedelta
from typing import Any, Final, NamedTuple, Protocol, TypedDict, final

import anyio
import httpx
import msgspec
from anyio.streams.memory import (
    MemoryObjectReceiveStream,
    MemoryObjectSendStream,
)

from peridotrill.clock import Clock
from peridotrill.exceptions import (
    AppendOutcomeUnknown,
    LogError,
    LogUnavailable,
    RecordError,
    RecordsExpired,
)
from peridotrill.records import decode_record, encode_record
from peridotrill.timeline import Recorder

APPEND_TIMEOUT: Final = timedelta(seconds=2)
READ_WAIT: Final = timedelta(seconds=2)
_READ_TIMEOUT_MARGIN: Final = timedelta(seconds=2)
_PAGE_RECORDS: Final = 500
_NO_WAIT: Final = timedelta(0)
_BEYOND_END: Final = 2**53
_BACKOFF_START: Final = timedelta(milliseconds=100)
_BACKOFF_LIMIT: Final = timedelta(seconds=2)
# One read for each appended record would cost more than the records: with
# hundreds of appends per second, this pause lets a page collect them.
PAGE_PAUSE: Final = timedelta(milliseconds=200)


class LogRow(NamedTuple):
    """One record as stored; ``appended_at_s`` is the platform's time."""

    offset: int
    appended_at_s: float
    payload: bytes


class LogPage(NamedTuple):
    """Consecutive records; ``now_s`` is the platform's time at the read."""

    records: tuple[LogRow, ...]
    first_offset: int
    next_offset: int
    now_s: float


class Foldable(Protocol):
    """State that is built from the records of the log in order."""

    offset: int

    def apply(self, offset: int, record: Any, appended_at_s: float) -> None:
        """Apply one record."""

    def skip(self, offset: int) -> None:
        """Pass over a record that cannot be decoded."""


class SnapshotSource(Protocol):
    """Finds a snapshot among records, to start from it."""

    def add(self, record: Any) -> None:
        """Take one record."""

    def restore(self) -> bool:
        """Restore the state; False if no usable snapshot was found."""


class _AppendAnswer(TypedDict):
    offset: int


class _RowAnswer(TypedDict):
    offset: int
    appended_at_s: float
    payload: str


class _ReadAnswer(TypedDict):
    records: list[_RowAnswer]
    first_offset: int
    next_offset: int
    now_s: float


@final
class LogClient:
    """Appends to the log and reads from it."""

    def __init__(self, url: str, http: httpx.AsyncClient) -> None:
        """:param url: base URL of the platform, without a final slash."""
        self._url = url
        self._http = http

    @classmethod
    def from_config(cls, url: str, http: httpx.AsyncClient) -> 'LogClient':
        """:param http: client that the caller closes."""
        return cls(url, http)

    async def append(self, record: Any) -> int:
        """Append one record.

        :param record: one of the types of ``records``.
        :return: its offset. Raises LogUnavailable if nothing was appended,
            AppendOutcomeUnknown if the record may have been appended.
        """
        try:
            answer = await self._http.post(
                f'{self._url}/log/append',
                content=encode_record(record),
                timeout=APPEND_TIMEOUT.total_seconds(),
            )
        except (httpx.ConnectError, httpx.ConnectTimeout) as error:
            raise LogUnavailable(f'log not reachable: {error!r}') from error
        except httpx.TransportError as error:
            raise AppendOutcomeUnknown(
                f'no answer from the log: {error!r}'
            ) from error
        return _decode_append(answer)

    async def read(self, from_offset: int, wait: timedelta) -> LogPage:
        """Read records in order.

        :param from_offset: first offset wanted, from 1.
        :param wait: how long the log may wait for a record.
        :return: a page, possibly empty. Raises RecordsExpired below the
            retention, LogUnavailable if the log did not answer.
        """
        try:
            answer = await self._http.get(
                f'{self._url}/log/read',
                params={
                    'from': from_offset,
                    'limit': _PAGE_RECORDS,
                    'wait_ms': math.ceil(wait.total_seconds() * 1000),
                },
                timeout=(wait + _READ_TIMEOUT_MARGIN).total_seconds(),
            )
        except httpx.TransportError as error:
            raise LogUnavailable(f'log not readable: {error!r}') from error
        if answer.status_code == httpx.codes.GONE:
            raise RecordsExpired(f'offset {from_offset} is no longer kept')
        if answer.status_code != httpx.codes.OK:
            raise LogUnavailable(f'the log answered {answer.status_code}')
        return _decode_page(answer.content)


def _add_to_source(source: SnapshotSource, row: LogRow) -> None:
    try:
        source.add(decode_record(row.payload))
    except RecordError:
        return


def _decode_append(answer: httpx.Response) -> int:
    status = answer.status_code
    if status == httpx.codes.SERVICE_UNAVAILABLE:
        raise LogUnavailable('the log reports an outage')
    if httpx.codes.is_client_error(status):
        raise LogError(f'the log rejected a record: {status}')
    try:
        return msgspec.json.decode(answer.content, type=_AppendAnswer)['offset']
    except msgspec.MsgspecError as error:
        raise AppendOutcomeUnknown(f'the log answered {status}') from error


def _decode_page(content: bytes) -> LogPage:
    try:
        answer = msgspec.json.decode(content, type=_ReadAnswer)
        rows = tuple(
            LogRow(
                row['offset'],
                row['appended_at_s'],
                base64.b64decode(row['payload'], validate=True),
            )
            for row in answer['records']
        )
    except (msgspec.MsgspecError, ValueError) as error:
        raise LogUnavailable(f'malformed page: {error}') from error
    return LogPage(
        rows,
        answer['first_offset'],
        answer['next_offset'],
        answer['now_s'],
    )


@final
class LogFollower:
    """Reads the log without end and folds its records into a state."""

    def __init__(
        self,
        client: LogClient,
        state: Foldable,
        clock: Clock,
        recorder: Recorder,
        snapshots: Callable[[], SnapshotSource] | None = None,
    ) -> None:
        """:param state: owned by the follower; others only read it.

        :param snapshots: used when the next record is no longer kept.
        """
        self._snapshots = snapshots
        self._client = client
        self._state = state
        self._clock = clock
        self._recorder = recorder
        self._subscribers: list[MemoryObjectSendStream[int]] = []
        self._read_at_s: float | None = None
        self._platform_offset_s: float | None = None
        self._backoff = _BACKOFF_START
        self.caught_up = anyio.Event()

    def subscribe(self) -> MemoryObjectReceiveStream[int]:
        """Return a stream of the newest applied offset after each page.

        Only the latest notification is kept for a slow subscriber.
        """
        sender, receiver = anyio.create_memory_object_stream[int](1)
        self._subscribers.append(sender)
        return receiver

    def log_age_s(self) -> float:
        """Return seconds since the last read of the log's end; inf if none.

        The time counts from before the read was sent.
        """
        if self._read_at_s is None:
            return math.inf
        return self._clock.monotonic_s() - self._read_at_s

    def platform_time_s(self) -> float | None:
        """Estimate the platform's time; None before the first read."""
        if self._platform_offset_s is None:
            return None
        return self._clock.monotonic_s() + self._platform_offset_s

    async def run(self) -> None:
        """Follow the log until cancelled; never raises on its failures."""
        while True:
            sent_s = self._clock.monotonic_s()
            wait = READ_WAIT if self.caught_up.is_set() else _NO_WAIT
            try:
                page = await self._client.read(self._state.offset + 1, wait)
            except LogError as error:
                await self._recover(error)
            else:
                await self._follow_page(page, sent_s)

    async def _follow_page(self, page: LogPage, sent_s: float) -> None:
        self._backoff = _BACKOFF_START
        self._apply_page(page, sent_s)
        if page.records and self.caught_up.is_set():
            await anyio.sleep(PAGE_PAUSE.total_seconds())

    async def _recover(self, error: LogError) -> None:
        if isinstance(error, RecordsExpired):
            self._recorder.emit('log_gap', detail=str(error))
            await self._restore()
            return
        if self._backoff == _BACKOFF_START:
            self._recorder.emit('log_unreadable', detail=str(error))
        await self._back_off()

    def confirm(self, as_of_s: float) -> None:
        """Note that the state is as new as the log was at a time.

        :param as_of_s: in the clock of this process.
        """
        self._read_at_s = max(as_of_s, self._read_at_s or as_of_s)
        self._notify()

    async def _restore(self) -> None:
        try:
            restored = await self._find_snapshot()
        except LogError as error:
            self._recorder.emit('log_unreadable', detail=str(error))
            restored = False
        if restored:
            self._recorder.emit('snapshot_restored', offset=self._state.offset)
            self._notify()
        else:
            await self._back_off()

    async def _find_snapshot(self) -> bool:
        if self._snapshots is None:
            return False
        source = self._snapshots()
        next_offset = await self._first_offset()
        page = await self._client.read(next_offset, _NO_WAIT)
        while page.records:
            for row in page.records:
                _add_to_source(source, row)
                next_offset = row.offset + 1
            page = await self._client.read(next_offset, _NO_WAIT)
        return source.restore()

    async def _first_offset(self) -> int:
        # A read far beyond the end answers at once with the bounds.
        page = await self._client.read(_BEYOND_END, _NO_WAIT)
        return page.first_offset

    async def _back_off(self) -> None:
        await anyio.sleep(self._backoff.total_seconds())
        self._backoff = min(self._backoff * 2, _BACKOFF_LIMIT)

    def _apply_page(self, page: LogPage, sent_s: float) -> None:
        self._platform_offset_s = page.now_s - self._clock.monotonic_s()
        for row in page.records:
            self._apply_row(row)
        # A full page says nothing about the records after it.
        if len(page.records) < _PAGE_RECORDS:
            # The answer may have waited for a process that was paused, so
            # that only the time before the read tells how old it can be.
            self._read_at_s = max(sent_s, self._read_at_s or sent_s)
            self.caught_up.set()
        if page.records:
            self._notify()

    def _apply_row(self, row: LogRow) -> None:
        if row.offset != self._state.offset + 1:
            return
        try:
            record = decode_record(row.payload)
        except RecordError as error:
            self._recorder.emit(
                'record_skipped',
                offset=row.offset,
                detail=str(error),
            )
            self._state.skip(row.offset)
        else:
            self._state.apply(row.offset, record, row.appended_at_s)

    def _notify(self) -> None:
        for sender in self._subscribers:
            if not sender.statistics().current_buffer_used:
                sender.send_nowait(self._state.offset)
