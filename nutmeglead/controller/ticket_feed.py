"""Follow the tickets in the table service and fold them into the desired state."""

import logging

from result import Err

from nutmeglead.core.events import Event, log_event
from nutmeglead.core.ids import TicketNumber
from nutmeglead.platform.errors import TableUnavailable
from nutmeglead.platform.ports import TableStore
from nutmeglead.tickets.rows import HEAD_ROW, read_desired, read_header, read_ticket
from nutmeglead.tickets.state import DesiredState, fold

__all__ = ["TicketFeed"]

logger = logging.getLogger(__name__)


class TicketFeed:
    """Hold the state after the newest ticket that has been read."""

    def __init__(self, table: TableStore) -> None:
        self.state = DesiredState()
        self._table = table

    async def poll(self) -> bool:
        """Read new tickets; return True if the state changed.

        The first read takes the state from the item rows: reading every ticket since the first
        would take 12 s of the table service's reads for each day at 24,000 tickets a day.
        """
        head = await read_header(self._table, HEAD_ROW)
        if isinstance(head, Err):
            _log_failure(head.err_value)
            return False
        header, _ = head.ok_value
        newest = TicketNumber(header.number) if header is not None else TicketNumber(0)
        if newest <= self.state.number:
            return False
        if self.state.number == 0:
            return await self._read_all()
        return await self._read_since(newest)

    async def _read_all(self) -> bool:
        desired = await read_desired(self._table)
        if isinstance(desired, Err):
            _log_failure(desired.err_value)
            return False
        self.state = desired.ok_value
        return True

    async def _read_since(self, newest: TicketNumber) -> bool:
        tickets = []
        for number in range(self.state.number + 1, newest + 1):
            ticket = await read_ticket(self._table, TicketNumber(number))
            if isinstance(ticket, Err):
                _log_failure(ticket.err_value)
                break
            tickets.append(ticket.ok_value)
        if tickets:
            self.state = fold(tickets, self.state)
        return bool(tickets)


def _log_failure(error: Exception) -> None:
    is_outage = isinstance(error, TableUnavailable)
    event = Event.TABLE_UNAVAILABLE if is_outage else Event.TICKET_UNREADABLE
    log_event(logger, event, error=str(error))
