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
    """Claim of a lease.

    Counts only if ``previous_offset`` is the offset of the last record that
    counted for this lease (0 if there is none), so that a renewal which the
    claimant has not read defeats the claim.
    """

    kind: Literal['lease_claimed']
    lease: str
    holder: str
    ttl_s: float
    previous_offset: int
    sequence: int


@record_types.register('lease_renewed')
class LeaseRenewed(TypedDict):
    """The holder keeps the lease; counts only in the current epoch."""

    kind: Literal['lease_renewed']
    lease: str
    holder: str
    epoch: int
    sequence: int


@record_types.register('lease_released')
class LeaseReleased(TypedDict):
    """The holder gives the lease up; it can be claimed at once."""

    kind: Literal['lease_released']
    lease: str
    holder: str
    epoch: int


@record_types.register('usage_counted')
class UsageCounted(TypedDict):
    """Usage of one window that a process has not written before.

    ``counts`` maps a team to requests, prompt tokens and output tokens. A
    process appends its records in the order of ``sequence`` and repeats one
    until it is known to be in the log; a repeated one does not count.
    """

    kind: Literal['usage_counted']
    entry_id: str
    incarnation: str
    window_start_s: int
    sequence: int
    counts: dict[str, list[int]]


@record_types.register('usage_closed')
class UsageClosed(TypedDict):
    """Fixes the figures of a window as counted up to this record.

    Counts only in the current epoch of the lease of usage reports, and once
    for each window.
    """

    kind: Literal['usage_closed']
    window_start_s: int
    window_end_s: int
    epoch: int


@record_types.register('usage_acknowledged')
class UsageAcknowledged(TypedDict):
    """The platform answered for these teams of a window.

    ``conflicts`` lists the teams for which it holds another figure.
    """

    kind: Literal['usage_acknowledged']
    window_start_s: int
    teams: list[str]
    conflicts: list[str]


@record_types.register('placement_changed')
class PlacementChanged(TypedDict):
    """The home targets of a service from this record on.

    Counts only in the current epoch of the lease ``placement``.
    """

    kind: Literal['placement_changed']
    service: str
    targets: list[str]
    epoch: int


@record_types.register('snapshot_part')
class SnapshotPart(TypedDict):
    """A part of the state as of ``through_offset``.

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
    :return: MessagePack; raises RecordError above MAX_RECORD_BYTES.
    """
    payload = msgspec.msgpack.encode(record)
    if len(payload) > MAX_RECORD_BYTES:
        raise RecordError(f'record of {len(payload)} bytes is too large')
    return payload


class _RecordKind(TypedDict):
    kind: str


def decode_record(payload: bytes) -> Any:
    """Decode and check a record.

    :param payload: raises RecordError if it is malformed or of an unknown
        kind, so that a reader can skip records of a newer version.
    :return: one of the registered types.
    """
    try:
        kind = msgspec.msgpack.decode(payload, type=_RecordKind)['kind']
        record_type = record_types.get(kind)
        if record_type is not None:
            return msgspec.msgpack.decode(payload, type=record_type)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise RecordError(f'malformed record: {error}') from error
    raise RecordError(f'unknown kind of record: {kind}')
