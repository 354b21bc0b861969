from datetime import timedelta

import anyio
import pytest
from hypothesis import given
from hypothesis import strategies as st

from peridotrill.clock import ManualClock
from peridotrill.control_state import ControlState
from peridotrill.exceptions import RecordError, RecordsExpired
from peridotrill.keys import create_key, digest_key
from peridotrill.log_client import LogFollower, LogPage, StoredRecord
from peridotrill.snapshots import (
    SnapshotAssembler,
    SnapshotSettings,
    encode_snapshot,
    is_snapshot_due,
    restore_snapshot,
)
from peridotrill.timeline import Recorder
from tests import builders
from tests.memory_log import MemoryLog


class _ExpiringLog(MemoryLog):
    """Retains only the records from ``first_offset`` on."""

    first_offset = 1

    async def read(self, from_offset: int, wait: timedelta) -> LogPage:
        await anyio.sleep(0)
        if from_offset < self.first_offset:
            raise RecordsExpired('record expired')
        rows = [
            StoredRecord(offset, 0, payload)
            for offset, payload in enumerate(self.payloads, start=1)
            if offset >= from_offset
        ]
        return LogPage(
            tuple(rows[:3]), self.first_offset, len(self.payloads) + 1, 0
        )


def _append_records(log: MemoryLog) -> str:
    key = create_key()
    log.store(
        {
            'kind': 'config_published',
            'publish_id': 'p1',
            'base_version': 0,
            'changed': {
                'receipts': builders.service_text(builders.plain_document())
            },
            'removed': [],
            'author': 'a',
        }
    )
    log.store(
        {
            'kind': 'key_granted',
            'name': 'k',
            'team': 'growers',
            'digest': digest_key(key),
        }
    )
    log.store(
        {
            'kind': 'lease_claimed',
            'lease': 'usage',
            'holder': 'h',
            'ttl_s': 6,
            'previous_offset': 0,
            'sequence': 1,
        }
    )
    for sequence, start_s in enumerate((0, 60), start=1):
        log.store(
            builders.usage_counted(start_s, {'growers': [1, 2, 3]}, sequence)
        )
    log.store(
        {
            'kind': 'usage_closed',
            'window_start_s': 0,
            'window_end_s': 60,
            'epoch': 3,
        }
    )
    return key


def _content(state: ControlState) -> list:
    return [{**part, 'snapshot_id': ''} for part in encode_snapshot(state)]


def test_late_process_restores_the_same_state():
    # Guards against a replaced VM whose state lacks the expired records.
    log = _ExpiringLog()
    key = _append_records(log)
    early = ControlState()
    log.read_into(early)
    for part in encode_snapshot(early):
        log.store(part)
    log.store(builders.usage_counted(60, {'growers': [4, 3, 2]}, 3))
    log.read_into(early)
    log.first_offset = 7
    late = ControlState()
    follower = LogFollower(
        log,
        late,
        ManualClock(),
        Recorder('late', ManualClock()),
        lambda: SnapshotAssembler(late),
    )

    async def follow():
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(follower.run)
            with anyio.fail_after(5):
                await follower.caught_up.wait()
            tasks.cancel_scope.cancel()

    anyio.run(follow)
    assert late.keys.find(key).team == 'growers'
    assert late.catalog.version == 1
    assert late.usage.windows[0].figures['growers'] == (1, 2, 3)
    assert late.usage.windows[60].figures['growers'] == (5, 5, 5)
    assert _content(late) == _content(early)


def test_older_snapshot_is_not_restored():
    # Guards against a configuration version that reverts on a running VM.
    log = MemoryLog()
    _append_records(log)
    behind, ahead = ControlState(), ControlState()
    log.read_into(behind, 2)
    log.read_into(ahead)
    assembler = SnapshotAssembler(ahead)
    for part in encode_snapshot(behind):
        assembler.add(part)
    assert not assembler.restore()
    assert ahead.offset == len(log.payloads)


@given(st.binary(max_size=64))
def test_malformed_snapshot_leaves_the_state_unchanged(payload):
    # Guards against a malformed record that breaks every starting process.
    state = ControlState()
    part = encode_snapshot(state)[0]
    with pytest.raises(RecordError):
        restore_snapshot(state, [{**part, 'payload': payload}])
    assert state.offset == 0


def test_a_snapshot_is_due_by_records_or_by_age():
    # Guards against a log whose newest snapshot has expired.
    state = ControlState()
    settings = SnapshotSettings(timedelta(minutes=10), interval_records=5)
    assert not is_snapshot_due(state, 10_000, settings)
    state.skip(1)
    assert not is_snapshot_due(state, None, settings)
    assert is_snapshot_due(state, 600, settings)
    state.skip(5)
    assert not is_snapshot_due(state, 59, settings)
    assert is_snapshot_due(state, 60, settings)
