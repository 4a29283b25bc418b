"""Declare the ports to the table service, the object store, the VM list and backend servers."""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from result import Result

from nutmeglead._generated.common.ttypes import Address
from nutmeglead._generated.messages.ttypes import (
    GrantReply,
    ReleaseReply,
    ReleaseUnits,
    RenewLease,
    RenewReply,
    SetGrants,
)
from nutmeglead.core.ids import FailureDomainName, Incarnation, RowKey
from nutmeglead.platform.errors import (
    BackendUnreachable,
    ObjectStoreUnavailable,
    RowConflict,
    TableAnswerLost,
    TableUnavailable,
    VmListUnavailable,
)

__all__ = [
    "BackendControl",
    "ObjectStore",
    "Row",
    "RowCheck",
    "RowWrite",
    "TableStore",
    "VmEntry",
    "VmList",
    "VmState",
]


@dataclass(frozen=True)
class Row:
    """Hold one row; versions start at 1 and grow with every write."""

    key: RowKey
    version: int
    value: bytes


@dataclass(frozen=True)
class RowCheck:
    """Require a row's version; 0 requires that the row is absent."""

    key: RowKey
    version: int


@dataclass(frozen=True)
class RowWrite:
    """Write a row, or delete it if the value is None."""

    key: RowKey
    value: bytes | None


class TableStore(Protocol):
    """Read rows and commit transactions of conditional writes."""

    async def read(self, key: RowKey) -> Result[Row | None, TableUnavailable]:
        """Return a row, or None if it is absent."""
        ...

    async def scan(self, prefix: str) -> Result[list[Row], TableUnavailable]:
        """Return all rows whose key begins with a prefix, in key order, from one snapshot."""
        ...

    async def commit(
        self, checks: Sequence[RowCheck], writes: Sequence[RowWrite]
    ) -> Result[dict[RowKey, int], RowConflict | TableUnavailable | TableAnswerLost]:
        """Apply all writes if all checks hold; return the new versions of the written rows."""
        ...


class ObjectStore(Protocol):
    """Keep named immutable objects."""

    async def put(self, name: str, body: bytes) -> Result[None, ObjectStoreUnavailable]:
        """Store an object; storing the same name and body again has no effect."""
        ...

    async def get(self, name: str) -> Result[bytes | None, ObjectStoreUnavailable]:
        """Return an object, or None if it is absent."""
        ...

    async def list_names(self, prefix: str) -> Result[list[str], ObjectStoreUnavailable]:
        """List the names that begin with a prefix, in order."""
        ...


class VmState(Enum):
    """Tell what the platform says of a VM."""

    LIVE = "live"
    LEAVING = "leaving"
    GONE = "gone"


@dataclass(frozen=True)
class VmEntry:
    """Describe one VM of the lagging list; `role` is "entry" or "backend"."""

    vm_id: str
    role: str
    ip: str
    port: int
    failure_domain: FailureDomainName
    state: VmState
    incarnation: Incarnation


class VmList(Protocol):
    """Read the platform's lagging list of VMs."""

    async def read(self) -> Result[list[VmEntry], VmListUnavailable]:
        """Return the VMs that the platform knows; the list may be stale."""
        ...


class BackendControl(Protocol):
    """Send lease and grant messages to a backend server that checks grants."""

    async def renew(
        self, address: Address, message: RenewLease
    ) -> Result[RenewReply, BackendUnreachable]:
        """Renew the server's lease."""
        ...

    async def set_grants(
        self, address: Address, message: SetGrants
    ) -> Result[GrantReply, BackendUnreachable]:
        """Replace the server's grant set."""
        ...

    async def release(
        self, address: Address, message: ReleaseUnits
    ) -> Result[ReleaseReply, BackendUnreachable]:
        """Ask the server to drain and drop units."""
        ...
