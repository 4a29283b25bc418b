"""Hold a service's placement pages with their row versions and turn moves into page writes."""

from collections.abc import Iterable, Iterator, MutableMapping, Sequence
from dataclasses import dataclass, field

from result import Err, Ok, Result

from nutmeglead._generated.common.ttypes import UnitKind
from nutmeglead._generated.messages.ttypes import PlacementPage, ServerEntry
from nutmeglead.core.codec import decode, encode
from nutmeglead.core.ids import RowKey, ServerId, ServiceName
from nutmeglead.dissemination.digests import VersionDigest
from nutmeglead.dissemination.page_ids import PageId
from nutmeglead.ownership.directory import directory_key, directory_page
from nutmeglead.ownership.errors import OwnershipError
from nutmeglead.ownership.keys import Unit
from nutmeglead.ownership.pages import (
    WriteStamp,
    add_unit,
    clear_previous,
    empty_pin_page,
    hash_pages,
    move_units,
    page_key,
    page_of_unit,
    remove_unit,
)
from nutmeglead.ownership.units import Holder, UnitMap
from nutmeglead.placement.model import Move, MoveReason, Pin
from nutmeglead.platform.ports import Row, RowCheck, RowWrite

__all__ = ["PageEdit", "PagePlacer", "unit_of_move"]

# One transaction carries at most this many pages, so that a large change does not delay others.
MAX_PAGES_PER_COMMIT = 32


@dataclass(frozen=True)
class PageEdit:
    """Hold one changed page and the row version that it replaces."""

    key: RowKey
    page: PlacementPage
    row_version: int


@dataclass
class EditBatch:
    """Collect the edits of one transaction and the moves that could not be part of it."""

    edits: dict[RowKey, PageEdit] = field(default_factory=dict)
    done: list[Move] = field(default_factory=list)
    postponed: list[tuple[Move, OwnershipError]] = field(default_factory=list)

    def checks(self) -> list[RowCheck]:
        """Return the row checks of the transaction."""
        return [RowCheck(edit.key, edit.row_version) for edit in self.edits.values()]

    def writes(self) -> list[RowWrite]:
        """Return the row writes of the transaction."""
        return [RowWrite(edit.key, encode(edit.page)) for edit in self.edits.values()]


def unit_of_move(move: Move) -> Unit:
    """Return the unit that a move of the planner names."""
    if isinstance(move.unit, Pin):
        is_exact = move.unit.kind == UnitKind.EXACT
        return Unit.of_key(move.unit.key) if is_exact else Unit.of_prefix(move.unit.key)
    return Unit.of_bucket(move.unit)


class _EncodedPages(MutableMapping[RowKey, PlacementPage]):
    """Keep pages encoded and give out new copies.

    As Python objects pages took 75 bytes per bucket, 31 MB at the target size of 416,000 buckets;
    encoded they take 12.
    """

    def __init__(self) -> None:
        self._encoded: dict[RowKey, bytes] = {}

    def __getitem__(self, key: RowKey) -> PlacementPage:
        return decode(PlacementPage, self._encoded[key]).unwrap()

    def __setitem__(self, key: RowKey, page: PlacementPage) -> None:
        self._encoded[key] = encode(page)

    def __delitem__(self, key: RowKey) -> None:
        del self._encoded[key]

    def __iter__(self) -> Iterator[RowKey]:
        return iter(self._encoded)

    def __len__(self) -> int:
        return len(self._encoded)

    def __contains__(self, key: object) -> bool:
        return key in self._encoded


class PagePlacer:
    """Apply committed pages to the unit map and prepare the next transaction; pure."""

    def __init__(self, service_name: ServiceName, hash_buckets: int) -> None:
        self.service_name = service_name
        self.hash_buckets = hash_buckets
        self.unit_map = UnitMap(service_name, hash_buckets)
        self.pages: MutableMapping[RowKey, PlacementPage] = _EncodedPages()
        self._row_versions: dict[RowKey, int] = {}

    @property
    def has_pages(self) -> bool:
        """Tell whether the service's hash pages exist."""
        return page_key(self.service_name, False, 0) in self.pages

    def load_rows(self, rows: Iterable[Row]) -> list[RowKey]:
        """Take over rows of the table; return the keys of rows that could not be read."""
        unreadable = []
        for row in rows:
            decoded = decode(PlacementPage, row.value)
            if isinstance(decoded, Err):
                unreadable.append(row.key)
            else:
                self.take_over(row.key, decoded.ok_value, row.version)
        return unreadable

    def take_over(self, key: RowKey, page: PlacementPage, row_version: int) -> None:
        """Apply a page that is in the table."""
        if row_version <= self._row_versions.get(key, 0):
            return
        self._row_versions[key] = row_version
        self.pages[key] = page
        self.unit_map.apply(page)

    def first_pages(self, owners: Sequence[ServerId | None], stamp: WriteStamp) -> EditBatch:
        """Prepare the transaction that creates the hash pages."""
        batch = EditBatch()
        pages = hash_pages(self.service_name, self.hash_buckets, owners.__getitem__, stamp)
        for page in pages:
            key = page_key(self.service_name, False, page.page_number)
            batch.edits[key] = PageEdit(key, page, self._row_versions.get(key, 0))
        return batch

    def directory_version(self) -> int:
        """Return the row version of the directory page, or 0."""
        return self._row_versions.get(directory_key(self.service_name), 0)

    def directory(self, entries: Sequence[ServerEntry], stamp: WriteStamp) -> EditBatch:
        """Prepare the transaction that writes the servers' addresses, if they have changed."""
        key = directory_key(self.service_name)
        present = self.pages.get(key)
        batch = EditBatch()
        if present is None or list(present.directory or []) != list(entries):
            page = directory_page(self.service_name, entries, present, stamp)
            batch.edits[key] = PageEdit(key, page, self._row_versions.get(key, 0))
        return batch

    def move(self, moves: Sequence[Move], stamp: WriteStamp, max_pages: int) -> EditBatch:
        """Prepare a transaction with as many of the moves as fit, the first ones first."""
        batch = EditBatch()
        limit = min(max_pages, MAX_PAGES_PER_COMMIT)
        bulk: dict[RowKey, list[Move]] = {}
        for move in moves:
            unit = unit_of_move(move)
            key = page_key(self.service_name, *page_of_unit(unit))
            known = key in bulk or key in batch.edits
            if not known and len(bulk.keys() | batch.edits.keys()) >= limit:
                continue
            if unit.kind == UnitKind.HASH_BUCKET:
                bulk.setdefault(key, []).append(move)
            else:
                self._edit_pin(batch, key, unit, move, stamp)
        for key, page_moves in bulk.items():
            self._edit_buckets(batch, key, page_moves, stamp)
        return batch

    def clear(
        self, proven: dict[Unit, set[Holder]], stamp: WriteStamp, max_pages: int
    ) -> EditBatch:
        """Prepare a transaction that removes proven previous holders."""
        batch = EditBatch()
        by_page: dict[RowKey, dict[Unit, set[Holder]]] = {}
        for unit, holders in proven.items():
            key = page_key(self.service_name, *page_of_unit(unit))
            by_page.setdefault(key, {})[unit] = holders
        for key, holders_by_unit in list(by_page.items())[: min(max_pages, MAX_PAGES_PER_COMMIT)]:
            page = clear_previous(self.pages[key], holders_by_unit, stamp)
            batch.edits[key] = PageEdit(key, page, self._row_versions.get(key, 0))
        return batch

    def _edit_buckets(
        self, batch: EditBatch, key: RowKey, moves: list[Move], stamp: WriteStamp
    ) -> None:
        """Move buckets of one page; a bucket that cannot move yet does not hold up the others."""
        page = self.pages[key]
        targets = {unit_of_move(move): move.to_server for move in moves}
        edited = move_units(page, targets, stamp)
        if isinstance(edited, Ok):
            batch.edits[key] = PageEdit(key, edited.ok_value, self._row_versions.get(key, 0))
            batch.done += moves
            return
        possible = []
        for move in moves:
            single = move_units(page, {unit_of_move(move): move.to_server}, stamp)
            if isinstance(single, Ok):
                possible.append(move)
            else:
                batch.postponed.append((move, single.err_value))
        if possible:
            self._edit_buckets(batch, key, possible, stamp)

    def _edit_pin(
        self, batch: EditBatch, key: RowKey, unit: Unit, move: Move, stamp: WriteStamp
    ) -> None:
        present = batch.edits[key].page if key in batch.edits else self.pages.get(key)
        if present is None:
            present = empty_pin_page(self.service_name, page_of_unit(unit)[1], stamp)
        edited = self._changed_pin_page(present, unit, move, stamp)
        if isinstance(edited, Err):
            batch.postponed.append((move, edited.err_value))
            return
        batch.edits[key] = PageEdit(key, edited.ok_value, self._row_versions.get(key, 0))
        batch.done.append(move)

    def _changed_pin_page(
        self, page: PlacementPage, unit: Unit, move: Move, stamp: WriteStamp
    ) -> Result[PlacementPage, OwnershipError]:
        record = self.unit_map.record(unit)
        below = self.unit_map.records_below(unit)
        if record is None:
            return add_unit(page, unit, move.to_server, below, stamp)
        if move.reason is MoveReason.PIN_REMOVED or move.removes_pin:
            removed = remove_unit(page, unit, below, stamp)
            if isinstance(removed, Ok) or move.to_server is None:
                return removed
        return move_units(page, {unit: move.to_server}, stamp)

    def owners(self) -> set[ServerId]:
        """Return the servers that own any unit."""
        return self.unit_map.owners()

    def holders(self) -> set[ServerId]:
        """Return the servers that own any unit or may still hold one."""
        pending = self.unit_map.pending()
        return self.owners() | {
            holder.server_id for record in pending for holder in record.previous
        }

    def digest(self) -> int:
        """Return a digest of the page versions."""
        digest = VersionDigest()
        for place, version in self.unit_map.versions().items():
            digest.replace(PageId(*place), 0, version)
        return digest.value
