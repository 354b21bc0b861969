"""Registration of an entry in the log, and its share of the rate limits."""

import hashlib
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
# Maximum rate of renewals of all entries together, because every entry reads
# every renewal.
RENEWALS_PER_S: Final = 4
_MAX_MISSED_RENEWALS: Final = 3
# Longer than the log age at which an entry refuses keyed requests. After this
# delay every other entry has applied the new number of entries or refuses
# keyed requests.
SHARE_DELAY: Final = timedelta(seconds=6)
# Time that each entry in the ranking has to append an expiry before the next
# one does.
_EXPIRY_TURN: Final = timedelta(seconds=5)
_RETRY_DELAY: Final = timedelta(milliseconds=500)


def renew_interval_s(entries: int) -> float:
    """Return the time between two renewals of an entry.

    :param entries: number of registered entries.
    """
    return max(RENEW_INTERVAL.total_seconds(), entries / RENEWALS_PER_S)


def expiry_rank(incarnation: str, entry_id: str) -> bytes:
    """Return the sort key that ranks entries for appending an expiry.

    :param incarnation: incarnation of the expired entry.
    :param entry_id: id of an entry that may append the expiry.
    """
    return hashlib.sha256(f'{incarnation} {entry_id}'.encode()).digest()


class Appender(Protocol):
    """The part of the log client that registrations use."""

    async def append(self, record: Any) -> int:
        """Append one record and return its offset."""


@final
class Registration:
    """Registration of this process as an entry."""

    def __init__(
        self,
        entry: tuple[str, str, str],
        state: ControlState,
        log: Appender,
        clock: Clock,
        recorder: Recorder,
    ) -> None:
        """:param entry: entry id, incarnation and availability zone."""
        self.entry_id, self.incarnation, self._zone = entry
        self._state = state
        self._log = log
        self._clock = clock
        self._recorder = recorder
        self._share_valid_from_s: float | None = None

    @property
    def is_current(self) -> bool:
        """Return whether this process is registered as the entry."""
        current = self._state.entries.get(self.entry_id)
        return current is not None and current.incarnation == self.incarnation

    @property
    def is_replaced(self) -> bool:
        """Return whether this process was registered but no longer is."""
        return self._share_valid_from_s is not None and not self.is_current

    @property
    def has_share(self) -> bool:
        """Return whether this entry may use its share of the rate limits."""
        if self._share_valid_from_s is None or not self.is_current:
            return False
        return self._clock.monotonic_s() >= self._share_valid_from_s

    def share(self) -> tuple[int, int]:
        """Return the number of entries and the index of this one."""
        entries = list(self._state.entries)
        position = 0
        if self.entry_id in entries:
            position = entries.index(self.entry_id)
        return max(1, len(entries)), position

    def update_from_state(self) -> None:
        """Update from the control state; call it after each change."""
        if self._share_valid_from_s is None and self.is_current:
            replaces = any(
                lost.entry_id == self.entry_id for lost in self._state.lost
            )
            is_alone = len(self._state.entries) == 1 and not replaces
            wait_s = 0 if is_alone else SHARE_DELAY.total_seconds()
            self._share_valid_from_s = self._clock.monotonic_s() + wait_s

    async def register(self) -> None:
        """Append the registration until it is read back from the log."""
        record = EntryRegistered(
            kind='entry_registered',
            entry_id=self.entry_id,
            incarnation=self.incarnation,
            zone=self._zone,
        )
        while not self.is_current:
            await self._append(record)
            await anyio.sleep(_RETRY_DELAY.total_seconds())

    async def renew(self) -> None:
        """Renew the registration periodically until cancelled."""
        while True:
            await anyio.sleep(renew_interval_s(len(self._state.entries)))
            await self._append(
                EntryRenewed(
                    kind='entry_renewed',
                    entry_id=self.entry_id,
                    incarnation=self.incarnation,
                ),
            )

    async def leave(self) -> bool:
        """Append that this entry has left, with one retry.

        :return: whether the record was appended.
        """
        record = EntryLeft(
            kind='entry_left',
            entry_id=self.entry_id,
            incarnation=self.incarnation,
        )
        if await self._append(record):
            return True
        await anyio.sleep(_RETRY_DELAY.total_seconds())
        return await self._append(record)

    async def expire_others(
        self,
        live_entries: frozenset[str],
        now_s: float,
    ) -> None:
        """Append expiries of other entries that stopped renewing.

        :param live_entries: ids of the entries on the VM list.
        :param now_s: platform time.
        """
        for entry in self._find_expired(live_entries, now_s):
            await self._append(
                EntryExpired(
                    kind='entry_expired',
                    entry_id=entry.entry_id,
                    incarnation=entry.incarnation,
                ),
            )

    def _find_expired(
        self,
        live_entries: frozenset[str],
        now_s: float,
    ) -> list[EntryState]:
        expiry_timeout_s = _MAX_MISSED_RENEWALS * renew_interval_s(
            len(self._state.entries)
        )
        lost = [
            entry
            for entry in self._state.entries.values()
            if entry.renewed_at_s < now_s - expiry_timeout_s
            and entry.entry_id not in live_entries
            and entry.entry_id != self.entry_id
        ]
        return [
            entry
            for entry in lost
            if self._may_append_expiry(entry, lost, now_s)
        ]

    def _may_append_expiry(
        self,
        entry: EntryState,
        lost: list[EntryState],
        now_s: float,
    ) -> bool:
        """Return whether it is this entry's turn to append an expiry.

        The first entry in the ranking appends it; the others take their
        turns only if it is still missing, so that the loss of a zone does
        not flood the log.
        """
        ranked_ids = sorted(
            self._state.entries.keys() - {gone.entry_id for gone in lost},
            key=lambda name: expiry_rank(entry.incarnation, name),
        )
        interval_s = renew_interval_s(len(self._state.entries))
        overdue_s = (
            now_s - entry.renewed_at_s - _MAX_MISSED_RENEWALS * interval_s
        )
        if self.entry_id not in ranked_ids:
            return False
        turn_delay_s = (
            ranked_ids.index(self.entry_id) * _EXPIRY_TURN.total_seconds()
        )
        return overdue_s >= turn_delay_s

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
