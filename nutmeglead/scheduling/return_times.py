"""Choose the times at which refused callers return."""

import math
import random
from collections import Counter
from dataclasses import dataclass

from nutmeglead.core.registry import Registry
from nutmeglead.scheduling.counts import LoadCounts

__all__ = ["RETURN_TIMES", "Refused", "ReturnSchedule", "ReturnSettings", "ServiceTimeReturns"]


@dataclass(frozen=True)
class ReturnSettings:
    """Set how refused callers are spread over the time that they have left.

    `variant` names a variant of `RETURN_TIMES`. Callers wait at most `honoured_share` of the time
    that they have left, whatever they are told.
    """

    variant: str = "schedule"
    honoured_share: float = 1 / 3
    slot_ms: int = 250
    # Returns that cannot be in time are spread over the end of the honoured time, from this part
    # of it on: a later return more often falls after the peak.
    late_from_share: float = 0.7


@dataclass(frozen=True)
class Refused:
    """Describe a refused request: the times that it has left, and the service that it wanted.

    `rate_per_ms` is this node's equal part of what the servers finish, and `backlog_ms` the time in
    which they work off what is ahead of a new request. While the excess is lasting, an early return
    would meet the same excess.
    """

    left_ms: float
    target_left_ms: float
    service_time_ms: float
    rate_per_ms: float
    backlog_ms: float
    is_lasting: bool


RETURN_TIMES: Registry[type["ServiceTimeReturns"]] = Registry("return times")


@RETURN_TIMES.register("service-time")
class ServiceTimeReturns:
    """Let every refused caller return after the typical service time."""

    def __init__(self, settings: ReturnSettings, rng: random.Random, counts: LoadCounts) -> None:
        self._counts = counts
        self._settings = settings
        self._rng = rng

    def retry_after_ms(self, refused: Refused, now_ms: int) -> int:
        """Return the Retry-After time of a refused request."""
        return round(refused.service_time_ms)


@RETURN_TIMES.register("schedule")
class ReturnSchedule(ServiceTimeReturns):
    """Promise each return a place in this node's part of the servers' rate.

    Returns come to any node, but every node promises only its own part, so the sum is what the
    servers finish. Promises are kept by time slots and forgotten when their slot is over, also if
    the key has moved or cooled. A caller for whom no place is left returns as late as it would.
    """

    def __init__(self, settings: ReturnSettings, rng: random.Random, counts: LoadCounts) -> None:
        super().__init__(settings, rng, counts)
        self._promised: Counter[int] = Counter()
        self._draws: dict[int, float] = {}

    def retry_after_ms(self, refused: Refused, now_ms: int) -> int:
        """Return the Retry-After time, and count the promise."""
        settings = self._settings
        bound_ms = refused.left_ms * settings.honoured_share
        first_ms = refused.backlog_ms
        is_late = first_ms + refused.service_time_ms > refused.target_left_ms
        if refused.is_lasting or is_late:
            first_ms = max(first_ms, settings.late_from_share * bound_ms)
        if first_ms >= bound_ms:
            self._counts.unplaced_returns += 1
            return math.floor(bound_ms)
        slot_ms = settings.slot_ms
        self._forget_before(now_ms // slot_ms)
        first_slot = math.ceil((now_ms + first_ms) / slot_ms)
        end_slot = math.floor((now_ms + bound_ms) / slot_ms)
        for slot in range(first_slot, end_slot):
            if self._promised[slot] < self._place_count(slot, refused.rate_per_ms):
                self._promised[slot] += 1
                self._counts.promised_returns += 1
                return round((slot + self._rng.random()) * slot_ms - now_ms)
        self._counts.unplaced_returns += 1
        return math.floor(self._rng.uniform(first_ms, bound_ms))

    def _place_count(self, slot: int, rate_per_ms: float) -> int:
        """Return the node's places in a time slot, which are most often less than one on average.

        They are rounded by a draw for each node and slot, so that the sum over nodes is the rate.
        """
        if slot not in self._draws:
            self._draws[slot] = self._rng.random()
        return math.floor(rate_per_ms * self._settings.slot_ms + self._draws[slot])

    def _forget_before(self, slot: int) -> None:
        for past in [known for known in self._draws if known < slot]:
            del self._draws[past]
            self._promised.pop(past, None)
