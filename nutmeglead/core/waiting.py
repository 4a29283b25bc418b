"""Wait for an event for a bounded time."""

import asyncio
import contextlib

__all__ = ["wait_at_most"]


async def wait_at_most(event: asyncio.Event, timeout_ms: int) -> None:
    """Return when the event is set or the time has passed.

    `asyncio.wait_for` of Python 3.11 swallows a cancellation that arrives together with the event,
    so a loop that waits with it may never end.
    """
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(timeout_ms / 1000):
            await event.wait()
