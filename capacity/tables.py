"""Generated tables of the page, registered by marker name."""

from collections.abc import Callable
from typing import Final, TypeAlias

from capacity import scale
from capacity.costs import Cost, Costs
from capacity.duties import AGENT, ENTRY, HOLDER, ROLES, Role
from capacity.formatting import (
    format_number,
    format_percent,
    format_scaled,
    format_table,
)
from capacity.results import Results
from peridotrill.registry import Registry

TableFunction: TypeAlias = Callable[[Results], str]

tables: Final[Registry[str, TableFunction]] = Registry('table')

_ROLE_HEADER: Final = (
    'duty | module | state | messages/s | bytes/s | core | memory '
    '| with the proposals: bytes/s | core | memory | mark'
)
_US_PER_S: Final = 1e6


@tables.register('slopes')
def render_slopes(results: Results) -> str:
    """Render the linear fit of every measured quantity."""
    rows = []
    for name, subject in results.document['measurements'].items():
        if subject['subject'] == 'programs':
            continue
        sizes = [str(point['size']) for point in subject['points']]
        for quantity in subject['points'][0]['quantities']:
            linear_fit = results.linear_fit(name, quantity)
            rows.append(
                (
                    f'`{name}`',
                    subject['axis'],
                    subject['carrier'],
                    ', '.join(sizes),
                    quantity,
                    f'{linear_fit.per_unit:.3g}',
                    f'{linear_fit.fixed:.3g}',
                    format_percent(linear_fit.residual),
                ),
            )
    header = (
        'measurement | size counts | module | points | quantity '
        '| per unit | fixed | residual'
    )
    return format_table(header, rows)


@tables.register('programs')
def render_programs(results: Results) -> str:
    """Render the memory and startup time of the programs."""
    rows = [
        (
            f'`{subject["carrier"]}`',
            format_scaled(results.mean(name, 'resident_bytes')),
            f'{results.mean(name, "cpu_us") / _US_PER_S:.2f} s',
        )
        for name, subject in results.document['measurements'].items()
        if subject['subject'] == 'programs'
    ]
    return format_table(
        'module | resident memory | processor time to import', rows
    )


def _render_role(results: Results, role: Role) -> str:
    built, proposed = (Costs(results, plan) for plan in scale.PLANS)
    rows = []
    sums = [Cost(), Cost()]
    for duty in role.duties:
        current, planned = (
            duty.cost(built, results),
            duty.cost(proposed, results),
        )
        sums = [sums[0].plus(current), sums[1].plus(planned)]
        rows.append(
            (duty.title, duty.carrier, duty.state, *_cells(current, planned))
        )
    rows.append(('**sum**', '', '', *_cells(sums[0], sums[1])))
    return format_table(_ROLE_HEADER, rows)


def _cells(current: Cost, planned: Cost) -> tuple[str, ...]:
    return (
        format_number(current.messages_per_s),
        format_scaled(current.bytes_per_s),
        format_percent(current.cores),
        format_scaled(current.memory_bytes),
        format_scaled(planned.bytes_per_s),
        format_percent(planned.cores),
        format_scaled(planned.memory_bytes),
        _budget_status(current, planned),
    )


def _budget_status(current: Cost, planned: Cost) -> str:
    if not _exceeded_budgets(current):
        return 'within'
    still_over = _exceeded_budgets(planned)
    if still_over:
        return (
            f'**over** ({_exceeded_budgets(current)}), '
            f'still over ({still_over})'
        )
    return f'**over** ({_exceeded_budgets(current)}), then within'


def _exceeded_budgets(cost: Cost) -> str:
    exceeded = []
    if cost.bytes_per_s > scale.BUDGET_BYTES_PER_S:
        exceeded.append('bytes')
    if cost.cores > scale.BUDGET_CORES:
        exceeded.append('core')
    if cost.memory_bytes > scale.BUDGET_MEMORY_BYTES:
        exceeded.append('memory')
    return ', '.join(exceeded)


tables.register('entry')(lambda results: _render_role(results, ENTRY))
tables.register('holder')(lambda results: _render_role(results, HOLDER))
tables.register('agent')(lambda results: _render_role(results, AGENT))


@tables.register('operator')
def render_operator(results: Results) -> str:
    """Render the cost of publishing a configuration change."""
    rows = []
    start_us = results.mean('start_operator', 'cpu_us')
    append_us = results.per_unit('log_append', 'cpu_us')
    for plan in scale.PLANS:
        costs = Costs(results, plan)
        parse_us = scale.MODELS * costs.config_us()
        held_bytes = (
            costs.config().memory_bytes + costs.usage_counts().memory_bytes
        )
        held_bytes += results.mean('start_operator', 'resident_bytes')
        rows.append(
            (
                plan.name,
                format_scaled(costs.config_bytes()),
                format_scaled(costs.snapshot_bytes() * 4 / 3),
                f'{(start_us + parse_us + append_us) / _US_PER_S:.1f} s',
                format_scaled(held_bytes),
            ),
        )
    header = (
        'plan | bytes appended | bytes read (newest snapshot) '
        '| processor time (start, checking 7 files, append) | memory'
    )
    return format_table(header, rows)


@tables.register('log')
def render_log(results: Results) -> str:
    """Render the load on the log of the platform."""
    built, proposed = (Costs(results, plan) for plan in scale.PLANS)
    pairs = zip(built.flows(), proposed.flows(), strict=True)
    rows: list[tuple[str, ...]] = [
        (
            f'`{current.kind}`',
            format_number(current.per_s),
            format_scaled(current.record_bytes),
            format_scaled(current.bytes_per_s),
            format_number(planned.per_s),
            format_scaled(planned.record_bytes),
            format_scaled(planned.bytes_per_s),
        )
        for current, planned in pairs
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
        over = appends > scale.BUDGET_APPENDS_PER_S
        mark = ' **over**' if over else ''
        sums.extend(
            (format_number(appends) + mark, '', format_scaled(appended))
        )
    reads = [
        (
            format_number(costs.reads_per_s() * scale.NODES),
            '',
            format_scaled(costs.log_processing().bytes_per_s * scale.NODES),
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
    return format_table(header, rows)


def _without_snapshots(*plans: Costs) -> tuple[str, ...]:
    cells: list[str] = []
    for costs in plans:
        flows = [row for row in costs.flows() if row.kind != 'snapshot_part']
        appends = sum(flow.per_s for flow in flows)
        appended = sum(flow.bytes_per_s for flow in flows)
        cells.extend((format_number(appends), '', format_scaled(appended)))
    return tuple(cells)


@tables.register('requests')
def render_requests(results: Results) -> str:
    """Render the cost of requests at an entry."""
    rows = []
    for plan in scale.PLANS:
        costs = Costs(results, plan)
        request_cost, chunk_cost = costs.requests(), costs.chunks()
        selection_cost = costs.decisions()
        used_cores = (
            request_cost.cores + chunk_cost.cores + selection_cost.cores
        )
        over = used_cores > scale.BUDGET_ENTRY_CORES
        mark = ' **over**' if over else ''
        rows.append(
            (
                f'{plan.name}, {plan.links_per_entry} links',
                format_percent(request_cost.cores),
                format_percent(selection_cost.cores),
                format_number(chunk_cost.messages_per_s),
                format_scaled(chunk_cost.bytes_per_s),
                format_percent(chunk_cost.cores),
                format_percent(used_cores) + mark,
            ),
        )
    header = (
        'plan | core for requests | core for choosing targets '
        '| batches/s with chunks | bytes/s '
        '| core for chunks | sum (half a core allowed)'
    )
    return format_table(header, rows)


@tables.register('config')
def render_config(results: Results) -> str:
    """Render the size and delay of a configuration change."""
    change = results.linear_fit('config_change', 'bytes')
    whole = results.linear_fit('config_whole', 'bytes')
    whole_us = results.per_unit('config_whole', 'cpu_us')
    rows = []
    for plan in scale.PLANS:
        costs = Costs(results, plan)
        delay_s = plan.read_pause_s + costs.config_us() / _US_PER_S
        delay = f'{delay_s:.1f} s of {scale.BUDGET_CONFIG_S} s'
        if costs.log_processing().cores > 1:
            delay = '**over**: the reader cannot keep up with the log'
        rows.append(
            (
                plan.name,
                format_scaled(costs.config_bytes()),
                format_scaled(change.per_unit),
                format_scaled(max(0, whole.per_unit)),
                f'{whole_us / 1000:.2g} ms',
                f'{format_number(costs.config_loop_us() / 1000)} ms',
                delay,
            ),
        )
    header = (
        'plan | bytes of a change (file with 1,100 teams) '
        '| bytes per team in the changed file '
        '| bytes per other file in force | time per other file in force '
        '| event loop occupied per change | longest delay after the append'
    )
    return format_table(header, rows)


@tables.register('summary')
def render_summary(results: Results) -> str:
    """Render the total cost of each role."""
    rows = []
    for role in ROLES:
        for plan in scale.PLANS:
            costs = Costs(results, plan)
            total = Cost()
            for duty in role.duties:
                total = total.plus(duty.cost(costs, results))
            over = _exceeded_budgets(total)
            rows.append(
                (
                    role.name,
                    plan.name,
                    format_percent(total.cores),
                    format_scaled(total.memory_bytes),
                    format_scaled(total.bytes_per_s),
                    f'**over** ({over})' if over else 'within',
                ),
            )
    return format_table('role | plan | core | memory | bytes/s | mark', rows)
