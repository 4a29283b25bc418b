"""Run callbacks at monotonic times, from the event loop or from a test's virtual time."""

import asyncio
import heapq
import itertools
from collections.abc import Callable
from types import TracebackType
from typing import Protocol

from nutmeglead.core.clock import Clock, ManualClock

__all__ = [
    "Alarm",
    "LoopTimers",
    "ManualTimers",
    "TimeLimit",
    "Timers",
    "sleep_until",
    "time_limit",
]


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


class TimeLimit:
    """Raise TimeoutError in the block once the deadline has passed.

    It cancels the task as asyncio.timeout does, without the cost of a generator and of a second
    timer per block.
    """

    __slots__ = ("_alarm", "_cancelling", "_deadline_ms", "_is_over", "_task", "_timers")

    def __init__(self, timers: Timers, deadline_ms: int) -> None:
        self._timers = timers
        self._deadline_ms = deadline_ms
        self._is_over = False

    async def __aenter__(self) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._task = task
        self._cancelling = task.cancelling()
        self._alarm = self._timers.call_at(self._deadline_ms, self._end)

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._alarm.cancel()
        if not self._is_over:
            return
        # Another cancellation that came as well must not be hidden by the timeout.
        is_only = self._task.uncancel() <= self._cancelling
        if is_only and kind is asyncio.CancelledError:
            raise TimeoutError from error

    def _end(self) -> None:
        self._is_over = True
        self._task.cancel()


def time_limit(timers: Timers, deadline_ms: int) -> TimeLimit:
    """Return a context manager that raises TimeoutError in its block after the deadline."""
    return TimeLimit(timers, deadline_ms)


async def sleep_until(timers: Timers, when_ms: int) -> None:
    """Wait until a time of the injected clock."""
    due = asyncio.Event()
    alarm = timers.call_at(when_ms, due.set)
    try:
        await due.wait()
    finally:
        alarm.cancel()
