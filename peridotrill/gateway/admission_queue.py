"""Queues in which requests wait at the gateway for a place at a target.

Targets get little more than they work on at once, so that a request that
becomes urgent, is cancelled or finds a better target is not stuck behind
others. Answers the load of days on which callers ask for more than the
targets give: requests that can still be answered within their goal go first,
those that cannot be served before their deadline are refused on arrival.
"""

import asyncio
from collections.abc import Callable
from typing import Final, NamedTuple, final

from expression import Result

from peridotrill.clock import Clock
from peridotrill.fair_queue import FairQueue, QueueBounds, Ticket
from peridotrill.gateway.targets import TargetRecord

# Waiting requests are also looked at without news, since the reports of
# other gateways free places, too.
POLL_INTERVAL_S: Final = 0.02
# Added to the priority of requests that missed their goal while waiting.
_LATE_PRIORITY_OFFSET: Final = 100
# Part of its remaining time that such a request waits on: the rest is left
# for another try of its caller, who would otherwise be held in vain.
_LATE_WAIT_RATIO: Final = 0.6
# Span over which the rate of a queue is measured; bursts last some seconds.
_RATE_WINDOW_S: Final = 0.6
# All teams weigh the same: the configuration has no weights.
_TEAM_WEIGHT: Final = 1.0


class Reservation(NamedTuple):
    """A place at a target: a running request, or prompt reading in ms."""

    target: TargetRecord
    running: float = 0
    prefill_ms: float = 0


# Returns a place for a request, or None while there is none.
ReservationFinder = Callable[[], Reservation | None]


class ReservationRequest(NamedTuple):
    """A request for a place.

    ``goal_s`` and ``give_up_s`` are monotonic times: until when a place lets
    the request meet its goal, and until when a place is of use at all.
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
    """Requests that wait for the targets of one pool, fair between teams."""

    def __init__(
        self,
        clock: Clock,
        bounds: QueueBounds,
        on_grant: Callable[[Reservation], None],
        on_release: Callable[[Reservation], None],
    ) -> None:
        """:param on_grant: called before a place is handed out.

        :param on_return: called with a place whose request was cancelled
            before it could take it.
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
        """Wait for a place.

        :return: None, at once if the wait would be in vain, else when the
            time is over.
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
            # A waiting request is dropped by the next ``pump``.
            if waiter.granted.done() and not waiter.granted.cancelled():
                self._release(waiter.granted.result())
            raise

    def dispatch(self) -> None:
        """Hand out the places that are free now."""
        for expired in self._queue.expire():
            _resolve(expired.item, None)
        while True:
            ticket = self._queue.peek()
            if ticket is None or not self._process_ticket(ticket):
                return

    def _process_ticket(self, ticket: Ticket) -> bool:
        """Serve, drop or postpone a request; return False if it waits on."""
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
        """Let those go first that can still meet their goal."""
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
