"""Messages between entries and agents.

A transport message is a batch: MessagePack of ``[sequence, lamport,
[[code, fields], ...]]``. Each message is a NamedTuple and is encoded as an
array of its fields. Timestamps are in seconds of the agent's monotonic clock.
"""

from typing import Any, Final, NamedTuple, TypeVar

import msgspec

from peridotrill.exceptions import MessageError

PROTOCOL_VERSION: Final = 1
MAX_BATCH_BYTES: Final = 16 * 1024 * 1024

_Message = TypeVar('_Message', bound=type)

_decoders: dict[int, msgspec.msgpack.Decoder[Any]] = {}
_codes: dict[type, int] = {}


def register_message(code: int):
    """Return a decorator that registers a message type.

    The decorator raises KeyError if the code is already registered.

    :param code: number of the message type on the wire.
    """

    def decorate(message_type: _Message) -> _Message:  # noqa: WPS430
        if code in _decoders:
            raise KeyError(f'message code {code} is already registered')
        _decoders[code] = msgspec.msgpack.Decoder(message_type)
        _codes[message_type] = code
        return message_type

    return decorate


class EntryRef(NamedTuple):
    """Identity of a registered entry process."""

    entry_id: str
    incarnation: str


class LostEntry(NamedTuple):
    """An entry that ended without sending its records to the agents."""

    entry_id: str
    incarnation: str
    lost_age_s: float


class PlacementRef(NamedTuple):
    """Home targets of a service since a record of the log."""

    version: int
    targets: list[str]
    age_s: float


class ForwardedKey(NamedTuple):
    """Record of a non-idempotent request that an entry sent to a target."""

    key_digest: bytes
    request_digest: bytes
    attempt_id: str
    age_s: float
    state: str  # 'sent', 'answered', 'refused' or 'unknown'


@register_message(1)
class Hello(NamedTuple):
    """First message of an entry on a connection, repeated when it changes.

    ``placements`` are those of the agent's service that still matter, oldest
    first. All lists reflect the log up to ``log_offset``.
    """

    protocol_version: int
    entry_id: str
    incarnation: str
    zone: str
    registered: list[EntryRef]
    lost: list[LostEntry]
    log_offset: int
    placements: dict[str, list[PlacementRef]]


@register_message(2)
class Welcome(NamedTuple):
    """Response of the agent to Hello; accepts the connection."""

    protocol_version: int
    target_id: str
    service: str
    kind: str
    zone: str
    incarnation: str
    clock_s: float
    ready: bool
    draining: bool
    ledger: str  # 'recovering', 'complete' or 'incomplete'


@register_message(3)
class Heartbeat(NamedTuple):
    """Sent in both directions every HEARTBEAT_INTERVAL.

    ``clock_s`` is the sender's monotonic clock and ``echo_clock_s`` the last
    value received from the peer. ``log_offset`` and ``log_age_s`` are the
    newest known to the sender, from the log itself or from its peers.
    """

    clock_s: float
    echo_clock_s: float
    log_offset: int
    log_age_s: float


@register_message(4)
class ForwardedKeys(NamedTuple):
    """Records of the keys whose home target is the agent's target.

    After the message with ``is_last``, the entry sends none of these keys to
    another target under a placement older than ``placement_version``.
    """

    records: list[ForwardedKey]
    is_last: bool
    placement_version: int


@register_message(5)
class StartAttempt(NamedTuple):
    """Asks the agent to run a request at the target.

    The agent refuses it when its clock is past ``start_before_s``.
    ``key_digest`` is empty for idempotent requests. ``caller_key`` is true if
    the key was supplied by the caller and may have been used before. With
    ``only_if_known``, a request whose key is not in the ledger is refused as
    ``rate_limited``.
    """

    attempt_id: str
    request_id: str
    service: str
    team: str
    method: str
    path: str
    headers: list[tuple[str, str]]
    body: bytes
    streaming: bool
    idempotent: bool
    key_digest: bytes
    request_digest: bytes
    caller_key: bool
    retention_s: float
    priority: int
    start_before_s: float
    timeout_s: float
    resume_position: int
    placement_version: int
    only_if_known: bool = False


@register_message(6)
class CancelAttempt(NamedTuple):
    """Asks the agent to stop an attempt, which it confirms."""

    attempt_id: str
    reason: str


@register_message(7)
class AcknowledgeBytes(NamedTuple):
    """The entry has received all response bytes before ``position``."""

    attempt_id: str
    position: int


@register_message(8)
class ResumeAttempt(NamedTuple):
    """Asks after a reconnect for the response from byte ``position`` on."""

    attempt_id: str
    position: int


@register_message(9)
class LoadReport(NamedTuple):
    """Load of the target as last measured by its agent."""

    clock_s: float
    ready: bool
    draining: bool
    running_requests: int
    waiting_requests: int
    running_tokens: int
    waiting_tokens: int
    free_pieces: int
    total_pieces: int
    piece_tokens: int
    role: str
    models: list[str]
    adapters: list[str]
    cached_prefixes: list[int]


@register_message(10)
class Draining(NamedTuple):
    """The agent accepts no new attempts from now on."""

    reason: str


@register_message(11)
class AttemptRefused(NamedTuple):
    """The attempt was not started; with ``not_run`` it never will be.

    ``not_run`` is false if an earlier request with the same key may have run.
    """

    attempt_id: str
    code: str
    detail: str
    not_run: bool
    retry_after_s: float


@register_message(12)
class AttemptStarted(NamedTuple):
    """The attempt is running, or a stored response follows."""

    attempt_id: str
    replayed: bool


@register_message(13)
class AttemptHead(NamedTuple):
    """Status and headers of the response."""

    attempt_id: str
    status: int
    headers: list[tuple[str, str]]


@register_message(14)
class AttemptChunk(NamedTuple):
    """Bytes of the response from ``position`` on."""

    attempt_id: str
    position: int
    payload: bytes


@register_message(15)
class AttemptEnd(NamedTuple):
    """The response is complete and has ``total_bytes``."""

    attempt_id: str
    total_bytes: int
    prompt_tokens: int
    output_tokens: int


@register_message(16)
class AttemptFailed(NamedTuple):
    """The attempt ended without a complete response.

    ``outcome`` is ``not_run``, ``ran`` or ``unknown``.
    """

    attempt_id: str
    code: str
    detail: str
    outcome: str
    prompt_tokens: int
    output_tokens: int


@register_message(17)
class CancelConfirmed(NamedTuple):
    """The attempt was cancelled; ``started`` if it may have reached a target."""

    attempt_id: str
    started: bool
    prompt_tokens: int
    output_tokens: int


@register_message(18)
class AcknowledgeBatches(NamedTuple):
    """Sent by an entry that has received all batches up to ``received``.

    With ``resend``, it asks the agent to send all later batches again.
    """

    received: int
    resend: bool


class Batch(NamedTuple):
    """Messages that are sent together.

    ``sequence`` numbers the batches of a connection from 1; a gap means that
    the transport dropped a batch. An empty batch lets the peer detect a gap
    at the end of a burst.
    """

    sequence: int
    lamport: int
    messages: list[Any]


_encoder = msgspec.msgpack.Encoder()
_batch_decoder = msgspec.msgpack.Decoder(
    tuple[int, int, list[tuple[int, msgspec.Raw]]],
)


def encode_batch(batch: Batch) -> bytes:
    """Encode a batch of messages of registered types as MessagePack."""
    rows = [(_codes[type(item)], item) for item in batch.messages]
    return _encoder.encode((batch.sequence, batch.lamport, rows))


def decode_batch(payload: bytes) -> Batch:
    """Decode a batch.

    Raises MessageError if the payload is too large, is malformed or contains
    a message of an unknown type.
    """
    if len(payload) > MAX_BATCH_BYTES:
        raise MessageError(f'batch of {len(payload)} bytes is too large')
    try:
        sequence, lamport, rows = _batch_decoder.decode(payload)
        messages = [_decoders[code].decode(raw) for code, raw in rows]
    except (msgspec.MsgspecError, KeyError, RecursionError) as error:
        raise MessageError(f'malformed batch: {error}') from error
    return Batch(sequence, lamport, messages)
