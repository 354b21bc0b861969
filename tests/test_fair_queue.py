from datetime import timedelta

from hypothesis import given
from hypothesis import strategies as st

from peridotrill.clock import ManualClock
from peridotrill.fair_queue import FairQueue, QueueBounds

LARGE_BOUNDS = QueueBounds(10_000, 10_000_000)
WEIGHTS = {'a': 1.0, 'b': 2.0, 'c': 5.0}


def push(queue, team, cost, priority=1, deadline_s=1e9, size_bytes=0):
    return queue.push(
        (team, cost),
        team,
        WEIGHTS[team],
        cost,
        priority,
        deadline_s,
        size_bytes,
    )


teams = st.sampled_from('abc')


class Backlog:
    """Keeps teams backlogged and measures the service of each."""

    def __init__(self, costs):
        self.queue = FairQueue(ManualClock(), LARGE_BOUNDS)
        self.costs = costs
        self.waiting = {team: [] for team in WEIGHTS}
        self.served = dict.fromkeys(WEIGHTS, 0.0)

    def fill(self, team, number):
        cost = self.costs[team][number % len(self.costs[team])]
        ticket = push(self.queue, team, cost).ok
        self.waiting[team].append(ticket)

    def serve(self):
        ticket = self.queue.pop()
        # Requests of one team are served in order.
        assert self.waiting[ticket.team].pop(0) == ticket
        self.served[ticket.team] += ticket.cost_tokens / ticket.weight

    def served_difference(self, one, other):
        return self.served[one] - self.served[other]


@given(
    st.fixed_dictionaries(
        {team: st.lists(st.integers(1, 50), min_size=1) for team in WEIGHTS}
    ),
    st.lists(
        st.tuples(st.sets(teams, min_size=1), st.integers(50, 150)),
        min_size=2,
        max_size=4,
    ),
    st.integers(1, 20),
)
def test_backlogged_teams_share_by_weight(costs, phases, remove_every):
    # Guards against a team that gains share by sending many or long requests
    # or by having been idle, or that is charged for unserved requests.
    backlog = Backlog(costs)
    bound = {team: max(costs[team]) / WEIGHTS[team] for team in WEIGHTS}
    for active, pops in phases:
        start = dict(backlog.served)
        for number in range(pops):
            for team in active:
                while len(backlog.waiting[team]) < 2:
                    backlog.fill(team, number)
                if number % remove_every == 0:
                    removed = backlog.waiting[team].pop()
                    assert backlog.queue.remove(removed)
            backlog.serve()
            for one in active:
                for other in active:
                    served_difference = backlog.served_difference(one, other)
                    served_difference -= start[one] - start[other]
                    assert served_difference <= bound[one] + bound[other] + 1e-6
        for team in WEIGHTS:
            while backlog.waiting[team]:
                backlog.queue.remove(backlog.waiting[team].pop())


@given(st.lists(st.tuples(st.sampled_from('abc'), st.integers(1, 50))))
def test_everything_is_served_once_and_by_priority(rows):
    # Guards against lost requests, and against serving a request twice.
    queue = FairQueue(ManualClock(), LARGE_BOUNDS)
    for team, cost in rows:
        push(queue, team, cost, priority=cost % 3)
    popped = []
    while (ticket := queue.pop()) is not None:
        popped.append(ticket)
    assert sorted(ticket.item for ticket in popped) == sorted(rows)
    classes = [ticket.priority for ticket in popped]
    assert classes == sorted(classes)


def test_bounds_and_deadlines():
    # Guards against unbounded queue growth, and against queueing requests that
    # cannot be served before their deadline.
    clock = ManualClock()
    queue = FairQueue(clock, QueueBounds(3, 100))
    assert push(queue, 'a', 1, size_bytes=101).error == 'queue_full'
    first = push(queue, 'a', 1, size_bytes=100, deadline_s=2).ok
    assert push(queue, 'a', 1, size_bytes=1).error == 'queue_full'
    clock.advance(timedelta(seconds=2))
    assert queue.expire() == [first]
    assert push(queue, 'a', 1, deadline_s=2).error == 'deadline_unreachable'
    for _ in range(3):
        assert push(queue, 'a', 1, size_bytes=30).is_ok()
    assert push(queue, 'a', 1).error == 'queue_full'


def test_unreachable_deadline_is_refused_from_the_served_rate():
    # Guards against queueing requests that can only time out.
    clock = ManualClock()
    queue = FairQueue(clock, LARGE_BOUNDS)
    for _ in range(30):
        push(queue, 'a', 10)
    for _ in range(7):
        clock.advance(timedelta(seconds=1))
        queue.pop()
    # 230 tokens are queued, and about 10 were served per second.
    soon_s = clock.monotonic_s() + 10
    late_s = clock.monotonic_s() + 30
    outcome = push(queue, 'a', 1, deadline_s=soon_s)
    assert outcome.error == 'deadline_unreachable'
    assert push(queue, 'a', 1, deadline_s=late_s).is_ok()
    # Another team has its own share and a shorter wait.
    assert push(queue, 'b', 1, deadline_s=soon_s).is_ok()
