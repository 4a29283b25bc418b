"""Make, check and apply numbered deltas between two versions of a page."""

from collections.abc import Iterator, Sequence
from typing import NamedTuple

from result import Err, Ok, Result

from nutmeglead._generated.common.ttypes import Sender
from nutmeglead._generated.messages.ttypes import (
    PageChanges,
    PageDelta,
    PlacementPage,
    PreviousHolder,
)
from nutmeglead.core.codec import decode, encode
from nutmeglead.dissemination.errors import DeltaCorrupt, DeltaError, DeltaGap, DeltaMalformed
from nutmeglead.dissemination.pages import check_page, encode_page, page_digest

__all__ = ["apply_delta", "decode_changes", "make_delta"]

# A page has at most 256 units. The bound refuses a corrupt count before memory is taken for it.
_MAX_UNITS = 4096
_NO_PREVIOUS: list[PreviousHolder] = []


class _Slot(NamedTuple):
    """Hold one unit with its owner by name, so that slots of two pages compare."""

    unit: object
    owner: str | None
    epoch: int
    previous: list[PreviousHolder]


def _slot(page: PlacementPage, position: int) -> _Slot:
    owner = page.owners[position]
    return _Slot(
        page.units[position] if page.pins else position,
        page.servers[owner] if owner >= 0 else None,
        page.epochs[position],
        page.previous.get(position, _NO_PREVIOUS),
    )


def make_delta(
    old: PlacementPage | None, new: PlacementPage, sender: Sender, hops_left: int
) -> PageDelta:
    """Return the delta from one version of a page to another.

    Without an old page it carries the whole page, starts at version 0 and applies to any version.
    """
    changed = list(_changed_positions(old, new))
    changes = PageChanges(
        role_epoch=new.role_epoch,
        ticket_number=new.ticket_number,
        unit_count=len(new.owners),
        positions=changed,
        owners=[new.owners[position] for position in changed],
        epochs=[new.epochs[position] for position in changed],
        previous={p: new.previous[p] for p in changed if p in new.previous},
        units=[new.units[position] for position in changed] if new.pins else None,
        epoch_floor=new.epoch_floor,
        page_digest=page_digest(encode_page(new)),
        directory=new.directory,
    )
    _set_servers(changes, old.servers if old else [], new.servers)
    return PageDelta(
        sender=sender,
        service_name=new.service_name,
        role_epoch=new.role_epoch,
        pins=new.pins,
        page_number=new.page_number,
        from_version=old.version if old else 0,
        to_version=new.version,
        changes=encode(changes),
        hops_left=hops_left,
    )


def _changed_positions(old: PlacementPage | None, new: PlacementPage) -> Iterator[int]:
    common = min(len(old.owners), len(new.owners)) if old else 0
    for position in range(len(new.owners)):
        if old is None or position >= common or _slot(old, position) != _slot(new, position):
            yield position


def _set_servers(changes: PageChanges, old: Sequence[str], new: Sequence[str]) -> None:
    known = {server: index for index, server in enumerate(old)}
    changes.new_servers = [server for server in new if server not in known]
    if list(new) == [*old, *changes.new_servers]:
        return
    added = {server: -1 - index for index, server in enumerate(changes.new_servers)}
    changes.servers = [known[server] if server in known else added[server] for server in new]


def decode_changes(delta: PageDelta) -> Result[PageChanges, DeltaMalformed]:
    """Return the content of a delta if it is valid by itself."""
    if not 0 <= delta.from_version < delta.to_version:
        return Err(DeltaMalformed(f"version {delta.from_version} to {delta.to_version}"))
    decoded = decode(PageChanges, delta.changes)
    if isinstance(decoded, Err):
        return Err(DeltaMalformed(str(decoded.err_value)))
    changes = decoded.ok_value
    columns = [changes.owners, changes.epochs] + ([changes.units or []] if delta.pins else [])
    if any(len(column) != len(changes.positions) for column in columns):
        return Err(DeltaMalformed("columns of different lengths"))
    if changes.unit_count > _MAX_UNITS:
        return Err(DeltaMalformed(f"{changes.unit_count} units, at most {_MAX_UNITS} are accepted"))
    if any(not 0 <= position < changes.unit_count for position in changes.positions):
        return Err(DeltaMalformed(f"a position outside {changes.unit_count} units"))
    return Ok(changes)


def apply_delta(
    page: PlacementPage | None, delta: PageDelta
) -> Result[PlacementPage | None, DeltaError]:
    """Return the page at the delta's version, or the page itself if it is as new already.

    The given page is not changed. A delta that starts neither at the page's version nor at 0 is
    refused, whatever lies between.
    """
    decoded = decode_changes(delta)
    if isinstance(decoded, Err):
        return decoded
    known_version = page.version if page else 0
    if delta.to_version <= known_version:
        return Ok(page)
    if delta.from_version == 0:
        page = None
    elif delta.from_version != known_version:
        return Err(DeltaGap(known_version, delta.from_version, delta.to_version))
    changes = decoded.ok_value
    try:
        changed = _rebuild(page, delta, changes)
    except (IndexError, KeyError) as error:
        return Err(DeltaCorrupt(delta.to_version, f"{type(error).__name__}: {error}"))
    checked = check_page(changed)
    if isinstance(checked, Err):
        return Err(DeltaCorrupt(delta.to_version, str(checked.err_value)))
    found = page_digest(encode_page(changed))
    if found != changes.page_digest:
        reason = f"expected the page digest {changes.page_digest}, got {found}"
        return Err(DeltaCorrupt(delta.to_version, reason))
    return Ok(changed)


def _rebuild(page: PlacementPage | None, delta: PageDelta, changes: PageChanges) -> PlacementPage:
    old_servers = page.servers if page else []
    servers = _new_servers(old_servers, changes)
    changed = PlacementPage(
        service_name=delta.service_name,
        pins=delta.pins,
        page_number=delta.page_number,
        version=delta.to_version,
        role_epoch=changes.role_epoch,
        ticket_number=changes.ticket_number,
        servers=servers,
        owners=_resize(page.owners if page else [], changes.unit_count, -1),
        epochs=_resize(page.epochs if page else [], changes.unit_count, 0),
        previous={p: h for p, h in _previous(page).items() if p < changes.unit_count},
        epoch_floor=changes.epoch_floor,
        directory=changes.directory,
    )
    if delta.pins:
        changed.units = _resize((page.units if page else None) or [], changes.unit_count, None)
    changed_positions = set(changes.positions)
    if changes.servers is not None:
        index_of = {server: index for index, server in enumerate(servers)}
        for position, owner in enumerate(changed.owners):
            if owner >= 0 and position not in changed_positions:
                changed.owners[position] = index_of[old_servers[owner]]
    _set_changed(changed, changes)
    return changed


def _new_servers(old: Sequence[str], changes: PageChanges) -> list[str]:
    if changes.servers is None:
        return [*old, *changes.new_servers]
    added = changes.new_servers
    return [old[index] if index >= 0 else added[-1 - index] for index in changes.servers]


def _previous(page: PlacementPage | None) -> dict[int, list[PreviousHolder]]:
    return page.previous if page else {}


def _resize(column: Sequence[object], count: int, filler: object) -> list[object]:
    return [*column[:count], *([filler] * (count - len(column)))]


def _set_changed(page: PlacementPage, changes: PageChanges) -> None:
    for index, position in enumerate(changes.positions):
        page.owners[position] = changes.owners[index]
        page.epochs[position] = changes.epochs[index]
        if page.pins:
            page.units[position] = changes.units[index]
        holders = changes.previous.get(position)
        if holders is None:
            page.previous.pop(position, None)
        else:
            page.previous[position] = holders
