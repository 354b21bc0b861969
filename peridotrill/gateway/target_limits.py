"""Rate limits of targets: those that they name, and those while they are cold.

A limit that a target names in its responses holds for all gateways together, also for those that have had no
response with it. They share the usage of each limited target as they share
the quotas of teams.
"""

from collections.abc import Callable, Mapping, Sequence
from datetime import timedelta
from typing import Final, NamedTuple, final

from peridotrill.clock import Clock
from peridotrill.gateway.cold_targets import ColdTargets
from peridotrill.gateway.event_log import EventSink
from peridotrill.gateway.peers import rank_for_key
from peridotrill.gateway.shared_quotas import SharedQuotas
from peridotrill.gateway.token_bucket import TokenBucket

# Period in which a target gets its rate and burst. Reports of other gateways
# are up to a quarter of a second old, so a shorter one would be exceeded.
_WINDOW: Final = timedelta(seconds=2)
# With fewer requests in a window, the shares of all gateways could be less
# than one request each.
_MIN_PER_WINDOW: Final = 2.5
_MIN_BURST: Final = 1.0
# A gateway sends at most at this ratio of its share of the rate. Without a pace
# the gateways would use up a window at once, and then wait for the next one.
_PACE_RATIO: Final = 1.25
# Lowest pace of a gateway that may send at all; the window still bounds it.
_MIN_PACE_PER_S: Final = 0.5
# Requests that a gateway may send at once after a time without any.
_PACE_BURST: Final = timedelta(seconds=0.25)
# A target that names a limit of 0 still gets requests that show its end.
_MIN_RATE_PER_S: Final = 0.01
# Responses without a limit end it only after this time without one that names
# it: a target may have sent them before it named the limit.
_END_DELAY: Final = timedelta(seconds=1)
# A limit that no response has named for this time is forgotten.
_LIFETIME: Final = timedelta(seconds=60)
_MS_PER_S: Final = 1000


class TargetLimit(NamedTuple):
    """A limit on the requests of all gateways together.

    ``named_s`` is the monotonic time of the last response that named it.
    """

    name: str
    rate_per_s: float
    burst: float
    named_s: float


@final
class TargetLimits:
    """The limits in force, by target id, and their usage."""

    def __init__(
        self,
        node: str,
        active_peers: Callable[[], Sequence[str]],
        clock: Clock,
        log: EventSink,
        cold: ColdTargets | None = None,
    ) -> None:
        """:param node: name of the node of this gateway.

        :param active_peers: returns the names of the other gateways.

        :param cold: the targets that are cold; None if there are never any.
        """
        if cold is None:
            cold = ColdTargets(node, active_peers, _has_no_warm_up, clock, log)
        self.cold = cold
        self._node = node
        self._active_peers = active_peers
        self._clock = clock
        self._log = log
        self._limits: dict[str, TargetLimit] = {}
        # When limits ended by responses without one.
        self._ended_s: dict[str, float] = {}
        self._paces: dict[str, TokenBucket] = {}
        # Limited targets that only other gateways send to.
        self._reserved: set[str] = set()
        self.quotas = SharedQuotas(clock, _WINDOW)

    def observe(self, target_id: str, limit_per_s: float | None) -> None:
        """Apply the limit that a response names.

        :param limit_per_s: None if the response names none.
        """
        now_s = self._clock.monotonic_s()
        if limit_per_s is not None:
            self._apply(target_id, limit_per_s, now_s)
            return
        known = self._limits.get(target_id)
        if known is not None and (
            now_s - known.named_s > _END_DELAY.total_seconds()
        ):
            self._ended_s[target_id] = now_s
            self._end(target_id, 'not named')

    def observe_peer(self, limits: Mapping[str, tuple[float, int]]) -> None:
        """Apply the limits that another gateway knows.

        :param limits: by target, the rate per second and the age in
            milliseconds.
        """
        now_s = self._clock.monotonic_s()
        for target_id, (rate_per_s, age_ms) in limits.items():
            named_s = now_s - age_ms / _MS_PER_S
            known = self._limits.get(target_id)
            known_s = (
                self._ended_s.get(target_id, float('-inf'))
                if known is None
                else known.named_s
            )
            if named_s > known_s and not self._is_old(named_s):
                self._apply(target_id, rate_per_s, named_s)

    def report(self) -> dict[str, tuple[float, int]]:
        """Return the limits in force, for the other gateways."""
        self._reserve()
        now_s = self._clock.monotonic_s()
        for known in list(self._limits.values()):
            if self._is_old(known.named_s):
                self._end(known.name, 'no responses')
        return {
            limit.name: (
                limit.rate_per_s,
                round((now_s - limit.named_s) * _MS_PER_S),
            )
            for limit in self._limits.values()
        }

    def spent(self) -> dict[str, float]:
        """Return the requests of this process to the limited targets."""
        spent = self.quotas.spent()
        return {name: spent.get(name, 0) for name in self._limits}

    def has_room(self, target_id: str) -> bool:
        """Return whether a target may get a request now."""
        return self.cold.has_room(target_id) and self._has_room(target_id)

    def _has_room(self, target_id: str) -> bool:
        limit = self._limits.get(target_id)
        if limit is None:
            return True
        if target_id in self._reserved:
            return False
        pace = self._paces[target_id]
        share_per_s = limit.rate_per_s * self.quotas.local_share(limit)
        pace_per_s = max(_MIN_PACE_PER_S, share_per_s * _PACE_RATIO)
        pace.refill(
            self._clock.monotonic_s(),
            pace_per_s,
            max(1.0, pace_per_s * _PACE_BURST.total_seconds()),
        )
        return pace.tokens >= 1 and self.quotas.has_room(limit, 1)

    def charge(self, target_id: str) -> None:
        """Count a request to a target."""
        self.cold.charge(target_id)
        limit = self._limits.get(target_id)
        if limit is not None:
            self.quotas.charge(limit, 1)
            self._paces[target_id].tokens -= 1

    def forget(self, target_id: str) -> None:
        """Drop the limit of a target that was removed or replaced."""
        self.cold.forget(target_id)
        self._ended_s.pop(target_id, None)
        if target_id in self._limits:
            self._end(target_id, 'target removed or replaced')

    @property
    def limited_targets(self) -> int:
        """Number of targets with a limit."""
        return len(self._limits)

    def _reserve(self) -> None:
        """Find the targets that only other gateways may send to.

        Between two reports each gateway may send one request. Where a limit
        is lower than the number of gateways, only some of them send, chosen
        alike by all of them.
        """
        nodes = (*self._active_peers(), self._node)
        self._reserved = {
            limit.name
            for limit in self._limits.values()
            if self._node
            not in rank_for_key(
                nodes, limit.name, max(1, int(limit.rate_per_s))
            )
        }

    def _apply(self, target_id: str, rate_per_s: float, named_s: float) -> None:
        known = self._limits.get(target_id)
        rate_per_s = max(_MIN_RATE_PER_S, rate_per_s)
        burst = _MIN_PER_WINDOW - rate_per_s * _WINDOW.total_seconds()
        self._limits[target_id] = TargetLimit(
            target_id, rate_per_s, max(_MIN_BURST, burst), named_s
        )
        if known is None or known.rate_per_s != rate_per_s:
            self.quotas.configure(self._limits)
            if known is None:
                self.quotas.assume_used(self._limits[target_id])
                self._paces[target_id] = TokenBucket(
                    self._clock.monotonic_s(), 1
                )
            self._log.write(
                'target_limited',
                target=target_id,
                rate_per_s=rate_per_s,
                previous=None if known is None else known.rate_per_s,
            )

    def _end(self, target_id: str, reason: str) -> None:
        self._limits.pop(target_id)
        self._paces.pop(target_id)
        self.quotas.configure(self._limits)
        self._log.write('target_unlimited', target=target_id, reason=reason)

    def _is_old(self, named_s: float) -> bool:
        age_s = self._clock.monotonic_s() - named_s
        return age_s > _LIFETIME.total_seconds()


def _has_no_warm_up(service: str) -> None:
    """Tell that the targets of no service are ever cold."""
