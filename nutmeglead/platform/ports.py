"""Declare the port to a table of the store."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from result import Result

from nutmeglead.core.ids import RowKey
from nutmeglead.platform.errors import RowConflict, TableAnswerLost, TableUnavailable

__all__ = ["Row", "RowCheck", "RowWrite", "TableStore"]


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
        """Return all rows whose key begins with a prefix, in key order, in pages of 500."""
        ...

    async def commit(
        self, checks: Sequence[RowCheck], writes: Sequence[RowWrite]
    ) -> Result[dict[RowKey, int], RowConflict | TableUnavailable | TableAnswerLost]:
        """Apply all writes if all checks hold; return the new versions of the written rows."""
        ...
