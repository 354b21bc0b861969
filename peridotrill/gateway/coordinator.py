"""Elects one gateway as coordinator, with a lease on an append-only log.

Every record is appended conditionally, at the offset where its writer
expects the log to end. The holder renews the lease by appending; an append
by any other process makes the holder's next one fail. A candidate claims the
lease only if it has seen no new record for the whole lease duration,
measured on its own monotonic clock. A holder stops acting one lease duration
after it sent its last renewal. Leases therefore never overlap, even though
the clocks are not synchronised. A holder that ends stops acting and then
appends that it releases the lease, which the next record may claim at once.

If the store is restored from an older copy, the record of the lease in force
may be lost and offsets are given out again. Every process then waits for the
whole lease duration from when it noticed the restore. The holder, whose last
renewal was earlier, may renew in the restored log while its lease is valid.
A release counts only in the generation in which it was written: the claim that
followed it may be lost.
"""

import secrets
from collections.abc import Mapping
from datetime import timedelta
from typing import Any, Final, NamedTuple, Protocol, final

from peridotrill.clock import MAX_CLOCK_DRIFT_RATIO, Clock
from peridotrill.codec import decode_json, encode_json
from peridotrill.exceptions import (
    AppendOutcomeUnknown,
    CodecError,
    LogUnavailable,
    RecordsExpired,
    StoreRestored,
)
from peridotrill.gateway.event_log import EventLog

# Time between two calls of ``Coordinator.step``; well below the time between
# two renewals.
STEP_INTERVAL: Final = timedelta(milliseconds=250)
# Raised while decoding a malformed record.
_DECODE_ERRORS: Final = (CodecError, LookupError, TypeError, ValueError)
# An append whose response was lost may have taken effect, so that the next
# append finds a record of this process at its offset and is sent once more.
_MAX_APPEND_ATTEMPTS: Final = 2
# Two consecutive renewals may fail before the lease expires.
_RENEWALS_PER_TTL: Final = 3
# Committed usage windows kept so that a new holder can report them again.
_MAX_COMMITTED_WINDOWS: Final = 8
# Errors of the log after which a step is repeated.
_LOG_ERRORS: Final = (LogUnavailable, AppendOutcomeUnknown, RecordsExpired)
# A log in a later generation of the store may have lost its leases.
_FIRST_GENERATION: Final = 1
# Fencing numbers of a generation; more than a log has records.
_FENCES_PER_GENERATION: Final = 2**32


class AppendOutcome(Protocol):
    """Result of a conditional append."""

    @property
    def appended(self) -> bool:
        """Whether the record was appended."""

    @property
    def offset(self) -> int:
        """Offset of the record, or the end of the log if it was rejected."""


class LogPage(Protocol):
    """Records returned by one read."""

    @property
    def records(self) -> list[bytes]:
        """The records in log order."""

    @property
    def generation(self) -> int:
        """Generation of the store that the records belong to."""


class CoordinationLog(Protocol):
    """The log partition used for coordination.

    Calls raise StoreRestored if the store is not in the given generation.
    """

    async def read(self, start: int, generation: int | None) -> LogPage:
        """Read from an offset; raises LogUnavailable, RecordsExpired.

        :param generation: None for the current one.
        """

    async def append(
        self, record: bytes, at: int, generation: int | None
    ) -> AppendOutcome:
        """Append at an offset; raises LogUnavailable, AppendOutcomeUnknown."""


Commitments = Mapping[int, Mapping[str, int]]


class Lease(NamedTuple):
    """Lease held by this process.

    ``fence`` is the fencing number, which increases with each holder.
    """

    fence: int
    valid_until_s: float


@final
class Coordinator:
    """Claims and renews the lease on behalf of this process."""

    def __init__(  # noqa: WPS211
        self,
        node: str,
        log: CoordinationLog,
        ttl: timedelta,
        clock: Clock,
        events: EventLog,
    ) -> None:
        """:param ttl: lease duration, counted from each renewal."""
        self._node = node
        self._process = f'{node}.{secrets.token_hex(4)}'
        self._appends = 0
        self._log = log
        self._ttl_s = ttl.total_seconds()
        self._clock = clock
        self._events = events
        self._position = 0
        self._generation: int | None = None
        # Set by a restore until the log was read to its end.
        self._must_catch_up = False
        self._log_changed_s: float | None = None
        self._lease: Lease | None = None
        self._renewed_s = 0.0
        # Generation in which the last record has released the lease, if it has.
        self._released_in: int | None = None
        # Usage counts that are final, by window.
        self.committed_usage: dict[int, dict[str, int]] = {}
        # Windows whose counts are in the log.
        self._logged_windows: set[int] = set()

    def held_lease(self, margin: timedelta) -> Lease | None:
        """Return the lease if it stays valid for longer than the margin.

        :param margin: longest time until an action of the holder takes effect.
        """
        lease = self._lease
        if lease is None:
            return None
        remaining_s = lease.valid_until_s - self._clock.monotonic_s()
        return lease if remaining_s > margin.total_seconds() else None

    async def step(self, may_claim: bool) -> None:
        """Renew the lease, or claim it if no other process holds it.

        :param may_claim: whether this process may claim the lease.
        """
        try:
            if self._lease is not None:
                await self._renew()
            elif may_claim:
                await self._claim()
            await self._restore_commitments()
        except StoreRestored as error:
            self._handle_restore(error.generation)
        except _LOG_ERRORS as error:
            self._events.write('coordination_failed', error=str(error))
        self._drop_expired()

    async def release(self) -> None:
        """Let another process claim the lease at once.

        The caller must have stopped acting on the lease.
        """
        if self._lease is None or self._must_catch_up:
            return
        self._end_lease('released')
        record = {'kind': 'release', 'generation': self._generation}
        try:
            await self._append(record)
        except StoreRestored as error:
            self._handle_restore(error.generation)
        except _LOG_ERRORS as error:
            self._events.write('coordination_failed', error=str(error))

    async def commit_usage(self, window: int, counts: dict[str, int]) -> bool:
        """Write the final counts of a window to the log before reporting them.

        :return: whether the counts are in the log under this lease.
        """
        if self._lease is None or self._must_catch_up:
            return False
        try:
            return await self._append_usage(window, counts)
        except StoreRestored as error:
            self._handle_restore(error.generation)
        except _LOG_ERRORS as error:
            self._events.write('coordination_failed', error=str(error))
        return False

    def observe_commitments(self, commitments: Commitments) -> None:
        """Process the counts that another holder has committed.

        A restore of the store may undo the records of windows that have been
        reported; the processes that run still know them.
        """
        for window, counts in commitments.items():
            if window not in self.committed_usage:
                self._store_committed_usage(window, dict(counts))

    async def _append_usage(self, window: int, counts: dict[str, int]) -> bool:
        record = {'kind': 'usage', 'window': window, 'counts': counts}
        if not await self._append(record):
            return False
        self._store_committed_usage(window, counts)
        self._logged_windows.add(window)
        return True

    async def _restore_commitments(self) -> None:
        """Append the commitments that a restore of the store has undone."""
        if self._lease is None or self._must_catch_up:
            return
        for window in sorted(
            self.committed_usage.keys() - self._logged_windows
        ):
            if not await self._append_usage(
                window, self.committed_usage[window]
            ):
                return

    async def _renew(self) -> None:
        now_s = self._clock.monotonic_s()
        if now_s - self._renewed_s < self._ttl_s / _RENEWALS_PER_TTL:
            return
        if self._must_catch_up:
            has_more = True
            while has_more:
                has_more = await self._read_new_records()
            self._must_catch_up = False
            # The end of a restored log does not show claims that others made
            # after this lease had expired.
            if self.held_lease(timedelta(0)) is None:
                return
        await self._append({'kind': 'lease', 'holder': self._node})

    def _handle_restore(self, generation: int) -> None:
        """Read the log again from its start and wait for the lease duration."""
        self._events.write(
            'coordination_restored',
            generation=generation,
            position=self._position,
            is_holder=self._lease is not None,
        )
        self._generation = generation
        self._position = 0
        self._released_in = None
        self._must_catch_up = True
        self._logged_windows.clear()
        self._log_changed_s = self._clock.monotonic_s()

    async def _claim(self) -> None:
        if await self._read_new_records() or self._log_changed_s is None:
            self._log_changed_s = self._clock.monotonic_s()
        unchanged_s = self._clock.monotonic_s() - self._log_changed_s
        max_ttl_s = self._ttl_s * (1 + MAX_CLOCK_DRIFT_RATIO)
        if unchanged_s < max_ttl_s and not self._is_free:
            return
        self._must_catch_up = False
        if await self._append({'kind': 'lease', 'holder': self._node}):
            lease = Lease(self._fence(), self._renewed_s + self._valid_s)
            self._lease = lease
            self._events.write('lease_taken', fence=lease.fence)

    @property
    def _is_free(self) -> bool:
        """Whether no lease is in force, however recent the last record is."""
        is_released = self._released_in is not None
        if is_released and self._released_in == self._generation:
            return True
        return self._is_log_unused

    @property
    def _is_log_unused(self) -> bool:
        """Whether no lease was ever claimed."""
        generation = self._generation or 0
        return self._position == 0 and generation <= _FIRST_GENERATION

    def _fence(self) -> int:
        """Return the fencing number for a claim in the last record.

        Offsets are given out again in a later generation of the store.
        """
        generation = max(_FIRST_GENERATION, self._generation or 0)
        base = (generation - _FIRST_GENERATION) * _FENCES_PER_GENERATION
        return base + self._position

    @property
    def _valid_s(self) -> float:
        return self._ttl_s * (1 - MAX_CLOCK_DRIFT_RATIO)

    async def _read_new_records(self) -> bool:
        """Read and apply new records; return whether there were any."""
        try:
            page = await self._log.read(self._position, self._generation)
        except RecordsExpired as error:
            if error.first_kept is None:
                raise LogUnavailable('records expired') from error
            self._position = error.first_kept
            return True
        self._generation = page.generation
        self._apply_records(page.records)
        return bool(page.records)

    def _apply_record(self, record: bytes) -> None:
        self._released_in = None
        try:
            content: Any = decode_json(record)
            if content['kind'] == 'release':
                self._released_in = int(content['generation'])
            if content['kind'] == 'usage':
                window, counts = int(content['window']), dict(content['counts'])
                self._store_committed_usage(window, counts)
                self._logged_windows.add(window)
        except _DECODE_ERRORS as error:
            self._events.write('coordination_unreadable', error=repr(error))

    def _store_committed_usage(
        self, window: int, counts: dict[str, int]
    ) -> None:
        self.committed_usage[window] = counts
        for old in sorted(self.committed_usage)[:-_MAX_COMMITTED_WINDOWS]:
            self.committed_usage.pop(old)
            self._logged_windows.discard(old)

    async def _append(self, content: dict[str, Any]) -> bool:
        """Append at the known end of the log.

        If a response is lost, the log is read to find out whether the append
        took effect.

        :return: whether the record is in the log and no other process has
            appended.
        """
        self._appends += 1
        writer = f'{self._process}.{self._appends}.'
        record = encode_json({**content, 'writer': writer})
        for _ in range(_MAX_APPEND_ATTEMPTS):
            sent_s = self._clock.monotonic_s()
            try:
                outcome = await self._append_at_end(record)
            except AppendOutcomeUnknown:
                # Retried at the same offset, so at most one of the two appends
                # can take effect.
                outcome = await self._append_at_end(record)
            if outcome.appended:
                self._position = outcome.offset + 1
                self._released_in = None
                self._record_renewal(sent_s)
                return True
            page = await self._log.read(self._position, self._generation)
            self._apply_records(page.records)
            process = f'"{self._process}.'.encode()
            if not all(process in row for row in page.records):
                break
            if any(f'"{writer}"'.encode() in row for row in page.records):
                self._record_renewal(sent_s)
                return True
        self._end_lease('another process appended')
        return False

    async def _append_at_end(self, record: bytes) -> AppendOutcome:
        return await self._log.append(record, self._position, self._generation)

    def _apply_records(self, records: list[bytes]) -> None:
        for record in records:
            self._apply_record(record)
        self._position += len(records)

    def _record_renewal(self, sent_s: float) -> None:
        self._renewed_s = sent_s
        if self._lease is not None:
            self._lease = Lease(self._lease.fence, sent_s + self._valid_s)

    def _drop_expired(self) -> None:
        lease = self._lease
        now_s = self._clock.monotonic_s()
        if lease is not None and now_s >= lease.valid_until_s:
            self._end_lease('expired')

    def _end_lease(self, reason: str) -> None:
        if self._lease is not None:
            self._events.write(
                'lease_lost',
                fence=self._lease.fence,
                reason=reason,
            )
        self._lease = None
        self._log_changed_s = self._clock.monotonic_s()
