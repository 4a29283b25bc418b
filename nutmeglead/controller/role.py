"""Decide whether this controller acts for a service."""

from collections.abc import Iterable
from dataclasses import dataclass

import xxhash

from nutmeglead._generated.messages.ttypes import RoleRow
from nutmeglead.controller.decisions import EntryNode
from nutmeglead.core.ids import NodeId, RoleEpoch, ServiceName

__all__ = ["RoleKeeper", "RoleState"]

# A controller that failed to take a role waits this long, so that two do not alternate.
RETRY_MS = 500
# A controller that hears less than half of the entry VMs is probably the one that is cut off. Both
# sides of a cut that reach the table would else take the role from each other again and again.
MINORITY_WAIT_MS = 10_000


@dataclass(frozen=True)
class RoleState:
    """Hold the role row as last read from the table."""

    row: RoleRow | None
    version: int


class RoleKeeper:
    """Follow a service's role row and decide when to take it over; pure.

    Taking over needs no agreement: the conditional write of the row decides, and a controller that
    lost the role can write nothing. Waiting and ranking only keep down needless take-overs.
    """

    def __init__(
        self,
        service_name: ServiceName,
        node_id: NodeId,
        incarnation: str,
        silent_ms: int,
        started_ms: int,
    ) -> None:
        self.service_name = service_name
        self.state: RoleState | None = None
        self._node_id = node_id
        self._incarnation = incarnation
        self._silent_ms = silent_ms
        self._silent_since_ms: int | None = None
        self._not_before_ms = started_ms

    @property
    def epoch(self) -> RoleEpoch | None:
        """Return the epoch under which this controller acts, or None."""
        row = self.state.row if self.state else None
        if row is None or row.node_id != self._node_id or row.incarnation != self._incarnation:
            return None
        return RoleEpoch(row.epoch)

    def observe(self, state: RoleState) -> None:
        """Take over what was read from or written to the table."""
        if self.state is not None and state.version < self.state.version:
            return
        if self.state is None or state.version != self.state.version:
            self._silent_since_ms = None
        self.state = state

    def row_to_write(self, now_ms: int, nodes: Iterable[EntryNode]) -> RoleRow | None:
        """Return the row with which this controller should take the role now, or None."""
        if self.state is None or self.epoch is not None or now_ms < self._not_before_ms:
            return None
        known = list(nodes)
        alive = [node for node in known if node.is_alive]
        row = self.state.row
        wait_ms = self._silent_ms
        if 2 * len(alive) < len(known):
            wait_ms += MINORITY_WAIT_MS
        if row is not None and not self._is_silent(row, alive, now_ms, wait_ms):
            return None
        if not self._is_first(row, alive):
            return None
        self._not_before_ms = now_ms + RETRY_MS
        return RoleRow(
            service_name=self.service_name,
            node_id=self._node_id,
            incarnation=self._incarnation,
            epoch=(row.epoch if row else 0) + 1,
        )

    def _is_silent(self, row: RoleRow, alive: list[EntryNode], now_ms: int, wait_ms: int) -> bool:
        acting = next((node for node in alive if node.node_id == row.node_id), None)
        if acting is not None and acting.incarnation == row.incarnation:
            self._silent_since_ms = None
            return False
        if acting is not None:
            return True
        if self._silent_since_ms is None:
            self._silent_since_ms = now_ms
        return now_ms - self._silent_since_ms >= wait_ms

    def _is_first(self, row: RoleRow | None, alive: list[EntryNode]) -> bool:
        """Tell whether this node has the highest rendezvous rank among the live ones."""
        candidates = {node.node_id for node in alive} | {self._node_id}
        if row is not None and row.node_id != self._node_id:
            candidates.discard(NodeId(row.node_id))
        return max(candidates, key=self._rank) == self._node_id

    def _rank(self, node_id: str) -> int:
        return xxhash.xxh64_intdigest(f"{self.service_name}\0{node_id}".encode())
