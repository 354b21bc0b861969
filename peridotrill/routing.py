"""Load balancing: selects the target of a request."""

import hashlib
import itertools
import math
from collections.abc import Mapping, Sequence
from random import Random
from typing import Any, Final, NamedTuple, final

from peridotrill.clock import Clock
from peridotrill.messages import LoadReport

PREFIX_BLOCK_CHARACTERS: Final = 1024
CHARACTERS_PER_TOKEN: Final = 4
_PREFIX_DIGEST_BYTES: Final = 8
_DEFAULT_PIECE_TOKENS: Final = 2000

# A load report describes the target some time before it arrives. Attempts
# that started or ended less than this before a report arrives are assumed to
# be missing from it, and are corrected for until the next report.
REPORT_LAG_S: Final = 0.5

# Penalty of a target in another availability zone, in units of load: about
# 3 ms of round trip, relative to the time that an engine needs for a token or
# a plain service for a request.
OTHER_ZONE_PENALTY_TOKENS: Final = 64.0
OTHER_ZONE_PENALTY_REQUESTS: Final = 0.5
_SAMPLED_TARGETS: Final = 2


class RequestCost(NamedTuple):
    """Estimated cost; ``prefix_hashes`` has the shortest prefix first."""

    prompt_tokens: int
    output_tokens: int
    prefix_hashes: tuple[int, ...] = ()

    @property
    def tokens(self) -> int:
        """Prompt and output tokens, at least 1."""
        return max(1, self.prompt_tokens + self.output_tokens)

    def pieces(self, piece_tokens: int) -> int:
        """Return the number of KV cache blocks (pieces) that it occupies."""
        return math.ceil(self.tokens / (piece_tokens or _DEFAULT_PIECE_TOKENS))


class LoadCorrection(NamedTuple):
    """Correction of a load report for own attempts; may be negative."""

    requests: int = 0
    tokens: int = 0
    pieces: int = 0


class TargetView(NamedTuple):
    """The state of a target as known to this entry."""

    target_id: str
    service: str
    zone: str
    address: str
    kind: str
    ready: bool
    draining: bool
    linked: bool
    load: LoadReport | None


def prompt_text(document: Mapping[str, Any]) -> str:
    """Return the prompt of a model request as input of the prefix hashes.

    :param document: body of a completion or chat completion request.
    """
    prompt = document.get('prompt')
    if isinstance(prompt, str):
        return prompt
    messages = document.get('messages')
    if not isinstance(messages, list):
        return ''
    return ''.join(
        '{0}\n{1}\n'.format(row.get('role', ''), row.get('content', ''))
        for row in messages
        if isinstance(row, dict)
    )


def hash_prefixes(prompt: str) -> tuple[int, ...]:
    """Return the hashes of the prompt's prefixes, shortest first."""
    digest = hashlib.sha256()
    numbers = []
    hashed_characters = len(prompt) - len(prompt) % PREFIX_BLOCK_CHARACTERS
    for start in range(0, hashed_characters, PREFIX_BLOCK_CHARACTERS):
        digest.update(prompt[start : start + PREFIX_BLOCK_CHARACTERS].encode())
        head = digest.copy().digest()[:_PREFIX_DIGEST_BYTES]
        numbers.append(int.from_bytes(head, 'big'))
    return tuple(numbers)


@final
class _Attempt:
    """An attempt of this entry, used to correct load reports."""

    __slots__ = ('cost', 'ended_at_s', 'reported', 'started_at_s', 'target_id')

    def __init__(self, target_id: str, cost: RequestCost, now_s: float):
        self.target_id = target_id
        self.cost = cost
        self.started_at_s = now_s
        self.ended_at_s: float | None = None
        self.reported = False


@final
class LocalAttempts:
    """Tracks attempts of this entry to correct late load reports."""

    def __init__(self, clock: Clock) -> None:
        """:param clock: its monotonic time is the arrival time of reports."""
        self._clock = clock
        self._attempts: dict[str, dict[str, _Attempt]] = {}

    def started(
        self,
        target_id: str,
        attempt_id: str,
        cost: RequestCost,
    ) -> None:
        """Record an attempt that is about to be sent."""
        rows = self._attempts.setdefault(target_id, {})
        rows[attempt_id] = _Attempt(target_id, cost, self._clock.monotonic_s())

    def ended(self, target_id: str, attempt_id: str) -> None:
        """Record the end of an attempt.

        If the last report includes it, it is subtracted until the next one.
        """
        rows = self._attempts.get(target_id, {})
        attempt = rows.get(attempt_id)
        if attempt is None:
            return
        if attempt.reported:
            attempt.ended_at_s = self._clock.monotonic_s()
        else:
            rows.pop(attempt_id)

    def reported(self, target_id: str) -> None:
        """Record the arrival of a load report of the target."""
        seen_s = self._clock.monotonic_s() - REPORT_LAG_S
        rows = self._attempts.get(target_id, {})
        for attempt_id, attempt in list(rows.items()):
            attempt.reported |= attempt.started_at_s <= seen_s
            if attempt.ended_at_s is not None and attempt.ended_at_s <= seen_s:
                rows.pop(attempt_id)

    def running(self, target_id: str) -> int:
        """Return the number of this entry's running attempts at a target."""
        return sum(
            attempt.ended_at_s is None
            for attempt in self._attempts.get(target_id, {}).values()
        )

    def load_correction(
        self, target_id: str, piece_tokens: int
    ) -> LoadCorrection:
        """Return the correction for the last load report of a target.

        :param piece_tokens: tokens in a KV cache block of the target.
        """
        load = LoadCorrection()
        for attempt in self._attempts.get(target_id, {}).values():
            sign = 0
            if attempt.ended_at_s is not None:
                sign = -1
            elif not attempt.reported:
                sign = 1
            load = LoadCorrection(
                load.requests + sign,
                load.tokens + sign * attempt.cost.tokens,
                load.pieces + sign * attempt.cost.pieces(piece_tokens),
            )
        return load


def cached_prefix_tokens(load: LoadReport, cost: RequestCost) -> int:
    """Return the length of the longest cached prefix, in tokens."""
    cached = set(load.cached_prefixes)
    for length in range(len(cost.prefix_hashes), 0, -1):
        if cost.prefix_hashes[length - 1] in cached:
            tokens = length * PREFIX_BLOCK_CHARACTERS // CHARACTERS_PER_TOKEN
            return min(tokens, cost.prompt_tokens)
    return 0


def can_accept(
    view: TargetView, cost: RequestCost, correction: LoadCorrection
) -> bool:
    """Tell whether the target accepts work and has enough free KV blocks.

    Targets without a KV cache accept any number of requests.
    """
    load = view.load
    if load is None or not (view.ready and view.linked) or view.draining:
        return False
    if not load.total_pieces:
        return True
    needed = cost.pieces(load.piece_tokens)
    return needed <= load.free_pieces - correction.pieces


def score_target(
    view: TargetView,
    cost: RequestCost,
    own_zone: str,
    correction: LoadCorrection,
) -> float:
    """Return the expected work before the response; lower is better.

    :param correction: correction of the load report.
    :return: tokens for an engine, requests for a plain service.
    """
    load = view.load
    if load is None:
        return math.inf
    is_other_zone = view.zone != own_zone
    if not load.total_pieces:
        waiting = load.running_requests + load.waiting_requests
        return (
            max(0, waiting + correction.requests)
            + is_other_zone * OTHER_ZONE_PENALTY_REQUESTS
        )
    tokens = load.running_tokens + load.waiting_tokens + correction.tokens
    # Blocks beyond the free ones would have to be evicted from the prefix
    # cache.
    free_pieces = max(1, load.free_pieces - correction.pieces)
    memory_pressure = cost.pieces(load.piece_tokens) / free_pieces
    return (
        max(0, tokens)
        + memory_pressure * load.piece_tokens
        + is_other_zone * OTHER_ZONE_PENALTY_TOKENS
        - cached_prefix_tokens(load, cost)
    )


def choose_target(
    views: Sequence[TargetView],
    cost: RequestCost,
    own_zone: str,
    load_correction: Mapping[str, LoadCorrection],
    random: Random,
) -> TargetView | None:
    """Choose the best of two random targets and the best cache hit.

    The target with the longest cached prefix is always a candidate, because
    most random pairs do not contain it and its cache would go unused.

    :param load_correction: corrections of the load reports, by target id.
    :param random: selects the two random candidates.
    :return: None if no target can accept the request now.
    """
    no_correction = LoadCorrection()
    accepting = [
        view
        for view in views
        if can_accept(
            view, cost, load_correction.get(view.target_id, no_correction)
        )
    ]
    if not accepting:
        return None
    sampled = random.sample(accepting, min(_SAMPLED_TARGETS, len(accepting)))
    cached = [
        (cached_prefix_tokens(view.load, cost), view.target_id, view)
        for view in accepting
        if view.load is not None
    ]
    longest, _, best_cached = max(cached)
    candidates = itertools.chain(sampled, [best_cached] if longest else [])
    return min(
        candidates,
        key=lambda view: score_target(
            view,
            cost,
            own_zone,
            load_correction.get(view.target_id, no_correction),
        ),
    )
