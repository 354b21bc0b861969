"""Chooses the engines for the prefill of a prompt and for its output.

Designed for long prompts that share parts: the shared parts of all requests
fit into the memory of the whole fleet, but not into that of one engine, and
transferring a part between engines is faster than computing it again.
"""

import math
import zlib
from collections.abc import Callable, Sequence
from typing import Final, NamedTuple

from peridotrill.gateway.completion_estimate import (
    estimate_ms,
    estimate_requests,
    usual_slowness,
)
from peridotrill.gateway.part_directory import MIN_PART_TOKENS
from peridotrill.gateway.requests import Prompt
from peridotrill.gateway.targets import TargetRecord, TargetRole

# Prompts with at least this many tokens go to a prefill engine: at a decode
# engine they delay the tokens of all running requests.
MIN_SPLIT_TOKENS: Final = 1500
# Linear and quadratic cost of prefill: tokens per millisecond, and milliseconds
# per million pairs of tokens, from the published model of the first engines
# served. ``PrefillSpeed`` learns how much slower or faster others are, from the
# first prompts: neither the configuration nor the slots say it.
_TOKENS_PER_MS: Final = 112.0
_MS_PER_MILLION_PAIRS: Final = 0.218
SETUP_MS: Final = 8.0
# Short prompts are batched and share the fixed cost of a step.
_SHORT_SETUP_MS: Final = 2.0
_MILLION: Final = 1e6
# Prefill takes twice as long on a decode engine as on a prefill engine.
DECODE_PREFILL_FACTOR: Final = 2.0
# Time to transfer a computed prompt to the decode engine.
_TRANSFER_MS: Final = 25.0
# Penalty for prefill on a decode engine, which delays other requests' tokens.
_INTERFERENCE_MS: Final = 40.0
# Number of running requests by which an engine that has a part may exceed the
# least loaded engine: eight, or a sixth of its slots if that is less. With 12
# slots, eight requests more would be two thirds of the engine.
_MAX_HOLDER_SLACK: Final = 8.0
_HOLDER_SLACK_RATIO: Final = 1 / 6
# An engine with more running requests than this part of its slots is not nearly
# idle; with fewer than three, a long prompt delays few.
_LONG_RUNNING_RATIO: Final = 1 / 4
_MIN_LONG_RUNNING: Final = 3.0
# Accepted wait for the preferred engine of an uncached part, so that the part is
# computed only once if several gateways need it concurrently. It is shorter
# than the time to compute a part of typical size again.
_PREFERRED_ENGINE_WAIT_MS: Final = 100.0
# Time to fetch a part from another engine before the rest of the prefill.
_FETCH_MS: Final = 15.0


class Loads(NamedTuple):
    """Lookup functions for load, health and slowness by target."""

    work: Callable[[str], float]
    is_avoided: Callable[[str], bool]
    slowness: Callable[[str], float] = usual_slowness

    def estimate(self, target: TargetRecord) -> float:
        """Return the load that a request would meet at a target."""
        return estimate_requests(
            self.work(target.target_id), self.slowness(target.target_id)
        )


def estimate_prefill_ms(prompt: Prompt, cached_tokens: int) -> float:
    """Return the time for the prefill of a prompt by the engine model.

    :param cached_tokens: number of tokens that are cached already.
    """
    uncached_tokens = max(0, prompt.prompt_tokens - cached_tokens)
    pairs = uncached_tokens * (cached_tokens + uncached_tokens / 2)
    prefill_ms = uncached_tokens / _TOKENS_PER_MS
    prefill_ms += pairs / _MILLION * _MS_PER_MILLION_PAIRS
    if prompt.prompt_tokens < MIN_SPLIT_TOKENS:
        return prefill_ms + _SHORT_SETUP_MS
    return prefill_ms + SETUP_MS


def choose_least_loaded(
    targets: Sequence[TargetRecord],
    loads: Loads,
    local_zone: str,
) -> TargetRecord | None:
    """Return the target with the least load relative to its slots and speed.

    Targets in the local zone are preferred if the loads are equal.
    """
    return min(
        targets,
        key=lambda target: (
            loads.is_avoided(target.target_id),
            loads.estimate(target) / target.slots,
            target.zone != local_zone,
            target.target_id,
        ),
        default=None,
    )


def choose_decode(
    targets: Sequence[TargetRecord],
    loads: Loads,
    local_zone: str,
    has_part: Callable[[str], bool],
) -> TargetRecord | None:
    """Return the engine that generates the output.

    An engine that has the prompt's shared part is preferred unless it is
    overloaded, since less data is transferred to it.

    :param has_part: returns whether an engine has the part.
    """
    least_loaded = choose_least_loaded(targets, loads, local_zone)
    if least_loaded is None:
        return None
    least_load = loads.estimate(least_loaded)
    holders = [
        target
        for target in targets
        if has_part(target.target_id)
        and loads.estimate(target) <= least_load + holder_slack(target.slots)
        and not loads.is_avoided(target.target_id)
    ]
    return choose_least_loaded(holders, loads, local_zone) or least_loaded


def holder_slack(slots: int) -> float:
    """Return how many more running requests an engine with a part may have."""
    return min(_MAX_HOLDER_SLACK, slots * _HOLDER_SLACK_RATIO)


class PrefillLimits(NamedTuple):
    """Limits of the work at an engine for it to accept another prompt.

    ``prefill_engine_ms`` limits the prefill work at prefill engines, and
    ``decode_short_ms`` that at decode engines for short prompts. Decode
    engines accept long prompts only with less than ``decode_long_ms`` of
    prefill work and fewer than ``decode_long_running`` running requests,
    since prefill delays the tokens of these requests. Engines with less than 48
    slots accept them with fewer running requests (``max_long_running``).
    """

    prefill_engine_ms: float
    decode_short_ms: float
    decode_long_ms: float
    decode_long_running: float

    def max_long_running(self, slots: int) -> float:
        """Return the running requests below which long prompts are accepted."""
        if math.isinf(self.decode_long_running):
            return math.inf
        derived = max(_MIN_LONG_RUNNING, slots * _LONG_RUNNING_RATIO)
        return min(self.decode_long_running, derived)


class PrefillChoice(NamedTuple):
    """The engine for the prefill of a prompt, and the work there."""

    target: TargetRecord
    work_ms: float


class EngineLoads(NamedTuple):
    """Lookups by target: prefill in ms, running requests, health, parts.

    ``slowdown`` is the factor by which the engines are slower than the model,
    and ``slowness`` that by which one of them is slower than the others.
    """

    prefill_ms: Callable[[str], float]
    running: Callable[[str], float]
    is_avoided: Callable[[str], bool]
    has_part: Callable[[str, str], bool]
    slowdown: float = 1
    slowness: Callable[[str], float] = usual_slowness


def estimate_prefill_work_ms(
    prompt: Prompt,
    target_id: str,
    has_part: Callable[[str, str], bool],
    is_cached_anywhere: bool,
    slowdown: float = 1,
) -> float:
    """Return the prefill time at a prefill engine, with any part fetch.

    :param slowdown: factor by which the engines are slower than the model.
    """
    main = prompt.main_part
    cached_tokens = prompt.shared_tokens
    fetch_ms = 0.0
    if main is not None and main.tokens >= MIN_PART_TOKENS:
        is_cached = has_part(target_id, main.part_id)
        if is_cached_anywhere and not is_cached:
            fetch_ms = _FETCH_MS
        elif not is_cached:
            cached_tokens -= main.tokens
    return fetch_ms + slowdown * estimate_prefill_ms(prompt, cached_tokens)


def choose_prefill_engine(
    prompt: Prompt,
    targets: Sequence[TargetRecord],
    loads: EngineLoads,
    limits: PrefillLimits,
    is_cached_anywhere: bool,
) -> PrefillChoice | None:
    """Return the engine with the earliest result, or None if all are full.

    Prefill engines are twice as fast as decode engines and delay no output,
    but their result must be transferred. Decode engines take the overflow of
    the prefill engines: long prompts only within the limits for these, or if
    there is no prefill engine.
    """
    if not any(target.role is TargetRole.PREFILL for target in targets):
        limits = limits._replace(
            decode_long_ms=limits.prefill_engine_ms,
            decode_long_running=math.inf,
        )
    preferred_id = None
    if not is_cached_anywhere:
        preferred_id = find_preferred_engine(prompt, targets)
    candidates = [
        (
            loads.is_avoided(target.target_id),
            _score_ms(target, work_ms, loads)
            - _PREFERRED_ENGINE_WAIT_MS * (target.target_id == preferred_id),
            target.target_id,
            PrefillChoice(target, work_ms),
        )
        for target in targets
        if _has_capacity(target, prompt, loads, limits)
        for work_ms in (
            _prefill_work_at_ms(prompt, target, loads, is_cached_anywhere),
        )
    ]
    return min(candidates)[-1] if candidates else None


def find_preferred_engine(
    prompt: Prompt,
    targets: Sequence[TargetRecord],
) -> str | None:
    """Return the id of the engine that should compute a new shared part.

    All gateways select the same engine without communication, and few parts
    are reassigned when engines are added or removed (rendezvous hashing,
    Thaler and Ravishankar 1998).
    """
    main = prompt.main_part
    if main is None or main.tokens < MIN_PART_TOKENS:
        return None
    prefill_engines = [
        target.target_id
        for target in targets
        if target.role is TargetRole.PREFILL
    ]
    return max(
        prefill_engines,
        key=lambda name: zlib.crc32(f'{main.part_id}/{name}'.encode()),
        default=None,
    )


def _has_capacity(
    target: TargetRecord,
    prompt: Prompt,
    loads: EngineLoads,
    limits: PrefillLimits,
) -> bool:
    slowness = loads.slowness(target.target_id)
    waiting_ms = estimate_ms(loads.prefill_ms(target.target_id), 0, slowness)
    if target.role is TargetRole.PREFILL:
        return waiting_ms < limits.prefill_engine_ms
    if prompt.prompt_tokens < MIN_SPLIT_TOKENS:
        return waiting_ms < limits.decode_short_ms
    running = loads.running(target.target_id) * slowness
    return (
        waiting_ms < limits.decode_long_ms
        and running < limits.max_long_running(target.slots)
    )


def _prefill_work_at_ms(
    prompt: Prompt,
    target: TargetRecord,
    loads: EngineLoads,
    is_cached_anywhere: bool,
) -> float:
    work_ms = estimate_prefill_work_ms(
        prompt,
        target.target_id,
        loads.has_part,
        is_cached_anywhere,
        loads.slowdown,
    )
    if target.role is TargetRole.PREFILL:
        return work_ms
    return work_ms * DECODE_PREFILL_FACTOR


def _score_ms(
    target: TargetRecord,
    work_ms: float,
    loads: EngineLoads,
) -> float:
    """Return the time to the first output, plus the cost for other requests."""
    slowness = loads.slowness(target.target_id)
    waiting_ms = loads.prefill_ms(target.target_id)
    done_ms = estimate_ms(waiting_ms, work_ms, slowness)
    if target.role is TargetRole.PREFILL:
        return done_ms + _TRANSFER_MS
    running = loads.running(target.target_id) * slowness
    return done_ms + _INTERFERENCE_MS + running
