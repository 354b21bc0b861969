"""Budget for sending a request to a further target.

The bound holds for the sum over all gateways in a sliding window. Each
gateway therefore spends only what its own requests earn, plus its part of
the fixed allowance; nothing is shared, so that a cut, a pause or a restart
of one gateway cannot break the sum.
"""

from collections import deque
from typing import Final, NamedTuple, final

from peridotrill.clock import Clock

# Part of the bound that is used. The rest covers windows of other gateways
# that are not aligned with this one's.
_USED_RATIO: Final = 0.7


class RetryBounds(NamedTuple):
    """The bound: ``ratio`` times the requests, plus ``allowance``.

    Both are counted for each service in any window of ``window_s``.
    """

    ratio: float
    allowance: float
    window_s: float


@final
class _Window:
    def __init__(self) -> None:
        self.requests: deque[float] = deque()
        self.retries: deque[float] = deque()

    def expire(self, before_s: float) -> None:
        """Drop what happened before a time."""
        for events in (self.requests, self.retries):
            while events and events[0] < before_s:
                events.popleft()


@final
class RetryBudget:
    """Counts requests and repeats of one gateway by service."""

    def __init__(self, bounds: RetryBounds, clock: Clock) -> None:
        """:param bounds: for the whole system."""
        self._bounds = bounds
        self._clock = clock
        self._windows: dict[str, _Window] = {}

    def apply_bounds(self, bounds: RetryBounds) -> None:
        """Use other bounds from now on."""
        self._bounds = bounds

    def record_request(self, service: str) -> None:
        """Count a request that a caller sent."""
        self._window(service).requests.append(self._clock.monotonic_s())

    def try_take_retry(self, service: str, gateways: int) -> bool:
        """Take one repeat if the budget has one.

        :param gateways: number of gateways that share the allowance.
        """
        window = self._window(service)
        earned = len(window.requests) * self._bounds.ratio
        share = self._bounds.allowance / max(1, gateways)
        if len(window.retries) + 1 > (earned + share) * _USED_RATIO:
            return False
        window.retries.append(self._clock.monotonic_s())
        return True

    def record_retry(self, service: str) -> None:
        """Count a repeat that cannot be avoided."""
        self._window(service).retries.append(self._clock.monotonic_s())

    def _window(self, service: str) -> _Window:
        window = self._windows.setdefault(service, _Window())
        window.expire(self._clock.monotonic_s() - self._bounds.window_s)
        return window
