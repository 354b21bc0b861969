"""Requests of callers, as handled by the gateway."""

import enum
import hashlib
from typing import Final, NamedTuple

# Bytes of a request digest: two of a thousand million requests are alike with a
# probability of 3 percent.
_DIGEST_BYTES: Final = 8
# Tells digests of requests from ids of prompt parts.
_DIGEST_PREFIX: Final = 'r:'

Headers = list[tuple[bytes, bytes]]


class RequestKind(enum.Enum):
    """Whether and how requests of a route may be retried."""

    IDEMPOTENT = 'idempotent'
    NON_IDEMPOTENT = 'non_idempotent'
    STREAM = 'stream'


class PromptPart(NamedTuple):
    """One part of a prompt; requests with the same ``part_id`` share it."""

    part_id: str
    tokens: int


class Prompt(NamedTuple):
    """Declared size of a request for a model engine, in tokens."""

    model: str
    prompt_tokens: int
    max_output_tokens: int
    parts: tuple[PromptPart, ...]
    expected_output_tokens: int | None = None

    @property
    def shared_tokens(self) -> int:
        """Number of tokens in parts that other requests may share."""
        return sum(part.tokens for part in self.parts[:-1])

    @property
    def shared_part_ids(self) -> tuple[str, ...]:
        """Ids of the parts that other requests may share."""
        return tuple(part.part_id for part in self.parts[:-1])

    @property
    def main_part(self) -> PromptPart | None:
        """The largest shared part, which determines the prefill engine."""
        shared = self.parts[:-1]
        return max(shared, key=lambda part: part.tokens, default=None)

    @property
    def total_tokens(self) -> int:
        """Prompt and output tokens, as counted for team limits."""
        return self.prompt_tokens + self.max_output_tokens


class CallerRequest(NamedTuple):
    """One complete request of a caller.

    ``headers`` are the headers to forward. ``wait_ms`` is the time that the
    caller will wait after ``received_s``. ``resume_after`` is the id of the
    last event that the caller received, and ``resumed_id`` the id of the request
    that brought the first event of the stream that this one takes up.
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
    resumed_id: str | None = None

    @property
    def is_resumption(self) -> bool:
        """Whether the caller has received a part of the stream."""
        return self.resume_after is not None or self.resumed_id is not None

    def digest(self, team: str) -> str:
        """Return what repeats of this request have in common.

        :param team: name of the team that sent it.
        """
        content = hashlib.blake2b(digest_size=_DIGEST_BYTES)
        for field in (team.encode(), self.host.encode(), self.method):
            content.update(b'%d:%b' % (len(field), field))
        content.update(b'%d:%b' % (len(self.target), self.target))
        content.update(self.body)
        return f'{_DIGEST_PREFIX}{content.hexdigest()}'
