"""Requests of callers, as the gateway handles them."""

import enum
from typing import NamedTuple

Headers = list[tuple[bytes, bytes]]


class RequestKind(enum.Enum):
    """What may be repeated of the requests of a route."""

    IDEMPOTENT = 'idempotent'
    NON_IDEMPOTENT = 'non_idempotent'
    STREAM = 'stream'


class PromptPart(NamedTuple):
    """One part of a prompt; requests with the same ``part_id`` share it."""

    part_id: str
    tokens: int


class Prompt(NamedTuple):
    """What a request for a model engine says of its work, in tokens."""

    model: str
    prompt_tokens: int
    max_output_tokens: int
    parts: tuple[PromptPart, ...]
    expected_output_tokens: int | None = None

    @property
    def shared_tokens(self) -> int:
        """Tokens of the parts that other requests may have, too."""
        return sum(part.tokens for part in self.parts[:-1])

    @property
    def main_part(self) -> PromptPart | None:
        """The largest shared part, which decides where it is read."""
        shared = self.parts[:-1]
        return max(shared, key=lambda part: part.tokens, default=None)

    @property
    def total_tokens(self) -> int:
        """Prompt and output tokens, as limits of teams count them."""
        return self.prompt_tokens + self.max_output_tokens


class CallerRequest(NamedTuple):
    """One complete request of a caller.

    ``headers`` are those that are passed on. ``wait_ms`` is how long the
    caller will wait from ``received_s`` on. ``resume_after`` is the id of
    the last event that the caller has.
    """

    request_id: str
    method: bytes
    target: bytes
    host: str
    path: str
    headers: Headers
    body: bytes
    api_key: str | None
    wait_ms: float | None
    prompt: Prompt | None
    resume_after: bytes | None
    received_s: float
