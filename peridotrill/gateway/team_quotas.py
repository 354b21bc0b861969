"""Rate limits of teams, held by all gateways together.

Each gateway keeps a token bucket of the whole system. It subtracts its own
admissions and those that the others report a few times per second. Between
two reports a gateway spends at most its part of what is left, so that the
sum stays within the bucket although nobody coordinates. A gateway that has
not reported for a while is taken to use its full part of the rate.
"""

import math
from collections.abc import Mapping
from typing import Final, NamedTuple, final

from peridotrill.clock import Clock
from peridotrill.gateway.configuration import Team

# A peer without reports for longer than this is taken to spend its share.
PEER_STALE_S: Final = 0.6
_MAX_RETRY_AFTER_S: Final = 5.0
# Not before the next reports of the other gateways have arrived.
_MIN_RETRY_AFTER_S: Final = 0.15
# Bounds the refill after a pause of the process.
_MAX_REFILL_S: Final = 1.0
# Part of the tolerated excess that the buckets hold in addition to the burst.
# The rest covers what gateways admit before they hear of each other.
_USED_EXCESS: Final = 0.4
# Part of the level that is divided evenly; the rest goes by recent use.
_EVEN_PART: Final = 0.4
# Use that is assumed to be spread evenly, as a part of the burst.
_PRIOR_USE: Final = 0.1
# Time in which recent use falls to 1/e.
_RECENT_USE_S: Final = 1.5


class QuotaDecision(NamedTuple):
    """Outcome; ``retry_after_s`` is 0 if the request is admitted."""

    is_admitted: bool
    retry_after_s: float


@final
class _Bucket:
    def __init__(self, now_s: float) -> None:
        self.level = 0.0
        self.filled_s = now_s
        self.spent_since_report = 0.0
        # Recent use of this gateway and of all, with exponential decay.
        self.own_use = 0.0
        self.all_use = 0.0
        # Part of the level that this gateway may spend until its next
        # report; None before the first one.
        self.own_part: float | None = None


@final
class TeamQuotas:
    """The buckets of all teams, as one gateway sees them."""

    def __init__(self, clock: Clock, tolerated_excess: float = 0) -> None:
        """Buckets start empty: what was spent before is not known.

        :param tolerated_excess: by which the sum over all gateways may
            exceed a limit.
        """
        self._clock = clock
        self.apply_excess(tolerated_excess)
        self._buckets: dict[str, _Bucket] = {}
        self._teams: Mapping[str, Team] = {}
        self._spent: dict[str, float] = {}
        self._peer_spent: dict[str, dict[str, float]] = {}
        self._incarnations: dict[str, str] = {}
        self._peer_heard_s: dict[str, float] = {}

    def apply_excess(self, tolerated_excess: float) -> None:
        """Use another excess from now on, in the unit of the limits."""
        self._excess = tolerated_excess * _USED_EXCESS

    def configure(self, teams: Mapping[str, Team]) -> None:
        """Apply the limits of a configuration."""
        self._teams = teams
        for gone in self._buckets.keys() - teams.keys():
            self._buckets.pop(gone)

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
        self._refill_all(now_s)
        self._peer_heard_s[peer] = now_s
        if self._incarnations.get(peer) != incarnation:
            self._incarnations[peer] = incarnation
            self._peer_spent[peer] = dict(spent)
            return
        known = self._peer_spent[peer]
        for team, total in spent.items():
            before = known.get(team, 0)
            known[team] = max(total, before)
            bucket = self._buckets.get(team)
            if bucket is not None:
                used = max(0, total - before)
                bucket.level -= used
                bucket.all_use += used

    def end_report_interval(self) -> None:
        """Start a new interval; the own totals are being reported."""
        for name, bucket in self._buckets.items():
            bucket.spent_since_report = 0
            team = self._teams.get(name)
            if team is not None:
                bucket.own_part = self._own_part(bucket, team)

    def admit(self, team: Team, cost: float) -> QuotaDecision:
        """Take the cost of a request if the team's limit allows it.

        :param cost: in the unit of the team's limit.
        """
        if team.rate_per_s <= 0:
            return QuotaDecision(True, 0)
        now_s = self._clock.monotonic_s()
        bucket = self._refill(team, now_s)
        part = bucket.level * (bucket.own_part or 1 / self.gateways)
        available = part - bucket.spent_since_report
        # A request larger than a gateway's part passes when the bucket as a
        # whole can bear it and this gateway has just reported.
        fits = available >= cost or (
            bucket.level >= max(2 * cost, team.burst / 2)
            and bucket.spent_since_report <= 0
        )
        if not fits:
            wait_s = (cost - min(available, bucket.level)) / team.rate_per_s
            return QuotaDecision(
                False,
                min(_MAX_RETRY_AFTER_S, max(_MIN_RETRY_AFTER_S, wait_s)),
            )
        bucket.level -= cost
        bucket.spent_since_report += cost
        bucket.own_use += cost
        bucket.all_use += cost
        self._spent[team.name] = self._spent.get(team.name, 0) + cost
        return QuotaDecision(True, 0)

    def refund(self, team: Team, cost: float) -> None:
        """Give back the cost of a request that did not run."""
        bucket = self._buckets.get(team.name)
        if bucket is not None and team.rate_per_s > 0:
            bucket.level = min(team.burst + self._excess, bucket.level + cost)

    def _refill_all(self, now_s: float) -> None:
        for team in self._teams.values():
            if team.name in self._buckets:
                self._refill(team, now_s)

    def _refill(self, team: Team, now_s: float) -> _Bucket:
        bucket = self._buckets.get(team.name)
        if bucket is None:
            bucket = _Bucket(now_s)
            self._buckets[team.name] = bucket
        elapsed_s = max(0, now_s - bucket.filled_s)
        bucket.filled_s = max(now_s, bucket.filled_s)
        silent = sum(
            now_s - heard_s > PEER_STALE_S
            for heard_s in self._peer_heard_s.values()
        )
        rate = team.rate_per_s * (1 - silent / self.gateways)
        refill = min(elapsed_s, _MAX_REFILL_S) * rate
        bucket.level = min(team.burst + self._excess, bucket.level + refill)
        decay = math.exp(-elapsed_s / _RECENT_USE_S)
        bucket.own_use *= decay
        bucket.all_use *= decay
        return bucket

    def _own_part(self, bucket: _Bucket, team: Team) -> float:
        """Return the part of the level that this gateway may spend.

        All gateways derive their parts from the same reports, so that these
        add up to about one.
        """
        even = 1 / self.gateways
        prior = max(1.0, team.burst * _PRIOR_USE)
        by_use = (bucket.own_use + prior * even) / (bucket.all_use + prior)
        return _EVEN_PART * even + (1 - _EVEN_PART) * by_use
