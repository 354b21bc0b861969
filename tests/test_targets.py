import json
from collections import Counter
from datetime import timedelta

from peridotrill.clock import ManualClock
from peridotrill.forwarded_keys import RECORDS_PER_MESSAGE, ForwardedKeyTable
from peridotrill.placement import Placement
from peridotrill.target_links import choose_subset
from peridotrill.targets import HOME_LOST_TIMEOUT, TargetTable, VmRow, parse_vms
from tests import builders

RETENTION_S = 900
PLACEMENT = Placement(7, ('t1',), 0)


def row(name, state='live'):
    return VmRow(
        f'vm-{name}', 'target', state, 'z1', 's', name, 'plain', '127.0.0.1:1'
    )


def test_homes_and_candidates_exclude_unavailable_targets():
    clock = ManualClock()
    table = TargetTable(clock)
    table.apply_vms([row('t1'), row('t2'), row('t3', 'leaving')])
    assert table.possible_home_targets() == {'s': {'t1', 't2'}}
    for name in ('t1', 't2', 't3'):
        welcome = builders.welcome()._replace(target_id=name)
        assert table.link_up(name, welcome)
    # Guards against accepting another target that took over the address.
    assert not table.link_up('t1', builders.welcome()._replace(target_id='x'))
    names = [view.target_id for view in table.candidates('s')]
    assert names == ['t1', 't2']
    table.mark_draining('t1')
    table.link_down('t2')
    assert table.candidates('s') == []
    assert not table.is_initialized
    clock.advance(timedelta(seconds=5))
    assert table.is_initialized
    assert table.possible_home_targets() == {'s': {'t2'}}


def test_target_without_a_link_stops_being_a_home():
    # Guards against keys that wait for a failed target, and against an
    # isolated entry without any link that moves all keys.
    clock = ManualClock()
    table = TargetTable(clock)
    names = {'t1', 't2', 't3'}
    table.apply_vms([row(name) for name in names])
    for name in names:
        table.link_up(name, builders.welcome()._replace(target_id=name))
    table.link_down('t1')
    assert table.possible_home_targets()['s'] == names
    clock.advance(HOME_LOST_TIMEOUT * 1.1)
    assert table.possible_home_targets()['s'] == {'t2', 't3'}
    for name in names:
        table.link_down(name)
    clock.advance(HOME_LOST_TIMEOUT * 1.1)
    assert table.possible_home_targets()['s'] == names


def test_entries_link_to_a_subset_that_covers_all_targets():
    # Guards against a number of links that grows with entries times targets,
    # and against targets to which no entry has a link.
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


def test_vm_rows_with_missing_fields_are_skipped():
    # Guards against one invalid row that makes the whole VM list unusable.
    rows = [
        {'vm_id': 'e1', 'kind': 'entry', 'state': 'live', 'zone': 'z1'},
        {'vm_id': 't1', 'kind': 'target', 'target_id': None},
        row('t2')._asdict(),
    ]
    parsed = parse_vms(json.dumps({'vms': rows}).encode())
    assert [found.vm_id for found in parsed] == ['e1', 'vm-t2']


def test_forwarded_keys_are_sent_in_several_messages_and_expire():
    # Guards against rebuilding a ledger from incomplete records.
    clock = ManualClock()
    forwarded_keys = ForwardedKeyTable(clock)
    assert [
        part.is_last for part in forwarded_keys.messages('s', 't1', PLACEMENT)
    ] == [True]
    for number in range(RECORDS_PER_MESSAGE + 1):
        forwarded_keys.record('s', f'x{number}', b'k', b'r', RETENTION_S)
    forwarded_keys.remove('x1')
    forwarded_keys.set_state('x0', 'answered')
    clock.advance(timedelta(seconds=10))
    forwarded_keys.record('s', 'late', b'k', b'r', RETENTION_S)
    parts = forwarded_keys.messages('s', 't1', PLACEMENT)
    assert [part.is_last for part in parts] == [False, True]
    assert len(parts[0].records) == RECORDS_PER_MESSAGE
    assert parts[0].records[0] == (b'k', b'r', 'x0', 10, 'answered')
    clock.advance(timedelta(seconds=RETENTION_S - 5))
    assert [
        key.attempt_id
        for key in forwarded_keys.messages('s', 't1', PLACEMENT)[0].records
    ] == ['late']
