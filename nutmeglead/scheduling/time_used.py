"""Estimate how much of its time a caller has used before this attempt.

The attempts of a caller bear no common id. But callers state the time that they have left, and a
first attempt states one of the few full times that are usual on its route, where returned callers
state times that are spread.
"""

from collections import Counter
from dataclasses import dataclass

__all__ = ["TimeUsed", "TimeUsedSettings"]


@dataclass(frozen=True)
class TimeUsedSettings:
    """Set which stated times count as full: those of at least `usual_share` of the requests.

    Returned callers are spread over several buckets of `bucket_ms`, none of which has that share.
    Counts are halved every `half_life_ms`, which is longer than a peak.
    """

    bucket_ms: int = 100
    usual_share: float = 0.15
    half_life_ms: int = 10_000


class TimeUsed:
    """Count the times that callers of one route state, and estimate what they have used."""

    def __init__(self, settings: TimeUsedSettings) -> None:
        self._settings = settings
        self._counts: Counter[int] = Counter()
        self._total = 0.0
        self._halved_ms = 0

    def observe(self, stated_ms: int, now_ms: int) -> None:
        """Count the time that a request states to have left."""
        if now_ms - self._halved_ms >= self._settings.half_life_ms:
            self._halved_ms = now_ms
            # Rare buckets are forgotten.
            self._counts = Counter({b: n // 2 for b, n in self._counts.items() if n > 1})
            self._total = sum(self._counts.values())
        self._counts[self._bucket(stated_ms)] += 1
        self._total += 1

    def used_ms(self, stated_ms: int) -> int:
        """Return the time used so far: what is missing to the next usual time, or 0."""
        settings = self._settings
        bucket = self._bucket(stated_ms)
        if self._is_usual(bucket):
            return 0
        above = [b for b in self._counts if b > bucket and self._is_usual(b)]
        return min(above) * settings.bucket_ms - stated_ms if above else 0

    def _bucket(self, stated_ms: int) -> int:
        """Return the bucket of a time; full times are round, less some milliseconds on the way."""
        return (stated_ms + self._settings.bucket_ms // 4) // self._settings.bucket_ms

    def _is_usual(self, bucket: int) -> bool:
        return self._counts[bucket] >= self._settings.usual_share * self._total
