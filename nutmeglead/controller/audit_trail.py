"""Record what one acting controller decides."""

from nutmeglead._generated.common.ttypes import Sender
from nutmeglead._generated.messages.ttypes import AuditRecord
from nutmeglead.audit.records import (
    AuditContext,
    lease_begun,
    lease_ended,
    role_taken,
    server_leaving,
    unit_moved,
)
from nutmeglead.core.ids import Epoch, LeaseEpoch, RoleEpoch, ServerId, ServiceName, TicketNumber
from nutmeglead.ownership.keys import Unit

__all__ = ["AuditTrail"]


class AuditTrail:
    """Build records for one service under one role epoch; the service adds the wall time."""

    def __init__(self, service_name: ServiceName, sender: Sender, role_epoch: RoleEpoch) -> None:
        self.ticket_number = TicketNumber(0)
        self._service_name = service_name
        self._sender = sender
        self._role_epoch = role_epoch

    def role_taken(self, evidence: str) -> AuditRecord:
        """Record that this controller acts."""
        return role_taken(self._context(), evidence)

    def server_leaving(self, server_id: ServerId) -> AuditRecord:
        """Record that a ticket makes a server leave."""
        return server_leaving(self._context(), server_id, f"ticket {self.ticket_number}")

    def lease_begun(self, server_id: ServerId, epoch: LeaseEpoch, evidence: str) -> AuditRecord:
        """Record a lease epoch that was written."""
        return lease_begun(self._context(), server_id, epoch, evidence)

    def lease_ended(self, server_id: ServerId, epoch: LeaseEpoch, evidence: str) -> AuditRecord:
        """Record a lease epoch that is lost or proven ended."""
        return lease_ended(self._context(), server_id, epoch, evidence)

    def moved(
        self,
        unit: Unit,
        from_server_id: ServerId | None,
        to_server_id: ServerId | None,
        epoch: Epoch,
        evidence: str,
    ) -> AuditRecord:
        """Record a written change of owner."""
        return unit_moved(
            self._context(), unit.to_id(), from_server_id, to_server_id, epoch, evidence
        )

    def _context(self) -> AuditContext:
        return AuditContext(
            self._sender, 0, self._service_name, self._role_epoch, self.ticket_number
        )
