"""Wall-clock time that survives steps of a machine's clock."""

import math
import statistics
from typing import Final, final

from peridotrill.clock import Clock

# Offsets older than this are no longer compared.
_OFFSET_LIFETIME_S: Final = 10.0


@final
class ClusterClock:
    """Unix time from the clock at the start and those of other machines.

    Steps of the own clock after the start have no effect; a clock that was
    wrong at the start is outvoted by the others.
    """

    def __init__(self, clock: Clock) -> None:
        """:param clock: read once for its wall time."""
        self._clock = clock
        self._local_offset_s = clock.now().timestamp() - clock.monotonic_s()
        self._peers: dict[str, tuple[float, float]] = {}

    def unix_s(self) -> float:
        """Return seconds since 1970."""
        now_s = self._clock.monotonic_s()
        offsets = [
            offset_s
            for heard_s, offset_s in self._peers.values()
            if now_s - heard_s < _OFFSET_LIFETIME_S
        ]
        offsets.append(self._local_offset_s)
        return now_s + statistics.median_low(offsets)

    def local_unix_s(self) -> float:
        """Return the own estimate, for reports to other machines."""
        return self._clock.monotonic_s() + self._local_offset_s

    def observe_peer(self, peer: str, unix_s: float) -> None:
        """Take over what another machine believes to be the time.

        Anything but a time is dropped: it would spoil the median.
        """
        if not math.isfinite(unix_s):
            return
        now_s = self._clock.monotonic_s()
        self._peers[peer] = (now_s, unix_s - now_s)
