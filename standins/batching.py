"""Continuous batching of the stand-in engine.

Time passes in steps. A step prefills a bounded number of prompt tokens and
adds one token to each sequence whose prefill is complete; its duration grows
with both.
"""

import itertools
import math
from typing import Any, Final, NamedTuple

import anyio

from standins.completions import CompletionRequest, TokenCounts, hash_prefixes
from standins.prefix_cache import PrefixCache

STOPPED: Final = 'stop'
CANCELLED: Final = 'cancelled'
INTERRUPTED: Final = 'cut'

PREFILL_TOKENS_PER_STEP: Final = 512
STEP_OVERHEAD_S: Final = 0.004
DECODE_TOKEN_S: Final = 0.0005
PREFILL_TOKEN_S: Final = 0.00005

# Factors of the cost of prefill and of running sequences.
ROLE_COST_FACTORS: Final = {
    'mixed': (1, 1),
    'prefill': (0.5, 2),
    'decode': (2, 0.5),
}

_arrivals = itertools.count()


class BatchLimits(NamedTuple):
    """KV memory and the limits of the batch."""

    total_pieces: int
    piece_tokens: int
    max_running: int
    max_waiting: int


class Sequence:
    """One answer in progress."""

    def __init__(
        self,
        attempt_id: str,
        completion: CompletionRequest,
        priority: int,
        position: int,
    ) -> None:
        """:param position: tokens of the answer that are not sent again."""
        self.attempt_id = attempt_id
        self.order = (-priority, next(_arrivals))
        self.prompt_tokens = completion.prompt_tokens
        self.total_output_tokens = completion.output_tokens
        self.first_position = position
        self.position = position
        self.prefixes = hash_prefixes(completion.prompt)
        self.remaining_prefill_tokens = completion.prompt_tokens + position
        self.cached_tokens = 0
        self.end = ''
        send, receive = anyio.create_memory_object_stream[int](math.inf)
        self.positions = receive
        self._send = send

    @property
    def output_tokens(self) -> int:
        """Tokens produced by this attempt."""
        return self.position - self.first_position

    @property
    def counts(self) -> TokenCounts:
        """Token counts for the usage of the answer."""
        return TokenCounts(
            self.prompt_tokens, self.cached_tokens, self.output_tokens
        )

    @property
    def reserved_tokens(self) -> int:
        """Tokens that KV memory is reserved for."""
        return self.prompt_tokens + self.total_output_tokens

    def emit(self) -> None:
        """Produce one token."""
        self._send.send_nowait(self.position)
        self.position += 1

    def finish(self, end: str) -> None:
        """End the answer; the first reason counts."""
        if not self.end:
            self.end = end
            self._send.close()


class Batcher:
    """Runs sequences step by step, in KV memory of limited size."""

    def __init__(
        self,
        limits: BatchLimits,
        cache: PrefixCache,
        time_scale: float,
    ) -> None:
        """:param time_scale: factor of the duration of a step."""
        self.role = 'mixed'
        self.running: list[Sequence] = []
        self.waiting: list[Sequence] = []
        self._limits = limits
        self._cache = cache
        self._time_scale = time_scale
        self._changed = anyio.Event()

    def can_hold(self, sequence: Sequence) -> bool:
        """:return: False if the sequence would wait forever."""
        return self._required_pieces(sequence) <= self._limits.total_pieces

    @property
    def is_full(self) -> bool:
        """No more sequences can wait."""
        return len(self.waiting) >= self._limits.max_waiting

    @property
    def free_pieces(self) -> int:
        """KV pieces that no running sequence has reserved."""
        used = sum(self._required_pieces(sequence) for sequence in self.running)
        return self._limits.total_pieces - used

    def submit(self, sequence: Sequence) -> None:
        """Add a sequence; it waits until it fits."""
        self.waiting.append(sequence)
        self.waiting.sort(key=lambda queued: queued.order)
        self._changed.set()

    def remove(self, sequence: Sequence, end: str) -> None:
        """End a sequence and free its memory."""
        sequence.finish(end)
        for sequences in (self.running, self.waiting):
            if sequence in sequences:
                sequences.remove(sequence)

    def cancel(self, attempt_id: str) -> list[Sequence]:
        """:return: the sequences of the attempt, now ended."""
        cancelled = [
            sequence
            for sequence in (*self.running, *self.waiting)
            if sequence.attempt_id == attempt_id
        ]
        for sequence in cancelled:
            self.remove(sequence, CANCELLED)
        return cancelled

    def interrupt_all(self) -> None:
        """Break off all sequences."""
        for sequence in (*self.running, *self.waiting):
            self.remove(sequence, INTERRUPTED)

    def load(self) -> dict[str, Any]:
        """:return: the fields of the load report about sequences."""
        running = [
            sequence.prompt_tokens + sequence.position
            for sequence in self.running
        ]
        return {
            'running_requests': len(self.running),
            'waiting_requests': len(self.waiting),
            'running_tokens': sum(running),
            'waiting_tokens': sum(
                sequence.reserved_tokens for sequence in self.waiting
            ),
            'free_pieces': self.free_pieces,
            'total_pieces': self._limits.total_pieces,
            'piece_tokens': self._limits.piece_tokens,
        }

    async def run(self) -> None:
        """Run steps while there are sequences."""
        while True:
            self._admit()
            if self.running:
                await self._step()
            else:
                self._changed = anyio.Event()
                await self._changed.wait()

    def _required_pieces(self, sequence: Sequence) -> int:
        return -(-sequence.reserved_tokens // self._limits.piece_tokens)

    def _admit(self) -> None:
        # The first in order holds back the others, so that small requests
        # do not starve a large one.
        while self.waiting and len(self.running) < self._limits.max_running:
            if self._required_pieces(self.waiting[0]) > self.free_pieces:
                return
            sequence = self.waiting.pop(0)
            sequence.cached_tokens = self._cache.match(sequence.prefixes)
            sequence.remaining_prefill_tokens -= sequence.cached_tokens
            self.running.append(sequence)

    async def _step(self) -> None:
        budget = PREFILL_TOKENS_PER_STEP
        decoding = []
        for sequence in self.running:
            prefilled = min(budget, sequence.remaining_prefill_tokens)
            sequence.remaining_prefill_tokens -= prefilled
            budget -= prefilled
            if not sequence.remaining_prefill_tokens:
                decoding.append(sequence)
        prefill_cost, decode_cost = ROLE_COST_FACTORS[self.role]
        prefilled = PREFILL_TOKENS_PER_STEP - budget
        duration_s = (
            STEP_OVERHEAD_S
            + prefill_cost * prefilled * PREFILL_TOKEN_S
            + decode_cost * len(decoding) * DECODE_TOKEN_S
        )
        await anyio.sleep(duration_s * self._time_scale)
        for sequence in decoding:
            self._advance(sequence)

    def _advance(self, sequence: Sequence) -> None:
        if sequence.end:
            return
        if sequence.position == sequence.first_position:
            self._cache.store(sequence.prefixes)
        if sequence.position < sequence.total_output_tokens:
            sequence.emit()
        if sequence.position >= sequence.total_output_tokens:
            self.remove(sequence, STOPPED)
