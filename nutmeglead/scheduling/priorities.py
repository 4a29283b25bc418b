"""Give urgent requests the capacity of an overloaded server first."""

import math

__all__ = ["PriorityDemand"]

# Time in which an old request counts for a third of a new one in the measured demand. It holds
# several requests of each kind at the rates of a hot key, and is shorter than a peak of 4 to 6 s.
DEMAND_MEMORY_MS = 3_000.0


class PriorityDemand:
    """Measure the rate of requests by priority on one node; priority 0 is the most urgent."""

    def __init__(self) -> None:
        self._weights: dict[int, float] = {}
        self._updated_ms = 0

    def count(self, priority: int, now_ms: int) -> None:
        """Count an arrived request."""
        self._decay(now_ms)
        self._weights[priority] = self._weights.get(priority, 0.0) + 1.0

    def rate_per_ms(self, now_ms: int, below: float = math.inf) -> float:
        """Return the recent rate of the requests that are more urgent than the priority `below`."""
        self._decay(now_ms)
        weight = sum(weight for priority, weight in self._weights.items() if priority < below)
        return weight / DEMAND_MEMORY_MS

    def reserve_tokens(self, priority: int, rate_per_ms: float, now_ms: int) -> float:
        """Return the tokens that a request leaves for more urgent ones (trunk reservation).

        It is the part of the node's rate that these need. If they need all of it, tokens beyond the
        first never collect for less urgent requests.
        """
        urgent_per_ms = self.rate_per_ms(now_ms, priority)
        return min(1.0, urgent_per_ms / rate_per_ms) if rate_per_ms > 0 else 1.0

    def _decay(self, now_ms: int) -> None:
        elapsed_ms = now_ms - self._updated_ms
        if elapsed_ms > 0:
            factor = math.exp(-elapsed_ms / DEMAND_MEMORY_MS)
            self._weights = {p: w * factor for p, w in self._weights.items() if w * factor > 0.01}
            self._updated_ms = now_ms
