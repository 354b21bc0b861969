"""Rate limits of teams, held by all gateways together.

A team may use its rate times the window plus its burst in any window. Each
gateway keeps what the whole system spent in the last window: its own
admissions and those that the others report a few times per second. Between
two reports a gateway spends at most its part of what is left, so that the
sum stays within the limit although nobody coordinates. A gateway that has
not reported for a while is taken to use its full part.
"""

import math
from collections import deque
from collections.abc import Mapping, Sequence
from datetime import timedelta
from typing import Final, NamedTuple, final

from peridotrill.clock import Clock
from peridotrill.gateway.configuration import Team

# A peer without reports for longer than this is taken to spend its share.
PEER_STALE_S: Final = 0.6
# Callers wait for a third of their time at most.
_MAX_RETRY_AFTER_S: Final = 5.0
# Not before the next reports of the other gateways have arrived.
_MIN_RETRY_AFTER_S: Final = 0.15
# Part of the tolerated excess that is used in addition to the burst. The rest
# covers what gateways admit before they hear of each other.
_USED_EXCESS_RATIO: Final = 0.4
# Resolution of the window; about the interval of the reports.
_SLOT_S: Final = 0.1
# Part of what is left that is divided evenly; the rest goes by recent use.
_EVEN_SHARE_RATIO: Final = 0.4
# Use that is assumed to be spread evenly, as a part of the burst.
_PRIOR_USE_RATIO: Final = 0.1
# A process older than this keeps its own account of the windows.
_IMPORT_PERIOD_S: Final = 2.0
# Time in which recent use falls to 1/e.
_USE_DECAY_S: Final = 1.5


class QuotaDecision(NamedTuple):
    """Outcome; ``retry_after_s`` is 0 if the request is admitted.

    ``left`` is what all gateways together may still spend, ``available`` the
    part of this one, in the unit of the limit.
    """

    is_admitted: bool
    retry_after_s: float
    left: float = math.inf
    available: float = math.inf


@final
class _Window:
    """What all gateways spent of one team's limit, by slots of time."""

    def __init__(self, size_s: float) -> None:
        self._slots: deque[tuple[int, float]] = deque()
        self._size = math.ceil(size_s / _SLOT_S)
        self.spent = 0.0
        self.updated_s: float | None = None
        self.spent_since_report = 0.0
        # Recent use of this gateway and of all, with exponential decay.
        self.local_use = 0.0
        self.total_use = 0.0
        # Part of what is left that this gateway may spend until its next
        # report; None before the first one.
        self.local_share: float | None = None

    def add(self, at_s: float, amount: float) -> None:
        """Note what was spent at a time, which never goes back."""
        slot = int(at_s / _SLOT_S)
        if self._slots and self._slots[-1][0] >= slot:
            slot, known = self._slots.pop()
            self._slots.append((slot, known + amount))
        else:
            self._slots.append((slot, amount))
        self.spent += amount

    def expire(self, now_s: float) -> None:
        """Drop the slots that lie before the window."""
        first = int(now_s / _SLOT_S) - self._size
        while self._slots and self._slots[0][0] < first:
            self.spent -= self._slots.popleft()[1]
        if not self._slots:
            self.spent = 0.0

    def usage_by_age(self, now_s: float) -> list[float]:
        """Return what was spent, by age in whole seconds."""
        seconds = math.ceil(self._size * _SLOT_S)
        amounts = [0.0 for _ in range(seconds)]
        current = int(now_s / _SLOT_S)
        for slot, amount in self._slots:
            age_s = int((current - slot) * _SLOT_S)
            amounts[min(age_s, len(amounts) - 1)] += amount
        return amounts

    def decay(self, elapsed_s: float) -> None:
        """Let recent use fade."""
        factor = math.exp(-elapsed_s / _USE_DECAY_S)
        self.local_use *= factor
        self.total_use *= factor


@final
class TeamQuotas:
    """The limits of all teams, as one gateway sees them."""

    def __init__(
        self,
        clock: Clock,
        window: timedelta,
        tolerated_excess: float = 0,
        is_first_start: bool = False,
    ) -> None:
        """:param window: in which a team may spend its rate and its burst.

        :param tolerated_excess: by which the sum over all gateways may
            exceed a limit.
        :param is_first_start: whether nothing was spent before. Otherwise
            the whole limit is taken to have been spent evenly.
        """
        self._clock = clock
        self._window_s = window.total_seconds()
        self.apply_excess(tolerated_excess)
        self._started_s = clock.monotonic_s()
        self._is_first_start = is_first_start
        self._windows: dict[str, _Window] = {}
        self._teams: Mapping[str, Team] = {}
        # What was used before the start, as others told it: by team, the
        # time and the amounts by age in seconds.
        self._imported_usage: dict[str, tuple[float, Sequence[float]]] = {}
        self._spent: dict[str, float] = {}
        self._peer_spent: dict[str, dict[str, float]] = {}
        self._incarnations: dict[str, str] = {}
        self._peer_heard_s: dict[str, float] = {}

    def apply_excess(self, tolerated_excess: float) -> None:
        """Use another excess from now on, in the unit of the limits."""
        self._excess = tolerated_excess * _USED_EXCESS_RATIO

    def configure(self, teams: Mapping[str, Team]) -> None:
        """Apply the limits of a configuration."""
        self._teams = teams
        for gone in self._windows.keys() - teams.keys():
            self._windows.pop(gone)
        self._update_all(self._clock.monotonic_s())

    def add_peer(self, peer: str) -> None:
        """Count a gateway that shares the limits; it may be silent."""
        self._peer_heard_s.setdefault(peer, float('-inf'))

    def remove_peer(self, peer: str) -> None:
        """Forget a gateway that is gone for good."""
        self._peer_heard_s.pop(peer, None)

    @property
    def gateways(self) -> int:
        """Number of gateways that share the limits, with this one."""
        return len(self._peer_heard_s) + 1

    def spent(self) -> dict[str, float]:
        """Return what this process admitted since its start, by team."""
        return self._spent

    def usage(self) -> dict[str, list[float]]:
        """Return what all gateways used in the last window.

        :return: by team, the amounts by age in whole seconds; nothing while
            this process itself has to assume what was used before its start.
        """
        now_s = self._clock.monotonic_s()
        is_old = now_s - self._started_s >= self._window_s
        if not (self._is_first_start or is_old or self._imported_usage):
            return {}
        self._update_all(now_s)
        return {
            name: window.usage_by_age(now_s)
            for name, window in self._windows.items()
        }

    def import_usage(self, usage: Mapping[str, Sequence[float]]) -> None:
        """Take over what others know of the time before the own start.

        Everyone's account is too high rather than too low, so that the
        lowest counts.

        :param used: as ``used`` of another gateway returns it.
        """
        now_s = self._clock.monotonic_s()
        if self._is_first_start or now_s - self._started_s > _IMPORT_PERIOD_S:
            return
        for name, amounts in usage.items():
            known = self._imported_usage.get(name)
            if known is None or sum(amounts) < sum(known[1]):
                self._imported_usage[name] = (now_s, amounts)
                self._windows.pop(name, None)
        self._update_all(now_s)

    def observe_peer(
        self,
        peer: str,
        incarnation: str,
        spent: Mapping[str, float],
    ) -> None:
        """Take over a report of another gateway.

        :param incarnation: start of the process that counted.
        :param spent: totals since its start, by team.
        """
        now_s = self._clock.monotonic_s()
        self._update_all(now_s)
        self._peer_heard_s[peer] = now_s
        if self._incarnations.get(peer) != incarnation:
            self._incarnations[peer] = incarnation
            self._peer_spent[peer] = dict(spent)
            return
        known = self._peer_spent[peer]
        for team, total in spent.items():
            before = known.get(team, 0)
            known[team] = max(total, before)
            window = self._windows.get(team)
            if window is not None:
                usage = max(0, total - before)
                window.add(now_s, usage)
                window.total_use += usage

    def end_report_interval(self) -> None:
        """Start a new interval; the own totals are being reported."""
        for name, window in self._windows.items():
            window.spent_since_report = 0
            team = self._teams.get(name)
            if team is not None:
                window.local_share = self._local_share(window, team)

    def admit(self, team: Team, cost: float) -> QuotaDecision:
        """Take the cost of a request if the team's limit allows it.

        :param cost: in the unit of the team's limit.
        """
        if team.rate_per_s <= 0:
            return QuotaDecision(True, 0)
        now_s = self._clock.monotonic_s()
        window = self._update(team, now_s)
        left = self._limit(team) - window.spent
        left_at_report = left + window.spent_since_report
        part = left_at_report * (window.local_share or 1 / self.gateways)
        available = part - window.spent_since_report
        # A request larger than a gateway's part passes when the limit as a
        # whole can bear it and this gateway has just reported.
        fits = available >= cost or (
            left >= max(2 * cost, team.burst / 2)
            and window.spent_since_report <= 0
        )
        if not fits:
            lacking = cost - min(available, left)
            wait_s = _SLOT_S + lacking / self._mean_rate(team)
            return QuotaDecision(
                False,
                min(_MAX_RETRY_AFTER_S, max(_MIN_RETRY_AFTER_S, wait_s)),
                left,
                available,
            )
        window.add(now_s, cost)
        window.spent_since_report += cost
        window.local_use += cost
        window.total_use += cost
        self._spent[team.name] = self._spent.get(team.name, 0) + cost
        return QuotaDecision(True, 0)

    def _limit(self, team: Team) -> float:
        """Return what all gateways may spend in one window."""
        return team.rate_per_s * self._window_s + team.burst + self._excess

    def _mean_rate(self, team: Team) -> float:
        """Return what a team that always uses its limit gets per second."""
        return self._limit(team) / self._window_s

    def _update_all(self, now_s: float) -> None:
        """Bring all windows up to date; teams without a limit have none."""
        for team in self._teams.values():
            if team.rate_per_s > 0:
                self._update(team, now_s)

    def _update(self, team: Team, now_s: float) -> _Window:
        """Let spending expire, and note that of gateways that are silent."""
        window = self._windows.get(team.name)
        if window is None:
            window = self._create_window(team)
            self._windows[team.name] = window
        known_s = now_s if window.updated_s is None else window.updated_s
        elapsed_s = max(0, now_s - known_s)
        window.updated_s = max(known_s, now_s)
        silent = sum(
            now_s - heard_s > PEER_STALE_S
            for heard_s in self._peer_heard_s.values()
        )
        part = silent / self.gateways
        window.add(now_s, elapsed_s * self._mean_rate(team) * part)
        window.expire(now_s)
        window.decay(elapsed_s)
        return window

    def _create_window(self, team: Team) -> _Window:
        """Return a window with what was used before the start."""
        window = _Window(self._window_s)
        if self._is_first_start:
            return window
        imported = self._imported_usage.get(team.name)
        if imported is None:
            slots = math.ceil(self._window_s / _SLOT_S)
            part = self._limit(team) / slots
            for slot in range(slots, 0, -1):
                window.add(self._started_s - slot * _SLOT_S, part)
            return window
        imported_s, amounts = imported
        for age_s in range(len(amounts) - 1, -1, -1):
            window.add(imported_s - age_s, amounts[age_s])
        window.add(imported_s, self._spent.get(team.name, 0))
        return window

    def _local_share(self, window: _Window, team: Team) -> float:
        """Return the part of what is left that this gateway may spend.

        All gateways derive their parts from the same reports, so that these
        add up to about one.
        """
        even = 1 / self.gateways
        prior = max(1.0, team.burst * _PRIOR_USE_RATIO)
        by_use = (window.local_use + prior * even) / (window.total_use + prior)
        return _EVEN_SHARE_RATIO * even + (1 - _EVEN_SHARE_RATIO) * by_use
