"""Client for the platform's append-only log, and a follower that reads it."""

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
LONG_POLL_WAIT: Final = timedelta(seconds=2)
_READ_TIMEOUT_MARGIN: Final = timedelta(seconds=2)
_MAX_PAGE_RECORDS: Final = 500
_NO_WAIT: Final = timedelta(0)
_OFFSET_BEYOND_END: Final = 2**53
_INITIAL_BACKOFF: Final = timedelta(milliseconds=100)
_MAX_BACKOFF: Final = timedelta(seconds=2)
# Delay after each page, so that one read returns many records. At hundreds of
# appends per second, a read per record would cost more than the records.
PAGE_DELAY: Final = timedelta(milliseconds=200)


class StoredRecord(NamedTuple):
    """A record in the log; ``appended_at_s`` is in platform time."""

    offset: int
    appended_at_s: float
    payload: bytes


class LogPage(NamedTuple):
    """Consecutive records; ``now_s`` is the platform time of the read."""

    records: tuple[StoredRecord, ...]
    first_offset: int
    next_offset: int
    now_s: float


class ReplicatedState(Protocol):
    """State that is built by applying the records of the log in order."""

    offset: int

    def apply(self, offset: int, record: Any, appended_at_s: float) -> None:
        """Apply one record."""

    def skip(self, offset: int) -> None:
        """Skip a record that cannot be decoded."""


class SnapshotSource(Protocol):
    """Finds a snapshot in the records of the log and restores it."""

    def add(self, record: Any) -> None:
        """Process one record of the log."""

    def restore(self) -> bool:
        """Restore the state; return False if there is no usable snapshot."""


class _AppendResponse(TypedDict):
    offset: int


class _RecordResponse(TypedDict):
    offset: int
    appended_at_s: float
    payload: str


class _ReadResponse(TypedDict):
    records: list[_RecordResponse]
    first_offset: int
    next_offset: int
    now_s: float


@final
class LogClient:
    """Appends to the log and reads from it."""

    def __init__(self, url: str, http: httpx.AsyncClient) -> None:
        """:param url: base URL of the platform, without a trailing slash."""
        self._url = url
        self._http = http

    @classmethod
    def from_config(cls, url: str, http: httpx.AsyncClient) -> 'LogClient':
        """:param http: HTTP client; the caller closes it."""
        return cls(url, http)

    async def append(self, record: Any) -> int:
        """Append one record.

        :param record: one of the types of ``records``.
        :return: its offset. Raises LogUnavailable if nothing was appended,
            AppendOutcomeUnknown if the record may have been appended, LogError
            if the log rejected it.
        """
        try:
            response = await self._http.post(
                f'{self._url}/log/append',
                content=encode_record(record),
                timeout=APPEND_TIMEOUT.total_seconds(),
            )
        except (httpx.ConnectError, httpx.ConnectTimeout) as error:
            raise LogUnavailable(
                f'could not connect to the log: {error!r}'
            ) from error
        except httpx.TransportError as error:
            raise AppendOutcomeUnknown(
                f'no response from the log: {error!r}'
            ) from error
        return _decode_append_response(response)

    async def read(self, from_offset: int, wait: timedelta) -> LogPage:
        """Read records in order.

        :param from_offset: first offset to return; offsets start at 1.
        :param wait: how long the log waits for a record if there is none.
        :return: a page, possibly empty. Raises RecordsExpired if the
            offset is older than the retention, LogUnavailable if the log
            did not return a valid page.
        """
        try:
            response = await self._http.get(
                f'{self._url}/log/read',
                params={
                    'from': from_offset,
                    'limit': _MAX_PAGE_RECORDS,
                    'wait_ms': math.ceil(wait.total_seconds() * 1000),
                },
                timeout=(wait + _READ_TIMEOUT_MARGIN).total_seconds(),
            )
        except httpx.TransportError as error:
            raise LogUnavailable(
                f'could not read the log: {error!r}'
            ) from error
        if response.status_code == httpx.codes.GONE:
            raise RecordsExpired(
                f'offset {from_offset} is older than the log retention'
            )
        if response.status_code != httpx.codes.OK:
            raise LogUnavailable(
                f'the log returned status {response.status_code}'
            )
        return _decode_page(response.content)


def _add_to_source(source: SnapshotSource, stored: StoredRecord) -> None:
    try:
        source.add(decode_record(stored.payload))
    except RecordError:
        return


def _decode_append_response(response: httpx.Response) -> int:
    status = response.status_code
    if status == httpx.codes.SERVICE_UNAVAILABLE:
        raise LogUnavailable('the log is unavailable: status 503')
    if httpx.codes.is_client_error(status):
        raise LogError(f'the log rejected a record with status {status}')
    try:
        return msgspec.json.decode(response.content, type=_AppendResponse)[
            'offset'
        ]
    except msgspec.MsgspecError as error:
        raise AppendOutcomeUnknown(
            f'the log returned an invalid response: status {status}'
        ) from error


def _decode_page(content: bytes) -> LogPage:
    try:
        response = msgspec.json.decode(content, type=_ReadResponse)
        records = tuple(
            StoredRecord(
                stored['offset'],
                stored['appended_at_s'],
                base64.b64decode(stored['payload'], validate=True),
            )
            for stored in response['records']
        )
    except (msgspec.MsgspecError, ValueError) as error:
        raise LogUnavailable(f'malformed page of records: {error}') from error
    return LogPage(
        records,
        response['first_offset'],
        response['next_offset'],
        response['now_s'],
    )


@final
class LogFollower:
    """Reads the log continuously and applies its records to a state."""

    def __init__(
        self,
        client: LogClient,
        state: ReplicatedState,
        clock: Clock,
        recorder: Recorder,
        create_snapshot_source: Callable[[], SnapshotSource] | None = None,
    ) -> None:
        """:param state: written only by the follower.

        :param create_snapshot_source: used to restore the state if the next
            record is older than the retention of the log.
        """
        self._create_snapshot_source = create_snapshot_source
        self._client = client
        self._state = state
        self._clock = clock
        self._recorder = recorder
        self._subscribers: list[MemoryObjectSendStream[int]] = []
        self._as_of_s: float | None = None
        self._platform_clock_offset_s: float | None = None
        self._backoff = _INITIAL_BACKOFF
        self.caught_up = anyio.Event()

    def subscribe(self) -> MemoryObjectReceiveStream[int]:
        """Return a stream that yields the applied offset after each page.

        A subscriber that is slow misses notifications; one stays queued.
        """
        sender, receiver = anyio.create_memory_object_stream[int](1)
        self._subscribers.append(sender)
        return receiver

    def log_age_s(self) -> float:
        """Return how old the state may be compared with the log, in seconds.

        Measured from when the last read that reached the end of the log was
        sent, or from a later time passed to ``mark_current``; inf if there
        was neither.
        """
        if self._as_of_s is None:
            return math.inf
        return self._clock.monotonic_s() - self._as_of_s

    def platform_time_s(self) -> float | None:
        """Estimate the current platform time; None before the first read."""
        if self._platform_clock_offset_s is None:
            return None
        return self._clock.monotonic_s() + self._platform_clock_offset_s

    async def run(self) -> None:
        """Follow the log until cancelled; errors of the log are retried."""
        while True:
            sent_at_s = self._clock.monotonic_s()
            wait = LONG_POLL_WAIT if self.caught_up.is_set() else _NO_WAIT
            try:
                page = await self._client.read(self._state.offset + 1, wait)
            except LogError as error:
                await self._handle_read_error(error)
            else:
                await self._process_page(page, sent_at_s)

    async def _process_page(self, page: LogPage, sent_at_s: float) -> None:
        self._backoff = _INITIAL_BACKOFF
        self._apply_page(page, sent_at_s)
        if page.records and self.caught_up.is_set():
            await anyio.sleep(PAGE_DELAY.total_seconds())

    async def _handle_read_error(self, error: LogError) -> None:
        if isinstance(error, RecordsExpired):
            self._recorder.emit('log_gap', detail=str(error))
            await self._restore_snapshot()
            return
        if self._backoff == _INITIAL_BACKOFF:
            self._recorder.emit('log_unreadable', detail=str(error))
        await self._back_off()

    def mark_current(self, as_of_s: float) -> None:
        """Record that the state contained the whole log at the given time.

        :param as_of_s: monotonic time of this process.
        """
        self._as_of_s = max(as_of_s, self._as_of_s or as_of_s)
        self._notify()

    async def _restore_snapshot(self) -> None:
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
        if self._create_snapshot_source is None:
            return False
        source = self._create_snapshot_source()
        next_offset = await self._first_offset()
        page = await self._client.read(next_offset, _NO_WAIT)
        while page.records:
            for stored in page.records:
                _add_to_source(source, stored)
                next_offset = stored.offset + 1
            page = await self._client.read(next_offset, _NO_WAIT)
        return source.restore()

    async def _first_offset(self) -> int:
        # A read far beyond the end returns the bounds of the log immediately.
        page = await self._client.read(_OFFSET_BEYOND_END, _NO_WAIT)
        return page.first_offset

    async def _back_off(self) -> None:
        await anyio.sleep(self._backoff.total_seconds())
        self._backoff = min(self._backoff * 2, _MAX_BACKOFF)

    def _apply_page(self, page: LogPage, sent_at_s: float) -> None:
        self._platform_clock_offset_s = page.now_s - self._clock.monotonic_s()
        for stored in page.records:
            self._apply_record(stored)
        # After a full page, more records may follow.
        if len(page.records) < _MAX_PAGE_RECORDS:
            # The process may have been paused after the response arrived,
            # so the age is measured from when the read was sent.
            self._as_of_s = max(sent_at_s, self._as_of_s or sent_at_s)
            self.caught_up.set()
        if page.records:
            self._notify()

    def _apply_record(self, stored: StoredRecord) -> None:
        if stored.offset != self._state.offset + 1:
            return
        try:
            record = decode_record(stored.payload)
        except RecordError as error:
            self._recorder.emit(
                'record_skipped',
                offset=stored.offset,
                detail=str(error),
            )
            self._state.skip(stored.offset)
        else:
            self._state.apply(stored.offset, record, stored.appended_at_s)

    def _notify(self) -> None:
        for sender in self._subscribers:
            if not sender.statistics().current_buffer_used:
                sender.send_nowait(self._state.offset)
