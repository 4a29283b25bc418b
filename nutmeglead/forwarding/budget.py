"""Limit the requests that are sent more than once, over all entry VMs together."""

from collections import deque

__all__ = ["RetryBudget"]

# Part of the allowed retries that is used, because the windows of the nodes and of the platform do
# not begin at the same time.
SAFETY_FACTOR = 0.75


class RetryBudget:
    """Allow retries up to a ratio of the requests in a sliding window, plus a base count.

    The base count is divided evenly by the nodes that may be alive.
    """

    def __init__(self, ratio: float, base: float, window_ms: int) -> None:
        self._requests: deque[int] = deque()
        self._retries: deque[int] = deque()
        self.set_bounds(ratio, base, window_ms)

    def set_bounds(self, ratio: float, base: float, window_ms: int) -> None:
        """Set the ratio of retries to requests, the base count and the length of the window."""
        self._ratio = ratio * SAFETY_FACTOR
        self._base = base * SAFETY_FACTOR
        self._window_ms = window_ms

    def count_request(self, now_ms: int) -> None:
        """Count a caller's request, which raises the number of allowed retries."""
        self._requests.append(now_ms)
        self._expire(now_ms)

    def try_consume(self, node_count: int, now_ms: int) -> bool:
        """Count a retry and return True if the budget allows it."""
        self._expire(now_ms)
        allowed = self._ratio * len(self._requests) + self._base / max(1, node_count)
        if len(self._retries) + 1 > allowed:
            return False
        self._retries.append(now_ms)
        return True

    def _expire(self, now_ms: int) -> None:
        """Discard the times that have left the window."""
        start_ms = now_ms - self._window_ms
        for times in (self._requests, self._retries):
            while times and times[0] < start_ms:
                times.popleft()
