"""Prefill and output demand of each service, summed over all gateways."""

from collections import deque
from collections.abc import Mapping
from typing import Final, final

from peridotrill.clock import Clock
from peridotrill.gateway.role_planner import Demand

# Sliding window for computing rates.
_RATE_WINDOW_S: Final = 4.0
NO_DEMAND: Final = Demand(0, 0)
Totals = dict[str, tuple[float, float]]


@final
class DemandMeter:
    """Keeps totals of this gateway and computes rates over all gateways."""

    def __init__(self, clock: Clock) -> None:
        """Start with zero demand."""
        self._clock = clock
        self._local: Totals = {}
        self._peers: dict[str, Totals] = {}
        self._samples: deque[tuple[float, Totals]] = deque()
        self._base: dict[str, Totals] = {}

    def record(self, service: str, prefill_ms: float, tokens: float) -> None:
        """Add the work of an admitted request."""
        reading, output = self._local.get(service, (0, 0))
        self._local[service] = (reading + prefill_ms, output + tokens)

    def local_totals(self) -> Totals:
        """Return the totals of this process, for its reports to peers."""
        return self._local

    def observe_peer(
        self,
        process: str,
        totals: Mapping[str, tuple[float, float]],
    ) -> None:
        """Apply a report; the first one of a process is its baseline."""
        self._base.setdefault(process, dict(totals))
        self._peers[process] = dict(totals)

    def sample(self) -> None:
        """Sample the current sums; called a few times per second."""
        now_s = self._clock.monotonic_s()
        sums = dict(self._local)
        for process, totals in self._peers.items():
            base = self._base[process]
            for service, (reading, output) in totals.items():
                before = base.get(service, (0, 0))
                known = sums.get(service, (0, 0))
                sums[service] = (
                    known[0] + reading - before[0],
                    known[1] + output - before[1],
                )
        self._samples.append((now_s, sums))
        while (
            len(self._samples) > 2
            and now_s - self._samples[0][0] > _RATE_WINDOW_S
        ):
            self._samples.popleft()

    def rate(self, service: str) -> Demand:
        """Return the demand per ms in the sliding window."""
        if len(self._samples) < 2:
            return NO_DEMAND
        first_s, first = self._samples[0]
        last_s, last = self._samples[-1]
        span_ms = max(1, (last_s - first_s) * 1000)
        before = first.get(service, (0, 0))
        after = last.get(service, (0, 0))
        return Demand(
            (after[0] - before[0]) / span_ms,
            (after[1] - before[1]) / span_ms,
        )
