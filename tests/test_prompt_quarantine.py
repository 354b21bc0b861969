"""Quarantine of prompt parts under which target processes crash."""

from hypothesis import settings, strategies
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from peridotrill.clock import ManualClock
from peridotrill.prompt_quarantine import MIN_CRASHES, PromptQuarantine
from peridotrill.target_crashes import Exposure, TargetCrash
from tests.gateway_builders import RecordingLog, advance

FIRST_HOLD_S = 30


class Fleet:
    """Processes that crash while they run prompts with given parts."""

    def __init__(self):
        self.clock = ManualClock()
        self.log = RecordingLog()
        self.quarantine = PromptQuarantine(self.clock, self.log)
        self._crashes = 0

    def crash(self, *prompts):
        """Send prompts to one process, which ends half a second later."""
        sent_s = self.clock.monotonic_s()
        advance(self.clock, 0.5)
        self._crashes += 1
        self.quarantine.record_crash(
            TargetCrash(
                f'process-{self._crashes}',
                self.clock.monotonic_s(),
                tuple(Exposure(tuple(parts), sent_s) for parts in prompts),
            )
        )
        advance(self.clock, 0.1)

    def crash_at(self, process, *, ended_s, alive_s):
        """Record that a process ended under a request with part p."""
        self.quarantine.record_crash(
            TargetCrash(process, ended_s, (Exposure(('p',), alive_s),))
        )

    def answer(self, *parts):
        self.quarantine.record_proof(parts, self.clock.monotonic_s())
        advance(self.clock, 0.1)

    def is_held(self, *parts):
        return self.quarantine.find(parts) is not None


def test_part_is_quarantined_after_crashes_in_a_row():
    # Guards against parts that crash one process after the other.
    fleet = Fleet()
    for _ in range(MIN_CRASHES - 1):
        fleet.crash(('p',))
        assert not fleet.is_held('p')
    fleet.crash(('p',))
    found = fleet.quarantine.find(('a', 'p'))
    assert found.part_id == 'p'
    assert found.crashes == MIN_CRASHES
    assert FIRST_HOLD_S - 1 < found.retry_after_s <= FIRST_HOLD_S
    assert not fleet.is_held('a')


def test_response_between_crashes_clears_a_part():
    # Guards against sound parts that are quarantined for crashes by others.
    fleet = Fleet()
    for _ in range(2 * MIN_CRASHES):
        fleet.crash(('p', 'a'), ('b',))
        fleet.answer('a')
        fleet.answer('b')
    assert fleet.is_held('p', 'a')
    assert fleet.is_held('p', 'c')
    assert not fleet.is_held('a', 'c')
    assert not fleet.is_held('b')


def test_processes_that_end_together_count_as_one_crash():
    # Guards against popular parts that are blamed for the loss of a rack.
    fleet = Fleet()
    for number in range(2 * MIN_CRASHES):
        fleet.quarantine.record_crash(
            TargetCrash(
                f'rack-{number}', 1 + number / 10, (Exposure(('p',), 0),)
            )
        )
    assert not fleet.is_held('p')


def test_request_to_a_process_that_ended_with_the_last_one_blames_nobody():
    # Guards against a popular part that is held for 30 s: its requests are sent
    # again at once, on a connection whose end has not arrived yet.
    fleet = Fleet()
    fleet.crash_at('one', ended_s=10, alive_s=9.95)
    fleet.crash_at('two', ended_s=10.0013, alive_s=9.98)
    fleet.crash_at('three', ended_s=10.5, alive_s=10.49)
    assert not fleet.is_held('p')


def test_part_that_crashes_processes_within_milliseconds_is_quarantined():
    # Guards against engines that are lost to a request that is sent again at
    # once and ends each of them as soon as it runs.
    fleet = Fleet()
    fleet.crash_at('one', ended_s=10, alive_s=9.99)
    fleet.crash_at('two', ended_s=10.002, alive_s=10.0001)
    fleet.crash_at('three', ended_s=10.004, alive_s=10.0021)
    assert fleet.is_held('p')


def test_one_crash_seen_by_several_gateways_counts_once():
    # Guards against a quarantine after one crash with many observers.
    fleet = Fleet()
    for delay_s in range(2 * MIN_CRASHES):
        crash = TargetCrash(
            'process', 1 + delay_s, (Exposure(('p',), 0.9 + delay_s),)
        )
        fleet.quarantine.record_crash(crash)
    assert not fleet.is_held('p')


def test_proof_that_precedes_the_news_of_a_crash_is_kept():
    # Guards against suspicions that arrive after the proof against them.
    fleet = Fleet()
    advance(fleet.clock, 5)
    fleet.answer('p')
    late = TargetCrash('process', 4, (Exposure(('p', 'q'), 3),))
    assert fleet.quarantine.record_crash(late) == ['p']
    assert fleet.quarantine.record_proof(('p', 'q'), 6) == ['q']


def test_response_that_began_before_a_crash_is_no_proof():
    # Guards against parts that are cleared by what happened before they
    # became harmful.
    fleet = Fleet()
    for _ in range(MIN_CRASHES):
        fleet.crash(('p',))
    fleet.quarantine.record_proof(('p',), 0.2)
    assert fleet.is_held('p')


def test_parts_that_always_come_together_are_held_only_together():
    # Guards against the rejection of prompts that share only the sound part.
    fleet = Fleet()
    for _ in range(MIN_CRASHES):
        fleet.crash(('p', 'a'))
    assert fleet.is_held('a', 'p')
    assert not fleet.is_held('a')
    assert not fleet.is_held('p')
    fleet.answer('a')
    assert fleet.is_held('p')
    assert not fleet.is_held('a')


def test_part_of_a_victim_is_not_held_where_another_explains_the_crashes():
    # Guards against the rejection of sound prompts that were running beside
    # those that crash engines.
    fleet = Fleet()
    for _ in range(MIN_CRASHES):
        fleet.crash(('a', 'p'), ('a',))
    assert fleet.is_held('a', 'p')
    assert not fleet.is_held('a')
    fleet.crash(('b', 'p'))
    assert fleet.is_held('b', 'p')
    assert not fleet.is_held('a')


def test_quarantined_part_is_tried_once_after_its_time():
    # Guards against parts that stay quarantined for ever, and against a crowd
    # of requests at the end of a quarantine.
    fleet = Fleet()
    for _ in range(MIN_CRASHES):
        fleet.crash(('p',))
    assert not fleet.quarantine.try_start_trial('p')
    advance(fleet.clock, FIRST_HOLD_S)
    assert fleet.quarantine.try_start_trial('p')
    assert not fleet.quarantine.try_start_trial('p')
    assert fleet.is_held('p')
    fleet.answer('p')
    assert not fleet.is_held('p')
    assert fleet.log.events[-1] == ('part_released', {'part': 'p'})


def test_quarantine_grows_with_each_crash_of_a_trial():
    # Guards against a crash of an engine in each period of a fixed quarantine.
    fleet = Fleet()
    trials = 0
    for _ in range(MIN_CRASHES):
        fleet.crash(('p',))
    for _ in range(3600):
        advance(fleet.clock, 1)
        if fleet.quarantine.try_start_trial('p'):
            trials += 1
            fleet.crash(('p',))
    # The first four periods end after 30, 150, 630 and 2550 s.
    assert trials == 4


def test_memory_is_bounded():
    # Guards against memory that grows with the number of prompts.
    fleet = Fleet()
    for number in range(5000):
        fleet.crash((f'p{number}',))
        fleet.answer(f'q{number}')
    held = (fleet.quarantine._suspects, fleet.quarantine._proofs)  # noqa: SLF001
    assert all(len(rows) <= 4000 for rows in held)


class QuarantineMachine(RuleBasedStateMachine):
    """Only deadly parts crash; sound parts may be victims but also respond."""

    parts = strategies.sampled_from(['a', 'b', 'c'])

    def __init__(self):
        super().__init__()
        self.fleet = Fleet()
        self.crashes_in_a_row = {}

    @rule(victims=strategies.sets(parts))
    def crash(self, victims):
        self.fleet.crash(('deadly', 'a'), *((part,) for part in victims))
        for part in {'a', 'deadly', *victims}:
            self.crashes_in_a_row[part] = self.crashes_in_a_row.get(part, 0) + 1

    @rule(part=parts)
    def answer(self, part):
        self.fleet.answer(part)
        self.crashes_in_a_row.pop(part, None)

    @invariant()
    def deadly_part_is_held_after_enough_crashes(self):
        if self.crashes_in_a_row.get('deadly', 0) >= MIN_CRASHES:
            assert self.fleet.is_held('deadly', 'a')

    @invariant()
    def part_that_responded_recently_is_not_held(self):
        for part in ('a', 'b', 'c'):
            if self.crashes_in_a_row.get(part, 0) < MIN_CRASHES:
                assert not self.fleet.is_held(part)


QuarantineMachine.TestCase.settings = settings(
    max_examples=60, stateful_step_count=30, deadline=None
)
TestQuarantineMachine = QuarantineMachine.TestCase
