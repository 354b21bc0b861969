"""What gateways tell each other of waiting requests, and what follows."""

import asyncio
import math

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from peridotrill.clock import ManualClock
from peridotrill.fair_queue import QueueBounds
from peridotrill.gateway.admission_queue import (
    AdmissionQueue,
    Reservation,
    ReservationRequest,
)
from peridotrill.gateway.load_shedding import WaitingTotal
from peridotrill.gateway.peers import Report, decode_message, encode_message
from peridotrill.gateway.waiting_work import WaitingRow, WaitingWork
from tests.gateway_builders import advance, target

URGENT = {'llm/1/0': WaitingRow(3, 200, 150)}


def report(**changes):
    row = Report('n', 'i', 3, 'h', 80, 1.5, False, {}, {}, {}, [], {}, [])
    return msgspec.structs.replace(row, **changes)


def share_of_time(waiting, name, priority, seconds=1.0, every_s=None):
    """Return the part of the time in which a request leaves its capacity."""
    yields = 0
    for step in range(int(seconds * 1000)):
        if every_s and step % int(every_s * 1000) == 0:
            waiting.observe_peer('p', URGENT)
        yields += waiting.must_yield(name, priority)
        advance(waiting._clock, 0.001)
    return yields / (seconds * 1000)


def test_less_urgent_requests_leave_capacity_for_a_bounded_time():
    # Guards against capacity that goes to less urgent requests at one gateway
    # while urgent ones wait at others, and against the opposite, that the less
    # urgent ones get none.
    waiting = WaitingWork(ManualClock())
    share = share_of_time(waiting, 'llm/1', 2, every_s=0.1)
    assert 0.65 <= share <= 0.71


@pytest.mark.parametrize(
    ('name', 'priority'), [('llm/1', 0), ('llm/2', 2), ('other/1', 2)]
)
def test_only_less_urgent_requests_for_the_same_capacity_wait(name, priority):
    # Guards against requests that wait for others that need other targets, and
    # against gateways that wait for each other.
    waiting = WaitingWork(ManualClock())
    assert not share_of_time(waiting, name, priority, every_s=0.1)


def test_stale_reports_have_no_effect():
    # Guards against requests that wait for those of a gateway that is gone.
    waiting = WaitingWork(ManualClock())
    waiting.observe_peer('p', URGENT)
    advance(waiting._clock, 0.26)
    assert not share_of_time(waiting, 'llm/1', 2)
    waiting.observe_peer('p', URGENT)
    waiting.observe_peer('p', {})
    advance(waiting._clock, 0.02)
    assert not share_of_time(waiting, 'llm/1', 2)


def test_report_says_what_waits():
    # Guards against reports that grow while nothing waits, and against monotonic
    # times of another machine.
    clock = ManualClock()
    advance(clock, 5)
    waiting = WaitingWork(clock)
    totals = {}
    waiting.add_queue('llm/1', lambda: totals)
    assert not waiting.report()
    totals[2] = WaitingTotal(4, 99.6, 4.8)
    assert waiting.report() == {'llm/1/2': WaitingRow(4, 100, -200)}


def test_reports_of_old_and_new_processes_are_read():
    # Guards against a rolling restart in which gateways do not hear each other.
    new = report(waiting=URGENT)
    assert decode_message(encode_message(new)).waiting == URGENT
    fields = msgspec.msgpack.decode(encode_message(report()))
    old = msgspec.msgpack.encode(fields[:-1])
    assert decode_message(old) == report()
    newer = msgspec.msgpack.encode([*fields, {'x': 1}])
    assert decode_message(newer) == report()


@given(
    st.dictionaries(
        st.text(max_size=12) | st.sampled_from(['llm/1/0', 'llm/1/x']),
        st.builds(WaitingRow, st.integers(), st.integers(), st.integers()),
    )
)
def test_any_report_is_survived(rows):
    # Guards against a gateway that fails as another writer reports nonsense.
    waiting = WaitingWork(ManualClock())
    waiting.observe_peer('p', rows)
    waiting.must_yield('llm/1', 2)


class Gateway:
    """A queue with one free slot, and what other gateways report."""

    def __init__(self):
        self.clock = ManualClock()
        self.waiting = WaitingWork(self.clock)
        self.queue = AdmissionQueue(
            self.clock,
            QueueBounds(400, 1),
            lambda reservation: None,
            lambda reservation: None,
            lambda priority: self.waiting.must_yield('llm/1', priority),
        )

    async def wait_s(self, priority, goal_s):
        """Return how long a request waits while others report urgent ones."""
        now_s = self.clock.monotonic_s()
        request = ReservationRequest(
            lambda: Reservation(target(), 1),
            't', priority, 1, now_s + goal_s, now_s + 9,
        )  # fmt: skip
        task = asyncio.ensure_future(self.queue.acquire(request))
        await asyncio.sleep(0)
        while not task.done():
            self.waiting.observe_peer('p', URGENT)
            advance(self.clock, 0.005)
            self.queue.dispatch()
            await asyncio.sleep(0)
        return self.clock.monotonic_s() - now_s


@pytest.mark.parametrize(
    ('priority', 'goal_s', 'least_s', 'most_s'),
    [
        (2, 1, 0.065, 0.075),
        (0, 1, 0, 0),
        (2, 0.09, 0, 0),
        (2, 0.13, 0.03, 0.05),
    ],
)
def test_request_waits_for_urgent_ones_elsewhere_within_its_goal(
    priority, goal_s, least_s, most_s
):
    # Guards against requests that miss their goals for others.
    gateway = Gateway()
    gateway.waiting.observe_peer('p', URGENT)
    waited_s = asyncio.run(gateway.wait_s(priority, goal_s))
    assert least_s <= waited_s <= most_s
    assert math.isfinite(waited_s)
