"""Writes ``docs/MEASUREMENTS.md`` and its plots from the latest results."""

import json
from collections.abc import Callable, Iterable, Iterator, Mapping
from pathlib import Path
from typing import Any, Final, NamedTuple

import matplotlib as mpl
from matplotlib import pyplot

ROOT: Final = Path(__file__).parent.parent
LATEST_RESULTS: Final = ROOT / 'measurements' / 'latest.json'
PAGE: Final = ROOT / 'docs' / 'MEASUREMENTS.md'
PLOTS: Final = ROOT / 'docs' / 'measurements'
BEGIN: Final = '<!-- tables: begin -->'
END: Final = '<!-- tables: end -->'
_PLOT_SIZE: Final = (9, 8)
_SUBPLOTS: Final = (
    ('good_per_s', 'good requests per s'),
    ('open_requests', 'open requests'),
    ('idle_cores', 'idle cores of the machine'),
)


class Requirement(NamedTuple):
    """A requirement on a figure: its criterion as text and as a check."""

    name: str
    criterion: str
    is_met: Callable[[Mapping[str, Any]], bool]


def _at_most(name: str, limit: float) -> Callable[[Mapping[str, Any]], bool]:
    return lambda figures: figures[name] is not None and figures[name] <= limit


def _is_cheap(figures: Mapping[str, Any]) -> bool:
    ideal = figures['cost_by_service_ideal']
    return all(
        cost <= ideal[service] * 1.15
        for service, cost in figures['cost_by_service'].items()
    )


DEPLOYMENT_REQUIREMENTS: Final = (
    Requirement(
        'goodput_ratio',
        'at least 0.95 of the ideal',
        lambda it: it['goodput_ratio'] >= 0.95 * it['goodput_ratio_ideal'],
    ),
    Requirement(
        'goodput_ratio',
        'above the naive',
        lambda it: it['goodput_ratio'] > it['goodput_ratio_naive'],
    ),
    Requirement(
        'worst_team_p99_s',
        'at most 1.5 times alone',
        lambda it: it['worst_team_p99_s'] <= 1.5 * it['worst_team_p99_alone_s'],
    ),
    Requirement('cost_by_service', 'at most 1.15 of the ideal', _is_cheap),
    Requirement(
        'wrongful_refusals',
        'at most 0.1%',
        _at_most('wrongful_refusals', 0.001),
    ),
    Requirement(
        'wrongful_refusals',
        "under a tenth of the naive's",
        lambda it: it['wrongful_refusals'] < it['wrongful_refusals_naive'] / 10,
    ),
    Requirement('double_runs', '0', _at_most('double_runs', 0)),
    Requirement('lost_answers', '0', _at_most('lost_answers', 0)),
    Requirement('false_not_run', '0', _at_most('false_not_run', 0)),
    Requirement('over_limit', '0', _at_most('over_limit', 0)),
    Requirement(
        'withdrawn_key_s', 'at most 5 s', _at_most('withdrawn_key_s', 5)
    ),
    Requirement(
        'config_in_force_s', 'at most 5 s', _at_most('config_in_force_s', 5)
    ),
)
NODE_REQUIREMENTS: Final = (
    Requirement(
        'added_latency_p50_ms',
        'under 5 ms',
        lambda it: it['added_latency_p50_ms'] < 5,
    ),
    Requirement(
        'requests_per_s',
        'at least 31 requests/s',
        lambda it: it['requests_per_s'] >= 31,
    ),
    Requirement(
        'tokens_per_s',
        'at least 6,900 tokens/s',
        lambda it: it['tokens_per_s'] >= 6900,
    ),
    Requirement('cpu_ratio', 'at most half a core', _at_most('cpu_ratio', 0.5)),
)


def list_missed_requirements(measured: Mapping[str, Any]) -> list[str]:
    """Describe the requirements that a run missed."""
    return [
        f'{part} {requirement.name}: {requirement.criterion}'
        for part, figures in measured['line'].items()
        for requirement in _requirements_of(part)
        if not requirement.is_met(figures)
    ]


def write_report(measured: Mapping[str, Any]) -> None:
    """Update the tables between the markers of the page, and the plots."""
    PLOTS.mkdir(exist_ok=True)
    for name, series in measured['series'].items():
        _plot(name, series)
    page = PAGE.read_text('utf-8')
    head, _, rest = page.partition(BEGIN)
    tail = rest.partition(END)[2]
    tables = '\n'.join(_tables(measured))
    PAGE.write_text(f'{head}{BEGIN}\n{tables}\n{END}{tail}', 'utf-8')


def _requirements_of(part: str) -> tuple[Requirement, ...]:
    return NODE_REQUIREMENTS if part == 'node' else DEPLOYMENT_REQUIREMENTS


def _tables(measured: Mapping[str, Any]) -> Iterator[str]:
    settings = measured['settings']
    yield f'Seed {settings["seed"]}; settings:'
    yield ''
    yield from _table(('setting', 'value'), settings.items())
    for part, figures in measured['line'].items():
        yield f'\n### {part}\n'
        yield from _table(
            ('figure', 'measured'),
            (
                (f'`{name}`', _format_figure(figure))
                for name, figure in figures.items()
            ),
        )
        yield ''
        yield from _table(
            ('figure', 'requirement', 'result'),
            (
                (
                    f'`{requirement.name}`',
                    requirement.criterion,
                    'met' if requirement.is_met(figures) else '**missed**',
                )
                for requirement in _requirements_of(part)
            ),
        )
        if part == 'node':
            yield '\nCPU time under load, as a ratio of one core:\n'
            yield from _table(
                ('process', 'measured'), measured['details'][part].items()
            )
        if part in measured['series']:
            yield f'\n![{part}](measurements/{part}.svg)'
            idle = _format_figure(
                measured['details'][part]['idle_cores_median']
            )
            yield f'\nMedian of the idle cores of the machine: {idle}.'
            yield '\nFailed, refused and late requests, by service and code:\n'
            yield from _failures(measured['details'][part])


def _failures(details: Mapping[str, Any]) -> Iterator[str]:
    naive = details['failures_naive']
    names = sorted({*details['failures'], *naive})
    yield from _table(
        ('service and code', 'system', 'naive'),
        (
            (name, details['failures'].get(name, 0), naive.get(name, 0))
            for name in names
        ),
    )


def _table(
    head: tuple[str, ...],
    rows: Iterable[tuple[Any, ...]],
) -> Iterator[str]:
    yield _row(head)
    yield _row('---' for _ in head)
    yield from map(_row, rows)


def _row(cells: Iterable[Any]) -> str:
    return '| {0} |'.format(' | '.join(map(str, cells)))


def _format_figure(figure: Any) -> str:
    if isinstance(figure, dict):
        return ', '.join(f'{name} {part}' for name, part in figure.items())
    return str(figure)


def _plot(name: str, series: Mapping[str, Any]) -> None:
    # Fixed ids and no date make the output reproducible.
    mpl.rcParams['svg.hashsalt'] = name
    figure, rows = pyplot.subplots(
        len(_SUBPLOTS), sharex=True, figsize=_PLOT_SIZE
    )
    for axes, (part, label) in zip(rows, _SUBPLOTS):
        for run, row in series[part].items():
            axes.plot(row, label=run)
        axes.set_ylabel(label)
        axes.set_ylim(bottom=0)
        for at_s, _ in series['faults']:
            axes.axvline(at_s, color='0.85', zorder=0)
    figure.legend(*rows[0].get_legend_handles_labels(), loc='upper right')
    for at_s, fault in series['faults']:
        rows[0].text(
            at_s,
            1,
            f' {fault}',
            rotation=90,
            fontsize=6,
            va='top',
            transform=rows[0].get_xaxis_transform(),
        )
    rows[-1].set_xlabel('time since the start of the trace (s)')
    figure.suptitle(f'{name}: goodput and open requests during the trace')
    figure.savefig(
        PLOTS / f'{name}.svg',
        metadata={'Date': None},
    )
    pyplot.close(figure)


def main() -> None:
    """Rewrite the report from the latest results."""
    write_report(json.loads(LATEST_RESULTS.read_text('utf-8')))


if __name__ == '__main__':
    main()
