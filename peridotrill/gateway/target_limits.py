"""Rate limits that targets name in their responses."""

from datetime import timedelta
from typing import Final, NamedTuple, final

from peridotrill.clock import Clock
from peridotrill.gateway.event_log import EventSink

# Responses without a limit end it only after this time without one that names
# it: a target may have sent them before it named the limit.
_END_DELAY: Final = timedelta(seconds=1)


class TargetLimit(NamedTuple):
    """A limit on the requests of all gateways together.

    ``named_s`` is the monotonic time of the last response that named it.
    """

    name: str
    rate_per_s: float
    named_s: float


@final
class TargetLimits:
    """The limits in force, by target id."""

    def __init__(self, clock: Clock, log: EventSink) -> None:
        """Start without limits."""
        self._clock = clock
        self._log = log
        self._limits: dict[str, TargetLimit] = {}

    def observe(self, target_id: str, limit_per_s: float | None) -> None:
        """Apply the limit that a response names.

        :param limit_per_s: None if the response names none.
        """
        known = self._limits.get(target_id)
        now_s = self._clock.monotonic_s()
        if limit_per_s is None:
            if known is not None and (
                now_s - known.named_s > _END_DELAY.total_seconds()
            ):
                self._limits.pop(target_id)
                self._log.write('target_unlimited', target=target_id)
            return
        self._limits[target_id] = TargetLimit(target_id, limit_per_s, now_s)
        if known is None or known.rate_per_s != limit_per_s:
            self._log.write(
                'target_limited',
                target=target_id,
                rate_per_s=limit_per_s,
                previous=None if known is None else known.rate_per_s,
            )

    def forget(self, target_id: str) -> None:
        """Drop the limit of a target that was removed or replaced."""
        self._limits.pop(target_id, None)

    @property
    def limited_targets(self) -> int:
        """Number of targets with a limit."""
        return len(self._limits)
