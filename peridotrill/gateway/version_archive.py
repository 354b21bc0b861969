"""Keeps the software versions that serve in the store.

After a restart of all gateways, only the store still knows of a version that
has left. The topic holds one record for each version of a service that is
registered, or was within the lifetime of a stream.
"""

from collections.abc import Callable
from datetime import timedelta
from typing import Final, Protocol, final

import anyio

from peridotrill.exceptions import AppendOutcomeUnknown, LogUnavailable
from peridotrill.gateway.cluster_state import ClusterState
from peridotrill.gateway.event_log import EventSink
from peridotrill.gateway.store_follower import Page

# Versions change with releases only, so most steps do nothing.
STEP_INTERVAL: Final = timedelta(seconds=0.25)
# A gateway without the lease writes a version that is missing after this many
# steps; until then the coordinator is expected to.
_PATIENT_STEPS: Final = 4
_SEPARATOR: Final = '/'
# The longest key that the store accepts.
_MAX_KEY_BYTES: Final = 255


class VersionTopic(Protocol):
    """Topic of the store with a record for each version of a service."""

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
class VersionArchive:
    """Loads the versions that served before, and saves those that serve."""

    def __init__(
        self,
        cluster_state: ClusterState,
        topic: VersionTopic,
        log: EventSink,
    ) -> None:
        """:param cluster_state: holds the targets and their versions."""
        self._cluster_state = cluster_state
        self._history = cluster_state.versions
        self._topic = topic
        self._log = log
        # Keys in the store, and the generation of the store that holds them.
        self._saved: set[str] = set()
        self._generation = 0
        self._missing_steps = 0

    async def step(self, is_coordinator: bool) -> None:
        """Read the archive if it is needed, and write what it lacks.

        :param is_coordinator: whether this gateway holds the lease.
        """
        self._cluster_state.see_versions()
        try:
            await self._step(is_coordinator)
        except (AppendOutcomeUnknown, LogUnavailable) as error:
            self._log.write('versions_not_archived', error=str(error))

    async def _step(self, is_coordinator: bool) -> None:
        if not self._history.is_complete:
            await self._load()
        if self._generation != self._topic.generation:
            # The store was restored, perhaps from a copy without some records.
            self._generation = self._topic.generation
            self._saved.clear()
        current = self._current_keys()
        missing = current - self._saved
        self._missing_steps = self._missing_steps + 1 if missing else 0
        if is_coordinator or self._missing_steps > _PATIENT_STEPS:
            if not is_coordinator:
                await self._load()
            for key in current - self._saved:
                await self._write(key)
        if is_coordinator:
            for key in self._saved - current:
                await self._topic.put(key, b'')
                self._saved.discard(key)

    async def _write(self, key: str) -> None:
        content = b'%d' % self._topic.generation
        self._generation = await self._topic.put(key, content)
        self._saved.add(key)

    async def _load(self) -> None:
        """Add the archived versions to the history."""
        page = await self._topic.newest()
        generation = self._topic.generation
        rows = {key: content for key, content in page.rows if content}
        self._saved, self._generation = set(rows), generation
        for key in rows:
            service, _, version = key.partition(_SEPARATOR)
            self._history.see(service, version)
        if not self._history.is_complete:
            is_current = all(
                content == b'%d' % generation for content in rows.values()
            )
            if not rows or not is_current:
                # Versions may be missing from the copy that was restored.
                self._history.distrust()
            self._history.is_complete = True
            self._log.write(
                'versions_loaded', versions=','.join(rows), trusted=is_current
            )

    def _current_keys(self) -> set[str]:
        return {
            key
            for service in self._history.services()
            for version in self._history.recent(service)
            if len(key := f'{service}{_SEPARATOR}{version}') <= _MAX_KEY_BYTES
        }


async def keep_versions(
    archive: VersionArchive, holds_lease: Callable[[], bool]
) -> None:
    """Keep the archive until cancelled.

    :param holds_lease: returns whether this gateway is the coordinator.
    """
    while True:
        await archive.step(holds_lease())
        await anyio.sleep(STEP_INTERVAL.total_seconds())
