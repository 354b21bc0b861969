"""Queues in which requests wait at the gateway for capacity at a target.

The gateway sends a target only slightly more requests than it can process
concurrently and queues the rest here, so that a request that becomes urgent,
is cancelled or could use a better target is not stuck in the queue of a target.
Under overload, requests that can still meet their latency goal are served
first, and those that cannot be served before their deadline are rejected on
arrival.
"""

import asyncio
import itertools
from collections.abc import Callable
from functools import partial
from typing import Final, NamedTuple, final

from expression import Result

from peridotrill.clock import Clock
from peridotrill.fair_queue import FairQueue, QueueBounds, Ticket
from peridotrill.gateway.load_shedding import (
    Displacement,
    LoadShedder,
    WaitingRequest,
    WaitingTotal,
)
from peridotrill.gateway.metrics import DELAYED, PROTECTED, YIELDED
from peridotrill.gateway.targets import TargetRecord

# Queues are also dispatched periodically: requests of other gateways end too,
# but their reports do not trigger a dispatch.
_POLL_INTERVAL_S: Final = 0.02
# Each priority has a class, and one behind it for requests that are delayed.
_CLASSES_PER_PRIORITY: Final = 2
# Added to the class of requests that missed their goal while queued; higher
# numbers are served later.
_LATE_CLASS_OFFSET: Final = 200
# A request that missed its goal keeps waiting for this fraction of the time to
# its queue deadline. The rest is left for a retry by the caller.
_LATE_WAIT_RATIO: Final = 0.6
# Averaging window of the service rate. It is short, since bursts last only a
# few seconds.
_RATE_WINDOW_S: Final = 0.6
# A request with less time until its latency goal leaves no capacity to others.
_MIN_YIELD_SLACK_S: Final = 0.1
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


def _never_yield(priority: int) -> bool:
    """Use all capacity; for a gateway without others."""
    return False


def _ignore(displacement: Displacement) -> None:
    """Do nothing; used if nobody is told why a request is turned away."""


class ReservationRequest(NamedTuple):
    """A request for capacity at a target.

    Lower priority numbers are served first. ``cost`` is the work of the request
    for fair queueing, in a unit common to all requests of the queue.
    ``goal_deadline_s`` and ``queue_deadline_s`` are monotonic times: with a
    reservation by the first the request is expected to meet its latency goal,
    and at the second it stops waiting. ``regions`` are those in which it may be
    served, None for all. ``kind`` is the route. Only a request of
    which nothing was sent to an engine ``is_displaceable``: it may be refused
    before its queue deadline, and ``on_displaced`` gets the reason.
    """

    find: ReservationFinder
    team: str
    priority: int
    cost: float
    goal_deadline_s: float
    queue_deadline_s: float
    kind: str = ''
    is_displaceable: bool = False
    on_displaced: Callable[[Displacement], None] = _ignore
    regions: frozenset[str] | None = None


class _Waiter(NamedTuple):
    """A queued request.

    The result of ``granted`` is its reservation, or None if it is refused.
    """

    request: ReservationRequest
    granted: asyncio.Future[Reservation | None]
    row: WaitingRequest


@final
class AdmissionQueue:
    """Queue of one pool of a service, with fair queueing between teams."""

    def __init__(
        self,
        clock: Clock,
        bounds: QueueBounds,
        on_grant: Callable[[Reservation], None],
        on_release: Callable[[Reservation], None],
        must_yield: Callable[[int], bool] = _never_yield,
        shedder: LoadShedder | None = None,
    ) -> None:
        """:param on_grant: allocates the capacity of a reservation that is
            about to be granted, so that the next finder takes it into account.

        :param on_release: releases a granted reservation whose request was
            cancelled before it could use it. Others are released by the user
            of the reservation.

        :param must_yield: tells whether requests of a priority leave free
            capacity to other gateways for now.

        :param shedder: decides what is turned away; None for a new one.
        """
        self._clock = clock
        self._bounds = bounds
        self._on_grant = on_grant
        self._on_release = on_release
        self._must_yield = must_yield
        self._queue = FairQueue(clock, bounds, _RATE_WINDOW_S)
        self._shedder = shedder or LoadShedder(clock)
        self._numbers = itertools.count()
        # Tickets by the number of their ``WaitingRequest``, in order of arrival.
        self._tickets: dict[int, Ticket] = {}
        self._timer: asyncio.TimerHandle | None = None

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self._queue)

    def estimate_wait_s(self, team: str, priority: int) -> float:
        """Estimate how long a new request would wait."""
        return self._queue.estimate_wait_s(
            team, _TEAM_WEIGHT, priority * _CLASSES_PER_PRIORITY
        )

    async def acquire(self, request: ReservationRequest) -> Reservation | None:
        """Wait for a reservation.

        :return: None at the queue deadline, or immediately if the queue is
            full or the estimated wait exceeds the deadline. Requests that
            missed their latency goal may get None before the queue deadline.
        """
        if not self._queue and not self._yields(request):
            reservation = request.find()
            if reservation is not None:
                self._on_grant(reservation)
                return reservation
        waiter = self._create_waiter(request)
        if not self._admit(waiter):
            self._shedder.record_outcome(waiter.row, is_served=False)
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
            self._tickets.pop(expired.item.row.number, None)
            self._refuse(expired.item)
        if self._queue and self._shedder.is_review_due(len(self._queue)):
            self._review()
        full: set[frozenset[str]] = set()
        is_granted = True
        while is_granted:
            is_granted = self._grant_next(full)
        if not self._queue:
            self._shedder.reset()

    def waiting_totals(self) -> dict[int, WaitingTotal]:
        """Return what waits by priority, as of the last review."""
        return self._shedder.totals

    def _create_waiter(self, request: ReservationRequest) -> _Waiter:
        row = WaitingRequest(
            next(self._numbers),
            request.priority,
            request.team,
            request.kind,
            max(1, request.cost),
            request.goal_deadline_s,
            request.queue_deadline_s,
            request.is_displaceable,
        )
        granted = asyncio.get_running_loop().create_future()
        return _Waiter(request, granted, row)

    def _admit(self, waiter: _Waiter) -> bool:
        """Add a request to the queue, if need be in place of others."""
        row = waiter.row
        self._shedder.record_arrival(row)
        is_full = len(self._queue) >= self._bounds.max_requests
        if is_full and self._is_reachable(row):
            self._displace(self._shedder.make_place(row, self._tickets))
        return self._push(waiter, row.deadline_s).is_ok()

    def _is_reachable(self, row: WaitingRequest) -> bool:
        """Tell whether a newcomer can be served before its deadline."""
        wait_s = self.estimate_wait_s(row.team, row.priority)
        return self._clock.monotonic_s() + wait_s < row.deadline_s

    def _review(self) -> None:
        waiting = (
            ticket.item.row
            for ticket in self._tickets.values()
            if not ticket.item.granted.done()
        )
        review = self._shedder.review(waiting, self._queue.service_rate())
        self._displace(review.hopeless)
        for number in review.delayed:
            self._delay(self._tickets[number])

    def _displace(self, displacements: list[Displacement]) -> None:
        """Refuse requests before their queue deadline."""
        for displacement in displacements:
            ticket = self._tickets.pop(displacement.number)
            self._queue.remove(ticket)
            waiter: _Waiter = ticket.item
            if not waiter.granted.done():
                waiter.request.on_displaced(displacement)
                self._refuse(waiter)

    def _grant_next(self, full: set[frozenset[str]]) -> bool:
        """Process one request; return False if no other can be granted.

        :param full: sets of regions without capacity. Requests that are
            restricted to one of them are skipped.
        """
        protected = self._shedder.next_protected(self._tickets)
        if protected is not None:
            ticket = self._tickets[protected]
            if self._try_grant(ticket, is_protected=True):
                return True
            self._shedder.skip_protected()
        next_ticket = self._queue.peek(
            partial(_is_for_any, full) if full else None
        )
        if next_ticket is None or self._process_ticket(next_ticket):
            return next_ticket is not None
        regions = next_ticket.item.request.regions
        if regions is not None:
            full.add(regions)
        return regions is not None

    def _process_ticket(self, ticket: Ticket) -> bool:
        """Grant, drop or deprioritize the next request.

        :return: False if it must keep waiting for capacity.
        """
        waiter: _Waiter = ticket.item
        is_in_time = self._clock.monotonic_s() <= waiter.request.goal_deadline_s
        if waiter.granted.done():
            self._remove(ticket)
            return True
        if not (waiter.row.is_late or is_in_time):
            self._deprioritize(ticket)
            return True
        return self._try_grant(ticket, is_protected=False)

    def _try_grant(self, ticket: Ticket, is_protected: bool) -> bool:
        """Serve a request if it can be placed, or drop a cancelled one."""
        waiter: _Waiter = ticket.item
        if waiter.granted.done():
            self._remove(ticket)
            return True
        reservation = None
        if not self._yields(waiter.request):
            reservation = waiter.request.find()
        if reservation is None:
            return False
        if is_protected:
            PROTECTED.inc()
            self._queue.take(ticket)
        else:
            self._queue.pop(ticket)
        self._tickets.pop(waiter.row.number)
        self._shedder.record_outcome(waiter.row, is_served=True)
        self._shedder.record_grant(waiter.row.work, is_protected)
        self._on_grant(reservation)
        _resolve(waiter, reservation)
        return True

    def _yields(self, request: ReservationRequest) -> bool:
        """Tell whether a request leaves free capacity to other gateways."""
        if not self._must_yield(request.priority):
            return False
        left_s = request.goal_deadline_s - self._clock.monotonic_s()
        if 0 <= left_s < _MIN_YIELD_SLACK_S:
            return False
        YIELDED.inc()
        return True

    def _remove(self, ticket: Ticket) -> None:
        self._queue.remove(ticket)
        self._tickets.pop(ticket.item.row.number, None)

    def _refuse(self, waiter: _Waiter) -> None:
        if not waiter.granted.done():
            self._shedder.record_outcome(waiter.row, is_served=False)
        _resolve(waiter, None)

    def _release(self, reservation: Reservation | None) -> None:
        if reservation is not None:
            self._on_release(reservation)
            self.dispatch()

    def _push(
        self,
        waiter: _Waiter,
        queue_deadline_s: float,
    ) -> Result[Ticket, str]:
        request = waiter.request
        pushed = self._queue.push(
            waiter,
            request.team,
            _TEAM_WEIGHT,
            request.cost,
            _class_number(waiter.row),
            queue_deadline_s,
        )
        if pushed.is_ok():
            self._tickets[waiter.row.number] = pushed.ok
        return pushed

    def _delay(self, ticket: Ticket) -> None:
        """Requeue a request behind the others of its priority."""
        DELAYED.inc()
        waiter: _Waiter = ticket.item
        self._requeue(
            ticket, waiter.row._replace(is_delayed=True), ticket.deadline_s
        )

    def _deprioritize(self, ticket: Ticket) -> None:
        """Requeue a request that missed its goal behind those in time."""
        waiter: _Waiter = ticket.item
        now_s = self._clock.monotonic_s()
        remaining_s = waiter.request.queue_deadline_s - now_s
        self._requeue(
            ticket,
            self._shedder.mark_late(waiter.row),
            now_s + remaining_s * _LATE_WAIT_RATIO,
        )

    def _requeue(
        self, ticket: Ticket, row: WaitingRequest, queue_deadline_s: float
    ) -> None:
        self._remove(ticket)
        waiter = ticket.item._replace(row=row)
        if self._push(waiter, queue_deadline_s).is_error():
            self._refuse(waiter)

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


def _class_number(row: WaitingRequest) -> int:
    """Return the class of a request in fair queueing."""
    offset = _LATE_CLASS_OFFSET if row.is_behind_all else 0
    return row.priority * _CLASSES_PER_PRIORITY + row.is_delayed + offset


def _resolve(waiter: _Waiter, reservation: Reservation | None) -> None:
    if not waiter.granted.done():
        waiter.granted.set_result(reservation)
