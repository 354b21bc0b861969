"""Serialization of HTTP/1.1 messages."""

from http import HTTPStatus
from typing import Final

from peridotrill.gateway.requests import Headers

_REASONS: Final = {
    status.value: status.phrase.encode() for status in HTTPStatus
}


def format_head(first_line: bytes, headers: Headers) -> bytes:
    """Return the head of a message, including the empty line.

    :param first_line: request line or status line, without CRLF.
    """
    rows = [first_line]
    rows.extend(b'%b: %b' % header for header in headers)
    rows.append(b'\r\n')
    return b'\r\n'.join(rows)


def format_status_line(status: int) -> bytes:
    """Return the status line of a response."""
    return b'HTTP/1.1 %d %b' % (status, _REASONS.get(status, b'Unknown'))


def format_chunk(content: bytes) -> bytes:
    """Return a chunk of a chunked body; ``content`` must not be empty."""
    return b'%x\r\n%b\r\n' % (len(content), content)


LAST_CHUNK: Final = b'0\r\n\r\n'
