"""Follow a table of the store by its feed."""

import asyncio
import logging
import random
from collections.abc import Callable

from result import Err, Ok, Result

from nutmeglead._generated.peers.ttypes import CopiedRow, TableCopy
from nutmeglead.core.clock import Clock
from nutmeglead.core.events import Event, log_event
from nutmeglead.platform.store import (
    StoreClient,
    StoreHistoryLost,
    StoreRow,
    StoreRows,
    StoreUnavailable,
)

__all__ = ["StoreContact", "TableWatch"]

logger = logging.getLogger(__name__)

FEED_WAIT_MS = 15_000
# A node that knows nothing yet, or whose last call failed, must not wait long for a silent store.
PROBE_WAIT_MS = 1_000
# A refused call is priced too; a change must be in force 2 s after it was acknowledged.
RETRY_MIN_MS = 200
RETRY_MAX_MS = 800


class StoreContact:
    """Tell since when the store has answered this node."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._answered_ms = clock.now_ms()
        self._lost_ms: int | None = None
        self._regained_ms: int | None = None

    def on_answer(self) -> None:
        """Note an answer."""
        now_ms = self._clock.now_ms()
        self._answered_ms = now_ms
        if self._lost_ms is not None:
            log_event(logger, Event.STORE_REGAINED, away_ms=now_ms - self._lost_ms)
            self._regained_ms, self._lost_ms = now_ms, None

    def on_failure(self, table: str, reason: str) -> None:
        """Note a failed call."""
        if self._lost_ms is None:
            self._lost_ms = self._clock.now_ms()
            log_event(logger, Event.STORE_LOST, table=table, reason=reason)

    @property
    def age_ms(self) -> int:
        """Return the time since the last answer, 0 while no call has failed since."""
        return 0 if self._lost_ms is None else self._clock.now_ms() - self._answered_ms

    def was_away_within(self, duration_ms: int) -> bool:
        """Tell whether the store was away at any time within a duration."""
        if self._lost_ms is not None:
            return True
        regained_ms = self._regained_ms
        return regained_ms is not None and self._clock.now_ms() - regained_ms <= duration_ms


class TableWatch:
    """Pass a table's rows on: all of them at first and after a loss of history, then changes."""

    def __init__(
        self,
        store: StoreClient,
        table: str,
        apply: Callable[[StoreRows, bool], None],
        contact: StoreContact,
        rng: random.Random,
        settle_ms: int,
    ) -> None:
        """`settle_ms` is a pause after each change, which lets several come in one call."""
        self._store = store
        self._table = table
        self._apply = apply
        self._contact = contact
        self._rng = rng
        self._settle_ms = settle_ms
        self.version = 0
        # Version of the newest change of the table; `version` grows with changes of any table.
        self.changed_version = 0
        self._rows: dict[str, StoreRow] = {}
        self._has_failed = False

    @property
    def table(self) -> str:
        """Return the table's name."""
        return self._table

    def copy(self) -> TableCopy:
        """Return the rows for a node that the store turns away."""
        rows = [CopiedRow(row.key, row.version, row.value) for row in self._rows.values()]
        return TableCopy(self.version, self.changed_version, rows)

    def take_copy(self, copy: TableCopy) -> None:
        """Apply another node's rows if they are newer."""
        if copy.changed_version <= self.changed_version or copy.store_version < self.version:
            return
        rows = [StoreRow(self._table, "", row.key, row.value, row.version) for row in copy.rows]
        self._take(StoreRows(tuple(rows), copy.store_version), True)
        self.changed_version = copy.changed_version

    async def run(self) -> None:
        """Follow the table until cancelled."""
        retry_ms = RETRY_MIN_MS
        while True:
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
        if fed.ok_value.version < self.version:
            # A peer's copy that came meanwhile is newer.
            return Ok(None)
        self._take(fed.ok_value, is_snapshot)
        return Ok(None)

    def _take(self, rows: StoreRows, is_snapshot: bool) -> None:
        if is_snapshot:
            self._rows.clear()
        for row in rows.rows:
            if row.part:
                continue
            self.changed_version = max(self.changed_version, row.version)
            if row.value is None:
                self._rows.pop(row.key, None)
            else:
                self._rows[row.key] = row
        self.version = rows.version
        if rows.rows or is_snapshot:
            self._apply(rows, is_snapshot)
