"""Rate limits of teams, as this entry's share of distributed token buckets.

Each of N registered entries enforces ``rate / N`` and ``burst / N`` of a
team's limit for a service. All buckets start empty, because it is unknown how
many tokens an earlier process of the same entry has spent.
"""

import math
from collections.abc import Mapping
from typing import Final, Protocol, final

from expression import Error, Ok, Result

from peridotrill.clock import Clock

# Tolerance of the comparison with one token, so that rounding errors in the
# sum of many small refills do not cause a refusal.
_ROUNDING_TOKENS: Final = 1e-9
_MAX_RETRY_AFTER_S: Final = 60.0


class RatePolicy(Protocol):
    """The rate limit in the policy of a team."""

    @property
    def rate_per_s(self) -> float:
        """Requests per second, across all entries."""

    @property
    def burst(self) -> int:
        """Largest burst in requests, across all entries."""


@final
class _TokenBucket:
    """A token bucket that starts empty."""

    __slots__ = ('capacity', 'filled_at_s', 'rate_per_s', 'tokens')

    def __init__(self, now_s: float) -> None:
        self.rate_per_s = 0.0
        self.capacity = 0.0
        self.tokens = 0.0
        self.filled_at_s = now_s

    def refill(self, now_s: float) -> None:
        """Add the tokens accrued since the last call."""
        elapsed_s = max(0, now_s - self.filled_at_s)
        self.filled_at_s = max(self.filled_at_s, now_s)
        self.tokens = min(
            self.capacity,
            self.tokens + elapsed_s * self.rate_per_s,
        )

    def try_take(self) -> bool:
        """Remove one token if there is one; return whether there was."""
        if self.tokens + _ROUNDING_TOKENS < 1:
            return False
        self.tokens -= 1
        return True

    def wait_s(self) -> float:
        """Return the time until the bucket has one token."""
        if self.rate_per_s <= 0 or self.capacity + _ROUNDING_TOKENS < 1:
            return _MAX_RETRY_AFTER_S
        missing = max(0, 1 - self.tokens)
        return min(_MAX_RETRY_AFTER_S, missing / self.rate_per_s)


def divide_limit(
    policy: RatePolicy,
    entry_count: int,
    entry_index: int,
) -> tuple[float, float]:
    """Compute one entry's share of a rate limit.

    A burst below one request would never admit anything. If there are more
    entries than ``burst``, the first ``burst`` entries therefore get a burst
    of one request each and the others admit nothing.

    :param shares: number of registered entries, one or more.
    :param position: index of this entry in the order of registration.
    :return: rate in requests per second, burst in requests.
    """
    active_entries = min(entry_count, policy.burst)
    if active_entries < 1 or (
        active_entries < entry_count and entry_index >= active_entries
    ):
        return 0.0, 0.0  # noqa: WPS358
    return policy.rate_per_s / active_entries, policy.burst / active_entries


@final
class TeamLimiter:
    """Enforces this entry's share of the rate limits of all teams."""

    def __init__(self, clock: Clock) -> None:
        """:param clock: its monotonic time fills the buckets."""
        self._clock = clock
        self._buckets: dict[tuple[str, str], _TokenBucket] = {}

    def configure(
        self,
        service: str,
        team: str,
        policy: RatePolicy,
        entry_count: int,
        entry_index: int = 0,
    ) -> None:
        """Set a limit, effective from the next request on.

        A raised burst adds no tokens; tokens above a lowered burst are lost.

        :param shares: number of registered entries, one or more.
        :param position: index of this entry in the order of registration.
        """
        now_s = self._clock.monotonic_s()
        bucket = self._buckets.get((service, team))
        if bucket is None:
            bucket = _TokenBucket(now_s)
            self._buckets[service, team] = bucket
        bucket.refill(now_s)
        bucket.rate_per_s, bucket.capacity = divide_limit(
            policy,
            entry_count,
            entry_index,
        )

    def configure_all(
        self,
        policies: Mapping[str, Mapping[str, RatePolicy]],
        entry_count: int,
        entry_index: int,
    ) -> None:
        """Set all limits and remove those that are not given.

        :param policies: rate limits by service and team.
        """
        kept: set[tuple[str, str]] = set()
        for service, teams in policies.items():
            for team, policy in teams.items():
                self.configure(service, team, policy, entry_count, entry_index)
                kept.add((service, team))
        self.retain(kept)

    def retain(self, limits: set[tuple[str, str]]) -> None:
        """Remove all limits except the given ones.

        :param limits: pairs of service and team to keep.
        """
        for obsolete in self._buckets.keys() - limits:
            self._buckets.pop(obsolete)

    def admit(self, service: str, team: str) -> Result[None, float]:
        """Admit one request if the team's token bucket allows it.

        :return: Ok, or the delay in seconds before a retry; a team
            without a limit for the service is never admitted.
        """
        bucket = self._buckets.get((service, team))
        if bucket is None:
            return Error(_MAX_RETRY_AFTER_S)
        bucket.refill(self._clock.monotonic_s())
        if bucket.try_take():
            return Ok(None)
        return Error(math.ceil(bucket.wait_s() * 1000) / 1000)
