"""Define what the controller's pure machines ask the service to do."""

from collections.abc import Sequence
from dataclasses import dataclass, field

from nutmeglead._generated.common.ttypes import Address
from nutmeglead._generated.messages.ttypes import (
    AssignRenewer,
    AuditRecord,
    ReleaseUnits,
    RenewLease,
    SetGrants,
    StopRenewing,
)
from nutmeglead.core.ids import NodeId, ServerId
from nutmeglead.platform.ports import RowCheck, RowWrite

__all__ = [
    "Commit",
    "Decision",
    "EntryNode",
    "ProbeServer",
    "RecordAudit",
    "SendAssign",
    "SendGrants",
    "SendRelease",
    "SendStop",
]


@dataclass(frozen=True)
class EntryNode:
    """Describe an entry VM as membership knows it."""

    node_id: NodeId
    incarnation: str
    failure_domain: str
    address: Address
    is_alive: bool


@dataclass(frozen=True)
class ProbeServer:
    """Ask a server for its incarnation and time, without renewing anything."""

    server_id: ServerId
    address: Address
    message: RenewLease


@dataclass(frozen=True)
class Commit:
    """Write rows in one transaction; `tag` tells the machine which write it was."""

    tag: str
    checks: Sequence[RowCheck]
    writes: Sequence[RowWrite]
    audit: Sequence[AuditRecord] = field(default_factory=tuple)


@dataclass(frozen=True)
class SendAssign:
    """Tell an entry VM to renew a server's lease."""

    node_id: NodeId
    message: AssignRenewer


@dataclass(frozen=True)
class SendStop:
    """Ask an entry VM to stop renewing a server's lease."""

    node_id: NodeId
    message: StopRenewing


@dataclass(frozen=True)
class SendGrants:
    """Replace a server's grant set."""

    server_id: ServerId
    address: Address
    message: SetGrants


@dataclass(frozen=True)
class SendRelease:
    """Ask a server to drain and drop units."""

    server_id: ServerId
    address: Address
    message: ReleaseUnits


@dataclass(frozen=True)
class RecordAudit:
    """Add a record to the audit trail."""

    record: AuditRecord


Decision = ProbeServer | Commit | SendAssign | SendStop | SendGrants | SendRelease | RecordAudit
