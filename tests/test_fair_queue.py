from datetime import timedelta

from hypothesis import given
from hypothesis import strategies as st

from peridotrill.clock import ManualClock
from peridotrill.fair_queue import FairQueue, QueueBounds

MANY = QueueBounds(10_000, 10_000_000)
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


@given(
    st.lists(
        st.tuples(
            st.sampled_from(['push', 'pop', 'remove']),
            st.sampled_from('abc'),
            st.integers(1, 50),
        ),
        max_size=150,
    )
)
def test_backlogged_teams_share_by_weight(script):
    # Guards against a team that gets more by many or by long requests, or
    # that pays for requests which left the queue unserved.
    queue = FairQueue(ManualClock(), MANY)
    waiting = {team: [] for team in WEIGHTS}
    served = dict.fromkeys(WEIGHTS, 0.0)
    compared: dict[tuple[str, str], float] = {}
    for action, team, cost in script:
        if action == 'push':
            waiting[team].append(push(queue, team, cost).ok)
        elif action == 'remove' and waiting[team]:
            assert queue.remove(waiting[team].pop())
        elif action == 'pop' and (ticket := queue.pop()):
            # Requests of one team keep their order.
            assert waiting[ticket.team].pop(0) == ticket
            served[ticket.team] += ticket.cost_tokens / ticket.weight
        for one in WEIGHTS:
            for other in WEIGHTS:
                if not (waiting[one] and waiting[other]):
                    compared.pop((one, other), None)
                    continue
                lead = served[one] - served[other]
                start = compared.setdefault((one, other), lead)
                bound = 50 / WEIGHTS[one] + 50 / WEIGHTS[other]
                assert abs(lead - start) <= bound + 1e-6


@given(st.lists(st.tuples(st.sampled_from('abc'), st.integers(1, 50))))
def test_everything_is_served_once_and_by_priority(rows):
    # Guards against lost or repeated requests.
    queue = FairQueue(ManualClock(), MANY)
    for team, cost in rows:
        push(queue, team, cost, priority=cost % 3)
    popped = []
    while (ticket := queue.pop()) is not None:
        popped.append(ticket)
    assert sorted(ticket.item for ticket in popped) == sorted(rows)
    classes = [ticket.priority for ticket in popped]
    assert classes == sorted(classes)


def test_bounds_and_deadlines():
    # Guards against a queue that grows without bound, and against requests
    # that wait although they cannot be served in time.
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
    # Guards against requests that time out only after a long wait.
    clock = ManualClock()
    queue = FairQueue(clock, MANY)
    for _ in range(30):
        push(queue, 'a', 10)
    for _ in range(7):
        clock.advance(timedelta(seconds=1))
        queue.pop()
    # 230 tokens wait, and about 10 were served each second.
    soon_s = clock.monotonic_s() + 10
    late_s = clock.monotonic_s() + 30
    outcome = push(queue, 'a', 1, deadline_s=soon_s)
    assert outcome.error == 'deadline_unreachable'
    assert push(queue, 'a', 1, deadline_s=late_s).is_ok()
    # Another team has its own share and waits less.
    assert push(queue, 'b', 1, deadline_s=soon_s).is_ok()
