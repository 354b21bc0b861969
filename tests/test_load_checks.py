"""The checks of a load find attempts that are wrong on purpose.

Guard against a load that passes because its checks see nothing.
"""

import pytest

from tests.load_builders import build_attempt, build_events, build_take_up
from tests.load_checks import find_disordered

EVENTS = 5
BROKEN = build_attempt(
    is_complete=False, events=build_events(1, 2), error='TimeoutError'
)


def test_whole_streams_are_in_order():
    attempts = [
        build_attempt(),
        build_attempt('draft-2'),
        build_attempt('quick-3', status=503, events=[]),
        build_attempt('pay-4', events=[]),
    ]
    assert find_disordered(attempts, EVENTS) == []


def test_taken_up_stream_is_in_order():
    attempts = [BROKEN, build_take_up(build_events(3, 5))]
    assert find_disordered(attempts, EVENTS) == []


def test_take_up_after_the_last_event_is_in_order():
    first = BROKEN | {'events': build_events(1, EVENTS)}
    attempts = [first, build_take_up([], after=EVENTS)]
    assert find_disordered(attempts, EVENTS) == []


def test_two_streams_may_have_different_versions():
    other = build_attempt('quick-2', events=build_events(1, 5, 'v2'))
    assert find_disordered([build_attempt(), other], EVENTS) == []


def test_versions_mixed_in_one_response_are_found():
    events = build_events(1, 3) + build_events(4, 5, 'v2')
    found = find_disordered([build_attempt(events=events)], EVENTS)
    assert found == ["quick-1: versions ['v1', 'v2']"]


def test_versions_mixed_by_a_take_up_are_found():
    attempts = [BROKEN, build_take_up(build_events(3, 5, 'v2'))]
    found = find_disordered(attempts, EVENTS)
    assert found == ["quick-1: versions ['v1', 'v2']"]


@pytest.mark.parametrize(
    'ids',
    [
        [1, 2, 4, 5],
        [2, 3, 4, 5],
        [1, 2, 2, 3, 4, 5],
        [1, 2, 1, 2, 3, 4, 5],
        [1, 3, 2, 4, 5],
    ],
)
def test_missing_repeated_and_swapped_events_are_found(ids):
    attempt = build_attempt(events=[[number, 'v1'] for number in ids])
    found = find_disordered([attempt], EVENTS)
    assert found == [f'quick-1: events {ids} after 0']


@pytest.mark.parametrize('first', [2, 4])
def test_take_up_at_the_wrong_event_is_found(first):
    attempts = [BROKEN, build_take_up(build_events(first, EVENTS))]
    (found,) = find_disordered(attempts, EVENTS)
    assert 'after 2' in found


def test_too_early_end_is_found():
    attempt = build_attempt(events=build_events(1, 4))
    (found,) = find_disordered([attempt], EVENTS)
    assert 'complete after 0' in found


def test_too_early_end_of_a_taken_up_stream_is_found():
    attempts = [BROKEN, build_take_up(build_events(3, 4))]
    (found,) = find_disordered(attempts, EVENTS)
    assert 'complete after 2' in found


@pytest.mark.parametrize('name', ['quick-1', 'draft-1'])
def test_complete_stream_without_events_is_found(name):
    (found,) = find_disordered([build_attempt(name, events=[])], EVENTS)
    assert 'complete after 0' in found


def test_events_after_the_last_one_are_found():
    attempt = build_attempt(events=build_events(1, 6))
    (found,) = find_disordered([attempt], EVENTS)
    assert 'complete after 0' in found
