"""Builders of test data."""

import socket

from peridotrill import messages


def free_port():
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        return probe.getsockname()[1]


def hello(entry_id='e1', incarnation='i1', registered=(), lost=(), offset=0):
    return messages.Hello(
        1, entry_id, incarnation, 'z1', list(registered), list(lost), offset
    )


def welcome(incarnation='a1', clock_s=0.0):
    return messages.Welcome(
        1,
        't1',
        'receipts',
        'plain',
        'z1',
        incarnation,
        clock_s,
        True,
        False,
        'complete',
    )


def start(attempt_id='x1', **changes):
    fields = {
        'attempt_id': attempt_id,
        'request_id': 'r1',
        'service': 'receipts',
        'team': 'team-1',
        'method': 'POST',
        'path': '/post',
        'headers': [],
        'body': b'{}',
        'streaming': False,
        'idempotent': True,
        'key_digest': b'',
        'request_digest': b'body-1',
        'caller_key': False,
        'retention_s': 900.0,
        'priority': 0,
        'start_before_s': 1e12,
        'timeout_s': 30.0,
        'resume_position': 0,
    }
    return messages.StartAttempt(**(fields | changes))
