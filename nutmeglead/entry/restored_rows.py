"""Compare a table of a restored store with the rows that a node knew before the store's return."""

import logging
import zlib
from collections import deque
from collections.abc import Mapping, Sequence
from dataclasses import replace
from typing import NamedTuple

from nutmeglead.core.clock import Clock
from nutmeglead.core.events import Event, log_event
from nutmeglead.forwarding.registry import OUTAGE_RECOVERY_GRACE_MS
from nutmeglead.platform.store import StoreRow, StoreRows

__all__ = ["RestoredRows", "RowHistory", "SeenStates", "merge_restored"]

logger = logging.getLogger(__name__)

# Servers write their entries about once a second, and a restored copy is some seconds old.
SEEN_STATES_PER_ROW = 16


class SeenStates:
    """Hold the earlier states of each row, as version and checksum of the value."""

    def __init__(self) -> None:
        self._by_key: dict[str, deque[tuple[int, int]]] = {}

    def record(self, row: StoreRow) -> None:
        """Add a state that a newer one replaces; removals are not recorded."""
        if row.value is not None:
            states = self._by_key.setdefault(row.key, deque(maxlen=SEEN_STATES_PER_ROW))
            states.append((row.version, zlib.crc32(row.value)))

    def holds(self, row: StoreRow) -> bool:
        """Return whether a row is in a state that was known and replaced."""
        states = self._by_key.get(row.key, ())
        return (row.version, zlib.crc32(row.value or b"")) in states

    def discard(self, key: str) -> None:
        """Remove the states of a row."""
        self._by_key.pop(key, None)


class RestoredRows(NamedTuple):
    """Hold the rows in force, the known rows that the store lacks, and the count of newer ones.

    `kept_count` tells how many rows are in force in a newer state than the restored store has.
    """

    rows: tuple[StoreRow, ...]
    missing: tuple[StoreRow, ...]
    kept_count: int


def merge_restored(
    known: Mapping[str, StoreRow], seen: SeenStates, restored: Sequence[StoreRow]
) -> RestoredRows:
    """Return the rows in force after the store's return, from its whole table and the known rows.

    A restored state is outdated if it was known and replaced, or if it has a lower version than the
    known one and none above the versions that are surely of the copy. Any other state was written
    after the return, as versions of the copy are lower. A known state that replaces an outdated one
    gets its version, so that all versions are of the new era.
    """
    copied = (row.version for row in restored if seen.holds(row) or _is_same(known, row))
    copied_version = max(copied, default=0)
    rows: list[StoreRow] = []
    kept_count = 0
    for row in restored:
        old = known.get(row.key)
        if old is None or row.part:
            rows.append(row)
        elif _is_same(known, row):
            rows.append(replace(row, changed_ms=old.changed_ms))
        elif seen.holds(row) or row.version < old.version and row.version <= copied_version:
            rows.append(replace(old, version=row.version))
            kept_count += 1
        else:
            rows.append(row)
    present = {row.key for row in restored if not row.part}
    missing = tuple(
        row for row in known.values() if row.value is not None and row.key not in present
    )
    return RestoredRows(tuple(rows), missing, kept_count)


def _is_same(known: Mapping[str, StoreRow], row: StoreRow) -> bool:
    old = known.get(row.key)
    return old is not None and (old.version, old.value) == (row.version, row.value)


class RowHistory:
    """Hold the earlier states of a followed table's rows, and the rows that a restored store lacks.

    `missing` holds those rows until they are written again or the grace time ends.
    """

    def __init__(self, table: str, clock: Clock) -> None:
        self.missing: dict[str, StoreRow] = {}
        self._table = table
        self._clock = clock
        self._seen = SeenStates()
        self._missing_since_ms = 0

    def record(self, old: StoreRow | None, new: StoreRow) -> None:
        """Record that the newest state of a row replaces an earlier one."""
        if old is not None and (old.version, old.value) != (new.version, new.value):
            self._seen.record(old)
        self.missing.pop(new.key, None)

    def discard(self, key: str) -> None:
        """Remove the states of a row."""
        self._seen.discard(key)

    def begin_era(self, known: Mapping[str, StoreRow], restored: StoreRows) -> StoreRows:
        """Return the rows in force after the store's return, without those that it lacks."""
        merged = merge_restored({**known, **self.missing}, self._seen, restored.rows)
        if known:
            log_event(
                logger,
                Event.TABLE_RESTORED,
                table=self._table,
                era=restored.era,
                rows=len(restored.rows),
                kept=merged.kept_count,
                missing=len(merged.missing),
            )
        self.missing = {row.key: replace(row, version=restored.version) for row in merged.missing}
        self._missing_since_ms = self._clock.now_ms()
        return replace(restored, rows=merged.rows)

    def pop_expired(self) -> tuple[StoreRow, ...]:
        """Return the removals of the missing rows once the grace time has ended."""
        if self._clock.now_ms() - self._missing_since_ms < OUTAGE_RECOVERY_GRACE_MS:
            return ()
        removed = tuple(replace(row, value=None) for row in self.missing.values())
        self.missing = {}
        return removed
