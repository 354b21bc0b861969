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

    ``changed`` maps service names to the texts of their files.
    """

    kind: Literal['config_published']
    publish_id: str
    base_version: int
    changed: dict[str, str]
    removed: list[str]
    author: str


@record_types.register('key_granted')
class KeyGranted(TypedDict):
    """A key for a team; ``digest`` is the SHA-256 of the key in hex."""

    kind: Literal['key_granted']
    name: str
    team: str
    digest: str


@record_types.register('key_withdrawn')
class KeyWithdrawn(TypedDict):
    """The key with this name is no longer valid."""

    kind: Literal['key_withdrawn']
    name: str


@record_types.register('entry_registered')
class EntryRegistered(TypedDict):
    """A process registered as this entry."""

    kind: Literal['entry_registered']
    entry_id: str
    incarnation: str
    zone: str


@record_types.register('entry_renewed')
class EntryRenewed(TypedDict):
    """The entry renewed its registration."""

    kind: Literal['entry_renewed']
    entry_id: str
    incarnation: str


@record_types.register('entry_left')
class EntryLeft(TypedDict):
    """The entry left after it had finished all requests."""

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
    """Claim of a lease.

    Valid only if ``previous_offset`` is the offset of the last valid record
    of this lease (0 if there is none), so that a renewal which the claimant
    has not read invalidates the claim.
    """

    kind: Literal['lease_claimed']
    lease: str
    holder: str
    ttl_s: float
    previous_offset: int
    sequence: int


@record_types.register('lease_renewed')
class LeaseRenewed(TypedDict):
    """The holder renews the lease; valid only in the current epoch."""

    kind: Literal['lease_renewed']
    lease: str
    holder: str
    epoch: int
    sequence: int


@record_types.register('lease_released')
class LeaseReleased(TypedDict):
    """The holder releases the lease, which can be claimed immediately."""

    kind: Literal['lease_released']
    lease: str
    holder: str
    epoch: int


@record_types.register('usage_counted')
class UsageCounted(TypedDict):
    """Usage in one window that a process has not yet recorded.

    ``counts`` maps a team to requests, prompt tokens and output tokens. A
    process appends its records in the order of ``sequence`` and repeats each
    one until it is known to be in the log; readers ignore duplicates.
    """

    kind: Literal['usage_counted']
    entry_id: str
    incarnation: str
    window_start_s: int
    sequence: int
    counts: dict[str, list[int]]


@record_types.register('usage_closed')
class UsageClosed(TypedDict):
    """Closes a window with the usage counted up to this record.

    Valid only in the current epoch of the lease ``usage``, and only once
    for each window.
    """

    kind: Literal['usage_closed']
    window_start_s: int
    window_end_s: int
    epoch: int


@record_types.register('usage_acknowledged')
class UsageAcknowledged(TypedDict):
    """The platform responded to the usage reports of these teams.

    ``conflicts`` lists the teams for which it has different figures.
    """

    kind: Literal['usage_acknowledged']
    window_start_s: int
    teams: list[str]
    conflicts: list[str]


@record_types.register('placement_changed')
class PlacementChanged(TypedDict):
    """The home targets of a service from this record on.

    Valid only in the current epoch of the lease ``placement``.
    """

    kind: Literal['placement_changed']
    service: str
    targets: list[str]
    epoch: int


@record_types.register('snapshot_part')
class SnapshotPart(TypedDict):
    """A part of a snapshot of the state at ``through_offset``.

    A snapshot is complete when all ``parts`` with its ``snapshot_id`` are
    in the log; ``part`` counts from 0.
    """

    kind: Literal['snapshot_part']
    snapshot_id: str
    through_offset: int
    part: int
    parts: int
    payload: bytes


def encode_record(record: Any) -> bytes:
    """Encode a record.

    :param record: one of the registered types.
    :return: MessagePack. Raises RecordError if it is longer than
        MAX_RECORD_BYTES.
    """
    payload = msgspec.msgpack.encode(record)
    if len(payload) > MAX_RECORD_BYTES:
        raise RecordError(
            f'record of {len(payload)} bytes exceeds the size limit'
        )
    return payload


class _RecordKind(TypedDict):
    kind: str


def decode_record(payload: bytes) -> Any:
    """Decode and validate a record.

    :param payload: MessagePack. Raises RecordError if it is malformed or of
        an unknown kind, so that readers can skip records of newer
        versions.
    :return: one of the registered types.
    """
    try:
        kind = msgspec.msgpack.decode(payload, type=_RecordKind)['kind']
        record_type = record_types.get(kind)
        if record_type is not None:
            return msgspec.msgpack.decode(payload, type=record_type)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise RecordError(f'malformed record: {error}') from error
    raise RecordError(f'unknown record kind: {kind}')
