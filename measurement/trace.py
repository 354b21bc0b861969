"""Generates a trace of arrivals and faults from a seed."""

import math
from collections.abc import Iterable, Iterator
from random import Random
from typing import Final, NamedTuple

from peridotrill.services import Service

# Operations: a streamed model request, and a POST or a lookup at a plain
# service.
STREAM: Final = 'stream'
POST: Final = 'post'
LOOKUP: Final = 'lookup'

# Offered load as a ratio of a team's rate limit: mean and amplitude of a sine
# wave with one period per trace.
_MEAN_LOAD: Final = 0.6
_LOAD_SWING: Final = 0.25
# The bursting team exceeds its rate several times over in two bursts and has
# a low load otherwise. The periods are ratios of the duration of the trace.
_QUIET_LOAD: Final = 0.4
_BURST_LOAD: Final = 4
_BURST_PERIODS: Final = ((0.3, 0.4), (0.7, 0.8))
# The mix of model requests alternates between short prompts with long outputs
# and the opposite, _MIX_CYCLES times per trace; each pair holds the mean sizes
# at these two extremes.
_MIX_CYCLES: Final = 3
_MIX_PROMPT_TOKENS: Final = (300, 2500)
_MIX_OUTPUT_TOKENS: Final = (60, 20)
# Ratio of POST requests to all requests to plain services.
_POST_SHARE: Final = 0.4

FAULT_PARTS: Final = ('entry', 'agent', 'platform')
FAULT_KINDS: Final = ('kill', 'pause', 'partition', 'silence', 'lose_answers')
# Range in which faults begin, as ratios of the duration of the trace.
_FIRST_FAULT_RATIO: Final = 0.06
_LAST_FAULT_RATIO: Final = 0.9
_FAULT_DURATION_RANGE_S: Final = (1.5, 3)


class Arrival(NamedTuple):
    """A request that is sent at ``at_s``, in seconds since the start.

    ``number`` is its position in the trace.
    """

    number: int
    at_s: float
    service: str
    team: str
    operation: str
    prompt_tokens: int = 0
    output_tokens: int = 0


class Fault(NamedTuple):
    """A fault of one part of the system.

    ``choice``, modulo their number, selects the affected entry or target.
    """

    at_s: float
    duration_s: float
    part: str
    kind: str
    choice: int


def bursting_team(services: Iterable[Service]) -> str:
    """Return the team with the largest bursts relative to its rates."""
    ratios: dict[str, float] = {}
    for service in services:
        for team, policy in service.teams.items():
            ratio = policy.burst / policy.rate_per_s
            ratios[team] = ratios.get(team, 0) + ratio
    return max(sorted(ratios), key=ratios.__getitem__)


def make_trace(
    services: Iterable[Service],
    seed: int,
    duration_s: float,
) -> list[Arrival]:
    """Return the arrivals of all teams, sorted by time."""
    services = sorted(services, key=lambda service: service.name)
    bursting = bursting_team(services)
    arrivals = []
    for service in services:
        for team, policy in sorted(service.teams.items()):
            random = Random(f'{seed}/{service.name}/{team}')
            for time_ratio in _generate_time_ratios(
                random,
                policy.rate_per_s * duration_s,
                team == bursting,
            ):
                operation, prompt, output = _choose_request(
                    service, time_ratio, random
                )
                arrivals.append(
                    Arrival(
                        0,
                        time_ratio * duration_s,
                        service.name,
                        team,
                        operation,
                        prompt,
                        output,
                    ),
                )
    arrivals.sort(key=lambda arrival: arrival.at_s)
    return [
        arrival._replace(number=number)
        for number, arrival in enumerate(arrivals)
    ]


def make_faults(seed: int, duration_s: float) -> list[Fault]:
    """Return one fault of each kind for each part, sorted by time."""
    random = Random(f'{seed}/faults')
    pairs = [(part, kind) for part in FAULT_PARTS for kind in FAULT_KINDS]
    random.shuffle(pairs)
    step_s = (_LAST_FAULT_RATIO - _FIRST_FAULT_RATIO) * duration_s / len(pairs)
    return [
        Fault(
            _FIRST_FAULT_RATIO * duration_s + number * step_s,
            random.uniform(*_FAULT_DURATION_RANGE_S),
            part,
            kind,
            random.randrange(1000),
        )
        for number, (part, kind) in enumerate(pairs)
    ]


def _generate_time_ratios(
    random: Random,
    expected: float,
    is_bursting: bool,
) -> Iterator[float]:
    """Yield arrival times of a non-homogeneous Poisson process, by thinning.

    Times are ratios of the duration of the trace, from 0 to 1.

    :param expected: number of arrivals in the trace at the team's full rate.
    """
    sine_offset = random.random()
    max_load = _BURST_LOAD if is_bursting else _MEAN_LOAD + _LOAD_SWING
    time_ratio = random.expovariate(expected * max_load)
    while time_ratio < 1:
        load = _MEAN_LOAD + _LOAD_SWING * math.sin(
            math.tau * (time_ratio + sine_offset)
        )
        if is_bursting:
            in_burst = any(
                start <= time_ratio < end for start, end in _BURST_PERIODS
            )
            load = _BURST_LOAD if in_burst else _QUIET_LOAD
        if random.random() * max_load < load:
            yield time_ratio
        time_ratio += random.expovariate(expected * max_load)


def _choose_request(
    service: Service,
    time_ratio: float,
    random: Random,
) -> tuple[str, int, int]:
    if service.kind == 'plain':
        return (POST if random.random() < _POST_SHARE else LOOKUP), 0, 0
    mix = 0.5 + 0.5 * math.sin(math.tau * _MIX_CYCLES * time_ratio)
    size_factor = random.uniform(0.7, 1.3)
    prompt, output = (
        round(size_factor * (first + (second - first) * mix))
        for first, second in (_MIX_PROMPT_TOKENS, _MIX_OUTPUT_TOKENS)
    )
    return STREAM, prompt, output
