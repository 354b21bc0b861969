"""Tests of the control state that entries request from their peers."""

import math

import anyio
import httpx

from peridotrill.clock import ManualClock
from peridotrill.control_state import ControlState
from peridotrill.log_client import LogFollower
from peridotrill.peer_state import PeerStateExchange, PeerStateResponse
from peridotrill.snapshots import encode_snapshot
from peridotrill.timeline import Recorder

SENT_AT_S = 100.0


def state_at(offset):
    state = ControlState()
    state.skip(offset)
    return state


def apply_response(own_offset, peer_response):
    """Return the state and the follower after a response of a peer."""
    state, clock = state_at(own_offset), ManualClock()
    recorder = Recorder('e1', clock)
    follower = LogFollower(None, state, clock, recorder)
    PeerStateExchange(
        (), None, state, follower, clock, recorder
    ).apply_response(peer_response, SENT_AT_S)
    return state, follower


def response_at(offset, log_age_s=1.0):
    return PeerStateResponse(
        offset, log_age_s, encode_snapshot(state_at(offset))
    )


def test_newer_peer_state_is_applied_with_its_log_age():
    state, follower = apply_response(5, response_at(9))
    assert state.offset == 9
    assert follower.log_age_s() == 1.0 - SENT_AT_S
    # Guards against a delay of the next snapshot in the log by an interval.
    assert state.snapshot_offset == 0


def test_older_peer_state_is_ignored():
    # Guards against a version that reverts, and against an old key table that
    # looks current because a peer that is itself isolated responded.
    state, follower = apply_response(9, response_at(5))
    assert state.offset == 9
    assert follower.log_age_s() == math.inf


def test_malformed_peer_state_is_ignored():
    # Guards against a malformed response that replaces the state of the entry.
    peer_response = response_at(9)
    part = {**peer_response.parts[0], 'payload': b'\xc1'}
    state, follower = apply_response(5, peer_response._replace(parts=[part]))
    assert state.offset == 5
    assert follower.log_age_s() == math.inf


def test_state_is_sent_only_to_peers_that_are_behind():
    # Guards against full states sent to peers that are already up to date.
    clock, state = ManualClock(), state_at(7)
    recorder = Recorder('e1', clock)
    follower = LogFollower(None, state, clock, recorder)
    peers = PeerStateExchange((), None, state, follower, clock, recorder)
    assert len(peers.encode(8)) < 50 < len(peers.encode(7))


def test_invalid_peer_responses_are_ignored():
    # Guards against responses that terminate the task that queries the peers.
    async def query(body):
        transport = httpx.MockTransport(
            lambda _: httpx.Response(200, content=body)
        )
        async with httpx.AsyncClient(transport=transport) as http:
            clock, state = ManualClock(), state_at(7)
            recorder = Recorder('e1', clock)
            follower = LogFollower(None, state, clock, recorder)
            peers = PeerStateExchange(
                ['a:1'], http, state, follower, clock, recorder
            )
            with anyio.move_on_after(0.2):
                await peers.run()
            return state.offset

    for body in (b'', b'not found', b'\xc1'):
        assert anyio.run(query, body) == 7
