"""Leases in the log: at most one process holds a lease at a time."""

from datetime import timedelta
from typing import Any, Final, NamedTuple, Protocol, final

import anyio

from peridotrill.clock import MAX_CLOCK_DRIFT_RATIO, Clock
from peridotrill.control_state import ControlState, LeaseState
from peridotrill.exceptions import AppendOutcomeUnknown, LogError
from peridotrill.records import LeaseClaimed, LeaseReleased, LeaseRenewed
from peridotrill.statechart import StateMachine, load_chart
from peridotrill.timeline import Recorder

DEFAULT_LEASE_TTL: Final = timedelta(seconds=6)
_RENEWALS_PER_TTL: Final = 3
_TICK_INTERVAL: Final = timedelta(milliseconds=200)
_NO_MARGIN: Final = timedelta(0)

_chart: Final = load_chart('lease')


class Appender(Protocol):
    """The part of the log client that leases use."""

    async def append(self, record: Any) -> int:
        """Append one record and return its offset."""


class _SentRecord(NamedTuple):
    sequence: int
    sent_at_s: float


@final
class Lease:
    """A lease as seen by a process that wants to hold it.

    ``update_from_state`` is called after each change of the control state
    and ``next_record`` returns the record to append next; ``run`` does both
    in a loop.
    """

    def __init__(  # noqa: WPS211
        self,
        name: str,
        holder: str,
        ttl: timedelta,
        state: ControlState,
        clock: Clock,
        recorder: Recorder,
    ) -> None:
        """:param holder: incarnation of this process."""
        self.name = name
        self._holder = holder
        self._ttl_s = ttl.total_seconds()
        self._state = state
        self._clock = clock
        self._recorder = recorder
        self._machine = StateMachine(_chart)
        self._sequence = 0
        self._unconfirmed: list[_SentRecord] = []
        self._valid_until_s = 0.0
        self._observed_offset = 0
        self._observed_at_s = clock.monotonic_s()
        self._releasing = False

    @property
    def epoch(self) -> int:
        """Fencing number of the current claim; 0 if there is none."""
        current = self._state.leases.get(self.name)
        return 0 if current is None else current.epoch

    def is_held(self, margin: timedelta = _NO_MARGIN) -> bool:
        """Return whether this process may act as the holder of the lease.

        :param margin: longest time until the action takes effect; the lease
            must remain valid for longer.
        """
        if self._machine.state != 'held':
            return False
        remaining_s = self._valid_until_s - self._clock.monotonic_s()
        return remaining_s > margin.total_seconds()

    def update_from_state(self) -> None:
        """Update from the control state; call it after each change."""
        current = self._state.leases.get(self.name)
        if current is not None and current.last_offset != self._observed_offset:
            self._observed_offset = current.last_offset
            self._observed_at_s = self._clock.monotonic_s()
            self._process_lease_state(current)
        if self._machine.state == 'held' and not self.is_held():
            self._machine.fire('expired')
            self._recorder.emit('lease_lapsed', lease=self.name)

    def next_record(self) -> LeaseClaimed | LeaseRenewed | None:
        """Return the record to append now, if any."""
        now_s = self._clock.monotonic_s()
        if self._machine.state in {'held', 'lapsed'}:
            return self._due_renewal(now_s)
        current = self._state.leases.get(self.name)
        if (
            current is not None
            and current.holder
            and self._may_be_held(current, now_s)
        ):
            return None
        if self._is_append_pending(now_s):
            return None
        if self._machine.allows('claim'):
            self._machine.fire('claim')
        return LeaseClaimed(
            kind='lease_claimed',
            lease=self.name,
            holder=self._holder,
            ttl_s=self._ttl_s,
            previous_offset=0 if current is None else current.last_offset,
            sequence=self._record_sent(now_s),
        )

    async def run(self, log: Appender) -> None:
        """Claim and renew the lease until ``release`` is called.

        :param log: failed appends are retried later.
        """
        while not self._releasing:
            self.update_from_state()
            record = self.next_record()
            if record is not None:
                await self._append(log, record)
            await anyio.sleep(_TICK_INTERVAL.total_seconds())

    async def release(self, log: Appender) -> None:
        """Release the lease; the caller must have stopped acting as holder."""
        self._releasing = True
        was_held = self.is_held()
        self._machine.fire('release')
        if was_held:
            record = LeaseReleased(
                kind='lease_released',
                lease=self.name,
                holder=self._holder,
                epoch=self.epoch,
            )
            await self._append(log, record)

    async def _append(self, log: Appender, record: Any) -> None:
        try:
            await log.append(record)
        except AppendOutcomeUnknown:
            # If the record was appended, its sequence confirms it when read.
            return
        except LogError as error:
            self._recorder.emit(
                'lease_append_failed',
                lease=self.name,
                detail=str(error),
            )

    def _process_lease_state(self, current: LeaseState) -> None:
        is_own = current.holder == self._holder
        if not is_own:
            if self._machine.allows('superseded'):
                self._machine.fire('superseded')
                self._unconfirmed.clear()
            return
        confirmed = [
            record
            for record in self._unconfirmed
            if record.sequence == current.sequence
        ]
        if not confirmed or not self._machine.allows('counted'):
            return
        self._unconfirmed = [
            record
            for record in self._unconfirmed
            if record.sequence > current.sequence
        ]
        self._valid_until_s = confirmed[0].sent_at_s + current.ttl_s * (
            1 - MAX_CLOCK_DRIFT_RATIO
        )
        if self._machine.state != 'held':
            self._recorder.emit(
                'lease_held',
                lease=self.name,
                epoch=current.epoch,
            )
        self._machine.fire('counted')

    def _may_be_held(self, current: LeaseState, now_s: float) -> bool:
        max_ttl_s = current.ttl_s * (1 + MAX_CLOCK_DRIFT_RATIO)
        return now_s < self._observed_at_s + max_ttl_s

    def _is_append_pending(self, now_s: float) -> bool:
        if not self._unconfirmed:
            return False
        return (
            now_s
            < self._unconfirmed[-1].sent_at_s + self._ttl_s / _RENEWALS_PER_TTL
        )

    def _due_renewal(self, now_s: float) -> LeaseRenewed | None:
        term_start_s = self._valid_until_s - self._ttl_s * (
            1 - MAX_CLOCK_DRIFT_RATIO
        )
        due_s = term_start_s + self._ttl_s / _RENEWALS_PER_TTL
        if now_s < due_s or self._is_append_pending(now_s):
            return None
        return LeaseRenewed(
            kind='lease_renewed',
            lease=self.name,
            holder=self._holder,
            epoch=self.epoch,
            sequence=self._record_sent(now_s),
        )

    def _record_sent(self, now_s: float) -> int:
        self._sequence += 1
        self._unconfirmed.append(_SentRecord(self._sequence, now_s))
        return self._sequence
