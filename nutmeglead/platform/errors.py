"""Define the errors of a table in the store."""

from dataclasses import dataclass

from nutmeglead.core.errors import PlatformError
from nutmeglead.core.ids import RowKey

__all__ = ["RowConflict", "TableAnswerLost", "TableUnavailable"]


@dataclass
class TableUnavailable(PlatformError):
    """Report an operation that was not applied."""

    reason: str

    def __str__(self) -> str:
        return f"the store did nothing: {self.reason}"


@dataclass
class TableAnswerLost(PlatformError):
    """Report a commit that may or may not have been applied."""

    reason: str

    def __str__(self) -> str:
        return f"the store may have applied the transaction: {self.reason}"


@dataclass
class RowConflict(PlatformError):
    """Report a commit that was not applied because rows have other versions."""

    keys: tuple[RowKey, ...]

    def __str__(self) -> str:
        return f"expected other versions of the rows {', '.join(self.keys)}"
