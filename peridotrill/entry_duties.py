"""What an entry does besides requests: usage, snapshots, their leases."""

from collections.abc import Iterable, Mapping
from functools import partial
from typing import Final, NamedTuple, Self, final

import anyio
import httpx
from anyio.abc import TaskGroup

from peridotrill.clock import Clock
from peridotrill.control_state import USAGE_LEASE, ControlState
from peridotrill.exceptions import LogError
from peridotrill.leases import DEFAULT_LEASE_TTL, Lease
from peridotrill.log_client import LogClient, LogFollower
from peridotrill.peer_state import PeerStateExchange
from peridotrill.placement import PLACEMENT_LEASE, PlacementPlanner
from peridotrill.records import PlacementChanged
from peridotrill.settings import Address
from peridotrill.snapshots import (
    SNAPSHOT_LEASE,
    SnapshotAssembler,
    SnapshotSettings,
    write_due_snapshots,
)
from peridotrill.timeline import Recorder
from peridotrill.usage import (
    UsageCounter,
    UsageReporter,
    UsageSettings,
    flush_usage,
)

# The last counts of a process are tried for a few seconds, since they are
# lost with it.
_LAST_FLUSHES: Final = 5
_LAST_FLUSH_PAUSE_S: Final = 0.5


class LogParts(NamedTuple):
    """The log as the parts of an entry use it."""

    client: LogClient
    follower: LogFollower
    state: ControlState
    peers: PeerStateExchange

    @classmethod
    def from_config(
        cls,
        url: str,
        http: httpx.AsyncClient,
        clock: Clock,
        recorder: Recorder,
        peers: Iterable[Address] = (),
    ) -> Self:
        """Create the parts, with a state before the first record.

        :param peers: control addresses of other entries.
        """
        client = LogClient.from_config(url, http)
        state = ControlState()
        follower = LogFollower(
            client,
            state,
            clock,
            recorder,
            partial(SnapshotAssembler, state),
        )
        peer_states = PeerStateExchange(
            peers, http, state, follower, clock, recorder
        )
        return cls(client, follower, state, peer_states)


@final
class EntryDuties:
    """Usage counter, leases and what their holder does."""

    def __init__(  # noqa: WPS211
        self,
        process: tuple[str, str],
        settings: UsageSettings,
        log: LogParts,
        platform: tuple[str, httpx.AsyncClient],
        clock: Clock,
        recorder: Recorder,
        snapshots: SnapshotSettings,
    ) -> None:
        """:param process: id of the entry and its incarnation."""
        self.counter = UsageCounter(*process, settings.window, log.follower)
        self._leases = {
            name: Lease(
                name,
                process[1],
                DEFAULT_LEASE_TTL,
                log.state,
                clock,
                recorder,
            )
            for name in (USAGE_LEASE, SNAPSHOT_LEASE, PLACEMENT_LEASE)
        }
        self._planner = PlacementPlanner(clock)
        self._flushing = anyio.Lock()
        self._log = log
        self._snapshots = snapshots
        self._recorder = recorder
        self._flush_s = settings.flush.total_seconds()
        self._reporter = UsageReporter(
            *platform,
            log.client,
            self._leases[USAGE_LEASE],
            log.state,
            log.follower,
            settings,
            recorder,
            '/'.join(process),
        )

    def start(self, tasks: TaskGroup) -> None:
        """Start the tasks of the leases and of what their holder does."""
        for lease in self._leases.values():
            tasks.start_soon(lease.run, self._log.client)
        tasks.start_soon(self._reporter.run)
        tasks.start_soon(self._flush)
        tasks.start_soon(
            write_due_snapshots,
            self._leases[SNAPSHOT_LEASE],
            self._log.state,
            self._log.follower,
            self._log.client,
            self._recorder,
            self._snapshots,
        )

    async def place(self, homes: Mapping[str, frozenset[str]]) -> None:
        """Record changed sets of home targets while holding the lease.

        :param homes: the targets that can be homes, by service.
        """
        lease = self._leases[PLACEMENT_LEASE]
        for service, targets in homes.items():
            record = self._planner.next_record(
                service,
                targets,
                self._log.state.placements,
                lease.epoch,
            )
            if record is not None and lease.is_held():
                await self._append(record)

    async def _append(self, record: PlacementChanged) -> None:
        try:
            await self._log.client.append(record)
        except LogError as error:
            # The next call finds out whether the record is in the log.
            self._recorder.emit('placement_failed', detail=str(error))

    async def finish(self) -> None:
        """Release the leases and write the last counts."""
        for lease in self._leases.values():
            await lease.release(self._log.client)
        for _ in range(_LAST_FLUSHES):
            if await self._flush_once():
                return
            await anyio.sleep(_LAST_FLUSH_PAUSE_S)
        self._recorder.emit('usage_not_written')

    async def _flush(self) -> None:
        while True:
            await anyio.sleep(self._flush_s)
            await self._flush_once()

    async def _flush_once(self) -> bool:
        # A later record that reaches the log first would make the fold pass
        # over the teams of the earlier one.
        async with self._flushing:
            return await flush_usage(
                self.counter,
                self._log.client,
                self._recorder,
            )
