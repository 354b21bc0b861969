"""Computes the figures, details and time series of one deployment."""

import math
from collections.abc import Mapping
from typing import Any, Final

from measurement import counting, ideal
from measurement.run import DeploymentResults, DeploymentRun
from measurement.trace import Fault

# Period of usage that is lost when an entry is killed: one flush interval
# and the time that an append may take.
_UNSAVED_USAGE_S: Final = 2.0
_P99: Final = 0.99


class IdealPlan:
    """Requests that a plan with full knowledge of the trace serves."""

    def __init__(self, deployment_run: DeploymentRun) -> None:
        """:param deployment_run: provides the trace and the services."""
        engines = {
            group.service: group.target_count
            for group in deployment_run.deployment.groups
            if group.kind == 'engine'
        }
        self.admitted = ideal.admit_ideally(
            deployment_run.trace, deployment_run.services
        )
        self.good = ideal.schedule_ideally(
            deployment_run.trace,
            self.admitted,
            deployment_run.services,
            engines,
        )


def compute_figures(
    deployment_run: DeploymentRun, results: DeploymentResults
) -> dict[str, Any]:
    """Return the figures that the program prints and the report checks."""
    ideal_plan = IdealPlan(deployment_run)
    offered = len(deployment_run.trace)
    good = counting.find_good_requests(results.product, deployment_run.services)
    good_naive = counting.find_good_requests(
        results.naive, deployment_run.services
    )
    worst = counting.worst_team(results.product)
    refused = counting.count_wrongful_refusals(
        results.product, ideal_plan.admitted
    )
    refused_naive = counting.count_wrongful_refusals(
        results.naive, ideal_plan.admitted
    )
    return {
        'goodput_ratio': len(good) / offered,
        'goodput_ratio_naive': len(good_naive) / offered,
        'goodput_ratio_ideal': len(ideal_plan.good) / offered,
        # Nothing in the system requests role changes yet.
        'role_changes': 0,
        'role_changes_ideal': 0,
        'worst_team_p99_s': counting.team_p99_s(results.product)[worst],
        'worst_team_p99_alone_s': counting.team_p99_s(results.alone)[worst],
        'cost_by_service': _compute_cost(deployment_run, good),
        'cost_by_service_naive': _compute_cost(deployment_run, good_naive),
        'cost_by_service_ideal': _compute_ideal_cost(
            deployment_run, ideal_plan.good
        ),
        'reports_late': results.late,
        'reports_wrong': _count_wrong_reports(deployment_run, results),
        'wrongful_refusals': refused.total() / offered,
        'wrongful_refusals_naive': refused_naive.total() / offered,
        **_sum_violations(deployment_run, results),
        'withdrawn_key_s': max(results.withdrawn_s, default=None),
        'config_in_force_s': max(results.config_s, default=None),
    }


def compute_details(
    deployment_run: DeploymentRun, results: DeploymentResults
) -> dict[str, Any]:
    """Return further figures that explain those of the report."""
    ideal_plan = IdealPlan(deployment_run)
    replays = {
        'product': results.product,
        'naive': results.naive,
        'alone': results.alone,
    }
    send_delay_s = [
        row.send_delay_s for row in results.product.outcomes.values()
    ]
    return {
        'offered': len(deployment_run.trace),
        'over_ideal_limit': len(deployment_run.trace)
        - len(ideal_plan.admitted),
        'worst_team': counting.worst_team(results.product),
        'team_p99_s': counting.team_p99_s(results.product),
        'team_p99_s_naive': counting.team_p99_s(results.naive),
        'median_first_s': {
            run: {
                name: counting.median_latency_s(observed, name)
                for name in deployment_run.services
            }
            for run, observed in replays.items()
        },
        'refused_wrongfully': counting.count_wrongful_refusals(
            results.product, ideal_plan.admitted
        ),
        'refused_wrongfully_naive': counting.count_wrongful_refusals(
            results.naive, ideal_plan.admitted
        ),
        'failures': counting.count_failures(
            results.product, deployment_run.services
        ),
        'failures_naive': counting.count_failures(
            results.naive, deployment_run.services
        ),
        'counts_naive': counting.count_violations(results.naive, results.runs),
        # Median of the machine's idle cores, sampled each second.
        'idle_cores_median': {
            run: counting.percentile(row, 0.5)
            for run, row in deployment_run.idle_cores.items()
        },
        'changes_observed': len(results.config_s),
        'callers_late_p99_s': counting.percentile(send_delay_s, _P99),
        'usage_reports': len(results.windows),
    }


def compute_series(
    deployment_run: DeploymentRun, results: DeploymentResults
) -> dict[str, Any]:
    """Return the values by second and the fault times for the plots."""
    seconds = math.ceil(deployment_run.duration_s)
    ideal_plan = IdealPlan(deployment_run)
    replays = {'system': results.product, 'naive': results.naive}
    good = {
        run: counting.good_per_s(
            observed,
            counting.find_good_requests(observed, deployment_run.services),
            seconds,
        )
        for run, observed in replays.items()
    }
    good['ideal'] = counting.good_per_s(
        results.product, ideal_plan.good, seconds
    )
    return {
        'good_per_s': good,
        'open_requests': {
            run: counting.open_requests(observed, seconds)
            for run, observed in replays.items()
        },
        'idle_cores': {
            'system': deployment_run.idle_cores['product'][:seconds],
            'naive': deployment_run.idle_cores['naive'][:seconds],
        },
        'faults': [
            (round(fault.at_s, 2), f'{fault.part} {fault.kind}')
            for fault in deployment_run.faults
        ],
    }


def round_figures(figure: Any) -> Any:
    """Round all floats of a document to four significant digits."""
    if isinstance(figure, dict):
        return {name: round_figures(row) for name, row in figure.items()}
    if isinstance(figure, float):
        return float(f'{figure:.4g}')
    return figure


def _sum_violations(
    deployment_run: DeploymentRun, results: DeploymentResults
) -> dict[str, int]:
    replays = (results.product, results.alone)
    rows = [
        counting.count_violations(observed, results.runs)
        for observed in replays
    ]
    counts = {name: sum(row[name] for row in rows) for name in rows[0]}
    counts['over_limit'] = sum(
        counting.count_over_limit(observed, deployment_run.services)
        for observed in replays
    )
    return counts


def _count_wrong_reports(
    deployment_run: DeploymentRun, results: DeploymentResults
) -> int:
    kills = sum(map(_kills_entry, deployment_run.faults))
    rates = (
        len(observed.arrivals) / deployment_run.duration_s
        for observed in (results.product, results.alone)
    )
    max_uncounted = math.ceil(kills * _UNSAVED_USAGE_S * sum(rates))
    usage = counting.usage_bounds((results.product, results.alone))
    return counting.count_wrong_reports(results.windows, usage, max_uncounted)


def _kills_entry(fault: Fault) -> bool:
    return fault.part == 'entry' and fault.kind == 'kill'


def _compute_cost(
    deployment_run: DeploymentRun, good: set[int]
) -> dict[str, float]:
    paid_s = {
        group.service: group.target_count * deployment_run.duration_s
        for group in deployment_run.deployment.groups
    }
    return _divide_by_units(deployment_run, good, paid_s)


def _compute_ideal_cost(
    deployment_run: DeploymentRun, good: set[int]
) -> dict[str, float]:
    zones = len(deployment_run.deployment.zones)
    paid_s = {
        name: zones * service.targets.min_per_zone * deployment_run.duration_s
        for name, service in deployment_run.services.items()
    }
    for name, service in deployment_run.services.items():
        if service.kind == 'model':
            paid_s[name] = ideal.ideal_target_seconds(
                deployment_run.trace,
                good,
                service,
                zones,
                deployment_run.duration_s,
            )
    return _divide_by_units(deployment_run, good, paid_s)


def _divide_by_units(
    deployment_run: DeploymentRun,
    good: set[int],
    paid_s: Mapping[str, float],
) -> dict[str, float]:
    delivered = counting.delivered_units(deployment_run.trace, good)
    return {
        name: seconds / max(1, delivered[name])
        for name, seconds in paid_s.items()
    }
