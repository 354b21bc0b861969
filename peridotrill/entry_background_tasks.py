"""Background tasks of an entry: usage, snapshots, placements, leases."""

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

# Final counts that cannot be written are lost with the process, so the write
# is retried for a few seconds.
_FINAL_FLUSH_ATTEMPTS: Final = 5
_FINAL_FLUSH_INTERVAL_S: Final = 0.5


class LogComponents(NamedTuple):
    """Client, follower and state of the log, and the states of peers."""

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
        """Create the components, with the state before the first record.

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
class EntryBackgroundTasks:
    """Usage counter, leases and the tasks of the lease holders."""

    def __init__(  # noqa: WPS211
        self,
        process: tuple[str, str],
        settings: UsageSettings,
        log: LogComponents,
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
        self._flush_lock = anyio.Lock()
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
        """Start the tasks that renew the leases and act for their holder."""
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

    async def record_placements(
        self, homes: Mapping[str, frozenset[str]]
    ) -> None:
        """Record changed sets of home targets if this entry holds the lease.

        :param homes: by service, the targets that can be home targets.
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
            # The next call observes whether the record is in the log.
            self._recorder.emit('placement_failed', detail=str(error))

    async def finish(self) -> None:
        """Release the leases and write the final counts."""
        for lease in self._leases.values():
            await lease.release(self._log.client)
        for _ in range(_FINAL_FLUSH_ATTEMPTS):
            if await self._flush_once():
                return
            await anyio.sleep(_FINAL_FLUSH_INTERVAL_S)
        self._recorder.emit('usage_not_written')

    async def _flush(self) -> None:
        while True:
            await anyio.sleep(self._flush_s)
            await self._flush_once()

    async def _flush_once(self) -> bool:
        # Records must reach the log in order: readers of the log skip a
        # record whose sequence number is lower than one they have applied.
        async with self._flush_lock:
            return await flush_usage(
                self.counter,
                self._log.client,
                self._recorder,
            )
