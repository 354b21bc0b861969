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
