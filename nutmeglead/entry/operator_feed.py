"""Follow what the operator wants: the users' platform's tables, or the product's own tickets."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from nutmeglead._generated.peers.ttypes import TicketStatus
from nutmeglead.entry.tables import apply_manifest_rows, apply_server_rows
from nutmeglead.entry.watch import FedTable
from nutmeglead.platform.store import StoreRows
from nutmeglead.platform.wire import MANIFEST_TABLE, SERVERS_TABLE

if TYPE_CHECKING:
    from nutmeglead.entry.process import EntryProcess

__all__ = ["OperatorFeed", "PlatformFeed"]

MANIFEST_SETTLE_MS = 50
# Several server entries change together; their feed is asked again after a pause.
SERVERS_SETTLE_MS = 300


class OperatorFeed(Protocol):
    """Pass the operator's wishes on to the parts of an entry process."""

    def begin(self) -> None:
        """Pass on what is known without the store."""
        ...

    def tables(self) -> list[FedTable]:
        """Return the tables to follow."""
        ...

    def status(self) -> TicketStatus | None:
        """Return the ticket in force, or None if there are no tickets."""
        ...


class PlatformFeed:
    """Follow the manifest and the servers' own entries."""

    def __init__(self, process: EntryProcess) -> None:
        self._process = process

    def begin(self) -> None:
        """Do nothing; without the store there is no manifest."""

    def tables(self) -> list[FedTable]:
        """Return the tables that the operator and the servers write."""
        return [
            FedTable(MANIFEST_TABLE, self._on_manifest, MANIFEST_SETTLE_MS),
            FedTable(SERVERS_TABLE, self._on_servers, SERVERS_SETTLE_MS),
        ]

    def status(self) -> TicketStatus | None:
        """Return None; the platform has no tickets."""
        return None

    def _on_manifest(self, rows: StoreRows, is_snapshot: bool, after_outage: bool) -> None:
        apply_manifest_rows(self._process.forwarder, rows)
        self._process.follow_manifest()

    def _on_servers(self, rows: StoreRows, is_snapshot: bool, after_outage: bool) -> None:
        process = self._process
        apply_server_rows(process.registry, process.clock, rows, is_snapshot, after_outage)
