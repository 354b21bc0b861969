"""Budget for retrying requests at other targets.

The limit applies to the sum over all gateways in a sliding window: a ratio of
the requests plus a constant allowance. Each gateway stays within the ratio of
its own requests plus an equal share of the allowance. The gateways exchange no
counts for this, so a network partition, a pause or a restart of a gateway
cannot violate the limit.
"""

from collections import deque
from typing import Final, NamedTuple, final

from peridotrill.clock import Clock

# A gateway uses only this fraction of its part of the limit. The rest is a
# margin, since the windows of the gateways are not aligned with each other.
_SAFETY_FACTOR: Final = 0.7


class RetryBounds(NamedTuple):
    """Limit on the retries of each service in any window of ``window_s``.

    The limit is ``allowance`` plus ``ratio`` times the number of requests in
    the window.
    """

    ratio: float
    allowance: float
    window_s: float


@final
class _Window:
    """Monotonic times of the recent requests and retries of one service."""

    def __init__(self) -> None:
        self.request_times_s: deque[float] = deque()
        self.retry_times_s: deque[float] = deque()

    def drop_before(self, start_s: float) -> None:
        """Drop the times before the start of the window."""
        for times_s in (self.request_times_s, self.retry_times_s):
            while times_s and times_s[0] < start_s:
                times_s.popleft()


@final
class RetryBudget:
    """Limits the retries of one gateway, separately for each service."""

    def __init__(self, bounds: RetryBounds, clock: Clock) -> None:
        """:param bounds: limits for the sum over all gateways."""
        self._bounds = bounds
        self._clock = clock
        self._windows: dict[str, _Window] = {}

    def apply_bounds(self, bounds: RetryBounds) -> None:
        """Apply changed bounds; the counts are kept."""
        self._bounds = bounds

    def record_request(self, service: str) -> None:
        """Count a request from a caller, which increases the budget."""
        self._current_window(service).request_times_s.append(
            self._clock.monotonic_s()
        )

    def try_take_retry(
        self, service: str, gateway_count: int, share: float = 1
    ) -> bool:
        """Consume one retry of the budget; return False if it is exhausted.

        :param gateway_count: number of gateways that share the allowance.
        :param share: part of the budget that counts, for retries that must
            leave the rest to others.
        """
        window = self._current_window(service)
        earned = len(window.request_times_s) * self._bounds.ratio
        allowance = self._bounds.allowance / max(1, gateway_count)
        limit = (earned + allowance) * _SAFETY_FACTOR * share
        if len(window.retry_times_s) + 1 > limit:
            return False
        window.retry_times_s.append(self._clock.monotonic_s())
        return True

    def record_retry(self, service: str) -> None:
        """Count a retry that is made even if the budget is exhausted."""
        self._current_window(service).retry_times_s.append(
            self._clock.monotonic_s()
        )

    def _current_window(self, service: str) -> _Window:
        window = self._windows.setdefault(service, _Window())
        window.drop_before(self._clock.monotonic_s() - self._bounds.window_s)
        return window
