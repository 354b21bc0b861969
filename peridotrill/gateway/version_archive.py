"""Keeps the software versions that serve in the store.

After a restart of all gateways, only the store still knows of a version that
has left. The topic holds one record for each version of a service that is
registered, or was within the lifetime of a stream.
"""

from collections.abc import Callable
from datetime import timedelta
from typing import Final, Protocol, final

import anyio

from peridotrill.codec import check_text, decode_json, encode_json
from peridotrill.exceptions import (
    AppendOutcomeUnknown,
    CodecError,
    LogUnavailable,
)
from peridotrill.gateway.cluster_state import ClusterState
from peridotrill.gateway.event_log import EventSink
from peridotrill.gateway.store_follower import Page

# Versions change with releases only, so most steps do nothing.
STEP_INTERVAL: Final = timedelta(seconds=0.25)
# A gateway without the lease writes a version that is missing after this many
# steps; until then the coordinator is expected to.
_PATIENT_STEPS: Final = 4
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
        # Records in the store, as far as known: each names the generation of the
        # store in which it was written.
        self._saved: dict[str, bytes] = {}
        self._missing_steps = 0
        self._was_coordinator = False

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
        # Another coordinator may have deleted what this gateway has saved.
        is_new = is_coordinator and not self._was_coordinator
        if is_new or not self._history.is_complete:
            await self._load()
        self._was_coordinator = is_coordinator
        current = self._current_keys()
        is_missing = bool(self._missing(current))
        self._missing_steps = self._missing_steps + 1 if is_missing else 0
        if not is_coordinator and self._missing_steps > _PATIENT_STEPS:
            await self._load()
        if is_coordinator or self._missing_steps > _PATIENT_STEPS:
            for key in self._missing(current):
                await self._put(key, self._content)
        if is_coordinator:
            for key in self._saved.keys() - current:
                await self._put(key, b'')

    @property
    def _content(self) -> bytes:
        return b'%d' % self._topic.generation

    def _missing(self, current: set[str]) -> list[str]:
        """Return the keys that the store lacks.

        A store that was restored from an older copy may lack any of them.
        """
        return [key for key in current if self._saved.get(key) != self._content]

    async def _put(self, key: str, content: bytes) -> None:
        await self._topic.put(key, content)
        if content:
            self._saved[key] = content
        else:
            self._saved.pop(key, None)

    async def _load(self) -> None:
        """Add the archived versions to the history."""
        page = await self._topic.newest()
        rows = {key: content for key, content in page.rows if content}
        self._saved = rows
        for key in rows:
            self._see(key)
        if not self._history.is_complete:
            # Versions may be missing from the copy that was restored.
            is_trusted = set(rows.values()) == {self._content}
            if not is_trusted:
                self._history.distrust()
            self._history.is_complete = True
            self._log.write(
                'versions_loaded', versions=','.join(rows), trusted=is_trusted
            )

    def _see(self, key: str) -> None:
        try:
            service, version = map(check_text, decode_json(key))
        except (CodecError, TypeError, ValueError) as error:
            self._log.write('version_unreadable', key=key, error=str(error))
            return
        self._history.see(service, version)

    def _current_keys(self) -> set[str]:
        return {
            key.decode()
            for service in self._history.services()
            for version in self._history.recent(service)
            if len(key := encode_json((service, version))) <= _MAX_KEY_BYTES
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
