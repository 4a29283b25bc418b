"""Connect the operators' programs to the platform and to the entry VMs."""

import asyncio
import random
from dataclasses import dataclass

from result import Result

from nutmeglead._generated.common.ttypes import Address, Sender
from nutmeglead._generated.messages.ttypes import InForceReply, InForceRequest, MessageType
from nutmeglead._generated.settings.ttypes import Settings
from nutmeglead.core.clock import SystemClock
from nutmeglead.core.errors import NutmegleadError
from nutmeglead.core.ids import TicketNumber
from nutmeglead.http.client import HttpFetcher
from nutmeglead.platform.http_objects import HttpObjectStore
from nutmeglead.platform.http_table import HttpTable
from nutmeglead.platform.http_vms import HttpVmList
from nutmeglead.rpc.client import RpcClient

__all__ = ["Connections", "pause_ms"]


@dataclass(frozen=True)
class Connections:
    """Hold the adapters of one run of an operator's program."""

    table: HttpTable
    objects: HttpObjectStore
    vms: HttpVmList
    sender: Sender
    clock: SystemClock
    timeout_ms: int
    _fetcher: HttpFetcher
    _rpc: RpcClient

    @classmethod
    def open(cls, settings: Settings, program: str, rng: random.Random) -> "Connections":
        """Create the adapters; connections are opened on first use."""
        platform = settings.platform
        timeout_ms = platform.request_timeout_ms
        fetcher = HttpFetcher()
        clock = SystemClock()
        # Two runs in the same millisecond must not write the same audit objects.
        incarnation = f"{clock.wall_ms()}-{rng.getrandbits(32):08x}"
        return cls(
            table=HttpTable(platform.table_service, timeout_ms, fetcher),
            objects=HttpObjectStore(platform.object_store, timeout_ms, fetcher),
            vms=HttpVmList(platform.vm_list, timeout_ms, fetcher),
            sender=Sender(f"{program}-{settings.node.node_id}", incarnation),
            clock=clock,
            timeout_ms=timeout_ms,
            _fetcher=fetcher,
            _rpc=RpcClient(clock, rng),
        )

    async def ask(
        self, address: Address, number: TicketNumber
    ) -> Result[InForceReply, NutmegleadError]:
        """Ask the controller of an entry VM whether a ticket is in force."""
        request = InForceRequest(self.sender, number)
        return await self._rpc.call(
            address, MessageType.IN_FORCE, request, InForceReply, self.timeout_ms
        )

    async def close(self) -> None:
        """Close all connections."""
        self._fetcher.close()
        await self._rpc.close()


async def pause_ms(duration_ms: int) -> None:
    """Wait before the next attempt."""
    await asyncio.sleep(duration_ms / 1000)
