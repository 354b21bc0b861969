"""Figures from what callers saw and what ran at the targets."""

import math
from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping, Sequence
from typing import Any, Final, NamedTuple

from measurement.ideal import excess
from measurement.player import ANSWERED, Outcome
from measurement.trace import POST, STREAM, Arrival
from peridotrill.services import Service

NOT_RUN: Final = 'not_run'
_P99: Final = 0.99
_TOKENS_PER_UNIT: Final = 1000


class Seen(NamedTuple):
    """A played trace and what callers saw of it, by number."""

    arrivals: Sequence[Arrival]
    outcomes: Mapping[int, Outcome]


class Usage(NamedTuple):
    """Least and most usage that a right report can show for a team."""

    least: list[int]
    most: list[int]


def percentile(samples: Iterable[float], part: float) -> float:
    """Return a sample that the given part of all does not exceed."""
    ordered = sorted(samples)
    if not ordered:
        return 0
    return ordered[max(0, math.ceil(part * len(ordered)) - 1)]


def is_good(outcome: Outcome, service: Service) -> bool:
    """Tell if an answer is whole and its first token or it came in time."""
    limit_s = service.latency_target.total_seconds()
    in_time = outcome.first_s is not None and outcome.first_s <= limit_s
    return outcome.complete and in_time


def good_numbers(seen: Seen, services: Mapping[str, Service]) -> set[int]:
    """Return the numbers of the requests that were served well."""
    return {
        arrival.number
        for arrival in seen.arrivals
        if is_good(seen.outcomes[arrival.number], services[arrival.service])
    }


def team_p99_s(seen: Seen) -> dict[str, float]:
    """Return the p99 of the time to the first token or answer by team.

    A request that failed counts with the time until it failed; a refused
    one does not count.
    """
    times = defaultdict(list)
    for arrival in seen.arrivals:
        outcome = seen.outcomes[arrival.number]
        if outcome.outcome != NOT_RUN:
            first_s = outcome.first_s
            times[arrival.team].append(
                outcome.end_s if first_s is None else first_s
            )
    return {team: percentile(row, _P99) for team, row in times.items()}


def worst_team(seen: Seen) -> str:
    """Return the team with the highest p99."""
    p99 = team_p99_s(seen)
    return max(sorted(p99), key=p99.__getitem__)


def failures(
    seen: Seen,
    services: Mapping[str, Service],
) -> Counter[str]:
    """Count what was not served well, by service and code."""
    found: Counter[str] = Counter()
    for arrival in seen.arrivals:
        outcome = seen.outcomes[arrival.number]
        if not is_good(outcome, services[arrival.service]):
            found[f'{arrival.service} {outcome.code or "late"}'] += 1
    return found


def median_first_s(seen: Seen, service: str) -> float:
    """Return the median time to the first token or answer of a service."""
    times = [
        seen.outcomes[arrival.number].first_s
        for arrival in seen.arrivals
        if arrival.service == service
    ]
    return percentile([it for it in times if it is not None], 0.5)


def good_per_s(seen: Seen, good: set[int], seconds: int) -> list[int]:
    """Count the requests that were served well by second of arrival."""
    counts = Counter(
        int(arrival.at_s) for arrival in seen.arrivals if arrival.number in good
    )
    return [counts[second] for second in range(seconds)]


def open_requests(seen: Seen, seconds: int) -> list[int]:
    """Count the requests without an end yet, at each second."""
    spans = [
        (row.at_s, row.at_s + seen.outcomes[row.number].end_s)
        for row in seen.arrivals
    ]
    return [
        sum(start_s <= second < end_s for start_s, end_s in spans)
        for second in range(seconds)
    ]


def wrongful(seen: Seen, admitted: set[int]) -> Counter[str]:
    """Return the refusals of requests within their limit, by code."""
    return Counter(
        outcome.code
        for number, outcome in seen.outcomes.items()
        if outcome.outcome == NOT_RUN and number in admitted
    )


def over_limit(seen: Seen, services: Mapping[str, Service]) -> int:
    """Return by how many requests limits were certainly exceeded."""
    spans = defaultdict(list)
    for arrival in seen.arrivals:
        outcome = seen.outcomes[arrival.number]
        if outcome.outcome == ANSWERED and outcome.first_s is not None:
            spans[arrival.service, arrival.team].append(
                (arrival.at_s, arrival.at_s + outcome.first_s)
            )
    return sum(
        max(0, excess(row, services[name].teams[team]))
        for (name, team), row in spans.items()
    )


def run_counts(seen: Seen, runs: Mapping[str, int]) -> dict[str, int]:
    """Compare non-idempotent requests with what ran.

    :param runs: executions by digest of the body.
    """
    posts = [
        seen.outcomes[arrival.number]
        for arrival in seen.arrivals
        if arrival.operation == POST
    ]
    answered = [row for row in posts if row.outcome == ANSWERED]
    return {
        'double_runs': sum(runs.get(row.body_sha256, 0) > 1 for row in posts),
        'lost_answers': sum(not runs.get(row.body_sha256) for row in answered)
        + sum(not row.complete for row in answered)
        + _cut_answers(seen),
        'false_not_run': sum(
            bool(runs.get(row.body_sha256))
            for row in posts
            if row.outcome == NOT_RUN
        ),
    }


def _cut_answers(seen: Seen) -> int:
    """Count other answers that ended cleanly and were not whole."""
    return sum(
        seen.outcomes[arrival.number].outcome == ANSWERED
        and not seen.outcomes[arrival.number].complete
        for arrival in seen.arrivals
        if arrival.operation != POST
    )


def units(arrivals: Iterable[Arrival], good: set[int]) -> dict[str, float]:
    """Return the service delivered: 1,000 tokens, or plain answers."""
    delivered: dict[str, float] = defaultdict(float)
    for arrival in arrivals:
        if arrival.number in good:
            tokens = arrival.prompt_tokens + arrival.output_tokens
            is_stream = arrival.operation == STREAM
            unit = tokens / _TOKENS_PER_UNIT if is_stream else 1
            delivered[arrival.service] += unit
    return delivered


def usage_bounds(plays: Iterable[Seen]) -> dict[str, Usage]:
    """Return what right reports can show for each team, requests and tokens.

    An answered request counts whole; one with another end than a refusal may
    count in part, once for each try.
    """
    bounds: dict[str, Usage] = {}
    for seen in plays:
        for arrival in seen.arrivals:
            outcome = seen.outcomes[arrival.number]
            if arrival.team not in bounds:
                bounds[arrival.team] = Usage([0, 0, 0], [0, 0, 0])
            usage = bounds[arrival.team]
            row = (1, arrival.prompt_tokens, arrival.output_tokens)
            for place, count in enumerate(row):
                usage.least[place] += count * outcome.complete
                # A try that was refused did not run, those before may have.
                ran = outcome.tries - (outcome.outcome == NOT_RUN)
                usage.most[place] += count * ran
    return bounds


def wrong_reports(
    windows: Iterable[Mapping[str, Any]],
    bounds: Mapping[str, Usage],
    lost: int,
) -> int:
    """Return the windows reported twice differently, and wrong teams.

    :param lost: requests that killed entries may not have counted yet.
    """
    wrong = 0
    sums: dict[str, list[int]] = defaultdict(lambda: [0, 0, 0])
    for window in windows:
        wrong += bool(window['conflicts'])
        for place, count in enumerate(window['figure'][1:]):
            sums[window['team']][place] += count
    for team, usage in bounds.items():
        is_low = sums[team][0] < usage.least[0] - lost
        tokens_low = not lost and any(
            seen < least for seen, least in zip(sums[team], usage.least)
        )
        is_high = any(seen > most for seen, most in zip(sums[team], usage.most))
        wrong += is_low or tokens_low or is_high
    return wrong
