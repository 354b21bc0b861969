"""What waits for capacity at the gateways, as they report it to each other.

Capacity is scarce for all gateways together, and each sees it become free at
about the same time. A gateway whose requests are less urgent than those that
wait elsewhere leaves it to the others for a part of the time. It asks nobody:
if what is reported is wrong, a request waits for some more milliseconds.
"""

import math
import random
from collections.abc import Callable, Mapping
from typing import Final, NamedTuple, final

from peridotrill.clock import Clock
from peridotrill.gateway.load_shedding import WaitingTotal
from peridotrill.gateway.report_timing import report_interval_s

# Reports that are older, in report intervals, tell nothing of what waits now.
# One report may be lost.
_MAX_AGE_INTERVALS: Final = 2.5
# In each cycle, free capacity is left to others for this part of the time. The rest
# bounds what less urgent requests lose, whatever others report. With 0.4, urgent
# requests at other gateways still were served less often than the less urgent.
_YIELD_SHARE: Final = 0.7
CYCLE_S: Final = 0.1
# Gateways with the same cycle would use free capacity at the same moment, more of
# it than there is. Each has its own, longer or shorter by up to this part.
_CYCLE_SPREAD: Final = 0.15
_MS_PER_S: Final = 1000
# The reports of all gateways are merged at most this often.
_MERGE_INTERVAL_S: Final = 0.02


def choose_cycle_s() -> float:
    """Return the length of this process's cycle; others have other ones."""
    return CYCLE_S * random.uniform(1 - _CYCLE_SPREAD, 1 + _CYCLE_SPREAD)


class WaitingRow(NamedTuple):
    """Requests of one priority that wait for one pool of a service.

    ``work`` is in the unit of the pool's queue. ``earliest_goal_ms`` is the time
    from the report to the first goal, negative if it was missed.
    """

    requests: int
    work: int
    earliest_goal_ms: int


class _PeerReport(NamedTuple):
    """The most urgent priority that waits at a gateway, by queue."""

    heard_s: float
    most_urgent: dict[str, int]


@final
class WaitingWork:
    """What waits here, and what the other gateways have said lately."""

    def __init__(self, clock: Clock, cycle_s: float = CYCLE_S) -> None:
        """:param cycle_s: see ``choose_cycle_s``."""
        self._clock = clock
        self._cycle_s = cycle_s
        self._queues: dict[str, Callable[[], dict[int, WaitingTotal]]] = {}
        # Gateways whose last report says that something waits.
        self._peers: dict[str, _PeerReport] = {}
        self._known_peers: set[str] = set()
        # Most urgent priority that waits at any other gateway, by queue.
        self._most_urgent: dict[str, int] = {}
        self._merged_s = -math.inf

    def add_queue(
        self, name: str, totals: Callable[[], dict[int, WaitingTotal]]
    ) -> None:
        """Report what waits in a queue.

        :param totals: returns it by priority.
        """
        self._queues[name] = totals

    def report(self) -> dict[str, WaitingRow]:
        """Return what waits here, for the reports to peers."""
        now_s = self._clock.monotonic_s()
        return {
            f'{name}/{priority}': WaitingRow(
                total.requests,
                round(total.work),
                round((total.earliest_goal_s - now_s) * _MS_PER_S),
            )
            for name, totals in self._queues.items()
            for priority, total in totals().items()
        }

    def observe_peer(self, peer: str, rows: Mapping[str, WaitingRow]) -> None:
        """Apply a report of another gateway."""
        self._known_peers.add(peer)
        if not rows:
            self._peers.pop(peer, None)
            return
        most_urgent: dict[str, int] = {}
        for key, row in rows.items():
            name, _, priority = key.rpartition('/')
            if row.requests > 0 and _is_number(priority):
                _keep_lowest(most_urgent, {name: int(priority)})
        self._peers[peer] = _PeerReport(self._clock.monotonic_s(), most_urgent)

    def must_yield(self, name: str, priority: int) -> bool:
        """Tell whether a request leaves free capacity to others for now.

        :param name: the queue in which it waits.
        """
        if not self._peers:
            return False
        now_s = self._clock.monotonic_s()
        if now_s % self._cycle_s >= self._cycle_s * _YIELD_SHARE:
            return False
        if now_s - self._merged_s >= _MERGE_INTERVAL_S:
            self._merge(now_s)
        return self._most_urgent.get(name, priority) < priority

    def _merge(self, now_s: float) -> None:
        """Find the most urgent priority of all gateways, by queue."""
        self._merged_s = now_s
        self._most_urgent = {}
        interval_s = report_interval_s(len(self._known_peers))
        since_s = now_s - _MAX_AGE_INTERVALS * interval_s
        for report in self._peers.values():
            if report.heard_s >= since_s:
                _keep_lowest(self._most_urgent, report.most_urgent)


def _keep_lowest(lowest: dict[str, int], found: dict[str, int]) -> None:
    for name, priority in found.items():
        lowest[name] = min(lowest.get(name, priority), priority)


def _is_number(text: str) -> bool:
    """Tell whether another writer's text is a priority."""
    digits = text.removeprefix('-')
    return digits.isascii() and digits.isdigit() and len(digits) < 10
