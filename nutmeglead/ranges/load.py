"""Collect the keys of recent requests, from which the balancer estimates the load."""

from collections import deque
from collections.abc import Sequence

__all__ = ["BURST_WINDOW_MS", "LONG_WINDOW_MS", "SHORT_WINDOW_MS", "RecentKeyWindow"]

# Three load reports of each node. With many servers, a region of keys that has just become hot
# stands out in them; in a longer window, the calm time before it hides most of its load.
BURST_WINDOW_MS = 750
# Short enough to follow a hot key.
SHORT_WINDOW_MS = 2_500
# Long enough for differences between servers with a few requests a second each.
LONG_WINDOW_MS = 10_000
# Number of keys in a sample above which it is thinned.
MAX_SAMPLE = 6_000


class RecentKeyWindow:
    """Hold the request keys that nodes have reported in the last `LONG_WINDOW_MS`."""

    def __init__(self) -> None:
        self._reports: deque[tuple[int, Sequence[int]]] = deque()

    def add(self, keys: Sequence[int], now_ms: int) -> None:
        """Add the keys of a report that came at `now_ms`."""
        if keys:
            self._reports.append((now_ms, keys))
        self._expire(now_ms)

    def sample(self, now_ms: int, window_ms: int = SHORT_WINDOW_MS) -> list[int]:
        """Return the keys in a window, only every n-th one if there are more than MAX_SAMPLE."""
        self._expire(now_ms)
        start_ms = now_ms - window_ms
        keys = [key for at_ms, report in self._reports if at_ms >= start_ms for key in report]
        if len(keys) > MAX_SAMPLE:
            step = len(keys) // MAX_SAMPLE + 1
            keys = keys[::step]
        return keys

    def _expire(self, now_ms: int) -> None:
        while self._reports and self._reports[0][0] < now_ms - LONG_WINDOW_MS:
            self._reports.popleft()
