"""Find the owner of a key in a copy of a service's placement pages."""

import contextlib
from array import array
from collections.abc import Callable, Iterable, Iterator, Mapping
from dataclasses import dataclass
from typing import NamedTuple

from xxhash import xxh64_intdigest

from nutmeglead._generated.common.ttypes import UnitKind
from nutmeglead._generated.messages.ttypes import PlacementPage, PreviousHolder
from nutmeglead.core.ids import Epoch, ServerId, ServiceName
from nutmeglead.ownership.keys import PAGE_UNITS, PrefixTable, Unit, bucket_shift, unit_from_id

__all__ = ["Assignment", "GrantSet", "Holder", "Unit", "UnitMap", "UnitRecord"]


class Assignment(NamedTuple):
    """Say who owns the unit of a key; `pending` if an earlier holder is not proven done."""

    unit: Unit
    owner: ServerId | None
    epoch: Epoch
    pending: bool


class Holder(NamedTuple):
    """Name a server that may still hold a unit at an epoch or a lower one."""

    server_id: ServerId
    epoch: Epoch


class UnitRecord(NamedTuple):
    """Hold all that the table says of one unit."""

    unit: Unit
    owner: ServerId | None
    epoch: Epoch
    previous: tuple[Holder, ...]


@dataclass(frozen=True)
class GrantSet:
    """List what a server may serve and the more specific units that it may not."""

    grants: tuple[tuple[Unit, Epoch], ...]
    carve_outs: tuple[Unit, ...]


def _holders(previous: list[PreviousHolder]) -> tuple[Holder, ...]:
    return tuple(Holder(ServerId(h.server_id), Epoch(h.epoch)) for h in previous)


class UnitMap:
    """Hold one service's units: hash buckets in arrays, pins and prefixes in dicts."""

    def __init__(self, service_name: ServiceName, hash_buckets: int) -> None:
        self.service_name = service_name
        self.hash_buckets = hash_buckets
        self.shift = bucket_shift(hash_buckets)
        # Entry 0 stands for "no owner", so an owner index needs no test on the request path.
        self._servers: list[ServerId | None] = [None]
        self._server_index: dict[ServerId, int] = {}
        self._owners = array("i", bytes(4 * hash_buckets))
        self._epochs = array("q", bytes(8 * hash_buckets))
        self._previous: dict[Unit, tuple[Holder, ...]] = {}
        self._pending_buckets: set[int] = set()
        self._exact: dict[str, Assignment] = {}
        self._prefixes: PrefixTable[Assignment] = PrefixTable()
        self._pins_by_page: dict[int, list[Unit]] = {}
        self._versions: dict[tuple[bool, int], int] = {}
        # Pages with buckets of an owner, by owner index. Only controllers ask for a server's units,
        # so the index (about 4 bytes per bucket) is built when that is asked first.
        self._pages_of: dict[int, array[int]] | None = None

    def locate(self, key: str) -> Assignment:
        """Return the assignment of the most specific unit that matches a key."""
        found = self._exact.get(key) or self._prefixes.longest(key)
        if found is not None:
            return found
        bucket = xxh64_intdigest(key.encode("utf-8", "surrogatepass")) >> self.shift
        return self._bucket(bucket)

    def apply(self, page: PlacementPage) -> bool:
        """Take over a page; return False if the same or a newer version is known."""
        place = (page.pins, page.page_number)
        if page.service_name != self.service_name or page.version <= self._versions.get(place, 0):
            return False
        self._versions[place] = page.version
        indices = [self._intern(ServerId(server)) for server in page.servers]
        if page.pins:
            self._apply_pins(page)
        else:
            self._apply_buckets(page, indices)
        return True

    def versions(self) -> dict[tuple[bool, int], int]:
        """Return the known version of each page, by (pins, page number)."""
        return dict(self._versions)

    def record(self, unit: Unit) -> UnitRecord | None:
        """Return what is known of a unit, or None if there is no such pin or prefix."""
        if unit.kind == UnitKind.HASH_BUCKET:
            found: Assignment | None = self._bucket(unit.bucket)
        elif unit.kind == UnitKind.EXACT:
            found = self._exact.get(unit.key)
        else:
            found = self._prefixes.entries.get(unit.key)
        if found is None:
            return None
        return UnitRecord(unit, found.owner, found.epoch, self._previous.get(unit, ()))

    def records_below(self, unit: Unit) -> list[UnitRecord]:
        """List the units that apply to this unit's keys when it does not exist."""
        if unit.kind == UnitKind.HASH_BUCKET:
            return []
        shorter = [
            found.unit
            for found in self._prefixes.matching(unit.key)
            if unit.is_more_specific_than(found.unit)
        ]
        if shorter:
            below = shorter[:1]
        elif unit.kind == UnitKind.EXACT:
            below = [self._bucket_unit(unit.key)]
        else:
            below = [Unit.of_bucket(bucket) for bucket in range(self.hash_buckets)]
        return [record for record in map(self.record, below) if record is not None]

    def pins(self) -> Iterator[UnitRecord]:
        """Yield the exact and prefix units."""
        for units in self._pins_by_page.values():
            yield from (record for record in map(self.record, units) if record is not None)

    def pending(self) -> Iterator[UnitRecord]:
        """Yield the units that have previous holders."""
        for unit in list(self._previous):
            record = self.record(unit)
            if record is not None:
                yield record

    def owners(self) -> set[ServerId]:
        """Return the servers that own any unit."""
        used = {self._servers[index] for index in set(self._owners)}
        used.update(record.owner for record in self.pins())
        return {server for server in used if server is not None}

    def bucket_owners(self, index: Mapping[ServerId, int], no_owner: int) -> "array[int]":
        """Return each bucket's owner as a number that the caller gives to the servers."""
        numbers = [
            no_owner if server is None else index.get(server, no_owner) for server in self._servers
        ]
        return array("i", map(numbers.__getitem__, self._owners))

    def units_of(self, server_id: ServerId) -> list[UnitRecord]:
        """List the units that a server owns."""
        index = self._server_index.get(server_id)
        if index is None:
            return []
        buckets = [Unit.of_bucket(bucket) for bucket in self._buckets_of(index)]
        records = [record for record in map(self.record, buckets) if record is not None]
        return records + self.pins_of(server_id)

    def pins_of(self, server_id: ServerId) -> list[UnitRecord]:
        """List the exact and prefix units that a server owns."""
        return [record for record in self.pins() if record.owner == server_id]

    def grant_set(self, server_id: ServerId, proven: Callable[[Unit, Holder], bool]) -> GrantSet:
        """Compute a server's grants and carve-outs.

        A unit is granted when `proven` holds for each previous holder of it.
        """
        return self._grant_set(self.units_of(server_id), proven)

    def grant_sets(
        self, server_ids: Iterable[ServerId], proven: Callable[[Unit, Holder], bool]
    ) -> dict[ServerId, GrantSet]:
        """Compute the grant sets of many servers in one pass over the buckets.

        After the loss of a failure domain thousands of servers get units at once.
        """
        owned: dict[ServerId | None, list[UnitRecord]] = {server: [] for server in server_ids}
        wanted = {index for server, index in self._server_index.items() if server in owned}
        for bucket, index in enumerate(self._owners):
            if index in wanted:
                record = self.record(Unit.of_bucket(bucket))
                if record is not None:
                    owned[record.owner].append(record)
        for record in self.pins():
            if record.owner in owned:
                owned[record.owner].append(record)
        return {
            server: self._grant_set(records, proven)
            for server, records in owned.items()
            if server is not None
        }

    def _grant_set(
        self, owned: list[UnitRecord], proven: Callable[[Unit, Holder], bool]
    ) -> GrantSet:
        granted = {
            record.unit: record.epoch
            for record in owned
            if all(proven(record.unit, holder) for holder in record.previous)
        }
        has_bucket = any(unit.kind == UnitKind.HASH_BUCKET for unit in granted)
        carve_outs = [
            record.unit
            for record in self.pins()
            if record.unit not in granted and self._is_inside(record.unit, granted, has_bucket)
        ]
        return GrantSet(tuple(granted.items()), tuple(carve_outs))

    def _is_inside(self, unit: Unit, granted: dict[Unit, Epoch], has_bucket: bool) -> bool:
        if any(found.unit in granted for found in self._prefixes.matching(unit.key)):
            return True
        if unit.kind == UnitKind.PREFIX:
            return has_bucket
        return self._bucket_unit(unit.key) in granted

    def _bucket(self, bucket: int) -> Assignment:
        return Assignment(
            Unit(UnitKind.HASH_BUCKET, bucket, ""),
            self._servers[self._owners[bucket]],
            self._epochs[bucket],  # type: ignore[arg-type]
            bucket in self._pending_buckets,
        )

    def _bucket_unit(self, key: str) -> Unit:
        hashed = xxh64_intdigest(key.encode("utf-8", "surrogatepass"))
        return Unit.of_bucket(hashed >> self.shift)

    def _buckets_of(self, index: int) -> Iterator[int]:
        """Yield an owner's buckets in order, from the pages that hold any of them."""
        if self._pages_of is None:
            self._pages_of = {}
            for page in range(-(-self.hash_buckets // PAGE_UNITS)):
                self._index_page(page, set(), self._owners_on(page))
        for page in sorted(self._pages_of.get(index, ())):
            start, stop = page * PAGE_UNITS, (page + 1) * PAGE_UNITS
            with contextlib.suppress(ValueError):
                while True:
                    bucket = self._owners.index(index, start, stop)
                    yield bucket
                    start = bucket + 1

    def _owners_on(self, page: int) -> set[int]:
        return set(self._owners[page * PAGE_UNITS : (page + 1) * PAGE_UNITS])

    def _index_page(self, page: int, before: set[int], after: set[int]) -> None:
        if self._pages_of is None:
            return
        for owner in before - after:
            self._pages_of[owner].remove(page)
        for owner in after - before:
            self._pages_of.setdefault(owner, array("i")).append(page)

    def _intern(self, server_id: ServerId) -> int:
        index = self._server_index.get(server_id)
        if index is None:
            index = len(self._servers)
            self._server_index[server_id] = index
            self._servers.append(server_id)
        return index

    def _set_previous(self, unit: Unit, previous: list[PreviousHolder]) -> None:
        if previous:
            self._previous[unit] = _holders(previous)
        else:
            self._previous.pop(unit, None)

    def _apply_buckets(self, page: PlacementPage, indices: list[int]) -> None:
        first = page.page_number * PAGE_UNITS
        before = self._owners_on(page.page_number)
        for position, (owner, epoch) in enumerate(zip(page.owners, page.epochs, strict=True)):
            bucket = first + position
            self._owners[bucket] = indices[owner] if owner >= 0 else 0
            self._epochs[bucket] = epoch
            previous = page.previous.get(position, [])
            self._set_previous(Unit.of_bucket(bucket), previous)
            if previous:
                self._pending_buckets.add(bucket)
            else:
                self._pending_buckets.discard(bucket)
        self._index_page(page.page_number, before, self._owners_on(page.page_number))

    def _apply_pins(self, page: PlacementPage) -> None:
        for unit in self._pins_by_page.get(page.page_number, []):
            self._drop_pin(unit)
        units = [unit_from_id(unit_id) for unit_id in page.units or []]
        self._pins_by_page[page.page_number] = units
        for position, unit in enumerate(units):
            owner = page.owners[position]
            previous = page.previous.get(position, [])
            self._set_previous(unit, previous)
            server = ServerId(page.servers[owner]) if owner >= 0 else None
            entry = Assignment(unit, server, Epoch(page.epochs[position]), bool(previous))
            if unit.kind == UnitKind.EXACT:
                self._exact[unit.key] = entry
            else:
                self._prefixes.put(unit.key, entry)

    def _drop_pin(self, unit: Unit) -> None:
        self._previous.pop(unit, None)
        if unit.kind == UnitKind.EXACT:
            self._exact.pop(unit.key, None)
        else:
            self._prefixes.remove(unit.key)
