"""The parts of an answer, in the order in which a caller receives them."""

from typing import NamedTuple


class AnswerHead(NamedTuple):
    """Status and headers of the answer."""

    status: int
    headers: list[tuple[str, str]]
    replayed: bool


class AnswerBytes(NamedTuple):
    """The next bytes of the answer."""

    payload: bytes


class AnswerEnd(NamedTuple):
    """The answer is whole."""

    total_bytes: int


Answer = AnswerHead | AnswerBytes | AnswerEnd
Answers = tuple[Answer, ...]
