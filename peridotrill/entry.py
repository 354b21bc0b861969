"""The entry: wires its parts together and runs them."""

import secrets
from datetime import timedelta
from functools import partial
from random import Random
from typing import Any, Final, NamedTuple, final

import anyio
import httpx
from anyio.abc import TaskGroup
from prometheus_client import REGISTRY, CollectorRegistry

from peridotrill import messages
from peridotrill.admission import Admission, RunningRequests
from peridotrill.attempt_ports import Ports
from peridotrill.callers import CallerApp
from peridotrill.channel import LogPosition
from peridotrill.clock import Clock
from peridotrill.dispatch import Dispatcher
from peridotrill.entry_duties import (
    EntryDuties,
    LogParts,
    SnapshotSettings,
    UsageSettings,
)
from peridotrill.entry_metrics import EntryMetrics
from peridotrill.limits import TeamLimiter
from peridotrill.link import AgentLink
from peridotrill.registration import Registration
from peridotrill.settings import Address
from peridotrill.target_links import TargetLinks
from peridotrill.targets import TargetTable
from peridotrill.timeline import Recorder

# Without a read of the log for this long, keyed requests are refused unless
# an agent has confirmed that no other entry has read further.
STALE_AFTER: Final = timedelta(seconds=5)
_TICK: Final = timedelta(seconds=1)


class EntrySettings(NamedTuple):
    """Settings of one entry; ``overrides`` are addresses by target id."""

    entry_id: str
    zone: str
    platform_url: str
    usage: UsageSettings
    overrides: dict[str, str]
    target_subset: int = 0
    snapshots: SnapshotSettings = SnapshotSettings()
    peers: tuple[Address, ...] = ()


@final
class Entry:
    """The parts of one entry process."""

    def __init__(
        self,
        settings: EntrySettings,
        http: httpx.AsyncClient,
        clock: Clock,
        recorder: Recorder,
        metrics: CollectorRegistry = REGISTRY,
    ) -> None:
        """:param http: client for the platform; closed by the caller.

        :param metrics: where the metrics are registered.
        """
        self.is_draining = False
        self.incarnation = secrets.token_hex(8)
        self.metrics = EntryMetrics(metrics)
        self._settings = settings
        self._http = http
        self._clock = clock
        self._recorder = recorder
        self._log = LogParts.from_config(
            settings.platform_url,
            http,
            clock,
            recorder,
            settings.peers,
        )
        self.state = self._log.state
        self.follower = self._log.follower
        self.registration = Registration(
            (settings.entry_id, self.incarnation, settings.zone),
            self.state,
            self._log.client,
            clock,
            recorder,
        )
        self._announced: set[tuple[str, str]] = set()
        self._announced_placements: dict[str, int] = {}
        self._configured: tuple[int, int, int] | None = None
        self._limiter = TeamLimiter(clock)
        self._wire_targets()
        self._wire_duties()
        self._wire_callers()

    @classmethod
    def from_config(
        cls,
        settings: EntrySettings,
        http: httpx.AsyncClient,
        clock: Clock,
        recorder: Recorder,
        metrics: CollectorRegistry = REGISTRY,
    ) -> 'Entry':
        """Create an entry that does not run yet."""
        return cls(settings, http, clock, recorder, metrics)

    def is_ready(self) -> bool:
        """Tell whether the balancer should send callers here."""
        if self.is_draining or self.keyed_refusal():
            return False
        return self.table.is_initialized

    def refusal(self) -> str:
        """Return why no request is taken now, or an empty string."""
        if not self.follower.caught_up.is_set():
            return 'It has not read the log yet.'
        return ''

    def keyed_refusal(self) -> str:
        """Return why keyed requests are refused now, or nothing."""
        if self.refusal():
            return self.refusal()
        if not self.registration.has_share:
            return 'Its share of the limits has not begun.'
        if self._is_stale():
            return 'Others have read further in the log, or may have.'
        return ''

    def control_state(self, from_offset: int) -> bytes:
        """Return what ``/control-state`` shows to other entries."""
        return self._log.peers.encode(from_offset)

    def status(self) -> dict[str, Any]:
        """Return what ``/status`` shows."""
        return {
            'process': self._settings.entry_id,
            'program': 'peridotrill-entry',
            'incarnation': self.incarnation,
            'zone': self._settings.zone,
            'ready': self.is_ready(),
            'draining': self.is_draining,
            'refusal': self.keyed_refusal(),
            'config_version': self.state.catalog.version,
            'log_offset': self.state.offset,
            'log_age_s': min(self.follower.log_age_s(), 1e9),
            'keys': len(self.state.keys),
            'entries': {
                entry.entry_id: entry.incarnation
                for entry in self.state.entries.values()
            },
            'targets': {
                view.target_id: {
                    'service': view.service,
                    'ready': view.ready,
                    'draining': view.draining,
                    'linked': view.linked,
                }
                for view in self.table.views()
            },
        }

    async def run(self, tasks: TaskGroup) -> None:
        """Start all parts; returns when the entry is registered.

        :param tasks: the parts run in it until it is cancelled.
        """
        changes = self.follower.subscribe()
        tasks.start_soon(self._apply_changes, changes)
        tasks.start_soon(self.follower.run)
        tasks.start_soon(self._log.peers.run)
        await self.follower.caught_up.wait()
        self._apply_state()
        await self.registration.register()
        self._recorder.emit('entry_registered', incarnation=self.incarnation)
        url = self._settings.platform_url
        tasks.start_soon(self.links.run, url, self._http)
        tasks.start_soon(self.registration.renew)
        self._duties.start(tasks)
        tasks.start_soon(self._tick)

    def begin_drain(self) -> None:
        """Tell the balancer to send no more callers."""
        self.is_draining = True
        self._recorder.emit('entry_draining')

    async def leave(self) -> None:
        """Write what is left to write after the last request."""
        await self._duties.finish()
        recorded = await self.registration.leave()
        self._recorder.emit('entry_left', recorded=recorded)

    def _wire_targets(self) -> None:
        self.table = TargetTable(self._clock)
        self.links = TargetLinks(
            self.table,
            self._clock,
            self._recorder,
            self._open_link,
            self._settings.overrides,
            self.state.placements,
            self._hello,
        )
        self.links.subset_size = self._subset_size

    def _wire_duties(self) -> None:
        self._duties = EntryDuties(
            (self._settings.entry_id, self.incarnation),
            self._settings.usage,
            self._log,
            (self._settings.platform_url, self._http),
            self._clock,
            self._recorder,
            self._settings.snapshots,
        )

    def _wire_callers(self) -> None:
        dispatcher = Dispatcher(
            self.table,
            self._settings.zone,
            self._clock,
            Random(self.incarnation),
            self.state.placements,
        )
        self.links.on_change = dispatcher.dispatch_all
        self.links.on_report = dispatcher.own.reported
        self.ports = Ports.from_config(
            self.links,
            dispatcher,
            self._duties.counter,
            self._clock,
            self._recorder,
        )
        self.metrics.waiting.set_function(dispatcher.count_waiting)
        self.metrics.forwarded_keys.set_function(partial(len, self.links.book))
        self.metrics.dropped_messages.set_function(
            lambda: self.links.inboxes.dropped_messages,
        )
        self._running = RunningRequests(self.state)
        self.app = CallerApp(
            Admission(
                self.state,
                self._limiter,
                self._clock,
                self.keyed_refusal,
            ),
            self._running,
            self.ports,
            self.metrics,
            self.refusal,
        )

    def _open_link(self, address: Address) -> AgentLink:
        return AgentLink.from_config(
            address,
            self._hello,
            self._clock,
            self._recorder,
            self._log_position,
        )

    def _hello(self) -> messages.Hello:
        now_s = self.follower.platform_time_s() or 0
        return messages.Hello(
            messages.PROTOCOL_VERSION,
            self._settings.entry_id,
            self.incarnation,
            self._settings.zone,
            [
                messages.EntryRef(entry.entry_id, entry.incarnation)
                for entry in self.state.entries.values()
            ],
            [
                messages.LostEntry(
                    lost.entry_id,
                    lost.incarnation,
                    max(0, now_s - lost.lost_at_s),
                )
                for lost in self.state.lost
            ],
            self.state.offset,
            {
                service: [
                    messages.PlacementRef(
                        row.version,
                        list(row.targets),
                        max(0, now_s - row.since_s),
                    )
                    for row in rows
                ]
                for service, rows in self.state.placements.items()
            },
        )

    def _log_position(self) -> LogPosition:
        return LogPosition(self.state.offset, self.follower.log_age_s())

    def _is_stale(self) -> bool:
        limit_s = STALE_AFTER.total_seconds()
        if self.follower.log_age_s() < limit_s:
            return False
        peers = self.links.peer_log
        return peers.age_s() > limit_s or peers.offset > self.state.offset

    async def _apply_changes(self, changes: Any) -> None:
        async for _ in changes:
            self._apply_state()

    def _apply_state(self) -> None:
        self.registration.observe()
        self._configure_limits()
        self._announce_lists()
        ended = self._running.end_withdrawn()
        if ended:
            self._recorder.emit('requests_of_withdrawn_keys', number=ended)

    def _announce_lists(self) -> None:
        """Send Hello again when a list in it has changed."""
        entries = {
            (entry.entry_id, entry.incarnation)
            for entry in self.state.entries.values()
        }
        if entries != self._announced:
            self._announced = entries
            self.links.send_to_all(self._hello())
        versions = {
            service: rows[-1].version
            for service, rows in self.state.placements.items()
        }
        known, self._announced_placements = self._announced_placements, versions
        changed = dict(versions.items() - known.items())
        if changed:
            self.links.announce_placements(changed)

    def _configure_limits(self) -> None:
        catalog = self.state.catalog
        shares, position = self.registration.share()
        if self._configured == (catalog.version, shares, position):
            return
        self._configured = (catalog.version, shares, position)
        policies = {
            service.name: service.teams for service in catalog.services.values()
        }
        self._limiter.configure_all(policies, shares, position)

    def _needs_homes(self, service: str) -> bool:
        """Tell whether requests of a service can have idempotency keys."""
        known = self.state.catalog.services.get(service)
        return known is None or any(
            not route.idempotent for route in known.routes
        )

    def _homes(self) -> dict[str, frozenset[str]]:
        return {
            service: targets
            for service, targets in self.table.possible_home_targets().items()
            if self._needs_homes(service)
        }

    def _subset_size(self, service: str) -> int:
        # Any entry must reach the home of a key, which can be any target.
        if self._needs_homes(service):
            return 0
        return self._settings.target_subset

    async def _tick(self) -> None:
        while True:
            await anyio.sleep(_TICK.total_seconds())
            self.links.book.expire()
            self.ports.dispatcher.dispatch_all()
            now_s = self.follower.platform_time_s()
            if now_s is not None and self.table.is_initialized:
                await self.registration.expire_others(
                    self.table.live_entries,
                    now_s,
                )
            if self.table.is_initialized:
                await self._duties.place(self._homes())
