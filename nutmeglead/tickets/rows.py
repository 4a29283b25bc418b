"""Build the keys of the tickets table's rows, encode tickets for them, and read them back."""

from collections.abc import Sequence
from typing import Any
from urllib.parse import quote

from result import Err, Ok, Result

from nutmeglead._generated.tickets.ttypes import ServerItem, Ticket
from nutmeglead.core.codec import decode, encode
from nutmeglead.core.ids import RowKey, TicketNumber
from nutmeglead.platform.errors import TableUnavailable
from nutmeglead.platform.ports import Row, RowWrite, TableStore
from nutmeglead.tickets.errors import CorruptRow, TicketAbsent
from nutmeglead.tickets.items import ItemId, ServerItemId, touched_items
from nutmeglead.tickets.state import DesiredState, apply_tickets

__all__ = [
    "HEAD_ROW",
    "ITEM_PREFIX",
    "NUMBER_PREFIX",
    "TICKETS_TABLE",
    "ReadError",
    "filing_row",
    "item_row",
    "number_row",
    "read_desired",
    "read_ticket_row",
    "read_server",
    "read_tickets_after",
    "read_ticket",
    "ticket_writes",
]

TICKETS_TABLE = "tickets"
HEAD_ROW = RowKey("head")
ITEM_PREFIX = "item/"
NUMBER_PREFIX = "number/"

# Zero-padding makes the table's key order equal to the order of filing. Ten digits suffice for
# 1,140 years at 24,000 tickets a day.
_NUMBER_DIGITS = 10

ReadError = TableUnavailable | CorruptRow


def number_row(number: int) -> RowKey:
    """Return the key of the row that holds a whole ticket."""
    return RowKey(f"{NUMBER_PREFIX}{number:0{_NUMBER_DIGITS}}")


def filing_row(filing_id: str) -> RowKey:
    """Return the key of the row that holds the header of the ticket filed under an id."""
    return RowKey(f"filing/{quote(filing_id, safe='')}")


def item_row(item_id: ItemId) -> RowKey:
    """Return the key of the row that holds an item as the last ticket that touched it gives it."""
    return RowKey(f"{ITEM_PREFIX}{item_id}")


def ticket_writes(ticket: Ticket) -> list[RowWrite]:
    """Return the writes of all rows of a numbered ticket: number, head, filing id, one per item.

    The head and filing rows hold the ticket without its items. An item row holds the ticket with
    only that item, so that the desired state can be read from the item rows alone.
    """
    header = encode(_ticket_with_items(ticket, [], []))
    writes = [
        RowWrite(number_row(ticket.number), encode(ticket)),
        RowWrite(HEAD_ROW, header),
        RowWrite(filing_row(ticket.filing_id), header),
    ]
    for touched in touched_items(ticket):
        is_server = isinstance(touched.item, ServerItem)
        servers, claims = ([touched.item], []) if is_server else ([], [touched.item])
        part = _ticket_with_items(ticket, servers, claims)
        writes.append(RowWrite(item_row(touched.item_id), encode(part)))
    return writes


def _ticket_with_items(ticket: Ticket, servers: list[Any], claims: list[Any]) -> Ticket:
    """Return the ticket with only the given items and without its reason."""
    return Ticket(
        filing_id=ticket.filing_id,
        base_number=ticket.base_number,
        filed_by=ticket.filed_by,
        servers=servers,
        claims=claims,
        number=ticket.number,
    )


async def read_ticket_row(
    store: TableStore, key: RowKey
) -> Result[tuple[Ticket | None, int], ReadError]:
    """Return the ticket in a row and the row's version, or None and 0 if the row is absent.

    The ticket has all its items in a number row, one in an item row and none in other rows.
    """
    row = await store.read(key)
    if isinstance(row, Err):
        return row
    if row.ok_value is None:
        return Ok((None, 0))
    ticket = _decode_row(row.ok_value)
    if isinstance(ticket, Err):
        return ticket
    return Ok((ticket.ok_value, row.ok_value.version))


async def read_ticket(store: TableStore, number: int) -> Result[Ticket, ReadError | TicketAbsent]:
    """Return the ticket with a number and all its items, or TicketAbsent."""
    read = await read_ticket_row(store, number_row(number))
    if isinstance(read, Err):
        return read
    ticket, _ = read.ok_value
    return Err(TicketAbsent(number)) if ticket is None else Ok(ticket)


async def read_tickets_after(
    store: TableStore, base_number: int, head_number: int
) -> Result[list[Ticket], ReadError | TicketAbsent]:
    """Return the tickets after the base up to the head, in order."""
    tickets: list[Ticket] = []
    for number in range(base_number + 1, head_number + 1):
        read = await read_ticket(store, number)
        if isinstance(read, Err):
            return read
        tickets.append(read.ok_value)
    return Ok(tickets)


async def read_server(
    store: TableStore, item_id: ServerItemId
) -> Result[ServerItem | None, ReadError]:
    """Return the server as the last ticket that touched it gives it, or None if no ticket did."""
    key = item_row(item_id)
    read = await read_ticket_row(store, key)
    if isinstance(read, Err):
        return read
    part, _ = read.ok_value
    if part is None:
        return Ok(None)
    if not part.servers:
        return Err(CorruptRow(key, "expected one server, got none"))
    return Ok(part.servers[0])


async def read_desired(store: TableStore) -> Result[DesiredState, ReadError]:
    """Return the desired state at the head from one snapshot of the item rows.

    Every ticket touches at least one item, so that the highest number among the item rows is the
    head's.
    """
    rows = await store.scan(ITEM_PREFIX)
    if isinstance(rows, Err):
        return rows
    parts = _decode_rows(rows.ok_value)
    return parts if isinstance(parts, Err) else Ok(apply_tickets(parts.ok_value))


def _decode_rows(rows: Sequence[Row]) -> Result[list[Ticket], CorruptRow]:
    tickets: list[Ticket] = []
    for row in rows:
        ticket = _decode_row(row)
        if isinstance(ticket, Err):
            return ticket
        tickets.append(ticket.ok_value)
    return Ok(tickets)


def _decode_row(row: Row) -> Result[Ticket, CorruptRow]:
    """Return the ticket in a row, or CorruptRow if it does not decode or has no valid number."""
    decoded = decode(Ticket, row.value)
    if isinstance(decoded, Err):
        return Err(CorruptRow(row.key, str(decoded.err_value)))
    ticket = decoded.ok_value
    if ticket.number is None or TicketNumber(ticket.number) < 1:
        return Err(CorruptRow(row.key, f"expected a ticket number from 1, got {ticket.number}"))
    return Ok(ticket)
