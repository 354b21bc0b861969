"""Log output: one line of key=value pairs for each event."""

import logging
import sys
from typing import Any, Protocol

from pythonjsonlogger.core import BaseJsonFormatter

from peridotrill.codec import encode_json

_LOGGER_NAME = 'peridotrill'


class TextStream(Protocol):
    """Where lines are written to."""

    def write(self, text: str, /) -> Any:
        """Write a line."""

    def flush(self) -> Any:
        """Pass written lines on."""


class KeyValueFormatter(BaseJsonFormatter):
    """Formats the fields of a record as ``key=value`` pairs on one line."""

    def jsonify_log_record(self, log_data: dict[str, Any]) -> str:
        """:return: pairs in order, values with spaces or quotes quoted."""
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
    """Send the events of this process to a stream.

    :param process: name of the process, on every line.
    :param level: lowest level that is written.
    :param stream: standard error when None.
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
