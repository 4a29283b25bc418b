"""Remember which units the policy moved in the last few rounds."""

from collections.abc import Iterable

from nutmeglead.placement.model import Move, MoveReason, Unit

__all__ = ["RecentMoves"]

# The counters of a moved unit and of both servers need this many rounds to show the new load.
ROUNDS = 6
_POLICY_REASONS = frozenset({MoveReason.IMBALANCE, MoveReason.HOT_KEY_PINNED})


class RecentMoves:
    """Keep the units that the policy moved, so that the next plans leave them in place."""

    def __init__(self, round_interval_ms: int) -> None:
        self._keep_ms = ROUNDS * round_interval_ms
        self._moved_ms: dict[Unit, int] = {}

    def add(self, moves: Iterable[Move], now_ms: int) -> None:
        """Note the moves of a plan that was written."""
        for move in moves:
            if move.reason in _POLICY_REASONS:
                self._moved_ms[move.unit] = now_ms

    def units(self, now_ms: int) -> frozenset[Unit]:
        """Return the units moved recently and forget the others."""
        oldest_ms = now_ms - self._keep_ms
        self._moved_ms = {unit: at for unit, at in self._moved_ms.items() if at > oldest_ms}
        return frozenset(self._moved_ms)
