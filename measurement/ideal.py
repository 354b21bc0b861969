"""Offline bounds, computed with knowledge of the whole trace."""

import heapq
import math
from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence
from typing import Final

from measurement.trace import STREAM, Arrival
from peridotrill.services import Service, TeamPolicy
from standins.batching import (
    DECODE_TOKEN_S,
    PREFILL_TOKEN_S,
    PREFILL_TOKENS_PER_STEP,
    STEP_OVERHEAD_S,
)

# Largest batch of the stand-in engine. Its sequences share the fixed time of
# a step.
_MAX_BATCH_SIZE: Final = 32
_PLAN_WINDOW_S: Final = 5
_EPSILON: Final = 1e-9


class TokenBucket:
    """A token bucket that is full at the start."""

    def __init__(self, rate_per_s: float, burst: float) -> None:
        """:param burst: capacity in tokens."""
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._tokens = burst
        self._refilled_at_s = 0.0

    def take(self, now_s: float) -> bool:
        """Take one token; returns False if there is none."""
        refill = (now_s - self._refilled_at_s) * self._rate_per_s
        self._tokens = min(self._burst, self._tokens + max(0, refill))
        self._refilled_at_s = max(self._refilled_at_s, now_s)
        if self._tokens + _EPSILON < 1:
            return False
        self._tokens -= 1
        return True


def admit_ideally(
    arrivals: Iterable[Arrival],
    services: Mapping[str, Service],
) -> set[int]:
    """Return the numbers of the requests within their team's limit.

    Each limit is one token bucket for all entries together.
    """
    buckets: dict[tuple[str, str], TokenBucket] = {}
    admitted = set()
    for arrival in arrivals:
        pair = (arrival.service, arrival.team)
        if pair not in buckets:
            policy = services[arrival.service].teams[arrival.team]
            buckets[pair] = TokenBucket(policy.rate_per_s, policy.burst)
        if buckets[pair].take(arrival.at_s):
            admitted.add(arrival.number)
    return admitted


def min_prefill_s(arrival: Arrival) -> float:
    """Return the minimum engine time until the first token."""
    steps = arrival.prompt_tokens / PREFILL_TOKENS_PER_STEP
    return steps * STEP_OVERHEAD_S + arrival.prompt_tokens * PREFILL_TOKEN_S


def min_engine_s(arrival: Arrival) -> float:
    """Return the minimum engine time of a request, at full batches."""
    decode_s = arrival.output_tokens * (
        DECODE_TOKEN_S + STEP_OVERHEAD_S / _MAX_BATCH_SIZE
    )
    return arrival.prompt_tokens * PREFILL_TOKEN_S + decode_s


def schedule_ideally(
    arrivals: Sequence[Arrival],
    admitted: set[int],
    services: Mapping[str, Service],
    engines: Mapping[str, int],
) -> set[int]:
    """Return the requests that an ideal plan without faults serves in time.

    The prefills of a model service form one queue for all its engines,
    served by earliest deadline first. Plain services never lack capacity in
    the trace.
    """
    good = {
        arrival.number
        for arrival in arrivals
        if arrival.operation != STREAM and arrival.number in admitted
    }
    for name, engine_count in engines.items():
        target_s = services[name].latency_target.total_seconds()
        jobs = [
            arrival
            for arrival in arrivals
            if arrival.service == name and arrival.number in admitted
        ]
        good |= _earliest_deadline_first(jobs, target_s, engine_count)
    return good


def _earliest_deadline_first(
    jobs: Sequence[Arrival],
    target_s: float,
    engine_count: int,
) -> set[int]:
    """Return the jobs that meet their deadline.

    All jobs have the same latency target, so that the order of deadlines is
    the order of arrival.
    """
    free_at_s = [0.0 for _ in range(engine_count)]
    good = set()
    for job in jobs:
        start_s = max(heapq.heappop(free_at_s), job.at_s)
        end_s = start_s + min_prefill_s(job)
        if end_s - job.at_s <= target_s:
            good.add(job.number)
        else:
            end_s = start_s
        heapq.heappush(free_at_s, end_s)
    return good


def ideal_target_seconds(
    arrivals: Iterable[Arrival],
    admitted: set[int],
    service: Service,
    zones: int,
    duration_s: float,
) -> float:
    """Return the target-seconds of a plan that scales with the work."""
    work_s: dict[int, float] = defaultdict(float)
    for arrival in arrivals:
        if arrival.service == service.name and arrival.number in admitted:
            window = int(arrival.at_s / _PLAN_WINDOW_S)
            work_s[window] += min_engine_s(arrival)
    min_targets = service.targets.min_per_zone * zones
    max_targets = service.targets.max_total
    return sum(
        _PLAN_WINDOW_S
        * min(
            max_targets,
            max(min_targets, math.ceil(work_s[window] / _PLAN_WINDOW_S)),
        )
        for window in range(math.ceil(duration_s / _PLAN_WINDOW_S))
    )


def count_certain_excess(
    spans: Sequence[tuple[float, float]],
    policy: TeamPolicy,
) -> int:
    """Return how many requests were certainly admitted above a limit.

    :param spans: for each admitted request, when it was sent and when its
        answer began. The time of admission lies between the two.
    """
    max_excess = 0.0
    ends = sorted(spans, key=lambda span: span[1])
    for start_s in sorted({span[0] for span in spans}):
        inside = [end for begin, end in ends if begin >= start_s]
        for count, end_s in enumerate(inside, 1):
            allowed = policy.burst + policy.rate_per_s * (end_s - start_s)
            max_excess = max(max_excess, count - allowed)
    return math.ceil(max_excess - _EPSILON)
