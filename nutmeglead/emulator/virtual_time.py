"""Run coroutines on an event loop whose time advances without waiting for it to pass."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

__all__ = ["VirtualClock", "VirtualLoop", "run_virtual"]

T = TypeVar("T")

# Unix time that is added to the virtual time, so that incarnations and start times are plausible.
START_WALL_MS = 1_700_000_000_000


class _VirtualSelector(selectors.SelectSelector):
    """Advance the virtual time by the timeout instead of waiting for it."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 1_000.0

    def select(self, timeout: float | None = None) -> Any:
        if timeout is None:
            raise RuntimeError(
                "deadlock: the event loop has no ready callback and no scheduled timer"
            )
        events = super().select(0)
        if not events and timeout > 0:
            self.now_s += timeout
        return events


class VirtualLoop(asyncio.SelectorEventLoop):
    """Advance to the next timer when no callback or socket is ready."""

    def __init__(self) -> None:
        self._virtual_selector = _VirtualSelector()
        super().__init__(self._virtual_selector)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._virtual_selector.now_s

    def stand_still(self, duration_s: float) -> None:
        """Let time pass within a callback, as one that takes long does."""
        self._virtual_selector.now_s += duration_s


class VirtualClock:
    """Read the time of a virtual loop; `offset_ms` is added to the wall clock only."""

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
    """Run the coroutine that `build` returns for a virtual clock, and return its result.

    Tasks that are left afterwards are cancelled, and the loop is closed.
    """
    loop = loop or VirtualLoop()
    asyncio.set_event_loop(loop)
    try:
        coroutine: Coroutine[Any, Any, Any] = build(VirtualClock(loop))
        return loop.run_until_complete(coroutine)
    finally:
        _cancel_tasks(loop)
        asyncio.set_event_loop(None)
        loop.close()


def _cancel_tasks(loop: VirtualLoop) -> None:
    tasks = asyncio.all_tasks(loop)
    for task in tasks:
        task.cancel()
    if tasks:
        loop.run_until_complete(asyncio.gather(*tasks, return_exceptions=True))
