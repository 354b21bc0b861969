"""Counts of started requests by window, team and gateway process."""

from collections.abc import Mapping
from typing import Final, final

from peridotrill.gateway.cluster_clock import ClusterClock

# Windows that are kept and reported to the other gateways. A window must be
# kept until its usage is due.
RETAINED_WINDOWS: Final = 5

Counts = dict[int, dict[str, int]]


@final
class UsageCounts:
    """Counts of this process and those reported by the others."""

    def __init__(self, window_s: float, cluster_clock: ClusterClock) -> None:
        """:param window_s: duration of a window."""
        self._window_s = window_s
        self._cluster_clock = cluster_clock
        self._local: Counts = {}
        self._peers: dict[str, Counts] = {}

    def current_window(self) -> int:
        """Return the number of the current window."""
        return int(self._cluster_clock.unix_s() // self._window_s)

    def window_age_s(self, window: int) -> float:
        """Return the time since the end of a window."""
        return self._cluster_clock.unix_s() - (window + 1) * self._window_s

    def count(self, team: str) -> None:
        """Count a request that has just started."""
        window = self.current_window()
        teams = self._local.setdefault(window, {})
        teams[team] = teams.get(team, 0) + 1
        _drop_old_windows(self._local, window)

    def local_totals(self) -> Counts:
        """Return the counts of this process, for its reports."""
        return self._local

    def observe_peer(
        self, process: str, counts: Mapping[int, Mapping[str, int]]
    ) -> None:
        """Merge the counts of another process; counts never decrease.

        :param process: name of the process, unique to its incarnation.
        """
        merged = self._peers.setdefault(process, {})
        for window, teams in counts.items():
            rows = merged.setdefault(window, {})
            for team, number in teams.items():
                rows[team] = max(number, rows.get(team, 0))
        _drop_old_windows(merged, self.current_window())

    def snapshot(self, process: str) -> dict[str, Counts]:
        """Return the counts of all known processes.

        :param process: name of this process.
        """
        current = self.current_window()
        found = {**self._peers, process: self._local}
        for counts in found.values():
            _drop_old_windows(counts, current)
        return {name: rows for name, rows in found.items() if rows}

    def merge(self, snapshot: Mapping[str, Counts], process: str) -> None:
        """Merge a snapshot; the higher count of each team is kept.

        :param process: name of this process.
        """
        for name, counts in snapshot.items():
            if name != process:
                self.observe_peer(name, counts)

    def total(self, window: int) -> dict[str, int]:
        """Return the counts of all processes in a window."""
        sums: dict[str, int] = {}
        for counts in (self._local, *self._peers.values()):
            for team, number in counts.get(window, {}).items():
                sums[team] = sums.get(team, 0) + number
        return sums


def _drop_old_windows(counts: Counts, current: int) -> None:
    old = {window for window in counts if window <= current - RETAINED_WINDOWS}
    for window in old:
        counts.pop(window)
