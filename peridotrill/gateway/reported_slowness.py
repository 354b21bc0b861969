"""How long work takes at each target at the moment, as the targets state it.

A target states with each response how long work takes on its machine, where 1
is as usual. The figure changes many times a second, so it counts less the older
it is, and not at all after some hundred milliseconds.
"""

import math
from datetime import timedelta
from typing import Final, final

from peridotrill.clock import Clock

# Age at which a figure says nothing any more. Machines are slow for some hundred
# milliseconds at a time.
_LIFETIME: Final = timedelta(seconds=0.3)
# Bounds what a wrong figure can do to the choice of targets.
MIN_REPORTED: Final = 0.5
MAX_REPORTED: Final = 4.0
# Smaller differences from the usual time are not kept.
_MIN_DIFFERENCE: Final = 0.05
# Time between two log lines on malformed figures.
_LOG_INTERVAL: Final = timedelta(seconds=1)


@final
class ReportedSlowness:
    """The latest figure of each target, with its age."""

    def __init__(self, clock: Clock) -> None:
        """Start without figures."""
        self._clock = clock
        # Slowness and time of the targets that are unusual.
        self._figures: dict[str, tuple[float, float]] = {}
        self._malformed = 0
        self._logged_s = -math.inf

    def observe(self, target_id: str, slowness: float) -> None:
        """Apply what a target states.

        :param slowness: how long work takes, relative to the usual time.
        """
        if abs(slowness - 1) < _MIN_DIFFERENCE:
            self._figures.pop(target_id, None)
            return
        bounded = min(MAX_REPORTED, max(MIN_REPORTED, slowness))
        self._figures[target_id] = (bounded, self._clock.monotonic_s())

    def slowness(self, target_id: str) -> float:
        """Return how long work probably takes now; 1 if that is not known.

        The chance that the figure still applies falls with its age.
        """
        figure = self._figures.get(target_id)
        if figure is None:
            return 1.0
        age_s = self._clock.monotonic_s() - figure[1]
        validity = 1 - age_s / _LIFETIME.total_seconds()
        if validity <= 0:
            self._figures.pop(target_id)
            return 1.0
        return 1 + (figure[0] - 1) * validity

    def forget(self, target_id: str) -> None:
        """Drop the figure of a target that was removed or replaced."""
        self._figures.pop(target_id, None)

    def count_malformed(self) -> int | None:
        """Count a figure that cannot be read.

        :return: how many there were, if it is time to log it.
        """
        self._malformed += 1
        now_s = self._clock.monotonic_s()
        if now_s - self._logged_s < _LOG_INTERVAL.total_seconds():
            return None
        self._logged_s = now_s
        return self._malformed
