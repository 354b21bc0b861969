"""Tests of the log follower and of the age of its state."""

import math
from datetime import timedelta

import anyio

from peridotrill.clock import ManualClock
from peridotrill.control_state import ControlState
from peridotrill.log_client import LogFollower, LogPage, StoredRecord
from peridotrill.messages import Heartbeat
from peridotrill.records import encode_record
from peridotrill.target_links import PeerLogPosition
from peridotrill.timeline import Recorder
from tests import builders

PAGE_RECORDS = 500


class SlowLog:
    """Returns pages of records, ``response_delay_s`` after each request."""

    def __init__(self, clock, record_count=0, response_delay_s=0.0):
        self.clock = clock
        self.response_delay_s = response_delay_s
        record = encode_record(
            builders.usage_counted(0, {'growers': [1, 1, 1]})
        )
        self.records = [
            StoredRecord(index + 1, 0, record) for index in range(record_count)
        ]

    def restore(self, records, length):
        """Replace the records after the first ``length`` ones."""
        self.records[length:] = [
            StoredRecord(length + index + 1, 0, encode_record(record))
            for index, record in enumerate(records)
        ]

    async def read(self, from_offset, wait):
        await anyio.sleep(0)
        self.clock.advance(timedelta(seconds=self.response_delay_s))
        records = self.records[from_offset - 1 :][:PAGE_RECORDS]
        return LogPage(tuple(records), 1, from_offset + len(records), 0)


def follow(log, clock):
    state = ControlState()
    follower = LogFollower(log, state, clock, Recorder('e1', clock))

    async def run():
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(follower.run)
            with anyio.fail_after(5):
                await follower.caught_up.wait()
            tasks.cancel_scope.cancel()

    anyio.run(run)
    return follower, state


def test_follower_reads_on_after_a_full_page():
    # Guards against an entry that starts with only the first page of the log.
    clock = ManualClock()
    _, state = follow(SlowLog(clock, record_count=1200), clock)
    assert state.offset == 1200


def test_follower_applies_records_of_a_restored_log_that_has_its_old_length():
    # Guards against records that are skipped because their offsets were given
    # out before the log was restored from an older copy.
    clock = ManualClock()
    log = SlowLog(clock, record_count=3)
    state = ControlState()
    follower = LogFollower(log, state, clock, Recorder('e1', clock))

    async def follow_restored_log():
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(follower.run)
            with anyio.fail_after(5):
                await follower.caught_up.wait()
            log.restore([builders.key_granted('k1')], length=2)
            with anyio.move_on_after(1):
                while not list(state.keys):
                    await anyio.sleep(0.01)
            tasks.cancel_scope.cancel()

    anyio.run(follow_restored_log)
    assert [grant.name for grant in state.keys] == ['k1']


def test_full_page_does_not_reset_the_log_age():
    # Guards against an entry that is far behind and reports to its peers that
    # its state is up to date.
    clock = ManualClock()
    log = SlowLog(clock, record_count=PAGE_RECORDS)
    read = log.read

    async def read_once(from_offset, wait):
        if from_offset > 1:
            await anyio.sleep_forever()
        return await read(from_offset, wait)

    log.read = read_once
    state = ControlState()
    follower = LogFollower(log, state, clock, Recorder('e1', clock))

    async def run():
        with anyio.move_on_after(0.3):
            await follower.run()

    anyio.run(run)
    assert state.offset == PAGE_RECORDS
    assert follower.log_age_s() == math.inf


def test_log_age_starts_when_the_read_is_sent():
    # Guards against a key table that looks current although the process was
    # paused after the response arrived.
    clock = ManualClock()
    follower, _ = follow(SlowLog(clock, response_delay_s=7), clock)
    assert follower.log_age_s() >= 7


def test_heartbeat_age_starts_at_the_echoed_time():
    # Guards against heartbeats that are processed late, after a pause of the
    # process, and then count as recent log positions of other entries.
    clock = ManualClock()
    position = PeerLogPosition(clock)
    sent_at_s = clock.monotonic_s()
    clock.advance(timedelta(seconds=7))
    position.observe(Heartbeat(0, sent_at_s, 5, 0))
    assert position.age_s() == 7
    assert position.offset == 5
