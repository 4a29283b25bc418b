"""Bound the rows that a controller writes to the table service."""

from collections import deque

__all__ = ["WriteBudget"]

WINDOW_MS = 1000


class WriteBudget:
    """Allow a number of row writes within any one second.

    A token bucket of the same size would allow twice as many in the second after an idle one.
    """

    def __init__(self, writes_per_s: int, now_ms: int) -> None:
        self._limit = writes_per_s
        self._latest_ms = now_ms
        self._recent: deque[tuple[int, int]] = deque()  # time and number of rows
        self._recent_count = 0

    def available(self, now_ms: int) -> int:
        """Return how many rows may be written now."""
        self._latest_ms = max(now_ms, self._latest_ms)
        while self._recent and self._recent[0][0] <= self._latest_ms - WINDOW_MS:
            self._recent_count -= self._recent.popleft()[1]
        return self._limit - self._recent_count

    def take_up_to(self, count: int, now_ms: int) -> int:
        """Take as many of the wanted rows as are available and return their number."""
        taken = min(count, self.available(now_ms))
        if taken:
            self._recent.append((self._latest_ms, taken))
            self._recent_count += taken
        return taken
