"""A table in memory whose operations can be made to fail, for tests."""

from collections.abc import Sequence
from enum import Enum

from result import Err, Ok, Result

from nutmeglead.core.ids import RowKey
from nutmeglead.platform.errors import RowConflict, TableAnswerLost, TableUnavailable
from nutmeglead.platform.ports import Row, RowCheck, RowWrite

__all__ = ["MemoryTable", "TableFault"]


class TableFault(Enum):
    """How an operation on a MemoryTable fails.

    Reads and scans fail in the same way under every fault; commits differ in what is applied.
    """

    NONE = "none"
    UNAVAILABLE = "unavailable"
    ANSWER_LOST_APPLIED = "answer lost, applied"
    ANSWER_LOST_NOT_APPLIED = "answer lost, not applied"


class MemoryTable:
    """In-memory implementation of the TableStore port that counts operations.

    `fault` applies to every operation. The faults in `next_commit_faults` replace it, in order, for
    one commit each.
    """

    def __init__(self) -> None:
        self.fault = TableFault.NONE
        self.next_commit_faults: list[TableFault] = []
        self.read_count = 0
        self.write_count = 0
        self._rows: dict[RowKey, Row] = {}
        # Last version of every row that ever existed. A row that is deleted and created again must
        # get a higher version, or a commit that expects the old row would succeed.
        self._last_versions: dict[RowKey, int] = {}

    async def read(self, key: RowKey) -> Result[Row | None, TableUnavailable]:
        """Return a row, or None if there is none with this key."""
        self.read_count += 1
        if self.fault is not TableFault.NONE:
            return Err(TableUnavailable("injected outage"))
        return Ok(self._rows.get(key))

    async def scan(self, prefix: str) -> Result[list[Row], TableUnavailable]:
        """Return all rows whose key begins with `prefix`, in key order."""
        rows = [self._rows[key] for key in sorted(self._rows) if key.startswith(prefix)]
        self.read_count += max(1, len(rows))
        if self.fault is not TableFault.NONE:
            return Err(TableUnavailable("injected outage"))
        return Ok(rows)

    async def commit(
        self, checks: Sequence[RowCheck], writes: Sequence[RowWrite]
    ) -> Result[dict[RowKey, int], RowConflict | TableUnavailable | TableAnswerLost]:
        """Apply all writes if all checks hold; return the new versions of the written rows."""
        fault = self.next_commit_faults.pop(0) if self.next_commit_faults else self.fault
        if fault is TableFault.UNAVAILABLE:
            return Err(TableUnavailable("injected outage"))
        if fault is TableFault.ANSWER_LOST_NOT_APPLIED:
            return Err(TableAnswerLost("injected loss"))
        failed = tuple(check.key for check in checks if self.version(check.key) != check.version)
        if failed and fault is TableFault.NONE:
            return Err(RowConflict(failed))
        versions = {} if failed else {write.key: self._apply(write) for write in writes}
        if fault is TableFault.ANSWER_LOST_APPLIED:
            return Err(TableAnswerLost("injected loss"))
        return Ok(versions)

    def version(self, key: RowKey) -> int:
        """Return the version of a row, or 0 if there is none with this key."""
        row = self._rows.get(key)
        return row.version if row else 0

    def _apply(self, write: RowWrite) -> int:
        """Write or delete a row and return its new version."""
        self.write_count += 1
        version = self._last_versions.get(write.key, 0) + 1
        self._last_versions[write.key] = version
        if write.value is None:
            self._rows.pop(write.key, None)
        else:
            self._rows[write.key] = Row(write.key, version, write.value)
        return version
