"""Bounds the memory for responses that are read as a whole.

A target may send bytes without end until its connection is closed.
"""

from typing import Final, final

from peridotrill.exceptions import TargetOutcomeUnknown

# Limit for a body that is read as a whole; a gateway has a few hundred MB of
# memory.
_MAX_BODY_BYTES: Final = 16 * 1024 * 1024
# Limit for the bodies that are being read as a whole on all connections.
_MAX_TOTAL_BODY_BYTES: Final = 48 * 1024 * 1024
# Bodies up to this size are read even if others have exhausted that limit.
_FREE_BODY_BYTES: Final = 64 * 1024


@final
class BodyBudget:
    """Bounds the memory for the bodies that are read on many connections."""

    def __init__(self, max_bytes: int = _MAX_TOTAL_BODY_BYTES) -> None:
        """:param max_bytes: limit for the sum of all bodies."""
        self._max_bytes = max_bytes
        self.used_bytes = 0

    def try_take(self, size_bytes: int) -> bool:
        """Use a part of the budget; return False if it is exhausted."""
        if self.used_bytes + size_bytes > self._max_bytes:
            return False
        self.used_bytes += size_bytes
        return True

    def give_back(self, size_bytes: int) -> None:
        """Return a part of the budget."""
        self.used_bytes -= size_bytes


@final
class ReservedBytes:
    """The part of a budget that one body uses."""

    def __init__(self, budget: BodyBudget) -> None:
        self._budget = budget
        self._taken_bytes = 0

    def grow(self, size_bytes: int) -> None:
        """Raise TargetOutcomeUnknown if a body is too large."""
        lacking = size_bytes - _FREE_BODY_BYTES - self._taken_bytes
        if lacking <= 0:
            return
        if size_bytes > _MAX_BODY_BYTES or not self._budget.try_take(lacking):
            raise TargetOutcomeUnknown('response body too large')
        self._taken_bytes += lacking

    def release(self) -> None:
        """Return what was taken."""
        self._budget.give_back(self._taken_bytes)
        self._taken_bytes = 0
