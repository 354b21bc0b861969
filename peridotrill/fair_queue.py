"""Start-time fair queueing between the teams of one service.

The first waiting request of each team has a start tag: the maximum of the
queue's virtual time and the finish tag of the team's previous request. The
request with the lowest start tag is served next and sets the virtual time;
its finish tag is its start tag plus its cost divided by the team's weight.
Only the first request of a team has a tag, so that a team is not charged for
requests that leave the queue unserved.

Fairness bound: while two teams are backlogged, their served costs divided by
weight differ by at most the sum, over both teams, of the largest request cost
divided by weight.
"""

import itertools
import math
from collections import deque
from collections.abc import Callable
from typing import Any, Final, NamedTuple, final

from expression import Error, Ok, Result

from peridotrill.clock import Clock

# Averaging window of the service rate. In a shorter window, a single long
# request dominates the average.
_RATE_WINDOW_S: Final = 5.0


class QueueBounds(NamedTuple):
    """Capacity limits of a queue."""

    max_requests: int
    max_bytes: int


class Ticket(NamedTuple):
    """A queued request; ``deadline_s`` is a monotonic time."""

    number: int
    item: Any
    team: str
    weight: float
    cost_tokens: float
    priority: int
    deadline_s: float
    size_bytes: int


@final
class _TeamQueue:
    """The waiting requests of one team in one priority class."""

    __slots__ = ('start_tag', 'tickets', 'waiting_tokens', 'weight')

    def __init__(self) -> None:
        self.tickets: deque[Ticket] = deque()
        self.start_tag = 0.0
        self.waiting_tokens = 0.0
        self.weight = 1.0


@final
class _PriorityClass:
    """Fair queue of the requests with the same priority."""

    def __init__(self) -> None:
        self.team_queues: dict[str, _TeamQueue] = {}
        self._virtual_time = 0.0
        self._finish_tags: dict[str, float] = {}

    def push(self, ticket: Ticket) -> None:
        """Append a request to the queue of its team."""
        team_queue = self.team_queues.get(ticket.team)
        if team_queue is None:
            team_queue = _TeamQueue()
            self.team_queues[ticket.team] = team_queue
            team_queue.start_tag = self._next_start_tag(ticket.team)
        team_queue.weight = ticket.weight
        team_queue.tickets.append(ticket)
        team_queue.waiting_tokens += ticket.cost_tokens

    def peek(self) -> Ticket | None:
        """Return the next request to serve, if any."""
        if not self.team_queues:
            return None
        return self._next_team_queue().tickets[0]

    def peek_past(self, is_skipped: Callable[[Ticket], bool]) -> Ticket | None:
        """Return the next request to serve of those that are not skipped."""
        found = [
            (team_queue.start_tag, ticket.number, ticket)
            for team_queue in self.team_queues.values()
            for ticket in itertools.islice(
                itertools.filterfalse(is_skipped, team_queue.tickets), 1
            )
        ]
        return min(found)[-1] if found else None

    def pop(self, ticket: Ticket) -> Ticket:
        """Remove a request to serve it; it must be in the queue."""
        team_queue = self.team_queues[ticket.team]
        # Requests that were skipped have lower tags.
        self._virtual_time = max(self._virtual_time, team_queue.start_tag)
        finish_tag = team_queue.start_tag + ticket.cost_tokens / ticket.weight
        self._finish_tags[ticket.team] = finish_tag
        team_queue.start_tag = finish_tag
        self.remove(ticket)
        self._forget_idle_teams()
        return ticket

    def take(self, ticket: Ticket) -> None:
        """Remove a request that is served out of turn; charge its team."""
        team_queue = self.team_queues[ticket.team]
        team_queue.start_tag += ticket.cost_tokens / ticket.weight
        self._finish_tags[ticket.team] = team_queue.start_tag
        self.remove(ticket)

    def remove(self, ticket: Ticket) -> None:
        """Remove a request, which must be in the queue."""
        team_queue = self.team_queues[ticket.team]
        team_queue.tickets.remove(ticket)
        team_queue.waiting_tokens -= ticket.cost_tokens
        if not team_queue.tickets:
            self.team_queues.pop(ticket.team)

    def estimate_cost_ahead(self, team: str, weight: float) -> float:
        """Estimate the cost that is served before a new request of a team.

        :return: tokens; each other team counts with at most the share that
            its weight gives it while the team's own requests are served.
        """
        team_queue = self.team_queues.get(team)
        own_tokens = team_queue.waiting_tokens if team_queue else 0
        return own_tokens + sum(
            min(other.waiting_tokens, own_tokens * other.weight / weight)
            for name, other in self.team_queues.items()
            if name != team
        )

    def _next_team_queue(self) -> _TeamQueue:
        return min(
            self.team_queues.values(),
            key=lambda team_queue: (
                team_queue.start_tag,
                team_queue.tickets[0].number,
            ),
        )

    def _next_start_tag(self, team: str) -> float:
        return max(self._virtual_time, self._finish_tags.get(team, 0))

    def _forget_idle_teams(self) -> None:
        # A finish tag at or before the virtual time has no effect.
        idle = [
            team
            for team, tag in self._finish_tags.items()
            if tag <= self._virtual_time
        ]
        for team in idle:
            self._finish_tags.pop(team)


@final
class _ServiceRate:
    """Average cost served per second while the queue is not empty."""

    def __init__(self, window_s: float) -> None:
        self.tokens_per_s: float | None = None
        self._window_s = window_s
        self._window_start_s: float | None = None
        self._tokens = 0.0

    def served(self, cost_tokens: float, now_s: float) -> None:
        if self._window_start_s is None:
            self._window_start_s = now_s
        self._tokens += cost_tokens
        elapsed_s = now_s - self._window_start_s
        if elapsed_s >= self._window_s:
            self.tokens_per_s = self._tokens / elapsed_s
            self._window_start_s, self._tokens = now_s, 0

    def current(self, now_s: float) -> float | None:
        """Return the rate; it falls while nothing is served for long."""
        if self._window_start_s is None or self.tokens_per_s is None:
            return self.tokens_per_s
        elapsed_s = now_s - self._window_start_s
        if elapsed_s <= self._window_s:
            return self.tokens_per_s
        return min(self.tokens_per_s, self._tokens / elapsed_s)

    def idle(self) -> None:
        """Discard the current window and the last measured rate."""
        self.tokens_per_s, self._window_start_s, self._tokens = None, None, 0


@final
class FairQueue:
    """Requests of one service that wait for a target.

    Lower priority numbers are served first.
    """

    def __init__(
        self,
        clock: Clock,
        bounds: QueueBounds,
        rate_window_s: float = _RATE_WINDOW_S,
    ) -> None:
        """:param bounds: capacity; further requests are refused.

        :param rate_window_s: averaging window of the service rate.
        """
        self._clock = clock
        self._bounds = bounds
        self._numbers = itertools.count()
        self._classes: dict[int, _PriorityClass] = {}
        self._tickets: dict[int, Ticket] = {}
        self._size_bytes = 0
        # No request expires before this time.
        self._first_deadline_s = math.inf
        self._rate = _ServiceRate(rate_window_s)

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self._tickets)

    def push(  # noqa: WPS211
        self,
        item: Any,
        team: str,
        weight: float,
        cost_tokens: float,
        priority: int,
        deadline_s: float,
        size_bytes: int = 0,
    ) -> Result[Ticket, str]:
        """Add a request.

        :param weight: fair-share weight of the team, above zero.
        :param deadline_s: monotonic time after which the request is useless.
        :return: a ticket for ``remove``, or the error code of a refusal:
            ``queue_full`` or ``deadline_unreachable``.
        """
        if len(self) >= self._bounds.max_requests:
            return Error('queue_full')
        if self._size_bytes + size_bytes > self._bounds.max_bytes:
            return Error('queue_full')
        wait_s = self.estimate_wait_s(team, weight, priority)
        if self._clock.monotonic_s() + wait_s >= deadline_s:
            return Error('deadline_unreachable')
        ticket = Ticket(
            next(self._numbers),
            item,
            team,
            weight,
            max(1, cost_tokens),
            priority,
            deadline_s,
            size_bytes,
        )
        self._classes.setdefault(priority, _PriorityClass()).push(ticket)
        self._tickets[ticket.number] = ticket
        self._size_bytes += size_bytes
        self._first_deadline_s = min(self._first_deadline_s, deadline_s)
        return Ok(ticket)

    def peek(
        self, is_skipped: Callable[[Ticket], bool] | None = None
    ) -> Ticket | None:
        """Return the next request to serve without removing it.

        :param is_skipped: tells which requests can't be served now.
        """
        for priority in sorted(self._classes):
            waiting = self._classes[priority]
            ticket = (
                waiting.peek()
                if is_skipped is None
                else waiting.peek_past(is_skipped)
            )
            if ticket is not None:
                return ticket
        return None

    def pop(self, ticket: Ticket | None = None) -> Ticket | None:
        """Remove and return a request that is served.

        :param ticket: a request in the queue; None for the next one.
        """
        ticket = ticket or self.peek()
        if ticket is None:
            return None
        self._classes[ticket.priority].pop(ticket)
        self._forget(ticket)
        self._count_served(ticket)
        return ticket

    def take(self, ticket: Ticket) -> None:
        """Remove a request that is served out of turn.

        It counts in the share of its team. It must be in the queue.
        """
        self._classes[ticket.priority].take(ticket)
        self._forget(ticket)
        self._count_served(ticket)

    def remove(self, ticket: Ticket) -> bool:
        """Remove a request without serving it.

        :return: whether the request was still in the queue.
        """
        if ticket.number not in self._tickets:
            return False
        self._classes[ticket.priority].remove(ticket)
        self._forget(ticket)
        return True

    def expire(self) -> list[Ticket]:
        """Remove and return the requests whose deadline has passed."""
        now_s = self._clock.monotonic_s()
        if now_s < self._first_deadline_s:
            return []
        expired = [
            ticket
            for ticket in self._tickets.values()
            if ticket.deadline_s <= now_s
        ]
        for ticket in expired:
            self.remove(ticket)
        self._first_deadline_s = min(
            (waiting.deadline_s for waiting in self._tickets.values()),
            default=math.inf,
        )
        return expired

    def service_rate(self) -> float | None:
        """Return the tokens served per second; None if not known."""
        return self._rate.current(self._clock.monotonic_s())

    def estimate_wait_s(
        self,
        team: str,
        weight: float,
        priority: int,
    ) -> float:
        """Estimate the queueing delay of a new request of a team.

        :return: seconds; 0 while no recent service rate is known.
        """
        if not self._rate.tokens_per_s:
            return 0
        cost_tokens: float = 0
        for number, waiting in self._classes.items():
            if number < priority:
                cost_tokens += sum(
                    team_queue.waiting_tokens
                    for team_queue in waiting.team_queues.values()
                )
            elif number == priority:
                cost_tokens += waiting.estimate_cost_ahead(team, weight)
        return cost_tokens / self._rate.tokens_per_s

    def _count_served(self, ticket: Ticket) -> None:
        if self._tickets:
            self._rate.served(ticket.cost_tokens, self._clock.monotonic_s())
        else:
            self._rate.idle()

    def _forget(self, ticket: Ticket) -> None:
        self._tickets.pop(ticket.number)
        self._size_bytes -= ticket.size_bytes
