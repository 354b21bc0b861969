"""Program ``peridotrill-gateway``: wires gateway and platform together."""

import asyncio
import gc
import math
import os
import secrets
import signal
import sys
from collections.abc import Callable, Coroutine
from datetime import timedelta
from http import HTTPStatus
from pathlib import Path
from typing import Any, Final, final

import anyio
from expression import Result
from prometheus_client import REGISTRY, generate_latest

from peridotrill.clock import SuspendAwareClock
from peridotrill.findings import format_findings
from peridotrill.gateway.caller_account import AccountLimits
from peridotrill.gateway.caller_server import (
    READ_DELAY_S,
    CallerServer,
    RawRequest,
    Responder,
)
from peridotrill.gateway.cluster_clock import ClusterClock
from peridotrill.gateway.cluster_state import ClusterState
from peridotrill.gateway.cold_targets import ColdTargets, WarmUpRule
from peridotrill.gateway.components import GatewayComponents
from peridotrill.gateway.configuration import (
    DEFAULT_CALLER_LIMITS,
    CallerLimits,
)
from peridotrill.gateway.connection_pool import ConnectionPool
from peridotrill.gateway.coordinator import Coordinator
from peridotrill.gateway.demand import DemandMeter
from peridotrill.gateway.early_ends import EarlyEnds
from peridotrill.gateway.event_log import EventLog
from peridotrill.gateway.event_sequence import EventNumberings
from peridotrill.gateway.framing_history import FramingHistory
from peridotrill.gateway.isolated_tasks import IsolatedTasks
from peridotrill.gateway.load_tracker import LoadTracker
from peridotrill.gateway.metrics import (
    CALLER_BYTES,
    CALLER_CONNECTIONS,
    COLD_TARGETS,
    CONFIG_AGE_S,
    EVACUATED_ZONES,
    LEASE_HELD,
    LIMITED_TARGETS,
    LOST_LOG_LINES,
    MODEL_ENGINES,
    QUARANTINED_PARTS,
    STORE_CALLS,
    STORE_GENERATION,
    TARGET_CRASHES,
    UNUSUAL_TARGETS,
)
from peridotrill.gateway.part_sharing import PartSharing
from peridotrill.gateway.peers import PeerExchange
from peridotrill.gateway.placement import Placement
from peridotrill.gateway.quarantine_archive import (
    SAVE_INTERVAL,
    QuarantineArchive,
)
from peridotrill.gateway.quarantine_sharing import QuarantineSharing
from peridotrill.gateway.receive_limits import ReceiveBudget
from peridotrill.gateway.reporting import (
    Reporting,
    ReportSources,
    Sender,
)
from peridotrill.gateway.request_handler import RequestHandler
from peridotrill.gateway.retry_budget import RetryBudget
from peridotrill.gateway.settings_watcher import SettingsWatcher
from peridotrill.gateway.shared_quotas import SharedQuotas
from peridotrill.gateway.stream_archive import (
    SAVE_INTERVAL as STREAM_SAVE_INTERVAL,
)
from peridotrill.gateway.stream_archive import StreamArchive
from peridotrill.gateway.stream_origins import StreamOrigins
from peridotrill.gateway.stream_sharing import StreamSharing
from peridotrill.gateway.target_health import TargetHealth
from peridotrill.gateway.target_http_client import (
    ConnectionTimeouts,
    TargetHttpClient,
)
from peridotrill.gateway.target_limits import TargetLimits
from peridotrill.gateway.targets import TargetRecord, TargetRole
from peridotrill.gateway.usage_counts import UsageCounts
from peridotrill.gateway.version_archive import VersionArchive, keep_versions
from peridotrill.gateway_coordinator_tasks import (
    CoordinatorTaskDependencies,
    CoordinatorTasks,
)
from peridotrill.gateway_followers import StoreFollowers
from peridotrill.gateway_settings import (
    SETTINGS,
    changed_fields,
    effective_bounds,
    freshness_bounds,
    retry_bounds,
)
from peridotrill.platform import names, wire
from peridotrill.platform.coordination import CoordinationTopic
from peridotrill.platform.engine_parts import EngineParts
from peridotrill.platform.node_settings import (
    SETTINGS_VARIABLE,
    NodeSettings,
    read_node_settings,
)
from peridotrill.platform.store import StoreClient
from peridotrill.process_signals import SignalReceiver
from peridotrill.prompt_quarantine import PromptQuarantine
from peridotrill.settings import (
    EXIT_USAGE,
    Address,
    load_settings,
)
from peridotrill.target_crashes import CrashDetector

# Timeout of one call to the store, excluding the long-poll time.
_STORE_TIMEOUT_S: Final = 1.0
# A lost SYN is only retransmitted after seconds; a new attempt is faster.
_STORE_CONNECT_TIMEOUT_S: Final = 0.6
_MIB: Final = 1024 * 1024
# Limits for the ports for readiness and metrics.
_CONTROL_LIMITS: Final = AccountLimits(4 * _MIB, 64)
# Limits for responses of the store. A page has 1 MiB; a record that is larger than
# what is left of a page comes with it.
_MAX_STORE_RESPONSE_BYTES: Final = 4 * _MIB
_STORE_RECEIVE_BYTES: Final = 4 * _MAX_STORE_RESPONSE_BYTES
# Concurrent calls: two followers, the lease and usage.
_MAX_IDLE_STORE_CONNECTIONS: Final = 4
# With a shorter lease, a single slow response of the store would lose it.
_MIN_LEASE_S: Final = 4.0
# Listing prompt parts delays the engine's work; it takes some milliseconds.
_LISTING_TIMEOUT_S: Final = 1.0
# Time until a gateway that is not ready is out of rotation: readiness checks
# come once per second, and two consecutive failures are needed.
_ROTATION_DELAY_S: Final = 2.6
# Draining ends this long before the process would be killed.
_EXIT_MARGIN_S: Final = 0.9
# Time for the responses to requests that were given up to be sent.
_FLUSH_TIME_S: Final = 0.4
# Time for the last write to the store before the process ends.
_LAST_SAVE_TIME_S: Final = 0.3
# Time for the end of the current step of the coordinator and for the release of
# its lease. With the times above, less than the margin.
_LEAVE_TIME_S: Final = 0.1
_DRAIN_POLL_INTERVAL_S: Final = 0.02
# Listen backlog; holds a burst of new connections.
_BACKLOG: Final = 1024
_METRICS_PATH: Final = b'/metrics'
# Limits the load and the log volume of a task that fails repeatedly.
_RESTART_DELAY_S: Final = 0.5

Task = Callable[[], Coroutine[Any, Any, None]]


@final
class GatewayProgram:
    """Components and tasks of one gateway process."""

    def __init__(self, node: NodeSettings, options: dict[str, Any]) -> None:
        """:param node: validated settings provided by the platform.

        :param options: settings of the program itself, see ``SETTINGS``.
        """
        self._node = node
        self._options = options
        self._clock = SuspendAwareClock()
        self._started_s = self._clock.monotonic_s()
        # When a drain gives up the requests in progress.
        self._exit_s = math.inf
        self._incarnation = secrets.token_hex(4)
        self._log = EventLog.from_settings(
            node.node,
            options['log_level'],
            self._clock,
        )
        self._cluster_state = ClusterState(
            self._clock,
            freshness_bounds(node.bounds),
            self._log,
            node.is_first_start,
            node.zone_regions,
        )
        self._origins = StreamOrigins(self._clock)
        self._store = StoreClient(
            ConnectionPool(
                node.store_address,
                self._clock.monotonic_s,
                _STORE_CONNECT_TIMEOUT_S,
                _MAX_IDLE_STORE_CONNECTIONS,
                ReceiveBudget(_STORE_RECEIVE_BYTES, _MAX_STORE_RESPONSE_BYTES),
            ),
            _STORE_TIMEOUT_S,
        )
        self._loads = LoadTracker(self._clock)
        self._health = TargetHealth(self._clock)
        self._crashes = CrashDetector(self._clock, self._log)
        self._demand = DemandMeter(self._clock)
        self._quotas = SharedQuotas(
            self._clock,
            timedelta(seconds=node.bounds.quota_window_s),
            node.bounds.quota_slack,
            node.is_first_start,
        )
        self._cluster_clock = ClusterClock(self._clock)
        self._budget = RetryBudget(retry_bounds(node.bounds), self._clock)
        self._usage = UsageCounts(
            node.bounds.usage_window_s, self._cluster_clock
        )
        self._peers = PeerExchange(node.node, self._clock, self._log, node.zone)
        self._quarantine = PromptQuarantine(self._clock, self._log)
        self._quarantine_sharing = QuarantineSharing(
            node.node, self._quarantine, self._peers, self._clock
        )
        self._crashes.on_crash = self._quarantine_sharing.record_crash
        self._limits = TargetLimits(
            node.node,
            self._peers.active_members,
            self._clock,
            self._log,
            ColdTargets(
                node.node,
                self._peers.known_members,
                self._find_warm_up,
                self._clock,
                self._log,
            ),
        )
        self._targets = TargetHttpClient(
            wire,
            self._clock,
            ConnectionTimeouts(),
            ReceiveBudget.from_memory_limit(node.memory_limit_mb),
        )
        self._placement = Placement(
            self._cluster_state,
            self._loads,
            self._health,
            self._limits,
            self._clock,
            node.zone,
        )
        self._placement.target_speeds.on_change = self._log_speed
        self._coordinator = Coordinator(
            node.node,
            CoordinationTopic(self._store),
            timedelta(
                seconds=max(_MIN_LEASE_S, node.bounds.lease_ms / 1000),
            ),
            self._clock,
            self._log,
        )
        self._reporting = Reporting(
            Sender(
                node.node,
                self._incarnation,
                Address(node.ip, node.peer_port),
            ),
            self._peers,
            ReportSources(
                self._cluster_state,
                self._coordinator,
                self._quotas,
                self._loads,
                self._usage,
                self._demand,
                self._placement.parts,
                self._cluster_clock,
                self._limits,
                self._origins,
                self._placement.speed,
                self._placement.target_speeds,
                self._placement.waiting,
            ),
            self._clock,
        )
        self._followers = StoreFollowers(
            node,
            self._store,
            self._cluster_state,
            self._peers,
            self._clock,
            self._log,
        )
        self._quarantine_archive = QuarantineArchive(
            self._quarantine,
            self._followers.open_topic(names.QUARANTINE_TOPIC),
            self._cluster_clock,
            self._clock,
            self._log,
        )
        self._settings = SettingsWatcher(
            _settings_path(),
            read_node_settings,
            node,
            self._apply_settings,
            self._log,
        )
        self._part_sharing = PartSharing(
            node.node,
            self._placement.parts,
            self._peers,
            self._cluster_state,
            EngineParts(_LISTING_TIMEOUT_S, self._clock),
            self._clock,
            self._log,
        )
        self._stream_sharing = StreamSharing(
            node.node,
            self._origins,
            self._cluster_state.versions,
            self._peers,
        )
        self._version_archive = VersionArchive(
            self._cluster_state,
            self._followers.open_topic(names.VERSIONS_TOPIC),
            self._log,
        )
        self._stream_archive = StreamArchive(
            self._origins,
            self._cluster_state.versions,
            self._followers.open_topic(names.STREAMS_TOPIC),
            self._cluster_clock,
            self._clock,
            self._log,
        )
        self._reporting.on_new_process = self._on_new_process
        self._caller_server: asyncio.AbstractServer | None = None
        self._callers: CallerServer | None = None
        self._duties = self._create_coordinator_tasks()
        self._cluster_state.on_change = self._on_cluster_state_changed
        self._cluster_state.on_target_gone = self._on_target_gone
        self._cluster_state.on_record = self._limits.cold.observe_record
        self._cluster_state.evacuations.on_taken_back = self._warm_up_zone
        self._store.on_restored = self._on_store_restored

    async def run(self) -> None:
        """Serve until SIGTERM, then finish the requests in progress."""
        self._log.write(
            'process_started',
            incarnation=self._incarnation,
            zone=self._node.zone,
            pid=os.getpid(),
            first_start=self._node.is_first_start,
        )
        async with anyio.create_task_group() as tasks:
            stopping = anyio.Event()
            tasks.start_soon(self._handle_signals, stopping)
            isolated = IsolatedTasks(tasks, self._log)
            handler = self._create_handler(isolated)
            port = await self._listen(isolated, handler)
            for task in self._tasks():
                tasks.start_soon(self._supervise, task, isolated)
            gc.collect()
            gc.freeze()
            await stopping.wait()
            await self._drain(port, handler)
            tasks.cancel_scope.cancel()
        self._log.write('process_stopped')

    async def _supervise(self, task: Task, group: IsolatedTasks) -> None:
        """Run a task; restart it after an unexpected error."""
        while True:
            fault: BaseException
            try:
                await task()
            except Exception as error:  # noqa: BLE001
                fault = error
            except asyncio.CancelledError as error:
                if group.is_ending:
                    raise
                fault = error
            else:
                return
            self._log.write_exception(
                'task_fault', fault, task=getattr(task, '__name__', '')
            )
            await anyio.sleep(_RESTART_DELAY_S)

    def _create_handler(self, tasks: IsolatedTasks) -> RequestHandler:
        return RequestHandler(
            GatewayComponents(
                clock=self._clock,
                cluster_state=self._cluster_state,
                wire=wire,
                targets=self._targets,
                placement=self._placement,
                health=self._health,
                crashes=self._crashes,
                quarantine=self._quarantine_sharing,
                origins=self._origins,
                numberings=EventNumberings(),
                early_ends=EarlyEnds(),
                framing=FramingHistory(),
                streams=self._stream_sharing,
                loads=self._loads,
                demand=self._demand,
                quotas=self._quotas,
                limits=self._limits,
                budget=self._budget,
                usage=self._usage,
                log=self._log,
                start_task=tasks.start_soon,
                refresh_targets=self._followers.refresh_targets,
                confirm_targets=self._followers.confirm_targets,
                load_streams=self._stream_archive.load,
            ),
        )

    async def _listen(
        self,
        tasks: IsolatedTasks,
        handler: RequestHandler,
    ) -> CallerServer:
        loop = asyncio.get_running_loop()
        callers = CallerServer(
            handler.handle,
            tasks,
            self._caller_limits,
            self._clock.monotonic_s,
            self._log,
            AccountLimits.from_machine(
                self._node.memory_limit_mb,
                self._node.max_descriptors,
                self._options['caller_memory_mb'],
                self._options['caller_connections'],
            ),
        )
        self._callers = callers
        control = CallerServer(
            self._answer_control,
            tasks,
            lambda: DEFAULT_CALLER_LIMITS,
            self._clock.monotonic_s,
            self._log,
            _CONTROL_LIMITS,
        )
        node = self._node
        listeners = [
            (callers, node.caller_address),
            (control, node.ready_address),
        ]
        if self._options['metrics_port']:
            metrics = Address(node.ip, self._options['metrics_port'])
            listeners.append((control, metrics))
        for port, address in listeners:
            server = await loop.create_server(
                port.create_connection,
                address.host,
                address.port,
                backlog=_BACKLOG,
            )
            if port is callers:
                self._caller_server = server
        await loop.create_datagram_endpoint(
            lambda: self._peers,
            (node.ip, node.peer_port),
        )
        return callers

    def _tasks(self) -> list[Task]:
        tasks: list[Task] = [
            self._followers.follow_configuration,
            self._followers.follow_targets,
            self._followers.join_members,
            self._reporting.run,
            self._quarantine_sharing.run,
            self._save_quarantine,
            self._keep_versions,
            self._save_streams,
            self._settings.run,
        ]
        if not self._node.is_first_start:
            tasks.append(self._part_sharing.ask_engines)
            tasks.append(self._quarantine_archive.load)
        if self._duties is not None:
            tasks += [self._duties.coordinate, self._duties.save_usage]
        return tasks

    async def _save_quarantine(self) -> None:
        """Save the quarantined parts while this gateway is coordinator."""
        while True:
            if self._coordinator.held_lease(timedelta(0)) is not None:
                await self._quarantine_archive.save()
            await anyio.sleep(SAVE_INTERVAL.total_seconds())

    async def _keep_versions(self) -> None:
        await keep_versions(
            self._version_archive,
            lambda: self._coordinator.held_lease(timedelta(0)) is not None,
        )

    async def _save_streams(self) -> None:
        """Save the origins of streams at one gateway.

        Without a coordinator, as for some seconds after a loss of all gateways,
        the one that would claim the lease writes. Two that write at the same
        time may overwrite each other's last records, but have mostly the same.
        """
        while True:
            holds_lease = self._coordinator.held_lease(timedelta(0)) is not None
            await self._stream_archive.save(
                holds_lease or self._reporting.should_claim()
            )
            await anyio.sleep(STREAM_SAVE_INTERVAL.total_seconds())

    def _on_new_process(self, node: str) -> None:
        self._part_sharing.send_listing(node)
        self._stream_sharing.send_listing(node)

    def _create_coordinator_tasks(self) -> CoordinatorTasks | None:
        address = self._node.duties_address
        if address is None or 'usage' not in self._node.duties:
            return None
        return CoordinatorTasks(
            self._node,
            f'{self._node.node}/{self._incarnation}',
            CoordinatorTaskDependencies(
                self._cluster_state,
                self._coordinator,
                self._demand,
                self._loads,
                self._reporting,
                self._usage,
                self._followers.open_topic(names.USAGE_TOPIC),
            ),
            address,
            self._clock,
            self._log,
        )

    def _caller_limits(self) -> CallerLimits:
        current = self._cluster_state.configuration
        return DEFAULT_CALLER_LIMITS if current is None else current.limits

    async def _answer_control(
        self,
        raw: RawRequest,
        responder: Responder,
    ) -> None:
        path = raw.target.split(b'?', 1)[0]
        if path == _METRICS_PATH:
            self._update_gauges()
            responder.send(HTTPStatus.OK, [], generate_latest(REGISTRY))
        elif path == names.READY_PATH.encode():
            responder.send(
                HTTPStatus.OK
                if self._is_ready
                else HTTPStatus.SERVICE_UNAVAILABLE,
                [],
                b'',
            )
        else:
            responder.send(HTTPStatus.NOT_FOUND, [], b'')

    @property
    def _is_ready(self) -> bool:
        return (
            not self._reporting.is_draining
            and self._cluster_state.is_complete
            and self._cluster_state.is_fresh
        )

    def _update_gauges(self) -> None:
        CONFIG_AGE_S.set(self._cluster_state.config_age_s() or -1)
        STORE_CALLS.set(self._store.calls)
        STORE_GENERATION.set(self._store.generation)
        LOST_LOG_LINES.set(self._log.lost_lines)
        LIMITED_TARGETS.set(self._limits.limited_targets)
        UNUSUAL_TARGETS.set(self._placement.target_speeds.differing)
        COLD_TARGETS.set(self._limits.cold.count)
        EVACUATED_ZONES.set(len(self._cluster_state.evacuations))
        TARGET_CRASHES.set(self._crashes.crashes)
        QUARANTINED_PARTS.set(len(self._quarantine.quarantined_parts))
        if self._callers is not None:
            CALLER_BYTES.set(self._callers.account.used_bytes)
            CALLER_CONNECTIONS.set(self._callers.account.open_connections)
        self._update_engine_gauges()
        held = self._coordinator.held_lease(timedelta(0))
        LEASE_HELD.set(0 if held is None else 1)

    def _update_engine_gauges(self) -> None:
        current = self._cluster_state.configuration
        for service in current.services.values() if current else ():
            for role in TargetRole if service.engine else ():
                MODEL_ENGINES.labels(service.name, role.value).set(
                    len(self._cluster_state.usable_targets(service.name, role))
                )

    def _on_cluster_state_changed(self) -> None:
        current = self._cluster_state.configuration
        if current is not None:
            self._quotas.configure(current.teams)
            self._placement.parts.memory_tokens = current.engine_memory_tokens
        self._placement.dispatch()

    def _on_target_gone(self, target: TargetRecord) -> None:
        self._targets.forget(target)
        self._health.forget(target.target_id)
        self._limits.forget(target.target_id)
        self._crashes.record_end(target.process, 'record replaced or removed')
        self._placement.forget(target)

    def _find_warm_up(self, service: str) -> WarmUpRule | None:
        """Return what the targets of a service tolerate while they are cold."""
        current = self._cluster_state.configuration
        spec = None if current is None else current.services.get(service)
        if spec is None or not spec.cold_s or not spec.cold_per_s:
            return None
        bounds = self._node.bounds
        return WarmUpRule(
            spec.cold_s,
            spec.cold_per_s,
            spec.cold_per_s * bounds.cold_over + bounds.cold_slack,
        )

    def _log_speed(self, target_id: str, slowness: float) -> None:
        """Log that a target begins or ceases to differ from the others."""
        self._log.write(
            'target_speed', target=target_id, slowness=round(slowness, 2)
        )

    def _warm_up_zone(self, zone: str) -> None:
        """Warm up the targets of a zone that was taken back."""
        for target in self._cluster_state.all_targets():
            if target.zone == zone:
                self._limits.cold.assume(target, 'zone taken back')

    def _on_store_restored(self, previous: int, generation: int) -> None:
        self._cluster_state.expect_relisting()
        current = self._cluster_state.configuration
        self._log.write(
            'store_restored',
            previous=previous,
            generation=generation,
            config_version=None if current is None else current.version,
        )

    async def _handle_signals(self, stopping: anyio.Event) -> None:
        """Handle signals until the process ends, also while it drains."""
        with SignalReceiver() as signals:
            while True:
                received = await signals.wait()
                self._log.write(
                    'signal_received',
                    signal=received.number.name,
                    age_ms=round(received.age_s() * 1000),
                    draining=stopping.is_set(),
                )
                if received.number == signal.SIGHUP:
                    self._settings.request_check()
                elif not stopping.is_set():
                    self._set_exit_time(received.age_s())
                    stopping.set()

    def _set_exit_time(self, waited_s: float) -> None:
        """Plan the end of the drain.

        :param waited_s: time since the process was asked to stop, which was
            perhaps while it started.
        """
        drain_s = self._node.bounds.grace_s - _EXIT_MARGIN_S - waited_s
        self._exit_s = self._clock.monotonic_s() + max(0.0, drain_s)

    def _apply_settings(self, new: NodeSettings) -> None:
        """Apply the settings that can change while the process runs.

        The others, such as addresses, apply at the next start.
        """
        current = self._node
        bounds = effective_bounds(current.bounds, new.bounds)
        self._node = current._replace(bounds=bounds)
        self._cluster_state.apply_bounds(freshness_bounds(bounds))
        self._quotas.apply_excess(bounds.quota_slack)
        self._budget.apply_bounds(retry_bounds(bounds))
        self._log.write(
            'settings_reloaded',
            applied=changed_fields(current.bounds, bounds),
            at_next_start=changed_fields(self._node, new),
        )

    async def _drain(self, port: CallerServer, handler: RequestHandler) -> None:
        """Leave the rotation, then wait until all connections are closed."""
        self._reporting.is_draining = True
        port.drain()
        stop_s = self._exit_s
        left_s = stop_s - self._clock.monotonic_s()
        await anyio.sleep(min(_ROTATION_DELAY_S, max(0.0, left_s)))
        await anyio.sleep(READ_DELAY_S)
        if self._caller_server is not None:
            self._caller_server.close()
        handler.announce_stop(stop_s)
        port.close_idle()
        await self._wait_for_close(port, stop_s)
        unfinished = handler.in_progress
        handler.stop()
        port.refuse_incomplete()
        await self._wait_for_close(port, stop_s + _FLUSH_TIME_S)
        await self._leave_peers()
        self._log.write(
            'drained',
            in_progress=unfinished,
            connections=len(port.connections),
        )

    async def _leave_peers(self) -> None:
        """Hand over what other gateways need when this process has ended."""
        self._reporting.send_last()
        if self._duties is None:
            return
        with anyio.move_on_after(_LAST_SAVE_TIME_S):
            await self._duties.save_last_usage()
        with anyio.move_on_after(_LEAVE_TIME_S):
            await self._duties.leave()

    async def _wait_for_close(self, port: CallerServer, until_s: float) -> None:
        while port.connections and self._clock.monotonic_s() < until_s:
            await anyio.sleep(_DRAIN_POLL_INTERVAL_S)


def _settings_path() -> Path:
    return Path(os.environ.get(SETTINGS_VARIABLE, ''))


def main() -> None:
    """Run the gateway; exit with status 2 if the settings are invalid."""
    options = load_settings(
        'peridotrill-gateway',
        SETTINGS,
        sys.argv[1:],
        os.environ,
    )
    match read_node_settings(_settings_path()):
        case Result(tag='ok', ok=node):
            anyio.run(
                GatewayProgram(node, options).run,
                backend='asyncio',
                backend_options={'use_uvloop': True},
            )
        case Result(error=findings):
            sys.stderr.write(f'{format_findings(findings)}\n')
            sys.exit(EXIT_USAGE)


if __name__ == '__main__':
    main()
