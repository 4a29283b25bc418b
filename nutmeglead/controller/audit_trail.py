"""Build audit records for the decisions of one acting controller."""

from nutmeglead._generated.common.ttypes import Sender
from nutmeglead._generated.messages.ttypes import AuditKind, AuditRecord
from nutmeglead.core.ids import RoleEpoch, ServiceName, TicketNumber
from nutmeglead.ownership.keys import Unit

__all__ = ["AuditTrail"]


class AuditTrail:
    """Number the records of one controller process and service; the service sets wall times."""

    def __init__(self, service_name: ServiceName, sender: Sender, role_epoch: RoleEpoch) -> None:
        self._service_name = service_name
        self._sender = sender
        self._role_epoch = role_epoch

    def record(
        self,
        kind: AuditKind,
        ticket_number: TicketNumber,
        subject: str,
        evidence: str,
    ) -> AuditRecord:
        """Return a record about a subject that is not a unit."""
        return AuditRecord(
            kind=kind,
            sender=self._sender,
            sequence=0,
            wall_time_ms=0,
            service_name=self._service_name,
            role_epoch=self._role_epoch,
            ticket_number=ticket_number,
            subject=subject,
            evidence=evidence,
        )

    def move(
        self,
        unit: Unit,
        from_server: str | None,
        to_server: str | None,
        ticket_number: TicketNumber,
        reason: str,
        epoch: int | None = None,
    ) -> AuditRecord:
        """Return the record of a change of owner."""
        subject = unit.key or f"bucket {unit.bucket}"
        record = self.record(AuditKind.UNIT_MOVED, ticket_number, subject, reason)
        record.unit = unit.to_id()
        record.from_server_id = from_server
        record.to_server_id = to_server
        record.epoch = epoch
        return record
