"""Program ``peridotrill-gateway``: composes gateway and platform."""

import asyncio
import gc
import os
import secrets
import signal
import sys
from collections.abc import Callable, Coroutine
from datetime import timedelta
from functools import partial
from http import HTTPStatus
from pathlib import Path
from typing import Any, Final, final

import anyio
from anyio.abc import TaskGroup
from expression import Result
from prometheus_client import REGISTRY, generate_latest

from peridotrill.clock import SuspendAwareClock
from peridotrill.findings import format_findings
from peridotrill.gateway.beliefs import Beliefs
from peridotrill.gateway.caller_server import (
    CallerServer,
    RawRequest,
    Responder,
)
from peridotrill.gateway.components import GatewayComponents
from peridotrill.gateway.configuration import (
    DEFAULT_CALLER_LIMITS,
    CallerLimits,
)
from peridotrill.gateway.coordinator import Coordinator
from peridotrill.gateway.demand import DemandMeter
from peridotrill.gateway.event_log import EventLog
from peridotrill.gateway.loads import LoadBook
from peridotrill.gateway.metrics import (
    CONFIG_AGE_S,
    LEASE_HELD,
    LOST_LOG_LINES,
    STORE_CALLS,
)
from peridotrill.gateway.part_sharing import PartSharing
from peridotrill.gateway.peers import PeerExchange
from peridotrill.gateway.pools import Placement
from peridotrill.gateway.repeat_budget import RepeatBudget
from peridotrill.gateway.reporting import (
    Reporting,
    ReportSources,
    Sender,
)
from peridotrill.gateway.request_handler import RequestHandler
from peridotrill.gateway.settings_follower import SettingsFollower
from peridotrill.gateway.target_connections import ConnectionPool
from peridotrill.gateway.target_health import TargetHealth
from peridotrill.gateway.target_http_client import (
    ConnectionTimeouts,
    TargetHttpClient,
)
from peridotrill.gateway.targets import TargetRecord
from peridotrill.gateway.team_quotas import TeamQuotas
from peridotrill.gateway.true_time import TrueTime
from peridotrill.gateway.usage_counts import UsageCounts
from peridotrill.gateway_duties import DutyParts, GatewayDuties
from peridotrill.gateway_followers import StoreFollowing
from peridotrill.gateway_settings import (
    SETTINGS,
    bounds_in_force,
    changed_fields,
    freshness_bounds,
    repeat_bounds,
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
from peridotrill.settings import (
    EXIT_USAGE,
    Address,
    load_settings,
)

# Time limit of one call of the store, without the time that it waits.
_STORE_TIMEOUT_S: Final = 1.0
# An opening packet that is lost is sent again after seconds; a new try is
# quicker.
_STORE_CONNECT_S: Final = 0.6
# Calls in progress at once: two followers, the lease, usage.
_STORE_IDLE: Final = 4
# A shorter lease would be lost to single slow answers of the store.
_MIN_LEASE_S: Final = 4.0
# Listing the parts delays an engine's work; it takes some milliseconds.
_LISTING_TIMEOUT_S: Final = 1.0
# Questions for readiness come once per second, and two in a row without
# success take a gateway out of rotation.
_ROTATION_S: Final = 2.6
# The process ends this long before it would be killed.
_EXIT_MARGIN_S: Final = 0.9
# New connections of a burst that wait to be accepted.
_BACKLOG: Final = 1024
_METRICS_PATH: Final = b'/metrics'
# Bounds the work and the log of a task that fails again and again.
_RESTART_DELAY_S: Final = 0.5

Task = Callable[[], Coroutine[Any, Any, None]]


@final
class GatewayProgram:
    """All tasks of one gateway process."""

    def __init__(self, node: NodeSettings, options: dict[str, Any]) -> None:
        """:param node: checked settings of the platform.

        :param options: own settings, see ``SETTINGS``.
        """
        self._node = node
        self._options = options
        self._clock = SuspendAwareClock()
        self._started_s = self._clock.monotonic_s()
        self._incarnation = secrets.token_hex(4)
        self._log = EventLog.from_settings(
            node.node,
            options['log_level'],
            self._clock,
        )
        self._beliefs = Beliefs(
            self._clock,
            freshness_bounds(node.bounds),
            self._log,
        )
        self._store = StoreClient(
            ConnectionPool(
                node.store_address,
                self._clock.monotonic_s,
                _STORE_CONNECT_S,
                _STORE_IDLE,
            ),
            _STORE_TIMEOUT_S,
        )
        self._loads = LoadBook(self._clock)
        self._health = TargetHealth(self._clock)
        self._demand = DemandMeter(self._clock)
        self._quotas = TeamQuotas(
            self._clock,
            timedelta(seconds=node.bounds.quota_window_s),
            node.bounds.quota_slack,
            node.is_first_start,
        )
        self._true_time = TrueTime(self._clock)
        self._budget = RepeatBudget(repeat_bounds(node.bounds), self._clock)
        self._usage = UsageCounts(node.bounds.usage_window_s, self._true_time)
        self._peers = PeerExchange(node.node, self._clock, self._log)
        self._targets = TargetHttpClient(
            wire, self._clock, ConnectionTimeouts()
        )
        self._placement = Placement(
            self._beliefs,
            self._loads,
            self._health,
            self._clock,
            node.zone,
        )
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
                self._beliefs,
                self._coordinator,
                self._quotas,
                self._loads,
                self._usage,
                self._demand,
                self._placement.parts,
                self._true_time,
            ),
            self._clock,
        )
        self._following = StoreFollowing(
            node,
            self._store,
            self._beliefs,
            self._peers,
            self._clock,
            self._log,
        )
        self._settings = SettingsFollower(
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
            self._beliefs,
            EngineParts(_LISTING_TIMEOUT_S),
            self._clock,
            self._log,
        )
        self._reporting.on_process = self._part_sharing.tell
        self._caller_server: asyncio.AbstractServer | None = None
        self._beliefs.on_change = self._on_beliefs_changed
        self._beliefs.on_target_gone = self._on_target_gone

    async def run(self) -> None:
        """Serve until SIGTERM, then finish what is in progress."""
        self._log.write(
            'process_started',
            incarnation=self._incarnation,
            zone=self._node.zone,
            pid=os.getpid(),
            first_start=self._node.is_first_start,
        )
        async with anyio.create_task_group() as tasks:
            handler = self._create_handler(tasks)
            port = await self._listen(tasks, handler)
            for task in self._tasks():
                tasks.start_soon(self._supervise, task)
            gc.collect()
            gc.freeze()
            await self._wait_for_stop()
            await self._drain(port, handler)
            tasks.cancel_scope.cancel()
        self._log.write('process_stopped')

    async def _supervise(self, task: Task) -> None:
        """Run a task of the whole process again after an unexpected error."""
        while True:
            try:
                await task()
            except Exception as error:  # noqa: BLE001
                self._log.write_exception(
                    'task_fault',
                    error,
                    task=getattr(task, '__name__', ''),
                )
                await anyio.sleep(_RESTART_DELAY_S)
            else:
                return

    def _create_handler(self, tasks: TaskGroup) -> RequestHandler:
        return RequestHandler(
            GatewayComponents(
                clock=self._clock,
                beliefs=self._beliefs,
                wire=wire,
                targets=self._targets,
                placement=self._placement,
                health=self._health,
                loads=self._loads,
                demand=self._demand,
                quotas=self._quotas,
                budget=self._budget,
                usage=self._usage,
                log=self._log,
                start_task=partial(_start_guarded, tasks, self._log),
                refresh_targets=self._following.refresh_targets,
            ),
        )

    async def _listen(
        self,
        tasks: TaskGroup,
        handler: RequestHandler,
    ) -> CallerServer:
        loop = asyncio.get_running_loop()
        callers = CallerServer(
            handler.handle,
            tasks,
            self._caller_limits,
            self._clock.monotonic_s,
            self._log,
        )
        control = CallerServer(
            self._answer_control,
            tasks,
            lambda: DEFAULT_CALLER_LIMITS,
            self._clock.monotonic_s,
            self._log,
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
            self._following.follow_configuration,
            self._following.follow_targets,
            self._following.join_members,
            self._reporting.run,
            self._settings.run,
        ]
        if not self._node.is_first_start:
            tasks.append(self._part_sharing.ask_engines)
        duties = self._create_duties()
        if duties is not None:
            tasks += [duties.coordinate, duties.save_usage]
        return tasks

    def _create_duties(self) -> GatewayDuties | None:
        address = self._node.duties_address
        if address is None or 'usage' not in self._node.duties:
            return None
        return GatewayDuties(
            self._node,
            f'{self._node.node}/{self._incarnation}',
            DutyParts(
                self._beliefs,
                self._coordinator,
                self._demand,
                self._loads,
                self._reporting,
                self._usage,
                self._following.open_topic(names.USAGE_TOPIC),
            ),
            address,
            self._clock,
            self._log,
        )

    def _caller_limits(self) -> CallerLimits:
        known = self._beliefs.configuration
        return DEFAULT_CALLER_LIMITS if known is None else known.limits

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
            not self._reporting.is_leaving
            and self._beliefs.is_complete
            and self._beliefs.is_fresh
        )

    def _update_gauges(self) -> None:
        CONFIG_AGE_S.set(self._beliefs.config_age_s() or -1)
        STORE_CALLS.set(self._store.calls)
        LOST_LOG_LINES.set(self._log.lost_lines)
        held = self._coordinator.held_lease(timedelta(0))
        LEASE_HELD.set(0 if held is None else 1)

    def _on_beliefs_changed(self) -> None:
        known = self._beliefs.configuration
        if known is not None:
            self._quotas.configure(known.teams)
            self._placement.parts.memory_tokens = known.engine_memory_tokens
        self._placement.pump()

    def _on_target_gone(self, target: TargetRecord) -> None:
        self._targets.forget(target)
        self._health.forget(target.target_id)
        self._placement.parts.forget(target.target_id)

    async def _wait_for_stop(self) -> None:
        with anyio.open_signal_receiver(
            signal.SIGTERM,
            signal.SIGINT,
            signal.SIGHUP,
        ) as received:
            async for number in received:
                if number != signal.SIGHUP:
                    self._log.write('stop_requested', signal=number)
                    return
                self._settings.check_now()

    def _apply_settings(self, found: NodeSettings) -> None:
        """Put in force what can change while the process runs.

        The rest, such as addresses, is used at the next start.
        """
        known = self._node
        bounds = bounds_in_force(known.bounds, found.bounds)
        self._node = known._replace(bounds=bounds)
        self._beliefs.apply_bounds(freshness_bounds(bounds))
        self._quotas.apply_excess(bounds.quota_slack)
        self._budget.apply_bounds(repeat_bounds(bounds))
        self._log.write(
            'settings_reloaded',
            applied=changed_fields(known.bounds, bounds),
            at_next_start=changed_fields(self._node, found),
        )

    async def _drain(self, port: CallerServer, handler: RequestHandler) -> None:
        """Leave the rotation, then finish the requests in progress."""
        self._reporting.is_leaving = True
        port.drain()
        stop_s = self._clock.monotonic_s() + (
            self._node.bounds.grace_s - _EXIT_MARGIN_S
        )
        await anyio.sleep(
            min(_ROTATION_S, self._node.bounds.grace_s - _EXIT_MARGIN_S),
        )
        if self._caller_server is not None:
            self._caller_server.close()
        port.close_idle()
        while handler.in_progress and self._clock.monotonic_s() < stop_s:
            await anyio.sleep(0.02)
        port.close_idle()
        self._log.write('drained', in_progress=handler.in_progress)


def _start_guarded(
    tasks: TaskGroup,
    log: EventLog,
    task: Callable[..., Coroutine[Any, Any, None]],
    *arguments: Any,
) -> None:
    """Start a task of one request; an error ends nothing else."""

    async def run() -> None:  # noqa: WPS430
        try:
            await task(*arguments)
        except Exception as error:  # noqa: BLE001
            log.write_exception('task_fault', error)

    tasks.start_soon(run)


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
