"""Records of the append-only log, encoded as MessagePack maps."""

from typing import Any, Final, Literal, TypedDict

import msgspec

from peridotrill.exceptions import RecordError
from peridotrill.registry import Registry

MAX_RECORD_BYTES: Final = 1024 * 1024

record_types: Registry[str, Any] = Registry('record')


@record_types.register('config_published')
class ConfigPublished(TypedDict):
    """A change of the configuration, relative to ``base_version``.

    ``changed`` maps the name of a service to the text of its file.
    """

    kind: Literal['config_published']
    publish_id: str
    base_version: int
    changed: dict[str, str]
    removed: list[str]
    author: str


@record_types.register('key_granted')
class KeyGranted(TypedDict):
    """A key for a team; ``digest`` is the SHA-256 of the key, hex."""

    kind: Literal['key_granted']
    name: str
    team: str
    digest: str


@record_types.register('key_withdrawn')
class KeyWithdrawn(TypedDict):
    """The key of this name is no longer valid."""

    kind: Literal['key_withdrawn']
    name: str


@record_types.register('entry_registered')
class EntryRegistered(TypedDict):
    """A process started as this entry."""

    kind: Literal['entry_registered']
    entry_id: str
    incarnation: str
    zone: str


@record_types.register('entry_renewed')
class EntryRenewed(TypedDict):
    """The entry is alive."""

    kind: Literal['entry_renewed']
    entry_id: str
    incarnation: str


@record_types.register('entry_left')
class EntryLeft(TypedDict):
    """The entry ended after it finished all requests."""

    kind: Literal['entry_left']
    entry_id: str
    incarnation: str


@record_types.register('entry_expired')
class EntryExpired(TypedDict):
    """The entry stopped renewing its registration."""

    kind: Literal['entry_expired']
    entry_id: str
    incarnation: str


@record_types.register('lease_claimed')
class LeaseClaimed(TypedDict):
    """Claim of a lease; counts if ``previous_epoch`` is still current."""

    kind: Literal['lease_claimed']
    lease: str
    holder: str
    ttl_s: float
    previous_epoch: int


@record_types.register('lease_renewed')
class LeaseRenewed(TypedDict):
    """The holder of this epoch keeps the lease."""

    kind: Literal['lease_renewed']
    lease: str
    epoch: int
    holder: str


@record_types.register('usage_counted')
class UsageCounted(TypedDict):
    """Counts of one process and window, cumulative.

    ``counts`` maps a team to requests, prompt tokens and output tokens. Of
    several records the one with the highest sequence counts.
    """

    kind: Literal['usage_counted']
    entry_id: str
    incarnation: str
    window_start_s: int
    sequence: int
    counts: dict[str, list[int]]


@record_types.register('usage_fixed')
class UsageFixed(TypedDict):
    """The figures of a window; the first record of a window counts."""

    kind: Literal['usage_fixed']
    window_start_s: int
    epoch: int
    figures: dict[str, list[int]]


@record_types.register('usage_acknowledged')
class UsageAcknowledged(TypedDict):
    """The platform accepted the figure of this team and window."""

    kind: Literal['usage_acknowledged']
    window_start_s: int
    team: str


def encode_record(record: Any) -> bytes:
    """Encode a record.

    :param record: one of the registered types.
    :return: MessagePack; raises RecordError above MAX_RECORD_BYTES.
    """
    payload = msgspec.msgpack.encode(record)
    if len(payload) > MAX_RECORD_BYTES:
        raise RecordError(f'record of {len(payload)} bytes is too large')
    return payload


class _Kind(TypedDict):
    kind: str


def decode_record(payload: bytes) -> Any:
    """Decode and check a record.

    :param payload: raises RecordError if it is malformed or of an unknown
        kind, so that a reader can skip records of a newer version.
    :return: one of the registered types.
    """
    try:
        kind = msgspec.msgpack.decode(payload, type=_Kind)['kind']
        record_type = record_types.get(kind)
        if record_type is not None:
            return msgspec.msgpack.decode(payload, type=record_type)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise RecordError(f'malformed record: {error}') from error
    raise RecordError(f'unknown kind of record: {kind}')
