"""Builders of test data with default values."""

from typing import Any

import yaml

from peridotrill import messages, services


def plain_document(name: str = 'receipts', **changes: Any) -> dict[str, Any]:
    """Return the content of a valid plain service file."""
    document = {
        'name': name,
        'kind': 'plain',
        'priority': 1,
        'deadline': '10s',
        'routes': [
            {
                'path': f'/{name}/posts',
                'methods': ['POST'],
                'idempotent': False,
            },
            {
                'path': f'/{name}/',
                'methods': ['GET', 'HEAD'],
                'idempotent': True,
                'open': True,
            },
        ],
        'teams': {'growers': {'rate_per_s': 2.5, 'burst': 5, 'weight': 2}},
        'targets': {'min_per_zone': 1, 'max_total': 4},
    }
    return {**document, **changes}


def model_document(name: str = 'summariser', **changes: Any) -> dict[str, Any]:
    """Return the content of a valid model service file."""
    document = {
        'name': name,
        'kind': 'model',
        'model': f'{name}-7b',
        'latency_target': '1200ms',
        'deadline': '60s',
        'idempotency_retention': '900s',
        'teams': {'growers': {'rate_per_s': 1, 'burst': 3}},
        'targets': {
            'min_per_zone': 1,
            'max_total': 5,
            'roles': {'prefill': 2, 'decode': 3},
            'adapters': ['rubber'],
        },
    }
    return {**document, **changes}


def service_text(document: dict[str, Any]) -> str:
    """Serialize the content of a service file as YAML."""
    return yaml.safe_dump(document, sort_keys=False)


def hello(
    entry_id='e1',
    incarnation='i1',
    registered=(),
    lost=(),
    offset=0,
    placements=(),
):
    return messages.Hello(
        1,
        entry_id,
        incarnation,
        'z1',
        list(registered),
        list(lost),
        offset,
        {'receipts': list(placements)},
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
        'placement_version': 0,
    }
    return messages.StartAttempt(**(fields | changes))


def load_report(**changes):
    fields = {
        'clock_s': 0.0,
        'ready': True,
        'draining': False,
        'running_requests': 0,
        'waiting_requests': 0,
        'running_tokens': 0,
        'waiting_tokens': 0,
        'free_pieces': 0,
        'total_pieces': 0,
        'piece_tokens': 0,
        'role': '',
        'models': [],
        'adapters': [],
        'cached_prefixes': [],
    }
    return messages.LoadReport(**(fields | changes))


def policy(**changes):
    fields = {'rate_per_s': 1.0, 'burst': 1, 'weight': 1.0}
    return services.TeamPolicy(**(fields | changes))


def usage_counted(
    start_s: int,
    counts: dict[str, list[int]],
    sequence: int = 1,
) -> dict[str, Any]:
    """Return a usage record for one window."""
    return {
        'kind': 'usage_counted',
        'entry_id': 'e1',
        'incarnation': 'i1',
        'window_start_s': start_s,
        'sequence': sequence,
        'counts': counts,
    }


def key_granted(name, team='growers'):
    return {
        'kind': 'key_granted',
        'name': name,
        'team': team,
        'digest': '0' * 64,
    }
