"""Bind the ports of an entry process, which may not be free at once."""

import asyncio
import logging
from collections.abc import Awaitable, Callable

from nutmeglead.core.clock import Clock
from nutmeglead.core.events import Event, log_event

__all__ = ["PortBinder"]

logger = logging.getLogger(__name__)

# Time for which a start waits for its ports and its address. The process before this one may still
# hold them, and a VM that has just started may not have its address yet.
LISTEN_RETRY_MS = 5_000
LISTEN_RETRY_INTERVAL_MS = 200
OPTIONAL_RETRY_INTERVAL_MS = 5_000

Bind = Callable[[str, int], Awaitable[object]]


class PortBinder:
    """Bind ports at one address, all within LISTEN_RETRY_MS of the creation of this object."""

    def __init__(self, ip: str, clock: Clock) -> None:
        self._ip = ip
        self._clock = clock
        self._end_ms = clock.now_ms() + LISTEN_RETRY_MS

    async def bind(self, bind: Bind, port: int) -> None:
        """Bind a port as soon as possible; raise OSError if it cannot be bound in time."""
        while True:
            try:
                await bind(self._ip, port)
            except OSError as error:
                if self._clock.now_ms() >= self._end_ms:
                    raise
                log_event(logger, Event.LISTEN_DELAYED, port=port, error=str(error))
                await asyncio.sleep(LISTEN_RETRY_INTERVAL_MS / 1000)
            else:
                return

    async def try_bind(self, bind: Bind, port: int) -> bool:
        """Bind a port and return whether it could be bound; log the reason if not."""
        try:
            await bind(self._ip, port)
        except OSError as error:
            log_event(logger, Event.LISTEN_DELAYED, port=port, error=str(error))
            return False
        return True

    async def bind_optional(self, bind: Bind, port: int) -> None:
        """Bind a port without which the process can serve, however long that takes."""
        while not await self.try_bind(bind, port):
            await asyncio.sleep(OPTIONAL_RETRY_INTERVAL_MS / 1000)
