"""Tests of the ledger, also against a simple model that never expires keys."""

from datetime import timedelta

import pytest
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from peridotrill.clock import ManualClock
from peridotrill.ledger import (
    Failure,
    Join,
    Ledger,
    Refusal,
    Replay,
    Run,
    StoredResponse,
)
from peridotrill.messages import (
    EntryRef,
    ForwardedKey,
    ForwardedKeys,
    LostEntry,
)
from tests import builders

RETENTION_S = 100.0
ANSWER = StoredResponse(200, [], b'done', 0, 0)
KEYS = st.sampled_from([b'k1', b'k2'])
ENTRIES = st.integers(0, 1)


def keyed(attempt_id='x1', key=b'k1', **changes):
    fields = {
        'idempotent': False,
        'key_digest': key,
        'caller_key': True,
        'retention_s': RETENTION_S,
    }
    return builders.start(attempt_id, **(fields | changes))


class Entry:
    def __init__(self, name, incarnation=0):
        self.name = name
        self.incarnation = incarnation
        self.records = {}

    @property
    def ref(self):
        return EntryRef(self.name, str(self.incarnation))


class LedgerMachine(RuleBasedStateMachine):
    """Sends keys, restarts the agent, loses entries and advances the clock.

    The model records when each key may last have run.
    """

    @initialize()
    def begin(self):
        self.clock = ManualClock()
        self.entries = [Entry(f'e{number}') for number in range(2)]
        self.lost = []
        self.may_have_run_s = {}
        self.answered = set()
        self.began_s = {}
        self.attempts = 0
        self.restart_agent()

    @rule()
    def restart_agent(self):
        now_s = self.clock.monotonic_s()
        for attempt in getattr(self, 'running', {}).values():
            self.may_have_run_s[attempt.key_digest] = now_s
        self.ledger = Ledger(self.clock, 'receipts')
        self.running = {}

    def hello(self, entry):
        now_s = self.clock.monotonic_s()
        lost = [
            LostEntry(ref.entry_id, ref.incarnation, now_s - lost_s)
            for ref, lost_s in self.lost
        ]
        refs = [each.ref for each in self.entries]
        return builders.hello(*entry.ref, refs, lost)

    @rule(number=ENTRIES, is_last=st.sampled_from([True, True, False]))
    def push(self, number, is_last):
        entry = self.entries[number]
        now_s = self.clock.monotonic_s()
        rows = [
            ForwardedKey(key, b'body-1', attempt, now_s - sent_s, state)
            for attempt, (key, sent_s, state) in entry.records.items()
        ]
        self.ledger.update_from_hello(self.hello(entry))
        half = rows if is_last else rows[: len(rows) // 2]
        self.ledger.recover(entry.ref, ForwardedKeys(half, is_last, 0))

    @rule()
    def restart_and_push(self):
        self.restart_agent()
        for number in range(2):
            self.push(number, True)

    @rule(number=ENTRIES)
    def lose_entry(self, number):
        entry = self.entries[number]
        self.lost.append((entry.ref, self.clock.monotonic_s()))
        self.entries[number] = Entry(entry.name, entry.incarnation + 1)

    @rule(key=KEYS, number=ENTRIES, other=st.integers(0, 5))
    def send(self, key, number, other):
        self.attempts += 1
        entry, now_s = self.entries[number], self.clock.monotonic_s()
        body = b'body-2' if other == 0 else b'body-1'
        start = keyed(f'x{self.attempts}', key, request_digest=body)
        entry.records[start.attempt_id] = (key, now_s, 'sent')
        decision = self.ledger.decide(start)
        ran_s = self.may_have_run_s.get(key)
        is_recent = ran_s is not None and now_s - ran_s < RETENTION_S
        may_have_run = key in self.running or is_recent
        if isinstance(decision, Run):
            assert not may_have_run, 'a key was allowed to run twice'
            self.ledger.begin(start)
            self.running[key] = start
            self.began_s[start.attempt_id] = now_s
            return
        entry.records[start.attempt_id] = (key, now_s, 'refused')
        if isinstance(decision, Join):
            assert self.running[key].attempt_id == decision.attempt_id
        elif isinstance(decision, Replay):
            assert key in self.answered
        elif isinstance(decision, Refusal):
            retried = decision.code in {'recovering', 'idempotency_key_reused'}
            assert retried or not (decision.not_run and may_have_run)

    @rule(key=KEYS, outcome=st.sampled_from(['answer', 'not_run', 'unknown']))
    def finish(self, key, outcome):
        start = self.running.pop(key, None)
        if start is None:
            return
        now_s = self.clock.monotonic_s()
        if outcome == 'answer':
            self.ledger.answer(key, ANSWER)
            self.answered.add(key)
        else:
            self.ledger.fail(key, Failure('code', '', outcome))
        if outcome != 'not_run':
            self.may_have_run_s[key] = now_s
        state = {'answer': 'answered', 'not_run': 'refused'}
        for entry in self.entries:
            if start.attempt_id in entry.records:
                row = (key, now_s, state.get(outcome, 'unknown'))
                entry.records[start.attempt_id] = row

    @rule(seconds=st.sampled_from([1.0, RETENTION_S / 2, RETENTION_S]))
    def advance(self, seconds):
        self.clock.advance(timedelta(seconds=seconds))
        # No request runs for longer than the retention.
        for key, start in list(self.running.items()):
            began_s = self.began_s[start.attempt_id]
            if self.clock.monotonic_s() - began_s >= RETENTION_S:
                self.finish(key, 'unknown')


LedgerMachine.TestCase.settings = settings(
    max_examples=300,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
    phases=(Phase.generate, Phase.shrink),
)
test_no_key_runs_twice = LedgerMachine.TestCase


def complete_ledger(clock, **options):
    ledger = Ledger(clock, 'receipts', **options)
    ledger.update_from_hello(builders.hello())
    ledger.recover(EntryRef('e1', 'i1'), ForwardedKeys([], True, 0))
    assert ledger.state() == 'complete'
    return ledger


def test_second_request_joins_replays_or_is_refused():
    ledger = complete_ledger(ManualClock())
    assert ledger.decide(keyed()) == Run()
    ledger.begin(keyed())
    assert ledger.decide(keyed('x2')) == Join('x1')
    other = ledger.decide(keyed('x3', request_digest=b'body-2'))
    assert other.code == 'idempotency_key_reused'
    ledger.answer(b'k1', ANSWER)
    assert ledger.decide(keyed('x4')) == Replay(ANSWER)


@pytest.mark.parametrize(
    ('outcome', 'expected'),
    [
        ('not_run', Run()),
        ('ran', Failure('code', '', 'ran')),
        (
            'unknown',
            Refusal('outcome_unknown', 'an earlier attempt was lost', False),
        ),
    ],
)
def test_failed_keys(outcome, expected):
    ledger = complete_ledger(ManualClock())
    ledger.begin(keyed())
    ledger.fail(b'k1', Failure('code', '', outcome))
    assert ledger.decide(keyed('x2')) == expected


def test_full_ledger_refuses_new_keys_and_evicts_none():
    # Guards against evicting keys when the ledger is full, after which they
    # would run again.
    clock = ManualClock()
    ledger = complete_ledger(clock, capacity_bytes=10_000)
    large = StoredResponse(200, [], b'y' * 4_900, 0, 0)
    keys = 0
    while ledger.decide(keyed(key=b'n%d' % keys)) == Run():
        ledger.begin(keyed(key=b'n%d' % keys))
        ledger.answer(b'n%d' % keys, large)
        keys += 1
    full = ledger.decide(keyed(key=b'another'))
    assert (full.code, full.not_run) == ('ledger_full', True)
    assert ledger.used_bytes <= 10_000
    assert not ledger.refuse_attempt('late') or ledger.used_bytes <= 10_000
    assert ledger.decide(keyed('x2', b'n0')) == Replay(large)
    assert ledger.decide(keyed('x2', b'n1')).code == 'answer_not_kept'
    clock.advance(timedelta(seconds=full.retry_after_s + 0.1))
    assert ledger.decide(keyed(key=b'another')) == Run()


def test_recovery_waits_for_all_entries_until_lost_records_expire():
    clock = ManualClock()
    clock.advance(timedelta(seconds=1000))
    ledger = Ledger(clock, 'receipts')
    assert ledger.decide(keyed()).code == 'recovering'
    assert ledger.decide(keyed(caller_key=False)) == Run()
    both = [EntryRef('e1', 'i1'), EntryRef('e2', 'i1')]
    ledger.update_from_hello(builders.hello(registered=both))
    ledger.recover(both[0], ForwardedKeys([], True, 0))
    assert ledger.decide(keyed()).code == 'recovering'
    lost = [LostEntry('e2', 'i1', 10)]
    ledger.update_from_hello(builders.hello(registered=both, lost=lost))
    assert ledger.decide(keyed()) == Refusal(
        'outcome_unknown', 'records of an entry are lost', False
    )
    assert ledger.state() == 'incomplete'
    clock.advance(timedelta(seconds=RETENTION_S - 1))
    assert ledger.state() == 'incomplete'
    clock.advance(timedelta(seconds=2))
    assert ledger.decide(keyed()) == Run()


def test_cancelled_attempt_stays_refused():
    # Guards against running a start that arrives after its cancellation.
    ledger = complete_ledger(ManualClock())
    assert ledger.refuse_attempt('x1')
    assert ledger.decide(keyed()).code == 'cancelled'
    assert ledger.decide(keyed('x2')) == Run()


def test_retention_of_a_recovered_key_starts_at_recovery():
    # Guards against counting the retention from the time at which a long
    # request was sent, although it may have run until the agent restarted.
    clock = ManualClock()
    clock.advance(timedelta(seconds=1000))
    ledger = Ledger(clock, 'receipts')
    ledger.update_from_hello(builders.hello())
    record = ForwardedKey(b'k1', b'body-1', 'x1', RETENTION_S, 'sent')
    ledger.recover(EntryRef('e1', 'i1'), ForwardedKeys([record], True, 0))
    clock.advance(timedelta(seconds=RETENTION_S - 1))
    assert ledger.decide(keyed('x2')).code == 'outcome_unknown'
    clock.advance(timedelta(seconds=2))
    assert ledger.decide(keyed('x2')) == Run()


def test_rate_limited_request_gets_only_earlier_outcomes():
    # Guards against reporting `not_run` for a key that ran, when its retry is
    # rate limited, and against running a request beyond the limit.
    ledger = complete_ledger(ManualClock())
    limited = keyed('x1', only_if_known=True)
    assert ledger.decide(limited) == Refusal('rate_limited', '', True)
    ledger.begin(keyed('x2'))
    assert ledger.decide(keyed('x3', only_if_known=True)) == Join('x2')
    ledger.answer(b'k1', ANSWER)
    assert ledger.decide(keyed('x4', only_if_known=True)) == Replay(ANSWER)


def test_rate_limited_request_waits_while_the_ledger_recovers():
    # Guards against reporting `not_run` after the agent has lost its ledger.
    ledger = Ledger(ManualClock(), 'receipts')
    assert ledger.decide(keyed(only_if_known=True)).code == 'recovering'
