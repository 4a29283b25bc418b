"""Follow a table of the store through its feed, or through copies from a hub."""

import asyncio
import logging
import random
from collections.abc import Callable, Iterable
from dataclasses import replace

from result import Err, Ok, Result

from nutmeglead._generated.peers.ttypes import CopiedRow, TableCopy
from nutmeglead.core.clock import Clock
from nutmeglead.entry.contact import StoreContact
from nutmeglead.entry.followed_table import FollowedTable
from nutmeglead.entry.patches import RowPatches, apply_patches
from nutmeglead.entry.restored_rows import RowHistory
from nutmeglead.forwarding.registry import OUTAGE_RECOVERY_GRACE_MS
from nutmeglead.platform.store import (
    FEED_MARGIN_MS,
    StoreClient,
    StoreHistoryLost,
    StoreRow,
    StoreRows,
    StoreUnavailable,
)

__all__ = ["TableWatch"]

logger = logging.getLogger(__name__)

MAX_FEED_WAIT_MS = 15_000
# A silent store swallows a call, which is noticed only after its waiting time. A change ends the
# calls of all hubs at once; different waiting times keep the next ones from ending together, in
# the same outage.
MIN_FEED_WAIT_MS = 7_500
# A node that has no rows yet must detect a silent store soon.
FIRST_FEED_WAIT_MS = 1_000
# Time from a feed call to the call that checks whether the store answers. The feed call may have to
# open a connection first.
CHECK_DELAY_MS = 20
# How often a node that takes copies checks whether it has to follow the store itself.
FOLLOW_CHECK_INTERVAL_MS = 100
# How many removed rows are kept, to be included in copies of changes.
MAX_REMOVED_ROWS = 500
# A feed call that has a change to return is answered within this time.
PROMPT_ANSWER_MS = 100
MAX_AGE_MS = 2**31 - 1
# Refused calls cost money too, but a change must be in force 2 s after it was acknowledged.
RETRY_MIN_MS = 200
RETRY_MAX_MS = 800


class TableWatch:
    """Apply a table's rows: all at first and after the store lost its history, then changes."""

    def __init__(
        self,
        store: StoreClient,
        table: FollowedTable,
        contact: StoreContact,
        clock: Clock,
        rng: random.Random,
        follows_store: Callable[[], bool],
        checks_calls: Callable[[], bool] = lambda: False,
        known_era: Callable[[], int] = lambda: 0,
    ) -> None:
        """While `follows_store` returns false, the rows come from copies only.

        While `checks_calls` returns true, this node makes sure that its feed calls were received.
        `known_era` returns the highest era of the store that this node knows of.
        """
        self._store = store
        self._table = table.name
        self._apply = table.apply
        self._settle_ms = table.settle_ms
        self._confirm = table.confirm
        self._contact = contact
        self._clock = clock
        self._rng = rng
        self.follows_store = follows_store
        self._checks_calls = checks_calls
        self._known_era = known_era
        # The era of the store to which all versions of the watch and its rows belong.
        self.era = 0
        self.version = 0
        # Version of the newest change of this table; `version` grows with changes of any table.
        self.changed_version = 0
        # Version of the newest rows that were read soon after the store had refused the reader's
        # calls, when this node applied them, and whether this node is the reader.
        self._outage_version = 0
        self._outage_ms = 0
        self._is_outage_own = False
        # Present rows, and removed ones without a value.
        self._rows: dict[str, StoreRow] = {}
        self._patches = RowPatches()
        self._history = RowHistory(table.name, clock)
        # Set after patches that did not fit this node's rows.
        self._needs_whole_copy = False
        # All changes after this version are known; a copy from before it has to be a whole table.
        self._changes_kept_after = 0
        self._last_call_failed = False
        # Whether this node has taken copies since the newest answer to a feed call.
        self._took_copies = False
        # Since when this node has had rows of a peer that the present feed call has not returned.
        self._copied_ms: int | None = None
        # When the store sent the newest answer to a feed call.
        self._last_feed_ms = clock.now_ms()

    @property
    def table(self) -> str:
        """Return the table's name."""
        return self._table

    @property
    def unconfirmed_version(self) -> int:
        """Return the version of the newest rows whose missing entries may have lapsed, or 0."""
        is_over = self._clock.now_ms() - self._outage_ms >= OUTAGE_RECOVERY_GRACE_MS
        return 0 if is_over else self._outage_version

    def confirm_by_peers(self, versions: Iterable[tuple[int, int]]) -> None:
        """Treat unconfirmed rows as read without an outage if most other readers say so.

        `versions` holds the newest version and the unconfirmed version of each peer that is heard.
        A node cannot tell a refusal of its own calls from an outage of the store, in which its
        peers would have been refused too.
        """
        version = self.unconfirmed_version
        if not version:
            return
        unconfirmed = [peer_unconfirmed for known, peer_unconfirmed in versions if known >= version]
        doubting = sum(peer_unconfirmed >= version for peer_unconfirmed in unconfirmed)
        if len(unconfirmed) - doubting > doubting + self._is_outage_own:
            self._outage_version = 0
            self._confirm()

    @property
    def copy_after(self) -> int:
        """Return the version after which a copy for this node has to hold all changes."""
        return 0 if self._needs_whole_copy else self.version

    def copy(self, after: int, with_patches: bool = False, era: int = 0) -> TableCopy:
        """Return the rows changed after a version, or the whole table if changes are missing.

        `with_patches` allows patches in place of the values of large rows. `era` is the era of the
        store to which the version belongs.
        """
        after = after if era == self.era else 0
        is_whole = not after or after < self._changes_kept_after
        rows = [
            self._copied_row(row, after if with_patches else 0)
            for row in self._rows.values()
            if (row.value is not None if is_whole else row.version > after)
        ]
        after_outage = after < self.unconfirmed_version
        return TableCopy(
            self.version, self.changed_version, rows, is_whole, after_outage, self.era or None
        )

    def _copied_row(self, row: StoreRow, patched_after: int) -> CopiedRow:
        """Return a row of a copy, with patches for a node that has all changes up to a version."""
        patches = self._patches.since(row.key, patched_after) if patched_after else None
        value = None if patches else row.value
        return CopiedRow(row.key, row.version, value, _age_ms(row, self._clock.now_ms()), patches)

    def apply_copy(self, copy: TableCopy, transfer_ms: int) -> bool:
        """Apply rows that a peer has copied, and return whether they were newer than this node's.

        `transfer_ms` is the longest time since the peer has stated the age of the rows.
        If patches do not fit this node's rows, nothing is applied and the next copy is a whole one.
        """
        era = copy.era or 0
        if (era, copy.changed_version) <= (self.era, self.changed_version):
            return False
        if era == self.era and copy.store_version < self.version:
            return False
        rows = [self._row_of_copy(row, transfer_ms) for row in copy.rows]
        self._needs_whole_copy = None in rows or (era > self.era and not copy.is_whole)
        if self._needs_whole_copy:
            logger.info(
                "the changes in a copy of table %s do not fit; a whole copy follows", self._table
            )
            return False
        # Only an outage at the node that read the rows matters, not one at this node.
        self._is_outage_own = False
        self._apply_rows(
            StoreRows(tuple(row for row in rows if row is not None), copy.store_version, era=era),
            copy.is_whole,
            copy.after_outage,
        )
        self.changed_version = copy.changed_version
        if self._copied_ms is None:
            self._copied_ms = self._clock.now_ms()
        return True

    def _row_of_copy(self, copied: CopiedRow, transfer_ms: int) -> StoreRow | None:
        """Return a row of a copy with its value, or None if its patches do not fit."""
        value, age_ms = copied.value, copied.age_ms
        if copied.patches:
            value = apply_patches(self._rows.get(copied.key), copied.patches)
            if value is None:
                return None
        changed_ms = None if age_ms is None else self._clock.now_ms() - transfer_ms - age_ms
        return StoreRow(self._table, "", copied.key, value, copied.version, changed_ms)

    async def run(self) -> None:
        """Follow the table's feed until cancelled, with backoff after failed calls."""
        retry_ms = RETRY_MIN_MS
        while True:
            if not self.follows_store():
                self._took_copies = True
                await asyncio.sleep(FOLLOW_CHECK_INTERVAL_MS / 1000)
                continue
            fed = await self._next_rows_while_followed()
            if fed is None:
                continue
            if isinstance(fed, Err):
                self._last_call_failed = True
                self._contact.on_failure(self._table, str(fed.err_value))
                await asyncio.sleep(retry_ms * (0.75 + 0.5 * self._rng.random()) / 1000)
                retry_ms = min(RETRY_MAX_MS, retry_ms * 2)
                continue
            retry_ms = RETRY_MIN_MS
            self._last_call_failed = False
            self._contact.on_answer()
            await asyncio.sleep(self._settle_ms / 1000)

    async def _next_rows_while_followed(
        self,
    ) -> Result[None, StoreHistoryLost | StoreUnavailable] | None:
        """Fetch and apply the next changes, or return None if another call is to be made instead.

        That is so once this node takes copies: otherwise the next change of a large row arrives
        both as a copy of the change and as the whole row, which delays the copy. It is so too once
        this node has to check its calls, and this call was not checked, and once it learns that the
        store has returned from an older copy. A call that does not return what a peer has is given
        up as failed, long before its own waiting time is over.
        """
        is_checked, era = self._checks_calls(), self._known_era()
        self._copied_ms = None
        call = asyncio.ensure_future(self._next_rows())
        check = asyncio.ensure_future(self._check_call()) if is_checked else None
        try:
            while (
                self.follows_store()
                and (is_checked or not self._checks_calls())
                and (call.done() or self._known_era() == era)
            ):
                waiting = {call} if check is None else {call, check}
                await asyncio.wait(
                    waiting,
                    timeout=FOLLOW_CHECK_INTERVAL_MS / 1000,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                if call.done():
                    return call.result()
                if check is not None and check.done():
                    lost = check.result()
                    if lost is not None:
                        return lost
                    check = None
                if self._copied_ms is not None and self._is_call_lost(self._copied_ms):
                    return Err(StoreUnavailable("a peer has changes that it has not returned"))
            return None
        finally:
            call.cancel()
            if check is not None:
                check.cancel()

    def _is_call_lost(self, copied_ms: int) -> bool:
        """Return whether a feed call is as late with changes of a peer as one without a wait."""
        return self._clock.now_ms() - copied_ms > FEED_MARGIN_MS

    async def _check_call(
        self,
    ) -> Result[None, StoreHistoryLost | StoreUnavailable] | None:
        """Return the result to go on with if the store may have lost the feed call, or None.

        A store that was silent for a moment has swallowed the feed call, however soon it answers
        other calls again. So this call is made just after the feed call, and answered at once.
        """
        await asyncio.sleep(CHECK_DELAY_MS / 1000)
        fed = await self._store.feed(self._table, self.version, 0)
        if isinstance(fed, Err):
            return fed
        if fed.ok_value.era != self.era or not fed.ok_value.rows:
            return None
        # The feed call should have returned these rows before.
        self.apply_fed_rows(fed.ok_value, is_snapshot=False)
        return Ok(None)

    async def _next_rows(self) -> Result[None, StoreHistoryLost | StoreUnavailable]:
        """Fetch and apply the next changes, or all rows if the store has lost its history.

        A feed from version 0 returns all rows in one call, as long as the store has its whole
        history. The store's return from an older copy is a loss of the history too.
        """
        is_snapshot = self.version == 0
        if is_snapshot or self._known_era() <= self.era:
            fed = await self._store.feed(self._table, self.version, self._feed_wait_ms())
            is_answered = not isinstance(fed, Err)
            if is_answered and (is_snapshot or fed.unwrap().era == self.era):
                self.apply_fed_rows(fed.unwrap(), is_snapshot)
                return Ok(None)
            if isinstance(fed, Err) and not isinstance(fed.err_value, StoreHistoryLost):
                return fed
        logger.info(
            "reading all rows of store table %s again: the changes after version %d are lost",
            self._table,
            self.version,
        )
        read = await self._store.read(self._table, "")
        if isinstance(read, Err):
            return read
        self.apply_fed_rows(read.ok_value, is_snapshot=True, is_history_lost=True)
        return Ok(None)

    def _feed_wait_ms(self) -> int:
        """Return for how long the store may leave the next call unanswered."""
        if self._last_call_failed:
            return 0
        if not self.version:
            return FIRST_FEED_WAIT_MS
        return self._rng.randint(MIN_FEED_WAIT_MS, MAX_FEED_WAIT_MS)

    def apply_fed_rows(
        self, rows: StoreRows, is_snapshot: bool, is_history_lost: bool = False
    ) -> None:
        """Apply rows read from the store, unless a newer copy from a peer was applied meanwhile."""
        sent_ms = self._clock.now_ms() - rows.delay_ms
        changed_ms = self._earliest_change_ms(sent_ms, is_history_lost)
        self._last_feed_ms = sent_ms
        self._took_copies = False
        if (rows.era, rows.version) >= (self.era, self.version):
            self._is_outage_own = True
            dated = tuple(replace(row, changed_ms=changed_ms) for row in rows.rows)
            self._apply_rows(
                StoreRows(dated, rows.version, era=rows.era),
                is_snapshot,
                self._contact.was_unavailable_within(OUTAGE_RECOVERY_GRACE_MS),
            )

    def _earliest_change_ms(self, sent_ms: int, is_history_lost: bool) -> int:
        """Return since when rows that the store sent at a time can have changed at the earliest.

        A change waits for the next call while this node pauses between two of them, and is answered
        promptly if a call waits at the store. After failed calls, after a time without calls, or if
        the store has lost changes, it can be as old as the last answer.
        """
        if self._last_call_failed or self._took_copies or is_history_lost:
            return self._last_feed_ms
        return max(self._last_feed_ms, sent_ms - self._settle_ms - PROMPT_ANSWER_MS)

    def _apply_rows(self, rows: StoreRows, is_snapshot: bool, after_outage: bool) -> None:
        if is_snapshot and rows.era > self.era:
            rows = self._history.begin_era(self._rows, rows)
            self.era, self.changed_version, self._outage_version = rows.era, 0, 0
            self._patches = RowPatches()
        previous = self._rows
        if is_snapshot:
            self._rows = {}
            self._changes_kept_after = rows.version
        for row in rows.rows:
            if not row.part:
                self.changed_version = max(self.changed_version, row.version)
                # Only nodes that follow the store are asked for copies.
                if self.follows_store():
                    self._patches.record(previous.get(row.key), row)
                self._history.record(previous.get(row.key), row)
                self._rows[row.key] = row
        self._discard_removed_rows()
        self.version = rows.version
        if rows.rows or is_snapshot:
            if after_outage:
                self._outage_version = rows.version
                self._outage_ms = self._clock.now_ms()
            missing = tuple(self._history.missing.values()) if is_snapshot else ()
            self._apply(replace(rows, rows=rows.rows + missing), is_snapshot, after_outage)

    def expire_missing(self) -> None:
        """Remove the rows that were not written again in time after the store's return."""
        removed = self._history.pop_expired()
        if removed:
            self._apply(StoreRows(removed, self.version, era=self.era), False, False)

    def _discard_removed_rows(self) -> None:
        removed = [row for row in self._rows.values() if row.value is None]
        if len(removed) > MAX_REMOVED_ROWS:
            for row in removed:
                del self._rows[row.key]
                self._history.discard(row.key)
            self._changes_kept_after = max(row.version for row in removed)


def _age_ms(row: StoreRow, now_ms: int) -> int | None:
    """Return the longest time since a row can have changed in ms, or None if it is not known."""
    return None if row.changed_ms is None else min(MAX_AGE_MS, max(0, now_ms - row.changed_ms))
