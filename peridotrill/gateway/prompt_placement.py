"""Chooses the engines that read a prompt and that generate its output.

Answers the load of long prompts that share parts: the shared parts of all
requests together fit into the memory of the fleet, but not into that of one
engine, and moving a part between engines is faster than reading it again.
"""

from collections.abc import Callable, Sequence
from typing import Final, NamedTuple

from peridotrill.gateway.requests import Prompt
from peridotrill.gateway.targets import TargetRecord
from peridotrill.placement import home_target

# A prompt with at least this many tokens is read by a prefill engine: at a
# decode engine it delays the tokens of all running requests.
MIN_SPLIT_TOKENS: Final = 1500
# Tokens that an engine reads in a millisecond, and milliseconds for a
# million pairs of tokens, from the published model of the engines.
_TOKENS_PER_MS: Final = 112.0
_MS_PER_MILLION_PAIRS: Final = 0.218
_SETUP_MS: Final = 8.0
_MILLION: Final = 1e6
# Running requests by which the home of a prompt may exceed the least loaded
# decode engine before that one is used instead.
_HOME_SLACK: Final = 12


class Loads(NamedTuple):
    """Look-ups of load and health by target."""

    work: Callable[[str], float]
    is_avoided: Callable[[str], bool]


def estimate_prefill_ms(prompt: Prompt, cached_tokens: int) -> float:
    """Return the time that an engine takes to read a prompt.

    :param cached_tokens: tokens that need not be read.
    """
    fresh = max(0, prompt.prompt_tokens - cached_tokens)
    pairs = fresh * (cached_tokens + fresh / 2)
    return (
        _SETUP_MS
        + fresh / _TOKENS_PER_MS
        + pairs / _MILLION * _MS_PER_MILLION_PAIRS
    )


def find_home(
    prompt: Prompt,
    targets: Sequence[TargetRecord],
) -> TargetRecord | None:
    """Return the target at which a prompt's largest part is kept."""
    part_id = prompt.affinity_id
    if part_id is None or not targets:
        return None
    home = home_target(
        part_id.encode(),
        [target.target_id for target in targets],
    )
    for target in targets:
        if target.target_id == home:
            return target
    return None


def choose_least_loaded(
    targets: Sequence[TargetRecord],
    loads: Loads,
    own_zone: str,
) -> TargetRecord | None:
    """Return the target with the least load in relation to its slots.

    A target of the own zone goes before others of the same load.
    """
    return min(
        targets,
        key=lambda target: (
            loads.is_avoided(target.target_id),
            loads.work(target.target_id) / target.slots,
            target.zone != own_zone,
            target.target_id,
        ),
        default=None,
    )


def choose_decode(
    prompt: Prompt | None,
    targets: Sequence[TargetRecord],
    loads: Loads,
    own_zone: str,
) -> TargetRecord | None:
    """Return the engine that generates the output.

    The home of a long prompt goes first unless it is overloaded.
    """
    least = choose_least_loaded(targets, loads, own_zone)
    if prompt is None or prompt.prompt_tokens < MIN_SPLIT_TOKENS:
        return least
    home = find_home(prompt, targets)
    if home is None or least is None or loads.is_avoided(home.target_id):
        return least
    excess = loads.work(home.target_id) - loads.work(least.target_id)
    return least if excess > _HOME_SLACK else home


def choose_prefill(
    prompt: Prompt,
    targets: Sequence[TargetRecord],
    loads: Loads,
    moved_ms: float,
) -> TargetRecord | None:
    """Return the engine that reads a prompt soonest.

    :param moved_ms: what it costs to read at another engine than the home.
    """
    home = find_home(prompt, targets)
    return min(
        targets,
        key=lambda target: (
            loads.is_avoided(target.target_id),
            loads.work(target.target_id) + (0 if target == home else moved_ms),
            target.target_id,
        ),
        default=None,
    )
