"""Work in progress at each target: own, and as other gateways report it."""

from collections.abc import Mapping
from typing import Final, final

from peridotrill.clock import Clock
from peridotrill.gateway.admission_queue import Reservation

# A report of another gateway counts for this long; its process may be gone.
_PEER_REPORT_LIFETIME_S: Final = 1.0
# Sums of fractions do not come back to exactly zero.
_EPSILON: Final = 1e-6
_NO_WORK: Final = 0.0
# A target's own figure counts for this long; requests end meanwhile.
_TARGET_REPORT_LIFETIME_S: Final = 0.15
# Part of the work of the other gateways that is expected to begin at the same
# target as that of this one.
_CONCURRENT_START_RATIO: Final = 0.9
# Weight of the newest interval in the average work of this gateway and others.
_AVERAGE_WEIGHT: Final = 0.1


def prefill_key(target_id: str) -> str:
    """Return the key under which a target's prompt reading is counted."""
    return f'{target_id}/read'


@final
class LoadTracker:
    """Work in progress by target or by the key of its prompt reading.

    The unit is running requests, or milliseconds of prompt reading.
    """

    def __init__(self, clock: Clock) -> None:
        """Nothing is in progress at the start."""
        self._clock = clock
        self._local: dict[str, float] = {}
        self._peers: dict[str, tuple[float, Mapping[str, float]]] = {}
        self._peer_sums: dict[str, float] = {}
        self._reported: dict[str, tuple[float, float]] = {}
        # Work that was begun since the last own report.
        self._started: dict[str, float] = {}
        # Average work of this gateway and of all others, both units together:
        # only their ratio is used.
        self._average_local_work = 0.0
        self._average_peer_work = 0.0

    def begin(self, reservation: Reservation) -> None:
        """Count the work of a place."""
        target_id = reservation.target.target_id
        self.add(target_id, reservation.running)
        self.add(prefill_key(target_id), reservation.prefill_ms)

    def end(self, reservation: Reservation) -> None:
        """End the work of a place."""
        target_id = reservation.target.target_id
        self.remove(target_id, reservation.running)
        self.remove(prefill_key(target_id), reservation.prefill_ms)

    def add(self, target_id: str, work: float) -> None:
        """Begin work at a target."""
        if work > _NO_WORK:
            self._local[target_id] = self._local.get(target_id, 0) + work
            self._started[target_id] = self._started.get(target_id, 0) + work

    def remove(self, target_id: str, work: float) -> None:
        """End work at a target."""
        left = self._local.get(target_id, 0) - work
        if left < _EPSILON:
            self._local.pop(target_id, None)
        else:
            self._local[target_id] = left

    def end_report_interval(self) -> None:
        """Start a new interval; the own work is being reported."""
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
        """Return the work at a target with what others most likely began.

        All gateways see a target with room at the same moment, and hear of
        each other's requests with the next reports only.
        """
        started = self._started.get(key)
        if started is None or self._average_local_work <= _EPSILON:
            return self.total(key)
        others = min(
            len(self._peers), self._average_peer_work / self._average_local_work
        )
        return self.total(key) + started * others * _CONCURRENT_START_RATIO

    def local_totals(self) -> Mapping[str, float]:
        """Return this gateway's work, for its reports."""
        return self._local

    def observe_peer(self, peer: str, work: Mapping[str, float]) -> None:
        """Take over a report of another gateway."""
        now_s = self._clock.monotonic_s()
        self._peers[peer] = (now_s, work)
        sums: dict[str, float] = {}
        for name, (heard_s, rows) in list(self._peers.items()):
            if now_s - heard_s > _PEER_REPORT_LIFETIME_S:
                self._peers.pop(name)
                continue
            for key, amount in rows.items():
                sums[key] = sums.get(key, 0) + amount
        self._peer_sums = sums

    def observe_target(self, target_id: str, requests: float) -> None:
        """Take over the number of requests that a target says it has."""
        self._reported[target_id] = (self._clock.monotonic_s(), requests)

    def drop_stale_peers(self) -> None:
        """Drop the reports that are too old, while no new ones arrive."""
        oldest_s = self._clock.monotonic_s() - _PEER_REPORT_LIFETIME_S
        if all(heard_s < oldest_s for heard_s, _ in self._peers.values()):
            self._peers.clear()
            self._peer_sums = {}

    def total(self, key: str) -> float:
        """Return the work of all gateways at a target.

        A recent figure of the target itself counts if it is higher.
        """
        counted = self._local.get(key, 0) + self._peer_sums.get(key, 0)
        reported = self._reported.get(key)
        if reported is None or reported[1] <= counted:
            return counted
        age_s = self._clock.monotonic_s() - reported[0]
        return reported[1] if age_s < _TARGET_REPORT_LIFETIME_S else counted
