"""Calls to engines: orders of roles, without an answer too, and listings."""

import asyncio
from datetime import timedelta

import anyio

from peridotrill.clock import ManualClock
from peridotrill.gateway.beliefs import Beliefs, FreshnessBounds
from peridotrill.gateway.coordinator import Lease
from peridotrill.gateway.demand import DemandMeter
from peridotrill.gateway.part_directory import PartReading
from peridotrill.gateway.role_duty import ACCEPTED, RoleDuty
from peridotrill.gateway.role_planner import RolePlanner
from peridotrill.gateway.targets import TargetRole
from peridotrill.platform.configuration import decode_configuration
from peridotrill.platform.engine_orders import EngineOrders
from peridotrill.platform.engine_parts import EngineParts
from standins.platform_engine import PlatformEngine
from standins.platform_server import serve_http
from tests.gateway_builders import (
    SilentLog,
    advance,
    configuration_record,
    target,
)

_MARGIN = timedelta(seconds=1)
_PREFILL = TargetRole.PREFILL
_DECODE = TargetRole.DECODE


def order(engine, *roles, timeout_s=0.3, expected=None):
    """Send orders to an engine over a real socket; return their outcomes."""

    async def run():
        orders = EngineOrders('front-a-1', timeout_s)
        async with serve_http(engine.handle) as address:
            record = target(expected or engine.target_id, address=address)
            return [await orders.change_role(record, role, 7) for role in roles]

    return anyio.run(run)


def test_order_names_holder_fence_and_orders_before():
    # Guards against orders that take effect after newer ones.
    engine = PlatformEngine('i-1', 'llm', 'a', 'decode')
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


def test_order_that_was_carried_out_without_an_answer_takes_effect_once():
    # Guards against an engine that changes twice because an answer was lost.
    engine = PlatformEngine('i-1', 'llm', 'a', 'decode')
    engine.lost_order_answers = 1
    assert order(engine, _PREFILL, _PREFILL) == ['timeout', ACCEPTED]
    assert len(engine.orders) == 1


def test_large_parts_of_an_engine_are_listed():
    engine = PlatformEngine('i-1', 'llm', 'a', 'prefill')
    engine.parts = [('a1', 13000), ('b2', 40), ('c3', 900)]

    async def run():
        async with serve_http(engine.handle) as address:
            record = target('i-1', _PREFILL, address=address)
            return await EngineParts(0.5).list_parts(record)

    assert anyio.run(run) == [
        PartReading('a1', 'i-1', 13000),
        PartReading('c3', 'i-1', 900),
    ]


class Port:
    """Takes orders; ``outcomes`` holds the next answers."""

    def __init__(self, *outcomes):
        self.outcomes = list(outcomes)
        self.orders = []

    async def change_role(self, engine, role, fence):
        self.orders.append((engine.target_id, role, fence))
        return self.outcomes.pop(0) if self.outcomes else ACCEPTED


class Holder:
    """Stands for the coordinator; ``lease`` may be taken away."""

    def __init__(self):
        self.lease = Lease(3, 100)

    def held_lease(self, margin):
        return self.lease


class Play:
    """A duty that has to turn one of three decode engines into a reader."""

    def __init__(self, *outcomes):
        self.clock = ManualClock()
        log = SilentLog()
        bounds = FreshnessBounds(timedelta(seconds=4), timedelta(seconds=1))
        self.beliefs = Beliefs(self.clock, bounds, log)
        self.beliefs.adopt_configuration(
            decode_configuration(configuration_record()),
        )
        for name in ('i-1', 'i-2', 'i-3'):
            self.beliefs.adopt_target(target(name, _DECODE))
        self.beliefs.adopt_target(target('i-4', _PREFILL))
        self.holder = Holder()
        self.port = Port(*outcomes)
        self.duty = RoleDuty(
            self.beliefs,
            DemandMeter(self.clock),
            RolePlanner(self.clock),
            self.holder,
            self.port,
            self.clock,
            lambda: True,
            log,
        )

    def step(self):
        advance(self.clock, 0.25)
        asyncio.run(self.duty.step(lambda name: 0, _MARGIN))


def test_order_without_an_answer_is_sent_again_soon():
    # Guards against a fleet that keeps the wrong roles for ten seconds after
    # one lost order (tapbook scale-1: one engine left for all output).
    play = Play('timeout', 'timeout')
    for _ in range(4):
        play.step()
    assert play.port.orders == [('i-1', _PREFILL, 3)] * 3
    assert play.duty.switching() == ['i-1']


def test_order_is_not_sent_again_once_the_record_shows_the_role():
    play = Play('timeout')
    play.step()
    play.beliefs.adopt_target(target('i-1', _PREFILL))
    play.step()
    assert len(play.port.orders) == 1


def test_order_is_not_sent_again_without_the_lease():
    # Guards against two holders that order in turns.
    play = Play('timeout')
    play.step()
    play.holder.lease = None
    for _ in range(3):
        play.step()
    assert len(play.port.orders) == 1


def test_order_that_no_engine_answers_is_given_up():
    # Guards against a duty that waits for one dark engine for ever.
    play = Play(*['timeout'] * 100)
    for _ in range(30):
        play.step()
    assert 10 <= len([row for row in play.port.orders if row[0] == 'i-1']) < 20
