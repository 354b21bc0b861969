"""Judges targets by the outcomes of requests, not by health checks."""

import enum
import math
from typing import Final, final

from peridotrill.clock import Clock

# Time in which a penalty falls to 1/e when nothing is sent to a target.
_DECAY_S: Final = 1.5
# Penalty from which a target is used only if all others are worse.
_AVOID_THRESHOLD: Final = 0.8
# A success takes a fifth of the penalty.
_SUCCESS_FACTOR: Final = 0.8
# Bounds the time that a target is avoided to three seconds.
_MAX_PENALTY: Final = 6.0


class Failure(enum.Enum):
    """How a request failed, with its weight as penalty."""

    UNREACHABLE = 1.0
    SILENT = 1.01
    # Silent, and its request went elsewhere: it also counts as broken.
    ABANDONED = 1.51
    BROKEN = 0.5
    ERROR = 0.2
    REFUSED = 0.3


@final
class TargetHealth:
    """Penalties by target; they grow with failures and decay."""

    def __init__(self, clock: Clock) -> None:
        """Every target is trusted at first."""
        self._clock = clock
        self._penalties: dict[str, tuple[float, float]] = {}

    def record_success(self, target_id: str) -> None:
        """Note a complete answer."""
        penalty = self.penalty(target_id) * _SUCCESS_FACTOR
        if penalty > 0:
            self._penalties[target_id] = (penalty, self._clock.monotonic_s())

    def record_failure(self, target_id: str, failure: Failure) -> None:
        """Note a failed request."""
        penalty = min(_MAX_PENALTY, self.penalty(target_id) + failure.value)
        self._penalties[target_id] = (penalty, self._clock.monotonic_s())

    def forget(self, target_id: str) -> None:
        """Drop what is known of a target that is gone or new."""
        self._penalties.pop(target_id, None)

    def penalty(self, target_id: str) -> float:
        """Return the present penalty."""
        known = self._penalties.get(target_id)
        if known is None:
            return 0
        penalty, since_s = known
        age_s = max(0, self._clock.monotonic_s() - since_s)
        return penalty * math.exp(-age_s / _DECAY_S)

    def is_avoided(self, target_id: str) -> bool:
        """Tell whether other targets go before this one."""
        return self.penalty(target_id) >= _AVOID_THRESHOLD
