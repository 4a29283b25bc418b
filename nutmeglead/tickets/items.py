"""Identify what a ticket touches, and tell whether two items overlap."""

from dataclasses import dataclass
from urllib.parse import quote

from nutmeglead._generated.tickets.ttypes import KeyClaim, ServerItem, Ticket

__all__ = [
    "BucketItem",
    "ExactItem",
    "ItemId",
    "PrefixItem",
    "ServerItemId",
    "TouchedItem",
    "claim_id",
    "overlaps",
    "touched_items",
]


@dataclass(frozen=True, order=True)
class ServerItemId:
    """Identify a server of a service."""

    service_name: str
    server_id: str

    def __str__(self) -> str:
        return f"{self.service_name}/server/{quote(self.server_id, safe='')}"


@dataclass(frozen=True, order=True)
class ExactItem:
    """Identify a claim of one key."""

    service_name: str
    key: str

    def __str__(self) -> str:
        return f"{self.service_name}/key/{quote(self.key, safe='')}"


@dataclass(frozen=True, order=True)
class PrefixItem:
    """Identify a claim of all keys with a prefix."""

    service_name: str
    prefix: str

    def __str__(self) -> str:
        return f"{self.service_name}/prefix/{quote(self.prefix, safe='')}"


@dataclass(frozen=True, order=True)
class BucketItem:
    """Identify a claim of a range of hash buckets; both ends are included."""

    service_name: str
    first: int
    last: int

    def __str__(self) -> str:
        return f"{self.service_name}/buckets/{self.first}-{self.last}"


ItemId = ServerItemId | ExactItem | PrefixItem | BucketItem


@dataclass(frozen=True)
class TouchedItem:
    """Hold an item of a ticket with its path and identity."""

    path: str
    item_id: ItemId
    item: ServerItem | KeyClaim


def claim_id(claim: KeyClaim) -> ExactItem | PrefixItem | BucketItem | None:
    """Return the identity of a claim, or None unless exactly one form is set."""
    forms: list[ExactItem | PrefixItem | BucketItem] = []
    if claim.key is not None:
        forms.append(ExactItem(claim.service_name, claim.key))
    if claim.prefix is not None:
        forms.append(PrefixItem(claim.service_name, claim.prefix))
    if claim.first_bucket is not None and claim.last_bucket is not None:
        forms.append(BucketItem(claim.service_name, claim.first_bucket, claim.last_bucket))
    elif claim.first_bucket is not None or claim.last_bucket is not None:
        return None
    return forms[0] if len(forms) == 1 else None


def touched_items(ticket: Ticket) -> list[TouchedItem]:
    """List the items of a ticket, servers first; malformed claims are left out."""
    touched: list[TouchedItem] = []
    for position, server in enumerate(ticket.servers or []):
        item_id = ServerItemId(server.service_name, server.server_id)
        touched.append(TouchedItem(f"servers[{position}]", item_id, server))
    for position, claim in enumerate(ticket.claims or []):
        identity = claim_id(claim)
        if identity is not None:
            touched.append(TouchedItem(f"claims[{position}]", identity, claim))
    return touched


def overlaps(one: ItemId, other: ItemId) -> bool:
    """Tell whether two items concern the same server or the same keys.

    Keys and prefixes overlap if one covers the other. Neither overlaps a range of buckets: the more
    specific claim applies whichever is filed first, so the two commute.
    """
    if one.service_name != other.service_name:
        return False
    if isinstance(one, BucketItem) and isinstance(other, BucketItem):
        return one.first <= other.last and other.first <= one.last
    if isinstance(one, PrefixItem) and isinstance(other, PrefixItem | ExactItem):
        return _covers(one, other)
    if isinstance(one, ExactItem) and isinstance(other, PrefixItem):
        return _covers(other, one)
    return one == other


def _covers(prefix: PrefixItem, other: PrefixItem | ExactItem) -> bool:
    if isinstance(other, ExactItem):
        return other.key.startswith(prefix.prefix)
    shorter, longer = sorted((prefix.prefix, other.prefix), key=len)
    return longer.startswith(shorter)
