"""Define the errors of the platform's services."""

from dataclasses import dataclass

from nutmeglead.core.errors import PlatformError
from nutmeglead.core.ids import RowKey

__all__ = [
    "BackendUnreachable",
    "ObjectStoreUnavailable",
    "RowConflict",
    "TableAnswerLost",
    "TableUnavailable",
    "VmListUnavailable",
]


@dataclass
class TableUnavailable(PlatformError):
    """Report a table operation that was not applied."""

    reason: str

    def __str__(self) -> str:
        return f"the table service did not apply the operation: {self.reason}"


@dataclass
class TableAnswerLost(PlatformError):
    """Report a commit that may or may not have been applied."""

    reason: str

    def __str__(self) -> str:
        return f"the commit may have been applied, its answer is lost: {self.reason}"


@dataclass
class RowConflict(PlatformError):
    """Report a commit that was not applied because rows have other versions."""

    keys: tuple[RowKey, ...]

    def __str__(self) -> str:
        return f"expected other versions of the rows {', '.join(self.keys)}"


@dataclass
class ObjectStoreUnavailable(PlatformError):
    """Report an object operation whose result is unknown."""

    reason: str

    def __str__(self) -> str:
        return f"the object store did not answer: {self.reason}"


@dataclass
class VmListUnavailable(PlatformError):
    """Report that the list of VMs could not be read."""

    reason: str

    def __str__(self) -> str:
        return f"the VM list did not answer: {self.reason}"


@dataclass
class BackendUnreachable(PlatformError):
    """Report a control message to a backend server without a reply; it may have taken effect."""

    address: str
    reason: str

    def __str__(self) -> str:
        return f"no reply from the backend server at {self.address}: {self.reason}"
