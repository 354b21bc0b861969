"""Tells what a load exercised, and what it did not.

Streams in order prove nothing about a fault that met no stream.
"""

import json
import re
from collections import Counter, defaultdict

from tests.load_checks import is_stream
from tests.load_faults import ACTIONS

SOURCES = ('known', 'only version', 'asked')
_TAKEN_UP = re.compile(r'event=stream_taken_up .*\bsource=("[^"]*"|\S+)')
# Longest pause of an engine, besides the time between two events.
MAX_PAUSE_S = 4.5


class EngineEvents:
    """Events that the engines have sent."""

    def __init__(self, rows, event_count):
        """:param rows: lines of the journal of the engines."""
        self._event_count = event_count
        # By process and request: time and number of each event.
        self._runs = defaultdict(list)
        for row in rows:
            sent_s, request, number, process = json.loads(row)
            self._runs[process, request].append((sent_s, number))

    def versions(self):
        return {process.partition(' ')[0] for process, _ in self._runs}

    def count_cut_by(self, kill):
        """Return how many streams a process had in flight when it was killed."""
        return sum(
            kill.sent_s - MAX_PAUSE_S < events[-1][0]
            and events[-1][1] < self._event_count
            for (process, _), events in self._runs.items()
            if process == kill.process
        )

    def begun_unregistered(self, registered_s):
        """Return requests whose process was not registered at the first event.

        :param registered_s: time of the first record of each process.
        """
        return [
            request
            for (process, request), events in self._runs.items()
            if events[0][0] < registered_s.get(process, float('inf'))
        ]


def count_sources(logs):
    """Return the take-ups by the source of the version, from gateways' logs."""
    found = Counter()
    for log in logs:
        found.update(row.strip('"') for row in _TAKEN_UP.findall(log))
    return found


def count_cut_by_gateway(attempts, gateway, killed_s):
    """Return how many streams a gateway had in flight when it was killed."""
    return sum(
        row['gateway'] == gateway
        and row['sent_s'] < killed_s <= row['ended_s'] + 0.1
        and bool(row['events'])
        and not row['is_complete']
        for row in attempts
    )


def summarize_callers(attempts):
    """Return counts of streams and of results by kind of request."""
    taken_up = [row for row in attempts if row['after']]
    results = Counter(
        f'{row["name"].partition("-")[0]} '
        f'{row["status"] if row["is_complete"] else "cut"}'
        for row in attempts
    )
    streams = {
        row['began'] for row in attempts if is_stream(row) and row['events']
    }
    return {
        'streams': len(streams),
        'taken up': len(taken_up),
        'went on': sum(bool(row['events']) for row in taken_up),
        **dict(sorted(results.items())),
    }


def find_unexercised(counts, actions, has_proxies):
    """Return what the load did not exercise.

    :param counts: what it did, by name; zero if it did not happen.
    :param actions: number of faults by action.
    """
    missing = [name for name, count in counts.items() if not count]
    missing += [
        name
        for name, row in ACTIONS.items()
        if not actions[name] and (has_proxies or not row.needs_proxies)
    ]
    if not has_proxies:
        missing.append('cuts between gateways and engines')
    return missing
