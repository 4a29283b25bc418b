"""Bound how often something may happen per second."""

__all__ = ["RateBudget"]


class RateBudget:
    """Hold tokens for up to one second; `try_consume` uses one."""

    def __init__(self, per_s: float) -> None:
        self._per_s = per_s
        self._tokens = 1.0
        self._refilled_ms: int | None = None

    def try_consume(self, now_ms: int) -> bool:
        """Use one token if there is one."""
        if self._refilled_ms is not None:
            gained = (now_ms - self._refilled_ms) / 1000 * self._per_s
            self._tokens = min(max(1.0, self._per_s), self._tokens + gained)
        self._refilled_ms = now_ms
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
