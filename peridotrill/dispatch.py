"""Assigns requests to targets in the order of the fair queues.

Each service has one queue.
"""

import secrets
from collections.abc import Iterable, Mapping, Sequence
from datetime import timedelta
from random import Random
from typing import Final, NamedTuple, final

import anyio
from expression import Result

from peridotrill.clock import Clock
from peridotrill.errors import UNKNOWN, RequestError
from peridotrill.fair_queue import FairQueue, QueueBounds, Ticket
from peridotrill.placement import Placement as HomePlacement
from peridotrill.placement import home_target
from peridotrill.routing import (
    LoadCorrection,
    LocalAttempts,
    RequestCost,
    TargetView,
    choose_target,
)
from peridotrill.services import Service
from peridotrill.targets import TargetTable

# The bodies in the queues of all services must fit in an entry's memory.
DEFAULT_BOUNDS: Final = QueueBounds(1000, 32 * 1024 * 1024)
# How long a request waits while no target of its service is reachable.
NO_TARGET_WAIT: Final = timedelta(seconds=5)
_RETRY_AFTER_S: Final = 1.0
_OPEN_ROUTE_WEIGHT: Final = 1.0


class Request(NamedTuple):
    """An admitted request; ``deadline_s`` is monotonic time.

    ``team`` is empty on open routes. ``caller_key`` is true if the
    idempotency key came from the caller. ``limit_wait_s`` is positive if the
    team is over its rate limit: the request is then not run, and answered
    only if the home target of its key knows an earlier request with the key.
    """

    request_id: str
    service: Service
    team: str
    method: str
    path: str
    headers: list[tuple[str, str]]
    body: bytes
    streaming: bool
    idempotent: bool
    key_digest: bytes
    request_digest: bytes
    caller_key: bool
    cost: RequestCost
    deadline_s: float
    limit_wait_s: float = 0.0


class Assignment(NamedTuple):
    """The target of an attempt, in whose load it counts until it ends.

    ``version`` is the version of the placement of keys on home targets, or
    0 if the request does not depend on it.
    """

    target_id: str
    attempt_id: str
    version: int = 0


@final
class _Waiter:
    """A queued request and the target that is assigned to it."""

    def __init__(self, request: Request, avoided: frozenset[str]) -> None:
        self.request = request
        self.avoided = avoided
        self.attempt_id = create_attempt_id()
        self.placed = anyio.Event()
        self.target_id = ''


def create_attempt_id() -> str:
    """Return a random 128-bit id in hexadecimal."""
    return secrets.token_hex(16)


@final
class Dispatcher:
    """Queues the requests of all services and chooses their targets."""

    def __init__(
        self,
        table: TargetTable,
        zone: str,
        clock: Clock,
        random: Random,
        placements: Mapping[str, Sequence[HomePlacement]],
        bounds: QueueBounds = DEFAULT_BOUNDS,
    ) -> None:
        """:param zone: availability zone of this entry.

        :param placements: sets of home targets by service, oldest first.
        """
        self._placements = placements
        self.local_attempts = LocalAttempts(clock)
        self._table = table
        self._zone = zone
        self._clock = clock
        self._random = random
        self._bounds = bounds
        self._queues: dict[str, FairQueue] = {}
        self._changed = anyio.Event()

    async def place(
        self,
        request: Request,
        avoided: Iterable[str] = (),
    ) -> Assignment:
        """Wait until a target can take the request.

        Raises RequestError.

        :param avoided: targets that are used only if there is no other.
        :return: the target, and the attempt that counts in its load until
            the caller ends it in ``local_attempts``.
        """
        waiter = _Waiter(request, frozenset(avoided))
        ticket = self._push(waiter)
        try:
            await self._wait(waiter)
        except BaseException:
            if waiter.target_id:
                self.local_attempts.ended(waiter.target_id, waiter.attempt_id)
            raise
        finally:
            self._queue(request.service.name).remove(ticket)
        return Assignment(waiter.target_id, waiter.attempt_id)

    async def place_at_home_target(self, request: Request) -> Assignment:
        """Wait until the home target of the key is reachable.

        Raises RequestError with ``outcome_unknown`` after a timeout, because
        an earlier request with the key may have run at the home target.

        :return: as ``place``.
        """
        with anyio.move_on_after(self._no_target_timeout_s(request)):
            while True:
                rows = self._placements.get(request.service.name)
                assignment = self._try_place_at_home(request, rows)
                if assignment is not None:
                    return assignment
                await self._changed.wait()
        raise RequestError(
            'outcome_unknown',
            'The home target of the idempotency key cannot be reached.',
            UNKNOWN,
        )

    def dispatch_all(self) -> None:
        """Assign targets to waiting requests after loads or links changed."""
        self._changed.set()
        self._changed = anyio.Event()
        for service in self._queues:
            self._dispatch(service)

    def count_waiting(self) -> int:
        """Return the number of queued requests."""
        return sum(len(queue) for queue in self._queues.values())

    def _try_place_at_home(
        self,
        request: Request,
        rows: Sequence[HomePlacement] | None,
    ) -> Assignment | None:
        if not rows:
            return None
        home = home_target(request.key_digest, rows[-1].targets)
        view = self._table.find(home) if home else None
        if view is None or not view.linked:
            return None
        attempt_id = create_attempt_id()
        self.local_attempts.started(view.target_id, attempt_id, request.cost)
        return Assignment(view.target_id, attempt_id, rows[-1].version)

    def _push(self, waiter: _Waiter) -> Ticket:
        request = waiter.request
        policy = request.service.teams.get(request.team)
        queue = self._queue(request.service.name)
        weight = policy.weight if policy else _OPEN_ROUTE_WEIGHT
        outcome = queue.push(
            waiter,
            request.team,
            weight,
            request.cost.tokens,
            request.service.priority,
            request.deadline_s,
            len(request.body),
        )
        match outcome:
            case Result(tag='ok', ok=ticket):
                self._dispatch(request.service.name)
                return ticket
            case Result(error=code):
                wait_s = queue.estimate_wait_s(
                    request.team,
                    weight,
                    request.service.priority,
                )
                raise RequestError(
                    code,
                    retry_after_s=max(_RETRY_AFTER_S, wait_s),
                )
        raise AssertionError('push returned neither Ok nor Error')

    async def _wait(self, waiter: _Waiter) -> None:
        request = waiter.request
        with anyio.move_on_after(self._no_target_timeout_s(request)):
            await waiter.placed.wait()
        if waiter.target_id:
            return
        if not self._table.candidates(request.service.name):
            raise RequestError('no_target', retry_after_s=_RETRY_AFTER_S)
        remaining_s = request.deadline_s - self._clock.monotonic_s()
        with anyio.move_on_after(remaining_s):
            await waiter.placed.wait()
        if not waiter.target_id:
            raise RequestError(
                'deadline_unreachable',
                retry_after_s=_RETRY_AFTER_S,
            )

    def _no_target_timeout_s(self, request: Request) -> float:
        remaining_s = request.deadline_s - self._clock.monotonic_s()
        return min(remaining_s, NO_TARGET_WAIT.total_seconds())

    def _queue(self, service: str) -> FairQueue:
        queue = self._queues.get(service)
        if queue is None:
            queue = FairQueue(self._clock, self._bounds)
            self._queues[service] = queue
        return queue

    def _dispatch(self, service: str) -> None:
        queue = self._queues[service]
        queue.expire()
        while (ticket := queue.peek()) is not None:  # noqa: WPS332
            waiter: _Waiter = ticket.item
            view = self._choose(waiter)
            if view is None:
                return
            queue.pop()
            waiter.target_id = view.target_id
            self.local_attempts.started(
                view.target_id,
                waiter.attempt_id,
                waiter.request.cost,
            )
            waiter.placed.set()

    def _choose(self, waiter: _Waiter) -> TargetView | None:
        views = self._table.candidates(waiter.request.service.name)
        model = waiter.request.service.model
        loaded = [view for view in views if _has_model(view, model)]
        views = loaded or views
        preferred = [
            view for view in views if view.target_id not in waiter.avoided
        ]
        return choose_target(
            preferred or views,
            waiter.request.cost,
            self._zone,
            {view.target_id: self._own_load(view) for view in views},
            self._random,
        )

    def _own_load(self, view: TargetView) -> LoadCorrection:
        piece_tokens = view.load.piece_tokens if view.load else 0
        return self.local_attempts.load_correction(view.target_id, piece_tokens)


def _has_model(view: TargetView, model: str | None) -> bool:
    return view.load is not None and model in view.load.models
