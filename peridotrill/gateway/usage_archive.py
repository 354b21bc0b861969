"""Saves the usage counts of all gateways in the store.

A new coordinator loads them, also after all gateways failed at once, and so
includes the counts of processes that no longer run. While nobody is coordinator,
as during a restart of all gateways, a process that ends saves its own counts.
"""

from datetime import timedelta
from typing import Final, Protocol, final

import msgspec

from peridotrill.exceptions import (
    AppendOutcomeUnknown,
    CodecError,
    LogUnavailable,
)
from peridotrill.gateway.event_log import EventLog
from peridotrill.gateway.store_follower import Page
from peridotrill.gateway.usage_counts import Counts, UsageCounts

# If all gateways stop at once, at most the counts of this time are lost. Each
# save is one call to the store.
SAVE_INTERVAL: Final = timedelta(seconds=0.5)
# Below the record limit of the store, which is 256 KiB including the key.
_MAX_SNAPSHOT_BYTES: Final = 200 * 1024
SNAPSHOT_KEY: Final = 'counts'
_LAST_KEY_PREFIX: Final = 'last/'

_decoder: Final = msgspec.msgpack.Decoder(dict[str, Counts])


class UsageTopic(Protocol):
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
class UsageArchive:
    """Loads and saves usage counts on behalf of the coordinator."""

    def __init__(
        self,
        process: str,
        counts: UsageCounts,
        topic: UsageTopic,
        log: EventLog,
    ) -> None:
        """:param process: name of this process in reports."""
        self._process = process
        self._counts = counts
        self._topic = topic
        self._log = log
        self._saved = b''
        self._saved_generation = 0
        # Records of ended processes whose counts were merged.
        self._merged_keys: set[str] = set()

    async def load(self) -> bool:
        """Merge the saved counts; return whether they could be read."""
        try:
            page = await self._topic.newest()
            for key, content in page.rows:
                if not content:
                    continue
                self._counts.merge(decode_snapshot(content), self._process)
                if key != SNAPSHOT_KEY:
                    self._merged_keys.add(key)
        except (LogUnavailable, CodecError) as error:
            self._log.write('usage_not_loaded', error=str(error))
            return False
        return True

    async def save(self) -> None:
        """Write the counts if they changed; call this every SAVE_INTERVAL."""
        snapshot = self._counts.snapshot(self._process)
        content = msgspec.msgpack.encode(snapshot)
        if (content, self._topic.generation) == (
            self._saved,
            self._saved_generation,
        ):
            return
        if len(content) > _MAX_SNAPSHOT_BYTES:
            self._log.write('usage_not_saved', size=len(content))
            return
        try:
            generation = await self._topic.put(SNAPSHOT_KEY, content)
        except (AppendOutcomeUnknown, LogUnavailable) as error:
            self._log.write('usage_not_saved', error=str(error))
            return
        self._saved, self._saved_generation = content, generation
        await self._delete_merged()

    async def _delete_merged(self) -> None:
        """Delete the records of ended processes that the snapshot includes."""
        try:
            while self._merged_keys:
                await self._topic.put(min(self._merged_keys), b'')
                self._merged_keys.remove(min(self._merged_keys))
        except (AppendOutcomeUnknown, LogUnavailable) as error:
            self._log.write('usage_not_deleted', error=str(error))

    async def save_last(self) -> None:
        """Write the final counts of this process, which ends.

        They have a record of their own until the next coordinator has saved them.
        """
        counts = {self._process: self._counts.local_totals()}
        try:
            await self._topic.put(
                f'{_LAST_KEY_PREFIX}{self._process}',
                msgspec.msgpack.encode(counts),
            )
        except (AppendOutcomeUnknown, LogUnavailable) as error:
            self._log.write('usage_not_saved', error=str(error))


def decode_snapshot(content: bytes) -> dict[str, Counts]:
    """Decode a record of the topic; raises CodecError."""
    try:
        return _decoder.decode(content)
    except (msgspec.DecodeError, RecursionError) as error:
        raise CodecError(str(error)) from error
