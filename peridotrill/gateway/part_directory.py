"""Directory of the shared prompt parts that engines are likely to cache.

Updated whenever this gateway or a peer has an engine process a part. Engines
evict the least recently used parts, and so do their lists here.
"""

from collections import OrderedDict, deque
from collections.abc import Iterable
from typing import Final, NamedTuple, final

# Smaller parts are not worth tracking or transferring.
MIN_PART_TOKENS: Final = 800
# Fraction of an engine's memory that shared parts are assumed to fill. Running
# requests and unshared parts need the rest.
_CACHE_MEMORY_RATIO: Final = 0.7
# Each location is repeated in this many reports, since reports may be lost.
_REPORT_COUNT: Final = 3


class PartLocation(NamedTuple):
    """A part that an engine has computed or received."""

    part_id: str
    target_id: str
    tokens: int


@final
class PartDirectory:
    """Cached parts by engine, in least recently used order."""

    def __init__(self, memory_tokens: int) -> None:
        """:param memory_tokens: assumed memory of an engine."""
        self.memory_tokens = memory_tokens
        self._parts: dict[str, OrderedDict[str, int]] = {}
        self._sizes: dict[str, int] = {}
        self._recent: deque[list[PartLocation]] = deque(
            [[] for _ in range(_REPORT_COUNT)],
            maxlen=_REPORT_COUNT,
        )

    def record(self, location: PartLocation) -> None:
        """Record that an engine has a part, and report it to peers."""
        if location.tokens >= MIN_PART_TOKENS:
            self._recent[-1].append(location)
            self._insert(location)

    def observe_peer(self, locations: Iterable[PartLocation]) -> None:
        """Add the locations that another gateway reports."""
        for location in locations:
            self._insert(location)

    def listing(self, max_parts: int) -> list[PartLocation]:
        """Return the most recently used parts of each engine.

        :param max_parts: maximum number of parts of all engines together.
        """
        per_engine = max(1, max_parts // max(1, len(self._parts)))
        return [
            PartLocation(part_id, target_id, tokens)
            for target_id, parts in self._parts.items()
            for part_id, tokens in list(parts.items())[-per_engine:]
        ]

    def take_report_entries(self) -> list[PartLocation]:
        """Return the locations for the next report to peers."""
        recent = [row for rows in self._recent for row in rows]
        self._recent.append([])
        return recent

    def forget(self, target_id: str) -> None:
        """Drop the parts of an engine that was removed or restarted."""
        self._parts.pop(target_id, None)
        self._sizes.pop(target_id, None)

    def has(self, target_id: str, part_id: str) -> bool:
        """Return whether an engine is likely to have a part."""
        return part_id in self._parts.get(target_id, ())

    def holders(self, part_id: str) -> list[str]:
        """Return the engines that are likely to have a part."""
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
