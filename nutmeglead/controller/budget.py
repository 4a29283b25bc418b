"""Bound the rows that a controller writes to the table service."""

__all__ = ["WriteBudget"]


class WriteBudget:
    """Hold a token bucket of row writes that fills within one second."""

    def __init__(self, writes_per_s: int, now_ms: int) -> None:
        self._rate = writes_per_s
        self._tokens = float(writes_per_s)
        self._updated_ms = now_ms

    def available(self, now_ms: int) -> int:
        """Return how many rows may be written now."""
        elapsed_ms = max(0, now_ms - self._updated_ms)
        self._updated_ms = max(now_ms, self._updated_ms)
        self._tokens = min(float(self._rate), self._tokens + elapsed_ms * self._rate / 1000)
        return int(self._tokens)

    def take_up_to(self, count: int, now_ms: int) -> int:
        """Take as many of the wanted rows as are available and return their number."""
        taken = min(count, self.available(now_ms))
        self._tokens -= taken
        return taken
