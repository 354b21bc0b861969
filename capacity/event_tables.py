"""Generated tables of events and of the flow of KV cache."""

import math

from capacity import target
from capacity.costs import Costs
from capacity.slopes import Results
from capacity.tables import tables
from capacity.text import percent, plain, scaled, table

_PAIR_RECORDS = 2
_SPLIT_S = 3600


@tables.register('events')
def render_events(found: Results) -> str:
    """Render what failures and restarts cost."""
    columns = [_event_cells(Costs(found, plan)) for plan in target.PLANS]
    rows = [
        (title, quantity, now, then)
        for (title, quantity, now), (_, _, then) in zip(*columns, strict=True)
    ]
    return table('event | what it costs | as built | with the proposals', rows)


def _event_cells(costs: Costs) -> list[tuple[str, str, str]]:
    plan = costs.plan
    log_rate = target.BUDGET_APPENDS_PER_S
    lost = target.NODES // target.ZONES
    left = target.NODES - lost
    lost_links = plan.links_per_entry / target.ZONES
    expired = lost * min(left, plan.expiry_writers)
    hello = costs.hello_bytes()
    connect_s = plan.links_per_entry * costs.connect_us() / 1e6
    # Each side is assumed to hold half of the entries.
    written = _records_after_split(plan) * target.NODES / 2
    restarts = target.RESTARTS_PER_DAY
    entry_restarts = restarts * target.NODES / (target.NODES + target.TARGETS)
    agents = restarts - entry_restarts
    per_agent = plan.links_per_entry * target.NODES / target.TARGETS
    start = costs.snapshot_bytes() * 4 / 3
    return [
        (
            'zone lost',
            'more requests for every entry that is left',
            percent(lost / left),
        ),
        (
            'zone lost',
            'links that each entry dials again, at most one try in 2 s each',
            plain(lost_links),
        ),
        (
            'zone lost',
            f'`entry_expired` appended for {lost} entries',
            _appends(expired, log_rate),
        ),
        (
            'region split of an hour',
            'usage records that the cut-off half appends afterwards',
            _appends(written, log_rate),
        ),
        (
            'region split of an hour',
            'counts kept by each cut-off entry',
            scaled(_SPLIT_S / 60 * _team_rows(plan) * costs.usage_row_bytes()),
        ),
        (
            '160 restarts a day',
            f'registrations and leaves of {entry_restarts:.0f} entries, a day',
            plain(entry_restarts * _PAIR_RECORDS),
        ),
        (
            '160 restarts a day',
            'one entry: processor time to set up its links',
            f'{connect_s:.2g} s',
        ),
        (
            '160 restarts a day',
            'one entry: bytes of Hello',
            scaled(plan.links_per_entry * hello),
        ),
        (
            '160 restarts a day',
            f'{agents:.0f} agents: bytes of Hello that one receives',
            scaled(per_agent * hello),
        ),
        (
            '160 restarts a day',
            'one entry leaves or registers: bytes of Hello from every entry',
            scaled(costs.announced_bytes()),
        ),
        (
            '160 restarts a day',
            'one set of home targets changes: event loop of every entry '
            'occupied',
            f'{plain(costs.placement_us() / 1e6)} s',
        ),
        (
            'start of all nodes',
            'Hello that each entry sends again as the others register, if '
            'each read has one registration',
            scaled(target.NODES * costs.announced_bytes() / 2)
            if plan is target.AS_BUILT
            else scaled(target.NODES * costs.announced_bytes()),
        ),
        (
            'start of all nodes',
            'registrations',
            _appends(target.NODES, log_rate),
        ),
        (
            'start of all nodes',
            'links, and bytes of Hello in all',
            f'{plain(target.NODES * plan.links_per_entry)}, '
            + scaled(target.NODES * plan.links_per_entry * hello),
        ),
        (
            'start of all nodes',
            'newest snapshot, read by each entry (all entries)',
            f'{scaled(start)} ({scaled(start * target.NODES)})',
        ),
    ]


def _records_after_split(plan: target.Plan) -> float:
    writers_share = plan.usage_writers / target.NODES
    return _SPLIT_S / 60 * writers_share


def _team_rows(plan: target.Plan) -> float:
    requests = target.REQUESTS_PER_S / target.NODES * 60
    return target.TEAMS * (1 - math.exp(-requests / target.TEAMS))


def _appends(records: float, rate: float) -> str:
    return f'{plain(records)} appends, {records / rate:.2g} s of the log'


@tables.register('kv')
def render_kv(_found: Results) -> str:
    """Render where the KV cache flows; all of it is calculated."""
    low = target.PREFILL_SHARE / 2
    high = target.PREFILL_SHARE * 1.5
    rows = []
    for share in (low, target.PREFILL_SHARE, high):
        flow = target.KV_GB_PER_S * share / target.PREFILL_SHARE
        engines = target.TARGETS * share
        fixed = min(share, target.PREFILL_SHARE)
        moved = flow * fixed / share
        rows.append(
            (
                f'{share:.1%}',
                f'{plain(flow)} GB/s',
                f'{plain(flow)} GB/s',
                f'{flow / engines:.1f} GB/s',
                f'{flow / (target.TARGETS - engines):.1f} GB/s',
                f'{plain(moved)} GB/s ({percent(moved / flow)})',
                '0',
            ),
        )
    header = (
        'prefill share | KV cache made | moved if roles follow the share '
        '| out of each prefill engine | into each decode engine '
        '| moved if roles stay at 33% | moved if every engine does both'
    )
    return table(header, rows)
