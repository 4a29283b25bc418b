"""Define the source of the operator's configuration, and read it from the platform's tables."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from nutmeglead._generated.peers.ttypes import TicketStatus
from nutmeglead.entry.followed_table import FollowedTable
from nutmeglead.entry.tables import (
    apply_evacuation_rows,
    apply_manifest_rows,
    apply_server_rows,
)
from nutmeglead.platform.manifest import ManifestDecoder
from nutmeglead.platform.store import StoreRows
from nutmeglead.platform.wire import MANIFEST_TABLE, SERVERS_TABLE

if TYPE_CHECKING:
    from nutmeglead.entry.process import EntryProcess

__all__ = ["OperatorFeed", "PlatformFeed"]

MANIFEST_SETTLE_MS = 50
# Several server entries change together; the pause lets one call return all of them.
SERVERS_SETTLE_MS = 300


class OperatorFeed(Protocol):
    """Apply the operator's configuration to the parts of an entry process."""

    def begin(self) -> None:
        """Apply the configuration that is known without the store."""
        ...

    def tables(self) -> list[FollowedTable]:
        """Return the store tables to follow."""
        ...

    def status(self) -> TicketStatus | None:
        """Return the followed ticket and what it still lacks, or None if it has no tickets."""
        ...


class PlatformFeed:
    """Apply the manifest and the entries that servers write for themselves."""

    def __init__(self, process: EntryProcess) -> None:
        self._process = process
        self._manifest_decoder = ManifestDecoder()

    def begin(self) -> None:
        """Do nothing, since the manifest is in the store only."""

    def tables(self) -> list[FollowedTable]:
        """Return the operator's table (manifest, evacuations) and the table of server entries."""
        return [
            FollowedTable(MANIFEST_TABLE, self._on_manifest, MANIFEST_SETTLE_MS),
            FollowedTable(
                SERVERS_TABLE, self._on_servers, SERVERS_SETTLE_MS, self._on_servers_confirmed
            ),
        ]

    def status(self) -> TicketStatus | None:
        """Return None, since the platform has no tickets."""
        return None

    def _on_manifest(self, rows: StoreRows, is_snapshot: bool, after_outage: bool) -> None:
        process = self._process
        # Evacuations first: a manifest may name a service whose servers are all evacuated.
        apply_evacuation_rows(process.registry, process.clock, rows, is_snapshot)
        apply_manifest_rows(process.forwarder, self._manifest_decoder, process.clock, rows)
        self._process.start_controllers()

    def _on_servers(self, rows: StoreRows, is_snapshot: bool, after_outage: bool) -> None:
        process = self._process
        apply_server_rows(process.registry, process.clock, rows, is_snapshot, after_outage)

    def _on_servers_confirmed(self) -> None:
        self._process.registry.confirm_removals(self._process.clock.now_ms())
