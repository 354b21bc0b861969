"""Structured logging to standard output that never blocks the process."""

import logging
import os
import sys
import traceback
from typing import Any, Final, Protocol, final

from peridotrill.clock import Clock
from peridotrill.logs import configure_logging

# Lines per second and event name; further lines are counted, not written.
_MAX_LINES_PER_S: Final = 300
# Output that waits to be read; lines that do not fit are dropped.
MAX_BUFFER_BYTES: Final = 65536


@final
class NonBlockingLineWriter:
    """Text output that drops lines instead of blocking on a slow reader."""

    def __init__(self, descriptor: int) -> None:
        """:param descriptor: set to non-blocking unless it is a terminal."""
        self._descriptor = descriptor
        self._buffer = bytearray()
        self.dropped_lines = 0
        if not os.isatty(descriptor):
            os.set_blocking(descriptor, False)

    def write(self, text: str) -> None:
        """Buffer a whole line, or drop it if the buffer is full."""
        line = text.encode()
        if len(self._buffer) + len(line) > MAX_BUFFER_BYTES:
            self.flush()
        if len(self._buffer) + len(line) > MAX_BUFFER_BYTES:
            self.dropped_lines += 1
            return
        self._buffer += line

    def flush(self) -> None:
        """Write as much of the buffer as possible without blocking."""
        while self._buffer:
            try:
                written = os.write(self._descriptor, self._buffer)
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed the pipe; the error cannot be reported.
                self._buffer.clear()
                self.dropped_lines += 1
                return
            self._buffer = self._buffer[written:]


class EventSink(Protocol):
    """Interface of an event log."""

    def write(self, event: str, **fields: Any) -> None:
        """Write an event."""

    def write_exception(
        self, event: str, error: BaseException, **fields: Any
    ) -> None:
        """Write an event for an unexpected exception."""


@final
class EventLog:
    """Writes one line per event, with a rate limit per event name.

    Lines above the limit are counted, and the count is logged.
    """

    def __init__(
        self,
        logger: logging.Logger,
        clock: Clock,
        output: NonBlockingLineWriter,
    ) -> None:
        """:param clock: its monotonic time is used for the rate limit."""
        self._output = output
        self._logger = logger
        self._clock = clock
        self._window_s = 0.0
        self._line_counts: dict[str, int] = {}
        self._suppressed_lines = 0

    @property
    def lost_lines(self) -> int:
        """Number of lines that were suppressed or dropped since the start."""
        return self._suppressed_lines + self._output.dropped_lines

    @classmethod
    def from_settings(cls, node: str, level: str, clock: Clock) -> 'EventLog':
        """Return a log that writes to standard output.

        :param node: node name that is added to each line.
        """
        output = NonBlockingLineWriter(sys.stdout.fileno())
        return cls(configure_logging(node, level, output), clock, output)

    def write(self, event: str, **fields: Any) -> None:
        """Write an event.

        :param fields: values to log; must not hold API keys or bodies.
        """
        self._write(logging.INFO, event, fields)

    def write_exception(
        self, event: str, error: BaseException, **fields: Any
    ) -> None:
        """Write an event for an unexpected exception, with its traceback."""
        trace = ''.join(traceback.format_exception(error))
        self._write(
            logging.ERROR,
            event,
            {'error': repr(error), 'trace': trace, **fields},
        )

    def _write(self, level: int, event: str, fields: dict[str, Any]) -> None:
        now_s = self._clock.monotonic_s()
        if now_s - self._window_s >= 1:
            self._window_s = now_s
            suppressed = {
                name: count - _MAX_LINES_PER_S
                for name, count in self._line_counts.items()
                if count > _MAX_LINES_PER_S
            }
            self._line_counts.clear()
            for name, count in suppressed.items():
                self._logger.warning(
                    'lines_suppressed',
                    extra={'of': name, 'count': count},
                )
        lines = self._line_counts.get(event, 0) + 1
        self._line_counts[event] = lines
        if lines > _MAX_LINES_PER_S:
            self._suppressed_lines += 1
            return
        self._logger.log(level, event, extra=fields)
