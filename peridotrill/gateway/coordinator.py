"""Elects one gateway as coordinator, with a lease on an append-only log.

Every record is appended conditionally, at the offset where its writer
expects the log to end. The holder renews the lease by appending; an append
by any other process makes the holder's next one fail. A candidate claims the
lease only if it has seen no new record for the whole lease duration,
measured on its own monotonic clock. A holder stops acting one lease duration
after it sent its last renewal. Leases therefore never overlap, even though
the clocks are not synchronised.
"""

import secrets
from datetime import timedelta
from typing import Any, Final, NamedTuple, Protocol, final

from peridotrill.clock import MAX_CLOCK_DRIFT_RATIO, Clock
from peridotrill.codec import decode_json, encode_json
from peridotrill.exceptions import (
    AppendOutcomeUnknown,
    CodecError,
    LogUnavailable,
    RecordsExpired,
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


class CoordinationLog(Protocol):
    """The log partition used for coordination."""

    async def read(self, start: int) -> LogPage:
        """Read from an offset; raises LogUnavailable, RecordsExpired."""

    async def append(self, record: bytes, at: int) -> AppendOutcome:
        """Append at an offset; raises LogUnavailable, AppendOutcomeUnknown."""


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
        self._log_changed_s: float | None = None
        self._lease: Lease | None = None
        self._renewed_s = 0.0
        # Usage counts that are in the log and final, by window.
        self.committed_usage: dict[int, dict[str, int]] = {}

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
        except (LogUnavailable, AppendOutcomeUnknown, RecordsExpired) as error:
            self._events.write('coordination_failed', error=str(error))
        self._drop_expired()

    async def commit_usage(self, window: int, counts: dict[str, int]) -> bool:
        """Write the final counts of a window to the log before reporting them.

        :return: whether the counts are in the log under this lease.
        """
        if self._lease is None:
            return False
        record = {'kind': 'usage', 'window': window, 'counts': counts}
        try:
            is_committed = await self._append(record)
        except (LogUnavailable, AppendOutcomeUnknown, RecordsExpired) as error:
            self._events.write('coordination_failed', error=str(error))
            return False
        if not is_committed:
            return False
        self._store_committed_usage(window, counts)
        return True

    async def _renew(self) -> None:
        now_s = self._clock.monotonic_s()
        if now_s - self._renewed_s < self._ttl_s / _RENEWALS_PER_TTL:
            return
        await self._append({'kind': 'lease', 'holder': self._node})

    async def _claim(self) -> None:
        if await self._read_new_records() or self._log_changed_s is None:
            self._log_changed_s = self._clock.monotonic_s()
        unchanged_s = self._clock.monotonic_s() - self._log_changed_s
        is_log_empty = self._position == 0
        if not is_log_empty and unchanged_s < self._ttl_s * (
            1 + MAX_CLOCK_DRIFT_RATIO
        ):
            return
        offset = self._position
        if await self._append({'kind': 'lease', 'holder': self._node}):
            lease = Lease(offset + 1, self._renewed_s + self._valid_s)
            self._lease = lease
            self._events.write('lease_taken', fence=lease.fence)

    @property
    def _valid_s(self) -> float:
        return self._ttl_s * (1 - MAX_CLOCK_DRIFT_RATIO)

    async def _read_new_records(self) -> bool:
        """Read and apply new records; return whether there were any."""
        try:
            page = await self._log.read(self._position)
        except RecordsExpired as error:
            if error.first_kept is None:
                raise LogUnavailable('records expired') from error
            self._position = error.first_kept
            return True
        self._apply_records(page.records)
        return bool(page.records)

    def _apply_record(self, record: bytes) -> None:
        try:
            content: Any = decode_json(record)
            if content['kind'] == 'usage':
                counts = dict(content['counts'])
                self._store_committed_usage(int(content['window']), counts)
        except _DECODE_ERRORS as error:
            self._events.write('coordination_unreadable', error=repr(error))

    def _store_committed_usage(
        self, window: int, counts: dict[str, int]
    ) -> None:
        self.committed_usage[window] = counts
        for old in sorted(self.committed_usage)[:-_MAX_COMMITTED_WINDOWS]:
            self.committed_usage.pop(old)

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
                outcome = await self._log.append(record, self._position)
            except AppendOutcomeUnknown:
                # Retried at the same offset, so at most one of the two appends
                # can take effect.
                outcome = await self._log.append(record, self._position)
            if outcome.appended:
                self._position = outcome.offset + 1
                self._record_renewal(sent_s)
                return True
            page = await self._log.read(self._position)
            self._apply_records(page.records)
            process = f'"{self._process}.'.encode()
            if not all(process in row for row in page.records):
                break
            if any(f'"{writer}"'.encode() in row for row in page.records):
                self._record_renewal(sent_s)
                return True
        self._end_lease('another process appended')
        return False

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
