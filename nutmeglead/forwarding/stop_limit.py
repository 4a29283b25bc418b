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
    """Hold until when every request of this node has to be answered, or None while it runs."""

    answers_due_ms: int | None = None

    @property
    def is_set(self) -> bool:
        """Return whether the node is stopping."""
        return self.answers_due_ms is not None

    def start_by_ms(self, service_time_ms: float) -> float:
        """Return until when a request that takes this time may be sent to a server."""
        if self.answers_due_ms is None:
            return math.inf
        return self.answers_due_ms - service_time_ms / MAX_SHARE_OF_TIME_LEFT

    def end_ms(self, deadline_ms: int) -> int:
        """Return until when a request with a deadline has to be answered."""
        return deadline_ms if self.answers_due_ms is None else min(deadline_ms, self.answers_due_ms)
