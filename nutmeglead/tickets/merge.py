"""Detect conflicts between a ticket and the tickets filed after its base.

docs/decisions/ticket-conflicts.md gives the reasons for the default, `per_item`.
"""

from collections.abc import Callable, Sequence

from nutmeglead._generated.tickets.ttypes import KeyClaim, ServerItem, ServerState, Ticket
from nutmeglead.core.registry import Registry
from nutmeglead.tickets.errors import Collision, TicketConflict
from nutmeglead.tickets.items import ServerItemId, TouchedItem, overlaps, touched_items

__all__ = ["CONFLICT_RULES", "ConflictRule", "collide", "head_only", "per_item"]

# Takes a ticket and all tickets filed after its base, in order. Returns the conflict, if any.
ConflictRule = Callable[[Ticket, Sequence[Ticket]], TicketConflict | None]

CONFLICT_RULES: Registry[ConflictRule] = Registry("ticket conflict rules")


@CONFLICT_RULES.register("head_only")
def head_only(ticket: Ticket, later_tickets: Sequence[Ticket]) -> TicketConflict | None:
    """Return a conflict if any ticket was filed after the base.

    Each collision names only the first item of this ticket and of the later one.
    """
    collisions = [
        Collision(own_item.path, str(own_item.item_id), later.number, str(later_item.item_id))
        for own_item in touched_items(ticket)[:1]
        for later in later_tickets
        for later_item in touched_items(later)[:1]
    ]
    return _build_conflict(ticket, later_tickets, collisions)


@CONFLICT_RULES.register("per_item")
def per_item(ticket: Ticket, later_tickets: Sequence[Ticket]) -> TicketConflict | None:
    """Return a conflict only if an item of this ticket collides with one of a later ticket."""
    own_items = touched_items(ticket)
    collisions = [
        Collision(own_item.path, str(own_item.item_id), later.number, str(later_item.item_id))
        for later in later_tickets
        for later_item in touched_items(later)
        for own_item in own_items
        if collide(own_item, later_item)
    ]
    return _build_conflict(ticket, later_tickets, collisions)


def _build_conflict(
    ticket: Ticket, later_tickets: Sequence[Ticket], collisions: Sequence[Collision]
) -> TicketConflict | None:
    if not collisions:
        return None
    return TicketConflict(ticket.base_number, later_tickets[-1].number, tuple(collisions))


def collide(one: TouchedItem, other: TouchedItem) -> bool:
    """Return whether two items of different tickets exclude each other."""
    if overlaps(one.item_id, other.item_id):
        return True
    # Each ticket is valid by itself, but together they would claim keys for a server that is
    # leaving or removed and gets none.
    return _withdraws_claimed_server(one, other) or _withdraws_claimed_server(other, one)


def _withdraws_claimed_server(withdrawal: TouchedItem, claiming: TouchedItem) -> bool:
    """Return whether the first item withdraws the server for which the second one claims keys.

    An item withdraws a server by making it leaving or removed.
    """
    server, claim = withdrawal.item, claiming.item
    if not isinstance(server, ServerItem) or not isinstance(claim, KeyClaim):
        return False
    if claim.server_id is None or server.state == ServerState.PRESENT:
        return False
    return ServerItemId(claim.service_name, claim.server_id) == withdrawal.item_id
