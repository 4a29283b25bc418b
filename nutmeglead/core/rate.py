"""Rate limit by a token bucket."""

__all__ = ["RateBudget"]


class RateBudget:
    """Token bucket that holds the tokens of up to one second, at least one, and starts with one."""

    def __init__(self, rate_per_s: float) -> None:
        self._rate_per_s = rate_per_s
        self._tokens = 1.0
        self._last_refill_ms: int | None = None

    def try_consume(self, now_ms: int) -> bool:
        """Take one token and return True, or return False if there is none."""
        if self._last_refill_ms is not None:
            new_tokens = (now_ms - self._last_refill_ms) / 1000 * self._rate_per_s
            self._tokens = min(max(1.0, self._rate_per_s), self._tokens + new_tokens)
        self._last_refill_ms = now_ms
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
