"""Orders role changes of engines while this gateway holds the lease."""

from collections.abc import Callable
from datetime import timedelta
from typing import Final, NamedTuple, Protocol, final

from peridotrill.clock import Clock
from peridotrill.gateway.cluster_state import ClusterState
from peridotrill.gateway.coordinator import Coordinator
from peridotrill.gateway.demand import NO_DEMAND, DemandMeter
from peridotrill.gateway.event_log import EventLog
from peridotrill.gateway.role_planner import (
    Demand,
    RoleChange,
    RolePlanner,
    has_decode,
)
from peridotrill.gateway.targets import TargetRecord, TargetRole

# Orders may be executed late. An engine whose record shows no change after this
# time is used in its old role again.
_ROLE_CHANGE_TIMEOUT_S: Final = 5.0
# An order without effect after this time is considered lost.
_ORDER_LIFETIME_S: Final = 13.0
# An unconfirmed order is resent for this long; after that, the load may have
# changed.
_RESEND_PERIOD_S: Final = 4.0
ACCEPTED: Final = 'ok'


class RoleOrder(NamedTuple):
    """The last order to an engine, which its record may not show yet.

    ``process`` is the process of the engine that was ordered to change.
    """

    role: TargetRole
    process: str
    ordered_s: float


class RoleClient(Protocol):
    """Client for changing the role of an engine."""

    async def change_role(
        self,
        target: TargetRecord,
        role: TargetRole,
        fence: int,
    ) -> str:
        """Order a change; return ``ACCEPTED`` or an error code.

        Idempotent: a change that is ordered twice takes effect once.
        """


@final
class RoleController:
    """Adapts roles to the demand, with at most one change per step."""

    def __init__(  # noqa: WPS211
        self,
        cluster_state: ClusterState,
        demand: DemandMeter,
        planner: RolePlanner,
        coordinator: Coordinator,
        client: RoleClient,
        clock: Clock,
        may_set_initial_roles: Callable[[], bool],
        log: EventLog,
    ) -> None:
        """:param client: sends the orders.

        :param may_set_initial_roles: returns whether roles may be changed
            without any load.
        """
        self._clock = clock
        self._may_set_initial_roles = may_set_initial_roles
        self._cluster_state = cluster_state
        self._demand = demand
        self._planner = planner
        self._coordinator = coordinator
        self._client = client
        self._log = log
        # Orders that the engines' records do not show yet.
        self._orders: dict[str, RoleOrder] = {}
        # When an engine last left an order unconfirmed for too long.
        self._unconfirmed_at_s: dict[str, float] = {}
        # Last logged number of engines of each role, by service.
        self._logged_counts: dict[str, dict[str, int]] = {}
        # Changes that no engine has confirmed yet, with the time of the first
        # order, by service.
        self._unconfirmed: dict[str, tuple[RoleChange, float]] = {}

    async def step(
        self,
        load: Callable[[str], float],
        margin: timedelta,
    ) -> None:
        """Order the next change, if any.

        :param load: returns the load of an engine; the least loaded engine
            is changed.
        :param margin: maximum time for an order to arrive.
        """
        self._demand.sample()
        known = self._cluster_state.configuration
        if known is None:
            return
        for service in known.services.values():
            if service.engine is not None:
                await self._step_service(service.name, load, margin)

    def switching(self) -> list[str]:
        """Return the engines with a pending role change."""
        since_s = self._clock.monotonic_s() - _ROLE_CHANGE_TIMEOUT_S
        return [
            target_id
            for target_id, order in self._orders.items()
            if order.ordered_s > since_s
        ]

    async def _step_service(
        self,
        service: str,
        load: Callable[[str], float],
        margin: timedelta,
    ) -> None:
        engines = self._engines(service, load)
        self._log_role_counts(service, engines)
        if await self._resend(service, engines, margin):
            return
        demand = self._demand.rate(service)
        change = self._planner.plan_replacement(service, engines)
        if change is None:
            change = self._plan_for_demand(service, engines, demand)
        if change is None or self._coordinator.held_lease(margin) is None:
            return
        self._planner.record_change(service)
        self._log.write(
            'role_planned',
            target=change.target.target_id,
            role=change.role.value,
            reading=demand.reading,
            output=demand.output,
            engines=len(engines),
        )
        await self._order(service, change, self._clock.monotonic_s(), margin)

    def _plan_for_demand(
        self, service: str, engines: list[TargetRecord], demand: Demand
    ) -> RoleChange | None:
        if demand != NO_DEMAND:
            return self._planner.plan(service, engines, demand)
        if self._may_set_initial_roles():
            return self._planner.plan(service, engines, None)
        return None

    def _log_role_counts(
        self, service: str, engines: list[TargetRecord]
    ) -> None:
        """Log how many engines have or are about to get each role."""
        counts = {
            role.value: sum(row.role is role for row in engines)
            for role in TargetRole
        }
        if self._logged_counts.get(service) != counts:
            self._logged_counts[service] = counts
            self._log.write('engine_roles', service=service, **counts)

    async def _resend(
        self,
        service: str,
        engines: list[TargetRecord],
        margin: timedelta,
    ) -> bool:
        """Resend an order that may be lost; return whether one was due."""
        change, first_ordered_s = self._unconfirmed.pop(service, (None, 0.0))
        if change is None:
            return False
        target_id = change.target.target_id
        known = self._cluster_state.find_target(target_id)
        if known is None or known.is_draining or known.role is change.role:
            return False
        if known.zone in self._cluster_state.evacuations:
            return False
        if not has_decode(engines):
            # The engine has become the last one that can decode.
            self._orders.pop(target_id, None)
            return False
        if self._clock.monotonic_s() - first_ordered_s > _RESEND_PERIOD_S:
            self._give_up(change)
            return False
        await self._order(service, change, first_ordered_s, margin)
        return True

    def _give_up(self, change: RoleChange) -> None:
        """Stop sending an order that the engine does not confirm."""
        target_id = change.target.target_id
        self._unconfirmed_at_s[target_id] = self._clock.monotonic_s()
        if change.role is TargetRole.DECODE:
            # It may never decode, so another engine may have to.
            self._orders.pop(target_id, None)

    async def _order(
        self,
        service: str,
        change: RoleChange,
        first_ordered_s: float,
        margin: timedelta,
    ) -> None:
        """Send an order if this gateway holds the lease."""
        lease = self._coordinator.held_lease(margin)
        if lease is None:
            return
        target_id = change.target.target_id
        # An order without a response may still be executed, so the role counts
        # as ordered until the engine's record shows it or the order expires.
        self._orders[target_id] = RoleOrder(
            change.role, change.target.process, self._clock.monotonic_s()
        )
        outcome = await self._client.change_role(
            change.target,
            change.role,
            lease.fence,
        )
        if outcome != ACCEPTED:
            self._unconfirmed[service] = (change, first_ordered_s)
        self._log.write(
            'role_ordered',
            target=target_id,
            role=change.role.value,
            fence=lease.fence,
            outcome=outcome,
        )

    def _engines(
        self,
        service: str,
        load: Callable[[str], float],
    ) -> list[TargetRecord]:
        engines = [
            self._with_ordered_role(row)
            for row in self._cluster_state.all_targets()
            if row.service == service
            and not row.is_draining
            and row.zone not in self._cluster_state.evacuations
        ]
        return sorted(
            engines,
            key=lambda engine: (
                self._is_unresponsive(engine.target_id),
                load(engine.target_id),
            ),
        )

    def _is_unresponsive(self, target_id: str) -> bool:
        """Whether an engine has recently left an order unconfirmed."""
        failed_s = self._unconfirmed_at_s.get(target_id)
        if failed_s is None:
            return False
        if self._clock.monotonic_s() - failed_s < _ORDER_LIFETIME_S:
            return True
        self._unconfirmed_at_s.pop(target_id)
        return False

    def _with_ordered_role(self, engine: TargetRecord) -> TargetRecord:
        """Return an engine with its last ordered role, if still pending."""
        order = self._orders.get(engine.target_id)
        if order is None:
            return engine
        age_s = self._clock.monotonic_s() - order.ordered_s
        if (
            order.role is engine.role
            or order.process != engine.process
            or age_s > _ORDER_LIFETIME_S
        ):
            self._orders.pop(engine.target_id)
            return engine
        return engine._replace(role=order.role)
