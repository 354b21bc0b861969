"""Chooses the engines that read a prompt and that generate its output.

Answers the load of long prompts that share parts: the shared parts of all
requests together fit into the memory of the fleet, but not into that of one
engine, and moving a part between engines is faster than reading it again.
"""

import math
import zlib
from collections.abc import Callable, Sequence
from typing import Final, NamedTuple

from peridotrill.gateway.part_directory import MIN_PART_TOKENS
from peridotrill.gateway.requests import Prompt
from peridotrill.gateway.targets import TargetRecord, TargetRole

# A prompt with at least this many tokens is read by a prefill engine: at a
# decode engine it delays the tokens of all running requests.
MIN_SPLIT_TOKENS: Final = 1500
# Tokens that an engine reads in a millisecond, and milliseconds for a
# million pairs of tokens, from the published model of the engines.
_TOKENS_PER_MS: Final = 112.0
_MS_PER_MILLION_PAIRS: Final = 0.218
SETUP_MS: Final = 8.0
# Short prompts are read several in one step and share its fixed part.
_SHORT_SETUP_MS: Final = 2.0
_MILLION: Final = 1e6
# Decode engines read prompts at half the speed of prefill engines.
DECODE_PREFILL_FACTOR: Final = 2.0
# Time to move a read prompt to the engine that generates the output.
_TRANSFER_MS: Final = 25.0
# Disadvantage of reading at a decode engine, which delays others' tokens.
_INTERFERENCE_MS: Final = 40.0
# Running requests by which an engine that keeps a part may exceed the least
# loaded one.
_HOLDER_SLACK: Final = 8
# Wait that is accepted so that a part which no engine keeps yet is read once,
# although several gateways are asked for it at the same moment: less than
# reading a part of usual size again takes.
_PREFERRED_ENGINE_WAIT_MS: Final = 100.0
# Time to fetch a part from another engine before the rest is read.
_FETCH_MS: Final = 15.0


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
    prefill_ms = fresh / _TOKENS_PER_MS
    prefill_ms += pairs / _MILLION * _MS_PER_MILLION_PAIRS
    if prompt.prompt_tokens < MIN_SPLIT_TOKENS:
        return prefill_ms + _SHORT_SETUP_MS
    return prefill_ms + SETUP_MS


def choose_least_loaded(
    targets: Sequence[TargetRecord],
    loads: Loads,
    local_zone: str,
) -> TargetRecord | None:
    """Return the target with the least load in relation to its slots.

    A target of the own zone goes before others of the same load.
    """
    return min(
        targets,
        key=lambda target: (
            loads.is_avoided(target.target_id),
            loads.work(target.target_id) / target.slots,
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

    One that keeps the prompt's shared part goes first unless it is
    overloaded: less memory is moved to it.

    :param keeps_part: tells whether an engine keeps the part.
    """
    least = choose_least_loaded(targets, loads, local_zone)
    if least is None:
        return None
    max_work = loads.work(least.target_id) + _HOLDER_SLACK
    holders = [
        target
        for target in targets
        if has_part(target.target_id)
        and loads.work(target.target_id) <= max_work
        and not loads.is_avoided(target.target_id)
    ]
    return choose_least_loaded(holders, loads, local_zone) or least


class PrefillLimits(NamedTuple):
    """How much work an engine may have and still read a further prompt.

    ``prefill_ms`` and ``short_ms`` bound the reading in progress at prefill
    engines, and at decode engines for short prompts. Long prompts are read
    by decode engines only with at most ``long_ms`` of reading and
    ``long_running`` running requests: reading delays their tokens.
    """

    prefill_engine_ms: float
    decode_short_ms: float
    decode_long_ms: float
    decode_long_running: float


class PrefillChoice(NamedTuple):
    """Where a prompt is read, and the work that this means there."""

    target: TargetRecord
    work_ms: float


class EngineLoads(NamedTuple):
    """Look-ups by target: reading in ms, running requests, health, parts."""

    prefill_ms: Callable[[str], float]
    running: Callable[[str], float]
    is_avoided: Callable[[str], bool]
    has_part: Callable[[str, str], bool]


def estimate_prefill_work_ms(
    prompt: Prompt,
    target_id: str,
    has_part: Callable[[str, str], bool],
    is_cached_anywhere: bool,
) -> float:
    """Return the time that a prefill engine takes to read a prompt."""
    main = prompt.main_part
    if main is None or main.tokens < MIN_PART_TOKENS:
        return estimate_prefill_ms(prompt, prompt.shared_tokens)
    if has_part(target_id, main.part_id):
        return estimate_prefill_ms(prompt, prompt.shared_tokens)
    if is_cached_anywhere:
        return _FETCH_MS + estimate_prefill_ms(prompt, prompt.shared_tokens)
    return estimate_prefill_ms(prompt, prompt.shared_tokens - main.tokens)


def choose_prefill_engine(
    prompt: Prompt,
    targets: Sequence[TargetRecord],
    loads: EngineLoads,
    limits: PrefillLimits,
    is_cached_anywhere: bool,
) -> PrefillChoice | None:
    """Return the engine that reads a prompt soonest, or None if all are full.

    Prefill engines read twice as fast as decode engines and delay nobody's
    output, but their result must be moved. Decode engines read what the
    prefill engines have no room for; long prompts only within the limits for
    them, or if there is no prefill engine.
    """
    if not any(target.role is TargetRole.PREFILL for target in targets):
        limits = limits._replace(
            decode_long_ms=limits.prefill_engine_ms,
            decode_long_running=math.inf,
        )
    preferred_id = None
    if not is_cached_anywhere:
        preferred_id = find_preferred_engine(prompt, targets)
    ranked = [
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
            _prefill_work_at_ms(
                prompt, target, loads.has_part, is_cached_anywhere
            ),
        )
    ]
    return min(ranked)[-1] if ranked else None


def find_preferred_engine(
    prompt: Prompt,
    targets: Sequence[TargetRecord],
) -> str | None:
    """Return the id of the engine that should read a new shared part.

    All gateways come to the same engine without asking each other, and few
    parts move when engines come and go (rendezvous hashing, Thaler and
    Ravishankar 1998).
    """
    main = prompt.main_part
    if main is None or main.tokens < MIN_PART_TOKENS:
        return None
    readers = [
        target.target_id
        for target in targets
        if target.role is TargetRole.PREFILL
    ]
    return max(
        readers,
        key=lambda name: zlib.crc32(f'{main.part_id}/{name}'.encode()),
        default=None,
    )


def _has_capacity(
    target: TargetRecord,
    prompt: Prompt,
    loads: EngineLoads,
    limits: PrefillLimits,
) -> bool:
    waiting_ms = loads.prefill_ms(target.target_id)
    if target.role is TargetRole.PREFILL:
        return waiting_ms < limits.prefill_engine_ms
    if prompt.prompt_tokens < MIN_SPLIT_TOKENS:
        return waiting_ms < limits.decode_short_ms
    running = loads.running(target.target_id)
    return (
        waiting_ms < limits.decode_long_ms
        and running < limits.decode_long_running
    )


def _prefill_work_at_ms(
    prompt: Prompt,
    target: TargetRecord,
    has_part: Callable[[str, str], bool],
    is_cached_anywhere: bool,
) -> float:
    work_ms = estimate_prefill_work_ms(
        prompt,
        target.target_id,
        has_part,
        is_cached_anywhere,
    )
    if target.role is TargetRole.PREFILL:
        return work_ms
    return work_ms * DECODE_PREFILL_FACTOR


def _score_ms(
    target: TargetRecord,
    work_ms: float,
    loads: EngineLoads,
) -> float:
    """Return the time until the output begins, with what it does to others."""
    waiting_ms = loads.prefill_ms(target.target_id)
    if target.role is TargetRole.PREFILL:
        return waiting_ms + work_ms + _TRANSFER_MS
    running = loads.running(target.target_id)
    return waiting_ms + work_ms + _INTERFERENCE_MS + running
