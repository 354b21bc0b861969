import json
from collections import Counter
from datetime import timedelta

from peridotrill.clock import ManualClock
from peridotrill.forwarded_keys import RECORDS_PER_MESSAGE, ForwardedKeyBook
from peridotrill.placement import Placement
from peridotrill.target_links import choose_subset
from peridotrill.targets import HOME_LOST_AFTER, TargetTable, VmRow, parse_vms
from tests import builders

RETENTION_S = 900
PLACEMENT = Placement(7, ('t1',), 0)


def row(name, state='live'):
    return VmRow(
        f'vm-{name}', 'target', state, 'z1', 's', name, 'plain', '127.0.0.1:1'
    )


def test_homes_and_candidates_leave_out_what_takes_no_work():
    clock = ManualClock()
    table = TargetTable(clock)
    table.apply_vms([row('t1'), row('t2'), row('t3', 'leaving')])
    assert table.possible_homes() == {'s': {'t1', 't2'}}
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
    assert table.possible_homes() == {'s': {'t2'}}


def test_a_target_without_a_link_is_no_home_after_a_while():
    # Guards against keys that wait for a dead target, and against an entry
    # without any link that moves all keys.
    clock = ManualClock()
    table = TargetTable(clock)
    names = {'t1', 't2', 't3'}
    table.apply_vms([row(name) for name in names])
    for name in names:
        table.link_up(name, builders.welcome()._replace(target_id=name))
    table.link_down('t1')
    assert table.possible_homes()['s'] == names
    clock.advance(HOME_LOST_AFTER * 1.1)
    assert table.possible_homes()['s'] == {'t2', 't3'}
    for name in names:
        table.link_down(name)
    clock.advance(HOME_LOST_AFTER * 1.1)
    assert table.possible_homes()['s'] == names


def test_entries_link_to_a_subset_that_covers_all_targets():
    # Guards against links that grow with entries times targets, and against
    # targets that no entry reaches.
    table = TargetTable(ManualClock())
    table.apply_vms([row(f't{number}') for number in range(40)])
    views = table.views()
    assert choose_subset('e1', views, 0) == views
    links = Counter()
    for number in range(60):
        chosen = choose_subset(f'e{number}', views, 8)
        assert chosen == choose_subset(f'e{number}', views[::-1], 8)
        links.update(view.target_id for view in chosen)
    assert links.total() == 60 * 8
    assert len(links) == 40


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
    assert [part.is_last for part in book.messages('s', 't1', PLACEMENT)] == [
        True
    ]
    for number in range(RECORDS_PER_MESSAGE + 1):
        book.record('s', f'x{number}', b'k', b'r', RETENTION_S)
    book.forget('x1')
    book.mark('x0', 'answered')
    clock.advance(timedelta(seconds=10))
    book.record('s', 'late', b'k', b'r', RETENTION_S)
    parts = book.messages('s', 't1', PLACEMENT)
    assert [part.is_last for part in parts] == [False, True]
    assert len(parts[0].records) == RECORDS_PER_MESSAGE
    assert parts[0].records[0] == (b'k', b'r', 'x0', 10, 'answered')
    clock.advance(timedelta(seconds=RETENTION_S - 5))
    assert [
        key.attempt_id for key in book.messages('s', 't1', PLACEMENT)[0].records
    ] == ['late']
