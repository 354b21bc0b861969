"""Retry budget: keeps retries a small part of the requests."""

from typing import Final, final

RETRIES_PER_REQUEST: Final = 0.1
MAX_AVAILABLE_RETRIES: Final = 10.0


@final
class RetryBudget:
    """Budgets by service; each starts with all the retries it can save."""

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
        """Add the part of a retry that a new request earns."""
        available = self._available.get(service, self._max_available)
        self._available[service] = min(
            self._max_available, available + self._retries_per_request
        )

    def try_take_retry(self, service: str) -> bool:
        """Take one retry from the budget, if there is one."""
        available = self._available.get(service, self._max_available)
        if available < 1:
            return False
        self._available[service] = available - 1
        return True
