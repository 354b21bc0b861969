"""Checks on what the callers of a load saw."""

from collections import defaultdict

# Kinds of requests that are answered by a stream, and whether it may be taken up.
STREAMS = {'draft': False, 'quick': True}


def is_stream(row):
    return row['name'].partition('-')[0] in STREAMS


def find_disordered(attempts, event_count):
    """Return a line for each break of order of a stream.

    :param attempts: rows of the journal of the callers.
    :param event_count: number of events of each stream.
    """
    streams = defaultdict(list)
    for row in attempts:
        if is_stream(row):
            streams[row['began']].append(row)
    found = []
    for began, rows in streams.items():
        versions = {
            version for row in rows for _, version in row['events'] if version
        }
        if len(versions) > 1:
            found.append(f'{began}: versions {sorted(versions)}')
        for row in rows:
            found += _find_in_attempt(row, event_count)
    return found


def _find_in_attempt(row, event_count):
    found = []
    ids = [number for number, _ in row['events']]
    first = row['after'] + 1
    if ids != list(range(first, first + len(ids))):
        found.append(f'{row["name"]}: events {ids} after {row["after"]}')
    is_success = row['is_complete'] and row['status'] == 200
    if is_success and (ids[-1] if ids else row['after']) != event_count:
        found.append(f'{row["name"]}: complete after {row["after"]} and {ids}')
    return found
