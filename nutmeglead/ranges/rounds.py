"""Decide when the balancer plans moves, and from which of the recent requests."""

from collections.abc import Mapping, Sequence

from nutmeglead.forwarding.model import ServerIncarnation
from nutmeglead.ranges.balance import BalanceSettings, ServerCapacity, plan_moves
from nutmeglead.ranges.load import (
    BURST_WINDOW_MS,
    LONG_WINDOW_MS,
    SHORT_WINDOW_MS,
    RecentKeyWindow,
)
from nutmeglead.ranges.model import RangeMap
from nutmeglead.ranges.moves import Move
from nutmeglead.ranges.pins import Interval

__all__ = ["BalanceRounds"]

ROUND_INTERVAL_MS = 500
# The interval of the nodes' load reports.
BURST_INTERVAL_MS = 250
# With fewer servers, the moves of the regular rounds spread a hot region in a second or two.
MANY_SERVERS = 40
# In the short window of a burst round, chance alone brings a server close to twice the mean.
BURST_RATIO = 2.0


class BalanceRounds:
    """Plan the moves of a service's regular rounds, and of burst rounds between them.

    A region of keys that has just become hot must go to a part of all servers, so with many servers
    more moves are needed, and sooner than the regular rounds make them.
    """

    def __init__(self) -> None:
        self._next_round_ms = 0
        self._next_burst_ms = 0

    def plan(
        self,
        ranges: RangeMap,
        servers: Mapping[ServerIncarnation, ServerCapacity],
        recent_keys: RecentKeyWindow,
        pinned: Sequence[Interval],
        now_ms: int,
    ) -> list[Move]:
        """Return the moves that are due, for a load that has just changed or for one that lasts."""
        moves: list[Move] = []
        if len(servers) >= MANY_SERVERS and now_ms >= self._next_burst_ms:
            self._next_burst_ms = now_ms + BURST_INTERVAL_MS
            burst = BalanceSettings(max_moves=len(servers) // 4, high_ratio=BURST_RATIO)
            sample = recent_keys.sample(now_ms, BURST_WINDOW_MS)
            if len(sample) >= burst.min_hits_per_server * len(servers):
                moves = plan_moves(ranges, servers, sample, burst, pinned)
        if moves or now_ms < self._next_round_ms:
            return moves
        self._next_round_ms = now_ms + ROUND_INTERVAL_MS
        for window_ms in (SHORT_WINDOW_MS, LONG_WINDOW_MS):
            sample = recent_keys.sample(now_ms, window_ms)
            moves = plan_moves(ranges, servers, sample, BalanceSettings(), pinned)
            if moves:
                return moves
        return []
