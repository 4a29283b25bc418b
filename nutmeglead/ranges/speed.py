"""Estimate the servers' capacities from the service times that all nodes report."""

from dataclasses import dataclass

__all__ = ["ServerSpeeds"]

HALF_LIFE_MS = 4_000
# Until a server has answered this often, it is taken for an average one.
PRIOR_COUNT = 4.0
DEFAULT_TIME_MS = 100.0
# One slow answer in a hundred takes five times as long; the estimate must not follow it.
MAX_RATIO = 3.0


@dataclass
class _Sum:
    count: float = 0.0
    total_ms: float = 0.0
    at_ms: int = 0

    def decay(self, now_ms: int) -> None:
        factor = 0.5 ** ((now_ms - self.at_ms) / HALF_LIFE_MS)
        self.count *= factor
        self.total_ms *= factor
        self.at_ms = now_ms


class ServerSpeeds:
    """Keep decayed sums of the answers of each server, by tag, and of all together."""

    def __init__(self) -> None:
        self._sums: dict[int, _Sum] = {}
        self._all = _Sum()

    def add(self, tag: int, count: int, mean_ms: float, now_ms: int) -> None:
        """Enter answers of a server."""
        typical_ms = self._mean_ms(self._all, DEFAULT_TIME_MS)
        bounded_ms = min(mean_ms, MAX_RATIO * typical_ms) if self._all.count >= 50 else mean_ms
        for entry in (self._sums.setdefault(tag, _Sum(at_ms=now_ms)), self._all):
            entry.decay(now_ms)
            entry.count += count
            entry.total_ms += count * bounded_ms

    def time_ms(self, tag: int, now_ms: int) -> float:
        """Return the expected service time of a server."""
        typical_ms = self._mean_ms(self._all, DEFAULT_TIME_MS)
        entry = self._sums.get(tag)
        if entry is None:
            return typical_ms
        entry.decay(now_ms)
        total_ms = entry.total_ms + PRIOR_COUNT * typical_ms
        return total_ms / (entry.count + PRIOR_COUNT)

    @staticmethod
    def _mean_ms(entry: _Sum, default_ms: float) -> float:
        return entry.total_ms / entry.count if entry.count >= 1 else default_ms
