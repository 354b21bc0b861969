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
DECODE_READING_FACTOR: Final = 2.0
# Time to move a read prompt to the engine that generates the output.
_MOVED_MS: Final = 25.0
# Disadvantage of reading at a decode engine, which delays others' tokens.
_DISTURBED_MS: Final = 40.0
# Running requests by which an engine that keeps a part may exceed the least
# loaded one.
_HOLDER_SLACK: Final = 8
# Wait that is accepted so that a part which no engine keeps yet is read once,
# although several gateways are asked for it at the same moment: less than
# reading a part of usual size again takes.
_HOME_WAIT_MS: Final = 100.0
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
    reading_ms = fresh / _TOKENS_PER_MS
    reading_ms += pairs / _MILLION * _MS_PER_MILLION_PAIRS
    if prompt.prompt_tokens < MIN_SPLIT_TOKENS:
        return reading_ms + _SHORT_SETUP_MS
    return reading_ms + SETUP_MS


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
    targets: Sequence[TargetRecord],
    loads: Loads,
    own_zone: str,
    keeps_part: Callable[[str], bool],
) -> TargetRecord | None:
    """Return the engine that generates the output.

    One that keeps the prompt's shared part goes first unless it is
    overloaded: less memory is moved to it.

    :param keeps_part: tells whether an engine keeps the part.
    """
    least = choose_least_loaded(targets, loads, own_zone)
    if least is None:
        return None
    most = loads.work(least.target_id) + _HOLDER_SLACK
    holders = [
        target
        for target in targets
        if keeps_part(target.target_id)
        and loads.work(target.target_id) <= most
        and not loads.is_avoided(target.target_id)
    ]
    return choose_least_loaded(holders, loads, own_zone) or least


class ReadingLimits(NamedTuple):
    """How much work an engine may have and still read a further prompt.

    ``prefill_ms`` and ``short_ms`` bound the reading in progress at prefill
    engines, and at decode engines for short prompts. Long prompts are read
    by decode engines only with at most ``long_ms`` of reading and
    ``long_running`` running requests: reading delays their tokens.
    """

    prefill_ms: float
    short_ms: float
    long_ms: float
    long_running: float


class ReadingPlace(NamedTuple):
    """Where a prompt is read, and the work that this means there."""

    target: TargetRecord
    work_ms: float


class EngineLoads(NamedTuple):
    """Look-ups by target: reading in ms, running requests, health, parts."""

    reading_ms: Callable[[str], float]
    running: Callable[[str], float]
    is_avoided: Callable[[str], bool]
    keeps: Callable[[str, str], bool]


def estimate_work_ms(
    prompt: Prompt,
    target_id: str,
    keeps: Callable[[str, str], bool],
    is_kept_somewhere: bool,
) -> float:
    """Return the time that a prefill engine takes to read a prompt."""
    main = prompt.main_part
    if main is None or main.tokens < MIN_PART_TOKENS:
        return estimate_prefill_ms(prompt, prompt.shared_tokens)
    if keeps(target_id, main.part_id):
        return estimate_prefill_ms(prompt, prompt.shared_tokens)
    if is_kept_somewhere:
        return _FETCH_MS + estimate_prefill_ms(prompt, prompt.shared_tokens)
    return estimate_prefill_ms(prompt, prompt.shared_tokens - main.tokens)


def choose_reader(
    prompt: Prompt,
    targets: Sequence[TargetRecord],
    loads: EngineLoads,
    limits: ReadingLimits,
    is_kept_somewhere: bool,
) -> ReadingPlace | None:
    """Return the engine that reads a prompt soonest, or None if all are full.

    Prefill engines read twice as fast as decode engines and delay nobody's
    output, but their result must be moved. Decode engines read what the
    prefill engines have no room for; long prompts only within the limits for
    them, or if there is no prefill engine.
    """
    if not any(target.role is TargetRole.PREFILL for target in targets):
        limits = limits._replace(
            long_ms=limits.prefill_ms,
            long_running=math.inf,
        )
    home_id = None
    if not is_kept_somewhere:
        home_id = find_home(prompt, targets)
    ranked = [
        (
            loads.is_avoided(target.target_id),
            _expected_ms(target, work_ms, loads)
            - _HOME_WAIT_MS * (target.target_id == home_id),
            target.target_id,
            ReadingPlace(target, work_ms),
        )
        for target in targets
        if _has_room(target, prompt, loads, limits)
        for work_ms in (
            _work_at_ms(prompt, target, loads.keeps, is_kept_somewhere),
        )
    ]
    return min(ranked)[-1] if ranked else None


def find_home(
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


def _has_room(
    target: TargetRecord,
    prompt: Prompt,
    loads: EngineLoads,
    limits: ReadingLimits,
) -> bool:
    waiting_ms = loads.reading_ms(target.target_id)
    if target.role is TargetRole.PREFILL:
        return waiting_ms < limits.prefill_ms
    if prompt.prompt_tokens < MIN_SPLIT_TOKENS:
        return waiting_ms < limits.short_ms
    running = loads.running(target.target_id)
    return waiting_ms < limits.long_ms and running < limits.long_running


def _work_at_ms(
    prompt: Prompt,
    target: TargetRecord,
    keeps: Callable[[str, str], bool],
    is_kept_somewhere: bool,
) -> float:
    work_ms = estimate_work_ms(
        prompt,
        target.target_id,
        keeps,
        is_kept_somewhere,
    )
    if target.role is TargetRole.PREFILL:
        return work_ms
    return work_ms * DECODE_READING_FACTOR


def _expected_ms(
    target: TargetRecord,
    work_ms: float,
    loads: EngineLoads,
) -> float:
    """Return the time until the output begins, with what it does to others."""
    waiting_ms = loads.reading_ms(target.target_id)
    if target.role is TargetRole.PREFILL:
        return waiting_ms + work_ms + _MOVED_MS
    running = loads.running(target.target_id)
    return waiting_ms + work_ms + _DISTURBED_MS + running
