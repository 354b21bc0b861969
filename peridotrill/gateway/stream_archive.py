"""Keeps the origins of streams in the store while several versions serve.

After a restart of all gateways, only the store can still tell which software
version began a stream that a caller takes up. One append for each stream would
be more than the store carries, so the coordinator appends those of all
gateways together, a few times per second.
"""

from datetime import timedelta
from itertools import islice
from typing import Final, Protocol, final

import msgspec

from peridotrill.clock import Clock
from peridotrill.exceptions import AppendOutcomeUnknown, LogUnavailable
from peridotrill.gateway.cluster_clock import ClusterClock
from peridotrill.gateway.event_log import EventSink
from peridotrill.gateway.store_follower import Page
from peridotrill.gateway.stream_origins import (
    STREAM_LIFETIME,
    BegunStreams,
    StreamOrigin,
    StreamOrigins,
    group_by_origin,
)
from peridotrill.gateway.version_history import VersionHistory

# Streams that began within this time of a loss of all gateways may be missing.
# Much shorter than streams last under load; five calls a second at most,
# whatever the number of gateways.
SAVE_INTERVAL: Final = timedelta(seconds=0.2)
# Each record has one of these keys in turn, so that a record is overwritten when
# its streams have ended.
_KEYS: Final = 2 * (STREAM_LIFETIME // SAVE_INTERVAL)
# A record stays below the limit of the store, which is 256 KiB: a digest takes
# up to nine bytes.
_STREAMS_PER_RECORD: Final = 20_000
# A gateway that starts is asked for many streams at once.
_MIN_READ_INTERVAL_S: Final = 0.5

_decoder: Final = msgspec.msgpack.Decoder(list[BegunStreams])


class StreamTopic(Protocol):
    """Topic of the store with batches of streams."""

    @property
    def generation(self) -> int:
        """Current generation of the store, as far as known."""

    async def newest(self) -> Page:
        """Read the newest records; raises LogUnavailable."""

    async def put(self, key: str, content: bytes) -> int:
        """Write a record; raises AppendOutcomeUnknown or LogUnavailable.

        :return: generation of the store that holds the record.
        """


@final
class StreamArchive:
    """Saves the streams of all gateways, and loads those of before a restart."""

    def __init__(
        self,
        origins: StreamOrigins,
        versions: VersionHistory,
        topic: StreamTopic,
        cluster_clock: ClusterClock,
        clock: Clock,
        log: EventSink,
    ) -> None:
        """:param versions: tells which services run several versions.

        :param cluster_clock: lets coordinators in succession use the keys in turn.
        """
        self._origins = origins
        self._versions = versions
        self._topic = topic
        self._cluster_clock = cluster_clock
        self._clock = clock
        self._log = log
        # By service, the time until which its streams are in the store.
        self._saved_until_s: dict[str, float] = {}
        self._saved_generation: int | None = None
        self._sequence = 0
        self._is_loading = False
        self._loaded_s = float('-inf')

    async def save(self, is_writer: bool) -> None:
        """Write the streams that the store lacks, if it needs them.

        :param is_writer: whether this gateway writes for all of them.
        """
        services = self._mixed_services() if is_writer else set()
        for unmixed in self._saved_until_s.keys() - services:
            self._saved_until_s.pop(unmixed)
        if not services:
            return
        if self._saved_generation != self._topic.generation:
            self._saved_until_s.clear()
        now_s = self._clock.monotonic_s()
        unsaved = iter(self._unsaved(services))
        try:
            while batch := list(islice(unsaved, _STREAMS_PER_RECORD)):
                await self._put(batch)
        except (AppendOutcomeUnknown, LogUnavailable) as error:
            self._log.write('streams_not_archived', error=str(error))
        else:
            self._saved_until_s = dict.fromkeys(services, now_s)

    async def load(self) -> None:
        """Read the streams of before, unless that was just done."""
        age_s = self._clock.monotonic_s() - self._loaded_s
        if self._is_loading or age_s < _MIN_READ_INTERVAL_S:
            return
        self._is_loading = True
        try:
            page = await self._topic.newest()
        except LogUnavailable as error:
            self._log.write('streams_not_loaded', error=str(error))
            return
        finally:
            self._is_loading = False
            self._loaded_s = self._clock.monotonic_s()
        found = sum(self._apply(content) for _, content in page.rows if content)
        self._log.write('streams_loaded', streams=found)

    def _mixed_services(self) -> set[str]:
        """Return the services whose streams more than one version may write."""
        return {
            service
            for service in self._versions.services()
            if self._versions.is_mixed(service)
        }

    def _unsaved(self, services: set[str]) -> list[tuple[int, StreamOrigin]]:
        saved_until_s = {
            service: self._saved_until_s.get(service, float('-inf'))
            for service in services
        }
        return [
            (digest, entry.origin)
            for digest, entry in self._origins.recorded_since(
                min(saved_until_s.values())
            )
            if entry.origin is not None
            and entry.origin.service in services
            and entry.recorded_s >= saved_until_s[entry.origin.service]
        ]

    async def _put(self, batch: list[tuple[int, StreamOrigin]]) -> None:
        turn = int(self._cluster_clock.unix_s() / SAVE_INTERVAL.total_seconds())
        self._sequence = max(self._sequence + 1, turn)
        self._saved_generation = await self._topic.put(
            str(self._sequence % _KEYS),
            msgspec.msgpack.encode(group_by_origin(batch)),
        )
        self._log.write('streams_archived', streams=len(batch))

    def _apply(self, content: bytes) -> int:
        """Add the streams of a record; return their number."""
        try:
            rows = _decoder.decode(content)
        except (msgspec.DecodeError, RecursionError) as error:
            self._log.write('streams_not_loaded', error=str(error))
            return 0
        self._origins.observe_peer(rows)
        return sum(len(row.digests) for row in rows)
