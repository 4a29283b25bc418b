"""Detect conflicts between a ticket and the tickets filed after its base.

docs/decisions/ticket-conflicts.md gives the reasons for the default, `per_item`.
"""

from collections.abc import Callable, Sequence

from nutmeglead._generated.tickets.ttypes import KeyClaim, ServerItem, ServerState, Ticket
from nutmeglead.core.registry import Registry
from nutmeglead.tickets.errors import Collision, TicketConflict
from nutmeglead.tickets.items import ServerItemId, TouchedItem, overlaps, touched_items

__all__ = ["CONFLICT_RULES", "ConflictRule", "collide", "head_only", "per_item"]

# The second argument holds all tickets after the base, in order.
ConflictRule = Callable[[Ticket, Sequence[Ticket]], TicketConflict | None]

CONFLICT_RULES: Registry[ConflictRule] = Registry("ticket conflict rules")


@CONFLICT_RULES.register("head_only")
def head_only(ticket: Ticket, later: Sequence[Ticket]) -> TicketConflict | None:
    """Refuse a ticket if any ticket was filed after its base."""
    collisions = [
        Collision(mine.path, str(mine.item_id), other.number, str(theirs.item_id))
        for mine in touched_items(ticket)[:1]
        for other in later
        for theirs in touched_items(other)[:1]
    ]
    return _conflict(ticket, later, collisions)


@CONFLICT_RULES.register("per_item")
def per_item(ticket: Ticket, later: Sequence[Ticket]) -> TicketConflict | None:
    """Refuse a ticket only if a ticket filed after its base touches an overlapping item."""
    mine = touched_items(ticket)
    collisions = [
        Collision(one.path, str(one.item_id), other.number, str(two.item_id))
        for other in later
        for two in touched_items(other)
        for one in mine
        if collide(one, two)
    ]
    return _conflict(ticket, later, collisions)


def _conflict(
    ticket: Ticket, later: Sequence[Ticket], collisions: Sequence[Collision]
) -> TicketConflict | None:
    if not collisions:
        return None
    return TicketConflict(ticket.base_number, later[-1].number, tuple(collisions))


def collide(one: TouchedItem, two: TouchedItem) -> bool:
    """Tell whether two items of different tickets exclude each other."""
    if overlaps(one.item_id, two.item_id):
        return True
    # Each ticket alone is sound, both together would claim keys for a server that takes none.
    return _ends_server_of(one, two) or _ends_server_of(two, one)


def _ends_server_of(ending: TouchedItem, claiming: TouchedItem) -> bool:
    server, claim = ending.item, claiming.item
    if not isinstance(server, ServerItem) or not isinstance(claim, KeyClaim):
        return False
    if claim.server_id is None or server.state == ServerState.PRESENT:
        return False
    return ServerItemId(claim.service_name, claim.server_id) == ending.item_id
