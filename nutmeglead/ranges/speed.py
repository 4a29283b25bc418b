"""Estimate the service times of servers from the answers that all nodes report."""

from dataclasses import dataclass

__all__ = ["ServerSpeeds"]

# Age at which an answer counts half as much as a new one.
HALF_LIFE_MS = 4_000
# The mean of all servers counts as this many answers in the estimate for each server.
PRIOR_COUNT = 4.0
# Service time that is assumed while no server has answered.
DEFAULT_TIME_MS = 100.0
# Once there are 50 answers in all, a reported mean is cut to this multiple of the mean of all
# servers: one slow answer in a hundred takes five times as long, and the estimate must not follow
# it.
MAX_RATIO = 3.0
# Times are reported in whole milliseconds; capacities are divided by them.
MIN_TIME_MS = 1.0


@dataclass
class _DecayedSum:
    """Hold the number of answers and the sum of their service times, both decayed with age."""

    count: float = 0.0
    total_ms: float = 0.0
    at_ms: int = 0

    def decay(self, now_ms: int) -> None:
        factor = 0.5 ** ((now_ms - self.at_ms) / HALF_LIFE_MS)
        self.count *= factor
        self.total_ms *= factor
        self.at_ms = now_ms


class ServerSpeeds:
    """Hold decayed sums of the answers of each server, by its tag, and of all servers."""

    def __init__(self) -> None:
        self._sums: dict[int, _DecayedSum] = {}
        self._all = _DecayedSum()

    def add(self, tag: int, count: int, mean_ms: float, now_ms: int) -> None:
        """Add a number of answers of a server with their mean service time."""
        overall_mean_ms = self._mean_ms(self._all, DEFAULT_TIME_MS)
        bounded_ms = max(mean_ms, MIN_TIME_MS)
        if self._all.count >= 50:
            bounded_ms = min(bounded_ms, MAX_RATIO * overall_mean_ms)
        for entry in (self._sums.setdefault(tag, _DecayedSum(at_ms=now_ms)), self._all):
            entry.decay(now_ms)
            entry.count += count
            entry.total_ms += count * bounded_ms

    def expected_time_ms(self, tag: int, now_ms: int) -> float:
        """Return a server's expected service time; the mean of all for one without answers."""
        overall_mean_ms = self._mean_ms(self._all, DEFAULT_TIME_MS)
        entry = self._sums.get(tag)
        if entry is None:
            return overall_mean_ms
        entry.decay(now_ms)
        total_ms = entry.total_ms + PRIOR_COUNT * overall_mean_ms
        return total_ms / (entry.count + PRIOR_COUNT)

    @staticmethod
    def _mean_ms(entry: _DecayedSum, default_ms: float) -> float:
        return entry.total_ms / entry.count if entry.count >= 1 else default_ms
