"""Clocks, injected so that tests can control the time."""

import time
from datetime import UTC, datetime, timedelta
from typing import Final, Protocol, final

# Upper bound of the relative difference in rate between the monotonic clocks
# of two VMs.
MAX_CLOCK_DRIFT_RATIO: Final = 0.001


class Clock(Protocol):
    """Time source of a process."""

    def monotonic_s(self) -> float:
        """Return seconds since an arbitrary start; never decreases."""

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
    """Clock for tests that advances only on request."""

    def __init__(self, start: datetime | None = None) -> None:
        """:param start: initial wall clock time in UTC."""
        self._start = start or datetime(2026, 1, 1, tzinfo=UTC)
        self._elapsed_s = 0.0

    def monotonic_s(self) -> float:
        """Return the total seconds by which the clock was advanced."""
        return self._elapsed_s

    def now(self) -> datetime:
        """Return the start plus the elapsed time."""
        return self._start + timedelta(seconds=self._elapsed_s)

    def advance(self, duration: timedelta) -> None:
        """:param duration: time to add; raises ValueError if negative."""
        if duration < timedelta(0):
            raise ValueError('duration must not be negative')
        self._elapsed_s += duration.total_seconds()


@final
class SuspendAwareClock:
    """System clock whose monotonic time advances while a VM is suspended.

    Leases and other state with a time limit must expire during a suspension.
    """

    def monotonic_s(self) -> float:
        """Return seconds since boot, including suspended time."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def now(self) -> datetime:
        """Return the wall clock in UTC."""
        return datetime.now(UTC)
