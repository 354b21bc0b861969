"""Ids of attempts that have started here, so that none is denied later."""

from collections import OrderedDict
from typing import Final, final

from peridotrill.clock import Clock

# Longer than the deadline of any request.
RETENTION_S: Final = 900.0
MAX_IDS: Final = 16384


@final
class SeenAttempts:
    """A bounded memory of attempt ids, as their 64-bit hashes.

    A collision makes an attempt look as if it had started, which is the
    harmless side.
    """

    def __init__(self, clock: Clock, max_ids: int = MAX_IDS) -> None:
        """:param max_ids: the oldest are dropped above it."""
        self._clock = clock
        self._max_ids = max_ids
        # An ordered dict gives its oldest item in constant time.
        self._seen_at_s: OrderedDict[int, float] = OrderedDict()
        self._dropped_at_s = float('-inf')

    def add(self, attempt_id: str) -> None:
        """:param attempt_id: is about to start."""
        now_s = self._clock.monotonic_s()
        self._seen_at_s[hash(attempt_id)] = now_s
        while len(self._seen_at_s) > self._max_ids:
            _, oldest_s = self._seen_at_s.popitem(last=False)
            if now_s - oldest_s < RETENTION_S:
                self._dropped_at_s = now_s

    def may_contain(self, attempt_id: str) -> bool:
        """Tell whether the attempt may have started.

        :param attempt_id: any id; true for all of them for a while after
            ids were dropped before their retention.
        """
        now_s = self._clock.monotonic_s()
        if now_s - self._dropped_at_s < RETENTION_S:
            return True
        return hash(attempt_id) in self._seen_at_s
