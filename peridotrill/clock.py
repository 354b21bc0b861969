"""Clocks, passed in so that tests can move time by hand."""

import time
from datetime import UTC, datetime, timedelta
from typing import Final, Protocol, final

# Upper bound of the rate difference between the monotonic clocks of two VMs.
MAX_CLOCK_DRIFT_RATIO: Final = 0.001


class Clock(Protocol):
    """Source of time for one process."""

    def monotonic_s(self) -> float:
        """Return seconds since an arbitrary start; never goes back."""

    def now(self) -> datetime:
        """Return the wall clock in UTC; not synchronised between VMs."""


@final
class SystemClock:
    """Clock of the operating system."""

    def monotonic_s(self) -> float:
        """Return seconds of the monotonic clock."""
        return time.monotonic()

    def now(self) -> datetime:
        """Return the wall clock in UTC."""
        return datetime.now(UTC)


@final
class ManualClock:
    """Clock that only moves when it is told to."""

    def __init__(self, start: datetime | None = None) -> None:
        """:param start: wall time at the start, UTC."""
        self._start = start or datetime(2026, 1, 1, tzinfo=UTC)
        self._elapsed_s = 0.0

    def monotonic_s(self) -> float:
        """Return the seconds by which the clock was advanced."""
        return self._elapsed_s

    def now(self) -> datetime:
        """Return the start plus the elapsed time."""
        return self._start + timedelta(seconds=self._elapsed_s)

    def advance(self, duration: timedelta) -> None:
        """:param duration: time to add; raises ValueError if negative."""
        if duration < timedelta(0):
            raise ValueError('time does not go back')
        self._elapsed_s += duration.total_seconds()


@final
class SuspendAwareClock:
    """System clock whose monotonic time goes on while a VM is suspended.

    Beliefs with a time limit, such as leases, must end during a suspension.
    """

    def monotonic_s(self) -> float:
        """Return seconds since the boot of the machine."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def now(self) -> datetime:
        """Return the wall clock in UTC."""
        return datetime.now(UTC)
