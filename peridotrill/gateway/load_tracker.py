"""Work in progress at each target: of this gateway and of its peers."""

from collections import OrderedDict
from collections.abc import Mapping
from typing import Final, final

from peridotrill.clock import Clock
from peridotrill.gateway.admission_queue import Reservation
from peridotrill.gateway.report_timing import silence_s

# Least time after which the report of a peer is dropped, as it may have stopped.
_MIN_REPORT_LIFETIME_S: Final = 1.0
# Floating-point sums do not return to exactly zero.
_EPSILON: Final = 1e-6
_NO_WORK: Final = 0.0
# A target's own report is valid for this long, since requests end meanwhile.
_TARGET_REPORT_LIFETIME_S: Final = 0.15
# Fraction of the peers' concurrently started work that is expected to go to
# the same target as the work of this gateway.
_CONCURRENT_START_RATIO: Final = 0.9
# Weight of the latest interval in the moving averages of the work.
_AVERAGE_WEIGHT: Final = 0.1


def prefill_key(target_id: str) -> str:
    """Return the key for the prefill work of a target."""
    return f'{target_id}/read'


@final
class LoadTracker:
    """Tracks work in progress by target.

    Running requests are counted under the target id, milliseconds of prefill
    under its ``prefill_key``.
    """

    def __init__(self, clock: Clock) -> None:
        """Start without work in progress."""
        self._clock = clock
        self._local: dict[str, float] = {}
        # Last reports, the oldest first, and their sums.
        self._peers: OrderedDict[str, tuple[float, Mapping[str, float]]] = (
            OrderedDict()
        )
        self._peer_sums: dict[str, float] = {}
        self._reported: dict[str, tuple[float, float]] = {}
        # Work started since the last report of this gateway.
        self._started: dict[str, float] = {}
        # Average work of this gateway and of all peers. Both units are added
        # up, since only the ratio of the two averages is used.
        self._average_local_work = 0.0
        self._average_peer_work = 0.0

    def begin(self, reservation: Reservation) -> None:
        """Add the work of a reservation."""
        target_id = reservation.target.target_id
        self.add(target_id, reservation.running)
        self.add(prefill_key(target_id), reservation.prefill_ms)

    def end(self, reservation: Reservation) -> None:
        """Remove the work of a reservation."""
        target_id = reservation.target.target_id
        self.remove(target_id, reservation.running)
        self.remove(prefill_key(target_id), reservation.prefill_ms)

    def add(self, target_id: str, work: float) -> None:
        """Add work at a target."""
        if work > _NO_WORK:
            self._local[target_id] = self._local.get(target_id, 0) + work
            self._started[target_id] = self._started.get(target_id, 0) + work

    def remove(self, target_id: str, work: float) -> None:
        """Remove work at a target."""
        left = self._local.get(target_id, 0) - work
        if left < _EPSILON:
            self._local.pop(target_id, None)
        else:
            self._local[target_id] = left

    def end_report_interval(self) -> None:
        """Start a new interval after reporting the local work."""
        self._started.clear()
        local_totals = sum(self._local.values())
        peers = sum(self._peer_sums.values())
        self._average_local_work += (
            local_totals - self._average_local_work
        ) * _AVERAGE_WEIGHT
        self._average_peer_work += (
            peers - self._average_peer_work
        ) * _AVERAGE_WEIGHT

    def expected_total(self, key: str) -> float:
        """Return the work at a target, including likely unreported work.

        All gateways see free capacity at the same time and learn of each
        other's requests only from the next reports.
        """
        started = self._started.get(key)
        if started is None or self._average_local_work <= _EPSILON:
            return self.total(key)
        peer_ratio = min(
            len(self._peers), self._average_peer_work / self._average_local_work
        )
        return self.total(key) + started * peer_ratio * _CONCURRENT_START_RATIO

    def local_totals(self) -> Mapping[str, float]:
        """Return the work of this gateway, for its reports to peers."""
        return self._local

    def observe_peer(self, peer: str, work: Mapping[str, float]) -> None:
        """Apply a report of another gateway."""
        if peer in self._peers:
            self._drop_peer(peer)
        # A load below zero can only come from another writer.
        loads = {key: row for key, row in work.items() if row > _NO_WORK}
        self._peers[peer] = (self._clock.monotonic_s(), loads)
        for key, amount in loads.items():
            self._peer_sums[key] = self._peer_sums.get(key, 0) + amount
        self.drop_stale_peers()

    def observe_target(self, target_id: str, requests: float) -> None:
        """Record the number of requests that a target reports."""
        self._reported[target_id] = (self._clock.monotonic_s(), requests)

    @property
    def _report_lifetime_s(self) -> float:
        return silence_s(len(self._peers), _MIN_REPORT_LIFETIME_S)

    def drop_stale_peers(self) -> None:
        """Drop the reports of peers that may have stopped."""
        since_s = self._clock.monotonic_s() - self._report_lifetime_s
        while self._peers:
            oldest = next(iter(self._peers))
            if self._peers[oldest][0] >= since_s:
                return
            self._drop_peer(oldest)

    def _drop_peer(self, peer: str) -> None:
        _, work = self._peers.pop(peer)
        for key, amount in work.items():
            left = self._peer_sums.get(key, 0) - amount
            if left < _EPSILON:
                self._peer_sums.pop(key, None)
            else:
                self._peer_sums[key] = left

    def total(self, key: str) -> float:
        """Return the work of all gateways at a target.

        A recent report of the target itself takes precedence if it is
        higher.
        """
        counted = self._local.get(key, 0) + self._peer_sums.get(key, 0)
        reported = self._reported.get(key)
        if reported is None or reported[1] <= counted:
            return counted
        age_s = self._clock.monotonic_s() - reported[0]
        return reported[1] if age_s < _TARGET_REPORT_LIFETIME_S else counted
