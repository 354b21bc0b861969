"""Detection of target processes that end while they run requests.

A broken connection does not prove that the process at its other end is gone:
it may have been reset on the way. The process has ended if its address
refuses new connections, or if another process answers there or registers in
its place.
"""

from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import Final, NamedTuple, Protocol, final

from peridotrill.clock import Clock

# A process that ended is expected to be found out within this time, from the
# refusal of a connection or from its record.
_PENDING_LIFETIME: Final = timedelta(seconds=10)
# Limits the memory for processes that are known to have ended.
_MAX_ENDED_PROCESSES: Final = 1000


class Exposure(NamedTuple):
    """A request that a process was running when it ended.

    ``parts`` are the ids of the prompt parts that other requests may share,
    ``alive_s`` is a monotonic time at or after which the process is known to
    have been running, not later than the request was sent.
    """

    parts: tuple[str, ...]
    alive_s: float


class TargetCrash(NamedTuple):
    """The end of a target process, and requests that it was running."""

    process: str
    ended_s: float
    exposures: tuple[Exposure, ...]


class CrashLog(Protocol):
    """Log of the detector."""

    def write(self, event: str, **fields: object) -> None:
        """Write an event."""


class _BrokenProcess:
    """Attempts that broke at a process that may have ended."""

    def __init__(self, broken_s: float) -> None:
        self.broken_s = broken_s
        self.attempts = 0
        self.exposures: list[Exposure] = []


@final
class CrashDetector:
    """Collects broken attempts and confirms which processes have ended."""

    def __init__(self, clock: Clock, log: CrashLog) -> None:
        """:param clock: its monotonic time dates the ends of processes."""
        self._clock = clock
        self._log = log
        self._broken: dict[str, _BrokenProcess] = {}
        # Times at which processes ended, oldest first.
        self._ended_s: dict[str, float] = {}
        self.crashes = 0
        self.on_crash: Callable[[TargetCrash], object] = _ignore

    def record_broken(self, process: str, exposure: Exposure | None) -> bool:
        """Record an attempt whose connection broke.

        :param process: identifies the target process, not only its address.
        :param exposure: the request, unless it is known to be harmless.
        :return: whether ``check`` should find out if the process has ended.
        """
        ended_s = self._ended_s.get(process)
        if ended_s is not None:
            if exposure is not None:
                self.on_crash(TargetCrash(process, ended_s, (exposure,)))
            return False
        self._expire()
        is_first = process not in self._broken
        if is_first:
            self._broken[process] = _BrokenProcess(self._clock.monotonic_s())
        broken = self._broken[process]
        broken.attempts += 1
        if exposure is not None:
            broken.exposures.append(exposure)
        return is_first

    async def check(
        self,
        process: str,
        is_refused: Callable[[], Awaitable[bool]],
    ) -> None:
        """Confirm the end of a process if its address refuses connections.

        :param is_refused: opens a connection to the process.
        """
        if await is_refused():
            self.record_end(process, 'connection refused')
        else:
            self._log.write('crash_unconfirmed', target=process)

    def record_end(self, process: str, evidence: str) -> None:
        """Record that a process has ended.

        Only a process that broke attempts shortly before counts as crashed:
        others were stopped, or have been counted already.
        """
        self._expire()
        broken = self._broken.pop(process, None)
        if broken is None:
            return
        self.crashes += 1
        self._ended_s[process] = broken.broken_s
        if len(self._ended_s) > _MAX_ENDED_PROCESSES:
            self._ended_s.pop(next(iter(self._ended_s)))
        self._log.write(
            'target_crashed',
            target=process,
            evidence=evidence,
            attempts=broken.attempts,
            unproven=len(broken.exposures),
        )
        self.on_crash(
            TargetCrash(process, broken.broken_s, tuple(broken.exposures))
        )

    def _expire(self) -> None:
        """Forget breaks that no evidence has followed."""
        oldest_s = self._clock.monotonic_s() - _PENDING_LIFETIME.total_seconds()
        for process, broken in list(self._broken.items()):
            if broken.broken_s < oldest_s:
                self._broken.pop(process)


def _ignore(crash: TargetCrash) -> None:
    """Do nothing; used until a callback is set."""
