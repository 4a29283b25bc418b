"""Errors of operations on a table of the store."""

from dataclasses import dataclass

from nutmeglead.core.errors import PlatformError
from nutmeglead.core.ids import RowKey

__all__ = ["RowConflict", "TableAnswerLost", "TableUnavailable"]


@dataclass
class TableUnavailable(PlatformError):
    """A read failed, or a commit was not applied and will not be applied later."""

    reason: str

    def __str__(self) -> str:
        return f"the store did nothing: {self.reason}"


@dataclass
class TableAnswerLost(PlatformError):
    """No usable answer to a commit arrived, so the store may or may not have applied it."""

    reason: str

    def __str__(self) -> str:
        return f"the store may have applied the transaction: {self.reason}"


@dataclass
class RowConflict(PlatformError):
    """A commit was not applied, because the rows `keys` have other versions than expected."""

    keys: tuple[RowKey, ...]

    def __str__(self) -> str:
        return f"rows with other versions than expected: {', '.join(self.keys)}"
