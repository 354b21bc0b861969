"""Replicated control state, built by applying the records of the log.

The result depends only on the records and their order, so every reader has
the same state at the same offset.
"""

from collections.abc import Callable
from typing import Any, Final, NamedTuple, final

from expression import Result

from peridotrill.catalog import Catalog, build_catalog
from peridotrill.keys import KeyTable
from peridotrill.placement import (
    PLACEMENT_LEASE,
    Placement,
    append_placement,
)
from peridotrill.records import (
    ConfigPublished,
    EntryExpired,
    EntryLeft,
    EntryRegistered,
    EntryRenewed,
    KeyGranted,
    KeyWithdrawn,
    LeaseClaimed,
    LeaseReleased,
    LeaseRenewed,
    PlacementChanged,
    SnapshotPart,
    UsageAcknowledged,
    UsageClosed,
    UsageCounted,
)
from peridotrill.registry import Registry
from peridotrill.usage_windows import UsageWindows

USAGE_LEASE: Final = 'usage'
_MAX_PUBLISH_RESULTS: Final = 256
# Longest idempotency retention that a service file may set.
_MAX_RETENTION_S: Final = 86_400


class PublishResult(NamedTuple):
    """Result of a published configuration change."""

    offset: int
    accepted: bool
    version: int
    base_version: int
    changed: tuple[str, ...]
    author: str
    findings_count: int


class EntryState(NamedTuple):
    """A registered entry; ``renewed_at_s`` is in platform time."""

    entry_id: str
    incarnation: str
    zone: str
    offset: int
    renewed_at_s: float


class LostEntryState(NamedTuple):
    """An ended incarnation, whose records of forwarded keys are lost."""

    entry_id: str
    incarnation: str
    lost_at_s: float


class LeaseState(NamedTuple):
    """A lease; ``holder`` is empty after a release."""

    holder: str
    epoch: int
    ttl_s: float
    last_offset: int
    sequence: int


_appliers: Registry[str, Callable[['ControlState', int, Any, float], None]]
_appliers = Registry('applier')


@final
class ControlState:
    """Configuration, keys, entries, leases and usage windows."""

    def __init__(self) -> None:
        """Create the state before the first record."""
        self.offset = 0
        self.skipped_records = 0
        self.catalog = Catalog(version=0, services={})
        self.service_texts: dict[str, str] = {}
        self.publish_results: dict[str, PublishResult] = {}
        self.keys = KeyTable()
        self.entries: dict[str, EntryState] = {}
        self.lost: list[LostEntryState] = []
        self.leases: dict[str, LeaseState] = {}
        self.usage = UsageWindows()
        self.placements: dict[str, tuple[Placement, ...]] = {}
        self.snapshot_offset = 0
        self.snapshot_at_s = 0.0
        self.last_appended_at_s = 0.0

    def apply(self, offset: int, record: Any, appended_at_s: float) -> None:
        """Apply the record at the next offset.

        :param appended_at_s: platform time of the append.
        """
        self.offset = offset
        self.last_appended_at_s = appended_at_s
        applier = _appliers.get(record['kind'])
        if applier is None:
            self.skipped_records += 1
        else:
            applier(self, offset, record, appended_at_s)

    def skip(self, offset: int) -> None:
        """Skip a record that cannot be decoded."""
        self.offset = offset
        self.skipped_records += 1

    def drop_entry(self, entry_id: str, lost_at_s: float) -> None:
        """Remove an entry and remember its incarnation as lost."""
        entry = self.entries.pop(entry_id)
        kept_since_s = lost_at_s - _MAX_RETENTION_S
        self.lost = [old for old in self.lost if old.lost_at_s > kept_since_s]
        self.lost.append(
            LostEntryState(entry_id, entry.incarnation, lost_at_s),
        )


@_appliers.register('config_published')
def _apply_config(
    state: ControlState,
    offset: int,
    record: ConfigPublished,
    _appended_at_s: float,
) -> None:
    service_texts = {**state.service_texts, **record['changed']}
    for name in record['removed']:
        service_texts.pop(name, None)
    findings_count = 0
    accepted = record['base_version'] == state.catalog.version
    if accepted:
        match build_catalog(offset, service_texts):
            case Result(tag='ok', ok=catalog):
                state.catalog, state.service_texts = catalog, service_texts
            case Result(error=findings):
                accepted, findings_count = False, len(findings)
    _record_publish_result(
        state,
        record['publish_id'],
        PublishResult(
            offset,
            accepted,
            state.catalog.version,
            record['base_version'],
            tuple(sorted({*record['changed'], *record['removed']})),
            record['author'],
            findings_count,
        ),
    )


def _record_publish_result(
    state: ControlState,
    publish_id: str,
    outcome: PublishResult,
) -> None:
    # A duplicate record must not turn an accepted change into a lost race.
    state.publish_results.setdefault(publish_id, outcome)
    if len(state.publish_results) > _MAX_PUBLISH_RESULTS:
        state.publish_results.pop(next(iter(state.publish_results)))


@_appliers.register('key_granted')
def _apply_key_granted(
    state: ControlState,
    _offset: int,
    record: KeyGranted,
    _appended_at_s: float,
) -> None:
    state.keys.grant(record['name'], record['team'], record['digest'])


@_appliers.register('key_withdrawn')
def _apply_key_withdrawn(
    state: ControlState,
    _offset: int,
    record: KeyWithdrawn,
    _appended_at_s: float,
) -> None:
    state.keys.withdraw(record['name'])


@_appliers.register('entry_registered')
def _apply_entry_registered(
    state: ControlState,
    offset: int,
    record: EntryRegistered,
    appended_at_s: float,
) -> None:
    current = state.entries.get(record['entry_id'])
    if current is not None and current.incarnation != record['incarnation']:
        state.drop_entry(current.entry_id, appended_at_s)
    state.entries[record['entry_id']] = EntryState(
        record['entry_id'],
        record['incarnation'],
        record['zone'],
        offset,
        appended_at_s,
    )


@_appliers.register('entry_renewed')
def _apply_entry_renewed(
    state: ControlState,
    _offset: int,
    record: EntryRenewed,
    appended_at_s: float,
) -> None:
    current = state.entries.get(record['entry_id'])
    if current is not None and current.incarnation == record['incarnation']:
        state.entries[current.entry_id] = current._replace(
            renewed_at_s=appended_at_s,
        )


@_appliers.register('entry_left')
def _apply_entry_left(
    state: ControlState,
    _offset: int,
    record: EntryLeft,
    appended_at_s: float,
) -> None:
    # As with a lost entry, its records of forwarded keys no longer exist.
    current = state.entries.get(record['entry_id'])
    if current is not None and current.incarnation == record['incarnation']:
        state.drop_entry(current.entry_id, appended_at_s)


@_appliers.register('entry_expired')
def _apply_entry_expired(
    state: ControlState,
    _offset: int,
    record: EntryExpired,
    appended_at_s: float,
) -> None:
    current = state.entries.get(record['entry_id'])
    if current is not None and current.incarnation == record['incarnation']:
        state.drop_entry(current.entry_id, appended_at_s)


@_appliers.register('lease_claimed')
def _apply_lease_claimed(
    state: ControlState,
    offset: int,
    record: LeaseClaimed,
    _appended_at_s: float,
) -> None:
    current = state.leases.get(record['lease'])
    last_offset = 0 if current is None else current.last_offset
    if record['previous_offset'] == last_offset:
        state.leases[record['lease']] = LeaseState(
            holder=record['holder'],
            epoch=offset,
            ttl_s=record['ttl_s'],
            last_offset=offset,
            sequence=record['sequence'],
        )


@_appliers.register('lease_renewed')
def _apply_lease_renewed(
    state: ControlState,
    offset: int,
    record: LeaseRenewed,
    _appended_at_s: float,
) -> None:
    current = _current_lease(state, record)
    if current is not None:
        state.leases[record['lease']] = current._replace(
            last_offset=offset,
            sequence=record['sequence'],
        )


@_appliers.register('lease_released')
def _apply_lease_released(
    state: ControlState,
    offset: int,
    record: LeaseReleased,
    _appended_at_s: float,
) -> None:
    current = _current_lease(state, record)
    if current is not None:
        state.leases[record['lease']] = current._replace(
            holder='',
            last_offset=offset,
        )


def _current_lease(
    state: ControlState,
    record: LeaseRenewed | LeaseReleased,
) -> LeaseState | None:
    current = state.leases.get(record['lease'])
    if current is None or current.epoch != record['epoch']:
        return None
    return current if current.holder == record['holder'] else None


@_appliers.register('usage_counted')
def _apply_usage_counted(
    state: ControlState,
    _offset: int,
    record: UsageCounted,
    _appended_at_s: float,
) -> None:
    state.usage.count(record)


@_appliers.register('usage_closed')
def _apply_usage_closed(
    state: ControlState,
    _offset: int,
    record: UsageClosed,
    _appended_at_s: float,
) -> None:
    lease = state.leases.get(USAGE_LEASE)
    if lease is not None and lease.epoch == record['epoch']:
        state.usage.close(record)


@_appliers.register('usage_acknowledged')
def _apply_usage_acknowledged(
    state: ControlState,
    _offset: int,
    record: UsageAcknowledged,
    _appended_at_s: float,
) -> None:
    state.usage.acknowledge(record)


@_appliers.register('placement_changed')
def _apply_placement_changed(
    state: ControlState,
    offset: int,
    record: PlacementChanged,
    appended_at_s: float,
) -> None:
    lease = state.leases.get(PLACEMENT_LEASE)
    if lease is None or lease.epoch != record['epoch']:
        return
    service = record['service']
    state.placements[service] = append_placement(
        state.placements.get(service, ()),
        Placement(offset, tuple(record['targets']), appended_at_s),
        _retention_s(state, service),
    )


def _retention_s(state: ControlState, name: str) -> float:
    service = state.catalog.services.get(name)
    if service is None:
        return _MAX_RETENTION_S
    return service.idempotency_retention.total_seconds()


@_appliers.register('snapshot_part')
def _apply_snapshot_part(
    state: ControlState,
    _offset: int,
    record: SnapshotPart,
    appended_at_s: float,
) -> None:
    is_last = record['part'] == record['parts'] - 1
    if is_last and record['through_offset'] > state.snapshot_offset:
        state.snapshot_offset = record['through_offset']
        state.snapshot_at_s = appended_at_s
