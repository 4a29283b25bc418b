"""Maintain the rows of the entry VMs in the store."""

import asyncio
import logging
from collections.abc import Callable, Collection

from result import Err

from nutmeglead._generated.peers.ttypes import NodeRow
from nutmeglead.core.clock import Clock
from nutmeglead.core.codec import decode, encode
from nutmeglead.core.events import Event, log_event
from nutmeglead.core.ids import NodeId
from nutmeglead.entry.contact import StoreContact
from nutmeglead.peers.membership import Membership
from nutmeglead.platform.node_settings import NodeSettings
from nutmeglead.platform.store import StoreClient, StoreRow, StoreRows

__all__ = ["NODES_TABLE", "NodeRows"]

logger = logging.getLogger(__name__)

NODES_TABLE = "nodes"
# An acting node removes the row of a node that has not been heard of for this time.
NODE_ABSENT_MS = 30_000
ABSENT_CHECK_INTERVAL_MS = 5_000
WRITE_RETRY_MS = 500


class NodeRows:
    """Write the own row, apply those of other nodes, and remove those of absent nodes."""

    def __init__(
        self,
        store: StoreClient,
        settings: NodeSettings,
        incarnation: int,
        membership: Membership,
        clock: Clock,
        contact: StoreContact,
        witnesses: Callable[[], Collection[NodeId]],
        is_acting: Callable[[], bool],
    ) -> None:
        self._store = store
        self._settings = settings
        self._incarnation = incarnation
        self._membership = membership
        self._clock = clock
        self._contact = contact
        self._witnesses = witnesses
        self._is_acting = is_acting
        self._write_needed = asyncio.Event()
        self._write_needed.set()

    def on_new_era(self) -> None:
        """Have the own row written again, since the restored store may lack it."""
        self._write_needed.set()

    def apply(self, rows: StoreRows, is_snapshot: bool, after_outage: bool) -> None:
        """Update the membership from rows; if the own row was removed, have it written again."""
        present = set()
        for row in rows.rows:
            node_id = NodeId(row.key)
            if row.value is None:
                self._membership.remove_node(node_id)
                if node_id == self._settings.node_id:
                    self._write_needed.set()
                continue
            decoded = decode(NodeRow, row.value)
            if isinstance(decoded, Err):
                logger.warning("ignoring the row of entry VM %s: %s", row.key, decoded.err_value)
                continue
            present.add(node_id)
            self._membership.set_node(node_id, decoded.ok_value, self._clock.now_ms())
        if is_snapshot:
            self._membership.is_list_known = True
            if self._settings.node_id not in present:
                self._write_needed.set()
            for peer in list(self._membership):
                if peer.node_id not in present:
                    self._membership.remove_node(peer.node_id)

    async def run(self) -> None:
        """Write the own row when needed and remove those of absent nodes, until cancelled."""
        await asyncio.gather(self._write_own_row(), self._remove_absent_nodes())

    async def _write_own_row(self) -> None:
        settings = self._settings
        row = NodeRow(
            settings.ip,
            settings.peer_port,
            self._incarnation,
            settings.failure_domain,
            settings.cpu_cores,
        )
        stored_row = StoreRow(NODES_TABLE, "", settings.node_id, encode(row), 0)
        while True:
            await self._write_needed.wait()
            # A row that is written while the store returns from an older copy may be lost.
            self._write_needed.clear()
            written = await self._store.transact([], [stored_row])
            if isinstance(written, Err):
                self._write_needed.set()
                self._contact.on_failure(NODES_TABLE, str(written.err_value))
                await asyncio.sleep(WRITE_RETRY_MS / 1000)

    async def _remove_absent_nodes(self) -> None:
        while True:
            await asyncio.sleep(ABSENT_CHECK_INTERVAL_MS / 1000)
            if not self._is_acting():
                continue
            now_ms, witnesses = self._clock.now_ms(), self._witnesses()
            absent = [
                StoreRow(NODES_TABLE, "", peer.node_id, None, 0)
                for peer in self._membership
                if peer.node_id not in witnesses
                and self._membership.is_absent_for(peer.node_id, NODE_ABSENT_MS, now_ms)
            ]
            if not absent:
                continue
            removed = await self._store.transact([], [], absent)
            if isinstance(removed, Err):
                logger.info("could not remove the rows of absent nodes: %s", removed.err_value)
                continue
            for row in absent:
                log_event(logger, Event.NODE_REMOVED, node=row.key)
