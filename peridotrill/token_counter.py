"""Counts the tokens of a response while it is relayed."""

from typing import Final, NamedTuple, final

import msgspec

# Longer lines and bodies are relayed without being parsed.
_MAX_LINE_BYTES: Final = 256 * 1024
_MAX_BODY_BYTES: Final = 8 * 1024 * 1024
_EVENT: Final = b'data:'
_DONE: Final = b'[DONE]'


class _Usage(msgspec.Struct):
    prompt_tokens: int = 0
    completion_tokens: int = 0


class _Document(msgspec.Struct):
    usage: _Usage | None = None


class TokenCount(NamedTuple):
    """Tokens of a request; zero for plain services."""

    prompt_tokens: int = 0
    output_tokens: int = 0


@final
class TokenCounter:
    """Reads ``usage`` from a response, or else counts its events."""

    def __init__(self, content_type: str) -> None:
        """:param content_type: media type of the response."""
        self._decoder = msgspec.json.Decoder(_Document)
        self._is_stream = content_type.startswith('text/event-stream')
        self._pending = bytearray()
        self._skipping = False
        self._events = 0
        self._usage: _Usage | None = None
        self._has_last_event = False

    @property
    def is_complete(self) -> bool:
        """Whether the last event has been read, if it is a stream."""
        return self._has_last_event or not self._is_stream

    def feed(self, payload: bytes) -> None:
        """:param payload: the next bytes of the response."""
        limit_bytes = _MAX_LINE_BYTES if self._is_stream else _MAX_BODY_BYTES
        self._pending += payload
        if self._is_stream:
            *lines, rest = self._pending.split(b'\n')
            self._pending = rest
            for line in lines:
                self._read_line(bytes(line))
        if len(self._pending) > limit_bytes:
            self._pending.clear()
            self._skipping = True

    def count(self) -> TokenCount:
        """Return the tokens of the bytes so far."""
        if not self._is_stream and not self._skipping:
            self._read_usage(bytes(self._pending))
        if self._usage is None:
            return TokenCount(0, self._events)
        return TokenCount(
            self._usage.prompt_tokens,
            self._usage.completion_tokens,
        )

    def _read_line(self, line: bytes) -> None:
        if self._skipping:
            self._skipping = False
            return
        if not line.startswith(_EVENT):
            return
        if line.removeprefix(_EVENT).strip() == _DONE:
            self._has_last_event = True
            return
        if b'"usage"' in line:
            self._read_usage(line.removeprefix(_EVENT))
        if b'"choices"' in line and b'"choices":[]' not in line:
            self._events += 1

    def _read_usage(self, document: bytes) -> None:
        try:
            found = self._decoder.decode(document)
        except msgspec.MsgspecError:
            return
        self._usage = found.usage or self._usage
