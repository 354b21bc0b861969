"""Work in progress at each target: own, and as other gateways report it."""

from collections.abc import Mapping
from typing import Final, final

from peridotrill.clock import Clock

# A report of another gateway counts for this long; its process may be gone.
_REPORT_LIFETIME_S: Final = 1.0


@final
class LoadBook:
    """Work in progress by target.

    The unit depends on the target: running requests, or milliseconds of
    prompt reading for prefill engines.
    """

    def __init__(self, clock: Clock) -> None:
        """Nothing is in progress at the start."""
        self._clock = clock
        self._own: dict[str, float] = {}
        self._peers: dict[str, tuple[float, Mapping[str, float]]] = {}

    def add(self, target_id: str, work: float) -> None:
        """Begin work at a target."""
        self._own[target_id] = self._own.get(target_id, 0) + work

    def remove(self, target_id: str, work: float) -> None:
        """End work at a target."""
        left = self._own.get(target_id, 0) - work
        # Sums of fractions do not come back to exactly zero.
        if left < 1e-6:
            self._own.pop(target_id, None)
        else:
            self._own[target_id] = left

    def own(self) -> Mapping[str, float]:
        """Return this gateway's work, for its reports."""
        return self._own

    def observe_peer(self, peer: str, work: Mapping[str, float]) -> None:
        """Take over a report of another gateway."""
        self._peers[peer] = (self._clock.monotonic_s(), work)

    def total(self, target_id: str) -> float:
        """Return the work of all gateways at a target."""
        oldest_s = self._clock.monotonic_s() - _REPORT_LIFETIME_S
        return self._own.get(target_id, 0) + sum(
            work.get(target_id, 0)
            for heard_s, work in self._peers.values()
            if heard_s >= oldest_s
        )
