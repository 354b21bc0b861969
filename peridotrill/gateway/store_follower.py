"""Follows the store: configuration, targets and members of the system."""

from collections.abc import Callable
from datetime import timedelta
from typing import Final, NamedTuple, Protocol, final

import anyio

from peridotrill.clock import Clock
from peridotrill.exceptions import (
    CodecError,
    LogUnavailable,
    RecordsExpired,
)
from peridotrill.gateway.cluster_state import ClusterState
from peridotrill.gateway.configuration import Configuration
from peridotrill.gateway.event_log import EventLog
from peridotrill.gateway.targets import TargetRecord

_MIN_RETRY_S: Final = 0.1
# Bounds the calls of a process whose store is away, and the delay until it
# is found again.
_MAX_RETRY_S: Final = 0.5
# How long a request waits for a reading that was brought forward; the store
# answers within some milliseconds if it has news.
_REFRESH_LIMIT_S: Final = 0.05


class Page(Protocol):
    """Records of a keyed topic; ``end`` is where to read on."""

    @property
    def rows(self) -> list[tuple[str, bytes]]:
        """Key and content of each record; empty content drops the key."""

    @property
    def end(self) -> int:
        """Offset after the last record."""


class KeyedReader(Protocol):
    """One topic of which only the newest record of each key counts."""

    async def newest(self) -> Page:
        """Read the newest records; raises LogUnavailable."""

    async def read(self, start: int, wait_s: float) -> Page:
        """Read on; raises LogUnavailable, RecordsExpired, CodecError."""


class FollowTimes(NamedTuple):
    """Times of one follower.

    ``wait`` is how long the store holds a read without news, ``pause`` the
    least time between two reads, so that frequent records are read together.
    """

    wait: timedelta
    pause: timedelta


@final
class TopicFollower:
    """Reads a keyed topic for as long as the process runs."""

    def __init__(  # noqa: WPS211
        self,
        topic: str,
        reader: KeyedReader,
        times: FollowTimes,
        clock: Clock,
        log: EventLog,
    ) -> None:
        """:param topic: name for log lines."""
        self._topic = topic
        self._reader = reader
        self._times = times
        self._clock = clock
        self._log = log
        self._is_connected = True
        self._retry_s = _MIN_RETRY_S
        # Ends the present pause; None while there is none.
        self._pause_over: anyio.Event | None = None
        # Set when a reading that was brought forward is done; None if there
        # is none that brings news soon.
        self._refreshed: anyio.Event | None = None

    async def refresh(self) -> None:
        """Read now instead of after the pause, and wait for news shortly.

        Returns at once while the store holds a read: it answers as soon as
        there are records.
        """
        if self._pause_over is not None:
            self._pause_over.set()
            self._pause_over = None
            self._refreshed = anyio.Event()
        refreshed = self._refreshed
        if refreshed is None:
            return
        with anyio.move_on_after(_REFRESH_LIMIT_S):
            await refreshed.wait()
        self._refreshed = None

    async def run(
        self,
        on_listing: Callable[[list[tuple[str, bytes]]], None],
        on_row: Callable[[str, bytes], None],
        on_confirmed: Callable[[float], None],
    ) -> None:
        """Follow the topic.

        :param on_listing: called with all rows after a full reading.
        :param on_row: called with each later row.
        :param on_confirmed: called with the time of each complete reading.
        """
        end: int | None = None
        while True:
            asked_s = self._clock.monotonic_s()
            try:
                page = await self._read(end)
            except RecordsExpired:
                self._log.write('records_expired', topic=self._topic, at=end)
                end = None
                continue
            except (LogUnavailable, CodecError) as error:
                await self._wait_after(error)
                continue
            self._note_connected()
            if end is None:
                on_listing(page.rows)
            else:
                _pass_rows(page.rows, on_row)
            end = page.end
            on_confirmed(asked_s)
            self._end_refresh()
            await self._pause()

    async def _pause(self) -> None:
        over = anyio.Event()
        self._pause_over = over
        with anyio.move_on_after(self._times.pause.total_seconds()):
            await over.wait()
        self._pause_over = None

    def _end_refresh(self) -> None:
        if self._refreshed is not None:
            self._refreshed.set()
            self._refreshed = None

    async def _read(self, start: int | None) -> Page:
        """Read on, or read everything if no offset is known."""
        if start is None:
            return await self._reader.newest()
        wait_s = self._times.wait.total_seconds()
        return await self._reader.read(start, wait_s)

    async def _wait_after(self, error: Exception) -> None:
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

    def _note_connected(self) -> None:
        self._retry_s = _MIN_RETRY_S
        if not self._is_connected:
            self._is_connected = True
            self._log.write('store_regained', topic=self._topic)


def _pass_rows(
    rows: list[tuple[str, bytes]],
    on_row: Callable[[str, bytes], None],
) -> None:
    for key, content in rows:
        on_row(key, content)


class Decoders(NamedTuple):
    """Decode records of the topics; raise CodecError."""

    configuration_key: str
    configuration: Callable[[bytes], Configuration]
    target: Callable[[str, bytes], TargetRecord]


@final
class BeliefUpdater:
    """Applies records to the cluster state."""

    def __init__(
        self,
        cluster_state: ClusterState,
        decoders: Decoders,
        log: EventLog,
    ) -> None:
        """:param cluster_state: is kept up to date."""
        self._cluster_state = cluster_state
        self._decoders = decoders
        self._log = log

    def apply_configuration_row(self, key: str, content: bytes) -> None:
        """Adopt a configuration; one that cannot be read is logged."""
        if key != self._decoders.configuration_key or not content:
            return
        try:
            found = self._decoders.configuration(content)
        except CodecError as error:
            self._log.write('configuration_unreadable', error=str(error))
            return
        self._cluster_state.update_configuration(found)

    def apply_configuration_listing(
        self,
        rows: list[tuple[str, bytes]],
    ) -> None:
        """Adopt the configuration of a full reading."""
        for key, content in rows:
            self.apply_configuration_row(key, content)

    def apply_target_row(self, key: str, content: bytes) -> None:
        """Adopt a target's record; an unreadable one names no target."""
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

    def apply_target_listing(self, rows: list[tuple[str, bytes]]) -> None:
        """Adopt a full reading; targets that it lacks are removed."""
        _pass_rows(rows, self.apply_target_row)
        self._cluster_state.retain_targets([row[0] for row in rows if row[1]])
