"""Run a service until SIGTERM or SIGINT, then stop it gracefully."""

import asyncio
import logging
import signal
from typing import Protocol

from nutmeglead.core.events import Event, log_event

__all__ = ["Service", "run_until_signal"]

logger = logging.getLogger(__name__)


class Service(Protocol):
    """Be started once and stopped once."""

    async def start(self) -> None:
        """Bind the ports and begin to work."""
        ...

    async def stop(self) -> None:
        """Finish what is in flight and release the ports."""
        ...


async def run_until_signal(service: Service) -> None:
    """Start a service, wait for a signal and stop it gracefully."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    await service.start()
    log_event(logger, Event.PROGRAM_STARTED)
    try:
        await stop.wait()
    finally:
        log_event(logger, Event.PROGRAM_STOPPING)
        await service.stop()
        log_event(logger, Event.PROGRAM_STOPPED)
