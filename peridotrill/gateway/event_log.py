"""Structured logs on standard output that never block the process."""

import logging
import sys
import traceback
from typing import Any, Final, Protocol, final

from peridotrill.clock import Clock
from peridotrill.logs import configure_logging

# Lines per second and event beyond which lines are counted, not written.
_MAX_LINES_PER_S: Final = 300
_BUFFER_BYTES: Final = 65536


class EventSink(Protocol):
    """Takes events; the log of a process, or a stand-in's."""

    def write(self, event: str, **fields: Any) -> None:
        """Write an event."""

    def write_fault(self, event: str, error: Exception, **fields: Any) -> None:
        """Write an event for an unexpected error."""


@final
class EventLog:
    """Writes one line per event; repeats above a rate are counted."""

    def __init__(self, logger: logging.Logger, clock: Clock) -> None:
        """:param clock: its monotonic time bounds the rate."""
        self._logger = logger
        self._clock = clock
        self._window_s = 0.0
        self._lines: dict[str, int] = {}
        self.dropped_lines = 0

    @classmethod
    def from_settings(cls, node: str, level: str, clock: Clock) -> 'EventLog':
        """Log to standard output under the name of a node."""
        return cls(configure_logging(node, level, sys.stdout), clock)

    def write(self, event: str, **fields: Any) -> None:
        """Write an event.

        :param fields: values; never a key or a body.
        """
        self._write(logging.INFO, event, fields)

    def write_fault(self, event: str, error: Exception, **fields: Any) -> None:
        """Write an event for an unexpected error, with its traceback."""
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
                for name, count in self._lines.items()
                if count > _MAX_LINES_PER_S
            }
            self._lines.clear()
            for name, count in suppressed.items():
                self._logger.warning(
                    'lines_suppressed',
                    extra={'of': name, 'count': count},
                )
        lines = self._lines.get(event, 0) + 1
        self._lines[event] = lines
        if lines > _MAX_LINES_PER_S:
            self.dropped_lines += 1
            return
        self._logger.log(level, event, extra=fields)
