"""Token bucket whose rate and capacity may change at any time."""

from typing import final


@final
class TokenBucket:
    """Tokens that are added at a rate, up to a capacity."""

    def __init__(self, now_s: float, tokens: float = 0) -> None:
        """:param now_s: monotonic time since which tokens are added."""
        self._updated_s = now_s
        self.tokens = tokens

    def refill(self, now_s: float, rate_per_s: float, capacity: float) -> None:
        """Add the tokens of the time since the last call."""
        elapsed_s = max(0.0, now_s - self._updated_s)
        self.tokens = min(capacity, self.tokens + elapsed_s * rate_per_s)
        self._updated_s = now_s
