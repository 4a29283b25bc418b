"""Tell when a connection has waited for its caller for as long as it may."""

import asyncio
from collections.abc import Callable

__all__ = ["WaitTimer"]


class WaitTimer:
    """Timer whose owner decides what becomes of the connection.

    The caller's bytes may have arrived while the event loop stood still, so that `is_due` says no
    more than that the time is over. `late_ms` is how late that was noticed.
    """

    def __init__(self, on_due: Callable[[], None]) -> None:
        self.is_due = False
        self.late_ms = 0
        self._on_due = on_due
        self._due_s = 0.0
        self._handle: asyncio.TimerHandle | None = None

    def start(self, timeout_ms: int) -> None:
        """Replace the running time, if any, by one of `timeout_ms`."""
        self.stop()
        loop = asyncio.get_running_loop()
        self._due_s = loop.time() + timeout_ms / 1000
        self._handle = loop.call_at(self._due_s, self._set_due)

    def stop(self) -> None:
        """End the running time, or take back that it is over."""
        self.is_due = False
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None

    def _set_due(self) -> None:
        self._handle = None
        self.is_due = True
        self.late_ms = round((asyncio.get_running_loop().time() - self._due_s) * 1000)
        self._on_due()
