from datetime import timedelta

from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

from peridotrill.clock import ManualClock
from peridotrill.forwarded_keys import ForwardedKeyTable
from peridotrill.ledger import Ledger, Run
from peridotrill.messages import EntryRef, PlacementRef
from peridotrill.placement import (
    STABLE_TIME,
    Placement,
    PlacementPlanner,
    append_placement,
    home_target,
    home_version,
)
from tests import builders

TARGETS = st.lists(
    st.sampled_from('abcdef'), unique=True, min_size=1, max_size=6
)
KEYS = st.binary(min_size=1, max_size=8)


@given(KEYS, TARGETS, st.sampled_from('abcdef'))
def test_removed_target_moves_only_its_own_keys(key, targets, removed):
    # Guards against a placement change that moves unaffected keys.
    rest = [target for target in targets if target != removed]
    before, after = home_target(key, targets), home_target(key, rest)
    assert before == removed or after == before


@given(KEYS, st.lists(TARGETS, min_size=1, max_size=6))
def test_home_version_is_the_last_move(key, sets):
    # Guards against an agent that treats a key as new because its own ledger
    # lacks it, although the key ran at a former home target.
    rows = [
        Placement(10 * number, tuple(targets), 0)
        for number, targets in enumerate(sets, start=1)
    ]
    expected, home = 0, home_target(key, sets[0])
    for row in rows:
        if home_target(key, row.targets) != home:
            home, expected = home_target(key, row.targets), row.version
    assert home_version(key, rows) == expected


def test_placements_are_kept_for_the_retention_time():
    # Guards against dropping a former home target at which a retained key may
    # have run.
    rows = append_placement((), Placement(1, ('a',), 0), 100)
    rows = append_placement(rows, Placement(2, ('b',), 500), 100)
    assert [row.version for row in rows] == [1, 2]
    rows = append_placement(rows, Placement(3, ('c',), 590), 100)
    assert [row.version for row in rows] == [1, 2, 3]
    rows = append_placement(rows, Placement(4, ('d',), 601), 100)
    assert [row.version for row in rows] == [2, 3, 4]


def test_placement_is_recorded_once_the_targets_are_stable():
    # Guards against a record for each new target while a fleet starts.
    clock = ManualClock()
    planner = PlacementPlanner(clock)

    def plan(targets, placements=None):
        return planner.next_record('s', frozenset(targets), placements or {}, 7)

    assert plan('a') is None
    clock.advance(STABLE_TIME / 2)
    assert plan('ab') is None
    clock.advance(STABLE_TIME / 2)
    assert plan('ab') is None
    clock.advance(STABLE_TIME)
    record = plan('ab')
    assert record['targets'] == ['a', 'b']
    known = {'s': [Placement(3, ('a', 'b'), 0)]}
    assert plan('ab', known) is None
    clock.advance(timedelta(minutes=1))
    assert plan('', known) is None
    clock.advance(timedelta(minutes=1))
    assert plan('', known) is None


class _Entry:
    def __init__(self, name):
        self.name, self.read = name, 1
        self.forwarded_keys = ForwardedKeyTable(SHARED_CLOCK)


SHARED_CLOCK = ManualClock()
NAMES = ('a', 'b', 'c')
ENTRY_INDEXES = st.integers(0, 1)


class PlacementMachine(RuleBasedStateMachine):
    """Guards against a key that runs at two home targets while entries lag
    behind the log, links go down and agents restart."""

    def __init__(self):
        super().__init__()
        self.log = [Placement(1, NAMES, SHARED_CLOCK.monotonic_s())]
        self.entries = [_Entry('e0'), _Entry('e1')]
        self.down_links: set[tuple[str, str]] = set()
        self.ran: set[bytes] = set()
        self.attempts = 0
        self.agents = {}
        for name in NAMES:
            self.restart(name)

    @rule(name=st.sampled_from(NAMES))
    def restart(self, name):
        self.agents[name] = Ledger(SHARED_CLOCK, 'receipts')
        for entry in self.entries:
            self.push(entry, name)

    @rule(names=st.sets(st.sampled_from(NAMES), min_size=1))
    def place(self, names):
        version = len(self.log) + 1
        row = Placement(version, tuple(names), SHARED_CLOCK.monotonic_s())
        self.log.append(row)

    @rule(number=ENTRY_INDEXES)
    def read(self, number):
        entry = self.entries[number]
        entry.read = len(self.log)
        for name in NAMES:
            self.push(entry, name)

    @rule(number=ENTRY_INDEXES, name=st.sampled_from(NAMES))
    def toggle_link(self, number, name):
        entry = self.entries[number]
        self.down_links ^= {(entry.name, name)}
        self.push(entry, name)

    @rule(number=ENTRY_INDEXES, key=st.sampled_from([b'k1', b'k2', b'k3']))
    def send(self, number, key):
        entry = self.entries[number]
        row = self.log[entry.read - 1]
        home = home_target(key, row.targets)
        if (entry.name, home) in self.down_links:
            return
        self.attempts += 1
        start = builders.start(
            f'x{self.attempts}',
            idempotent=False,
            caller_key=True,
            key_digest=key,
            request_digest=b'r',
            retention_s=900,
            placement_version=row.version,
        )
        entry.forwarded_keys.record(
            'receipts', start.attempt_id, key, b'r', 900
        )
        decision = self.agents[home].decide(start)
        if isinstance(decision, Run):
            assert key not in self.ran, 'the key runs twice'
            self.ran.add(key)
            self.agents[home].begin(start)
        elif getattr(decision, 'not_run', False):
            entry.forwarded_keys.remove(start.attempt_id)

    def push(self, entry, name):
        if (entry.name, name) in self.down_links:
            return
        row = self.log[entry.read - 1]
        refs = [EntryRef(each.name, 'i1') for each in self.entries]
        placements = [
            PlacementRef(old.version, list(old.targets), 0)
            for old in self.log[: entry.read]
        ]
        agent = self.agents[name]
        agent.update_from_hello(
            builders.hello(
                entry.name,
                registered=refs,
                offset=row.version,
                placements=placements,
            )
        )
        for part in entry.forwarded_keys.messages('receipts', name, row):
            agent.recover(EntryRef(entry.name, 'i1'), part)


PlacementMachine.TestCase.settings = settings(
    max_examples=400, stateful_step_count=30, deadline=None, derandomize=True
)
TestPlacement = PlacementMachine.TestCase
