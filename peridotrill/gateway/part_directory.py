"""Which engines most likely keep which shared parts of prompts.

Filled from what this gateway and the others had read where. An engine drops
the parts that were used least recently, and so does its list here.
"""

from collections import OrderedDict, deque
from collections.abc import Iterable
from typing import Final, NamedTuple, final

# Parts below this size are not worth to be found again or moved.
MIN_PART_TOKENS: Final = 800
# Part of an engine's memory that parts are taken to fill; running requests
# and parts that nobody shares need the rest.
_CACHE_MEMORY_RATIO: Final = 0.7
# A reading is told to the other gateways in this many reports.
_REPORT_COUNT: Final = 3


class PartLocation(NamedTuple):
    """A part that an engine has read or received."""

    part_id: str
    target_id: str
    tokens: int


@final
class PartDirectory:
    """Parts by engine, most recently used last."""

    def __init__(self, memory_tokens: int) -> None:
        """:param memory_tokens: memory of an engine, until it is known."""
        self.memory_tokens = memory_tokens
        self._parts: dict[str, OrderedDict[str, int]] = {}
        self._sizes: dict[str, int] = {}
        self._recent: deque[list[PartLocation]] = deque(
            [[] for _ in range(_REPORT_COUNT)],
            maxlen=_REPORT_COUNT,
        )

    def record(self, location: PartLocation) -> None:
        """Note that an engine has a part, and tell the others."""
        if location.tokens >= MIN_PART_TOKENS:
            self._recent[-1].append(location)
            self._insert(location)

    def observe_peer(self, locations: Iterable[PartLocation]) -> None:
        """Take over what another gateway had read."""
        for location in locations:
            self._insert(location)

    def listing(self, max_parts: int) -> list[PartLocation]:
        """Return the parts of each engine that were used last.

        :param most: number of parts of all engines together.
        """
        per_engine = max(1, max_parts // max(1, len(self._parts)))
        return [
            PartLocation(part_id, target_id, tokens)
            for target_id, parts in self._parts.items()
            for part_id, tokens in list(parts.items())[-per_engine:]
        ]

    def take_report_entries(self) -> list[PartLocation]:
        """Return what to tell the others now."""
        recent = [row for rows in self._recent for row in rows]
        self._recent.append([])
        return recent

    def forget(self, target_id: str) -> None:
        """Drop what an engine kept that is gone or was restarted."""
        self._parts.pop(target_id, None)
        self._sizes.pop(target_id, None)

    def has(self, target_id: str, part_id: str) -> bool:
        """Tell whether an engine most likely keeps a part."""
        return part_id in self._parts.get(target_id, ())

    def holders(self, part_id: str) -> list[str]:
        """Return the engines that most likely keep a part."""
        return [
            target_id
            for target_id, parts in self._parts.items()
            if part_id in parts
        ]

    def _insert(self, location: PartLocation) -> None:
        target_id = location.target_id
        parts = self._parts.setdefault(target_id, OrderedDict())
        known = parts.pop(location.part_id, 0)
        parts[location.part_id] = location.tokens
        size = self._sizes.get(target_id, 0) + location.tokens - known
        while (
            size > self.memory_tokens * _CACHE_MEMORY_RATIO and len(parts) > 1
        ):
            size -= parts.popitem(last=False)[1]
        self._sizes[target_id] = size
