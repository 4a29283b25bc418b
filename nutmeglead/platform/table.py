"""Adapter of the TableStore port to the platform's store."""

from collections.abc import Sequence

from result import Err, Ok, Result

from nutmeglead.core.ids import RowKey
from nutmeglead.platform.errors import RowConflict, TableAnswerLost, TableUnavailable
from nutmeglead.platform.ports import Row, RowCheck, RowWrite
from nutmeglead.platform.store import (
    StoreAnswerLost,
    StoreClient,
    StoreConflict,
    StoreRow,
)

__all__ = ["StoreTable"]


class StoreTable:
    """Implementation of the TableStore port by a table of the store that has no parts."""

    def __init__(self, store: StoreClient, table: str) -> None:
        self._store = store
        self._table = table

    async def read(self, key: RowKey) -> Result[Row | None, TableUnavailable]:
        """Return a row, or None if there is none with this key."""
        rows = await self._read_range(key, key + "\0")
        return rows.map(lambda found: found[0] if found else None)

    async def scan(self, prefix: str) -> Result[list[Row], TableUnavailable]:
        """Return all rows whose key begins with `prefix`, in key order."""
        return await self._read_range(prefix, prefix + "\U0010ffff")

    async def _read_range(self, first: str, end: str) -> Result[list[Row], TableUnavailable]:
        """Return the rows with keys from `first` up to, but without, `end`."""
        read = await self._store.read(self._table, "", first, end)
        if isinstance(read, Err):
            return Err(TableUnavailable(read.err_value.reason))
        rows = read.ok_value.rows
        return Ok([Row(RowKey(row.key), row.version, row.value or b"") for row in rows])

    async def commit(
        self, checks: Sequence[RowCheck], writes: Sequence[RowWrite]
    ) -> Result[dict[RowKey, int], RowConflict | TableUnavailable | TableAnswerLost]:
        """Apply all writes if all checks hold; return the new versions of the written rows."""
        written = await self._store.transact(
            [self._store_row(check.key, None, check.version) for check in checks],
            [
                self._store_row(write.key, write.value, 0)
                for write in writes
                if write.value is not None
            ],
            [self._store_row(write.key, None, 0) for write in writes if write.value is None],
        )
        if isinstance(written, Ok):
            return Ok({write.key: written.ok_value for write in writes})
        error = written.err_value
        if isinstance(error, StoreConflict):
            found = {row.key: row.version for row in error.rows}
            failed = [c.key for c in checks if found.get(c.key, c.version) != c.version]
            return Err(RowConflict(tuple(failed)))
        if isinstance(error, StoreAnswerLost):
            return Err(TableAnswerLost(error.reason))
        return Err(TableUnavailable(error.reason))

    def _store_row(self, key: RowKey, value: bytes | None, version: int) -> StoreRow:
        return StoreRow(self._table, "", key, value, version)
