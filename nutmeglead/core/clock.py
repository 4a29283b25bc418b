"""Read monotonic time in milliseconds, from the system or from a test."""

import time
from typing import Protocol

__all__ = ["Clock", "ManualClock", "SystemClock"]


class Clock(Protocol):
    """Tell monotonic and wall time."""

    def now_ms(self) -> int:
        """Return monotonic time in ms; only differences have a meaning."""
        ...

    def wall_ms(self) -> int:
        """Return the time since the Unix epoch in ms, for people to read."""
        ...


class SystemClock:
    """Read the system's boot-time clock.

    CLOCK_BOOTTIME counts the time that a suspended VM was stopped; CLOCK_MONOTONIC does not, so a
    lease would outlive its end on a VM that was suspended.
    """

    def now_ms(self) -> int:
        """Return the time since boot in ms."""
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000

    def wall_ms(self) -> int:
        """Return the time since the Unix epoch in ms."""
        return time.time_ns() // 1_000_000


class ManualClock:
    """Advance only when told to, for tests in virtual time."""

    def __init__(self, start_ms: int = 0) -> None:
        self._now_ms = start_ms

    def now_ms(self) -> int:
        """Return the virtual time in ms."""
        return self._now_ms

    def wall_ms(self) -> int:
        """Return the virtual time in ms."""
        return self._now_ms

    def advance(self, duration_ms: int) -> None:
        """Move the virtual time forward."""
        if duration_ms < 0:
            raise ValueError(f"duration must be 0 ms or more, got {duration_ms} ms")
        self._now_ms += duration_ms
