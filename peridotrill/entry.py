"""The entry process: creates its components and runs them."""

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
from peridotrill.attempt_dependencies import AttemptDependencies
from peridotrill.caller_app import CallerApp
from peridotrill.channel import LogPosition
from peridotrill.clock import Clock
from peridotrill.dispatch import Dispatcher
from peridotrill.entry_background_tasks import (
    EntryBackgroundTasks,
    LogComponents,
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

# If the log was last read longer ago, requests with an API key are refused,
# unless agents have confirmed that no other entry has read further.
MAX_LOG_AGE: Final = timedelta(seconds=5)
_TICK_INTERVAL: Final = timedelta(seconds=1)


class EntrySettings(NamedTuple):
    """Settings of one entry; ``address_overrides`` are by target id."""

    entry_id: str
    zone: str
    platform_url: str
    usage: UsageSettings
    address_overrides: dict[str, str]
    target_subset: int = 0
    snapshots: SnapshotSettings = SnapshotSettings()
    peers: tuple[Address, ...] = ()


@final
class Entry:
    """The components of one entry process."""

    def __init__(
        self,
        settings: EntrySettings,
        http: httpx.AsyncClient,
        clock: Clock,
        recorder: Recorder,
        metrics: CollectorRegistry = REGISTRY,
    ) -> None:
        """:param http: client for the platform; closed by the caller.

        :param metrics: registry of the metrics.
        """
        self.is_draining = False
        self.incarnation = secrets.token_hex(8)
        self.metrics = EntryMetrics(metrics)
        self._settings = settings
        self._http = http
        self._clock = clock
        self._recorder = recorder
        self._log = LogComponents.from_config(
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
        self._announced_entries: set[tuple[str, str]] = set()
        self._announced_placements: dict[str, int] = {}
        self._configured_limits: tuple[int, int, int] | None = None
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
        """Create an entry; ``run`` starts it."""
        return cls(settings, http, clock, recorder, metrics)

    def is_ready(self) -> bool:
        """Tell whether the load balancer should route requests here."""
        if self.is_draining or self.keyed_unavailable_reason():
            return False
        return self.table.is_initialized

    def unavailable_reason(self) -> str:
        """Return why all requests are refused now, or an empty string."""
        if not self.follower.caught_up.is_set():
            return 'It has not read the log yet.'
        return ''

    def keyed_unavailable_reason(self) -> str:
        """Return why requests with an API key are refused, or ''."""
        if self.unavailable_reason():
            return self.unavailable_reason()
        if not self.registration.has_share:
            return 'Its share of the limits has not begun.'
        if self._is_stale():
            return 'Others have read further in the log, or may have.'
        return ''

    def control_state(self, from_offset: int) -> bytes:
        """Return the body of ``/control-state``, for other entries."""
        return self._log.peers.encode(from_offset)

    def status(self) -> dict[str, Any]:
        """Return the content of ``/status``."""
        return {
            'process': self._settings.entry_id,
            'program': 'peridotrill-entry',
            'incarnation': self.incarnation,
            'zone': self._settings.zone,
            'ready': self.is_ready(),
            'draining': self.is_draining,
            'refusal': self.keyed_unavailable_reason(),
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
        """Start all components; return once the entry is registered.

        :param tasks: runs the components until it is cancelled.
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
        self._background_tasks.start(tasks)
        tasks.start_soon(self._run_periodic)

    def begin_drain(self) -> None:
        """Report the entry as not ready to the load balancer."""
        self.is_draining = True
        self._recorder.emit('entry_draining')

    async def leave(self) -> None:
        """Write the final usage and end the registration.

        To be called after the last request.
        """
        await self._background_tasks.finish()
        recorded = await self.registration.leave()
        self._recorder.emit('entry_left', recorded=recorded)

    def _wire_targets(self) -> None:
        self.table = TargetTable(self._clock)
        self.links = TargetLinks(
            self.table,
            self._clock,
            self._recorder,
            self._open_link,
            self._settings.address_overrides,
            self.state.placements,
            self._hello,
        )
        self.links.subset_size = self._subset_size

    def _wire_duties(self) -> None:
        self._background_tasks = EntryBackgroundTasks(
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
        self.links.on_load_report = self._handle_load_report
        self.dependencies = AttemptDependencies.from_config(
            self.links,
            dispatcher,
            self._background_tasks.counter,
            self._clock,
            self._recorder,
        )
        self.metrics.waiting.set_function(dispatcher.count_waiting)
        self.metrics.forwarded_keys.set_function(
            partial(len, self.links.forwarded_keys)
        )
        self.metrics.dropped_messages.set_function(
            lambda: self.links.inboxes.dropped_messages,
        )
        self._running = RunningRequests(self.state)
        self.app = CallerApp(
            Admission(
                self.state,
                self._limiter,
                self._clock,
                self.keyed_unavailable_reason,
            ),
            self._running,
            self.dependencies,
            self.metrics,
            self.unavailable_reason,
        )

    def _handle_load_report(self, target_id: str) -> None:
        dependencies = self.dependencies
        dependencies.dispatcher.local_attempts.reported(target_id)
        view = self.table.find(target_id)
        if view is not None and not view.ready:
            dependencies.crash_guard.record_end(target_id)

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
        limit_s = MAX_LOG_AGE.total_seconds()
        if self.follower.log_age_s() < limit_s:
            return False
        peers = self.links.peer_log
        return peers.age_s() > limit_s or peers.offset > self.state.offset

    async def _apply_changes(self, changes: Any) -> None:
        async for _ in changes:
            self._apply_state()

    def _apply_state(self) -> None:
        self.registration.update_from_state()
        self._configure_limits()
        self._announce_changes()
        ended = self._running.cancel_withdrawn()
        if ended:
            self._recorder.emit('requests_of_withdrawn_keys', number=ended)

    def _announce_changes(self) -> None:
        """Send changed entries and placements to the agents."""
        entries = {
            (entry.entry_id, entry.incarnation)
            for entry in self.state.entries.values()
        }
        if entries != self._announced_entries:
            self._announced_entries = entries
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
        if self._configured_limits == (catalog.version, shares, position):
            return
        self._configured_limits = (catalog.version, shares, position)
        policies = {
            service.name: service.teams for service in catalog.services.values()
        }
        self._limiter.configure_all(policies, shares, position)

    def _needs_home_targets(self, service: str) -> bool:
        """Tell whether requests of a service can have idempotency keys."""
        known = self.state.catalog.services.get(service)
        return known is None or any(
            not route.idempotent for route in known.routes
        )

    def _home_targets(self) -> dict[str, frozenset[str]]:
        return {
            service: targets
            for service, targets in self.table.possible_home_targets().items()
            if self._needs_home_targets(service)
        }

    def _subset_size(self, service: str) -> int:
        # Each entry must reach the home target of a key, which can be any
        # target of the service.
        if self._needs_home_targets(service):
            return 0
        return self._settings.target_subset

    async def _run_periodic(self) -> None:
        while True:
            await anyio.sleep(_TICK_INTERVAL.total_seconds())
            self.links.forwarded_keys.expire()
            self.dependencies.dispatcher.dispatch_all()
            now_s = self.follower.platform_time_s()
            if now_s is not None and self.table.is_initialized:
                await self.registration.expire_others(
                    self.table.live_entries,
                    now_s,
                )
            if self.table.is_initialized:
                await self._background_tasks.record_placements(
                    self._home_targets()
                )
