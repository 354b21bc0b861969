"""Retry budget: keeps retries a small part of the requests."""

from typing import Final, final

RETRIES_PER_REQUEST: Final = 0.1
MAX_SAVED_RETRIES: Final = 10.0


@final
class RetryBudget:
    """Budgets by service; each starts with all the retries it can save."""

    def __init__(
        self,
        per_request: float = RETRIES_PER_REQUEST,
        max_saved: float = MAX_SAVED_RETRIES,
    ) -> None:
        """:param per_request: retries that each new request adds."""
        self._per_request = per_request
        self._max_saved = max_saved
        self._saved: dict[str, float] = {}

    def record_request(self, service: str) -> None:
        """Add the part of a retry that a new request earns."""
        saved = self._saved.get(service, self._max_saved)
        self._saved[service] = min(self._max_saved, saved + self._per_request)

    def try_retry(self, service: str) -> bool:
        """Take one retry from the budget, if there is one."""
        saved = self._saved.get(service, self._max_saved)
        if saved < 1:
            return False
        self._saved[service] = saved - 1
        return True
