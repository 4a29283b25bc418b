"""Follow the tickets in the table service and fold them into the desired state."""

import logging

from result import Err

from nutmeglead.core.events import Event, log_event
from nutmeglead.core.ids import TicketNumber
from nutmeglead.platform.ports import TableStore
from nutmeglead.tickets.rows import HEAD_ROW, read_header, read_ticket
from nutmeglead.tickets.state import DesiredState, fold

__all__ = ["TicketFeed"]

logger = logging.getLogger(__name__)


class TicketFeed:
    """Hold the state after the newest ticket that has been read."""

    def __init__(self, table: TableStore) -> None:
        self.state = DesiredState()
        self._table = table

    async def poll(self) -> bool:
        """Read new tickets in order; return True if the state changed."""
        head = await read_header(self._table, HEAD_ROW)
        if isinstance(head, Err):
            log_event(logger, Event.TABLE_UNAVAILABLE, error=str(head.err_value))
            return False
        header, _ = head.ok_value
        newest = header.number if header is not None else 0
        tickets = []
        for number in range(self.state.number + 1, newest + 1):
            ticket = await read_ticket(self._table, TicketNumber(number))
            if isinstance(ticket, Err):
                log_event(logger, Event.TABLE_UNAVAILABLE, error=str(ticket.err_value))
                break
            tickets.append(ticket.ok_value)
        if not tickets:
            return False
        self.state = fold(tickets, self.state)
        return True
