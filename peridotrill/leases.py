"""Leases over the log: at most one process acts in a lease at a time."""

from datetime import timedelta
from typing import Any, Final, NamedTuple, Protocol, final

import anyio

from peridotrill.clock import MAX_CLOCK_DRIFT_RATIO, Clock
from peridotrill.control_state import ControlState, LeaseState
from peridotrill.exceptions import AppendOutcomeUnknown, LogError
from peridotrill.records import LeaseClaimed, LeaseReleased, LeaseRenewed
from peridotrill.statechart import StateMachine, load_chart
from peridotrill.timeline import Recorder

DEFAULT_TTL: Final = timedelta(seconds=6)
_RENEWALS_PER_TTL: Final = 3
_TICK: Final = timedelta(milliseconds=200)
_NO_MARGIN: Final = timedelta(0)

_chart: Final = load_chart('lease')


class Appender(Protocol):
    """The part of the log client that leases use."""

    async def append(self, record: Any) -> int:
        """Append one record and return its offset."""


class _Sent(NamedTuple):
    sequence: int
    sent_s: float


@final
class Lease:
    """One lease, from the side of a process that wants to hold it.

    ``observe`` is called after each change of the control state and
    ``next_record`` says what to append next; ``run`` does both in a task.
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
        self._sent: list[_Sent] = []
        self._valid_until_s = 0.0
        self._seen_offset = 0
        self._seen_at_s = clock.monotonic_s()
        self._releasing = False

    @property
    def epoch(self) -> int:
        """Fencing number of the claim that counts now; 0 before any."""
        known = self._state.leases.get(self.name)
        return 0 if known is None else known.epoch

    def is_held(self, margin: timedelta = _NO_MARGIN) -> bool:
        """Tell whether this process may act in the lease.

        :param margin: longest time that the act can take to have effect.
        """
        if self._machine.state != 'held':
            return False
        remaining_s = self._valid_until_s - self._clock.monotonic_s()
        return remaining_s > margin.total_seconds()

    def observe(self) -> None:
        """Take over what the control state says now."""
        known = self._state.leases.get(self.name)
        if known is not None and known.last_offset != self._seen_offset:
            self._seen_offset = known.last_offset
            self._seen_at_s = self._clock.monotonic_s()
            self._observe_record(known)
        if self._machine.state == 'held' and not self.is_held():
            self._machine.fire('expired')
            self._recorder.emit('lease_lapsed', lease=self.name)

    def next_record(self) -> LeaseClaimed | LeaseRenewed | None:
        """Return the record to append now, if any."""
        now_s = self._clock.monotonic_s()
        if self._machine.state in {'held', 'lapsed'}:
            return self._renewal(now_s)
        known = self._state.leases.get(self.name)
        if known is not None and known.holder and self._is_alive(known, now_s):
            return None
        if self._awaits_answer(now_s):
            return None
        if self._machine.allows('claim'):
            self._machine.fire('claim')
        return LeaseClaimed(
            kind='lease_claimed',
            lease=self.name,
            holder=self._holder,
            ttl_s=self._ttl_s,
            previous_offset=0 if known is None else known.last_offset,
            sequence=self._note_sent(now_s),
        )

    async def run(self, log: Appender) -> None:
        """Keep the lease as far as possible until ``release`` is called.

        :param log: its failures are retried on the next tick.
        """
        while not self._releasing:
            self.observe()
            record = self.next_record()
            if record is not None:
                await self._append(log, record)
            await anyio.sleep(_TICK.total_seconds())

    async def release(self, log: Appender) -> None:
        """Give the lease up; the caller no longer acts in it."""
        self._releasing = True
        held = self.is_held()
        self._machine.fire('release')
        if held:
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
            # The record is recognised by its sequence when it is read back.
            return
        except LogError as error:
            self._recorder.emit(
                'lease_append_failed',
                lease=self.name,
                detail=str(error),
            )

    def _observe_record(self, known: LeaseState) -> None:
        mine = known.holder == self._holder
        if not mine:
            if self._machine.allows('superseded'):
                self._machine.fire('superseded')
                self._sent.clear()
            return
        sent = [row for row in self._sent if row.sequence == known.sequence]
        if not sent or not self._machine.allows('counted'):
            return
        self._sent = [
            row for row in self._sent if row.sequence > known.sequence
        ]
        self._valid_until_s = sent[0].sent_s + known.ttl_s * (
            1 - MAX_CLOCK_DRIFT_RATIO
        )
        if self._machine.state != 'held':
            self._recorder.emit(
                'lease_held',
                lease=self.name,
                epoch=known.epoch,
            )
        self._machine.fire('counted')

    def _is_alive(self, known: LeaseState, now_s: float) -> bool:
        lapse_s = known.ttl_s * (1 + MAX_CLOCK_DRIFT_RATIO)
        return now_s < self._seen_at_s + lapse_s

    def _awaits_answer(self, now_s: float) -> bool:
        if not self._sent:
            return False
        return now_s < self._sent[-1].sent_s + self._ttl_s / _RENEWALS_PER_TTL

    def _renewal(self, now_s: float) -> LeaseRenewed | None:
        started_s = self._valid_until_s - self._ttl_s * (
            1 - MAX_CLOCK_DRIFT_RATIO
        )
        due_s = started_s + self._ttl_s / _RENEWALS_PER_TTL
        if now_s < due_s or self._awaits_answer(now_s):
            return None
        return LeaseRenewed(
            kind='lease_renewed',
            lease=self.name,
            holder=self._holder,
            epoch=self.epoch,
            sequence=self._note_sent(now_s),
        )

    def _note_sent(self, now_s: float) -> int:
        self._sequence += 1
        self._sent.append(_Sent(self._sequence, now_s))
        return self._sequence
