"""Interface of a table in the store, and the types of its rows, checks and writes."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from result import Result

from nutmeglead.core.ids import RowKey
from nutmeglead.platform.errors import RowConflict, TableAnswerLost, TableUnavailable

__all__ = ["Row", "RowCheck", "RowWrite", "TableStore"]


@dataclass(frozen=True)
class Row:
    """One row; its version is 1 or more and grows with every write."""

    key: RowKey
    version: int
    value: bytes


@dataclass(frozen=True)
class RowCheck:
    """Condition of a commit: a row has this version, or does not exist if the version is 0."""

    key: RowKey
    version: int


@dataclass(frozen=True)
class RowWrite:
    """Write of a commit: the new value of a row, or None to delete the row."""

    key: RowKey
    value: bytes | None


class TableStore(Protocol):
    """Interface of a table with reads and atomic conditional commits."""

    async def read(self, key: RowKey) -> Result[Row | None, TableUnavailable]:
        """Return a row, or None if there is none with this key."""
        ...

    async def scan(self, prefix: str) -> Result[list[Row], TableUnavailable]:
        """Return all rows whose key begins with `prefix`, in key order, read in pages of 500."""
        ...

    async def commit(
        self, checks: Sequence[RowCheck], writes: Sequence[RowWrite]
    ) -> Result[dict[RowKey, int], RowConflict | TableUnavailable | TableAnswerLost]:
        """Apply all writes if all checks hold; return the new versions of the written rows."""
        ...
