"""Measure rates with exponentially decayed counters."""

from __future__ import annotations

import math
from array import array
from heapq import nlargest
from typing import Generic, TypeVar

__all__ = ["DecayClock", "DecayingArray", "DecayingDict"]

K = TypeVar("K")

# The weight of new counts grows by forward decay. Rescaling at 2**40 keeps 12 more bits of a double
# than the oldest count that still matters has lost.
_RESCALE_WEIGHT = 2.0**40


class DecayClock:
    """Give the weight of a count at a time, by forward decay (Cormode et al. 2009).

    A count made one half-life later weighs twice as much, so old counts need no update.
    """

    def __init__(self, half_life_ms: int, now_ms: int) -> None:
        if half_life_ms <= 0:
            raise ValueError(f"half-life must be more than 0 ms, got {half_life_ms} ms")
        self._half_life_ms = half_life_ms
        self._landmark_ms = now_ms
        self._start_ms = now_ms
        self._mean_life_s = half_life_ms / math.log(2.0) / 1000.0

    def cover(self, since_ms: int) -> None:
        """Note that a count covers a time before the start, such as a report's window."""
        self._start_ms = min(self._start_ms, since_ms)

    def weight(self, now_ms: int) -> float:
        """Return the weight of a count made now."""
        return float(2.0 ** ((now_ms - self._landmark_ms) / self._half_life_ms))

    def rate_factor(self, now_ms: int) -> float:
        """Return what turns a weighted sum into a rate per second.

        The counters have run only since the start; without the correction, rates would be too low
        in the first half-lives.
        """
        age = max(1, now_ms - self._start_ms) / self._half_life_ms
        return 1.0 / (self.weight(now_ms) * self._mean_life_s * (1.0 - 2.0**-age))

    def rescale(self, now_ms: int) -> float | None:
        """Return the divisor to apply to all sums when the weight has grown large, else None."""
        weight = self.weight(now_ms)
        if weight < _RESCALE_WEIGHT:
            return None
        self._landmark_ms = now_ms
        return weight


class DecayingArray:
    """Count events of numbered things; one double each."""

    def __init__(self, length: int, half_life_ms: int, now_ms: int) -> None:
        self.clock = DecayClock(half_life_ms, now_ms)
        self._sums = array("d", bytes(8 * length))

    def __len__(self) -> int:
        return len(self._sums)

    def add(self, index: int, count: float, now_ms: int) -> None:
        """Count events that happened now."""
        divisor = self.clock.rescale(now_ms)
        if divisor is not None:
            self._sums = array("d", (value / divisor for value in self._sums))
        self._sums[index] += count * self.clock.weight(now_ms)

    def shift(self, index: int, rate: float, now_ms: int) -> None:
        """Change the present rate of one index; it does not fall below 0."""
        change = rate / self.clock.rate_factor(now_ms)
        self._sums[index] = max(0.0, self._sums[index] + change)

    def rate(self, index: int, now_ms: int) -> float:
        """Return the present rate per second of one index."""
        return self._sums[index] * self.clock.rate_factor(now_ms)

    def rates(self, now_ms: int) -> array[float]:
        """Return the present rates per second."""
        factor = self.clock.rate_factor(now_ms)
        return array("d", (value * factor for value in self._sums))


class DecayingDict(Generic[K]):
    """Count events of named things."""

    def __init__(self, half_life_ms: int, now_ms: int) -> None:
        self.clock = DecayClock(half_life_ms, now_ms)
        self._sums: dict[K, float] = {}

    def __contains__(self, name: K) -> bool:
        return name in self._sums

    def add(self, name: K, count: float, now_ms: int) -> None:
        """Count events that happened now."""
        divisor = self.clock.rescale(now_ms)
        if divisor is not None:
            self._sums = {key: value / divisor for key, value in self._sums.items()}
        self._sums[name] = self._sums.get(name, 0.0) + count * self.clock.weight(now_ms)

    def set_rate(self, name: K, rate: float, now_ms: int) -> None:
        """Set the present rate per second of one name."""
        self._sums[name] = rate / self.clock.rate_factor(now_ms)

    def remove(self, name: K, now_ms: int) -> float:
        """Remove a name and return its last rate per second."""
        return self._sums.pop(name, 0.0) * self.clock.rate_factor(now_ms)

    def keep_largest(self, count: int) -> None:
        """Remove all but the largest names."""
        if len(self._sums) > count:
            self._sums = dict(nlargest(count, self._sums.items(), key=lambda entry: entry[1]))

    def rates(self, now_ms: int) -> dict[K, float]:
        """Return the present rates per second."""
        factor = self.clock.rate_factor(now_ms)
        return {key: value * factor for key, value in self._sums.items()}
