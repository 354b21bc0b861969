"""Log output with one line of key=value pairs per event."""

import logging
import sys
from typing import Any, Protocol

from pythonjsonlogger.core import BaseJsonFormatter

from peridotrill.codec import encode_json

_LOGGER_NAME = 'peridotrill'


class TextStream(Protocol):
    """Text stream for log lines."""

    def write(self, text: str, /) -> Any:
        """Write text to the stream."""

    def flush(self) -> Any:
        """Flush buffered text."""


class KeyValueFormatter(BaseJsonFormatter):
    """Formats the fields of a log record as ``key=value`` pairs."""

    def jsonify_log_record(self, log_data: dict[str, Any]) -> str:
        """:return: one line; values with special characters are quoted."""
        return ' '.join(
            f'{key}={_format_field(field)}'
            for key, field in log_data.items()
            if field is not None
        )


def _format_field(field: object) -> str:
    if isinstance(field, float):
        return f'{field:.6g}'
    text = field if isinstance(field, str) else str(field)
    if text and text.isprintable() and not set(text) & set(' "=\\'):
        return text
    return encode_json(text).decode()


def configure_logging(
    process: str,
    level: str = 'INFO',
    stream: TextStream | None = None,
) -> logging.Logger:
    """Configure the logger of the package to write to a stream.

    :param process: name of the process, added to every line.
    :param level: minimum log level.
    :param stream: standard error if None.
    :return: the logger of the package.
    """
    handler = logging.StreamHandler(stream or sys.stderr)
    handler.setFormatter(
        KeyValueFormatter(
            '%(asctime)s %(levelname)s %(message)s',
            rename_fields={
                'asctime': 'time',
                'levelname': 'level',
                'message': 'event',
            },
            static_fields={'process': process},
        ),
    )
    logger = logging.getLogger(_LOGGER_NAME)
    logger.handlers = [handler]
    logger.setLevel(level)
    logger.propagate = False
    return logger
