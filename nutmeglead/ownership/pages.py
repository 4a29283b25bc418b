"""Build and change placement pages; every function returns a new page.

A controller commits one change at a time and applies it to its map before it computes the next:
the records below a new unit must be those of the table. After a lost answer it reads the row again.
"""

from collections.abc import Callable, Iterable, Mapping, Sequence
from copy import deepcopy
from dataclasses import dataclass

from result import Err, Ok, Result
from xxhash import xxh64_intdigest

from nutmeglead._generated.common.ttypes import UnitKind
from nutmeglead._generated.messages.ttypes import PlacementPage, PreviousHolder
from nutmeglead.core.ids import Epoch, RoleEpoch, RowKey, ServerId, ServiceName, TicketNumber
from nutmeglead.ownership.errors import (
    OwnershipError,
    PinNotRemovable,
    TooManyPreviousHolders,
    UnitExists,
    UnitNotOnPage,
)
from nutmeglead.ownership.keys import PAGE_UNITS, Unit, unit_from_id
from nutmeglead.ownership.units import Holder, UnitMap, UnitRecord

__all__ = [
    "MAX_PREVIOUS",
    "PIN_PAGES",
    "WriteStamp",
    "add_unit",
    "clear_previous",
    "empty_pin_page",
    "hash_pages",
    "move_units",
    "page_key",
    "page_of_unit",
    "pages_touched_by_loss",
    "remove_unit",
    "role_key",
    "server_key",
    "units_on_page",
]

# A unit that still waits for four holders is not moved again: each of them is a server whose end is
# unproven, and a longer list would only grow during an outage of the table service.
MAX_PREVIOUS = 4
# A unit's pin page is fixed by its hash, so that a unit that is removed and added again meets the
# epoch floor that its removal left. 16 pages of 256 units hold ten times the 240 hottest keys.
PIN_PAGES = 16


@dataclass(frozen=True)
class WriteStamp:
    """Name the role epoch and the ticket under which a page is written."""

    role_epoch: RoleEpoch
    ticket_number: TicketNumber


def page_key(service_name: str, pins: bool, page_number: int) -> RowKey:
    """Return the row key of a page."""
    return RowKey(f"page/{service_name}/{'pins' if pins else 'hash'}/{page_number}")


def role_key(service_name: str) -> RowKey:
    """Return the row key of a service's controller role."""
    return RowKey(f"role/{service_name}")


def server_key(service_name: str, server_id: str) -> RowKey:
    """Return the row key of a server's renewers and lease epoch."""
    return RowKey(f"server/{service_name}/{server_id}")


def page_of_unit(unit: Unit) -> tuple[bool, int]:
    """Return whether a unit is on a pin page, and the page's number."""
    if unit.kind == UnitKind.HASH_BUCKET:
        return False, unit.bucket // PAGE_UNITS
    hashed = xxh64_intdigest(unit.key.encode("utf-8", "surrogatepass"), seed=int(unit.kind))
    return True, hashed % PIN_PAGES


def hash_pages(
    service_name: ServiceName,
    hash_buckets: int,
    owner_of: Callable[[int], ServerId | None],
    stamp: WriteStamp,
) -> list[PlacementPage]:
    """Build the first hash pages of a service; its buckets have no previous holders."""
    pages = []
    for first in range(0, hash_buckets, PAGE_UNITS):
        buckets = range(first, min(first + PAGE_UNITS, hash_buckets))
        page = _new_page(service_name, False, first // PAGE_UNITS, stamp)
        page.owners = [_server_index(page, owner_of(bucket)) for bucket in buckets]
        page.epochs = [1] * len(buckets)
        page.version = 1
        pages.append(page)
    return pages


def empty_pin_page(service_name: ServiceName, page_number: int, stamp: WriteStamp) -> PlacementPage:
    """Build a pin page without units, to be passed to `add_unit`; its version is 0."""
    page = _new_page(service_name, True, page_number, stamp)
    page.units = []
    page.epoch_floor = 0
    return page


def units_on_page(page: PlacementPage) -> list[Unit]:
    """List a page's units by position."""
    if page.pins:
        return [unit_from_id(unit_id) for unit_id in page.units or []]
    first = page.page_number * PAGE_UNITS
    return [Unit.of_bucket(first + position) for position in range(len(page.owners))]


def move_units(
    page: PlacementPage, moves: Mapping[Unit, ServerId | None], stamp: WriteStamp
) -> Result[PlacementPage, OwnershipError]:
    """Give units of one page new owners; a unit that has its new owner already stays as it is."""
    changed = _next_version(page, stamp)
    positions = {unit: position for position, unit in enumerate(units_on_page(page))}
    for unit, owner in moves.items():
        position = positions.get(unit)
        if position is None:
            return Err(UnitNotOnPage(unit, page_key_of(page)))
        old = _owner_at(page, position)
        if old == owner:
            continue
        epoch = page.epochs[position]
        earlier = _holders_at(page, position)
        if old is not None:
            earlier.append(Holder(old, Epoch(epoch)))
        previous = _merge(earlier, owner)
        limit = max(MAX_PREVIOUS, len(page.previous.get(position, [])))
        if len(previous) > limit:
            return Err(TooManyPreviousHolders(unit, len(previous), limit))
        changed.owners[position] = _server_index(changed, owner)
        changed.epochs[position] = epoch + 1
        _set_previous(changed, position, previous)
    _compact_servers(changed)
    return Ok(changed)


def clear_previous(
    page: PlacementPage, proven: Mapping[Unit, Iterable[Holder]], stamp: WriteStamp
) -> PlacementPage:
    """Remove proven previous holders; entries of a higher epoch than the proof stay."""
    changed = _next_version(page, stamp)
    for position, unit in enumerate(units_on_page(page)):
        done = {holder.server_id: holder.epoch for holder in proven.get(unit, ())}
        if done:
            left = [
                holder
                for holder in _holders_at(page, position)
                if holder.epoch > done.get(holder.server_id, Epoch(-1))
            ]
            _set_previous(changed, position, left)
    return changed


def add_unit(
    page: PlacementPage,
    unit: Unit,
    owner: ServerId | None,
    below: Sequence[UnitRecord],
    stamp: WriteStamp,
) -> Result[PlacementPage, OwnershipError]:
    """Carve an exact or prefix unit out of the units below it.

    `below` is `UnitMap.records_below(unit)`. The owners of these units and their own previous
    holders become previous holders, at the new epoch - 1 and not at the epochs of the units below:
    a pin that was removed and added again would else accept the proof of its first carve-out. A
    prefix may get as many previous holders as there are servers.
    """
    if page_of_unit(unit) != (page.pins, page.page_number):
        return Err(UnitNotOnPage(unit, page_key_of(page)))
    if unit in units_on_page(page):
        return Err(UnitExists(unit))
    epoch = max([page.epoch_floor or 0, *(record.epoch for record in below)]) + 1
    servers = [holder.server_id for record in below for holder in record.previous]
    servers += [record.owner for record in below if record.owner is not None]
    earlier = [Holder(server, Epoch(epoch - 1)) for server in servers]
    previous = _merge(earlier, owner)
    if unit.kind == UnitKind.EXACT and len(previous) > MAX_PREVIOUS:
        return Err(TooManyPreviousHolders(unit, len(previous), MAX_PREVIOUS))
    changed = _next_version(page, stamp)
    changed.units.append(unit.to_id())
    changed.owners.append(_server_index(changed, owner))
    changed.epochs.append(epoch)
    _set_previous(changed, len(changed.units) - 1, previous)
    return Ok(changed)


def remove_unit(
    page: PlacementPage, unit: Unit, below: Sequence[UnitRecord], stamp: WriteStamp
) -> Result[PlacementPage, OwnershipError]:
    """Give a pin's key back to the unit below it, if that changes no owner."""
    units = units_on_page(page)
    if not page.pins or unit not in units:
        return Err(UnitNotOnPage(unit, page_key_of(page)))
    position = units.index(unit)
    owner = _owner_at(page, position)
    owners_below = tuple(dict.fromkeys(record.owner for record in below))
    pending = bool(page.previous.get(position)) or any(record.previous for record in below)
    if pending or owners_below != (owner,):
        return Err(PinNotRemovable(unit, owner, owners_below, pending))
    changed = _next_version(page, stamp)
    changed.epoch_floor = max(page.epoch_floor or 0, page.epochs[position])
    for column in (changed.units, changed.owners, changed.epochs):
        del column[position]
    changed.previous = {
        place - (place > position): holders
        for place, holders in changed.previous.items()
        if place != position
    }
    _compact_servers(changed)
    return Ok(changed)


def pages_touched_by_loss(unit_map: UnitMap, server_id: ServerId) -> dict[RowKey, list[Unit]]:
    """Group a server's units by the row that has to be written when the server is lost."""
    touched: dict[RowKey, list[Unit]] = {}
    for record in unit_map.units_of(server_id):
        key = page_key(unit_map.service_name, *page_of_unit(record.unit))
        touched.setdefault(key, []).append(record.unit)
    return touched


def page_key_of(page: PlacementPage) -> RowKey:
    """Return the row key under which a page is stored."""
    return page_key(page.service_name, page.pins, page.page_number)


def _new_page(
    service_name: ServiceName, pins: bool, page_number: int, stamp: WriteStamp
) -> PlacementPage:
    return PlacementPage(
        service_name=service_name,
        pins=pins,
        page_number=page_number,
        version=0,
        role_epoch=stamp.role_epoch,
        ticket_number=stamp.ticket_number,
        servers=[],
        owners=[],
        epochs=[],
        previous={},
    )


def _next_version(page: PlacementPage, stamp: WriteStamp) -> PlacementPage:
    changed = deepcopy(page)
    changed.version = page.version + 1
    changed.role_epoch = stamp.role_epoch
    changed.ticket_number = max(page.ticket_number, stamp.ticket_number)
    return changed


def _server_index(page: PlacementPage, owner: ServerId | None) -> int:
    if owner is None:
        return -1
    if owner not in page.servers:
        page.servers.append(owner)
    return int(page.servers.index(owner))


def _compact_servers(page: PlacementPage) -> None:
    """Drop server names that no unit uses, so that pages do not grow with every new server."""
    used = [page.servers[index] if index >= 0 else None for index in page.owners]
    page.servers = list(dict.fromkeys(server for server in used if server is not None))
    indices = {server: index for index, server in enumerate(page.servers)}
    page.owners = [-1 if server is None else indices[server] for server in used]


def _owner_at(page: PlacementPage, position: int) -> ServerId | None:
    index = page.owners[position]
    return ServerId(page.servers[index]) if index >= 0 else None


def _holders_at(page: PlacementPage, position: int) -> list[Holder]:
    return [
        Holder(ServerId(holder.server_id), Epoch(holder.epoch))
        for holder in page.previous.get(position, [])
    ]


def _merge(holders: Iterable[Holder], owner: ServerId | None) -> list[Holder]:
    """Keep each server once, at its highest epoch, and leave out the new owner.

    A proof covers an epoch and all lower ones. The new owner holds the unit again in any case.
    """
    highest: dict[ServerId, Epoch] = {}
    for holder in holders:
        highest[holder.server_id] = max(holder.epoch, highest.get(holder.server_id, Epoch(0)))
    return [Holder(server, epoch) for server, epoch in highest.items() if server != owner]


def _set_previous(page: PlacementPage, position: int, holders: list[Holder]) -> None:
    if holders:
        page.previous[position] = [PreviousHolder(h.server_id, h.epoch) for h in holders]
    else:
        page.previous.pop(position, None)
