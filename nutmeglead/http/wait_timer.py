"""Tell when a connection has waited for its caller for as long as it may."""

import asyncio
from collections.abc import Callable

__all__ = ["WaitTimer"]


CLOCK_RESOLUTION_S = 0.001


class WaitTimer:
    """Timer whose owner decides what becomes of the connection.

    The limit may change while it runs. The caller's bytes may have arrived while the event loop
    stood still, so that `is_due` says no more than that the time is over. `late_ms` is how late
    that was noticed.
    """

    def __init__(self, on_due: Callable[[], None]) -> None:
        self.is_due = False
        self.late_ms = 0
        self._on_due = on_due
        self._started_s = 0.0
        self._limit_ms: Callable[[], int] = lambda: 0
        self._handle: asyncio.TimerHandle | None = None

    def start(self, limit_ms: Callable[[], int]) -> None:
        """Replace the running time, if any, by one that is over after `limit_ms`."""
        self.stop()
        self._started_s = asyncio.get_running_loop().time()
        self._limit_ms = limit_ms
        self._await_limit()

    def stop(self) -> None:
        """End the running time, or take back that it is over."""
        self.is_due = False
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None

    def _due_s(self) -> float:
        return self._started_s + self._limit_ms() / 1000

    def _await_limit(self) -> None:
        self._handle = asyncio.get_running_loop().call_at(self._due_s(), self._on_limit)

    def _on_limit(self) -> None:
        """Wait on if the limit was raised."""
        self._handle = None
        late_s = asyncio.get_running_loop().time() - self._due_s()
        # The event loop runs timers early by up to the resolution of its clock.
        if late_s < -CLOCK_RESOLUTION_S:
            self._await_limit()
            return
        self.is_due = True
        self.late_ms = max(0, round(late_s * 1000))
        self._on_due()
