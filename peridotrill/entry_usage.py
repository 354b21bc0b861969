"""Counting and reporting of usage by an entry."""

from typing import NamedTuple, final

import anyio
import httpx
from anyio.abc import TaskGroup

from peridotrill.clock import Clock
from peridotrill.control_state import USAGE_LEASE, ControlState
from peridotrill.leases import DEFAULT_TTL, Lease
from peridotrill.log_client import LogClient, LogFollower
from peridotrill.timeline import Recorder
from peridotrill.usage import (
    UsageCounter,
    UsageReporter,
    UsageSettings,
    flush_usage,
)


class LogParts(NamedTuple):
    """The log as the parts of an entry use it."""

    client: LogClient
    follower: LogFollower
    state: ControlState


@final
class EntryUsage:
    """Counter, lease and reporter of one entry."""

    def __init__(  # noqa: WPS211
        self,
        process: tuple[str, str],
        settings: UsageSettings,
        log: LogParts,
        platform: tuple[str, httpx.AsyncClient],
        clock: Clock,
        recorder: Recorder,
    ) -> None:
        """:param process: id of the entry and its incarnation."""
        self.counter = UsageCounter(*process, settings.window, log.follower)
        self.lease = Lease(
            USAGE_LEASE,
            process[1],
            DEFAULT_TTL,
            log.state,
            clock,
            recorder,
        )
        self._log = log.client
        self._recorder = recorder
        self._flush_s = settings.flush.total_seconds()
        self._reporter = UsageReporter(
            *platform,
            log.client,
            self.lease,
            log.state,
            log.follower,
            settings,
            recorder,
        )

    def start(self, tasks: TaskGroup) -> None:
        """Start the tasks of the lease, the reporter and the counts."""
        tasks.start_soon(self.lease.run, self._log)
        tasks.start_soon(self._reporter.run)
        tasks.start_soon(self._flush)

    async def finish(self) -> None:
        """Release the lease and write the last counts."""
        await self.lease.release(self._log)
        await flush_usage(self.counter, self._log, self._recorder)

    async def _flush(self) -> None:
        while True:
            await anyio.sleep(self._flush_s)
            await flush_usage(self.counter, self._log, self._recorder)
