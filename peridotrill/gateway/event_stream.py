"""Incremental splitting of a ``text/event-stream`` body into events."""

from typing import Final, NamedTuple, final

from peridotrill.exceptions import TargetOutcomeUnknown

_BLANK_LINES: Final = (b'\n\n', b'\r\n\r\n')
_ID: Final = b'id:'
# An event holds a few tokens; it is buffered until it is complete.
MAX_EVENT_BYTES: Final = 1024 * 1024


class StreamEvent(NamedTuple):
    """A complete event, including the blank line that ends it.

    ``event_id`` is None if the event has no ``id`` field.
    """

    content: bytes
    event_id: bytes | None


@final
class EventStreamParser:
    """Buffers bytes and returns complete events."""

    def __init__(self) -> None:
        """Start with an empty buffer."""
        self._buffer = b''

    @property
    def has_partial_event(self) -> bool:
        """Whether an incomplete event is buffered."""
        return bool(self._buffer)

    def feed(self, content: bytes) -> list[StreamEvent]:
        """Add bytes and return the events that they complete.

        Raises TargetOutcomeUnknown if an event exceeds MAX_EVENT_BYTES.
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
