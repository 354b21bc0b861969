"""Ids of attempts that have started at this agent.

The agent must not state that one of them has not run.
"""

from collections import OrderedDict
from typing import Final, final

from peridotrill.clock import Clock

# Longer than the deadline of any request.
RETENTION_S: Final = 900.0
MAX_IDS: Final = 16384


@final
class SeenAttempts:
    """A bounded set of attempt ids, stored as 64-bit hashes.

    After a hash collision, an attempt that has not started counts as
    started. This is safe: it is then not reported as not run.
    """

    def __init__(self, clock: Clock, max_ids: int = MAX_IDS) -> None:
        """:param max_ids: limit above which the oldest ids are removed."""
        self._clock = clock
        self._max_ids = max_ids
        # An OrderedDict removes its oldest item in constant time.
        self._seen_at_s: OrderedDict[int, float] = OrderedDict()
        self._dropped_at_s = float('-inf')

    def add(self, attempt_id: str) -> None:
        """:param attempt_id: attempt that is about to start."""
        now_s = self._clock.monotonic_s()
        self._seen_at_s[hash(attempt_id)] = now_s
        while len(self._seen_at_s) > self._max_ids:
            _, oldest_s = self._seen_at_s.popitem(last=False)
            if now_s - oldest_s < RETENTION_S:
                self._dropped_at_s = now_s

    def may_contain(self, attempt_id: str) -> bool:
        """Tell whether the attempt may have started.

        After ids were removed before the end of their retention, this is
        true for every id until the retention of the removed ones has passed.

        :param attempt_id: any id.
        """
        now_s = self._clock.monotonic_s()
        if now_s - self._dropped_at_s < RETENTION_S:
            return True
        return hash(attempt_id) in self._seen_at_s
