"""Requests that began to run, counted by window, team and gateway."""

from collections.abc import Mapping
from typing import Final, final

from peridotrill.gateway.true_time import TrueTime

# Windows that are kept and reported to the other gateways. The oldest one
# must outlive the time by which a window is due.
KEPT_WINDOWS: Final = 5

Counts = dict[int, dict[str, int]]


@final
class UsageCounts:
    """Counts of this process and of the others, as they reported them."""

    def __init__(self, window_s: float, true_time: TrueTime) -> None:
        """:param window_s: length of a window."""
        self._window_s = window_s
        self._true_time = true_time
        self._local: Counts = {}
        self._peers: dict[str, Counts] = {}

    def present_window(self) -> int:
        """Return the number of the window that is in progress."""
        return int(self._true_time.unix_s() // self._window_s)

    def window_age_s(self, window: int) -> float:
        """Return the time since the end of a window."""
        return self._true_time.unix_s() - (window + 1) * self._window_s

    def count(self, team: str) -> None:
        """Count a request that began to run now."""
        window = self.present_window()
        teams = self._local.setdefault(window, {})
        teams[team] = teams.get(team, 0) + 1
        _forget_old(self._local, window)

    def local_totals(self) -> Counts:
        """Return the counts of this process, for its reports."""
        return self._local

    def observe_peer(
        self, process: str, counts: Mapping[int, Mapping[str, int]]
    ) -> None:
        """Take over the counts of another process; they only grow.

        :param process: name of the process, unique to its start.
        """
        known = self._peers.setdefault(process, {})
        for window, teams in counts.items():
            rows = known.setdefault(window, {})
            for team, number in teams.items():
                rows[team] = max(number, rows.get(team, 0))
        _forget_old(known, self.present_window())

    def snapshot(self, process: str) -> dict[str, Counts]:
        """Return the counts of all processes that are known.

        :param process: name of this process.
        """
        present = self.present_window()
        found = {**self._peers, process: self._local}
        for counts in found.values():
            _forget_old(counts, present)
        return {name: rows for name, rows in found.items() if rows}

    def merge(self, snapshot: Mapping[str, Counts], process: str) -> None:
        """Take over a snapshot; counts that are known better stay.

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


def _forget_old(counts: Counts, present: int) -> None:
    old = {window for window in counts if window <= present - KEPT_WINDOWS}
    for window in old:
        counts.pop(window)
