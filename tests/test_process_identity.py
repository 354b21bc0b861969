"""What proves which process is at the other end of a connection."""

from peridotrill.gateway.process_identity import (
    ConnectionIdentity,
    ProcessProof,
)


def test_response_on_another_connection_identifies_an_older_one():
    # Guards against a question for each connection of a busy target.
    proof = ProcessProof()
    known = ConnectionIdentity(proof, opened_s=1)
    known.confirm(sent_s=2)
    other = ConnectionIdentity(proof, opened_s=3)
    assert not other.is_known
    known.observe_response(sent_s=4)
    assert other.is_known


def test_request_that_was_sent_before_identifies_no_later_connection():
    # Guards against a response that a process left behind before it ended, and
    # that a paused gateway reads after it has connected to the next one (ORDER).
    proof = ProcessProof()
    known = ConnectionIdentity(proof, opened_s=1)
    known.confirm(sent_s=2)
    later = ConnectionIdentity(proof, opened_s=5)
    known.observe_response(sent_s=4)
    assert not later.is_known


def test_response_of_an_unknown_process_proves_nothing():
    # Guards against a new process that vouches for its own connections.
    proof = ProcessProof()
    first = ConnectionIdentity(proof, opened_s=1)
    second = ConnectionIdentity(proof, opened_s=1)
    first.observe_response(sent_s=2)
    assert not first.is_known
    assert not second.is_known
