"""Reports the usage of each window once while holding the lease."""

from datetime import timedelta
from typing import Final, Protocol, final

from peridotrill.gateway.coordinator import Coordinator
from peridotrill.gateway.event_log import EventLog
from peridotrill.gateway.usage_archive import UsageArchive
from peridotrill.gateway.usage_counts import UsageCounts

# Time after the end of a window within which all gateways' counts arrive.
_REPORT_DELAY_S: Final = 1.5
# Remaining lease time required to start a call. It exceeds the timeout of the
# client, so no call takes effect after the lease has expired.
LEASE_MARGIN: Final = timedelta(seconds=1.2)


class UsagePort(Protocol):
    """Reports usage to the platform."""

    async def report_usage(
        self,
        fence: int,
        window: int,
        counts: dict[str, int],
    ) -> str:
        """Report a window; return ``ok`` or an error description."""


@final
class UsageReporter:
    """Commits and reports the usage of windows that have ended."""

    def __init__(  # noqa: WPS211
        self,
        counts: UsageCounts,
        archive: UsageArchive,
        coordinator: Coordinator,
        port: UsagePort,
        deadline_s: float,
        log: EventLog,
    ) -> None:
        """:param deadline_s: a window must be reported within this time
        after its end.
        """
        self._counts = counts
        self._archive = archive
        # Fencing number of the lease that was held when the archive was loaded.
        self._loaded_fence: int | None = None
        self._coordinator = coordinator
        self._port = port
        self._deadline_s = deadline_s
        self._log = log
        self._reported: set[int] = set()

    async def step(self) -> None:
        """Report all windows that are due and not yet reported."""
        lease = self._coordinator.held_lease(LEASE_MARGIN)
        if lease is None:
            return
        if lease.fence != self._loaded_fence:
            if not await self._archive.load():
                return
            self._loaded_fence = lease.fence
        current = self._counts.current_window()
        for window in range(current - 4, current):
            age_s = self._counts.window_age_s(window)
            is_due = _REPORT_DELAY_S <= age_s <= self._deadline_s
            if is_due and window not in self._reported:
                await self._report(window)
        self._reported = {row for row in self._reported if row > current - 10}

    @property
    def is_loaded(self) -> bool:
        """Whether the archive was loaded under the current lease."""
        lease = self._coordinator.held_lease(timedelta(0))
        return lease is not None and lease.fence == self._loaded_fence

    async def _report(self, window: int) -> None:
        if self._coordinator.held_lease(LEASE_MARGIN) is None:
            return
        counts = self._coordinator.committed_usage.get(window)
        if counts is None:
            counts = self._counts.total(window)
            if not counts:
                return
            if not await self._coordinator.commit_usage(window, counts):
                return
        lease = self._coordinator.held_lease(LEASE_MARGIN)
        if lease is None:
            return
        outcome = await self._port.report_usage(lease.fence, window, counts)
        if outcome == 'ok':
            self._reported.add(window)
        self._log.write(
            'usage_reported',
            window=window,
            fence=lease.fence,
            requests=sum(counts.values()),
            age_s=self._counts.window_age_s(window),
            outcome=outcome,
        )
