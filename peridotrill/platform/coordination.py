"""Coordination log of the gateways, kept in a topic of the store."""

from typing import final

from peridotrill.platform.names import LEASE_TOPIC
from peridotrill.platform.store import AppendResult, StoreClient, StorePage


@final
class CoordinationTopic:
    """Partition 0 of the topic that holds leases and usage."""

    def __init__(self, store: StoreClient) -> None:
        """:param store: the platform's store."""
        self._store = store

    async def read(self, start: int, generation: int | None) -> StorePage:
        """Read from an offset of a generation of the store.

        Raises LogUnavailable, RecordsExpired, StoreRestored.
        """
        return await self._store.read(LEASE_TOPIC, start, 0, generation)

    async def append(
        self, record: bytes, at: int, generation: int | None
    ) -> AppendResult:
        """Append at an offset of a generation of the store.

        Raises LogUnavailable, AppendOutcomeUnknown, StoreRestored.
        """
        return await self._store.append(LEASE_TOPIC, [record], at, generation)
