"""Orders changes of engines' roles, as the holder of the lease."""

from collections.abc import Callable
from datetime import timedelta
from typing import Protocol, final

from peridotrill.gateway.beliefs import Beliefs
from peridotrill.gateway.coordinator import Coordinator
from peridotrill.gateway.demand import DemandMeter
from peridotrill.gateway.event_log import EventLog
from peridotrill.gateway.role_planner import RoleChange, RolePlanner
from peridotrill.gateway.targets import TargetRecord, TargetRole


class RolePort(Protocol):
    """The call that changes an engine's role."""

    async def change_role(
        self,
        target: TargetRecord,
        role: TargetRole,
        fence: int,
    ) -> str:
        """Order a change; return ``ok`` or what went wrong."""


@final
class RoleDuty:
    """Compares demand and roles, and orders at most one change per step."""

    def __init__(  # noqa: WPS211
        self,
        beliefs: Beliefs,
        demand: DemandMeter,
        planner: RolePlanner,
        coordinator: Coordinator,
        port: RolePort,
        log: EventLog,
    ) -> None:
        """:param port: sends the orders."""
        self._beliefs = beliefs
        self._demand = demand
        self._planner = planner
        self._coordinator = coordinator
        self._port = port
        self._log = log
        # Roles that were ordered and are not yet in the engines' records.
        self._ordered: dict[str, TargetRole] = {}

    async def step(
        self,
        load: Callable[[str], float],
        margin: timedelta,
    ) -> None:
        """Order the next change, if any.

        :param load: of an engine; the least loaded one changes.
        :param margin: longest time that an order takes to arrive.
        """
        self._demand.sample()
        known = self._beliefs.configuration
        if known is None:
            return
        for service in known.services.values():
            if service.engine is not None:
                await self._step_service(service.name, load, margin)

    async def _step_service(
        self,
        service: str,
        load: Callable[[str], float],
        margin: timedelta,
    ) -> None:
        engines = self._engines(service, load)
        demand = self._demand.rate(service)
        change = self._planner.plan(service, engines, demand)
        lease = self._coordinator.held_lease(margin)
        if change is None or lease is None:
            return
        self._planner.note_changed(service)
        outcome = await self._port.change_role(
            change.target,
            change.role,
            lease.fence,
        )
        # An order without an answer may still be carried out: it counts as
        # ordered until the engine's record says otherwise.
        self._ordered[change.target.target_id] = change.role
        self._log_order(
            change, outcome, lease.fence, demand.reading, demand.output
        )

    def _engines(
        self,
        service: str,
        load: Callable[[str], float],
    ) -> list[TargetRecord]:
        engines: list[TargetRecord] = []
        for row in self._beliefs.usable_targets(service):
            ordered = self._ordered.get(row.target_id)
            if ordered is row.role:
                self._ordered.pop(row.target_id)
                ordered = None
            engines.append(
                row if ordered is None else row._replace(role=ordered),
            )
        return sorted(engines, key=lambda row: load(row.target_id))

    def _log_order(  # noqa: WPS211
        self,
        change: RoleChange,
        outcome: str,
        fence: int,
        reading: float,
        output: float,
    ) -> None:
        self._log.write(
            'role_ordered',
            target=change.target.target_id,
            role=change.role.value,
            fence=fence,
            outcome=outcome,
            reading=reading,
            output=output,
        )
