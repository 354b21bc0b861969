"""States that entries take over from each other."""

import math

import anyio
import httpx

from peridotrill.clock import ManualClock
from peridotrill.control_state import ControlState
from peridotrill.log_client import LogFollower
from peridotrill.peer_state import PeerState, PeerStates
from peridotrill.snapshots import encode_snapshot
from peridotrill.timeline import Recorder

SENT_S = 100.0


def state_at(offset):
    state = ControlState()
    state.skip(offset)
    return state


def take_over(own_offset, answer):
    """Return the state and the follower after an answer of a peer."""
    state, clock = state_at(own_offset), ManualClock()
    recorder = Recorder('e1', clock)
    follower = LogFollower(None, state, clock, recorder)
    PeerStates((), None, state, follower, clock, recorder).take_over(
        answer, SENT_S
    )
    return state, follower


def answer_of(offset, log_age_s=1.0):
    return PeerState(offset, log_age_s, encode_snapshot(state_at(offset)))


def test_newer_state_is_taken_over_with_the_age_that_the_peer_states():
    state, follower = take_over(5, answer_of(9))
    assert state.offset == 9
    assert follower.log_age_s() == 1.0 - SENT_S
    # Guards against a log without a new snapshot for another interval.
    assert state.snapshot_offset == 0


def test_older_state_is_not_taken_over_and_confirms_nothing():
    # Guards against a version that reverts, and against a peer that is
    # itself cut off and would make an old key table look new.
    state, follower = take_over(9, answer_of(5))
    assert state.offset == 9
    assert follower.log_age_s() == math.inf


def test_malformed_state_is_not_taken_over():
    # Guards against a broken answer that replaces what the entry knows.
    answer = answer_of(9)
    part = {**answer.parts[0], 'payload': b'\xc1'}
    state, follower = take_over(5, answer._replace(parts=[part]))
    assert state.offset == 5
    assert follower.log_age_s() == math.inf


def test_entry_serves_its_state_only_to_peers_that_are_behind():
    # Guards against whole states sent to peers that have nothing to learn.
    clock, state = ManualClock(), state_at(7)
    recorder = Recorder('e1', clock)
    follower = LogFollower(None, state, clock, recorder)
    peers = PeerStates((), None, state, follower, clock, recorder)
    assert len(peers.encode(8)) < 50 < len(peers.encode(7))


def test_unusable_answers_of_peers_are_ignored():
    # Guards against a peer that ends the catch-up task by its answer.
    async def ask(body):
        transport = httpx.MockTransport(
            lambda _: httpx.Response(200, content=body)
        )
        async with httpx.AsyncClient(transport=transport) as http:
            clock, state = ManualClock(), state_at(7)
            recorder = Recorder('e1', clock)
            follower = LogFollower(None, state, clock, recorder)
            peers = PeerStates(['a:1'], http, state, follower, clock, recorder)
            with anyio.move_on_after(0.2):
                await peers.run()
            return state.offset

    for body in (b'', b'not found', b'\xc1'):
        assert anyio.run(ask, body) == 7
