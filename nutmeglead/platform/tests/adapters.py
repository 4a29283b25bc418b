"""Open each adapter of the TableStore port, or one on a service of another kind."""

import asyncio

from nutmeglead.core.clock import ManualClock
from nutmeglead.emulator.rows import CallFault, RowStore, RowStoreFetcher
from nutmeglead.http.client import HttpFetcher
from nutmeglead.http.exchange import CallerLimits
from nutmeglead.http.pipeline import PipelineServer
from nutmeglead.platform.memory import MemoryTable, TableFault
from nutmeglead.platform.store import StoreClient
from nutmeglead.platform.table import StoreTable

__all__ = ["GUARD_MS", "MemoryService", "RowService", "use_stranger"]

GUARD_MS = 10_000
IP = "127.0.0.1"
TABLE = "things"
LIMITS = CallerLimits(16_384, 65_536, 3_000, 15_000)


class MemoryService:
    """Hold a table in memory."""

    def __init__(self):
        self.table = MemoryTable()

    def fail_next_commit(self, fault):
        self.table.next_commit_faults.append(TableFault(fault))

    def take_down(self):
        self.table.fault = TableFault.UNAVAILABLE


class RowService:
    """Hold the adapter on a row store that speaks the platform's protocol."""

    def __init__(self):
        clock = ManualClock()
        self.fetcher = RowStoreFetcher(RowStore(clock))
        self.table = StoreTable(StoreClient(IP, 80, self.fetcher, GUARD_MS, clock), TABLE)

    def fail_next_commit(self, fault):
        self.fetcher.next_transact_faults.append(CallFault(fault))

    def take_down(self):
        self.fetcher.fault = CallFault.UNAVAILABLE


def use_stranger(answer, use):
    """Return what `use` gives for a table if something else answers on the store's address.

    `answer` is "STATUS BODY", "closed" for a connection that is cut, or "refused" for no listener.
    """
    return asyncio.run(asyncio.wait_for(_over_http(answer, use), GUARD_MS / 1000))


async def _over_http(answer, use):
    async def handle(exchange):
        if answer == "closed":
            exchange.abort()
            return
        status, _, body = answer.partition(" ")
        await exchange.respond(int(status), [], body.encode())

    server = PipelineServer(handle, lambda: LIMITS, ManualClock())
    port = await server.start(IP, 0)
    if answer == "refused":
        await server.close()
    fetcher = HttpFetcher()
    try:
        store = StoreClient(IP, port, fetcher, GUARD_MS, ManualClock())
        return await use(StoreTable(store, TABLE))
    finally:
        fetcher.close()
        await server.close()
