"""Run coroutines on an event loop whose time advances without waiting."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

__all__ = ["VirtualClock", "VirtualLoop", "run_virtual"]

T = TypeVar("T")

# The Unix time at the start of a run, so that incarnations and starts are plausible.
START_WALL_MS = 1_700_000_000_000


class _VirtualSelector(selectors.SelectSelector):
    """Advance the virtual time in place of a wait."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 1_000.0

    def select(self, timeout: float | None = None) -> Any:
        if timeout is None:
            raise RuntimeError("the run waits for an event that no timer will bring")
        events = super().select(0)
        if not events and timeout > 0:
            self.now_s += timeout
        return events


class VirtualLoop(asyncio.SelectorEventLoop):
    """Jump to the next timer when nothing else is to do."""

    def __init__(self) -> None:
        self._virtual = _VirtualSelector()
        super().__init__(self._virtual)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._virtual.now_s


class VirtualClock:
    """Read a virtual loop's time; `offset_ms` shifts the wall clock only."""

    def __init__(self, loop: VirtualLoop, offset_ms: int = 0) -> None:
        self._loop = loop
        self._offset_ms = offset_ms

    def now_ms(self) -> int:
        """Return the virtual time in ms."""
        return round(self._loop.time() * 1000)

    def wall_ms(self) -> int:
        """Return the virtual time since the Unix epoch in ms."""
        return START_WALL_MS + self._offset_ms + self.now_ms()


def run_virtual(build: Any, loop: VirtualLoop | None = None) -> Any:
    """Run the coroutine that `build` returns for a clock, and return its result."""
    loop = loop or VirtualLoop()
    asyncio.set_event_loop(loop)
    try:
        coroutine: Coroutine[Any, Any, Any] = build(VirtualClock(loop))
        return loop.run_until_complete(coroutine)
    finally:
        _end_tasks(loop)
        asyncio.set_event_loop(None)
        loop.close()


def _end_tasks(loop: VirtualLoop) -> None:
    tasks = asyncio.all_tasks(loop)
    for task in tasks:
        task.cancel()
    if tasks:
        loop.run_until_complete(asyncio.gather(*tasks, return_exceptions=True))
