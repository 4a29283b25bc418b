"""Identify the servers and key ranges that a ticket touches, and tell whether two overlap."""

from dataclasses import dataclass
from urllib.parse import quote

from nutmeglead._generated.tickets.ttypes import KeyClaim, ServerItem, Ticket
from nutmeglead.tickets.keys import key_number

__all__ = [
    "ItemId",
    "KeyRangeItemId",
    "ServerItemId",
    "TouchedItem",
    "claim_item_id",
    "overlaps",
    "touched_items",
]


@dataclass(frozen=True, order=True)
class ServerItemId:
    """Identify a server by its service and its id."""

    service_name: str
    server_id: str

    def __str__(self) -> str:
        return f"{self.service_name}/server/{quote(self.server_id, safe='')}"


@dataclass(frozen=True, order=True)
class KeyRangeItemId:
    """Identify a claim by its service and its key numbers `first` to `last`, both included."""

    service_name: str
    first: int
    last: int

    def __str__(self) -> str:
        return f"{self.service_name}/keys/{self.first}-{self.last}"


# The text of an item id is part of the key of the item's row.
ItemId = ServerItemId | KeyRangeItemId


@dataclass(frozen=True)
class TouchedItem:
    """Hold a server or claim of a ticket with its path in the ticket, such as `claims[0]`."""

    path: str
    item_id: ItemId
    item: ServerItem | KeyClaim


def claim_item_id(claim: KeyClaim) -> KeyRangeItemId | None:
    """Return the id of a claim: the range it names, or the number of its key as first and last.

    Return None for a malformed claim, which sets neither or both forms or half a range.
    """
    has_numbers = claim.first_number is not None and claim.last_number is not None
    has_any_number = claim.first_number is not None or claim.last_number is not None
    if claim.key is not None:
        number = key_number(claim.key)
        return None if has_any_number else KeyRangeItemId(claim.service_name, number, number)
    if has_numbers:
        return KeyRangeItemId(claim.service_name, claim.first_number, claim.last_number)
    return None


def touched_items(ticket: Ticket) -> list[TouchedItem]:
    """Return the items of a ticket, servers first; malformed claims are left out."""
    touched: list[TouchedItem] = []
    for position, server in enumerate(ticket.servers or []):
        item_id = ServerItemId(server.service_name, server.server_id)
        touched.append(TouchedItem(f"servers[{position}]", item_id, server))
    for position, claim in enumerate(ticket.claims or []):
        identity = claim_item_id(claim)
        if identity is not None:
            touched.append(TouchedItem(f"claims[{position}]", identity, claim))
    return touched


def overlaps(one: ItemId, other: ItemId) -> bool:
    """Return whether two items concern the same server or the same keys."""
    if one.service_name != other.service_name:
        return False
    if isinstance(one, KeyRangeItemId) and isinstance(other, KeyRangeItemId):
        return one.first <= other.last and other.first <= one.last
    return one == other
