import json
from datetime import timedelta

from hypothesis import given
from hypothesis import strategies as st

from peridotrill.clock import ManualClock
from peridotrill.forwarded_keys import RECORDS_PER_MESSAGE, ForwardedKeyBook
from peridotrill.targets import TargetTable, VmRow, parse_vms
from tests import builders

RETENTION_S = 900
KEYS = [bytes([number]) * 32 for number in range(12)]


def row(name, state='live'):
    return VmRow(
        f'vm-{name}', 'target', state, 'z1', 's', name, 'plain', '127.0.0.1:1'
    )


@given(
    st.lists(
        st.tuples(
            st.frozensets(st.sampled_from(['t1', 't2', 't3', 't4'])),
            st.sampled_from([1, 5, 400, 901]),
        ),
        max_size=15,
    )
)
def test_a_key_moves_only_after_its_home_was_gone_for_the_retention(script):
    # Guards against a second home for a key that may have run at the first.
    clock = ManualClock()
    table = TargetTable(clock, lambda _service: RETENTION_S)
    absent_since: dict[str, float] = {}
    homes: dict[bytes, str] = {}
    table.apply_vms([row('t1'), row('t2')])
    clock.advance(timedelta(seconds=5))
    for listed, pause_s in script:
        now_s = clock.monotonic_s()
        table.apply_vms([row(name) for name in sorted(listed)])
        for name in ('t1', 't2', 't3', 't4'):
            if name in listed:
                absent_since.pop(name, None)
            else:
                absent_since.setdefault(name, now_s)
        for key in KEYS:
            home = table.home('s', key)
            before = homes.get(key)
            if home is None or home.target_id != before:
                since_s = absent_since.get(before, now_s)
                assert before is None or now_s - since_s >= RETENTION_S
            homes[key] = home.target_id if home else None
        clock.advance(timedelta(seconds=pause_s))


def test_homes_spread_and_candidates_leave_out_what_takes_no_work():
    clock = ManualClock()
    table = TargetTable(clock)
    table.apply_vms([row('t1'), row('t2'), row('t3', 'leaving')])
    assert {table.home('s', key).target_id for key in KEYS} == {
        't1',
        't2',
        't3',
    }
    for name in ('t1', 't2', 't3'):
        welcome = builders.welcome()._replace(target_id=name)
        assert table.link_up(name, welcome)
    # Guards against another target that took over the address.
    assert not table.link_up('t1', builders.welcome()._replace(target_id='x'))
    names = [view.target_id for view in table.candidates('s')]
    assert names == ['t1', 't2']
    table.drain('t1')
    table.link_down('t2')
    assert table.candidates('s') == []
    assert not table.is_settled
    clock.advance(timedelta(seconds=5))
    assert table.is_settled


def test_vm_rows_without_needed_fields_are_left_out():
    # Guards against one bad row hiding all targets.
    rows = [
        {'vm_id': 'e1', 'kind': 'entry', 'state': 'live', 'zone': 'z1'},
        {'vm_id': 't1', 'kind': 'target', 'target_id': None},
        row('t2')._asdict(),
    ]
    parsed = parse_vms(json.dumps({'vms': rows}).encode())
    assert [found.vm_id for found in parsed] == ['e1', 'vm-t2']


def test_forwarded_keys_are_pushed_in_parts_and_expire():
    # Guards against a ledger that is rebuilt with records missing.
    clock = ManualClock()
    book = ForwardedKeyBook(clock)
    assert [part.is_last for part in book.messages('t1')] == [True]
    for number in range(RECORDS_PER_MESSAGE + 1):
        book.record('t1', f'x{number}', b'k', b'r', RETENTION_S)
    book.forget('t1', 'x1')
    book.mark('t1', 'x0', 'answered')
    clock.advance(timedelta(seconds=10))
    book.record('t1', 'late', b'k', b'r', RETENTION_S)
    parts = book.messages('t1')
    assert [part.is_last for part in parts] == [False, True]
    assert len(parts[0].records) == RECORDS_PER_MESSAGE
    assert parts[0].records[0] == (b'k', b'r', 'x0', 10, 'answered')
    clock.advance(timedelta(seconds=RETENTION_S - 5))
    assert [key.attempt_id for key in book.messages('t1')[0].records] == [
        'late'
    ]
