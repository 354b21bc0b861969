"""The parts of an answer, in the order in which a caller receives them."""

from typing import NamedTuple


class ResponseHead(NamedTuple):
    """Status and headers of the answer."""

    status: int
    headers: list[tuple[str, str]]
    replayed: bool


class ResponseChunk(NamedTuple):
    """The next bytes of the answer."""

    payload: bytes


class ResponseEnd(NamedTuple):
    """The answer is whole."""

    total_bytes: int


ResponsePart = ResponseHead | ResponseChunk | ResponseEnd
ResponseParts = tuple[ResponsePart, ...]
