"""Follow a table of the store by its feed, or by copies from a hub."""

import asyncio
import logging
import random
from collections.abc import Callable
from typing import NamedTuple

from result import Err, Ok, Result

from nutmeglead._generated.peers.ttypes import CopiedRow, TableCopy
from nutmeglead.entry.contact import StoreContact
from nutmeglead.forwarding.registry import OUTAGE_RECOVERY_GRACE_MS
from nutmeglead.platform.store import (
    StoreClient,
    StoreHistoryLost,
    StoreRow,
    StoreRows,
    StoreUnavailable,
)

__all__ = ["FedTable", "TableWatch"]

logger = logging.getLogger(__name__)

FEED_WAIT_MS = 15_000
# A node that knows nothing yet, or whose last call failed, must not wait long for a silent store.
PROBE_WAIT_MS = 1_000
# A node that becomes a hub follows the store after this time.
FOLLOW_CHECK_MS = 100
# Removed rows that are kept for copies of changes.
MAX_REMOVED_ROWS = 500
# A refused call is priced too; a change must be in force 2 s after it was acknowledged.
RETRY_MIN_MS = 200
RETRY_MAX_MS = 800


class FedTable(NamedTuple):
    """Name a table of the store, what takes its rows, and the pause after each change.

    `apply` is also told whether the rows are all of the table, and whether they were read from
    the store soon after an outage. The pause lets several changes come in one call.
    """

    name: str
    apply: Callable[[StoreRows, bool, bool], None]
    settle_ms: int


class TableWatch:
    """Pass a table's rows on: all of them at first and after a loss of history, then changes."""

    def __init__(
        self,
        store: StoreClient,
        table: FedTable,
        contact: StoreContact,
        rng: random.Random,
        follows_store: Callable[[], bool],
    ) -> None:
        """A node for which `follows_store` is false takes copies from its hub instead."""
        self._store = store
        self._table = table.name
        self._apply = table.apply
        self._settle_ms = table.settle_ms
        self._contact = contact
        self._rng = rng
        self.follows_store = follows_store
        self.version = 0
        # Version of the newest change of the table; `version` grows with changes of any table.
        self.changed_version = 0
        # Version of the newest rows that were read soon after an outage.
        self._outage_version = 0
        # Present rows, and removed ones without a value.
        self._rows: dict[str, StoreRow] = {}
        # Copies of changes reach back to this version.
        self._kept_after = 0
        self._has_failed = False

    @property
    def table(self) -> str:
        """Return the table's name."""
        return self._table

    def copy(self, after: int) -> TableCopy:
        """Return the rows that have changed after a version, or all where that is not known."""
        is_whole = not after or after < self._kept_after
        rows = [
            CopiedRow(row.key, row.version, row.value)
            for row in self._rows.values()
            if (row.value is not None if is_whole else row.version > after)
        ]
        after_outage = after < self._outage_version
        return TableCopy(self.version, self.changed_version, rows, is_whole, after_outage)

    def apply_copy(self, copy: TableCopy) -> None:
        """Apply another node's rows if they are newer."""
        if copy.changed_version <= self.changed_version or copy.store_version < self.version:
            return
        rows = [StoreRow(self._table, "", row.key, row.value, row.version) for row in copy.rows]
        # An outage of this node alone says nothing of rows that another one has read.
        self._take(StoreRows(tuple(rows), copy.store_version), copy.is_whole, copy.after_outage)
        self.changed_version = copy.changed_version

    async def run(self) -> None:
        """Follow the table until cancelled."""
        retry_ms = RETRY_MIN_MS
        while True:
            if not self.follows_store():
                await asyncio.sleep(FOLLOW_CHECK_MS / 1000)
                continue
            fed = await self._next_rows()
            if isinstance(fed, Err):
                self._has_failed = True
                self._contact.on_failure(self._table, str(fed.err_value))
                await asyncio.sleep(retry_ms * (0.75 + 0.5 * self._rng.random()) / 1000)
                retry_ms = min(RETRY_MAX_MS, retry_ms * 2)
                continue
            retry_ms = RETRY_MIN_MS
            self._has_failed = False
            self._contact.on_answer()
            await asyncio.sleep(self._settle_ms / 1000)

    async def _next_rows(self) -> Result[None, StoreHistoryLost | StoreUnavailable]:
        """Apply the next changes, or all rows when the history is lost.

        A feed from version 0 returns all rows in one call, as long as the store has its whole
        history.
        """
        wait_ms = PROBE_WAIT_MS if self._has_failed or not self.version else FEED_WAIT_MS
        fed = await self._store.feed(self._table, self.version, wait_ms)
        is_snapshot = self.version == 0
        if isinstance(fed, Err) and isinstance(fed.err_value, StoreHistoryLost):
            logger.info("%s: read anew: %s", self._table, fed.err_value)
            fed = await self._store.read(self._table, "")
            is_snapshot = True
        if isinstance(fed, Err):
            return fed
        self.take_fed(fed.ok_value, is_snapshot)
        return Ok(None)

    def take_fed(self, rows: StoreRows, is_snapshot: bool) -> None:
        """Apply rows of the store, unless a peer's copy that came meanwhile is newer."""
        if rows.version >= self.version:
            self._take(rows, is_snapshot, self._contact.was_away_within(OUTAGE_RECOVERY_GRACE_MS))

    def _take(self, rows: StoreRows, is_snapshot: bool, after_outage: bool) -> None:
        if is_snapshot:
            self._rows.clear()
            self._kept_after = rows.version
        for row in rows.rows:
            if not row.part:
                self.changed_version = max(self.changed_version, row.version)
                self._rows[row.key] = row
        self._forget_removed()
        self.version = rows.version
        if rows.rows or is_snapshot:
            if after_outage:
                self._outage_version = rows.version
            self._apply(rows, is_snapshot, after_outage)

    def _forget_removed(self) -> None:
        removed = [row for row in self._rows.values() if row.value is None]
        if len(removed) > MAX_REMOVED_ROWS:
            for row in removed:
                del self._rows[row.key]
            self._kept_after = max(row.version for row in removed)
