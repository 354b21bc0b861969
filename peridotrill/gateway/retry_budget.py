"""Budget for retrying requests at other targets.

The limit applies to the sum over all gateways in a sliding window. Each
gateway therefore spends only the retries earned by its own requests, plus its
share of the fixed allowance. No state is shared, so a network partition, a
pause or a restart of a gateway cannot violate the limit.
"""

from collections import deque
from typing import Final, NamedTuple, final

from peridotrill.clock import Clock

# Fraction of the limit that is used. The rest covers windows of other gateways
# that are not aligned with the window of this one.
_USED_RATIO: Final = 0.7


class RetryBounds(NamedTuple):
    """Retries are limited to ``ratio`` times the requests plus ``allowance``.

    The limit applies to each service in any window of ``window_s``.
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
        """Drop the events before a given time."""
        for events in (self.requests, self.retries):
            while events and events[0] < before_s:
                events.popleft()


@final
class RetryBudget:
    """Counts requests and retries of one gateway by service."""

    def __init__(self, bounds: RetryBounds, clock: Clock) -> None:
        """:param bounds: limits for the sum over all gateways."""
        self._bounds = bounds
        self._clock = clock
        self._windows: dict[str, _Window] = {}

    def apply_bounds(self, bounds: RetryBounds) -> None:
        """Replace the bounds."""
        self._bounds = bounds

    def record_request(self, service: str) -> None:
        """Count a request from a caller."""
        self._window(service).requests.append(self._clock.monotonic_s())

    def try_take_retry(self, service: str, gateways: int) -> bool:
        """Take a retry from the budget; return False if there is none.

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
        """Count an unavoidable retry, whatever the budget."""
        self._window(service).retries.append(self._clock.monotonic_s())

    def _window(self, service: str) -> _Window:
        window = self._windows.setdefault(service, _Window())
        window.expire(self._clock.monotonic_s() - self._bounds.window_s)
        return window
