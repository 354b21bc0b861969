"""Queues in which requests wait at the gateway for capacity at a target.

The gateway sends a target only slightly more requests than it can process
concurrently and queues the rest here, so that a request that becomes urgent,
is cancelled or could use a better target is not stuck in the queue of a target.
Under overload, requests that can still meet their latency goal are served
first, and those that cannot be served before their deadline are rejected on
arrival.
"""

import asyncio
from collections.abc import Callable
from functools import partial
from typing import Final, NamedTuple, final

from expression import Result

from peridotrill.clock import Clock
from peridotrill.fair_queue import FairQueue, QueueBounds, Ticket
from peridotrill.gateway.targets import TargetRecord

# Queues are also dispatched periodically: requests of other gateways end too,
# but their reports do not trigger a dispatch.
_POLL_INTERVAL_S: Final = 0.02
# Added to the priority of requests that missed their goal while queued; higher
# numbers are served later. Requests with at least this priority number count as
# deprioritized already.
_LATE_PRIORITY_OFFSET: Final = 100
# A request that missed its goal keeps waiting for this fraction of the time to
# its queue deadline. The rest is left for a retry by the caller.
_LATE_WAIT_RATIO: Final = 0.6
# Averaging window of the service rate. It is short, since bursts last only a
# few seconds.
_RATE_WINDOW_S: Final = 0.6
# Weight in fair queueing. The configuration defines none, so all teams have
# the same.
_TEAM_WEIGHT: Final = 1.0


class Reservation(NamedTuple):
    """Capacity at a target that is allocated to one request.

    The request adds ``running`` to the number of running requests at the
    target, and ``prefill_ms`` to the prefill work there. ``running`` is 0 if
    the target only processes the prompt. ``ahead_ms`` is the prefill work that
    was known there before, and ``slowdown`` the factor by which the engines were
    taken to be slower than their model.
    """

    target: TargetRecord
    running: float = 0
    prefill_ms: float = 0
    ahead_ms: float = 0
    slowdown: float = 1


# Finds capacity for a request, but does not allocate it; returns None while
# there is none.
ReservationFinder = Callable[[], Reservation | None]


class ReservationRequest(NamedTuple):
    """A request for capacity at a target.

    Lower priority numbers are served first. ``cost`` is the work of the request
    for fair queueing, in a unit common to all requests of the queue.
    ``goal_deadline_s`` and ``queue_deadline_s`` are monotonic times: with a
    reservation by the first the request is expected to meet its latency goal,
    and at the second it stops waiting. ``regions`` are those in which it may be
    served, None for all.
    """

    find: ReservationFinder
    team: str
    priority: int
    cost: float
    goal_deadline_s: float
    queue_deadline_s: float
    regions: frozenset[str] | None = None


class _Waiter(NamedTuple):
    """A queued request.

    The result of ``granted`` is its reservation, or None if it is refused.
    """

    request: ReservationRequest
    granted: asyncio.Future[Reservation | None]


@final
class AdmissionQueue:
    """Queue of one pool of a service, with fair queueing between teams."""

    def __init__(
        self,
        clock: Clock,
        bounds: QueueBounds,
        on_grant: Callable[[Reservation], None],
        on_release: Callable[[Reservation], None],
    ) -> None:
        """:param on_grant: allocates the capacity of a reservation that is
            about to be granted, so that the next finder takes it into account.

        :param on_release: releases a granted reservation whose request was
            cancelled before it could use it. Others are released by the user
            of the reservation.
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

        :return: None at the queue deadline, or immediately if the queue is
            full or the estimated wait exceeds the deadline. Requests that
            missed their latency goal may get None before the queue deadline.
        """
        if not self._queue:
            reservation = request.find()
            if reservation is not None:
                self._on_grant(reservation)
                return reservation
        waiter = _Waiter(request, asyncio.get_running_loop().create_future())
        if self._push(
            waiter, request.priority, request.queue_deadline_s
        ).is_error():
            return None
        self.dispatch()
        self._start_timer()
        try:
            return await waiter.granted
        except asyncio.CancelledError:
            # The cancellation may arrive after the reservation was granted.
            # Otherwise it cancels ``granted``, and the next ``dispatch`` that
            # reaches the request removes it from the queue.
            if waiter.granted.done() and not waiter.granted.cancelled():
                self._release(waiter.granted.result())
            raise

    def dispatch(self) -> None:
        """Refuse expired requests, then grant the available capacity.

        A request that must wait for capacity in its regions does not hold up
        those that may be served in others.
        """
        for expired in self._queue.expire():
            _resolve(expired.item, None)
        full: set[frozenset[str]] = set()
        ticket = self._queue.peek()
        while ticket is not None:
            if not self._process_ticket(ticket):
                regions = ticket.item.request.regions
                if regions is None:
                    return
                full.add(regions)
            ticket = self._queue.peek(
                partial(_is_for_any, full) if full else None
            )

    def _process_ticket(self, ticket: Ticket) -> bool:
        """Grant, drop or deprioritize the next request.

        :return: False if it must keep waiting for capacity.
        """
        waiter: _Waiter = ticket.item
        is_in_time = self._clock.monotonic_s() <= waiter.request.goal_deadline_s
        if waiter.granted.done():
            self._queue.remove(ticket)
            return True
        if ticket.priority < _LATE_PRIORITY_OFFSET and not is_in_time:
            self._deprioritize(ticket)
            return True
        reservation = waiter.request.find()
        if reservation is None:
            return False
        self._queue.pop(ticket)
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
        queue_deadline_s: float,
    ) -> Result[Ticket, str]:
        request = waiter.request
        return self._queue.push(
            waiter,
            request.team,
            _TEAM_WEIGHT,
            request.cost,
            priority,
            queue_deadline_s,
        )

    def _deprioritize(self, ticket: Ticket) -> None:
        """Requeue a request that missed its goal behind those in time."""
        self._queue.remove(ticket)
        waiter: _Waiter = ticket.item
        now_s = self._clock.monotonic_s()
        remaining_s = waiter.request.queue_deadline_s - now_s
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
            self._timer = loop.call_later(_POLL_INTERVAL_S, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        self.dispatch()
        self._start_timer()


def _is_for_any(regions: set[frozenset[str]], ticket: Ticket) -> bool:
    """Tell whether a request is restricted to one of several sets of regions."""
    return ticket.item.request.regions in regions


def _resolve(waiter: _Waiter, reservation: Reservation | None) -> None:
    if not waiter.granted.done():
        waiter.granted.set_result(reservation)
