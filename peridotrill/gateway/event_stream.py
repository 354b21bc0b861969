"""Incremental splitting of a ``text/event-stream`` body into events."""

from typing import Final, NamedTuple, final

from peridotrill.exceptions import TargetOutcomeUnknown

# A line end followed by an empty line; the line end CR alone is not supported.
_EVENT_ENDS: Final = (b'\n\n', b'\r\n\r\n')
_ID_PREFIX: Final = b'id:'
# Limit of the buffer for an incomplete event; events usually hold a few tokens.
MAX_EVENT_BYTES: Final = 1024 * 1024


class StreamEvent(NamedTuple):
    """A complete event.

    ``content`` holds the bytes as received, including the empty line at the
    end. ``event_id`` is None if the event has no ``id`` field.
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

        Raises TargetOutcomeUnknown if more than MAX_EVENT_BYTES of an
        incomplete event are buffered.
        """
        self._buffer += content
        events: list[StreamEvent] = []
        while True:
            end = _find_event_end(self._buffer)
            if end < 0:
                break
            event = self._buffer[:end]
            self._buffer = self._buffer[end:]
            events.append(StreamEvent(event, _find_id(event)))
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise TargetOutcomeUnknown('event too large')
        return events


def _find_event_end(content: bytes) -> int:
    """Return the length of the first event; -1 if it is incomplete."""
    ends = [
        position + len(event_end)
        for event_end in _EVENT_ENDS
        if (position := content.find(event_end)) >= 0
    ]
    return min(ends, default=-1)


def _find_id(event: bytes) -> bytes | None:
    """Return the value of the first ``id`` field, or None."""
    for line in event.splitlines():
        if line.startswith(_ID_PREFIX):
            return line[len(_ID_PREFIX) :].strip()
    return None
