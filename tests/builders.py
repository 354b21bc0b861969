"""Builders of test data."""

from typing import Any

import yaml


def plain_document(name: str = 'receipts', **changes: Any) -> dict[str, Any]:
    """Return the content of a valid file of a plain service."""
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
    """Return the content of a valid file of a model service."""
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
    """Return the content as the text of a service file."""
    return yaml.safe_dump(document, sort_keys=False)
