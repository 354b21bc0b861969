"""Which waiting requests are turned away when capacity is short.

Requests wait in the order of ``AdmissionQueue``. While some wait, a review of
all of them, three to ten times a second, tells

- which surely miss their deadline: they are refused at once;
- which wait behind others of their priority that need far less work, as these
  would miss their goals otherwise;
- which may be turned away for a newcomer that meets a full queue, and what that
  costs callers per unit of work;
- which belong to a part of the requests that is hardly served: a bounded share
  of the capacity is for these.

Between two reviews, each decision looks only at what the last one has found.
"""

import bisect
import math
from collections.abc import Container, Iterable
from operator import itemgetter
from typing import Final, NamedTuple, final

from peridotrill.clock import Clock
from peridotrill.gateway.served_shares import (
    PartKey,
    ServedShares,
    size_class,
)

# A review takes up to 4 us for each request (1.6 ms for 400), so that reviews
# take at most 0.6% of a core.
_REVIEW_INTERVAL_S: Final = 0.1
_INTERVAL_PER_REQUEST_S: Final = 0.0005
# A forecast may be wrong by this factor: a request surely misses a time that it
# would miss at this multiple of the rate.
_FORECAST_ERROR: Final = 2.0
# What it costs to turn a request away that misses its goal, as a part of that of
# one in time.
_LATE_VALUE: Final = 0.1
# The cost of a request falls by this factor with each less urgent priority in use.
_PRIORITY_BASE: Final = 0.5
_MAX_PRIORITY_STEPS: Final = 10
# A request gives way to others that cost this multiple per unit of work.
_MIN_GAIN: Final = 2.0
# Part of an even share of the waiting work that a team has without charge. At a
# half, teams that fill the queue together make place for others.
_TEAM_SHARE: Final = 0.5
# Time that a displaced request must have left: its caller waits a third of it
# before it tries another gateway.
_MIN_RETRY_TIME_S: Final = 0.4
# Part of the capacity for parts of the requests that are hardly served.
_PROTECTED_SHARE: Final = 0.2
# Weight of the latest request in the mean work of its kind.
_MEAN_WEIGHT: Final = 0.05


class WaitingRequest(NamedTuple):
    """What is known of a waiting request.

    ``kind`` is the route. ``work`` is in the unit of the queue. The deadlines
    are monotonic times, see ``ReservationRequest``. ``is_late`` is set once the
    request has missed its goal, and waits behind those in time, and
    ``is_delayed`` while it waits behind others of its priority.
    ``is_displaceable`` is not set if an engine has been sent any part of it.
    """

    number: int
    priority: int
    team: str
    kind: str
    work: float
    goal_deadline_s: float
    deadline_s: float
    is_displaceable: bool
    is_late: bool = False
    is_delayed: bool = False

    @property
    def is_behind_all(self) -> bool:
        """Whether it waits behind all that are in time, of any priority.

        One that was delayed for others of its priority may stay before those
        of less urgent ones.
        """
        return self.is_late and not self.is_delayed


class Displacement(NamedTuple):
    """Why a waiting request was turned away.

    ``reason`` is ``displaced`` or ``unreachable``. The costs are per unit of
    work; those of the newcomer are None if there is none. ``wait_s`` is the
    forecast for the request when it was last reviewed.
    """

    number: int
    reason: str
    wait_s: float
    is_late: bool
    cost: float
    newcomer_cost: float | None = None
    newcomer_priority: int | None = None


class WaitingTotal(NamedTuple):
    """What waits with one priority; the goal is a monotonic time."""

    requests: int
    work: float
    earliest_goal_s: float


class _Candidate(NamedTuple):
    """A request that may be displaced, as of the last review."""

    cost: float
    position: int
    wait_s: float
    is_late: bool
    request: WaitingRequest


class Review(NamedTuple):
    """What a review decides.

    ``hopeless`` requests are refused, and those with the numbers in ``delayed``
    wait behind the others of their priority.
    """

    hopeless: list[Displacement]
    delayed: list[int]


class _Reviewed(NamedTuple):
    """Results of a review.

    The candidates are in the order in which they are displaced.
    """

    candidates: tuple[_Candidate, ...] = ()
    least_urgent: float = -math.inf
    starved: frozenset[PartKey] = frozenset()
    team_share: float = 0
    team_work: dict[str, float] = {}


def _service_order(
    waiting: Iterable[WaitingRequest],
) -> list[WaitingRequest]:
    """Return the requests in about the order in which they are served."""
    team_work: dict[tuple[bool, int, bool, str], float] = {}
    rows = []
    for request in waiting:
        group = (request.is_behind_all, request.priority, request.is_delayed)
        work = team_work.get((*group, request.team), 0) + request.work
        team_work[*group, request.team] = work
        rows.append(((*group, work, request.number), request))
    rows.sort(key=itemgetter(0))
    return list(map(itemgetter(1), rows))


def _forecast_waits(
    ordered: list[WaitingRequest], work_per_s: float, now_s: float
) -> list[tuple[WaitingRequest, float, bool]]:
    """Return how long requests wait, and which of them miss their goals.

    Those that miss them are served behind the others.
    """
    ahead: float = 0
    rows = []
    late = []
    for request in ordered:
        wait_s = ahead / work_per_s
        if request.is_late or now_s + wait_s > request.goal_deadline_s:
            late.append(request)
        else:
            rows.append((request, wait_s, False))
            ahead += request.work
    for missed in late:
        rows.append((missed, ahead / work_per_s, True))
        ahead += missed.work
    return rows


@final
class LoadShedder:
    """Decides what is turned away from one queue."""

    def __init__(self, clock: Clock) -> None:
        """Start without any requests."""
        self._clock = clock
        self._shares = ServedShares(clock)
        self._mean_work: dict[str, float] = {}
        # The priorities in use, the most urgent first. Their numbers may have any
        # distance.
        self._priorities: list[int] = []
        self._reviewed_s = clock.monotonic_s()
        self._reviewed = _Reviewed()
        self._protected: list[int] = []
        # Work of other requests that is served before the next protected one.
        self._protected_debt = 0.0
        self.totals: dict[int, WaitingTotal] = {}

    def record_arrival(self, request: WaitingRequest) -> None:
        """Learn kinds and priorities from a request that has to wait."""
        if request.priority not in self._priorities:
            bisect.insort(self._priorities, request.priority)
        mean = self._mean_work.get(request.kind, request.work)
        mean += (request.work - mean) * _MEAN_WEIGHT
        self._mean_work[request.kind] = mean

    def mark_late(self, request: WaitingRequest) -> WaitingRequest:
        """Return a request that has missed its goal, with its new place.

        If it was delayed, and its kind is hardly served, it stays before less
        urgent ones.
        """
        keeps_place = request.is_delayed and self._is_starved(request)
        return request._replace(is_late=True, is_delayed=keeps_place)

    def record_outcome(self, request: WaitingRequest, is_served: bool) -> None:
        """Count a request that was served, or turned away."""
        self._shares.record(self._parts(request), is_served)

    def record_grant(self, work: float, is_protected: bool) -> None:
        """Count work that was served while other requests waited."""
        if is_protected:
            self._protected_debt += work * (1 / _PROTECTED_SHARE - 1)
        else:
            self._protected_debt = max(0, self._protected_debt - work)

    def reset(self) -> None:
        """Forget the last review, as no request waits any more."""
        self._reviewed = _Reviewed()
        self._protected = []
        self._protected_debt = 0
        self.totals = {}

    def is_review_due(self, waiting: int) -> bool:
        """Tell whether the last review is too old.

        :param waiting: number of the requests to review.
        """
        age_s = self._clock.monotonic_s() - self._reviewed_s
        return age_s >= _REVIEW_INTERVAL_S + waiting * _INTERVAL_PER_REQUEST_S

    def review(
        self, waiting: Iterable[WaitingRequest], work_per_s: float | None
    ) -> Review:
        """Review the waiting requests, in the order of their arrival.

        :param work_per_s: rate of the pool; None if it is not known.
        """
        now_s = self._clock.monotonic_s()
        self._reviewed_s = now_s
        ordered = _service_order(waiting)
        self._find_totals(ordered)
        self._reviewed = self._weigh_teams(ordered)
        self._protect(ordered)
        if not work_per_s:
            return Review([], [])
        forecasts = _forecast_waits(ordered, work_per_s, now_s)
        hopeless = self._find_candidates(forecasts, now_s)
        return Review(hopeless, self._find_delayed(forecasts))

    def make_place(
        self, newcomer: WaitingRequest, waiting: Container[int]
    ) -> list[Displacement]:
        """Choose a request to turn away as the queue is full.

        :param waiting: numbers of the requests that still wait.

        Any less urgent request may be displaced, since it would be served after
        the newcomer.

        :return: empty if the newcomer is to be refused.
        """
        cost = self._cost_of(newcomer, is_late=False)
        has_less_urgent = newcomer.priority < self._reviewed.least_urgent
        for row in self._reviewed.candidates:
            is_cheaper = row.cost * _MIN_GAIN <= cost
            if not (is_cheaper or has_less_urgent):
                break
            is_cheaper |= row.request.priority > newcomer.priority
            if is_cheaper and self._may_displace(row, newcomer, waiting):
                return [_displace(row, 'displaced', newcomer, cost)]
        return []

    def next_protected(self, waiting: Container[int]) -> int | None:
        """Return a request that is served out of turn, if one is due.

        :param waiting: numbers of the requests that still wait.
        """
        if self._protected_debt > 0:
            return None
        while self._protected:
            if self._protected[-1] in waiting:
                return self._protected[-1]
            self._protected.pop()
        return None

    def skip_protected(self) -> None:
        """Serve no request out of turn before the next review."""
        self._protected = []

    def _find_totals(self, ordered: list[WaitingRequest]) -> None:
        self.totals = {}
        for request in ordered:
            total = self.totals.get(request.priority)
            if total is None:
                total = WaitingTotal(0, 0, request.goal_deadline_s)
            self.totals[request.priority] = WaitingTotal(
                total.requests + 1,
                total.work + request.work,
                min(total.earliest_goal_s, request.goal_deadline_s),
            )

    def _weigh_teams(self, ordered: list[WaitingRequest]) -> _Reviewed:
        team_work: dict[str, float] = {}
        for request in ordered:
            work = team_work.get(request.team, 0) + request.work
            team_work[request.team] = work
        # As if one more team waited, which may be that of the newcomer.
        share = sum(team_work.values()) / (len(team_work) + 1)
        share *= _TEAM_SHARE
        return _Reviewed(
            starved=self._shares.starved(),
            team_share=share,
            team_work=team_work,
        )

    def _protect(self, ordered: list[WaitingRequest]) -> None:
        """Choose the requests that are served out of turn, the last one first.

        Those in time come before those that are late.
        """
        starved = self._reviewed.starved
        self._protected = [
            request.number
            for request in reversed(ordered)
            if starved and self._is_starved(request)
        ]

    def _find_candidates(
        self,
        forecasts: list[tuple[WaitingRequest, float, bool]],
        now_s: float,
    ) -> list[Displacement]:
        """Find which requests may be displaced; return the hopeless ones."""
        hopeless = []
        candidates = []
        for position, (request, wait_s, _) in enumerate(forecasts):
            if not request.is_displaceable:
                continue
            sure_s = now_s + wait_s / _FORECAST_ERROR
            is_late = request.is_late or sure_s > request.goal_deadline_s
            cost = self._cost_of(request, is_late)
            row = _Candidate(cost, -position, wait_s, is_late, request)
            if sure_s >= request.deadline_s:
                hopeless.append(_displace(row, 'unreachable'))
            elif not self._is_starved(request):
                candidates.append(row)
        candidates.sort(key=itemgetter(0, 1))
        self._reviewed = self._reviewed._replace(
            candidates=tuple(candidates),
            least_urgent=max(
                (row.request.priority for row in candidates), default=-math.inf
            ),
        )
        return hopeless

    def _find_delayed(
        self, forecasts: list[tuple[WaitingRequest, float, bool]]
    ) -> list[int]:
        """Find the requests that give way to others of their priority.

        They need far more work, by the mean of their kind, than requests that
        miss their goals otherwise.
        """
        least_work: dict[int, float] = {}
        for request, _, misses_goal in forecasts:
            if misses_goal and not request.is_late:
                least_work[request.priority] = min(
                    least_work.get(request.priority, math.inf),
                    self._mean_work.get(request.kind, request.work),
                )
        return [
            row.number
            for row, _, _ in forecasts
            if self._gives_way(row, least_work.get(row.priority, math.inf))
        ]

    def _gives_way(self, request: WaitingRequest, least_work: float) -> bool:
        """Tell whether a request is delayed for others of its priority.

        :param least_work: mean work of the kind of those that miss their goals.
        """
        mean_work = self._mean_work.get(request.kind, request.work)
        return (
            mean_work >= least_work * _MIN_GAIN
            and not (request.is_late or request.is_delayed)
            and not self._is_starved(request)
        )

    def _cost_of(self, request: WaitingRequest, is_late: bool) -> float:
        """Return the cost of turning a request away, per unit of work.

        A team that has more waiting work than its share is charged for it. The
        work is the mean of the kind, so that large requests do not
        cost less than others.
        """
        steps = bisect.bisect_left(self._priorities, request.priority)
        cost = _PRIORITY_BASE ** min(
            steps, _MAX_PRIORITY_STEPS
        ) / self._mean_work.get(request.kind, request.work)
        work = self._reviewed.team_work.get(request.team, 0)
        if work > self._reviewed.team_share:
            cost *= self._reviewed.team_share / work
        return cost * _LATE_VALUE if is_late else cost

    def _may_displace(
        self,
        row: _Candidate,
        newcomer: WaitingRequest,
        waiting: Container[int],
    ) -> bool:
        request = row.request
        left_s = request.deadline_s - self._clock.monotonic_s()
        return (
            request.priority >= newcomer.priority
            and request.number in waiting
            and left_s >= _MIN_RETRY_TIME_S
        )

    def _is_starved(self, request: WaitingRequest) -> bool:
        starved = self._reviewed.starved
        return bool(starved) and not starved.isdisjoint(self._parts(request))

    def _parts(self, request: WaitingRequest) -> list[PartKey]:
        kind, priority = request.kind, request.priority
        parts = [
            PartKey('priority', '', priority),
            PartKey('team', request.team),
            PartKey('kind', kind, priority),
        ]
        mean = self._mean_work.get(kind, request.work)
        size = size_class(request.work, mean)
        if size:
            parts.append(PartKey('size', kind, priority, size))
        return parts


def _displace(
    row: _Candidate,
    reason: str,
    newcomer: WaitingRequest | None = None,
    newcomer_cost: float | None = None,
) -> Displacement:
    return Displacement(
        row.request.number,
        reason,
        row.wait_s,
        row.is_late,
        row.cost,
        newcomer_cost,
        None if newcomer is None else newcomer.priority,
    )
