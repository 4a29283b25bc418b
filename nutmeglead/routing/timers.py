"""Run callbacks at monotonic times, from the event loop or from a test's virtual time."""

import asyncio
import heapq
import itertools
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import Protocol

from nutmeglead.core.clock import Clock, ManualClock

__all__ = ["Alarm", "LoopTimers", "ManualTimers", "Timers", "sleep_until", "time_limit"]


class Alarm(Protocol):
    """Cancel a callback that has not run yet."""

    def cancel(self) -> None:
        """Drop the callback; cancelling twice has no effect."""
        ...


class Timers(Protocol):
    """Call back at times of the injected clock."""

    @property
    def clock(self) -> Clock:
        """Return the clock that the times refer to."""
        ...

    def call_at(self, when_ms: int, callback: Callable[[], object]) -> Alarm:
        """Run a callback at or after a time, or at once in the next loop step if it passed."""
        ...


class LoopTimers:
    """Use the running loop's timers."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock

    def call_at(self, when_ms: int, callback: Callable[[], object]) -> Alarm:
        """Run a callback at or after a time."""
        delay_s = max(0, when_ms - self.clock.now_ms()) / 1000
        return asyncio.get_running_loop().call_later(delay_s, callback)


class _ManualAlarm:
    def __init__(self, callback: Callable[[], object]) -> None:
        self.callback: Callable[[], object] | None = callback

    def cancel(self) -> None:
        self.callback = None


class ManualTimers:
    """Fire alarms when a test advances the virtual time."""

    def __init__(self, clock: ManualClock) -> None:
        self.clock = clock
        self._alarms: list[tuple[int, int, _ManualAlarm]] = []
        self._order = itertools.count()

    def call_at(self, when_ms: int, callback: Callable[[], object]) -> Alarm:
        """Keep a callback until the virtual time reaches it."""
        alarm = _ManualAlarm(callback)
        heapq.heappush(self._alarms, (when_ms, next(self._order), alarm))
        return alarm

    def advance(self, duration_ms: int) -> None:
        """Move the virtual time forward and fire what is due, in time order."""
        end_ms = self.clock.now_ms() + duration_ms
        while self._alarms and self._alarms[0][0] <= end_ms:
            when_ms, _, alarm = heapq.heappop(self._alarms)
            self.clock.advance(max(0, when_ms - self.clock.now_ms()))
            if alarm.callback is not None:
                alarm.callback()
        self.clock.advance(end_ms - self.clock.now_ms())


@asynccontextmanager
async def time_limit(timers: Timers, deadline_ms: int) -> AsyncIterator[None]:
    """Raise TimeoutError in the block once the deadline has passed."""
    async with asyncio.timeout(None) as scope:
        alarm = timers.call_at(deadline_ms, lambda: scope.reschedule(0))
        try:
            yield
        finally:
            alarm.cancel()


async def sleep_until(timers: Timers, when_ms: int) -> None:
    """Wait until a time of the injected clock."""
    due = asyncio.Event()
    alarm = timers.call_at(when_ms, due.set)
    try:
        await due.wait()
    finally:
        alarm.cancel()
