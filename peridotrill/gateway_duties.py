"""Tasks of ``peridotrill-gateway`` that one gateway at a time does."""

from typing import Final, NamedTuple, final

import anyio

from peridotrill.clock import Clock
from peridotrill.gateway.beliefs import Beliefs
from peridotrill.gateway.coordinator import TICK, Coordinator
from peridotrill.gateway.demand import DemandMeter
from peridotrill.gateway.event_log import EventLog
from peridotrill.gateway.loads import LoadBook
from peridotrill.gateway.reporting import Reporting
from peridotrill.gateway.role_duty import RoleDuty
from peridotrill.gateway.role_planner import RolePlanner
from peridotrill.gateway.target_connections import ConnectionPool
from peridotrill.gateway.usage_archive import (
    SAVE_INTERVAL,
    UsageArchive,
    UsageTopic,
)
from peridotrill.gateway.usage_counts import UsageCounts
from peridotrill.gateway.usage_duty import ACT_MARGIN, UsageDuty
from peridotrill.platform.duties import DutyClient
from peridotrill.platform.engine_orders import EngineOrders
from peridotrill.platform.node_settings import NodeSettings
from peridotrill.settings import Address

# Together with the connection this stays below ``ACT_MARGIN``.
_DUTY_TIMEOUT_S: Final = 1.0
_DUTY_CONNECT_S: Final = 0.6
# An order is two calls, which together stay below ``ACT_MARGIN``.
_ORDER_TIMEOUT_S: Final = 0.5
# Engines register themselves within some seconds of a common start; roles
# are not changed before.
_SETTLE_S: Final = 5.0
# Time from the first start in which roles are set without a load.
_PREPARE_S: Final = 11.0
# Time from the start after which the lease may be claimed: by then the
# reports of a present holder have arrived.
_CLAIM_DELAY_S: Final = 1.0


class DutyParts(NamedTuple):
    """Parts of the gateway that the duties need."""

    beliefs: Beliefs
    coordinator: Coordinator
    demand: DemandMeter
    loads: LoadBook
    reporting: Reporting
    usage: UsageCounts
    usage_topic: UsageTopic


@final
class GatewayDuties:
    """Renews the lease, reports usage and orders roles."""

    def __init__(
        self,
        node: NodeSettings,
        process: str,
        parts: DutyParts,
        address: Address,
        clock: Clock,
        log: EventLog,
    ) -> None:
        """:param process: name of this process in reports.

        :param address: of the platform's calls for duties.
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
        self._usage = UsageDuty(
            parts.usage,
            self._archive,
            parts.coordinator,
            DutyClient(
                ConnectionPool(address, clock.monotonic_s, _DUTY_CONNECT_S, 1),
                node.node,
                _DUTY_TIMEOUT_S,
            ),
            node.bounds.usage_late_s,
            log,
        )
        self._roles = RoleDuty(
            parts.beliefs,
            parts.demand,
            RolePlanner(clock),
            parts.coordinator,
            EngineOrders(node.node, _ORDER_TIMEOUT_S),
            clock,
            self._is_before_load,
            log,
        )
        parts.reporting.switching = self._roles.switching

    async def coordinate(self) -> None:
        """Hold the lease if it is this gateway's turn, and act for all."""
        coordinator = self._parts.coordinator
        while True:
            await coordinator.step(self._may_claim())
            await self._usage.step()
            if self._age_s() > _SETTLE_S:
                await self._roles.step(self._parts.loads.total, ACT_MARGIN)
            await anyio.sleep(TICK.total_seconds())

    async def save_usage(self) -> None:
        """Keep the counts in the store, apart from the renewal of the lease.

        A store that is slow to answer must not delay a renewal.
        """
        while True:
            if self._usage.is_loaded:
                await self._archive.save()
            await anyio.sleep(SAVE_INTERVAL.total_seconds())

    def _is_before_load(self) -> bool:
        """Tell whether the whole system has started and serves nobody yet."""
        return self._is_first_start and self._age_s() < _PREPARE_S

    def _may_claim(self) -> bool:
        is_settled = self._age_s() >= _CLAIM_DELAY_S
        return is_settled and self._parts.reporting.should_claim()

    def _age_s(self) -> float:
        return self._clock.monotonic_s() - self._started_s
