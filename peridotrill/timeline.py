"""Events of one process: logged, and kept in a bounded ring buffer.

Events carry a Lamport timestamp, so that the events of several processes can
be put into causal order although their clocks are not synchronised.
"""

import logging
from collections import deque
from typing import Any, Final, TypedDict, final

from peridotrill.clock import Clock

DEFAULT_CAPACITY_EVENTS: Final = 4096


class Event(TypedDict):
    """One event; ``lamport`` orders events of different processes."""

    process: str
    sequence: int
    lamport: int
    time: str
    kind: str
    fields: dict[str, Any]


@final
class Recorder:
    """Logs the events of one process and keeps the newest in memory."""

    def __init__(
        self,
        process: str,
        clock: Clock,
        capacity_events: int = DEFAULT_CAPACITY_EVENTS,
    ) -> None:
        """:param capacity_events: number of events kept in memory."""
        self.process = process
        self.lamport = 0
        self._clock = clock
        self._logger = logging.getLogger('peridotrill')
        self._sequence = 0
        self._ring: deque[Event] = deque(maxlen=capacity_events)

    def emit(self, kind: str, **fields: Any) -> Event:
        """Log an event and keep it.

        :param kind: name of the event in snake case.
        :param fields: JSON values; they must not contain API keys, bodies or
            header values.
        :return: the recorded event.
        """
        self._sequence += 1
        self.lamport += 1
        event = Event(
            process=self.process,
            sequence=self._sequence,
            lamport=self.lamport,
            time=self._clock.now().isoformat(),
            kind=kind,
            fields=fields,
        )
        self._ring.append(event)
        self._logger.info(kind, extra=fields)
        return event

    def update_lamport(self, lamport: int) -> None:
        """Advance the Lamport clock to that of a received message.

        :param lamport: timestamp of the message; ignored if it is lower.
        """
        self.lamport = max(self.lamport, lamport)

    def events(self, after_sequence: int = 0) -> list[Event]:
        """Return the buffered events with a higher sequence number.

        :param after_sequence: 0 for all buffered events.
        """
        return [
            event for event in self._ring if event['sequence'] > after_sequence
        ]


def merge_timelines(timelines: list[list[Event]]) -> list[Event]:
    """Merge events of several processes into causal order.

    :param timelines: one list per process.
    :return: events sorted by Lamport timestamp, process and sequence.
    """
    merged = [event for events in timelines for event in events]
    merged.sort(
        key=lambda event: (
            event['lamport'],
            event['process'],
            event['sequence'],
        ),
    )
    return merged
