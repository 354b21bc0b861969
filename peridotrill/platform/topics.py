"""Keyed topics of the store, where the newest record of a key counts."""

from collections.abc import Callable
from typing import NamedTuple, final

from peridotrill.exceptions import CodecError
from peridotrill.platform.store import (
    StoreClient,
    decode_keyed_record,
    encode_keyed_record,
)


class KeyedPage(NamedTuple):
    """Rows of key and content; ``end`` is the offset of the next read."""

    rows: list[tuple[str, bytes]]
    end: int


@final
class KeyedTopic:
    """Partition 0 of one keyed topic, for one reader."""

    def __init__(
        self,
        store: StoreClient,
        topic: str,
        on_unreadable: Callable[[str], None],
    ) -> None:
        """:param topic: name of the topic in the store.

        :param on_unreadable: called with the error of each record that
            cannot be decoded.
        """
        self._store = store
        self._topic = topic
        self._on_unreadable = on_unreadable
        # Generation of the store at the last full read.
        self._read_generation = 0

    @property
    def generation(self) -> int:
        """Current generation of the store, as far as known."""
        return self._store.generation

    async def newest(self) -> KeyedPage:
        """Read the newest record of each key; raises LogUnavailable."""
        page = await self._store.newest(self._topic)
        self._read_generation = page.generation
        return KeyedPage(
            [(row.key, row.content) for row in page.records],
            page.end,
        )

    async def read(self, start: int, wait_s: float) -> KeyedPage:
        """Read from an offset; records that cannot be decoded are skipped.

        Raises LogUnavailable, RecordsExpired, or StoreRestored if the store
        was restored since the last full read.
        """
        page = await self._store.read(
            self._topic, start, wait_s, self._read_generation
        )
        rows: list[tuple[str, bytes]] = []
        for record in page.records:
            try:
                rows.append(decode_keyed_record(record))
            except CodecError as error:
                self._on_unreadable(str(error))
        return KeyedPage(rows, start + len(page.records))

    async def put(self, key: str, content: bytes) -> int:
        """Write a record; raises AppendOutcomeUnknown or LogUnavailable.

        :return: generation of the store that holds the record.
        """
        appended = await self._store.append(
            self._topic, [encode_keyed_record(key, content)]
        )
        return appended.generation
