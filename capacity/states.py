"""Cost of log records and of the state that every entry builds from them."""

from collections.abc import Iterator
from typing import Any, Final

from capacity.measurements import Quantities, measurement
from capacity.meters import best_cpu_us, cpu_us, resident_bytes
from capacity.service_files import make_key_grant, make_text
from peridotrill.control_state import ControlState
from peridotrill.keys import create_key
from peridotrill.placement import PLACEMENT_LEASE
from peridotrill.publishing import compute_change
from peridotrill.records import (
    ConfigPublished,
    EntryExpired,
    EntryRegistered,
    EntryRenewed,
    KeyWithdrawn,
    LeaseClaimed,
    LeaseRenewed,
    PlacementChanged,
    UsageAcknowledged,
    UsageClosed,
    UsageCounted,
    decode_record,
    encode_record,
)
from peridotrill.services import FILE_SUFFIX, read_service_file
from peridotrill.snapshots import encode_snapshot, restore_snapshot

_LOOKUPS: Final = 20_000
_TEAMS_PER_FILE: Final = 100
_TEAMS: Final = 1100


def _fold(state: ControlState, payloads: list[bytes]) -> None:
    for payload in payloads:
        state.apply(state.offset + 1, decode_record(payload), 0)


def _measure_fold(records: Iterator[Any]) -> Quantities:
    state = ControlState()
    payloads = [encode_record(record) for record in records]
    before_bytes = resident_bytes()
    used_us = cpu_us(lambda: _fold(state, payloads))
    held_bytes = resident_bytes() - before_bytes
    again_us = best_cpu_us(lambda: _fold(ControlState(), payloads), runs=2)
    return {
        'bytes': sum(map(len, payloads)),
        'cpu_us': min(used_us, again_us),
        'resident_bytes': held_bytes,
    }


@measurement(
    'fold_key_granted',
    'records key_granted',
    'control_state, keys',
    (4000, 16000, 32000),
)
def measure_keys(size: int) -> Quantities:
    """Measure granted keys; each stays in the table."""
    return _measure_fold(make_key_grant(number) for number in range(size))


@measurement(
    'key_lookups',
    'keys in the table',
    'keys',
    (1000, 10000, 40000),
)
def measure_key_lookups(size: int) -> Quantities:
    """Measure looking up keys that are not in the table."""
    state = ControlState()
    grants = (make_key_grant(number) for number in range(size))
    _fold(state, [encode_record(grant) for grant in grants])
    key = create_key()

    def look_up() -> None:
        for _ in range(_LOOKUPS):
            state.keys.find(key)

    return {'cpu_us_per_lookup': best_cpu_us(look_up) / _LOOKUPS}


def _entry_id(number: int) -> str:
    return f'entry-z{number % 6}-{number:04}'


def _register(number: int) -> EntryRegistered:
    return EntryRegistered(
        kind='entry_registered',
        entry_id=_entry_id(number),
        incarnation=f'{number:016x}',
        zone='z1',
    )


def _renew(number: int) -> EntryRenewed:
    return EntryRenewed(
        kind='entry_renewed',
        entry_id=_entry_id(number),
        incarnation=f'{number:016x}',
    )


@measurement(
    'fold_entry_registered',
    'records entry_registered',
    'control_state',
    (2000, 8000, 16000),
)
def measure_entries(size: int) -> Quantities:
    """Measure registrations of different entries."""
    return _measure_fold(_register(number) for number in range(size))


@measurement(
    'fold_entry_renewed',
    'records entry_renewed of 420 entries',
    'control_state',
    (8000, 16000, 32000),
)
def measure_renewals(size: int) -> Quantities:
    """Measure renewals; the registrations before them cost little."""

    def records() -> Iterator[Any]:
        for number in range(420):
            yield _register(number)
        for number in range(size):
            yield _renew(number % 420)

    return _measure_fold(records())


@measurement(
    'fold_lease_claimed',
    'records lease_claimed of different leases',
    'control_state, leases',
    (2000, 8000, 16000),
)
def measure_claims(size: int) -> Quantities:
    """Measure leases that are claimed once each."""
    return _measure_fold(_claim(number) for number in range(size))


def _claim(number: int) -> LeaseClaimed:
    return LeaseClaimed(
        kind='lease_claimed',
        lease=f'service/assistant/z{number}',
        holder=f'{number:032x}',
        ttl_s=6,
        previous_offset=0,
        sequence=1,
    )


@measurement(
    'fold_lease_renewed',
    'records lease_renewed of 50 leases',
    'control_state, leases',
    (8000, 16000, 32000),
)
def measure_lease_renewals(size: int) -> Quantities:
    """Measure renewals by the holders."""

    def records() -> Iterator[Any]:
        for number in range(50):
            yield _claim(number)
        for number in range(size):
            yield LeaseRenewed(
                kind='lease_renewed',
                lease=f'service/assistant/z{number % 50}',
                holder=f'{number % 50:032x}',
                epoch=number % 50 + 1,
                sequence=number + 2,
            )

    return _measure_fold(records())


@measurement(
    'fold_placement_changed',
    'home targets in a record placement_changed, 100 records',
    'control_state, placement',
    (12, 117, 400),
)
def measure_placements(size: int) -> Quantities:
    """Measure changes of the home targets of one service."""

    def records() -> Iterator[Any]:
        yield _claim(0) | {'lease': PLACEMENT_LEASE}
        for number in range(100):
            yield PlacementChanged(
                kind='placement_changed',
                service='assistant',
                targets=[
                    f'assistant-{target:04}'
                    for target in range(number, number + size)
                ],
                epoch=1,
            )

    return _measure_fold(records())


@measurement(
    'fold_key_withdrawn',
    'pairs of key_granted and key_withdrawn',
    'control_state, keys',
    (4000, 8000, 16000),
)
def measure_withdrawals(size: int) -> Quantities:
    """Measure keys that are withdrawn immediately after their grant."""

    def records() -> Iterator[Any]:
        for number in range(size):
            grant = make_key_grant(number)
            yield grant
            yield KeyWithdrawn(kind='key_withdrawn', name=grant['name'])

    return _measure_fold(records())


@measurement(
    'fold_entry_expired',
    'pairs of entry_registered and entry_expired within a day',
    'control_state',
    (50, 200, 400),
)
def measure_expiry(size: int) -> Quantities:
    """Measure expired entries, which are kept for a day."""

    def records() -> Iterator[Any]:
        for number in range(size):
            yield _register(number)
            yield EntryExpired(
                kind='entry_expired',
                entry_id=_entry_id(number),
                incarnation=f'{number:016x}',
            )

    return _measure_fold(records())


def _usage(number: int, teams: int, window_start_s: int = 60) -> UsageCounted:
    return UsageCounted(
        kind='usage_counted',
        window_start_s=window_start_s,
        sequence=1,
        counts={
            f'team-{team:04}': [11 + team % 7, 30_000 + team, 4000 + team]
            for team in range(teams)
        },
        entry_id=_entry_id(number),
        incarnation=f'{number:016x}',
    )


@measurement(
    'fold_usage_counted',
    'rows of teams in records usage_counted, 150 a record',
    'usage_windows',
    (15_000, 60_000, 150_000),
)
def measure_usage(size: int) -> Quantities:
    """Measure the first usage counts of entries in one window."""
    return _measure_fold(_usage(number, 150) for number in range(size // 150))


@measurement(
    'usage_windows',
    'closed and acknowledged windows, 1,100 teams from one entry',
    'usage_windows',
    (20, 60, 120),
)
def measure_windows(size: int) -> Quantities:
    """Measure the usage figures that are kept after a window is reported."""

    def records() -> Iterator[Any]:
        yield LeaseClaimed(
            kind='lease_claimed',
            lease='usage',
            holder=f'{1:032x}',
            ttl_s=6,
            previous_offset=0,
            sequence=1,
        )
        for number in range(size):
            start_s = 60 * (number + 1)
            counted = _usage(1, _TEAMS, start_s)
            yield counted
            yield UsageClosed(
                kind='usage_closed',
                window_start_s=start_s,
                window_end_s=start_s + 60,
                epoch=1,
            )
            yield UsageAcknowledged(
                kind='usage_acknowledged',
                window_start_s=start_s,
                teams=list(counted['counts']),
                conflicts=[],
            )

    return _measure_fold(records())


def _encode_publish(changed: dict[str, str], base_version: int) -> bytes:
    return encode_record(
        ConfigPublished(
            kind='config_published',
            publish_id=f'{base_version:032x}',
            base_version=base_version,
            changed=changed,
            removed=[],
            author='operator',
        ),
    )


def _state_with_files(service_texts: dict[str, str]) -> ControlState:
    state = ControlState()
    for name, text in service_texts.items():
        _fold(state, [_encode_publish({name: text}, state.catalog.version)])
    return state


def _measure_change(base_texts: dict[str, str], teams: int) -> Quantities:
    before_bytes = resident_bytes()
    state = _state_with_files(base_texts)
    held_bytes = resident_bytes() - before_bytes
    changes = [
        _measure_one_change(state, base_texts, teams, burst)
        for burst in range(3)
    ]
    parsed = [
        _measure_one_change(state, base_texts, teams, burst, parses_before=True)
        for burst in range(3, 6)
    ]
    return {
        'bytes': changes[0][0],
        'cpu_us': min(used_us for _, used_us in changes),
        'parsed_before_cpu_us': min(used_us for _, used_us in parsed),
        'resident_bytes': held_bytes,
    }


def _measure_one_change(
    state: ControlState,
    base_texts: dict[str, str],
    teams: int,
    burst: int,
    *,
    parses_before: bool = False,
) -> tuple[int, float]:
    text = make_text(0, teams, burst=burst + 10)
    change = compute_change(
        base_texts | {'service-0': text}, state.service_texts
    )
    payload = _encode_publish(change.changed, state.catalog.version)
    if parses_before:
        read_service_file(f'service-0{FILE_SUFFIX}', text)
    used_us = cpu_us(lambda: _fold(state, [payload]))
    assert state.catalog.version == state.offset
    return len(payload), used_us


@measurement(
    'config_whole',
    f'files in force, {_TEAMS_PER_FILE} teams each; one of them changes',
    'publishing, records, catalog, control_state',
    (2, 8, 16, 32),
)
def measure_whole_config(size: int) -> Quantities:
    """Measure the same change in configurations of increasing size."""
    base_texts = {
        f'service-{number}': make_text(number, _TEAMS_PER_FILE)
        for number in range(size)
    }
    return _measure_change(base_texts, _TEAMS_PER_FILE)


@measurement(
    'config_change',
    'teams in the file that changes, the only one',
    'publishing, records, catalog, control_state',
    (100, 400, 1100),
)
def measure_config_change(size: int) -> Quantities:
    """Measure changes of files of increasing size."""
    return _measure_change({'service-0': make_text(0, size)}, size)


@measurement(
    'routes',
    'routes of plain services, 20 a file',
    'catalog',
    (20, 200, 600),
)
def measure_routes(size: int) -> Quantities:
    """Measure looking up a route by path and method."""
    files = size // 20
    service_texts = {
        f'service-{number}': make_text(number, 1, routes=20)
        for number in range(files)
    }
    before_bytes = resident_bytes()
    state = _state_with_files(service_texts)
    held_bytes = resident_bytes() - before_bytes
    path = f'/service-{files - 1}/path-19/record/8'
    assert state.catalog.find_route(path, 'GET')

    def look_up() -> None:
        for _ in range(_LOOKUPS):
            state.catalog.find_route(path, 'GET')

    return {
        'cpu_us_per_lookup': best_cpu_us(look_up) / _LOOKUPS,
        'resident_bytes': held_bytes,
    }


@measurement(
    'snapshot_usage',
    'rows of teams in counts that are kept',
    'snapshots, usage_windows',
    (15_000, 60_000, 150_000),
)
def measure_snapshot_usage(size: int) -> Quantities:
    """Measure a snapshot of usage counts."""
    state = ControlState()
    records = (_usage(number, 150) for number in range(size // 150))
    _fold(state, [encode_record(record) for record in records])
    return _measure_snapshot(state)


@measurement(
    'snapshot_keys',
    'keys',
    'snapshots',
    (1000, 5000, 20000),
)
def measure_snapshot_keys(size: int) -> Quantities:
    """Measure a snapshot of keys."""
    state = ControlState()
    grants = (make_key_grant(number) for number in range(size))
    _fold(state, [encode_record(grant) for grant in grants])
    return _measure_snapshot(state)


def _measure_snapshot(state: ControlState) -> Quantities:
    parts: list[Any] = []
    write_us = cpu_us(lambda: parts.extend(encode_snapshot(state)))
    restored = ControlState()
    return {
        'bytes': sum(len(encode_record(part)) for part in parts),
        'write_cpu_us': write_us,
        'restore_cpu_us': cpu_us(lambda: restore_snapshot(restored, parts)),
    }
