"""Passive health tracking: targets are rated by the outcomes of requests."""

import enum
import math
from typing import Final, final

from peridotrill.clock import Clock

# Time constant of the exponential decay of penalties.
_DECAY_S: Final = 1.5
# Targets with at least this penalty are used only if all others are worse.
_AVOID_THRESHOLD: Final = 0.8
# A success reduces the penalty by a fifth.
_SUCCESS_FACTOR: Final = 0.8
# Limits the time for which a target is avoided to three seconds.
_MAX_PENALTY: Final = 6.0
# Single failures make a target avoided for less.
_MIN_AVOIDED_S: Final = 1.0
# Pause between two log lines about one avoided target.
_TELL_PAUSE_S: Final = 5.0
# Limits what one response of a target can ask for.
_MAX_PAUSE_S: Final = 600.0


class Failure(enum.Enum):
    """Kinds of failed requests, with their penalties."""

    UNREACHABLE = 1.0
    SILENT = 1.01
    # The target is silent and the request was retried elsewhere: the penalty is
    # about the sum of SILENT and BROKEN.
    ABANDONED = 1.51
    BROKEN = 0.5
    ERROR = 0.2
    REFUSED = 0.3
    # The target sends without end: each further response costs as much.
    EXCESSIVE = _MAX_PENALTY


@final
class TargetHealth:
    """Penalties by target, which grow with failures and decay over time."""

    def __init__(self, clock: Clock) -> None:
        """Start without penalties."""
        self._clock = clock
        self._penalties: dict[str, tuple[float, float]] = {}
        # Since when targets are avoided; kept until they fail anew after that.
        self._avoided_since_s: dict[str, float] = {}
        self._avoided_told_s: dict[str, float] = {}
        # Until when targets want no requests from this gateway.
        self._paused_until_s: dict[str, float] = {}

    def pause(self, target_id: str, duration_s: float) -> None:
        """Record that a target wants no requests for some time."""
        until_s = self._clock.monotonic_s() + min(duration_s, _MAX_PAUSE_S)
        known_s = self._paused_until_s.get(target_id, until_s)
        self._paused_until_s[target_id] = max(until_s, known_s)

    def paused_until_s(self, target_id: str) -> float:
        """Return when a target wants requests again; negative infinity if now."""
        until_s = self._paused_until_s.get(target_id, -math.inf)
        if until_s > self._clock.monotonic_s():
            return until_s
        self._paused_until_s.pop(target_id, None)
        return -math.inf

    def record_success(self, target_id: str) -> None:
        """Record a complete response."""
        penalty = self.penalty(target_id) * _SUCCESS_FACTOR
        if penalty > 0:
            self._penalties[target_id] = (penalty, self._clock.monotonic_s())

    def record_failure(self, target_id: str, failure: Failure) -> None:
        """Record a failed request."""
        now_s = self._clock.monotonic_s()
        if not self.is_avoided(target_id):
            self._avoided_since_s[target_id] = now_s
        penalty = min(_MAX_PENALTY, self.penalty(target_id) + failure.value)
        self._penalties[target_id] = (penalty, now_s)

    def take_avoided_s(self, target_id: str) -> float:
        """Return for how long a target has been avoided, once in a while.

        Returns 0 if it is not avoided, or if that was told just before.
        """
        now_s = self._clock.monotonic_s()
        told_s = self._avoided_told_s.get(target_id, -math.inf)
        duration_s = now_s - self._avoided_since_s.get(target_id, now_s)
        is_due = (
            duration_s >= _MIN_AVOIDED_S and now_s - told_s >= _TELL_PAUSE_S
        )
        if not is_due or not self.is_avoided(target_id):
            return 0
        self._avoided_told_s[target_id] = now_s
        return duration_s

    def forget(self, target_id: str) -> None:
        """Drop what is known of a target that was removed or replaced."""
        self._penalties.pop(target_id, None)
        self._avoided_since_s.pop(target_id, None)
        self._avoided_told_s.pop(target_id, None)
        self._paused_until_s.pop(target_id, None)

    def penalty(self, target_id: str) -> float:
        """Return the current penalty."""
        current = self._penalties.get(target_id)
        if current is None:
            return 0
        penalty, since_s = current
        age_s = max(0, self._clock.monotonic_s() - since_s)
        return penalty * math.exp(-age_s / _DECAY_S)

    def is_avoided(self, target_id: str) -> bool:
        """Return whether healthier targets are preferred to this one."""
        return self.penalty(target_id) >= _AVOID_THRESHOLD
