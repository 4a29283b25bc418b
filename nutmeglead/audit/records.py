"""Build audit records and convert them to lines of JSON."""

import json
from dataclasses import dataclass
from typing import Any

from result import Err, Ok, Result

from nutmeglead._generated.common.ttypes import Sender, UnitId
from nutmeglead._generated.messages.ttypes import AuditKind, AuditRecord
from nutmeglead._generated.tickets.ttypes import Ticket
from nutmeglead.audit.errors import AuditRecordMalformed
from nutmeglead.core.ids import Epoch, LeaseEpoch, RoleEpoch, ServerId, ServiceName, TicketNumber
from nutmeglead.settings.errors import describe_count
from nutmeglead.settings.loader import load_struct
from nutmeglead.settings.structs import plain_struct

__all__ = [
    "AuditContext",
    "LostRange",
    "from_json_line",
    "handover_proven",
    "lease_begun",
    "lease_ended",
    "lost_range",
    "records_lost",
    "role_taken",
    "server_leaving",
    "ticket_accepted",
    "ticket_in_force",
    "to_json_line",
    "unit_moved",
]


@dataclass(frozen=True)
class AuditContext:
    """Say who acts, when, and under which role epoch and ticket.

    The buffer numbers the records; until then their sequence is 0.
    """

    sender: Sender
    wall_time_ms: int
    service_name: ServiceName
    role_epoch: RoleEpoch = RoleEpoch(0)
    ticket_number: TicketNumber = TicketNumber(0)


@dataclass(frozen=True)
class LostRange:
    """Name the sequence numbers of lost records, both ends included."""

    first: int
    last: int

    @property
    def count(self) -> int:
        """Return how many records were lost."""
        return self.last - self.first + 1


def _record(
    kind: AuditKind, context: AuditContext, subject: str, evidence: str, **fields: Any
) -> AuditRecord:
    return AuditRecord(
        kind=kind,
        sender=context.sender,
        sequence=0,
        wall_time_ms=context.wall_time_ms,
        service_name=context.service_name,
        role_epoch=context.role_epoch,
        ticket_number=context.ticket_number,
        subject=subject,
        evidence=evidence,
        **fields,
    )


def ticket_accepted(context: AuditContext, ticket: Ticket) -> AuditRecord:
    """Record that a ticket got its number."""
    evidence = f"filed by {ticket.filed_by}: {ticket.reason or 'no reason given'}"
    return _record(AuditKind.TICKET_ACCEPTED, context, ticket.filing_id, evidence)


def ticket_in_force(context: AuditContext, evidence: str) -> AuditRecord:
    """Record that a ticket is in force everywhere; the evidence names who confirmed it."""
    subject = f"ticket {context.ticket_number}"
    return _record(AuditKind.TICKET_IN_FORCE, context, subject, evidence)


def role_taken(context: AuditContext, evidence: str) -> AuditRecord:
    """Record that the sender acts for the service at the context's role epoch."""
    return _record(AuditKind.ROLE_TAKEN, context, context.sender.node_id, evidence)


def unit_moved(
    context: AuditContext,
    unit: UnitId,
    from_server_id: ServerId | None,
    to_server_id: ServerId | None,
    epoch: Epoch,
    evidence: str,
) -> AuditRecord:
    """Record a written change of owner; the evidence says why the unit moved."""
    return _record(
        AuditKind.UNIT_MOVED,
        context,
        to_server_id or "",
        evidence,
        unit=unit,
        from_server_id=from_server_id,
        to_server_id=to_server_id,
        epoch=epoch,
    )


def handover_proven(
    context: AuditContext, unit: UnitId, from_server_id: ServerId, epoch: Epoch, evidence: str
) -> AuditRecord:
    """Record the proof that a previous holder is done with a unit up to an epoch."""
    return _record(
        AuditKind.HANDOVER_PROVEN,
        context,
        from_server_id,
        evidence,
        unit=unit,
        from_server_id=from_server_id,
        epoch=epoch,
    )


def lease_begun(
    context: AuditContext, server_id: ServerId, lease_epoch: LeaseEpoch, evidence: str
) -> AuditRecord:
    """Record a new lease epoch of a server."""
    return _record(AuditKind.LEASE_BEGUN, context, server_id, evidence, epoch=lease_epoch)


def lease_ended(
    context: AuditContext, server_id: ServerId, lease_epoch: LeaseEpoch, evidence: str
) -> AuditRecord:
    """Record the proof that a lease epoch of a server has ended."""
    return _record(AuditKind.LEASE_ENDED, context, server_id, evidence, epoch=lease_epoch)


def server_leaving(context: AuditContext, server_id: ServerId, evidence: str) -> AuditRecord:
    """Record that a server gets no new work."""
    return _record(AuditKind.SERVER_LEAVING, context, server_id, evidence)


def records_lost(context: AuditContext, lost: LostRange, reason: str) -> AuditRecord:
    """Record that the sender's records with the given sequence numbers are lost."""
    evidence = f"{describe_count(lost.count, 'record')} lost: {reason}"
    return _record(AuditKind.GAP, context, f"{lost.first}-{lost.last}", evidence)


def lost_range(record: AuditRecord) -> LostRange | None:
    """Return the range that a GAP record names, or None for another record."""
    first, separator, last = record.subject.partition("-")
    if record.kind != AuditKind.GAP or not separator or not (first + last).isdecimal():
        return None
    return LostRange(int(first), int(last))


def to_json_line(record: AuditRecord) -> bytes:
    """Return a record as one line of JSON."""
    return json.dumps(plain_struct(record)).encode() + b"\n"


def from_json_line(line: str, place: str) -> Result[AuditRecord, AuditRecordMalformed]:
    """Return the record of a line."""
    loaded = load_struct(line, AuditRecord, place)
    if isinstance(loaded, Err):
        return Err(AuditRecordMalformed(place, str(loaded.err_value.faults[0])))
    return Ok(loaded.ok_value)
