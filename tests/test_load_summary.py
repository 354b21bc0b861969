"""What a load says of itself.

Guards against a run that passes although a fault met no stream, or although
what plays the load failed.
"""

import json
from collections import Counter

import pytest

from tests import load_soak
from tests.load_builders import build_attempt, build_events
from tests.load_faults import ACTIONS
from tests.load_site import EngineKill
from tests.load_summary import (
    EngineEvents,
    count_cut_by_gateway,
    count_sources,
    find_unexercised,
)

EVENTS = 5
RUN = load_soak.Run('tapbook', 1, 1.0)
BROKEN = build_attempt(is_complete=False, events=build_events(1, 2))


def build_rows(last, process='v1 1', request='quick-1'):
    return [
        json.dumps([10 + number / 10, request, number, process])
        for number in range(1, last + 1)
    ]


def test_take_ups_are_counted_by_their_source():
    log = (
        'event=stream_taken_up process=a software=v1 source=known\n'
        'event=stream_taken_up process=a source="only version" age=1\n'
        'event=request_ended process=a source=known\n'
    )
    expected = {'known': 2, 'only version': 2}
    assert count_sources([log, log]) == expected


def test_kill_of_an_engine_counts_the_streams_in_flight():
    events = EngineEvents(
        [
            *build_rows(2),
            *build_rows(EVENTS, request='quick-2'),
            *build_rows(2, process='v1 2'),
        ],
        EVENTS,
    )
    assert events.count_cut_by(EngineKill(10.5, 'v1 1')) == 1
    assert events.count_cut_by(EngineKill(30.0, 'v1 1')) == 0


def test_kill_of_a_gateway_counts_the_streams_in_flight():
    assert count_cut_by_gateway([BROKEN], 'front-0', 10.5) == 1
    assert count_cut_by_gateway([BROKEN], 'front-1', 10.5) == 0
    assert count_cut_by_gateway([BROKEN], 'front-0', 12.5) == 0
    assert count_cut_by_gateway([build_attempt()], 'front-0', 10.5) == 0


def test_runs_before_the_record_of_their_process_are_found():
    rows = [
        *build_rows(2),
        *build_rows(2, process='v2 2', request='quick-2'),
        *build_rows(2, process='v2 3', request='quick-3'),
    ]
    events = EngineEvents(rows, EVENTS)
    registered_s = {'v1 1': 9.0, 'v2 2': 10.5}
    found = events.begun_unregistered(registered_s)
    assert found == ['quick-2', 'quick-3']


def test_what_did_not_happen_is_named():
    actions = Counter(set(ACTIONS) - {'release'})
    counts = {'taken up': 0, 'streams': 1}
    missing = find_unexercised(counts, actions, has_proxies=True)
    assert missing == ['taken up', 'release']


def test_run_without_proxies_names_the_cuts():
    missing = find_unexercised({}, Counter(ACTIONS), has_proxies=False)
    assert missing == ['cuts between gateways and engines']


class _Soak(load_soak.LoadSoak):
    """A run whose attempts are given, without processes."""

    attempts = ()
    failure = None

    def play(self):
        rows = ''.join(f'{json.dumps(row)}\n' for row in self.attempts)
        (self.folder / 'attempts').write_text(rows)
        if self.failure is not None:
            raise self.failure


@pytest.mark.parametrize(
    ('attempts', 'failure', 'status'),
    [
        ([build_attempt(events=build_events(1, 13))], None, 0),
        ([build_attempt(events=build_events(1, 12))], None, 1),
        ([build_attempt(events=build_events(1, 13))], OSError(), 2),
        ([build_attempt(events=build_events(1, 12))], OSError(), 2),
        ([], None, 2),
    ],
)
def test_exit_status(monkeypatch, attempts, failure, status):
    monkeypatch.setattr(load_soak, 'LoadSoak', _Soak)
    monkeypatch.setattr(_Soak, 'attempts', attempts)
    monkeypatch.setattr(_Soak, 'failure', failure)
    assert load_soak.play_run(RUN, []) == status


def test_exception_of_a_fault_is_an_error(tmp_path, monkeypatch):
    # A thread that fails would otherwise only print its exception.
    soak = load_soak.LoadSoak(RUN, [], tmp_path)
    monkeypatch.setattr(soak, 'cut_engine', lambda: 1 / 0)
    soak._start_thread(soak.cut_engine)
    soak.threads[0].join()
    assert 'ZeroDivisionError' in soak.errors[0]
