"""Measure for how long the event loop stands still."""

import asyncio
import logging

from nutmeglead.core.clock import Clock
from nutmeglead.core.events import Event, log_event

__all__ = ["LoopMonitor"]

logger = logging.getLogger(__name__)

CHECK_INTERVAL_MS = 100
# A stall of this length delays a heartbeat by more than the interval between two heartbeats.
STALL_LIMIT_MS = 150


class LoopMonitor:
    """Log when a timer runs late; `max_late_ms` is the largest delay since the start."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self.max_late_ms = 0

    async def run(self) -> None:
        """Measure the delay of a timer at each interval, until cancelled."""
        while True:
            due_ms = self._clock.now_ms() + CHECK_INTERVAL_MS
            await asyncio.sleep(CHECK_INTERVAL_MS / 1000)
            self.record(self._clock.now_ms() - due_ms)

    def record(self, late_ms: int) -> None:
        """Record by how much a timer was late, and log it above the limit."""
        self.max_late_ms = max(self.max_late_ms, late_ms)
        if late_ms >= STALL_LIMIT_MS:
            log_event(logger, Event.EVENT_LOOP_STALLED, late_ms=late_ms)
