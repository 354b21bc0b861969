"""Program ``peridotrill-gateway``: composes gateway and platform."""

import asyncio
import gc
import os
import secrets
import signal
import sys
from collections.abc import Callable, Coroutine
from datetime import timedelta
from pathlib import Path
from typing import Any, Final, NamedTuple, final

import anyio
from anyio.abc import TaskGroup
from expression import Result
from prometheus_client import REGISTRY, generate_latest

from peridotrill.clock import SuspendAwareClock
from peridotrill.findings import format_findings
from peridotrill.gateway.beliefs import (
    Beliefs,
    FreshnessBounds,
)
from peridotrill.gateway.callers_port import (
    CallerPort,
    RawRequest,
    Responder,
)
from peridotrill.gateway.configuration import (
    DEFAULT_CALLER_LIMITS,
    CallerLimits,
)
from peridotrill.gateway.coordinator import TICK, Coordinator
from peridotrill.gateway.demand import DemandMeter
from peridotrill.gateway.event_log import EventLog
from peridotrill.gateway.loads import LoadBook
from peridotrill.gateway.metrics import (
    CONFIG_AGE_S,
    LEASE_HELD,
    STORE_CALLS,
)
from peridotrill.gateway.part_sharing import PartSharing
from peridotrill.gateway.peers import PeerExchange
from peridotrill.gateway.pools import Placement
from peridotrill.gateway.repeat_budget import RepeatBounds, RepeatBudget
from peridotrill.gateway.reporting import (
    Reporting,
    ReportSources,
    Sender,
)
from peridotrill.gateway.request_handler import RequestHandler
from peridotrill.gateway.role_duty import RoleDuty
from peridotrill.gateway.role_planner import RolePlanner
from peridotrill.gateway.serving import Services
from peridotrill.gateway.settings_follower import SettingsFollower
from peridotrill.gateway.target_calls import ConnectionTimes, TargetCaller
from peridotrill.gateway.target_health import TargetHealth
from peridotrill.gateway.target_port import ConnectionPool
from peridotrill.gateway.targets import TargetRecord
from peridotrill.gateway.team_quotas import TeamQuotas
from peridotrill.gateway.true_time import TrueTime
from peridotrill.gateway.usage_archive import UsageArchive
from peridotrill.gateway.usage_counts import UsageCounts
from peridotrill.gateway.usage_duty import ACT_MARGIN, UsageDuty
from peridotrill.gateway_followers import StoreFollowing
from peridotrill.platform import names, wire
from peridotrill.platform.coordination import CoordinationTopic
from peridotrill.platform.duties import DutyClient
from peridotrill.platform.engine_orders import EngineOrders
from peridotrill.platform.engine_parts import EngineParts
from peridotrill.platform.node_settings import (
    SETTINGS_VARIABLE,
    Bounds,
    NodeSettings,
    read_node_settings,
)
from peridotrill.platform.store import StoreClient
from peridotrill.settings import (
    EXIT_USAGE,
    Address,
    Setting,
    load_settings,
)

# Time limit of one call of the store, without the time that it waits.
_STORE_TIMEOUT_S: Final = 1.0
_STORE_CONNECT_S: Final = 0.6
_STORE_IDLE: Final = 4
# Part of the time within which withdrawn keys must stop that an unconfirmed
# configuration may be used for.
_FRESH_PART: Final = 0.88
# Part of the time for which a leaving target still serves that a target
# without a record is used; the rest covers reading the store.
_GRACE_PART: Final = 0.4
_MIN_LEASE_S: Final = 4.0
_DUTY_TIMEOUT_S: Final = 1.0
_ORDER_TIMEOUT_S: Final = 0.5
_LISTING_TIMEOUT_S: Final = 1.0
# Engines register themselves within some seconds of a common start; roles
# are not changed before.
_SETTLE_S: Final = 5.0
# Time from the first start in which roles are set without a load.
_PREPARE_S: Final = 11.0
# Time from the start after which the lease may be claimed: by then the
# reports of a present holder have arrived.
_CLAIM_DELAY_S: Final = 1.0
# Questions for readiness come once per second, and two in a row without
# success take a gateway out of rotation.
_ROTATION_S: Final = 2.6
_EXIT_MARGIN_S: Final = 0.9
_BACKLOG: Final = 1024
_METRICS_PATH: Final = b'/metrics'
_OK: Final = 200
_NOT_FOUND: Final = 404
_UNAVAILABLE: Final = 503


_RESTART_DELAY_S: Final = 0.5

SETTINGS: Final = (
    Setting(
        'metrics_port',
        'integer',
        'port that serves /metrics on the address of the VM; 0 for none',
        '0',
    ),
    Setting('log_level', 'log_level', 'lowest level that is logged', 'INFO'),
)

_FIXED_BOUNDS: Final = (
    'lease_ms',
    'quota_window_s',
    'usage_window_s',
    'usage_late_s',
)

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
            _freshness(node.bounds),
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
        self._budget = RepeatBudget(_repeat_bounds(node.bounds), self._clock)
        self._usage = UsageCounts(node.bounds.usage_window_s, self._true_time)
        self._peers = PeerExchange(node.node, self._clock, self._log)
        self._targets = TargetCaller(wire, self._clock, ConnectionTimes())
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
                self._log.write_fault(
                    'task_fault',
                    error,
                    task=getattr(task, '__name__', ''),
                )
                await anyio.sleep(_RESTART_DELAY_S)
            else:
                return

    def _create_handler(self, tasks: TaskGroup) -> RequestHandler:
        return RequestHandler(
            Services(
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
                start_task=tasks.start_soon,
                refresh_targets=self._following.refresh_targets,
            ),
        )

    async def _listen(
        self,
        tasks: TaskGroup,
        handler: RequestHandler,
    ) -> CallerPort:
        loop = asyncio.get_running_loop()
        callers = CallerPort(
            handler.handle,
            tasks,
            self._caller_limits,
            self._clock.monotonic_s,
            self._log,
        )
        control = CallerPort(
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
        if 'usage' in self._node.duties and self._node.duties_address:
            tasks.append(self._coordinate)
        return tasks

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
            responder.send(_OK, [], generate_latest(REGISTRY))
        elif path == names.READY_PATH.encode():
            responder.send(_OK if self._is_ready else _UNAVAILABLE, [], b'')
        else:
            responder.send(_NOT_FOUND, [], b'')

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

    async def _coordinate(self) -> None:
        duties = self._node.duties_address
        if duties is None:
            return
        client = DutyClient(
            ConnectionPool(
                duties,
                self._clock.monotonic_s,
                _STORE_CONNECT_S,
                1,
            ),
            self._node.node,
            _DUTY_TIMEOUT_S,
        )
        usage = UsageDuty(
            self._usage,
            UsageArchive(
                f'{self._node.node}/{self._incarnation}',
                self._usage,
                self._following.open_topic(names.USAGE_TOPIC),
                self._clock,
                self._log,
            ),
            self._coordinator,
            client,
            self._node.bounds.usage_late_s,
            self._log,
        )
        roles = RoleDuty(
            self._beliefs,
            self._demand,
            RolePlanner(self._clock),
            self._coordinator,
            EngineOrders(self._node.node, _ORDER_TIMEOUT_S),
            self._clock,
            self._is_before_load,
            self._log,
        )
        self._reporting.switching = roles.switching
        while True:
            await self._coordinator.step(self._may_claim())
            if self._coordinator.held_lease(ACT_MARGIN) is not None:
                await usage.step()
            if self._clock.monotonic_s() - self._started_s > _SETTLE_S:
                await roles.step(self._loads.total, ACT_MARGIN)
            await anyio.sleep(TICK.total_seconds())

    def _is_before_load(self) -> bool:
        """Tell whether the whole system has started and serves nobody yet."""
        age_s = self._clock.monotonic_s() - self._started_s
        return self._node.is_first_start and age_s < _PREPARE_S

    def _may_claim(self) -> bool:
        age_s = self._clock.monotonic_s() - self._started_s
        return age_s >= _CLAIM_DELAY_S and self._reporting.should_claim()

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
        bounds = found.bounds._replace(**_fixed_bounds(known.bounds))
        self._node = known._replace(bounds=bounds)
        self._beliefs.apply_bounds(_freshness(bounds))
        self._quotas.apply_excess(bounds.quota_slack)
        self._budget.apply_bounds(_repeat_bounds(bounds))
        self._log.write(
            'settings_reloaded',
            applied=_changed_fields(known.bounds, bounds),
            at_next_start=_changed_fields(self._node, found),
        )

    async def _drain(self, port: CallerPort, handler: RequestHandler) -> None:
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


def _settings_path() -> Path:
    return Path(os.environ.get(SETTINGS_VARIABLE, ''))


def _freshness(bounds: Bounds) -> FreshnessBounds:
    return FreshnessBounds(
        timedelta(milliseconds=bounds.revoke_ms * _FRESH_PART),
        timedelta(milliseconds=bounds.drain_ms * _GRACE_PART),
    )


def _repeat_bounds(bounds: Bounds) -> RepeatBounds:
    return RepeatBounds(
        bounds.retry_ratio,
        bounds.retry_slack,
        bounds.retry_window_s,
    )


def _fixed_bounds(bounds: Bounds) -> dict[str, float]:
    """Return the bounds that a process keeps until its end.

    Lease and usage windows must be the same for all gateways, which do not
    see a change at the same moment.
    """
    return {name: getattr(bounds, name) for name in _FIXED_BOUNDS}


def _changed_fields(known: NamedTuple, found: NamedTuple) -> str:
    return ','.join(
        name
        for name, before, after in zip(
            known._fields,
            known,
            found,
            strict=True,
        )
        if before != after
    )


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
