"""Runs one scripted engine as a process, which the next one replaces.

Each event that was sent is a line of JSON in a file, so that it outlives the
process.
"""

import argparse
import json
import os
import random

import anyio

from standins.platform_engine import ScriptedEngine, SentEvent
from standins.platform_server import serve_http


class FaultMix:
    """Draws the fault of each request; stands in for a plan."""

    def __init__(self, shares: dict[str, float], seed: str) -> None:
        """:param shares: part of the requests that have each fault."""
        self._random = random.Random(seed)
        self._faults = [*shares, '']
        self._weights = [*shares.values(), 1 - sum(shares.values())]

    def __bool__(self) -> bool:
        """Tell that a fault is planned, which may be none."""
        return True

    def pop(self, _: int) -> str:
        """Return the fault of the next request."""
        return self._random.choices(self._faults, self._weights)[0]


class EventJournal(list[SentEvent]):
    """Writes each event that is appended to a file."""

    def __init__(self, path: str) -> None:
        """Open the file; each line is one write, which a kill cannot halve."""
        super().__init__()
        self._file = os.open(path, os.O_WRONLY | os.O_APPEND | os.O_CREAT)

    def append(self, event: SentEvent) -> None:
        """Write an event."""
        os.write(self._file, json.dumps(event).encode() + b'\n')


def _parse_arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser()
    parser.add_argument('settings', type=json.loads)
    return parser.parse_args()


async def _serve(settings: dict) -> None:
    engine = ScriptedEngine(
        settings['id'], settings['service'], settings['zone'], settings['role']
    )
    engine.started_ms = settings['started_ms']
    engine.software_version = settings['version']
    engine.names_version = True
    engine.event_count = settings['events']
    engine.event_interval_s = settings['interval_s']
    engine.sent_events = EventJournal(settings['journal'])
    seed = f'{settings["id"]} {settings["started_ms"]}'
    engine.plan = FaultMix(settings['faults'], seed)  # type: ignore[assignment]
    async with serve_http(engine.handle, port=settings['port']):
        await anyio.sleep_forever()


def main() -> None:
    """Serve until the process ends."""
    anyio.run(_serve, _parse_arguments().settings)


if __name__ == '__main__':
    main()
