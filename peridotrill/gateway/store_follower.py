"""Follows keyed topics of the store and applies their records."""

import math
from collections.abc import Callable
from datetime import timedelta
from typing import Final, NamedTuple, Protocol, final

import anyio
from anyio.abc import TaskGroup

from peridotrill.clock import Clock
from peridotrill.exceptions import (
    CodecError,
    LogError,
    LogUnavailable,
    RecordsExpired,
    StoreRestored,
)
from peridotrill.gateway.cluster_state import ClusterState
from peridotrill.gateway.configuration import Configuration
from peridotrill.gateway.event_log import EventLog
from peridotrill.gateway.targets import TargetRecord

_MIN_RETRY_S: Final = 0.1
# Limits both the calls to an unreachable store and the delay until its
# recovery is noticed.
_MAX_RETRY_S: Final = 0.5
# Interval of the reads that are to confirm the records, and how many of them may
# wait for a slow store at the same time.
_CONFIRM_INTERVAL_S: Final = 0.05
_MAX_CONFIRM_READS: Final = 4
# How long a request waits for a read that it triggered. The store responds
# within some milliseconds if there are new records.
_REFRESH_TIMEOUT_S: Final = 0.05


class Page(Protocol):
    """Records of a keyed topic; ``end`` is the offset of the next read."""

    @property
    def rows(self) -> list[tuple[str, bytes]]:
        """Key and content of each record; empty content deletes the key."""

    @property
    def end(self) -> int:
        """Offset after the last record."""


class KeyedReader(Protocol):
    """A topic in which only the newest record of each key matters."""

    async def newest(self) -> Page:
        """Read the newest record of each key; raises LogUnavailable."""

    async def read(self, start: int, wait_s: float) -> Page:
        """Read from an offset.

        Raises LogUnavailable, RecordsExpired, StoreRestored, CodecError.
        """


class PollTimings(NamedTuple):
    """Long-poll time and pause of one follower.

    ``wait`` is how long the store holds a read without new records. ``pause``
    is the minimum time between two reads, so that frequent records are read
    in batches.
    """

    wait: timedelta
    pause: timedelta


@final
class TopicFollower:
    """Reads a keyed topic continuously."""

    def __init__(  # noqa: WPS211
        self,
        topic: str,
        reader: KeyedReader,
        timings: PollTimings,
        clock: Clock,
        log: EventLog,
    ) -> None:
        """:param topic: name used in log events."""
        self._topic = topic
        self._reader = reader
        self._timings = timings
        self._clock = clock
        self._log = log
        self._is_connected = True
        self._retry_s = _MIN_RETRY_S
        # Offset of the next read; None until a full read.
        self._end: int | None = None
        # All records that were written before this time are applied.
        self._confirmed_s = -math.inf
        # Callers of ``confirm``, until when they need records to be applied, and
        # the events that wake the reader and them.
        self._callers = 0
        self._wanted_s = -math.inf
        self._wanted = anyio.Event()
        self._confirmed = anyio.Event()
        # Ends the read in progress, and the offset at which it was last used.
        self._read_scope: anyio.CancelScope | None = None
        self._interrupted_at: int | None = None
        # Set to end the current pause early; None outside a pause.
        self._pause_ended: anyio.Event | None = None
        # Set when a read triggered by ``refresh`` is done; None if no such read
        # is in progress.
        self._refreshed: anyio.Event | None = None

    async def refresh(self) -> None:
        """End the pause, read now and wait briefly for the result.

        Returns immediately while the store holds a read, because it responds
        as soon as there are records.
        """
        if self._pause_ended is not None:
            self._pause_ended.set()
            self._pause_ended = None
            self._refreshed = anyio.Event()
        refreshed = self._refreshed
        if refreshed is None:
            return
        with anyio.move_on_after(_REFRESH_TIMEOUT_S):
            await refreshed.wait()
        self._refreshed = None

    async def confirm(self, since_s: float) -> None:
        """Wait until all records written before a given time are applied.

        Waits for as long as the store does not respond.

        :param since_s: a monotonic time that has passed.
        """
        self._wanted_s = max(self._wanted_s, since_s)
        self._wanted.set()
        self._callers += 1
        try:
            while self._confirmed_s < since_s:
                await self._confirmed.wait()
        finally:
            self._callers -= 1

    async def _confirm_when_wanted(self) -> None:
        """Read for all callers of ``confirm``, as long as one of them waits."""
        reads = anyio.Semaphore(_MAX_CONFIRM_READS)
        async with anyio.create_task_group() as tasks:
            while True:
                await self._wanted.wait()
                self._wanted = anyio.Event()
                await self._read_while_wanted(tasks, reads)

    async def _read_while_wanted(
        self, tasks: TaskGroup, reads: anyio.Semaphore
    ) -> None:
        while self._callers and self._confirmed_s < self._wanted_s:
            if reads.value:
                tasks.start_soon(self._read_newer, reads)
            await anyio.sleep(_CONFIRM_INTERVAL_S)

    async def _read_newer(self, reads: anyio.Semaphore) -> None:
        """Ask for newer records; if there are some, let them be read now.

        :param reads: limits the reads in progress.
        """
        async with reads:
            await self._confirm_or_interrupt()

    async def _confirm_or_interrupt(self) -> None:
        end = self._end
        requested_s = self._clock.monotonic_s()
        try:
            page = None if end is None else await self._reader.read(end, 0)
        except (LogError, CodecError) as error:
            self._log.write(
                'records_unconfirmed', topic=self._topic, error=str(error)
            )
            page = None
        if page is not None and page.end == end:
            self._set_confirmed(requested_s)
            return
        if page is not None and end != self._interrupted_at:
            self._interrupted_at = end
            self._interrupt()

    def _interrupt(self) -> None:
        """Let the follower read now, once for each offset.

        The response to the read in progress may be lost.
        """
        if self._pause_ended is not None:
            self._pause_ended.set()
        elif self._read_scope is not None:
            self._read_scope.cancel()

    def _set_confirmed(self, requested_s: float) -> None:
        """Record that all records written before a time are applied."""
        self._confirmed_s = max(self._confirmed_s, requested_s)
        self._confirmed.set()
        self._confirmed = anyio.Event()

    async def run(
        self,
        on_snapshot: Callable[[list[tuple[str, bytes]]], None],
        on_row: Callable[[str, bytes], None],
        on_confirmed: Callable[[float], None],
    ) -> None:
        """Follow the topic until cancelled.

        :param on_snapshot: called with all rows after a full read.
        :param on_row: called with each later row.
        :param on_confirmed: called after each read with the time at which it
            was requested.
        """
        # After an error, only a full read passes over the record that caused it.
        self._end = None
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._confirm_when_wanted)
            await self._follow(on_snapshot, on_row, on_confirmed)

    async def _follow(
        self,
        on_snapshot: Callable[[list[tuple[str, bytes]]], None],
        on_row: Callable[[str, bytes], None],
        on_confirmed: Callable[[float], None],
    ) -> None:
        while True:
            requested_s = self._clock.monotonic_s()
            try:
                page = await self._read_again_if_cancelled()
            except (RecordsExpired, StoreRestored) as error:
                self._log_full_read(error, self._end)
                self._end = None
                continue
            except (LogUnavailable, CodecError) as error:
                await self._back_off(error)
                continue
            self._mark_connected(self._end)
            if self._end is None:
                on_snapshot(page.rows)
            else:
                _apply_rows(page.rows, on_row)
            self._end = page.end
            self._set_confirmed(requested_s)
            on_confirmed(requested_s)
            self._end_refresh()
            await self._pause()

    def _log_full_read(
        self, error: RecordsExpired | StoreRestored, at: int | None
    ) -> None:
        event = 'records_expired'
        if isinstance(error, StoreRestored):
            event = 'records_replaced'
        self._log.write(event, topic=self._topic, at=at, error=str(error))

    async def _pause(self) -> None:
        over = anyio.Event()
        self._pause_ended = over
        with anyio.move_on_after(self._timings.pause.total_seconds()):
            await over.wait()
        self._pause_ended = None

    def _end_refresh(self) -> None:
        if self._refreshed is not None:
            self._refreshed.set()
            self._refreshed = None

    async def _read_again_if_cancelled(self) -> Page:
        """Read from the current offset, also after ``_read_scope`` has ended it."""
        while True:
            self._read_scope = anyio.CancelScope()
            with self._read_scope:
                return await self._read(self._end)

    async def _read(self, start: int | None) -> Page:
        """Read from an offset, or read a full snapshot if it is None.

        After a failure, a read that the store holds would confirm nothing until
        it ends.
        """
        if start is None:
            return await self._reader.newest()
        wait_s = 0.0
        if self._is_connected:
            wait_s = self._timings.wait.total_seconds()
        return await self._reader.read(start, wait_s)

    async def _back_off(self, error: Exception) -> None:
        self._end_refresh()
        if self._is_connected:
            self._is_connected = False
            self._log.write(
                'store_lost',
                topic=self._topic,
                error=str(error),
            )
        await anyio.sleep(self._retry_s)
        self._retry_s = min(_MAX_RETRY_S, self._retry_s * 2)

    def _mark_connected(self, at: int | None) -> None:
        self._retry_s = _MIN_RETRY_S
        if not self._is_connected:
            self._is_connected = True
            self._log.write('store_regained', topic=self._topic, at=at)


def _apply_rows(
    rows: list[tuple[str, bytes]],
    on_row: Callable[[str, bytes], None],
) -> None:
    for key, content in rows:
        on_row(key, content)


class Decoders(NamedTuple):
    """Decoders of the topics' records; they raise CodecError."""

    configuration_key: str
    configuration: Callable[[bytes], Configuration]
    target: Callable[[str, bytes], TargetRecord]
    # Returns the zone whose evacuation a key names; None for other keys.
    evacuated_zone: Callable[[str], str | None]


@final
class RecordApplier:
    """Applies records of the store to this gateway's view of the cluster."""

    def __init__(
        self,
        cluster_state: ClusterState,
        decoders: Decoders,
        log: EventLog,
    ) -> None:
        """:param cluster_state: view of the cluster to update."""
        self._cluster_state = cluster_state
        self._decoders = decoders
        self._log = log

    def apply_configuration_row(self, key: str, content: bytes) -> None:
        """Apply a configuration, or the evacuation of a zone.

        What cannot be decoded is logged.
        """
        if key != self._decoders.configuration_key:
            zone = self._find_evacuated_zone(key)
            if zone is not None:
                self._cluster_state.update_evacuation(zone, bool(content))
        elif content:
            self._apply_configuration(content)

    def _apply_configuration(self, content: bytes) -> None:
        try:
            found = self._decoders.configuration(content)
        except CodecError as error:
            self._log.write('configuration_unreadable', error=str(error))
            return
        self._cluster_state.update_configuration(found)

    def _find_evacuated_zone(self, key: str) -> str | None:
        try:
            return self._decoders.evacuated_zone(key)
        except CodecError as error:
            self._log.write('evacuation_unreadable', key=key, error=str(error))
            return None

    def apply_configuration_snapshot(
        self,
        rows: list[tuple[str, bytes]],
    ) -> None:
        """Apply the configuration and the evacuations of a full read.

        The evacuations come first: a configuration makes this gateway ready.
        """
        zones = [
            self._find_evacuated_zone(key) for key, content in rows if content
        ]
        self._cluster_state.retain_evacuations(filter(None, zones))
        for key, content in rows:
            if key == self._decoders.configuration_key and content:
                self._apply_configuration(content)

    def apply_target_row(self, key: str, content: bytes) -> None:
        """Apply a target's record; remove the target if it is unreadable."""
        if not content:
            self._cluster_state.remove_target(key, 'deleted')
            return
        try:
            record = self._decoders.target(key, content)
        except CodecError as error:
            self._log.write(
                'target_record_unreadable',
                target=key,
                error=str(error),
            )
            self._cluster_state.remove_target(key, 'unreadable')
            return
        self._cluster_state.update_target(record)

    def apply_target_snapshot(self, rows: list[tuple[str, bytes]]) -> None:
        """Apply the targets of a full read and remove all others."""
        _apply_rows(rows, self.apply_target_row)
        self._cluster_state.retain_targets([row[0] for row in rows if row[1]])
