"""Define what the controller's pure machines ask the service to do."""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum

from nutmeglead._generated.common.ttypes import Address
from nutmeglead._generated.messages.ttypes import (
    AssignRenewer,
    AuditRecord,
    ReleaseUnits,
    RenewLease,
    SetGrants,
    StopRenewing,
)
from nutmeglead.core.ids import NodeId, RowKey, ServerId
from nutmeglead.platform.ports import RowCheck, RowWrite

__all__ = [
    "Commit",
    "CommitTag",
    "Decision",
    "EntryNode",
    "ProbeServer",
    "ReadRows",
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
    gate_address: Address | None = None


@dataclass(frozen=True)
class ProbeServer:
    """Ask a server for its incarnation and time, without renewing anything."""

    server_id: ServerId
    address: Address
    message: RenewLease


class CommitTag(Enum):
    """Tell which of the machine's transactions a result belongs to."""

    PAGES = "pages"
    SERVERS = "servers"


@dataclass(frozen=True)
class Commit:
    """Write rows in one transaction."""

    tag: CommitTag
    checks: Sequence[RowCheck]
    writes: Sequence[RowWrite]


@dataclass(frozen=True)
class ReadRows:
    """Read rows again after a transaction that conflicted or whose answer was lost."""

    keys: tuple[RowKey, ...]


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


Decision = (
    ProbeServer | Commit | ReadRows | SendAssign | SendStop | SendGrants | SendRelease | RecordAudit
)
