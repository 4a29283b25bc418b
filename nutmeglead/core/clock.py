"""Clocks in milliseconds: the clock of the system, and one that a test advances."""

import time
from typing import Protocol

__all__ = ["Clock", "ManualClock", "SystemClock"]


class Clock(Protocol):
    """Interface of a source of monotonic time and wall-clock time."""

    def now_ms(self) -> int:
        """Return monotonic time in ms from an arbitrary origin; use it for differences only."""
        ...

    def wall_ms(self) -> int:
        """Return the wall-clock time in ms since the Unix epoch, for timestamps."""
        ...


class SystemClock:
    """Clock that reads CLOCK_BOOTTIME as its monotonic time.

    CLOCK_BOOTTIME includes the time for which a VM was suspended. CLOCK_MONOTONIC does not, so a VM
    that was suspended would go on using a lease that has expired.
    """

    def now_ms(self) -> int:
        """Return the time since boot in ms, including time for which the VM was suspended."""
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000

    def wall_ms(self) -> int:
        """Return the wall-clock time in ms since the Unix epoch."""
        return time.time_ns() // 1_000_000


class ManualClock:
    """Clock that moves only when `advance` is called, for tests in virtual time."""

    def __init__(self, start_ms: int = 0) -> None:
        self._now_ms = start_ms

    def now_ms(self) -> int:
        """Return the virtual time in ms."""
        return self._now_ms

    def wall_ms(self) -> int:
        """Return the virtual time in ms."""
        return self._now_ms

    def advance(self, duration_ms: int) -> None:
        """Move the virtual time forward; raise ValueError for a negative duration."""
        if duration_ms < 0:
            raise ValueError(
                f"a clock cannot be moved back: expected 0 ms or more, got {duration_ms} ms"
            )
        self._now_ms += duration_ms
