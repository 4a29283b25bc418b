"""Bound the requests that are sent more than once, over all entry VMs together."""

from collections import deque

__all__ = ["RetryBudget"]

# Kept back, because the nodes' windows and the platform's do not begin at the same time.
SAFETY = 0.75


class RetryBudget:
    """Allow repeats up to a ratio of the requests in a sliding window, plus a base.

    The base is shared evenly by the living nodes.
    """

    def __init__(self, ratio: float, base: float, window_ms: int) -> None:
        self._requests: deque[int] = deque()
        self._repeats: deque[int] = deque()
        self.set_bounds(ratio, base, window_ms)

    def set_bounds(self, ratio: float, base: float, window_ms: int) -> None:
        """Set the ratio of repeats, their base and the length of the window."""
        self._ratio = ratio * SAFETY
        self._base = base * SAFETY
        self._window_ms = window_ms

    def count_request(self, now_ms: int) -> None:
        """Note a request of a caller."""
        self._requests.append(now_ms)
        self._expire(now_ms)

    def try_consume(self, node_count: int, now_ms: int) -> bool:
        """Consume one repeat if the budget allows it."""
        self._expire(now_ms)
        allowed = self._ratio * len(self._requests) + self._base / max(1, node_count)
        if len(self._repeats) + 1 > allowed:
            return False
        self._repeats.append(now_ms)
        return True

    def _expire(self, now_ms: int) -> None:
        start_ms = now_ms - self._window_ms
        for times in (self._requests, self._repeats):
            while times and times[0] < start_ms:
                times.popleft()
