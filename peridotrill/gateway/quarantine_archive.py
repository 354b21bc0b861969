"""Keeps the quarantined prompt parts in the store.

Gateways that start learn of them from their peers; after a restart of all
gateways only the store still has them.
"""

from datetime import timedelta
from typing import Final, Protocol, final

import anyio
import msgspec

from peridotrill.clock import Clock
from peridotrill.exceptions import AppendOutcomeUnknown, LogUnavailable
from peridotrill.gateway.cluster_clock import ClusterClock
from peridotrill.gateway.event_log import EventSink
from peridotrill.gateway.store_follower import Page
from peridotrill.prompt_quarantine import PromptQuarantine
from peridotrill.target_crashes import Exposure, TargetCrash

# The archive is written only after changes, which follow crashes.
SAVE_INTERVAL: Final = timedelta(seconds=1)
# Delay between attempts to read an unreachable store.
_LOAD_RETRY: Final = timedelta(seconds=0.5)
# Below the record limit of the store, which is 256 KiB including the key.
_MAX_SNAPSHOT_BYTES: Final = 200 * 1024
SNAPSHOT_KEY: Final = 'parts'


class _SavedCrash(msgspec.Struct, array_like=True, frozen=True):
    """A request at a crash, with Unix times."""

    process: str
    ended_unix_s: float
    alive_unix_s: float
    parts: tuple[str, ...]


_decoder: Final = msgspec.msgpack.Decoder(list[_SavedCrash])


class QuarantineTopic(Protocol):
    """Topic of the store that holds the newest snapshot."""

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
class QuarantineArchive:
    """Loads the quarantined parts, and saves them at the coordinator."""

    def __init__(
        self,
        quarantine: PromptQuarantine,
        topic: QuarantineTopic,
        cluster_clock: ClusterClock,
        clock: Clock,
        log: EventSink,
    ) -> None:
        """:param cluster_clock: dates crashes across restarts."""
        self._quarantine = quarantine
        self._topic = topic
        self._cluster_clock = cluster_clock
        self._clock = clock
        self._log = log
        # Processes and parts of the last snapshot.
        self._saved: set[tuple[str, tuple[str, ...]]] = set()
        # Generation of the store that holds it; None before the first write.
        self._saved_generation: int | None = None

    async def load(self) -> None:
        """Apply the saved crashes; repeat until the store can be read."""
        while True:
            try:
                page = await self._topic.newest()
            except LogUnavailable as error:
                self._log.write('quarantine_not_loaded', error=str(error))
                await anyio.sleep(_LOAD_RETRY.total_seconds())
                continue
            for _, content in page.rows:
                self._apply(content)
            return

    async def save(self) -> None:
        """Write the quarantined parts if they changed."""
        offset_s = self._offset_s()
        rows = [
            _SavedCrash(
                crash.process,
                crash.ended_s + offset_s,
                exposure.alive_s + offset_s,
                exposure.parts,
            )
            for crash in self._quarantine.quarantined_crashes()
            for exposure in crash.exposures
        ]
        current = {(row.process, row.parts) for row in rows}
        is_kept = self._saved_generation in {None, self._topic.generation}
        if current == self._saved and is_kept:
            return
        content = msgspec.msgpack.encode(rows)
        if len(content) > _MAX_SNAPSHOT_BYTES:
            self._log.write('quarantine_not_saved', size=len(content))
            return
        try:
            generation = await self._topic.put(SNAPSHOT_KEY, content)
        except (AppendOutcomeUnknown, LogUnavailable) as error:
            self._log.write('quarantine_not_saved', error=str(error))
            return
        self._saved, self._saved_generation = current, generation

    def _apply(self, content: bytes) -> None:
        try:
            rows = _decoder.decode(content)
        except (msgspec.DecodeError, RecursionError) as error:
            self._log.write('quarantine_not_loaded', error=str(error))
            return
        offset_s = self._offset_s()
        for row in rows:
            exposure = Exposure(row.parts, row.alive_unix_s - offset_s)
            self._quarantine.record_crash(
                TargetCrash(
                    row.process, row.ended_unix_s - offset_s, (exposure,)
                )
            )

    def _offset_s(self) -> float:
        return self._cluster_clock.unix_s() - self._clock.monotonic_s()
