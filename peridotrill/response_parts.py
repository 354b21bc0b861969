"""The parts of a response, in the order in which callers receive them."""

from typing import NamedTuple


class ResponseHead(NamedTuple):
    """Status and headers; ``replayed`` marks a stored response."""

    status: int
    headers: list[tuple[str, str]]
    replayed: bool


class ResponseChunk(NamedTuple):
    """The next bytes of the body."""

    payload: bytes


class ResponseEnd(NamedTuple):
    """The end of a complete response."""

    total_bytes: int


ResponsePart = ResponseHead | ResponseChunk | ResponseEnd
ResponseParts = tuple[ResponsePart, ...]
