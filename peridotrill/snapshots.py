"""Snapshots of the control state, written to the log.

The log keeps records for a limited time. A snapshot lets a process that
starts later restore the state without the expired records.
"""

from datetime import timedelta
from typing import Any, Final, NamedTuple, final
from uuid import uuid4

import anyio
import msgspec

from peridotrill.catalog import build_catalog
from peridotrill.control_state import (
    ControlState,
    EntryState,
    LeaseState,
    LostEntryState,
    PublishResult,
)
from peridotrill.exceptions import LogError, RecordError
from peridotrill.keys import KeyGrant, KeyTable
from peridotrill.leases import Appender, Lease
from peridotrill.log_client import LogFollower
from peridotrill.placement import Placement
from peridotrill.records import SnapshotPart
from peridotrill.timeline import Recorder
from peridotrill.usage_windows import UsageSnapshot, UsageWindows

SNAPSHOT_LEASE: Final = 'snapshot'
_MAX_PART_BYTES: Final = 512 * 1024
_TICK_INTERVAL_S: Final = 1


class _SnapshotContent(NamedTuple):
    version: int
    service_texts: dict[str, str]
    publish_results: dict[str, PublishResult]
    keys: list[KeyGrant]
    entries: dict[str, EntryState]
    lost: list[LostEntryState]
    leases: dict[str, LeaseState]
    usage: UsageSnapshot
    written_at_s: float
    placements: dict[str, tuple[Placement, ...]]


_decoder: Final = msgspec.msgpack.Decoder(_SnapshotContent)


def encode_snapshot(state: ControlState) -> list[SnapshotPart]:
    """Return the records of a snapshot, in the order to append them.

    :param state: the state, which the snapshot contains in full.
    """
    payload = msgspec.msgpack.encode(
        _SnapshotContent(
            state.catalog.version,
            state.service_texts,
            state.publish_results,
            list(state.keys),
            state.entries,
            state.lost,
            state.leases,
            state.usage.to_snapshot(),
            state.last_appended_at_s,
            state.placements,
        ),
    )
    starts = range(0, len(payload), _MAX_PART_BYTES)
    snapshot_id = uuid4().hex
    return [
        SnapshotPart(
            kind='snapshot_part',
            snapshot_id=snapshot_id,
            through_offset=state.offset,
            part=part,
            parts=len(starts),
            payload=payload[start : start + _MAX_PART_BYTES],
        )
        for part, start in enumerate(starts)
    ]


def restore_snapshot(state: ControlState, parts: list[SnapshotPart]) -> None:
    """Replace the content of a state with that of a snapshot.

    :param state: unchanged if the snapshot cannot be used.
    :param parts: all parts in order. Raises RecordError if they are
        malformed or contain an invalid configuration.
    """
    payload = b''.join(part['payload'] for part in parts)
    try:
        content = _decoder.decode(payload)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise RecordError(f'malformed snapshot: {error}') from error
    catalog = build_catalog(content.version, content.service_texts)
    if catalog.is_error():
        raise RecordError('the snapshot contains an invalid configuration')
    state.offset = parts[0]['through_offset']
    state.snapshot_offset = state.offset
    state.snapshot_at_s = content.written_at_s
    state.catalog, state.service_texts = catalog.ok, content.service_texts
    state.publish_results = content.publish_results
    _replace_keys(state.keys, content.keys)
    state.entries, state.lost = content.entries, content.lost
    state.leases = content.leases
    state.placements.clear()
    state.placements.update(content.placements)
    state.usage = UsageWindows.from_snapshot(content.usage)


def _replace_keys(table: KeyTable, grants: list[KeyGrant]) -> None:
    for outdated in list(table):
        table.withdraw(outdated.name)
    for grant in grants:
        table.grant(*grant)


@final
class SnapshotAssembler:
    """Finds the newest complete snapshot among the records of the log."""

    def __init__(self, state: ControlState) -> None:
        """:param state: the state that ``restore`` replaces."""
        self._state = state
        self.newest: list[SnapshotPart] = []
        self._parts: dict[str, dict[int, SnapshotPart]] = {}

    def add(self, record: Any) -> None:
        """Process a record of the log; only snapshot parts are used."""
        if record['kind'] != 'snapshot_part':
            return
        parts = self._parts.setdefault(record['snapshot_id'], {})
        parts[record['part']] = record
        if len(parts) == record['parts'] and self._is_newer(record):
            self.newest = [parts[number] for number in sorted(parts)]
            self._parts.clear()

    def restore(self) -> bool:
        """Restore the state from the newest snapshot.

        :return: False if no valid snapshot is newer than the state.
        """
        if not self.newest:
            return False
        if self.newest[0]['through_offset'] <= self._state.offset:
            return False
        try:
            restore_snapshot(self._state, self.newest)
        except RecordError:
            return False
        return True

    def _is_newer(self, record: SnapshotPart) -> bool:
        newest_offset = self.newest[0]['through_offset'] if self.newest else -1
        return record['through_offset'] > newest_offset


class SnapshotSettings(NamedTuple):
    """How often snapshots are written.

    ``interval`` must be well below the retention of the log. A snapshot is
    due earlier after ``interval_records`` records, but not before
    ``min_interval``, because every reader of the log reads it.
    """

    interval: timedelta = timedelta(minutes=10)
    interval_records: int = 20_000
    min_interval: timedelta = timedelta(minutes=1)


def is_snapshot_due(
    state: ControlState,
    platform_time_s: float | None,
    settings: SnapshotSettings,
) -> bool:
    """Return whether a new snapshot should be written.

    :param platform_time_s: None if it is not known yet.
    """
    records = state.offset - state.snapshot_offset
    if platform_time_s is None or not records:
        return False
    age_s = platform_time_s - state.snapshot_at_s
    if records >= settings.interval_records:
        return age_s >= settings.min_interval.total_seconds()
    return age_s >= settings.interval.total_seconds()


async def write_due_snapshots(
    lease: Lease,
    state: ControlState,
    follower: LogFollower,
    log: Appender,
    recorder: Recorder,
    settings: SnapshotSettings,
) -> None:
    """Append a snapshot whenever one is due, until cancelled.

    :param lease: only the holder writes, since more writers would only
        fill the log; the state would not be harmed.
    """
    while True:
        platform_time_s = follower.platform_time_s()
        due = is_snapshot_due(state, platform_time_s, settings)
        if due and lease.is_held():
            await _append_snapshot(state, log, recorder)
        await anyio.sleep(_TICK_INTERVAL_S)


async def _append_snapshot(
    state: ControlState,
    log: Appender,
    recorder: Recorder,
) -> None:
    parts = encode_snapshot(state)
    try:
        for part in parts:
            await log.append(part)
    except LogError as error:
        recorder.emit('snapshot_failed', detail=str(error))
        return
    recorder.emit(
        'snapshot_written',
        through_offset=parts[0]['through_offset'],
        parts=len(parts),
    )
