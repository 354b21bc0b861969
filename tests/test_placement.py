from datetime import timedelta

from hypothesis import given
from hypothesis import strategies as st

from peridotrill.clock import ManualClock
from peridotrill.placement import (
    SETTLE_TIME,
    Placement,
    PlacementPlanner,
    add_placement,
    home_target,
    version_of_home,
)

TARGETS = st.lists(
    st.sampled_from('abcdef'), unique=True, min_size=1, max_size=6
)
KEYS = st.binary(min_size=1, max_size=8)


@given(KEYS, TARGETS, st.sampled_from('abcdef'))
def test_a_target_that_leaves_moves_only_its_own_keys(key, targets, gone):
    # Guards against a change of placement that moves every key.
    rest = [target for target in targets if target != gone]
    before, after = home_target(key, targets), home_target(key, rest)
    assert before == gone or after == before


@given(KEYS, st.lists(TARGETS, min_size=1, max_size=6))
def test_version_of_home_is_the_last_move(key, sets):
    # Guards against an agent that trusts its ledger for a key that ran
    # elsewhere before.
    rows = [
        Placement(10 * number, tuple(targets), 0)
        for number, targets in enumerate(sets, start=1)
    ]
    expected, home = 0, home_target(key, sets[0])
    for row in rows:
        if home_target(key, row.targets) != home:
            home, expected = home_target(key, row.targets), row.version
    assert version_of_home(key, rows) == expected


def test_a_placement_matters_for_the_retention_after_its_end():
    # Guards against forgetting the former home of a key that may have run.
    rows = add_placement((), Placement(1, ('a',), 0), 100)
    rows = add_placement(rows, Placement(2, ('b',), 500), 100)
    assert [row.version for row in rows] == [1, 2]
    rows = add_placement(rows, Placement(3, ('c',), 590), 100)
    assert [row.version for row in rows] == [1, 2, 3]
    rows = add_placement(rows, Placement(4, ('d',), 601), 100)
    assert [row.version for row in rows] == [2, 3, 4]


def test_a_set_is_recorded_once_it_is_stable():
    # Guards against a record for each step of a fleet that starts.
    clock = ManualClock()
    planner = PlacementPlanner(clock)

    def plan(targets, placements=None):
        return planner.next_record('s', frozenset(targets), placements or {}, 7)

    assert plan('a') is None
    clock.advance(SETTLE_TIME / 2)
    assert plan('ab') is None
    clock.advance(SETTLE_TIME / 2)
    assert plan('ab') is None
    clock.advance(SETTLE_TIME)
    record = plan('ab')
    assert record['targets'] == ['a', 'b']
    known = {'s': [Placement(3, ('a', 'b'), 0)]}
    assert plan('ab', known) is None
    clock.advance(timedelta(minutes=1))
    assert plan('', known) is None
    clock.advance(timedelta(minutes=1))
    assert plan('', known) is None
