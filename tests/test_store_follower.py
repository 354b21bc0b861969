"""Reading a keyed topic through failures of the store."""

import asyncio
from datetime import timedelta

import anyio
import pytest

from peridotrill.clock import SystemClock
from peridotrill.exceptions import LogUnavailable
from peridotrill.gateway.store_follower import PollTimings, TopicFollower
from peridotrill.platform.topics import KeyedPage
from tests.gateway_builders import RecordingLog

_WAIT = timedelta(seconds=1.2)


class ScriptedReader:
    """Reader that fails at the reads with these numbers."""

    def __init__(self, *failures):
        self._failures = failures
        self.waits_s = []

    async def newest(self):
        return KeyedPage([], 0)

    async def read(self, start, wait_s):
        self.waits_s.append(wait_s)
        if len(self.waits_s) in self._failures:
            raise LogUnavailable('timeout')
        if len(self.waits_s) > 4:
            await asyncio.Event().wait()
        return KeyedPage([], start)


def test_read_after_a_failure_is_not_held():
    # Guards against a configuration that is confirmed only when the store ends
    # its wait for new records, long after an outage (requests with keys were
    # refused as configuration_stale).
    reader = ScriptedReader(2, 3)
    confirmed = []

    async def run():
        follower = TopicFollower(
            'keyed.op',
            reader,
            PollTimings(_WAIT, timedelta(0)),
            SystemClock(),
            RecordingLog(),
        )
        with anyio.move_on_after(2):
            await follower.run(
                lambda rows: None, lambda key, content: None, confirmed.append
            )

    anyio.run(run)
    assert reader.waits_s == [1.2, 1.2, 0, 0, 1.2]
    assert len(confirmed) == 3


class HoldingReader:
    """Reader of a topic without changes, whose store holds reads that wait."""

    def __init__(self):
        self.short_reads = 0

    async def newest(self):
        return KeyedPage([], 0)

    async def read(self, start, wait_s):
        if wait_s:
            await asyncio.Event().wait()
        self.short_reads += 1
        await anyio.sleep(0.01)
        return KeyedPage([], start)


def test_waiting_callers_share_the_reads_that_confirm_the_records():
    # Guards against one call of the store for each stream that is taken up after
    # the loss of a gateway.
    reader = HoldingReader()
    clock = SystemClock()
    follower = TopicFollower(
        'keyed.servers',
        reader,
        PollTimings(_WAIT, timedelta(0)),
        clock,
        RecordingLog(),
    )

    async def run():
        async with anyio.create_task_group() as followers:
            followers.start_soon(
                follower.run, lambda rows: None, print, lambda requested_s: None
            )
            await anyio.sleep(0.05)
            async with anyio.create_task_group() as callers:
                for _ in range(20):
                    callers.start_soon(follower.confirm, clock.monotonic_s())
            followers.cancel_scope.cancel()

    anyio.run(run)
    assert 1 <= reader.short_reads <= 2


class StuckReader:
    """Reader whose held read is lost while other reads find a new record."""

    def __init__(self):
        self.short_reads = 0

    async def newest(self):
        return KeyedPage([], 0)

    async def read(self, start, wait_s):
        if wait_s:
            await asyncio.Event().wait()
        self.short_reads += 1
        await anyio.sleep(0.001)
        return KeyedPage([('i-1', b'{}')], start + 1)


def test_lost_read_is_not_made_up_for_by_a_series_of_calls():
    # Guards against calls of the store one after another, each of which finds
    # the records that the held read, whose response is lost, would bring.
    reader = StuckReader()
    clock = SystemClock()
    follower = TopicFollower(
        'keyed.servers',
        reader,
        PollTimings(_WAIT, timedelta(0)),
        clock,
        RecordingLog(),
    )

    async def run():
        async with anyio.create_task_group() as followers:
            followers.start_soon(
                follower.run, lambda rows: None, print, lambda requested_s: None
            )
            await anyio.sleep(0.05)
            with anyio.move_on_after(0.35):
                await follower.confirm(clock.monotonic_s())
            followers.cancel_scope.cancel()

    anyio.run(run)
    assert reader.short_reads <= 10


class SlowReader:
    """Reader of a topic without changes, whose store takes 0.2 s for a read."""

    def __init__(self):
        self.cancelled = 0

    async def newest(self):
        return KeyedPage([], 0)

    async def read(self, start, wait_s):
        try:
            await anyio.sleep(0.2 + wait_s)
        except BaseException:
            self.cancelled += 1
            raise
        return KeyedPage([], start)


@pytest.mark.parametrize('callers', [1, 100])
def test_caller_that_stops_waiting_does_not_end_the_read_of_the_others(callers):
    # Guards against take-ups that are refused while the store is slow, because
    # each caller that gives up cancels the read that all of them wait for. The
    # time limits are those of a stream that is taken up.
    reader = SlowReader()
    clock = SystemClock()
    follower = TopicFollower(
        'keyed.servers',
        reader,
        PollTimings(_WAIT, timedelta(0)),
        clock,
        RecordingLog(),
    )
    confirmed = []

    async def take_up():
        since_s = clock.monotonic_s()
        for limit_s in (0.05, 0.3):
            with anyio.move_on_after(limit_s):
                await follower.confirm(since_s)
                confirmed.append(since_s)
                return

    async def run():
        async with anyio.create_task_group() as followers:
            followers.start_soon(
                follower.run, lambda rows: None, print, lambda requested_s: None
            )
            await anyio.sleep(0.3)
            async with anyio.create_task_group() as tasks:
                for _ in range(callers):
                    tasks.start_soon(take_up)
                    await anyio.sleep(0.01)
            followers.cancel_scope.cancel()

    anyio.run(run)
    assert len(confirmed) >= 0.9 * callers


def test_follower_that_starts_again_reads_all_records():
    # Guards against a record that fails again after each start of the follower,
    # although a newer one has replaced it.
    reader = ScriptedReader()
    follower = TopicFollower(
        'keyed.servers',
        reader,
        PollTimings(_WAIT, timedelta(0)),
        SystemClock(),
        RecordingLog(),
    )
    snapshots = []

    async def run():
        for _ in range(2):
            with anyio.move_on_after(0.2):
                await follower.run(
                    snapshots.append, print, lambda requested_s: None
                )

    anyio.run(run)
    assert len(snapshots) == 2
