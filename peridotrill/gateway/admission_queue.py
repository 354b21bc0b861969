"""Queues in which requests wait at the gateway for capacity at a target.

Targets are sent little more than they can process concurrently, so that a
request that becomes urgent, is cancelled or could use a better target is not
stuck behind others. Under overload, requests that can still meet their
latency goal are served first, and those that cannot be served before their
deadline are rejected on arrival.
"""

import asyncio
from collections.abc import Callable
from typing import Final, NamedTuple, final

from expression import Result

from peridotrill.clock import Clock
from peridotrill.fair_queue import FairQueue, QueueBounds, Ticket
from peridotrill.gateway.targets import TargetRecord

# The queue is also checked periodically, since reports of other gateways free
# capacity without a local event.
POLL_INTERVAL_S: Final = 0.02
# Added to the priority of requests that missed their goal while queued.
_LATE_PRIORITY_OFFSET: Final = 100
# Fraction of the remaining time for which such a request keeps waiting. The
# rest is left for a retry by the caller.
_LATE_WAIT_RATIO: Final = 0.6
# Window in which the service rate is measured; bursts last a few seconds.
_RATE_WINDOW_S: Final = 0.6
# All teams have the same weight: the configuration defines none.
_TEAM_WEIGHT: Final = 1.0


class Reservation(NamedTuple):
    """Reserved capacity at a target.

    ``running`` counts running requests, ``prefill_ms`` is prefill work.
    """

    target: TargetRecord
    running: float = 0
    prefill_ms: float = 0


# Finds capacity for a request; returns None while there is none.
ReservationFinder = Callable[[], Reservation | None]


class ReservationRequest(NamedTuple):
    """A request for capacity at a target.

    ``goal_s`` and ``deadline_s`` are monotonic times: the latest times for a
    reservation to let the request meet its latency goal and its deadline.
    """

    find: ReservationFinder
    team: str
    priority: int
    cost: float
    goal_s: float
    deadline_s: float


class _Waiter(NamedTuple):
    request: ReservationRequest
    granted: asyncio.Future[Reservation | None]


@final
class AdmissionQueue:
    """Queue for the targets of one pool, with fair queuing between teams."""

    def __init__(
        self,
        clock: Clock,
        bounds: QueueBounds,
        on_grant: Callable[[Reservation], None],
        on_release: Callable[[Reservation], None],
    ) -> None:
        """:param on_grant: called before a reservation is granted.

        :param on_release: called with a granted reservation whose request
            was cancelled before it could use it.
        """
        self._clock = clock
        self._on_grant = on_grant
        self._on_release = on_release
        self._queue = FairQueue(clock, bounds, _RATE_WINDOW_S)
        self._timer: asyncio.TimerHandle | None = None

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self._queue)

    def estimate_wait_s(self, team: str, priority: int) -> float:
        """Estimate how long a new request would wait."""
        return self._queue.estimate_wait_s(team, _TEAM_WEIGHT, priority)

    async def acquire(self, request: ReservationRequest) -> Reservation | None:
        """Wait for a reservation.

        :return: None at the deadline, or immediately if the estimated wait
            exceeds it.
        """
        if not self._queue:
            reservation = request.find()
            if reservation is not None:
                self._on_grant(reservation)
                return reservation
        waiter = _Waiter(request, asyncio.get_running_loop().create_future())
        if self._push(waiter, request.priority, request.deadline_s).is_error():
            return None
        self.dispatch()
        self._start_timer()
        try:
            return await waiter.granted
        except asyncio.CancelledError:
            # The next ``dispatch`` removes the request from the queue.
            if waiter.granted.done() and not waiter.granted.cancelled():
                self._release(waiter.granted.result())
            raise

    def dispatch(self) -> None:
        """Grant the available capacity to waiting requests."""
        for expired in self._queue.expire():
            _resolve(expired.item, None)
        while True:
            ticket = self._queue.peek()
            if ticket is None or not self._process_ticket(ticket):
                return

    def _process_ticket(self, ticket: Ticket) -> bool:
        """Grant, drop or deprioritize a request; return False if it waits."""
        waiter: _Waiter = ticket.item
        is_in_time = self._clock.monotonic_s() <= waiter.request.goal_s
        if waiter.granted.done():
            self._queue.remove(ticket)
            return True
        if ticket.priority < _LATE_PRIORITY_OFFSET and not is_in_time:
            self._deprioritize(ticket)
            return True
        reservation = waiter.request.find()
        if reservation is None:
            return False
        self._queue.pop()
        self._on_grant(reservation)
        _resolve(waiter, reservation)
        return True

    def _release(self, reservation: Reservation | None) -> None:
        if reservation is not None:
            self._on_release(reservation)
            self.dispatch()

    def _push(
        self,
        waiter: _Waiter,
        priority: int,
        deadline_s: float,
    ) -> Result[Ticket, str]:
        request = waiter.request
        return self._queue.push(
            waiter,
            request.team,
            _TEAM_WEIGHT,
            request.cost,
            priority,
            deadline_s,
        )

    def _deprioritize(self, ticket: Ticket) -> None:
        """Requeue a late request behind those that can meet their goal."""
        self._queue.remove(ticket)
        waiter: _Waiter = ticket.item
        now_s = self._clock.monotonic_s()
        remaining_s = waiter.request.deadline_s - now_s
        pushed = self._push(
            waiter,
            ticket.priority + _LATE_PRIORITY_OFFSET,
            now_s + remaining_s * _LATE_WAIT_RATIO,
        )
        if pushed.is_error():
            _resolve(waiter, None)

    def _start_timer(self) -> None:
        if self._timer is None and self._queue:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(POLL_INTERVAL_S, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        self.dispatch()
        self._start_timer()


def _resolve(waiter: _Waiter, reservation: Reservation | None) -> None:
    if not waiter.granted.done():
        waiter.granted.set_result(reservation)
