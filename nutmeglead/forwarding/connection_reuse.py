"""Decide how long a connection to a service's servers may have been idle when it is reused."""

__all__ = ["ReuseLimits"]

# A request that cannot be sent again is lost if its connection was forgotten, so its limit stays
# well below the time for which servers keep idle connections.
MAX_IDLE_MS = 20_000
MAX_IDLE_AT_MOST_ONCE_MS = 4_000
MIN_IDLE_MS = 50
# After a connection turned out to be forgotten, the limit is this part of the time it was idle.
BACKOFF_FACTOR = 0.5
# The limit doubles in this time once no further forgotten connection shows.
RECOVERY_MS = 2_000


class ReuseLimits:
    """Limit the idle time of reused connections to the servers of one service.

    Servers state how long they keep an idle connection, but some forget it sooner, and all of a
    service's servers are likely to. The first lost connection lowers the limit for all of them.
    """

    def __init__(self) -> None:
        self.stale_count = 0
        self._limit_ms = float(MAX_IDLE_MS)
        self._lowered_ms = 0

    def max_idle_ms(self, may_repeat: bool, now_ms: int) -> float:
        """Return the longest idle time of a connection for a request."""
        limit_ms = self._limit_at(now_ms)
        return limit_ms if may_repeat else min(limit_ms, MAX_IDLE_AT_MOST_ONCE_MS)

    def record_stale(self, idle_ms: int, now_ms: int) -> None:
        """Lower the limit after a reused connection broke before its answer began."""
        self.stale_count += 1
        limit_ms = min(self._limit_at(now_ms), BACKOFF_FACTOR * idle_ms)
        self._limit_ms = max(MIN_IDLE_MS, limit_ms)
        self._lowered_ms = now_ms

    def _limit_at(self, now_ms: int) -> float:
        if self._limit_ms >= MAX_IDLE_MS:
            return MAX_IDLE_MS
        doublings = (now_ms - self._lowered_ms) / RECOVERY_MS
        return float(min(MAX_IDLE_MS, self._limit_ms * 2 ** min(doublings, 10)))
