"""Prefix cache of the stand-in engine, with delayed and lossy events."""

import time
from collections import OrderedDict, deque
from typing import Any, Final, NamedTuple, TypedDict

from standins.completions import TOKENS_PER_BLOCK

_MAX_EVENTS: Final = 10000


class CacheEvent(TypedDict):
    """Event for a stored or evicted prefix."""

    sequence: int
    kind: str
    prefix: int


class CacheOptions(NamedTuple):
    """Size of the cache, and the delay and loss of its events."""

    max_blocks: int
    event_delay_s: float
    drop_every: int


class PrefixCache:
    """LRU cache of prompt prefixes; each entry counts as one block."""

    def __init__(self, options: CacheOptions) -> None:
        """:param options: with ``drop_every`` 0, no events are dropped."""
        self._options = options
        self._token_counts: OrderedDict[int, int] = OrderedDict()
        self._events: deque[tuple[float, CacheEvent]]
        self._events = deque(maxlen=_MAX_EVENTS)
        self._sequence = 0

    def get(self, prefix: int) -> int | None:
        """:return: the token count of a prefix, None if it is not cached."""
        return self._token_counts.get(prefix)

    def match(self, prefixes: list[int]) -> int:
        """:return: the token count of the longest cached prefix, or 0."""
        for prefix in reversed(prefixes):
            tokens = self._token_counts.get(prefix)
            if tokens is not None:
                return tokens
        return 0

    def store(self, prefixes: list[int]) -> None:
        """Store the prefixes of a prompt; the longest is evicted first."""
        sizes = range(
            len(prefixes) * TOKENS_PER_BLOCK,
            0,
            -TOKENS_PER_BLOCK,
        )
        for prefix, tokens in zip(reversed(prefixes), sizes, strict=True):
            self.store_prefix(prefix, tokens)

    def store_prefix(self, prefix: int, tokens: int) -> None:
        """Store one prefix and evict the least recently used ones."""
        if prefix not in self._token_counts:
            self._record_event('stored', prefix)
        self._token_counts[prefix] = tokens
        self._token_counts.move_to_end(prefix)
        while len(self._token_counts) > self._options.max_blocks:
            evicted, _ = self._token_counts.popitem(last=False)
            self._record_event('evicted', evicted)

    def events(self, from_sequence: int) -> dict[str, Any]:
        """:return: visible events, starting at a sequence number."""
        visible_until_s = time.monotonic() - self._options.event_delay_s
        events = [
            event
            for recorded_s, event in self._events
            if event['sequence'] >= from_sequence
            and recorded_s <= visible_until_s
        ]
        last = events[-1]['sequence'] + 1 if events else from_sequence
        return {'events': events, 'next': last}

    def _record_event(self, kind: str, prefix: int) -> None:
        self._sequence += 1
        drop_every = self._options.drop_every
        if drop_every and self._sequence % drop_every == 0:
            return
        event = CacheEvent(sequence=self._sequence, kind=kind, prefix=prefix)
        self._events.append((time.monotonic(), event))
