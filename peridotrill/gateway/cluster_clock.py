"""Wall-clock time that is robust against steps and wrong machine clocks."""

import math
import statistics
from typing import Final, final

from peridotrill.clock import Clock

# Older offsets of peers are ignored.
_OFFSET_LIFETIME_S: Final = 10.0


@final
class ClusterClock:
    """Unix time as the median of the clocks of this machine and its peers.

    The local wall clock is read once at the start, so later steps have no
    effect. A clock that was wrong at the start is outvoted by the others.
    """

    def __init__(self, clock: Clock) -> None:
        """:param clock: its wall time is read once."""
        self._clock = clock
        self._local_offset_s = clock.now().timestamp() - clock.monotonic_s()
        self._peers: dict[str, tuple[float, float]] = {}

    def unix_s(self) -> float:
        """Return the estimated Unix time in seconds."""
        now_s = self._clock.monotonic_s()
        offsets = [
            offset_s
            for heard_s, offset_s in self._peers.values()
            if now_s - heard_s < _OFFSET_LIFETIME_S
        ]
        offsets.append(self._local_offset_s)
        return now_s + statistics.median_low(offsets)

    def local_unix_s(self) -> float:
        """Return the Unix time of the local clock, for reports to peers."""
        return self._clock.monotonic_s() + self._local_offset_s

    def observe_peer(self, peer: str, unix_s: float) -> None:
        """Record the local Unix time that another machine reported.

        Infinite and NaN values are ignored, as they would break the median.
        """
        if not math.isfinite(unix_s):
            return
        now_s = self._clock.monotonic_s()
        self._peers[peer] = (now_s, unix_s - now_s)
