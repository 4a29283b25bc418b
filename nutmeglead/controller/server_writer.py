"""Write the rows that name each server's lease epoch and renewers, one transaction at a time."""

from collections.abc import Mapping

from nutmeglead._generated.messages.ttypes import AuditRecord, ServerRow
from nutmeglead.controller.audit_trail import AuditTrail
from nutmeglead.controller.budget import WriteBudget
from nutmeglead.controller.decisions import Commit, CommitTag, EntryNode
from nutmeglead.controller.leases import LeaseKeeper
from nutmeglead.core.codec import encode
from nutmeglead.core.ids import LeaseEpoch, NodeId, RowKey, ServerId, ServiceName
from nutmeglead.ownership.pages import server_key
from nutmeglead.platform.ports import Row, RowCheck, RowWrite

__all__ = ["ServerWriter"]

# Rows per transaction, so that the wave of a lost failure domain does not delay page writes.
MAX_ROWS = 64


class ServerWriter:
    """Decide which transaction of server rows comes next; pure."""

    def __init__(
        self, service_name: ServiceName, leases: LeaseKeeper, role_check: RowCheck
    ) -> None:
        self._service_name = service_name
        self._leases = leases
        self._role_check = role_check
        self._in_flight: list[ServerRow] = []

    def next_commit(
        self, nodes: Mapping[NodeId, EntryNode], budget: WriteBudget, now_ms: int
    ) -> Commit | None:
        """Return the transaction that is due, if none is in flight."""
        if self._in_flight:
            return None
        limit = min(budget.available(now_ms), MAX_ROWS)
        due = self._leases.rows_to_write(nodes, limit)
        if not due:
            return None
        budget.take_up_to(len(due), now_ms)
        self._in_flight = [row for _, row in due]
        checks = [self._role_check, *(RowCheck(self._key(row), v) for v, row in due)]
        writes = [RowWrite(self._key(row), encode(row)) for _, row in due]
        return Commit(CommitTag.SERVERS, checks, writes)

    def audit_leases(self, trail: AuditTrail) -> list[AuditRecord]:
        """Return the records of the lease epochs in flight."""
        records = []
        for row in self._in_flight:
            epoch = LeaseEpoch(row.current.lease_epoch)
            evidence = f"lease epoch {epoch} by {', '.join(row.current.node_ids)}"
            records.append(trail.lease_begun(ServerId(row.server_id), epoch, evidence))
        return records

    def committed(self, versions: Mapping[RowKey, int]) -> list[Row]:
        """Return the rows that the transaction in flight has written."""
        rows, self._in_flight = self._in_flight, []
        return [Row(self._key(row), versions[self._key(row)], encode(row)) for row in rows]

    def failed(self) -> list[RowKey]:
        """Return the rows to read again."""
        rows, self._in_flight = self._in_flight, []
        return [self._key(row) for row in rows]

    def _key(self, row: ServerRow) -> RowKey:
        return server_key(self._service_name, row.server_id)
