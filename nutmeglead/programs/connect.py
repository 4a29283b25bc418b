"""Create the clients by which the operators' programs reach the store and the entry VMs."""

import asyncio
from dataclasses import dataclass

from result import Err, Ok, Result

from nutmeglead._generated.peers.ttypes import NodeRow, TicketStatus
from nutmeglead._generated.settings.ttypes import Settings
from nutmeglead.core.clock import SystemClock
from nutmeglead.core.codec import decode
from nutmeglead.core.errors import NutmegleadError
from nutmeglead.core.ids import NodeId
from nutmeglead.entry.copies import TICKET_STATUS_PATH
from nutmeglead.entry.node_rows import NODES_TABLE
from nutmeglead.http.client import HttpFetcher
from nutmeglead.peers.fetch import fetch_struct
from nutmeglead.platform.store import StoreClient
from nutmeglead.platform.table import StoreTable
from nutmeglead.tickets.rows import TICKETS_TABLE

__all__ = ["Connections", "EntryNodes", "pause_ms"]

STORE_TIMEOUT_MS = 1_500
# A ticket is in force within 3 s; a node that does not answer must not hold up the others' answers.
STATUS_TIMEOUT_MS = 1_000


@dataclass(frozen=True)
class EntryNodes:
    """List the entry VMs of the store and query them for their ticket."""

    store: StoreClient
    fetcher: HttpFetcher

    async def list(self) -> Result[dict[NodeId, NodeRow], NutmegleadError]:
        """Return the rows of all entry VMs in the store by node id."""
        read = await self.store.read(NODES_TABLE, "")
        if isinstance(read, Err):
            return read
        nodes: dict[NodeId, NodeRow] = {}
        for row in read.ok_value.rows:
            decoded = decode(NodeRow, row.value or b"")
            if isinstance(decoded, Err):
                return decoded
            nodes[NodeId(row.key)] = decoded.ok_value
        return Ok(nodes)

    async def status(self, row: NodeRow) -> Result[TicketStatus, NutmegleadError]:
        """Return the number of the ticket that an entry VM follows, and what is still missing."""
        path, timeout_ms = TICKET_STATUS_PATH, STATUS_TIMEOUT_MS
        fetched = await fetch_struct(self.fetcher, row, path, TicketStatus, timeout_ms)
        return fetched.map(lambda found: found.message)


@dataclass(frozen=True)
class Connections:
    """Hold the clients that one run of an operator's program uses."""

    store: StoreClient
    tickets: StoreTable
    nodes: EntryNodes
    clock: SystemClock
    _fetcher: HttpFetcher

    @classmethod
    def open(cls, settings: Settings) -> "Connections":
        """Return clients for the addresses of the settings; they connect on first use."""
        fetcher, clock = HttpFetcher(), SystemClock()
        address = settings.store
        store = StoreClient(address.ip, address.port, fetcher, STORE_TIMEOUT_MS, clock)
        return cls(
            store, StoreTable(store, TICKETS_TABLE), EntryNodes(store, fetcher), clock, fetcher
        )

    def close(self) -> None:
        """Close the connections of all clients."""
        self._fetcher.close()


async def pause_ms(duration_ms: int) -> None:
    """Sleep for a duration between two attempts."""
    await asyncio.sleep(duration_ms / 1000)
