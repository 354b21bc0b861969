"""Memory of engines: what requests of all gateways hold; without a network."""

import random
from collections import deque
from datetime import timedelta

import httpx
import pytest

from peridotrill.clock import ManualClock
from peridotrill.gateway.admission_queue import Reservation
from peridotrill.gateway.cluster_state import ClusterState, FreshnessBounds
from peridotrill.gateway.engine_memory import EngineMemory
from peridotrill.gateway.load_tracker import LoadTracker
from peridotrill.gateway.placement import Placement
from peridotrill.gateway.report_timing import report_interval_s
from peridotrill.gateway.sender_rotation import SenderRotation
from peridotrill.gateway.target_health import TargetHealth
from peridotrill.gateway.target_limits import TargetLimits
from peridotrill.gateway.targets import TargetRole
from peridotrill.platform.configuration import decode_configuration
from tests.gateway_builders import (
    RecordingLog,
    advance,
    configuration_record,
    prompt,
    prompt_headers,
    target,
)
from tests.gateway_site import call, run_site, wait_until

ENGINE = target('i-1', TargetRole.DECODE, slots=64)
_STEP_S = 0.01


def long_prompt(tokens, output=100):
    return prompt(0, tokens, None, output)


def reservation(engine, need):
    return Reservation(engine, 1, memory_tokens=need.tokens_at(engine))


class MemoryFleet:
    """Gateways that send long prompts whenever they find room."""

    def __init__(self, gateways, engines, capacity, seed=1, loss=0.025):
        self.random = random.Random(seed)
        self.clock = ManualClock()
        advance(self.clock, 100)
        self.loss = loss
        self.capacity = capacity
        self.engines = [
            target(f'i-{n}', TargetRole.DECODE, slots=64)
            for n in range(engines)
        ]
        self.nodes = [f'front-{n}' for n in range(gateways)]
        self.memory = {node: self.start(node) for node in self.nodes}
        self.interval_s = report_interval_s(gateways - 1)
        self.due_s = {
            node: 100 + self.random.uniform(0, self.interval_s)
            for node in self.nodes
        }
        # Engine, node, tokens that it holds at its end, reservation and end.
        self.running = []
        self.most = 0
        self.begun = {node: 0 for node in self.nodes}
        self.waiting = {node: deque() for node in self.nodes}

    def start(self, node):
        memory = EngineMemory(self.clock, lambda service: self.capacity)
        skew_s = self.random.uniform(-0.02, 0.02)
        memory.rotation = SenderRotation(
            node,
            lambda: [name for name in self.nodes if name != node],
            lambda: self.clock.monotonic_s() + skew_s,
            self.clock,
        )
        return memory

    def arrive(self, node):
        wanted = long_prompt(
            self.random.randint(1000, 16000), self.random.randint(50, 400)
        )
        if self.waiting[node] or not self.begin(node, wanted, False):
            self.waiting[node].append(wanted)

    def begin(self, node, wanted, is_waiting):
        memory = self.memory[node]
        need = memory.need('llm', wanted)
        free = [
            row
            for row in self.engines
            if memory.has_room(row, need, is_waiting)
        ]
        if not free:
            return False
        # All gateways choose alike, as they know nearly the same.
        engine = min(free, key=lambda row: memory.held_tokens(row.target_id))
        held = reservation(engine, need)
        memory.begin(held)
        self.begun[node] += 1
        ends_s = self.clock.monotonic_s() + self.random.uniform(0.5, 3)
        tokens = need.prompt_tokens + wanted.max_output_tokens
        self.running.append((ends_s, node, engine, tokens, held))
        return True

    def report(self, node):
        work = self.memory[node].local_totals()
        for other in self.nodes:
            if other != node and self.random.random() >= self.loss:
                self.memory[other].observe_peer(node, work)
        self.memory[node].end_report_interval()

    def play(self, duration_s, load):
        """:param load: requests in relation to the memory of all engines."""
        per_s = load * self.capacity * len(self.engines) / 8500 / 1.75
        per_step = per_s * _STEP_S / len(self.nodes)
        for _ in range(round(duration_s / _STEP_S)):
            now_s = self.clock.monotonic_s()
            for row in [row for row in self.running if row[0] <= now_s]:
                self.running.remove(row)
                self.memory[row[1]].end(row[4])
            for node in self.random.sample(self.nodes, len(self.nodes)):
                if self.random.random() < per_step:
                    self.arrive(node)
                waiting = self.waiting[node]
                while waiting and self.begin(node, waiting[0], True):
                    waiting.popleft()
                if now_s >= self.due_s[node]:
                    self.due_s[node] += self.interval_s
                    self.report(node)
            for engine in self.engines:
                held = sum(row[3] for row in self.running if row[2] == engine)
                self.most = max(self.most, held)
            advance(self.clock, _STEP_S)


@pytest.mark.parametrize('seed', [1, 2, 3])
@pytest.mark.parametrize('load', [0.4, 0.8, 1.5])
@pytest.mark.parametrize(
    ('gateways', 'engines', 'capacity'),
    [(1, 2, 100_000), (6, 4, 100_000), (24, 15, 100_000), (24, 15, 500_000)],
)
def test_engines_never_hold_more_than_their_memory(
    gateways, engines, capacity, load, seed
):
    # Guards against an engine that crashes with all its streams, since several
    # gateways each begin a long prompt there before they hear of the others.
    fleet = MemoryFleet(gateways, engines, capacity, seed)
    fleet.play(12, load)
    assert fleet.most <= capacity
    # Each gateway gets some of it, and the memory is used.
    assert min(fleet.begun.values()) > 0
    if load > 1:
        held = sum(row[3] for row in fleet.running)
        assert held >= 0.5 * capacity * engines


def test_new_engine_is_not_overfilled_by_requests_that_wait():
    # Guards against all gateways that send what has waited for full engines to
    # the one that has just started.
    fleet = MemoryFleet(24, 4, 100_000)
    fleet.play(6, 1.5)
    fleet.engines.append(target('i-new', TargetRole.DECODE, slots=64))
    fleet.play(6, 1.5)
    assert fleet.most <= fleet.capacity
    assert any(row[2].target_id == 'i-new' for row in fleet.running)


def lone_memory(capacity=100_000):
    clock = ManualClock()
    return clock, EngineMemory(clock, lambda service: capacity)


def test_service_without_declared_memory_is_not_limited():
    # Guards against a deployment without the figure that is served otherwise.
    _, memory = lone_memory(0)
    need = memory.need('llm', long_prompt(10**9))
    assert need is None
    assert memory.has_room(ENGINE, need)
    assert memory.fits('llm', long_prompt(10**9))


def test_prefill_engine_holds_the_prompt_only():
    _, memory = lone_memory()
    need = memory.need('llm', long_prompt(5000, 400))
    assert need.tokens_at(ENGINE) == 5000 + 400
    assert need.tokens_at(ENGINE._replace(role=TargetRole.PREFILL)) == 5000
    hinted = long_prompt(5000, 400)._replace(expected_output_tokens=100)
    assert memory.need('llm', hinted).tokens_at(ENGINE) == 5000 + 132


def test_large_request_goes_to_an_empty_engine_only():
    # Guards against a legal request that is never served, and against one that
    # crashes the engine.
    _, memory = lone_memory()
    need = memory.need('llm', long_prompt(98_000))
    assert memory.has_room(ENGINE, need)
    small = reservation(ENGINE, memory.need('llm', long_prompt(1000)))
    memory.begin(small)
    assert not memory.has_room(ENGINE, need)
    memory.end(small)
    assert memory.has_room(ENGINE, need)
    assert not memory.fits('llm', long_prompt(100_000))


def test_silent_gateway_is_charged_until_its_requests_have_ended():
    # Guards against an engine that is filled again while the requests of a
    # gateway that is cut off still run there.
    clock, memory = lone_memory()
    memory.set_request_lifetime(timedelta(seconds=20))
    memory.observe_peer('front-1', {'i-1/kv': 80_000, 'i-1': 5})
    need = memory.need('llm', long_prompt(16_000))
    advance(clock, 19)
    memory.drop_stale_peers()
    assert not memory.has_room(ENGINE, need)
    advance(clock, 1.1)
    memory.drop_stale_peers()
    assert memory.has_room(ENGINE, need)


def test_restarted_gateway_is_charged_with_what_it_reports():
    # Guards against requests of a process that has ended, and its streams with
    # it, that count until they would have timed out.
    _, memory = lone_memory()
    memory.observe_peer('front-1', {'i-1/kv': 80_000})
    assert memory.observe_peer('front-1', {'i-1': 2}) == {'i-1': 2}
    assert memory.held_tokens('i-1') == 0


def test_report_carries_the_memory_beside_the_load():
    # Guards against tokens that count as running requests.
    _, memory = lone_memory()
    memory.begin(reservation(ENGINE, memory.need('llm', long_prompt(5000))))
    sent = memory.local_totals()
    _, other = lone_memory()
    assert other.observe_peer('front-1', {**sent, 'i-1': 1}) == {'i-1': 1}
    assert other.held_tokens('i-1') == 5100


def test_shares_of_all_gateways_add_up_to_one_at_most():
    # Guards against shares with which gateways together exceed what is left.
    clock = ManualClock()
    nodes = [f'front-{n}' for n in range(24)]
    rotations = [
        SenderRotation(
            node,
            lambda own=node: [name for name in nodes if name != own],
            clock.monotonic_s,
            clock,
        )
        for node in nodes
    ]
    first = set()
    for _ in range(3000):
        advance(clock, 0.05)
        shares = [row.share('i-1') for row in rotations]
        assert sum(shares) <= 1
        assert sum(row.is_first('i-1') for row in rotations) <= 1
        first |= {n for n, row in enumerate(rotations) if row.is_first('i-1')}
    assert len(first) == len(nodes)


class Site:
    """Placement of one gateway before a prefill and a decode engine."""

    def __init__(self):
        self.clock = ManualClock()
        log = RecordingLog()
        state = ClusterState(
            self.clock,
            FreshnessBounds(timedelta(seconds=4), timedelta(seconds=1)),
            log,
            is_first_start=True,
        )
        state.update_configuration(decode_configuration(configuration_record()))
        state.update_target(target('i-pre', TargetRole.PREFILL, slots=64))
        state.update_target(target('i-dec', TargetRole.DECODE, slots=64))
        self.placement = Placement(
            state,
            LoadTracker(self.clock),
            TargetHealth(self.clock),
            TargetLimits('front-a-1', list, self.clock, log),
            self.clock,
            'a',
        )

    def held(self):
        memory = self.placement.memory
        return memory.held_tokens('i-pre'), memory.held_tokens('i-dec')


def test_prompt_in_transfer_holds_memory_until_it_is_fetched():
    # Guards against a prefill engine that keeps more prompts for decode engines
    # than its memory can hold.
    site = Site()
    placement = site.placement
    wanted = long_prompt(20_000)
    found = placement.prefill_finder('llm', wanted, set())()
    placement.memory.begin(found)
    held = placement.hold_prompt(found)
    placement.release(found, 'llm')
    assert site.held() == (20_000, 0)
    decode = placement.decode_finder('llm', wanted, set())()
    placement.memory.begin(decode)
    placement.release(held, 'llm')
    assert site.held() == (0, 20_100)
    rest = placement.release_prefill(decode, 'llm')
    assert site.held() == (0, 20_100)
    placement.release(rest, 'llm')
    assert site.held() == (0, 0)


def test_full_memory_is_a_limit_beside_the_slots():
    # Guards against an engine with free slots that gets more than its memory
    # can hold.
    site = Site()
    placement = site.placement
    find = placement.decode_finder('llm', long_prompt(16_000), set())
    begun = 0
    while (found := find()) is not None:
        placement.memory.begin(found)
        begun += 1
    assert begun == 5


def memory_ratio(gateway):
    text = httpx.get(f'http://127.0.0.1:{gateway.ready_port}/metrics').text
    rows = [
        float(line.split()[-1])
        for line in text.splitlines()
        if line.startswith('peridotrill_engine_memory_ratio{')
    ]
    return max(rows, default=-1)


def test_gateway_returns_all_memory_and_refuses_what_cannot_fit(tmp_path):
    # Guards against reservations that are never returned, after which no engine
    # takes requests, and against a request that waits for what cannot come.
    with run_site(tmp_path) as site:
        (gateway,) = site.start_gateways('front-a-1')
        for number in range(4):
            name = f'r-{number}'
            site.plan('llm', 'shed' if number == 1 else '')
            headers = prompt_headers(shared=2000, unshared=4000)
            call(gateway, '/draft/x', name, **headers)
        assert 'outcome=answered' in gateway.read_log()
        wait_until(lambda: memory_ratio(gateway) == 0, 5)
        refused = call(
            gateway, '/draft/x', 'large', **prompt_headers(unshared=150_000)
        )
        assert refused.status_code == 503
        assert float(refused.headers['retry-after']) > 0
        wait_until(
            lambda: 'outcome=exceeds_engine_memory' in gateway.read_log(), 5
        )
        assert site.runs('large') == []
