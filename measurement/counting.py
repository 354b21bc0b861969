"""Figures from what callers saw and what ran at the targets."""

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
    """A played trace and what callers saw of it, by number."""

    arrivals: Sequence[Arrival]
    outcomes: Mapping[int, Outcome]


class UsageBounds(NamedTuple):
    """Least and most usage that a right report can show for a team."""

    minimum: list[int]
    maximum: list[int]


def percentile(samples: Iterable[float], fraction: float) -> float:
    """Return a sample that the given part of all does not exceed."""
    ordered = sorted(samples)
    if not ordered:
        return 0
    return ordered[max(0, math.ceil(fraction * len(ordered)) - 1)]


def is_good(outcome: Outcome, service: Service) -> bool:
    """Tell if an answer is whole and its first token or it came in time."""
    limit_s = service.latency_target.total_seconds()
    in_time = outcome.latency_s is not None and outcome.latency_s <= limit_s
    return outcome.complete and in_time


def find_good_requests(
    observed: Observations, services: Mapping[str, Service]
) -> set[int]:
    """Return the numbers of the requests that were served well."""
    return {
        arrival.number
        for arrival in observed.arrivals
        if is_good(observed.outcomes[arrival.number], services[arrival.service])
    }


def team_p99_s(observed: Observations) -> dict[str, float]:
    """Return the p99 of the time to the first token or answer by team.

    A request that failed counts with the time until it failed; a refused
    one does not count.
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
    """Return the team with the highest p99."""
    p99 = team_p99_s(observed)
    return max(sorted(p99), key=p99.__getitem__)


def count_failures(
    observed: Observations,
    services: Mapping[str, Service],
) -> Counter[str]:
    """Count what was not served well, by service and code."""
    found: Counter[str] = Counter()
    for arrival in observed.arrivals:
        outcome = observed.outcomes[arrival.number]
        if not is_good(outcome, services[arrival.service]):
            found[f'{arrival.service} {outcome.code or "late"}'] += 1
    return found


def median_latency_s(observed: Observations, service: str) -> float:
    """Return the median time to the first token or answer of a service."""
    times = [
        observed.outcomes[arrival.number].latency_s
        for arrival in observed.arrivals
        if arrival.service == service
    ]
    return percentile([it for it in times if it is not None], 0.5)


def good_per_s(
    observed: Observations, good: set[int], seconds: int
) -> list[int]:
    """Count the requests that were served well by second of arrival."""
    counts = Counter(
        int(arrival.at_s)
        for arrival in observed.arrivals
        if arrival.number in good
    )
    return [counts[second] for second in range(seconds)]


def open_requests(observed: Observations, seconds: int) -> list[int]:
    """Count the requests without an end yet, at each second."""
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
    """Return the refusals of requests within their limit, by code."""
    return Counter(
        outcome.code
        for number, outcome in observed.outcomes.items()
        if outcome.outcome == NOT_RUN and number in admitted
    )


def count_over_limit(
    observed: Observations, services: Mapping[str, Service]
) -> int:
    """Return by how many requests limits were certainly exceeded."""
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
    """Compare non-idempotent requests with what ran.

    :param runs: executions by digest of the body.
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
    """Count other answers that ended cleanly and were not whole."""
    return sum(
        observed.outcomes[arrival.number].outcome == ANSWERED
        and not observed.outcomes[arrival.number].complete
        for arrival in observed.arrivals
        if arrival.operation != POST
    )


def delivered_units(
    arrivals: Iterable[Arrival], good: set[int]
) -> dict[str, float]:
    """Return the service delivered: 1,000 tokens, or plain answers."""
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
    """Return what right reports can show for each team, requests and tokens.

    An answered request counts whole; one with another end than a refusal may
    count in part, once for each try.
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
                # A try that was refused did not run, those before may have.
                ran = outcome.attempt_count - (outcome.outcome == NOT_RUN)
                usage.maximum[index] += count * ran
    return bounds


def count_wrong_reports(
    windows: Iterable[Mapping[str, Any]],
    bounds: Mapping[str, UsageBounds],
    max_uncounted: int,
) -> int:
    """Return the windows reported twice differently, and wrong teams.

    :param lost: requests that killed entries may not have counted yet.
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
