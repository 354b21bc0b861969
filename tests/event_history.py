"""Finds events and numbers that break an order, with their sources and times."""

import re
from itertools import pairwise

_ADOPTED = re.compile(r'event=(process_started|configuration_adopted)\b.*')
_VERSION = re.compile(r'\bversion=(\d+)')


def describe_stream(site, request_id):
    """Return what engines sent for a request and for those that took it up."""
    begun_id = request_id.removesuffix('-resumed')
    names = {begun_id, f'{begun_id}-resumed'}
    rows = sorted(
        (event, name)
        for name, engine in site.engines.items()
        for event in engine.sent_events
        if event.request_id in names
    )
    return [
        f'  {event.sent_s:.3f} {name} ({event.process}) sends event '
        f'{event.number} of {event.request_id}'
        for event, name in rows
    ]


def find_decreasing_numbers(site):
    """Compare numbers that must not decrease, as seen by their receivers."""
    sequences = {
        **{
            f'fencing tokens of orders to {name}': [
                order['fence'] for order in engine.orders
            ]
            for name, engine in site.engines.items()
        },
        'fencing tokens of usage': [row[1] for row in site.duties.usage],
    }
    for node, gateway in site.gateways.items():
        for number, versions in enumerate(_adopted_versions(gateway)):
            sequences[f'versions at {node}, process {number}'] = versions
    return [
        f'{name}: {later} after {earlier}'
        for name, numbers in sequences.items()
        for earlier, later in pairwise(numbers)
        if later < earlier
    ]


def _adopted_versions(gateway):
    """Return the versions of the configuration that each process adopted."""
    processes = [[]]
    for found in _ADOPTED.finditer(gateway.read_log()):
        if found[1] == 'process_started':
            processes.append([])
        else:
            processes[-1].append(int(_VERSION.search(found[0])[1]))
    return processes
