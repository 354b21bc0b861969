"""Retry budget: bounds retries to a small fraction of the requests."""

from typing import Final, final

RETRIES_PER_REQUEST: Final = 0.1
MAX_AVAILABLE_RETRIES: Final = 10.0


@final
class RetryBudget:
    """Retry budgets by service; each starts with the maximum."""

    def __init__(
        self,
        retries_per_request: float = RETRIES_PER_REQUEST,
        max_available: float = MAX_AVAILABLE_RETRIES,
    ) -> None:
        """:param per_request: retries that each new request adds."""
        self._retries_per_request = retries_per_request
        self._max_available = max_available
        self._available: dict[str, float] = {}

    def record_request(self, service: str) -> None:
        """Credit the budget for a new request."""
        available = self._available.get(service, self._max_available)
        self._available[service] = min(
            self._max_available, available + self._retries_per_request
        )

    def try_take_retry(self, service: str) -> bool:
        """Spend one retry if the budget allows it."""
        available = self._available.get(service, self._max_available)
        if available < 1:
            return False
        self._available[service] = available - 1
        return True
