"""Incremental splitting of a ``text/event-stream`` body into events."""

from typing import Final, NamedTuple, final

from peridotrill.exceptions import ResponseExcessive

# A line end followed by an empty line; the line end CR alone is not supported.
_EVENT_ENDS: Final = (b'\n\n', b'\r\n\r\n')
_MAX_END_BYTES: Final = max(map(len, _EVENT_ENDS))
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
        self._buffer = bytearray()
        # Where the end of the next event may begin; no end is before it.
        self._searched = 0

    @property
    def partial_bytes(self) -> int:
        """Length of the incomplete event that is buffered."""
        return len(self._buffer)

    def feed(self, content: bytes) -> list[StreamEvent]:
        """Add bytes and return the events that they complete.

        Raises ResponseExcessive if more than MAX_EVENT_BYTES of an
        incomplete event are buffered.
        """
        self._buffer += content
        events: list[StreamEvent] = []
        start = 0
        end = _find_event_end(self._buffer, self._searched)
        while end >= 0:
            event = bytes(self._buffer[start:end])
            events.append(StreamEvent(event, _find_id(event)))
            start = end
            end = _find_event_end(self._buffer, start)
        del self._buffer[:start]
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise ResponseExcessive('event too large')
        # The last bytes may be the beginning of an end.
        self._searched = max(0, len(self._buffer) - _MAX_END_BYTES + 1)
        return events


def _find_event_end(content: bytearray, start: int) -> int:
    """Return the end of the first event; -1 if it is incomplete."""
    ends = [
        position + len(event_end)
        for event_end in _EVENT_ENDS
        if (position := content.find(event_end, start)) >= 0
    ]
    return min(ends, default=-1)


def _find_id(event: bytes) -> bytes | None:
    """Return the value of the first ``id`` field, or None."""
    for line in event.splitlines():
        if line.startswith(_ID_PREFIX):
            return line[len(_ID_PREFIX) :].strip()
    return None
