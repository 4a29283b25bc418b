"""Send the renewals of one entry VM and report silent servers."""

import asyncio
import logging
from collections.abc import Callable, Coroutine
from typing import Any

from result import Ok

from nutmeglead._generated.common.ttypes import Address
from nutmeglead._generated.messages.ttypes import Acknowledged, MessageType, SuspectServer
from nutmeglead.core.clock import Clock
from nutmeglead.core.events import Event, log_event
from nutmeglead.core.ids import ServiceName
from nutmeglead.ownership.renewer import RenewalOrder, Renewer
from nutmeglead.platform.ports import BackendControl
from nutmeglead.rpc.client import RpcClient

__all__ = ["RenewalLoop"]

logger = logging.getLogger(__name__)

# A tenth of the renewal interval: a renewal is sent at most this late.
INTERVAL_MS = 25
RPC_TIMEOUT_MS = 250


class RenewalLoop:
    """Run the renewer's orders on the event loop."""

    def __init__(
        self,
        renewer: Renewer,
        backend: BackendControl,
        rpc: RpcClient,
        clock: Clock,
        acting_address: Callable[[ServiceName], Address | None],
    ) -> None:
        self._renewer = renewer
        self._backend = backend
        self._rpc = rpc
        self._clock = clock
        self._acting_address = acting_address
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Send renewals until cancelled."""
        try:
            while True:
                now_ms = self._clock.now_ms()
                for order in self._renewer.due(now_ms):
                    self._start(self._renew(order))
                for suspicion in self._renewer.suspects(now_ms):
                    self._start(self._report(suspicion))
                await asyncio.sleep(INTERVAL_MS / 1000)
        finally:
            for task in self._tasks:
                task.cancel()

    def _start(self, action: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(action)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _renew(self, order: RenewalOrder) -> None:
        reply = await self._backend.renew(order.address, order.message)
        if isinstance(reply, Ok):
            self._renewer.on_reply(
                order.service_name,
                order.server_id,
                order.message,
                reply.ok_value,
                self._clock.now_ms(),
            )

    async def _report(self, suspicion: SuspectServer) -> None:
        log_event(
            logger,
            Event.SERVER_SUSPECTED,
            service=suspicion.service_name,
            server=suspicion.server_id,
            silent_ms=suspicion.silent_ms,
        )
        address = self._acting_address(ServiceName(suspicion.service_name))
        if address is not None:
            await self._rpc.call(
                address, MessageType.SUSPECT_SERVER, suspicion, Acknowledged, RPC_TIMEOUT_MS
            )
