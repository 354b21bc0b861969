"""Reading a keyed topic through failures of the store."""

import asyncio
from datetime import timedelta

import anyio

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
