"""Splits an event stream into whole events."""

from typing import Final, NamedTuple, final

from peridotrill.exceptions import TargetOutcomeUnknown

_BLANK_LINES: Final = (b'\n\n', b'\r\n\r\n')
_ID: Final = b'id:'
# An event holds a few tokens; it is kept in memory until it is whole.
MAX_EVENT_BYTES: Final = 1024 * 1024


class StreamEvent(NamedTuple):
    """One whole event with its end; ``event_id`` is None if it has none."""

    content: bytes
    event_id: bytes | None


@final
class EventStreamParser:
    """Collects bytes until an event is complete."""

    def __init__(self) -> None:
        """Nothing has arrived yet."""
        self._buffer = b''

    @property
    def has_partial_event(self) -> bool:
        """Tell whether a part of an event has arrived."""
        return bool(self._buffer)

    def feed(self, content: bytes) -> list[StreamEvent]:
        """Return the events that are complete now.

        Raises TargetOutcomeUnknown if an event is too large to be kept.
        """
        self._buffer += content
        events: list[StreamEvent] = []
        while True:
            end = _find_end(self._buffer)
            if end < 0:
                break
            event = self._buffer[:end]
            self._buffer = self._buffer[end:]
            events.append(StreamEvent(event, _find_id(event)))
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise TargetOutcomeUnknown('event too large')
        return events


def _find_end(content: bytes) -> int:
    ends = [
        position + len(blank)
        for blank in _BLANK_LINES
        if (position := content.find(blank)) >= 0
    ]
    return min(ends, default=-1)


def _find_id(event: bytes) -> bytes | None:
    for line in event.splitlines():
        if line.startswith(_ID):
            return line[len(_ID) :].strip()
    return None
