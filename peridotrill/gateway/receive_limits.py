"""Bounds the memory and the work that targets may cause by their responses.

A faulty target may send bytes without end until its connection is closed: few
large pieces that fill the memory, or many small ones that take the processor.
"""

from collections.abc import Callable
from typing import Final, NamedTuple, final

from peridotrill.exceptions import ResponseExcessive, TargetOutcomeUnknown

_MIB: Final = 1024 * 1024
# Limit for a body that is read as a whole.
_MAX_BODY_BYTES: Final = 16 * _MIB
# Bytes of a response that are kept even if others have exhausted the budget.
_FREE_BYTES: Final = 64 * 1024
# Share of the memory of a process for responses. A body is held twice while its
# parts are joined.
_MEMORY_SHARE: Final = 0.125
# Share of the budget that one target may use.
_TARGET_SHARE: Final = 0.5


class WorkRate(NamedTuple):
    """Limit for callbacks of the parser, each of which takes some microseconds."""

    per_s: float
    burst: float


# Limits for work beyond what a response was granted.
CONNECTION_RATE: Final = WorkRate(per_s=2000, burst=4000)
# Takes about 2% of a core for each target.
TARGET_RATE: Final = WorkRate(per_s=6000, burst=12000)
# Work that each response is granted: its head with some fields and a body in a
# few pieces. An event comes in a chunk and a read of its own.
_RESPONSE_WORK: Final = 100
_EVENT_WORK: Final = 2


def response_work(max_events: int = 0) -> float:
    """Return the work that a response is granted.

    :param max_events: largest number of events of the stream that was asked for.
    """
    return _RESPONSE_WORK + _EVENT_WORK * max_events


@final
class ReceiveBudget:
    """Bounds the memory for responses on many connections."""

    def __init__(self, max_bytes: int, max_body_bytes: int | None = None):
        """:param max_bytes: limit for the sum of all responses.

        :param max_body_bytes: limit for a body that is read as a whole.
        """
        self._max_bytes = max_bytes
        self.max_body_bytes = max_body_bytes or min(
            _MAX_BODY_BYTES, max_bytes // 2
        )
        self.used_bytes = 0
        # The budget that this one is part of.
        self._whole: ReceiveBudget | None = None

    @classmethod
    def from_memory_limit(cls, limit_mb: float) -> 'ReceiveBudget':
        """Return the budget of a process.

        :param limit_mb: memory of the process.
        """
        return cls(int(limit_mb * _MEMORY_SHARE * _MIB))

    def open_target_share(self) -> 'ReceiveBudget':
        """Return the budget of one target, which is part of this one."""
        share = ReceiveBudget(
            int(self._max_bytes * _TARGET_SHARE), self.max_body_bytes
        )
        share._whole = self
        return share

    def take(self, size_bytes: int) -> None:
        """Use a part of the budget.

        Raises ResponseExcessive if the target has used its share up, and
        TargetOutcomeUnknown if all targets together have.
        """
        is_exhausted = self.used_bytes + size_bytes > self._max_bytes
        if self._whole is None:
            if is_exhausted:
                raise TargetOutcomeUnknown('memory for responses is exhausted')
        elif is_exhausted:
            raise ResponseExcessive('share of memory for responses exceeded')
        else:
            self._whole.take(size_bytes)
        self.used_bytes += size_bytes

    def give_back(self, size_bytes: int) -> None:
        """Return a part of the budget."""
        self.used_bytes -= size_bytes
        if self._whole is not None:
            self._whole.give_back(size_bytes)


@final
class ReservedBytes:
    """The part of a budget that one response uses."""

    def __init__(self, budget: ReceiveBudget) -> None:
        """Start without any."""
        self._budget = budget
        self._taken_bytes = 0

    def resize(self, size_bytes: int) -> None:
        """Use as much as a response of this size needs.

        Raises TargetOutcomeUnknown if the budget is exhausted.
        """
        lacking = max(0, size_bytes - _FREE_BYTES) - self._taken_bytes
        if lacking > 0:
            self._budget.take(lacking)
        if lacking < 0:
            self._budget.give_back(-lacking)
        self._taken_bytes += lacking

    def release(self) -> None:
        """Return what was taken."""
        self._budget.give_back(self._taken_bytes)
        self._taken_bytes = 0


@final
class WorkMeter:
    """Token bucket for the work that a connection, or a target, causes.

    What a response was granted is used up first. So no load of sound responses
    empties the bucket, and a target that sends too much on one connection does
    not break its responses on others.
    """

    def __init__(
        self,
        rate: WorkRate,
        now_s: Callable[[], float],
        parent: 'WorkMeter | None' = None,
    ) -> None:
        """:param parent: meter that is charged as well."""
        self._rate = rate
        self._now_s = now_s
        self._parent = parent
        self._tokens = rate.burst
        self._refilled_s = now_s()
        self._granted = 0.0

    def grant(self, units: float) -> None:
        """Grant work to the next response; what the last one left lapses."""
        self._granted = units

    def charge(self, units: float) -> None:
        """Use tokens; raises ResponseExcessive if there are not enough."""
        if units <= self._granted:
            self._granted -= units
            return
        if self._parent is not None:
            self._parent.charge(units)
        self._tokens -= units
        if self._tokens < 0:
            self._refill()
            if self._tokens < 0:
                raise ResponseExcessive('too many pieces of a response')

    def _refill(self) -> None:
        now_s = self._now_s()
        added = (now_s - self._refilled_s) * self._rate.per_s
        self._tokens = min(self._rate.burst, self._tokens + added)
        self._refilled_s = now_s


@final
class ReceiveLimits:
    """Limits for the connections to one target."""

    def __init__(
        self, budget: ReceiveBudget, now_s: Callable[[], float]
    ) -> None:
        """:param budget: shared with other targets."""
        self.budget = budget.open_target_share()
        self._now_s = now_s
        self._meter = WorkMeter(TARGET_RATE, now_s)

    def open_meter(self) -> WorkMeter:
        """Return the meter of a new connection."""
        return WorkMeter(CONNECTION_RATE, self._now_s, self._meter)
