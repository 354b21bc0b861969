"""Tasks of ``peridotrill-gateway`` that only the coordinator performs."""

from typing import Final, NamedTuple, final

import anyio

from peridotrill.clock import Clock
from peridotrill.gateway.cluster_state import ClusterState
from peridotrill.gateway.connection_pool import ConnectionPool
from peridotrill.gateway.coordinator import STEP_INTERVAL, Coordinator
from peridotrill.gateway.demand import DemandMeter
from peridotrill.gateway.event_log import EventLog
from peridotrill.gateway.load_tracker import LoadTracker
from peridotrill.gateway.receive_limits import ReceiveBudget
from peridotrill.gateway.reporting import Reporting
from peridotrill.gateway.role_controller import RoleController
from peridotrill.gateway.role_planner import RolePlanner
from peridotrill.gateway.usage_archive import (
    SAVE_INTERVAL,
    UsageArchive,
    UsageTopic,
)
from peridotrill.gateway.usage_counts import UsageCounts
from peridotrill.gateway.usage_reporter import LEASE_MARGIN, UsageReporter
from peridotrill.platform.duties import DutyClient
from peridotrill.platform.engine_orders import EngineOrders
from peridotrill.platform.node_settings import NodeSettings
from peridotrill.settings import Address

# A call, including its connection, takes less than ``LEASE_MARGIN``.
_DUTY_TIMEOUT_S: Final = 1.0
_DUTY_CONNECT_TIMEOUT_S: Final = 0.6
# A duty call is answered by a status.
_MAX_DUTY_RESPONSE_BYTES: Final = 1024 * 1024
# An order consists of two calls, which together take less than
# ``LEASE_MARGIN``.
_ORDER_TIMEOUT_S: Final = 0.5
# Roles are not changed before this uptime: after a common start, engines take
# some seconds to register.
_ROLE_CHANGE_DELAY_S: Final = 5.0
# Uptime after the first start of the system during which roles are set
# without any load.
_INITIAL_ROLE_PERIOD_S: Final = 11.0
# Uptime after which the lease may be claimed: by then, reports of a current
# holder have arrived.
_CLAIM_DELAY_S: Final = 1.0


class CoordinatorTaskDependencies(NamedTuple):
    """Components of the gateway that the coordinator tasks need."""

    cluster_state: ClusterState
    coordinator: Coordinator
    demand: DemandMeter
    loads: LoadTracker
    reporting: Reporting
    usage: UsageCounts
    usage_topic: UsageTopic


@final
class CoordinatorTasks:
    """Holds the lease, reports usage and changes the roles of engines."""

    def __init__(
        self,
        node: NodeSettings,
        process: str,
        parts: CoordinatorTaskDependencies,
        address: Address,
        clock: Clock,
        log: EventLog,
    ) -> None:
        """:param process: name of this process in reports.

        :param address: address of the platform's duties interface.
        """
        self._parts = parts
        self._clock = clock
        self._started_s = clock.monotonic_s()
        self._is_first_start = node.is_first_start
        self._archive = UsageArchive(
            process,
            parts.usage,
            parts.usage_topic,
            log,
        )
        self._usage = UsageReporter(
            parts.usage,
            self._archive,
            parts.coordinator,
            DutyClient(
                ConnectionPool(
                    address,
                    clock.monotonic_s,
                    _DUTY_CONNECT_TIMEOUT_S,
                    1,
                    ReceiveBudget(_MAX_DUTY_RESPONSE_BYTES),
                ),
                node.node,
                _DUTY_TIMEOUT_S,
            ),
            node.bounds.usage_late_s,
            log,
        )
        self._roles = RoleController(
            parts.cluster_state,
            parts.demand,
            RolePlanner(clock),
            parts.coordinator,
            EngineOrders(node.node, _ORDER_TIMEOUT_S, clock),
            clock,
            self._is_before_load,
            log,
        )
        parts.reporting.switching = self._roles.switching
        self._leaving = anyio.Event()
        self._has_left = anyio.Event()

    async def coordinate(self) -> None:
        """Claim or renew the lease and act on it until the process leaves."""
        coordinator = self._parts.coordinator
        while not self._leaving.is_set():
            await coordinator.step(self._may_claim())
            await self._usage.step()
            if self._uptime_s() > _ROLE_CHANGE_DELAY_S:
                await self._roles.step(self._parts.loads.total, LEASE_MARGIN)
            with anyio.move_on_after(STEP_INTERVAL.total_seconds()):
                await self._leaving.wait()
        await coordinator.release()
        self._has_left.set()

    async def leave(self) -> None:
        """Release the lease, if this process holds it, before the process ends.

        Its successor then need not wait until the lease expires. That would take
        longer than some processes live while all gateways are restarted twice.
        """
        self._leaving.set()
        await self._has_left.wait()

    async def save_usage(self) -> None:
        """Save usage counts in the store until cancelled.

        Runs as a separate task, so that a slow store does not delay the
        renewal of the lease.
        """
        while True:
            if self._usage.is_loaded and not self._leaving.is_set():
                await self._archive.save()
            await anyio.sleep(SAVE_INTERVAL.total_seconds())

    async def save_last_usage(self) -> None:
        """Save the usage counts of this process, which ends.

        While another gateway is coordinator, the last report is enough.
        """
        if self._usage.is_loaded:
            await self._archive.save()
        elif not self._parts.reporting.knows_holder:
            await self._archive.save_last()

    def _is_before_load(self) -> bool:
        """Whether the whole system has just started and has no load yet."""
        return (
            self._is_first_start and self._uptime_s() < _INITIAL_ROLE_PERIOD_S
        )

    def _may_claim(self) -> bool:
        is_settled = self._uptime_s() >= _CLAIM_DELAY_S
        return is_settled and self._parts.reporting.should_claim()

    def _uptime_s(self) -> float:
        return self._clock.monotonic_s() - self._started_s
