"""Registration of an entry in the log, and its share of the limits."""

from datetime import timedelta
from typing import Any, Final, Protocol, final

import anyio

from peridotrill.clock import Clock
from peridotrill.control_state import ControlState, EntryState
from peridotrill.exceptions import LogError
from peridotrill.records import (
    EntryExpired,
    EntryLeft,
    EntryRegistered,
    EntryRenewed,
)
from peridotrill.timeline import Recorder

RENEW_INTERVAL: Final = timedelta(seconds=10)
EXPIRE_AFTER: Final = timedelta(seconds=30)
# Longer than STALE_AFTER of the entry, so that each other entry has applied
# the new number of entries or refuses keyed requests.
SHARE_DELAY: Final = timedelta(seconds=6)
_RETRY_PAUSE: Final = timedelta(milliseconds=500)


class Appender(Protocol):
    """The part of the log client that registrations use."""

    async def append(self, record: Any) -> int:
        """Append one record and return its offset."""


@final
class Registration:
    """One process's registration as an entry."""

    def __init__(
        self,
        entry: tuple[str, str, str],
        state: ControlState,
        log: Appender,
        clock: Clock,
        recorder: Recorder,
    ) -> None:
        """:param entry: id of the entry, incarnation, availability zone."""
        self.entry_id, self.incarnation, self._zone = entry
        self._state = state
        self._log = log
        self._clock = clock
        self._recorder = recorder
        self._share_from_s: float | None = None

    @property
    def is_current(self) -> bool:
        """Tell whether the log has this process as the entry."""
        known = self._state.entries.get(self.entry_id)
        return known is not None and known.incarnation == self.incarnation

    @property
    def is_replaced(self) -> bool:
        """Tell whether the log had this process and no longer has it."""
        return self._share_from_s is not None and not self.is_current

    @property
    def has_share(self) -> bool:
        """Tell whether this entry may spend its share of the limits."""
        if self._share_from_s is None or not self.is_current:
            return False
        return self._clock.monotonic_s() >= self._share_from_s

    def share(self) -> tuple[int, int]:
        """Return the number of entries and the position of this one."""
        entries = list(self._state.entries)
        position = 0
        if self.entry_id in entries:
            position = entries.index(self.entry_id)
        return max(1, len(entries)), position

    def observe(self) -> None:
        """Take over the control state; call it after each change."""
        if self._share_from_s is None and self.is_current:
            replaces = any(
                lost.entry_id == self.entry_id for lost in self._state.lost
            )
            is_alone = len(self._state.entries) == 1 and not replaces
            wait_s = 0 if is_alone else SHARE_DELAY.total_seconds()
            self._share_from_s = self._clock.monotonic_s() + wait_s

    async def register(self) -> None:
        """Append the registration until the log shows it."""
        record = EntryRegistered(
            kind='entry_registered',
            entry_id=self.entry_id,
            incarnation=self.incarnation,
            zone=self._zone,
        )
        while not self.is_current:
            await self._append(record)
            await anyio.sleep(_RETRY_PAUSE.total_seconds())

    async def renew(self) -> None:
        """Renew the registration until cancelled."""
        while True:
            await anyio.sleep(RENEW_INTERVAL.total_seconds())
            await self._append(
                EntryRenewed(
                    kind='entry_renewed',
                    entry_id=self.entry_id,
                    incarnation=self.incarnation,
                ),
            )

    async def leave(self) -> bool:
        """Append that this entry has finished; gives up after two tries.

        :return: whether it was appended.
        """
        record = EntryLeft(
            kind='entry_left',
            entry_id=self.entry_id,
            incarnation=self.incarnation,
        )
        if await self._append(record):
            return True
        await anyio.sleep(_RETRY_PAUSE.total_seconds())
        return await self._append(record)

    async def expire_others(
        self,
        live_entries: frozenset[str],
        now_s: float,
    ) -> None:
        """Append that entries which are gone have expired.

        :param live_entries: ids of the entries on the VM list.
        :param now_s: the platform's time.
        """
        for entry in self._expired(live_entries, now_s):
            await self._append(
                EntryExpired(
                    kind='entry_expired',
                    entry_id=entry.entry_id,
                    incarnation=entry.incarnation,
                ),
            )

    def _expired(
        self,
        live_entries: frozenset[str],
        now_s: float,
    ) -> list[EntryState]:
        limit_s = now_s - EXPIRE_AFTER.total_seconds()
        return [
            entry
            for entry in self._state.entries.values()
            if entry.renewed_at_s < limit_s
            and entry.entry_id not in live_entries
            and entry.entry_id != self.entry_id
        ]

    async def _append(self, record: Any) -> bool:
        try:
            await self._log.append(record)
        except LogError as error:
            self._recorder.emit(
                'registration_failed',
                record=record['kind'],
                detail=str(error),
            )
            return False
        return True
