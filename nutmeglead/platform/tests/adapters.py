"""Adapters of the TableStore port under test, and one whose address another service has."""

import asyncio

from nutmeglead.core.clock import ManualClock
from nutmeglead.emulator.rows import CallFault, RowStore, RowStoreFetcher
from nutmeglead.http.client import HttpFetcher
from nutmeglead.http.exchange import CallerLimits
from nutmeglead.http.pipeline import PipelineServer
from nutmeglead.platform.memory import MemoryTable, TableFault
from nutmeglead.platform.store import StoreClient
from nutmeglead.platform.table import StoreTable

__all__ = ["TEST_TIMEOUT_MS", "MemoryTableFixture", "StoreTableFixture", "run_on_foreign_service"]

# A test whose call never ends fails after this time.
TEST_TIMEOUT_MS = 10_000
IP = "127.0.0.1"
TABLE = "things"
LIMITS = CallerLimits(16_384, 65_536, 3_000, 15_000)


class MemoryTableFixture:
    """The table in memory, with its injected faults."""

    def __init__(self):
        self.table = MemoryTable()

    def fail_next_commit(self, fault):
        self.table.next_commit_faults.append(TableFault(fault))

    def take_down(self):
        self.table.fault = TableFault.UNAVAILABLE


class StoreTableFixture:
    """The adapter to the platform's store, on an emulated store with injected faults."""

    def __init__(self):
        clock = ManualClock()
        self.fetcher = RowStoreFetcher(RowStore(clock))
        self.table = StoreTable(StoreClient(IP, 80, self.fetcher, TEST_TIMEOUT_MS, clock), TABLE)

    def fail_next_commit(self, fault):
        self.fetcher.next_transact_faults.append(CallFault(fault))

    def take_down(self):
        self.fetcher.fault = CallFault.UNAVAILABLE


def run_on_foreign_service(answer, operation):
    """Return the result of an operation on a table if another service has the store's address.

    `answer` is what the service does with each request: "STATUS BODY" is its answer, "closed" means
    that it cuts the connection, and "refused" that nothing listens on the port.
    """
    return asyncio.run(asyncio.wait_for(_run_over_http(answer, operation), TEST_TIMEOUT_MS / 1000))


async def _run_over_http(answer, operation):
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
        store = StoreClient(IP, port, fetcher, TEST_TIMEOUT_MS, ManualClock())
        return await operation(StoreTable(store, TABLE))
    finally:
        fetcher.close()
        await server.close()
