"""Collect the keys of recent requests, from which the balancer estimates the load."""

from collections import deque
from collections.abc import Sequence

__all__ = ["RecentKeyWindow"]

# Long enough to tell servers apart at 25 requests/s each, short enough to follow a hot key.
WINDOW_MS = 2_500
# Number of keys in a sample above which it is thinned.
MAX_SAMPLE = 6_000


class RecentKeyWindow:
    """Hold the request keys that nodes have reported in the last `window_ms`."""

    def __init__(self, window_ms: int = WINDOW_MS) -> None:
        self._window_ms = window_ms
        self._reports: deque[tuple[int, Sequence[int]]] = deque()

    def add(self, keys: Sequence[int], now_ms: int) -> None:
        """Add the keys of a report that came at `now_ms`."""
        if keys:
            self._reports.append((now_ms, keys))
        self._expire(now_ms)

    def sample(self, now_ms: int) -> list[int]:
        """Return the keys in the window, only every n-th one if there are more than MAX_SAMPLE."""
        self._expire(now_ms)
        keys = [key for _, report in self._reports for key in report]
        if len(keys) > MAX_SAMPLE:
            step = len(keys) // MAX_SAMPLE + 1
            keys = keys[::step]
        return keys

    def _expire(self, now_ms: int) -> None:
        while self._reports and self._reports[0][0] < now_ms - self._window_ms:
            self._reports.popleft()
