"""Tests of the measurement: its trace, ideal plan, counts and report."""

from collections import Counter

import pytest

from measurement import counting, ideal, report, trace
from measurement.player import ANSWERED, Outcome, make_body, make_prompt
from peridotrill.services import TeamPolicy
from standins import topology
from standins.completions import count_tokens
from standins.prepare_deployment import DEPLOYMENTS_FOLDER, load_catalog

DURATION_S = 30.0
NOT_RUN = counting.NOT_RUN


@pytest.fixture(params=list(topology.DEPLOYMENTS))
def services(request):
    return load_catalog(DEPLOYMENTS_FOLDER / request.param).services


def outcome(number, kind=ANSWERED, **fields):
    whole = kind == ANSWERED
    found = Outcome(
        number, 0.0, 0.01, 0.1, 200, '', kind, whole, f'digest-{number}', 1
    )
    return found._replace(**fields)


def posts(*outcomes, team='alpha'):
    arrivals = [
        trace.Arrival(it.number, it.number / 10, 'till', team, trace.POST)
        for it in outcomes
    ]
    return counting.Observations(arrivals, {it.number: it for it in outcomes})


def test_trace_depends_on_the_seed_alone(services):
    # Guards against runs with the same seed that are not comparable.
    rows = services.values()
    first = trace.make_trace(rows, 1, DURATION_S)
    assert first == trace.make_trace(reversed(rows), 1, DURATION_S)
    assert first != trace.make_trace(rows, 2, DURATION_S)
    assert trace.make_faults(1, DURATION_S) == trace.make_faults(1, DURATION_S)
    assert [it.number for it in first] == list(range(len(first)))
    assert all(0 <= it.at_s < DURATION_S for it in first)


def test_trace_has_all_teams_bursts_and_a_changing_mix(services):
    # Guards against a trace that lacks the load that the figures measure.
    arrivals = trace.make_trace(services.values(), 1, DURATION_S)
    pairs = {(it.service, it.team) for it in arrivals}
    assert pairs == {
        (name, team) for name, row in services.items() for team in row.teams
    }
    bursting = trace.bursting_team(services.values())
    rate = sum(row.teams[bursting].rate_per_s for row in services.values())
    starts = [int(it.at_s) for it in arrivals if it.team == bursting]
    assert max(Counter(starts).values()) > 2 * rate
    sizes = [it for it in arrivals if it.operation == trace.STREAM]
    ratios = [it.prompt_tokens / it.output_tokens for it in sizes]
    assert max(ratios) > 10 * min(ratios)


def test_each_kind_of_fault_occurs_once_for_each_part():
    # Guards against a run that omits a kind of fault.
    faults = trace.make_faults(3, DURATION_S)
    pairs = Counter((it.part, it.kind) for it in faults)
    assert pairs == Counter(
        (part, kind) for part in trace.FAULT_PARTS for kind in trace.FAULT_KINDS
    )
    assert max(it.at_s + it.duration_s for it in faults) < DURATION_S


def test_bodies_are_unique_and_have_the_requested_size():
    # Guards against executions attributed to the wrong request, which happens
    # if two requests have the same body.
    row = trace.Arrival(1, 0.0, 'assistant', 'alpha', trace.STREAM, 400, 20)
    others = [row, row._replace(number=2), row._replace(operation=trace.POST)]
    bodies = {make_body(run, it, 'm') for run in 'ab' for it in others}
    assert len(bodies) == 6
    assert count_tokens(make_prompt('a', row)) == 400


def test_ideal_bucket_admits_burst_then_rate():
    bucket = ideal.TokenBucket(2, 3)
    assert [bucket.take(0) for _ in range(4)] == [True] * 3 + [False]
    assert bucket.take(0.5)
    assert not bucket.take(0.6)
    # The bucket never holds more tokens than the burst.
    assert [bucket.take(100) for _ in range(4)] == [True] * 3 + [False]


def test_ideal_plan_drops_requests_that_cannot_be_served_in_time(services):
    model = next(row for row in services.values() if row.kind == 'model')
    team = next(iter(model.teams))
    jobs = [
        trace.Arrival(it, 0.0, model.name, team, trace.STREAM, 2000, 10)
        for it in range(100)
    ]
    good = ideal.schedule_ideally(
        jobs, {it.number for it in jobs}, services, {model.name: 2}
    )
    limit_s = model.latency_target.total_seconds()
    assert len(good) == 2 * int(limit_s / ideal.min_prefill_s(jobs[0]))


def test_excess_is_counted_only_if_it_is_certain():
    # Guards against a late answer being counted as an exceeded limit.
    policy = TeamPolicy(1.0, 2, 1.0)
    assert ideal.count_certain_excess([(0.0, 0.1)] * 2, policy) == 0
    assert ideal.count_certain_excess([(0.0, 0.1)] * 4, policy) == 2
    assert (
        ideal.count_certain_excess([(0.0, 0.1)] * 2 + [(0.0, 2.5)], policy) == 0
    )


def test_violations_are_counted():
    # Guards against violations that go unnoticed.
    observed = posts(
        outcome(1),
        outcome(2),
        outcome(3, NOT_RUN),
        outcome(4, NOT_RUN),
        outcome(5, complete=False),
        outcome(6, 'unknown'),
    )
    runs = {'digest-1': 2, 'digest-3': 1, 'digest-5': 1, 'digest-6': 1}
    assert counting.count_violations(observed, runs) == {
        'double_runs': 1,
        'lost_answers': 2,
        'false_not_run': 1,
    }


def test_refusal_is_wrongful_only_within_the_limit():
    observed = posts(
        outcome(1, NOT_RUN, code='rate_limited'),
        outcome(2, NOT_RUN, code='rate_limited'),
        outcome(3),
    )
    assert counting.count_wrongful_refusals(observed, {1, 3}) == {
        'rate_limited': 1
    }


def test_p99_counts_failures_and_leaves_out_refusals():
    observed = posts(
        outcome(1),
        outcome(2, 'broken', latency_s=None, end_s=9.0),
        outcome(3, NOT_RUN, latency_s=None, end_s=50.0),
    )
    assert counting.team_p99_s(observed) == {'alpha': 9.0}


@pytest.mark.parametrize(
    ('requests', 'conflicts', 'wrong'),
    [(2, 0, 0), (1, 0, 1), (4, 0, 1), (2, 1, 1), (3, 0, 0)],
)
def test_wrong_reports_are_counted(requests, conflicts, wrong):
    # Two complete answers and a request with an unknown outcome.
    observed = posts(outcome(1), outcome(2), outcome(3, 'unknown'))
    windows = [
        {
            'team': 'alpha',
            'conflicts': conflicts,
            'figure': [60, requests, 0, 0],
        }
    ]
    bounds = counting.usage_bounds([observed])
    assert (
        counting.count_wrong_reports(windows, bounds, max_uncounted=0) == wrong
    )


def test_usage_of_an_attempt_before_a_refusal_is_allowed():
    # Guards against a correct report being counted as wrong because it includes
    # an attempt that ran before the refusal.
    bounds = counting.usage_bounds(
        [posts(outcome(1, NOT_RUN, attempt_count=2))]
    )
    assert bounds['alpha'].maximum[0] == 1


def test_missed_requirements_are_listed():
    # Guards against a missed requirement being reported as met.
    found = {
        'goodput_ratio': 0.9,
        'goodput_ratio_naive': 0.5,
        'goodput_ratio_ideal': 0.99,
        'worst_team_p99_s': 3.0,
        'worst_team_p99_alone_s': 2.0,
        'cost_by_service': {'till': 1.2},
        'cost_by_service_ideal': {'till': 1.0},
        'wrongful_refusals': 0.0009,
        'wrongful_refusals_naive': 0.01,
        'double_runs': 0,
        'lost_answers': 1,
        'false_not_run': 0,
        'over_limit': 0,
        'withdrawn_key_s': None,
        'config_in_force_s': 5.0,
    }
    assert report.list_missed_requirements({'line': {'saltbush': found}}) == [
        'saltbush goodput_ratio: at least 0.95 of the ideal',
        'saltbush cost_by_service: at most 1.15 of the ideal',
        'saltbush lost_answers: 0',
        'saltbush withdrawn_key_s: at most 5 s',
    ]
