"""Tell what a stopping node may still send to its servers."""

from __future__ import annotations

import math
from dataclasses import dataclass

__all__ = ["StopLimit"]

# A server gets no request that is expected to take more than this share of the time left. One that
# is refused can be sent to another node; one that is cut off may have run.
MAX_SHARE_OF_TIME_LEFT = 1 / 3


@dataclass
class StopLimit:
    """Hold until when requests are sent to servers and have to be answered; None while it runs.

    The service time that is known of a server is a mean. A request that is sent late and takes many
    times as long would be given up, and its caller not know whether it has run.
    """

    last_start_ms: int | None = None
    answers_due_ms: int | None = None

    def begin(self, last_start_ms: int, answers_due_ms: int) -> None:
        """Set the times of a stop."""
        self.last_start_ms, self.answers_due_ms = last_start_ms, answers_due_ms

    @property
    def is_set(self) -> bool:
        """Return whether the node is stopping."""
        return self.answers_due_ms is not None

    def may_start(self, now_ms: int) -> bool:
        """Return whether a request may be sent to any server."""
        return self.last_start_ms is None or now_ms < self.last_start_ms

    def start_by_ms(self, service_time_ms: float) -> float:
        """Return until when a request that takes this time may be sent to a server."""
        if self.last_start_ms is None or self.answers_due_ms is None:
            return math.inf
        in_time_ms = self.answers_due_ms - service_time_ms / MAX_SHARE_OF_TIME_LEFT
        return min(self.last_start_ms, in_time_ms)

    def end_ms(self, deadline_ms: int) -> int:
        """Return until when a request with a deadline has to be answered."""
        return deadline_ms if self.answers_due_ms is None else min(deadline_ms, self.answers_due_ms)
