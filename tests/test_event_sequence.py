"""The order of the events of a stream."""

import math

import pytest
from hypothesis import given
from hypothesis import strategies as st

from peridotrill.exceptions import TargetOutcomeUnknown
from peridotrill.gateway.event_sequence import EventNumbering, EventSequence


def sequence(resume_after=None, numbering=None):
    return EventSequence(resume_after, numbering or EventNumbering())


def feed(events, *numbers):
    return [number for number in numbers if events.accept(str(number).encode())]


@pytest.mark.parametrize(
    'numbers', [(1, 2, 4), (2,), (1, 1), (1, 2, 3, 2), (1, 3, 2)]
)
def test_run_that_leaves_events_out_is_broken(numbers):
    # Guards against streams with missing events that look complete.
    with pytest.raises(TargetOutcomeUnknown):
        feed(sequence(), *numbers)


def test_continued_run_must_not_skip_an_event():
    # Guards against a missing event where another engine goes on.
    with pytest.raises(TargetOutcomeUnknown):
        feed(sequence(b'4'), 6)


def test_events_that_the_caller_has_are_not_sent_again():
    # Guards against events that come twice after a broken run.
    events = sequence()
    feed(events, 1, 2, 3)
    events.start_run()
    assert feed(events, 1, 2, 3, 4) == [4]
    events.require_end()


def test_run_that_ends_before_the_last_event_is_broken():
    # Guards against an end that the caller has already passed.
    events = sequence()
    feed(events, 1, 2, 3)
    events.start_run()
    feed(events, 1, 2)
    with pytest.raises(TargetOutcomeUnknown):
        events.require_end()


def test_events_before_a_continued_run_count_as_received():
    # Guards against a whole run that its engine's report makes look short.
    events = sequence(b'4')
    events.start_run()
    assert events.count_received(2) == 6
    feed(events, 5, 6)
    events.start_run()
    assert events.count_received(1) == 7
    assert sequence().count_received(3) == 3


def test_events_after_an_id_that_is_no_number_are_not_counted():
    # Guards against a whole run that its engine's report makes look short.
    events = sequence(b'a')
    events.start_run()
    assert events.count_received(2) == math.inf


@pytest.mark.parametrize('event_id', [b'a', b'9' * 5000, '٣'.encode(), b''])
def test_ids_that_are_no_numbers_are_forwarded(event_id):
    # Guards against a decoder that fails on the ids of an unusual engine.
    events = sequence()
    assert events.accept(event_id)
    assert events.accept(event_id)


def test_service_with_gaps_is_served_after_a_few_streams():
    # Guards against a service whose increasing ids count something else.
    numbering = EventNumbering()
    served = 0
    for _ in range(20):
        try:
            feed(sequence(numbering=numbering), 1, 3, 6, 8)
        except TargetOutcomeUnknown:
            continue
        served += 1
    assert served >= 15


def run_of(target_id, numbering, is_only_target=False):
    events = sequence(numbering=numbering)
    events.start_run(target_id, is_only_target)
    return events


def test_one_faulty_target_does_not_tell_the_numbering():
    # Guards against a gateway that has just started and lets missing events of
    # one faulty engine pass, also after some streams of sound ones.
    numbering = EventNumbering()
    for _ in range(50):
        with pytest.raises(TargetOutcomeUnknown):
            feed(run_of('faulty', numbering), 1, 3)
    feed(run_of('sound', numbering), *range(1, 10))
    with pytest.raises(TargetOutcomeUnknown):
        feed(run_of('faulty', numbering), 1, 3)


def test_faulty_target_does_not_excuse_an_event_of_a_sound_one():
    # Guards against one faulty engine that ends the check of the others.
    numbering = EventNumbering()
    for _ in range(50):
        with pytest.raises(TargetOutcomeUnknown):
            feed(run_of('faulty', numbering), 1, 3)
    for target_id in ('b', 'c', 'd'):
        with pytest.raises(TargetOutcomeUnknown):
            feed(run_of(target_id, numbering), 1, 2, 4)


def test_service_of_several_targets_that_leave_ids_out_is_served():
    # Guards against a service whose increasing ids count something else.
    numbering = EventNumbering()
    served = 0
    for number in range(40):
        try:
            feed(run_of('abcde'[number % 5], numbering), 1, 3, 6, 8)
        except TargetOutcomeUnknown:
            continue
        served += 1
    assert served >= 30
    feed(run_of('new', numbering), 2, 5)


def test_only_target_tells_the_numbering():
    # Guards against a service of one engine that is never served.
    numbering = EventNumbering()
    for _ in range(2):
        with pytest.raises(TargetOutcomeUnknown):
            feed(run_of('a', numbering, is_only_target=True), 1, 3, 6, 8)
    feed(run_of('a', numbering, is_only_target=True), 1, 3, 6, 8)


def test_numbering_remembers_few_targets():
    # Guards against memory that grows with each engine that has served.
    numbering = EventNumbering()
    for number in range(1000):
        feed(run_of(str(number), numbering), 1, 2)
    assert len(numbering._targets) == 100


def test_faulty_engines_do_not_end_the_check():
    # Guards against a check that gives up while one engine in five is faulty.
    numbering = EventNumbering()
    for _ in range(1000):
        for _ in range(4):
            feed(sequence(numbering=numbering), 1, 2, 3, 4, 5)
        with pytest.raises(TargetOutcomeUnknown):
            feed(sequence(numbering=numbering), 1, 3)


@given(st.lists(st.integers(1, 8), max_size=12), st.integers(0, 6))
def test_forwarded_events_are_consecutive(numbers, after):
    # Guards against any order of events that reaches the caller with a gap.
    numbering = EventNumbering()
    feed(sequence(numbering=numbering), *range(1, 101))
    events = sequence(str(after).encode(), numbering)
    forwarded = []
    for number in numbers:
        try:
            if events.accept(b'%d' % number):
                forwarded.append(number)
        except TargetOutcomeUnknown:
            events.start_run()
    assert forwarded == list(range(after + 1, after + 1 + len(forwarded)))
