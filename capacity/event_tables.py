"""Tables of the cost of failures and restarts, and of KV cache traffic."""

import math

from capacity import scale
from capacity.costs import Costs
from capacity.formatting import (
    format_number,
    format_percent,
    format_scaled,
    format_table,
)
from capacity.results import Results
from capacity.tables import tables

_RECORDS_PER_RESTART = 2
_SPLIT_S = 3600


@tables.register('events')
def render_events(results: Results) -> str:
    """Render the cost of failures and restarts."""
    columns = [_event_cells(Costs(results, plan)) for plan in scale.PLANS]
    rows = [
        (title, quantity, current, planned)
        for (title, quantity, current), (_, _, planned) in zip(
            *columns, strict=True
        )
    ]
    return format_table(
        'event | what it costs | as built | with the proposals', rows
    )


def _event_cells(costs: Costs) -> list[tuple[str, str, str]]:
    plan = costs.plan
    log_rate = scale.BUDGET_APPENDS_PER_S
    lost_entries = scale.NODES // scale.ZONES
    remaining_entries = scale.NODES - lost_entries
    lost_links = plan.links_per_entry / scale.ZONES
    expired = lost_entries * min(remaining_entries, plan.expiry_writers)
    hello_bytes = costs.hello_bytes()
    connect_s = plan.links_per_entry * costs.connect_us() / 1e6
    # Assumes that each side of the partition has half of the entries.
    appended_records = _records_after_split(plan) * scale.NODES / 2
    restarts = scale.RESTARTS_PER_DAY
    entry_restarts = restarts * scale.NODES / (scale.NODES + scale.TARGETS)
    agents = restarts - entry_restarts
    links_per_agent = plan.links_per_entry * scale.NODES / scale.TARGETS
    snapshot_read = costs.snapshot_bytes() * 4 / 3
    return [
        (
            'zone lost',
            'more requests for every entry that is left',
            format_percent(lost_entries / remaining_entries),
        ),
        (
            'zone lost',
            'links that each entry dials again, at most one try in 2 s each',
            format_number(lost_links),
        ),
        (
            'zone lost',
            f'`entry_expired` appended for {lost_entries} entries',
            _format_appends(expired, log_rate),
        ),
        (
            'region split of an hour',
            'usage records that the cut-off half appends afterwards',
            _format_appends(appended_records, log_rate),
        ),
        (
            'region split of an hour',
            'counts kept by each cut-off entry',
            format_scaled(
                _SPLIT_S
                / 60
                * _teams_per_window(plan)
                * costs.usage_row_bytes()
            ),
        ),
        (
            '160 restarts a day',
            f'registrations and leaves of {entry_restarts:.0f} entries, a day',
            format_number(entry_restarts * _RECORDS_PER_RESTART),
        ),
        (
            '160 restarts a day',
            'one entry: processor time to set up its links',
            f'{connect_s:.2g} s',
        ),
        (
            '160 restarts a day',
            'one entry: bytes of Hello',
            format_scaled(plan.links_per_entry * hello_bytes),
        ),
        (
            '160 restarts a day',
            f'{agents:.0f} agents: bytes of Hello that one receives',
            format_scaled(links_per_agent * hello_bytes),
        ),
        (
            '160 restarts a day',
            'one entry leaves or registers: bytes of Hello from every entry',
            format_scaled(costs.announcement_bytes()),
        ),
        (
            '160 restarts a day',
            'one set of home targets changes: event loop of every entry '
            'occupied',
            f'{format_number(costs.placement_change_us() / 1e6)} s',
        ),
        (
            'start of all nodes',
            'Hello that each entry sends again as the others register, if '
            'each read has one registration',
            format_scaled(scale.NODES * costs.announcement_bytes() / 2)
            if plan is scale.AS_BUILT
            else format_scaled(scale.NODES * costs.announcement_bytes()),
        ),
        (
            'start of all nodes',
            'registrations',
            _format_appends(scale.NODES, log_rate),
        ),
        (
            'start of all nodes',
            'links, and bytes of Hello in all',
            f'{format_number(scale.NODES * plan.links_per_entry)}, '
            + format_scaled(scale.NODES * plan.links_per_entry * hello_bytes),
        ),
        (
            'start of all nodes',
            'newest snapshot, read by each entry (all entries)',
            f'{format_scaled(snapshot_read)} '
            f'({format_scaled(snapshot_read * scale.NODES)})',
        ),
    ]


def _records_after_split(plan: scale.Plan) -> float:
    writers_share = plan.usage_writers / scale.NODES
    return _SPLIT_S / 60 * writers_share


def _teams_per_window(plan: scale.Plan) -> float:
    requests = scale.REQUESTS_PER_S / scale.NODES * 60
    return scale.TEAMS * (1 - math.exp(-requests / scale.TEAMS))


def _format_appends(records: float, rate: float) -> str:
    return (
        f'{format_number(records)} appends, {records / rate:.2g} s of the log'
    )


@tables.register('kv')
def render_kv(_results: Results) -> str:
    """Render KV cache traffic, calculated without measurements."""
    low = scale.PREFILL_SHARE / 2
    high = scale.PREFILL_SHARE * 1.5
    rows = []
    for share in (low, scale.PREFILL_SHARE, high):
        flow = scale.KV_GB_PER_S * share / scale.PREFILL_SHARE
        engines = scale.TARGETS * share
        fixed = min(share, scale.PREFILL_SHARE)
        moved = flow * fixed / share
        rows.append(
            (
                f'{share:.1%}',
                f'{format_number(flow)} GB/s',
                f'{format_number(flow)} GB/s',
                f'{flow / engines:.1f} GB/s',
                f'{flow / (scale.TARGETS - engines):.1f} GB/s',
                f'{format_number(moved)} GB/s ({format_percent(moved / flow)})',
                '0',
            ),
        )
    header = (
        'prefill share | KV cache made | moved if roles follow the share '
        '| out of each prefill engine | into each decode engine '
        '| moved if roles stay at 33% | moved if every engine does both'
    )
    return format_table(header, rows)
