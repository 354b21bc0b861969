from io import StringIO

import pytest
from hypothesis import given
from hypothesis import strategies as st

from peridotrill import logs, messages, records, settings
from peridotrill.clock import ManualClock
from peridotrill.exceptions import (
    InvalidTransition,
    MessageError,
    RecordError,
    StateChartError,
)
from peridotrill.statechart import Chart, StateMachine, load_chart
from peridotrill.timeline import Recorder, merge_timelines


@given(st.binary(max_size=200))
def test_malformed_batches_raise_message_error(payload):
    # Guards against malformed bytes from a peer that stop the process.
    try:
        messages.decode_batch(payload)
    except MessageError:
        return


@given(st.binary(max_size=200))
def test_malformed_records_raise_record_error(payload):
    # Guards against a malformed record that stops all readers of the log.
    with pytest.raises(RecordError):
        records.decode_record(payload)


@given(st.binary(max_size=50), st.integers(0, 2**40))
def test_encoded_batches_decode_to_the_same_batch(payload, position):
    batch = messages.Batch(
        1, 7, [messages.AttemptChunk('a', position, payload)]
    )
    assert messages.decode_batch(messages.encode_batch(batch)) == batch


def test_settings_report_all_findings_together():
    definitions = (
        settings.Setting('listen', 'address', 'where'),
        settings.Setting('drain_delay', 'duration', 'how long', '5s'),
    )
    outcome = settings.parse_settings(
        'p', definitions, ['--oops=1'], {'PERIDOTRILL_DRAIN_DELAY': 'soon'}
    )
    codes = {finding.code for finding in outcome.error}
    assert codes == {'unknown_flag', 'missing', 'invalid'}


def test_flag_overrides_environment_variable():
    definitions = (settings.Setting('listen', 'address', 'where'),)
    outcome = settings.parse_settings(
        'p',
        definitions,
        ['--listen', '127.0.0.1:1'],
        {'PERIDOTRILL_LISTEN': '127.0.0.1:2'},
    )
    assert outcome.ok['listen'] == ('127.0.0.1', 1)


def test_unknown_events_and_states_are_rejected():
    machine = StateMachine(load_chart('attempt'))
    with pytest.raises(InvalidTransition):
        machine.fire('end')
    text = (
        'name="x"\ninitial="a"\nstates=["a"]\n'
        '[[transitions]]\nfrom="a"\nevent="e"\nto="b"\n'
    )
    with pytest.raises(StateChartError):
        Chart.from_text(text)


def test_event_is_logged_as_one_line_of_key_value_pairs():
    stream = StringIO()
    logs.configure_logging('entry-1', stream=stream)
    Recorder('entry-1', ManualClock()).emit('started', detail='a b\n"c"')
    line = stream.getvalue()
    assert line.count('\n') == 1
    assert 'event=started' in line
    assert 'process=entry-1' in line
    assert r'detail="a b\n\"c\""' in line


def test_timelines_merge_in_causal_order():
    clock = ManualClock()
    sender, receiver = Recorder('b', clock), Recorder('a', clock)
    sender.emit('first')
    sender.emit('sent')
    receiver.update_lamport(sender.lamport)
    receiver.emit('received')
    merged = merge_timelines([sender.events(), receiver.events()])
    assert [event['kind'] for event in merged] == ['first', 'sent', 'received']
