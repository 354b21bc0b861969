"""Calls to engines: role orders, lost responses and part listings."""

import asyncio
from datetime import timedelta

import anyio
import pytest

from peridotrill.clock import ManualClock
from peridotrill.gateway.cluster_state import ClusterState, FreshnessBounds
from peridotrill.gateway.coordinator import Lease
from peridotrill.gateway.demand import DemandMeter
from peridotrill.gateway.part_directory import PartLocation
from peridotrill.gateway.role_controller import ACCEPTED, RoleController
from peridotrill.gateway.role_planner import RolePlanner
from peridotrill.gateway.targets import TargetRole
from peridotrill.platform.configuration import decode_configuration
from peridotrill.platform.engine_orders import EngineOrders
from peridotrill.platform.engine_parts import EngineParts
from standins.platform_engine import ScriptedEngine
from standins.platform_server import serve_http
from tests.gateway_builders import (
    RecordingLog,
    advance,
    configuration_record,
    target,
)

_MARGIN = timedelta(seconds=1)
_PREFILL = TargetRole.PREFILL
_DECODE = TargetRole.DECODE


def order(engine, *roles, timeout_s=0.3, expected=None):
    """Send role orders to an engine over a socket; return the outcomes."""

    async def run():
        orders = EngineOrders('front-a-1', timeout_s, ManualClock())
        async with serve_http(engine.handle) as address:
            record = target(expected or engine.target_id, address=address)
            return [await orders.change_role(record, role, 7) for role in roles]

    return anyio.run(run)


def test_role_order_has_holder_fence_and_precondition():
    # Guards against an order that takes effect after a newer one.
    engine = ScriptedEngine('i-1', 'llm', 'a', 'decode')
    assert order(engine, _PREFILL, _DECODE) == [ACCEPTED, ACCEPTED]
    assert engine.orders == [
        {
            'op': 'stage',
            'stage': stage,
            'holder': 'front-a-1',
            'fence': 7,
            'precondition': before,
        }
        for before, stage in enumerate(('prefill', 'decode'))
    ]


def test_order_with_a_lost_response_takes_effect_once():
    # Guards against an engine that changes twice because a response was lost.
    engine = ScriptedEngine('i-1', 'llm', 'a', 'decode')
    engine.order_responses_to_drop = 1
    assert order(engine, _PREFILL, _PREFILL) == ['timeout', ACCEPTED]
    assert len(engine.orders) == 1


def test_order_is_not_confirmed_while_another_is_in_progress():
    # Guards against an engine that counts as decode engine for the lifetime of an
    # order, while it changes to prefill.
    engine = ScriptedEngine('i-1', 'llm', 'a', 'prefill')
    engine.is_busy = True
    assert order(engine, _DECODE) == ['busy']
    engine.is_busy = False
    assert order(engine, _DECODE) == [ACCEPTED]


def test_part_listing_omits_small_parts():
    engine = ScriptedEngine('i-1', 'llm', 'a', 'prefill')
    engine.parts = [('a1', 13000), ('b2', 40), ('c3', 900)]

    async def run():
        async with serve_http(engine.handle) as address:
            record = target('i-1', _PREFILL, address=address)
            return await EngineParts(0.5, ManualClock()).list_parts(record)

    assert anyio.run(run) == [
        PartLocation('a1', 'i-1', 13000),
        PartLocation('c3', 'i-1', 900),
    ]


class FakeRoleClient:
    """Records orders; ``outcomes`` holds the next responses."""

    def __init__(self, *outcomes):
        self.outcomes = list(outcomes)
        self.orders = []

    async def change_role(self, engine, role, fence):
        self.orders.append((engine.target_id, role, fence))
        return self.outcomes.pop(0) if self.outcomes else ACCEPTED


class FakeCoordinator:
    """Fake coordinator whose ``lease`` can be removed."""

    def __init__(self):
        self.lease = Lease(3, 100)

    def held_lease(self, margin):
        return self.lease


class RoleControllerHarness:
    """A controller that has to change one of three decode engines to prefill."""

    def __init__(self, *outcomes):
        self.clock = ManualClock()
        log = RecordingLog()
        bounds = FreshnessBounds(timedelta(seconds=4), timedelta(seconds=1))
        self.cluster_state = ClusterState(self.clock, bounds, log)
        self.cluster_state.update_configuration(
            decode_configuration(configuration_record()),
        )
        for name in ('i-1', 'i-2', 'i-3'):
            self.cluster_state.update_target(target(name, _DECODE))
        self.cluster_state.update_target(target('i-4', _PREFILL))
        self.coordinator = FakeCoordinator()
        self.client = FakeRoleClient(*outcomes)
        self.controller = RoleController(
            self.cluster_state,
            DemandMeter(self.clock),
            RolePlanner(self.clock),
            self.coordinator,
            self.client,
            self.clock,
            lambda: True,
            log,
        )

    def step(self):
        advance(self.clock, 0.25)
        asyncio.run(self.controller.step(lambda name: 0, _MARGIN))


def test_unconfirmed_order_is_resent():
    # Guards against wrong roles for ten seconds after a single lost order
    # (tapbook scale-1: one engine was left for all output).
    harness = RoleControllerHarness('timeout', 'timeout')
    for _ in range(4):
        harness.step()
    assert harness.client.orders == [('i-1', _PREFILL, 3)] * 3
    assert harness.controller.switching() == ['i-1']


def test_order_is_not_resent_once_the_record_shows_the_role():
    harness = RoleControllerHarness('timeout')
    harness.step()
    harness.cluster_state.update_target(target('i-1', _PREFILL))
    harness.step()
    assert len(harness.client.orders) == 1


def test_order_is_not_resent_without_the_lease():
    # Guards against two gateways that send orders concurrently.
    harness = RoleControllerHarness('timeout')
    harness.step()
    harness.coordinator.lease = None
    for _ in range(3):
        harness.step()
    assert len(harness.client.orders) == 1


def test_order_is_abandoned_if_the_engine_never_responds():
    # Guards against waiting indefinitely for one unreachable engine.
    harness = RoleControllerHarness(*['timeout'] * 100)
    for _ in range(30):
        harness.step()
    assert (
        10
        <= len([row for row in harness.client.orders if row[0] == 'i-1'])
        < 20
    )


class FewEnginesHarness(RoleControllerHarness):
    """A controller of a system that has run for a while."""

    def __init__(self, *outcomes, demand=True):
        super().__init__(*outcomes)
        self.controller._may_set_initial_roles = lambda: False
        self.demand = self.controller._demand
        self.has_demand = demand
        for name in ('i-1', 'i-2', 'i-3', 'i-4'):
            self.cluster_state.remove_target(name, 'deleted')
        advance(self.clock, 2)
        self.cluster_state.drop_removed_targets()

    def add(self, name, role, **changes):
        self.cluster_state.update_target(target(name, role, **changes))

    def run(self, duration_s):
        for _ in range(int(duration_s / 0.25)):
            if self.has_demand:
                self.demand.record('llm', 20, 20)
            self.step()

    @property
    def ordered(self):
        return [order[:2] for order in self.client.orders]


@pytest.mark.parametrize('has_demand', [True, False])
@pytest.mark.parametrize('engines', [1, 2, 3, 5])
def test_last_prefill_engines_replace_the_lost_decode_engines(
    engines, has_demand
):
    # Guards against a service that refuses all streams because its last decode
    # engine has left (tapbook, RECOVER).
    harness = FewEnginesHarness(demand=has_demand)
    for number in range(engines):
        harness.add(f'i-{number + 5}', _PREFILL)
    harness.run(3)
    assert [role for _, role in harness.ordered] == [_DECODE]


def test_role_that_was_just_changed_is_replaced_when_its_engine_leaves():
    # Guards against ten seconds without decode engines after another change.
    harness = FewEnginesHarness()
    harness.controller._planner.record_change('llm')
    for name in ('i-5', 'i-6', 'i-7'):
        harness.add(name, _PREFILL)
    harness.run(3)
    assert [role for _, role in harness.ordered] == [_DECODE]


def test_unresponsive_engine_does_not_prevent_the_replacement():
    # Guards against a service that waits for one engine without a response.
    harness = FewEnginesHarness(*['timeout'] * 18)
    harness.add('i-5', _PREFILL)
    harness.add('i-6', _PREFILL)
    harness.run(10)
    assert {name for name, _ in harness.ordered} == {'i-5', 'i-6'}


def test_engine_that_restarts_is_ordered_again():
    # Guards against an order that counts as pending for an engine whose new
    # process never received it.
    harness = FewEnginesHarness()
    harness.add('i-5', _PREFILL, started_ms=1)
    harness.run(3)
    harness.add('i-5', _PREFILL, started_ms=2)
    harness.run(3)
    assert harness.ordered == [('i-5', _DECODE)] * 2


def test_decode_engine_that_registers_again_is_not_replaced():
    # Guards against a change of roles for records that lapsed while the store
    # was away: they are back within two seconds.
    harness = FewEnginesHarness()
    harness.add('i-5', _PREFILL)
    harness.run(1.5)
    harness.add('i-6', _DECODE)
    harness.run(3)
    assert not harness.ordered


def test_order_to_the_last_decode_engine_is_not_resent():
    # Guards against a lost order that is sent again after all other decode
    # engines have left.
    harness = RoleControllerHarness('timeout')
    harness.step()
    for name in ('i-2', 'i-3'):
        harness.cluster_state.remove_target(name, 'deleted')
    advance(harness.clock, 1.5)
    harness.cluster_state.drop_removed_targets()
    for _ in range(8):
        harness.step()
    assert harness.client.orders == [('i-1', _PREFILL, 3)]
