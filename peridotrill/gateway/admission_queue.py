"""Queues in which requests wait at the gateway for a place at a target.

Targets get little more than they work on at once, so that a request that
becomes urgent, is cancelled or finds a better target is not stuck behind
others. Answers the load of days on which callers ask for more than the
targets give.
"""

import asyncio
import heapq
import itertools
from collections.abc import Callable
from typing import Final, NamedTuple, final

from peridotrill.clock import Clock
from peridotrill.gateway.targets import TargetRecord

# Waiting requests are also looked at without news, since the reports of
# other gateways free places, too.
POLL_S: Final = 0.02


class Place(NamedTuple):
    """A place at a target; ``work`` is in the unit of its load."""

    target: TargetRecord
    work: float


# Returns a place for a request, or None while there is none.
PlaceFinder = Callable[[], Place | None]


class _Waiter(NamedTuple):
    rank: tuple[float, ...]
    number: int
    find: PlaceFinder
    granted: asyncio.Future[Place | None]
    give_up_s: float
    work: float


@final
class AdmissionQueue:
    """Requests that wait for the targets of one pool, best rank first."""

    def __init__(self, clock: Clock, on_grant: Callable[[Place], None]) -> None:
        """:param on_grant: called before a place is handed out."""
        self._clock = clock
        self._on_grant = on_grant
        self._waiters: list[_Waiter] = []
        self._numbers = itertools.count()
        self._timer: asyncio.TimerHandle | None = None

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self._waiters)

    def waiting_work(self) -> float:
        """Return the work of the waiting requests."""
        return sum(waiter.work for waiter in self._waiters)

    async def acquire(
        self,
        find: PlaceFinder,
        rank: tuple[float, ...],
        give_up_s: float,
        work: float = 1,
    ) -> Place | None:
        """Wait for a place.

        :param find: looks for a place now.
        :param rank: lower ones go first.
        :param give_up_s: monotonic time at which waiting is useless.
        :return: None if there was no place in time.
        """
        if not self._waiters or rank < self._waiters[0].rank:
            place = find()
            if place is not None:
                self._on_grant(place)
                return place
        loop = asyncio.get_running_loop()
        waiter = _Waiter(
            rank,
            next(self._numbers),
            find,
            loop.create_future(),
            give_up_s,
            work,
        )
        heapq.heappush(self._waiters, waiter)
        self._arm()
        try:
            return await waiter.granted
        finally:
            if not waiter.granted.done() or waiter.granted.cancelled():
                self._remove(waiter)

    def pump(self) -> None:
        """Hand out the places that are free now."""
        now_s = self._clock.monotonic_s()
        blocked: list[_Waiter] = []
        while self._waiters:
            waiter = heapq.heappop(self._waiters)
            if waiter.granted.done():
                continue
            if now_s >= waiter.give_up_s:
                waiter.granted.set_result(None)
                continue
            place = waiter.find()
            if place is None:
                blocked.append(waiter)
                continue
            self._on_grant(place)
            waiter.granted.set_result(place)
        for waiter in blocked:
            heapq.heappush(self._waiters, waiter)

    def _remove(self, waiter: _Waiter) -> None:
        if waiter in self._waiters:
            self._waiters.remove(waiter)
            heapq.heapify(self._waiters)

    def _arm(self) -> None:
        if self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(POLL_S, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        self.pump()
        if self._waiters:
            self._arm()
