"""The figures of one deployment from what was seen of it."""

import math
from collections.abc import Mapping
from typing import Any, Final

from measurement import counting, ideal
from measurement.run import Played, Shift
from measurement.trace import Fault

# Counts that a killed entry had not written yet: those of one flush and of
# the time that an append may take.
_UNWRITTEN_S: Final = 2.0
_P99: Final = 0.99


class Bounds:
    """What a plan that knows the trace achieves."""

    def __init__(self, shift: Shift) -> None:
        """:param shift: its trace and services."""
        engines = {
            group.service: group.target_count
            for group in shift.deployment.groups
            if group.kind == 'engine'
        }
        self.admitted = ideal.admit_ideally(shift.trace, shift.services)
        self.good = ideal.schedule_ideally(
            shift.trace, self.admitted, shift.services, engines
        )


def compute_figures(shift: Shift, played: Played) -> dict[str, Any]:
    """Return the figures of the line."""
    bounds = Bounds(shift)
    offered = len(shift.trace)
    good = counting.good_numbers(played.product, shift.services)
    good_naive = counting.good_numbers(played.naive, shift.services)
    worst = counting.worst_team(played.product)
    refused = counting.wrongful(played.product, bounds.admitted)
    refused_naive = counting.wrongful(played.naive, bounds.admitted)
    return {
        'goodput_ratio': len(good) / offered,
        'goodput_ratio_naive': len(good_naive) / offered,
        'goodput_ratio_ideal': len(bounds.good) / offered,
        # No part of the system orders a change of role yet.
        'role_changes': 0,
        'role_changes_ideal': 0,
        'worst_team_p99_s': counting.team_p99_s(played.product)[worst],
        'worst_team_p99_alone_s': counting.team_p99_s(played.alone)[worst],
        'cost_by_service': _cost(shift, good),
        'cost_by_service_naive': _cost(shift, good_naive),
        'cost_by_service_ideal': _ideal_cost(shift, bounds.good),
        'reports_late': played.late,
        'reports_wrong': _wrong_reports(shift, played),
        'wrongful_refusals': refused.total() / offered,
        'wrongful_refusals_naive': refused_naive.total() / offered,
        **_counts(shift, played),
        'withdrawn_key_s': max(played.withdrawn_s, default=None),
        'config_in_force_s': max(played.config_s, default=None),
    }


def compute_details(shift: Shift, played: Played) -> dict[str, Any]:
    """Return what explains the figures."""
    bounds = Bounds(shift)
    plays = {
        'product': played.product,
        'naive': played.naive,
        'alone': played.alone,
    }
    late_s = [row.late_s for row in played.product.outcomes.values()]
    return {
        'offered': len(shift.trace),
        'over_ideal_limit': len(shift.trace) - len(bounds.admitted),
        'worst_team': counting.worst_team(played.product),
        'team_p99_s': counting.team_p99_s(played.product),
        'team_p99_s_naive': counting.team_p99_s(played.naive),
        'median_first_s': {
            run: {
                name: counting.median_first_s(seen, name)
                for name in shift.services
            }
            for run, seen in plays.items()
        },
        'refused_wrongfully': counting.wrongful(
            played.product, bounds.admitted
        ),
        'refused_wrongfully_naive': counting.wrongful(
            played.naive, bounds.admitted
        ),
        'failures': counting.failures(played.product, shift.services),
        'failures_naive': counting.failures(played.naive, shift.services),
        'counts_naive': counting.run_counts(played.naive, played.runs),
        # Cores of the machine that nobody used, in the median second.
        'idle_cores_median': {
            run: counting.percentile(row, 0.5)
            for run, row in shift.idle_cores.items()
        },
        'changes_observed': len(played.config_s),
        'callers_late_p99_s': counting.percentile(late_s, _P99),
        'usage_reports': len(played.windows),
    }


def compute_series(shift: Shift, played: Played) -> dict[str, Any]:
    """Return goodput and open requests by second, for the plots."""
    seconds = math.ceil(shift.duration_s)
    bounds = Bounds(shift)
    plays = {'system': played.product, 'naive': played.naive}
    good = {
        run: counting.good_per_s(
            seen, counting.good_numbers(seen, shift.services), seconds
        )
        for run, seen in plays.items()
    }
    good['ideal'] = counting.good_per_s(played.product, bounds.good, seconds)
    return {
        'good_per_s': good,
        'open_requests': {
            run: counting.open_requests(seen, seconds)
            for run, seen in plays.items()
        },
        'idle_cores': {
            'system': shift.idle_cores['product'][:seconds],
            'naive': shift.idle_cores['naive'][:seconds],
        },
        'faults': [
            (round(fault.at_s, 2), f'{fault.part} {fault.kind}')
            for fault in shift.faults
        ],
    }


def rounded(figure: Any) -> Any:
    """Round all numbers of a document to four significant places."""
    if isinstance(figure, dict):
        return {name: rounded(row) for name, row in figure.items()}
    if isinstance(figure, float):
        return float(f'{figure:.4g}')
    return figure


def _counts(shift: Shift, played: Played) -> dict[str, int]:
    plays = (played.product, played.alone)
    rows = [counting.run_counts(seen, played.runs) for seen in plays]
    counts = {name: sum(row[name] for row in rows) for name in rows[0]}
    counts['over_limit'] = sum(
        counting.over_limit(seen, shift.services) for seen in plays
    )
    return counts


def _wrong_reports(shift: Shift, played: Played) -> int:
    kills = sum(map(_kills_entry, shift.faults))
    rates = (
        len(seen.arrivals) / shift.duration_s
        for seen in (played.product, played.alone)
    )
    lost = math.ceil(kills * _UNWRITTEN_S * sum(rates))
    usage = counting.usage_bounds((played.product, played.alone))
    return counting.wrong_reports(played.windows, usage, lost)


def _kills_entry(fault: Fault) -> bool:
    return fault.part == 'entry' and fault.kind == 'kill'


def _cost(shift: Shift, good: set[int]) -> dict[str, float]:
    paid_s = {
        group.service: group.target_count * shift.duration_s
        for group in shift.deployment.groups
    }
    return _by_unit(shift, good, paid_s)


def _ideal_cost(shift: Shift, good: set[int]) -> dict[str, float]:
    zones = len(shift.deployment.zones)
    paid_s = {
        name: zones * service.targets.min_per_zone * shift.duration_s
        for name, service in shift.services.items()
    }
    for name, service in shift.services.items():
        if service.kind == 'model':
            paid_s[name] = ideal.ideal_target_seconds(
                shift.trace, good, service, zones, shift.duration_s
            )
    return _by_unit(shift, good, paid_s)


def _by_unit(
    shift: Shift,
    good: set[int],
    paid_s: Mapping[str, float],
) -> dict[str, float]:
    delivered = counting.units(shift.trace, good)
    return {
        name: seconds / max(1, delivered[name])
        for name, seconds in paid_s.items()
    }
