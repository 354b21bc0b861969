"""Computes figures from caller outcomes and executions at targets."""

import math
from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping, Sequence
from typing import Any, Final, NamedTuple

from measurement.ideal import count_certain_excess
from measurement.player import ANSWERED, Outcome
from measurement.trace import POST, STREAM, Arrival
from peridotrill.services import Service

NOT_RUN: Final = 'not_run'
_P99: Final = 0.99
_TOKENS_PER_UNIT: Final = 1000


class Observations(NamedTuple):
    """A replayed trace and its outcomes, by the number of the arrival."""

    arrivals: Sequence[Arrival]
    outcomes: Mapping[int, Outcome]


class UsageBounds(NamedTuple):
    """Range of usage that a correct report can show for a team.

    Each bound holds requests, prompt tokens and output tokens.
    """

    minimum: list[int]
    maximum: list[int]


def percentile(samples: Iterable[float], fraction: float) -> float:
    """Return a percentile by the nearest-rank method; 0 without samples.

    :param fraction: 0.99 for the 99th percentile.
    """
    ordered = sorted(samples)
    if not ordered:
        return 0
    return ordered[max(0, math.ceil(fraction * len(ordered)) - 1)]


def is_good(outcome: Outcome, service: Service) -> bool:
    """Tell if an answer is complete and within the latency target."""
    limit_s = service.latency_target.total_seconds()
    in_time = outcome.latency_s is not None and outcome.latency_s <= limit_s
    return outcome.complete and in_time


def find_good_requests(
    observed: Observations, services: Mapping[str, Service]
) -> set[int]:
    """Return the numbers of the requests that meet ``is_good``."""
    return {
        arrival.number
        for arrival in observed.arrivals
        if is_good(observed.outcomes[arrival.number], services[arrival.service])
    }


def team_p99_s(observed: Observations) -> dict[str, float]:
    """Return the p99 latency of each team.

    A failed request counts with the time until it failed; a refused one is
    left out.
    """
    times = defaultdict(list)
    for arrival in observed.arrivals:
        outcome = observed.outcomes[arrival.number]
        if outcome.outcome != NOT_RUN:
            latency_s = outcome.latency_s
            times[arrival.team].append(
                outcome.end_s if latency_s is None else latency_s
            )
    return {team: percentile(row, _P99) for team, row in times.items()}


def worst_team(observed: Observations) -> str:
    """Return the team with the highest p99 latency."""
    p99 = team_p99_s(observed)
    return max(sorted(p99), key=p99.__getitem__)


def count_failures(
    observed: Observations,
    services: Mapping[str, Service],
) -> Counter[str]:
    """Count requests that are not good, by service and error code."""
    found: Counter[str] = Counter()
    for arrival in observed.arrivals:
        outcome = observed.outcomes[arrival.number]
        if not is_good(outcome, services[arrival.service]):
            found[f'{arrival.service} {outcome.code or "late"}'] += 1
    return found


def median_latency_s(observed: Observations, service: str) -> float:
    """Return the median latency of a service, of the requests that have one."""
    times = [
        observed.outcomes[arrival.number].latency_s
        for arrival in observed.arrivals
        if arrival.service == service
    ]
    return percentile([it for it in times if it is not None], 0.5)


def good_per_s(
    observed: Observations, good: set[int], seconds: int
) -> list[int]:
    """Count the good requests by second of arrival."""
    counts = Counter(
        int(arrival.at_s)
        for arrival in observed.arrivals
        if arrival.number in good
    )
    return [counts[second] for second in range(seconds)]


def open_requests(observed: Observations, seconds: int) -> list[int]:
    """Count the waiting and running requests at each second."""
    spans = [
        (row.at_s, row.at_s + observed.outcomes[row.number].end_s)
        for row in observed.arrivals
    ]
    return [
        sum(start_s <= second < end_s for start_s, end_s in spans)
        for second in range(seconds)
    ]


def count_wrongful_refusals(
    observed: Observations, admitted: set[int]
) -> Counter[str]:
    """Count refusals of requests within their team's limit, by error code.

    :param admitted: numbers of the requests within their limit.
    """
    return Counter(
        outcome.code
        for number, outcome in observed.outcomes.items()
        if outcome.outcome == NOT_RUN and number in admitted
    )


def count_over_limit(
    observed: Observations, services: Mapping[str, Service]
) -> int:
    """Count the requests that were certainly admitted above their limit."""
    spans = defaultdict(list)
    for arrival in observed.arrivals:
        outcome = observed.outcomes[arrival.number]
        if outcome.outcome == ANSWERED and outcome.latency_s is not None:
            spans[arrival.service, arrival.team].append(
                (arrival.at_s, arrival.at_s + outcome.latency_s)
            )
    return sum(
        max(0, count_certain_excess(row, services[name].teams[team]))
        for (name, team), row in spans.items()
    )


def count_violations(
    observed: Observations, runs: Mapping[str, int]
) -> dict[str, int]:
    """Count duplicate executions, lost answers and false refusals.

    Executions are checked for non-idempotent requests only.

    :param runs: number of executions by digest of the request body.
    """
    posts = [
        observed.outcomes[arrival.number]
        for arrival in observed.arrivals
        if arrival.operation == POST
    ]
    answered = [row for row in posts if row.outcome == ANSWERED]
    return {
        'double_runs': sum(runs.get(row.body_sha256, 0) > 1 for row in posts),
        'lost_answers': sum(not runs.get(row.body_sha256) for row in answered)
        + sum(not row.complete for row in answered)
        + _count_incomplete_answers(observed),
        'false_not_run': sum(
            bool(runs.get(row.body_sha256))
            for row in posts
            if row.outcome == NOT_RUN
        ),
    }


def _count_incomplete_answers(observed: Observations) -> int:
    """Count incomplete answers without an error, other than to POST."""
    return sum(
        observed.outcomes[arrival.number].outcome == ANSWERED
        and not observed.outcomes[arrival.number].complete
        for arrival in observed.arrivals
        if arrival.operation != POST
    )


def delivered_units(
    arrivals: Iterable[Arrival], good: set[int]
) -> dict[str, float]:
    """Return the units delivered by service: 1,000 tokens or plain answers."""
    delivered: dict[str, float] = defaultdict(float)
    for arrival in arrivals:
        if arrival.number in good:
            tokens = arrival.prompt_tokens + arrival.output_tokens
            is_stream = arrival.operation == STREAM
            unit = tokens / _TOKENS_PER_UNIT if is_stream else 1
            delivered[arrival.service] += unit
    return delivered


def usage_bounds(
    observations: Iterable[Observations],
) -> dict[str, UsageBounds]:
    """Return the range of usage that correct reports can show, by team.

    A complete answer must be counted. Each attempt that was not refused may
    be counted, in part or in full.
    """
    bounds: dict[str, UsageBounds] = {}
    for observed in observations:
        for arrival in observed.arrivals:
            outcome = observed.outcomes[arrival.number]
            if arrival.team not in bounds:
                bounds[arrival.team] = UsageBounds([0, 0, 0], [0, 0, 0])
            usage = bounds[arrival.team]
            row = (1, arrival.prompt_tokens, arrival.output_tokens)
            for index, count in enumerate(row):
                usage.minimum[index] += count * outcome.complete
                # The refused attempt did not run; earlier ones may have.
                ran = outcome.attempt_count - (outcome.outcome == NOT_RUN)
                usage.maximum[index] += count * ran
    return bounds


def count_wrong_reports(
    windows: Iterable[Mapping[str, Any]],
    bounds: Mapping[str, UsageBounds],
    max_uncounted: int,
) -> int:
    """Count windows with conflicting reports and teams with wrong totals.

    :param max_uncounted: requests whose usage may be lost with killed
        entries.
    """
    wrong = 0
    sums: dict[str, list[int]] = defaultdict(lambda: [0, 0, 0])
    for window in windows:
        wrong += bool(window['conflicts'])
        for index, count in enumerate(window['figure'][1:]):
            sums[window['team']][index] += count
    for team, usage in bounds.items():
        has_too_few_requests = sums[team][0] < usage.minimum[0] - max_uncounted
        has_too_few_tokens = not max_uncounted and any(
            observed < minimum
            for observed, minimum in zip(sums[team], usage.minimum)
        )
        exceeds_maximum = any(
            observed > maximum
            for observed, maximum in zip(sums[team], usage.maximum)
        )
        wrong += has_too_few_requests or has_too_few_tokens or exceeds_maximum
    return wrong
