"""Find the tickets that an operator has to file again after the store has lost them."""

from collections.abc import Iterable

from nutmeglead._generated.tickets.ttypes import Ticket
from nutmeglead.core.codec import decode
from nutmeglead.emulator.rows import RowStore
from nutmeglead.tickets.rows import HEAD_ROW, TICKETS_TABLE, filing_row

__all__ = ["head_number", "lost_tickets"]


def head_number(rows: RowStore) -> int:
    """Return the number of the newest ticket in the store, or 0 if there is none."""
    head = rows.get(TICKETS_TABLE, HEAD_ROW)
    return 0 if head is None else int(decode(Ticket, head.value or b"").unwrap().number)


def lost_tickets(rows: RowStore, filed: Iterable[Ticket]) -> list[Ticket]:
    """Return the filed tickets that the store does not have, in their order."""
    return [
        ticket for ticket in filed if rows.get(TICKETS_TABLE, filing_row(ticket.filing_id)) is None
    ]
