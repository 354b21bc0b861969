"""The generated tables of the page, by name of their marker."""

from collections.abc import Callable
from typing import Final, TypeAlias

from capacity import target
from capacity.costs import Cost, Costs
from capacity.duties import AGENT, ENTRY, HOLDER, ROLES, Role
from capacity.slopes import Results
from capacity.text import percent, plain, scaled, table
from peridotrill.registry import Registry

TableFunction: TypeAlias = Callable[[Results], str]

tables: Final[Registry[str, TableFunction]] = Registry('table')

_ROLE_HEADER: Final = (
    'duty | module | state | messages/s | bytes/s | core | memory '
    '| with the proposals: bytes/s | core | memory | mark'
)
_US_PER_S: Final = 1e6


@tables.register('slopes')
def render_slopes(found: Results) -> str:
    """Render every slope."""
    rows = []
    for name, subject in found.document['measurements'].items():
        if subject['subject'] == 'programs':
            continue
        sizes = [str(point['size']) for point in subject['points']]
        for quantity in subject['points'][0]['quantities']:
            slope = found.slope(name, quantity)
            rows.append(
                (
                    f'`{name}`',
                    subject['axis'],
                    subject['carrier'],
                    ', '.join(sizes),
                    quantity,
                    f'{slope.per_unit:.3g}',
                    f'{slope.fixed:.3g}',
                    percent(slope.residual),
                ),
            )
    header = (
        'measurement | size counts | module | points | quantity '
        '| per unit | fixed | residual'
    )
    return table(header, rows)


@tables.register('programs')
def render_programs(found: Results) -> str:
    """Render fresh processes of the programs."""
    rows = [
        (
            f'`{subject["carrier"]}`',
            scaled(found.mean(name, 'resident_bytes')),
            f'{found.mean(name, "cpu_us") / _US_PER_S:.2f} s',
        )
        for name, subject in found.document['measurements'].items()
        if subject['subject'] == 'programs'
    ]
    return table('module | resident memory | processor time to import', rows)


def _render_role(found: Results, role: Role) -> str:
    built, proposed = (Costs(found, plan) for plan in target.PLANS)
    rows = []
    sums = [Cost(), Cost()]
    for duty in role.duties:
        now, then = duty.cost(built, found), duty.cost(proposed, found)
        sums = [sums[0].plus(now), sums[1].plus(then)]
        rows.append((duty.title, duty.carrier, duty.state, *_cells(now, then)))
    rows.append(('**sum**', '', '', *_cells(sums[0], sums[1])))
    return table(_ROLE_HEADER, rows)


def _cells(now: Cost, then: Cost) -> tuple[str, ...]:
    return (
        plain(now.messages_per_s),
        scaled(now.bytes_per_s),
        percent(now.cores),
        scaled(now.memory_bytes),
        scaled(then.bytes_per_s),
        percent(then.cores),
        scaled(then.memory_bytes),
        _mark(now, then),
    )


def _mark(now: Cost, then: Cost) -> str:
    if not _excess(now):
        return 'within'
    still = _excess(then)
    if still:
        return f'**over** ({_excess(now)}), still over ({still})'
    return f'**over** ({_excess(now)}), then within'


def _excess(cost: Cost) -> str:
    found = []
    if cost.bytes_per_s > target.BUDGET_BYTES_PER_S:
        found.append('bytes')
    if cost.cores > target.BUDGET_CORES:
        found.append('core')
    if cost.memory_bytes > target.BUDGET_BYTES:
        found.append('memory')
    return ', '.join(found)


tables.register('entry')(lambda found: _render_role(found, ENTRY))
tables.register('holder')(lambda found: _render_role(found, HOLDER))
tables.register('agent')(lambda found: _render_role(found, AGENT))


@tables.register('operator')
def render_operator(found: Results) -> str:
    """Render what one publish costs."""
    rows = []
    start_us = found.mean('start_operator', 'cpu_us')
    append_us = found.per_unit('log_append', 'cpu_us')
    for plan in target.PLANS:
        costs = Costs(found, plan)
        parse_us = target.MODELS * costs.config_us()
        held = costs.config().memory_bytes + costs.usage_counts().memory_bytes
        held += found.mean('start_operator', 'resident_bytes')
        rows.append(
            (
                plan.name,
                scaled(costs.config_bytes()),
                scaled(costs.snapshot_bytes() * 4 / 3),
                f'{(start_us + parse_us + append_us) / _US_PER_S:.1f} s',
                scaled(held),
            ),
        )
    header = (
        'plan | bytes appended | bytes read (newest snapshot) '
        '| processor time (start, checking 7 files, append) | memory'
    )
    return table(header, rows)


@tables.register('log')
def render_log(found: Results) -> str:
    """Render the load of the platform's log."""
    built, proposed = (Costs(found, plan) for plan in target.PLANS)
    pairs = zip(built.flows(), proposed.flows(), strict=True)
    rows: list[tuple[str, ...]] = [
        (
            f'`{now.kind}`',
            plain(now.per_s),
            scaled(now.record_bytes),
            scaled(now.bytes_per_s),
            plain(then.per_s),
            scaled(then.record_bytes),
            scaled(then.bytes_per_s),
        )
        for now, then in pairs
    ]
    totals = [
        (
            sum(flow.per_s for flow in costs.flows()),
            sum(flow.bytes_per_s for flow in costs.flows()),
        )
        for costs in (built, proposed)
    ]
    sums: list[str] = []
    for appends, appended in totals:
        over = appends > target.BUDGET_APPENDS_PER_S
        mark = ' **over**' if over else ''
        sums.extend((plain(appends) + mark, '', scaled(appended)))
    reads = [
        (
            plain(costs.reads_per_s() * target.NODES),
            '',
            scaled(costs.log_reading().bytes_per_s * target.NODES),
        )
        for costs in (built, proposed)
    ]
    rows.extend(
        (
            (
                '**appends without snapshots**',
                *_without_snapshots(built, proposed),
            ),
            ('**all appends**', *sums),
            ('**reads by all entries**', *reads[0], *reads[1]),
        ),
    )
    header = (
        'record | per s | bytes each | bytes/s '
        '| with the proposals: per s | bytes each | bytes/s'
    )
    return table(header, rows)


def _without_snapshots(*plans: Costs) -> tuple[str, ...]:
    cells: list[str] = []
    for costs in plans:
        flows = [row for row in costs.flows() if row.kind != 'snapshot_part']
        appends = sum(flow.per_s for flow in flows)
        appended = sum(flow.bytes_per_s for flow in flows)
        cells.extend((plain(appends), '', scaled(appended)))
    return tuple(cells)


@tables.register('requests')
def render_requests(found: Results) -> str:
    """Render what requests cost an entry on its links."""
    rows = []
    for plan in target.PLANS:
        costs = Costs(found, plan)
        asked, streamed = costs.requests(), costs.chunks()
        chosen = costs.decisions()
        used = asked.cores + streamed.cores + chosen.cores
        over = used > target.BUDGET_ENTRY_CORES
        mark = ' **over**' if over else ''
        rows.append(
            (
                f'{plan.name}, {plan.links_per_entry} links',
                percent(asked.cores),
                percent(chosen.cores),
                plain(streamed.messages_per_s),
                scaled(streamed.bytes_per_s),
                percent(streamed.cores),
                percent(used) + mark,
            ),
        )
    header = (
        'plan | core for requests | core for choosing targets '
        '| batches/s with chunks | bytes/s '
        '| core for chunks | sum (half a core allowed)'
    )
    return table(header, rows)


@tables.register('config')
def render_config(found: Results) -> str:
    """Render how a change of the configuration reaches everyone."""
    change = found.slope('config_change', 'bytes')
    whole = found.slope('config_whole', 'bytes')
    whole_us = found.per_unit('config_whole', 'cpu_us')
    rows = []
    for plan in target.PLANS:
        costs = Costs(found, plan)
        delay_s = plan.read_pause_s + costs.config_us() / _US_PER_S
        delay = f'{delay_s:.1f} s of {target.BUDGET_CONFIG_S} s'
        if costs.log_reading().cores > 1:
            delay = '**over**: the reader cannot keep up with the log'
        rows.append(
            (
                plan.name,
                scaled(costs.config_bytes()),
                scaled(change.per_unit),
                scaled(max(0, whole.per_unit)),
                f'{whole_us / 1000:.2g} ms',
                f'{plain(costs.config_loop_us() / 1000)} ms',
                delay,
            ),
        )
    header = (
        'plan | bytes of a change (file with 1,100 teams) '
        '| bytes per team in the changed file '
        '| bytes per other file in force | time per other file in force '
        '| event loop occupied per change | longest delay after the append'
    )
    return table(header, rows)


@tables.register('summary')
def render_summary(found: Results) -> str:
    """Render the sums of all roles."""
    rows = []
    for role in ROLES:
        for plan in target.PLANS:
            costs = Costs(found, plan)
            total = Cost()
            for duty in role.duties:
                total = total.plus(duty.cost(costs, found))
            over = _excess(total)
            rows.append(
                (
                    role.name,
                    plan.name,
                    percent(total.cores),
                    scaled(total.memory_bytes),
                    scaled(total.bytes_per_s),
                    f'**over** ({over})' if over else 'within',
                ),
            )
    return table('role | plan | core | memory | bytes/s | mark', rows)
