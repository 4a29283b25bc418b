"""Time limits on what a peer sends, judged by what has arrived."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from types import TracebackType

__all__ = ["ArrivalTimeout"]

# Passes of the event loop from the one that reads bytes to the one in which their reader has
# handled them, and read on; a new connection takes as many.
LOOK_PASSES = 4
# Looks at what goes on arriving. They suffice for an answer that is read whole before it is sent.
MAX_LOOKS = 20


class ArrivalTimeout:
    """Raise TimeoutError in its block after a time, as `asyncio.timeout` does.

    If the event loop stood still, the time is over before what has arrived is handled. The loop
    handles that first. `received_bytes` tells how much has arrived, or None if nothing is awaited.
    """

    def __init__(self, delay_s: float, received_bytes: Callable[[], int | None]) -> None:
        self._loop = asyncio.get_running_loop()
        self._end_s = self._loop.time() + delay_s
        self._received_bytes = received_bytes
        self._timeout = asyncio.timeout(None)
        self._handle: asyncio.Handle | None = None
        self._is_due = False
        self._passes_left = LOOK_PASSES
        self._looks_left = MAX_LOOKS

    async def __aenter__(self) -> ArrivalTimeout:
        await self._timeout.__aenter__()
        self._handle = self._loop.call_at(self._end_s, self._on_due)
        return self

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._is_due = True
        if self._handle is not None:
            self._handle.cancel()
        await self._timeout.__aexit__(error_type, error, traceback)

    def reschedule(self, end_s: float) -> None:
        """Replace the time at which it is over, unless that has come."""
        if self._is_due:
            return
        if self._handle is not None:
            self._handle.cancel()
        self._handle = self._loop.call_at(end_s, self._on_due)

    def _on_due(self) -> None:
        self._is_due = True
        self._look(self._received_bytes())

    def _look(self, received_bytes: int | None) -> None:
        """Expire if nothing can arrive; otherwise let the loop run and look again."""
        if received_bytes is None or not self._looks_left:
            self._expire()
            return
        self._looks_left -= 1
        self._passes_left = LOOK_PASSES
        self._handle = self._loop.call_soon(self._run_pass, received_bytes)

    def _run_pass(self, received_bytes: int) -> None:
        self._passes_left -= 1
        if self._passes_left:
            self._handle = self._loop.call_soon(self._run_pass, received_bytes)
            return
        now_received_bytes = self._received_bytes()
        if now_received_bytes == received_bytes:
            self._expire()
        else:
            self._look(now_received_bytes)

    def _expire(self) -> None:
        self._handle = None
        self._timeout.reschedule(self._loop.time())
