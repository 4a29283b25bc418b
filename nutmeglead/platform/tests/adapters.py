"""Open each adapter of a port on the same in-memory services, or on a service of another kind."""

import asyncio
from dataclasses import dataclass

from nutmeglead._generated.common.ttypes import Address
from nutmeglead.http.client import HttpFetcher
from nutmeglead.http.server import HttpServer
from nutmeglead.platform.http_objects import HttpObjectStore
from nutmeglead.platform.http_table import HttpTable
from nutmeglead.platform.http_vms import HttpVmList
from nutmeglead.platform.memory import MemoryObjectStore, MemoryTable, MemoryVmList
from nutmeglead.standin.platform import PlatformStandin

__all__ = ["GUARD_MS", "Services", "use_adapter", "use_stranger"]

GUARD_MS = 10_000
IP = "127.0.0.1"
HTTP_ADAPTERS = {"table": HttpTable, "objects": HttpObjectStore, "vms": HttpVmList}


@dataclass
class Services:
    """Hold the in-memory services that the adapters reach."""

    table: MemoryTable
    objects: MemoryObjectStore
    vms: MemoryVmList

    @classmethod
    def empty(cls):
        """Return services without any content."""
        return cls(MemoryTable(), MemoryObjectStore(), MemoryVmList())


def use_adapter(adapter, port_name, services, use):
    """Return what `use` gives for the memory or the http adapter of a port."""
    if adapter == "memory":
        return _run(use(getattr(services, port_name)))
    assert adapter == "http", adapter
    standin = PlatformStandin()
    standin.table, standin.objects, standin.vms = services.table, services.objects, services.vms
    return _run(_over_http(standin, port_name, use))


def use_stranger(answer, port_name, use):
    """Return what `use` gives if something else than the service answers on its address.

    `answer` is "STATUS BODY", "closed" for a connection that is cut, or "refused" for no listener.
    """
    return _run(_over_http(_Stranger(answer), port_name, use))


async def _over_http(service, port_name, use):
    port = await service.start(IP, 0)
    if getattr(service, "is_refusing", False):
        await service.stop()
    fetcher = HttpFetcher()
    try:
        return await use(HTTP_ADAPTERS[port_name](Address(IP, port), GUARD_MS, fetcher))
    finally:
        fetcher.close()
        await service.stop()


def _run(work):
    return asyncio.run(asyncio.wait_for(work, GUARD_MS / 1000))


class _Stranger:
    """Give every request the same answer."""

    def __init__(self, answer):
        self.is_refusing = answer == "refused"
        self._answer = answer
        self._server = HttpServer(self._handle)

    async def start(self, ip, port):
        return await self._server.start(ip, port)

    async def stop(self):
        await self._server.stop(0)

    async def _handle(self, exchange):
        if self._answer == "closed":
            exchange.abort()
            return
        status, _, body = self._answer.partition(" ")
        await exchange.start_response(int(status), [])
        if body:
            await exchange.send_body(body.encode())
        await exchange.finish_response()
