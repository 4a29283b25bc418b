"""File a ticket: give it the next number in one transaction, or refuse it with a typed error."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from result import Err, Ok, Result

from nutmeglead._generated.settings.ttypes import Settings
from nutmeglead._generated.tickets.ttypes import ServerItem, ServerState, Ticket
from nutmeglead.core.codec import decode, encode
from nutmeglead.core.ids import TicketNumber
from nutmeglead.platform.errors import RowConflict, TableAnswerLost, TableUnavailable
from nutmeglead.platform.ports import RowCheck, TableStore
from nutmeglead.tickets.checks import check_claimed_servers, check_known_servers, check_ticket
from nutmeglead.tickets.errors import (
    BaseAhead,
    BaseTooOld,
    CorruptRow,
    FilingIdReused,
    FilingUnknown,
    HeadContention,
    TicketAbsent,
    TicketConflict,
    TicketFaults,
)
from nutmeglead.tickets.items import ServerItemId
from nutmeglead.tickets.merge import ConflictRule, per_item
from nutmeglead.tickets.rows import (
    HEAD_ROW,
    filing_row,
    number_row,
    read_header,
    read_server,
    read_ticket,
    ticket_writes,
)

__all__ = ["Filed", "FilingError", "TicketFiling"]

# Each lost race means that another ticket was accepted. At 24,000 tickets a day, 0.28/s, eight lost
# races in a row are not contention but a fault.
MAX_ATTEMPTS = 8
# Comparing reads one row per ticket after the base. 1,024 are 61 minutes at 24,000 tickets a day
# and half a second of the table service's 2,000 reads/s.
MAX_TICKETS_AFTER_BASE = 1024

FilingError = (
    TicketFaults
    | TicketConflict
    | FilingIdReused
    | FilingUnknown
    | HeadContention
    | BaseAhead
    | BaseTooOld
    | CorruptRow
    | TicketAbsent
    | TableUnavailable
)


@dataclass(frozen=True)
class Filed:
    """Report the number of an accepted ticket and whether an earlier filing had got it."""

    number: TicketNumber
    repeated: bool


@dataclass(frozen=True)
class _Head:
    number: int
    version: int


@dataclass(frozen=True)
class _Moved:
    """Ask for another attempt: the head moved, or the answer to the commit was lost."""

    head_number: int
    lost: TableAnswerLost | None


# Errors that an attempt after a lost answer meets only if another ticket was accepted in between.
_PROVES_MOVED = (TicketConflict, TicketFaults, BaseTooOld)


class TicketFiling:
    """File tickets through the table service."""

    def __init__(
        self,
        store: TableStore,
        settings: Settings,
        pause: Callable[[int], Awaitable[None]],
        rule: ConflictRule = per_item,
    ) -> None:
        """Take the wait before a repeated attempt as `pause(attempt)`."""
        self._store = store
        self._settings = settings
        self._pause = pause
        self._rule = rule
        self._seen: dict[int, Ticket] = {}

    async def file(self, ticket: Ticket) -> Result[Filed, FilingError]:
        """File a ticket; filing it again with the same id reports the same number."""
        faults = check_ticket(ticket, self._settings)
        if faults:
            return Err(TicketFaults(ticket.filing_id, faults))
        lost: TableAnswerLost | None = None
        moved = _Moved(0, None)
        for attempt in range(MAX_ATTEMPTS):
            if attempt:
                await self._pause(attempt)
            outcome = await self._attempt(ticket, attempt)
            if isinstance(outcome, _Moved):
                moved = outcome
                lost = outcome.lost or lost
            elif isinstance(outcome, Ok) or lost is None:
                return outcome
            else:
                return await self._settle(ticket, outcome.err_value, lost)
        # A row conflict in the last attempt proves that an earlier lost commit is past its head.
        return await self._settle(
            ticket, HeadContention(attempt + 1, moved.head_number), moved.lost
        )

    async def examine(self, ticket: Ticket) -> Result[TicketNumber, FilingError]:
        """Return the head that the ticket could follow now, or why it could not; write nothing.

        A ticket that is filed already gives the head before it.
        """
        faults = check_ticket(ticket, self._settings)
        if faults:
            return Err(TicketFaults(ticket.filing_id, faults))
        earlier = await self._find_earlier(ticket)
        if isinstance(earlier, Err):
            return earlier
        if earlier.ok_value is not None:
            return Ok(TicketNumber(earlier.ok_value - 1))
        prepared = await self._prepare(ticket)
        if isinstance(prepared, Err):
            return prepared
        number = prepared.head_number if isinstance(prepared, _Moved) else prepared.ok_value.number
        return Ok(TicketNumber(number))

    async def _attempt(self, ticket: Ticket, attempt: int) -> "Result[Filed, FilingError] | _Moved":
        earlier = await self._find_earlier(ticket)
        if isinstance(earlier, Err):
            return earlier
        if earlier.ok_value is not None:
            return Ok(Filed(earlier.ok_value, repeated=attempt == 0))
        prepared = await self._prepare(ticket)
        if isinstance(prepared, Err | _Moved):
            return prepared
        return await self._commit(ticket, prepared.ok_value)

    async def _find_earlier(self, ticket: Ticket) -> Result[TicketNumber | None, FilingError]:
        """Return the number that an earlier commit with the same id got."""
        read = await read_header(self._store, filing_row(ticket.filing_id))
        if isinstance(read, Err):
            return read
        header, _ = read.ok_value
        if header is None:
            return Ok(None)
        filed = await read_ticket(self._store, header.number)
        if isinstance(filed, Err):
            return filed
        if _content(filed.ok_value) != _content(ticket):
            return Err(FilingIdReused(ticket.filing_id, header.number))
        return Ok(TicketNumber(header.number))

    async def _prepare(self, ticket: Ticket) -> "Result[_Head, FilingError] | _Moved":
        """Return the head that the ticket may follow, or why it may not."""
        read = await read_header(self._store, HEAD_ROW)
        if isinstance(read, Err):
            return read
        header, version = read.ok_value
        head = _Head(header.number if header else 0, version)
        if ticket.base_number > head.number:
            return Err(BaseAhead(ticket.base_number, head.number))
        if head.number - ticket.base_number > MAX_TICKETS_AFTER_BASE:
            return Err(BaseTooOld(ticket.base_number, head.number, MAX_TICKETS_AFTER_BASE))
        later = await self._read_later(ticket.base_number, head.number)
        if isinstance(later, Err):
            return later
        if any(other.filing_id == ticket.filing_id for other in later.ok_value):
            # A second run of the operator's program filed it after this attempt looked.
            return _Moved(head.number, None)
        conflict = self._rule(ticket, later.ok_value)
        if conflict is not None:
            return Err(conflict)
        faults = await self._check_servers(ticket)
        return faults if isinstance(faults, Err) else Ok(head)

    async def _read_later(
        self, base_number: int, head_number: int
    ) -> Result[list[Ticket], FilingError]:
        """Return the tickets after the base; a further attempt reads only the new ones."""
        for number in range(base_number + 1, head_number + 1):
            if number in self._seen:
                continue
            read = await read_ticket(self._store, number)
            if isinstance(read, Err):
                return read
            self._seen[number] = read.ok_value
        return Ok([self._seen[number] for number in range(base_number + 1, head_number + 1)])

    async def _check_servers(self, ticket: Ticket) -> Result[None, FilingError]:
        """Refuse what does not fit the servers at the head."""
        named = [*(ticket.servers or []), *(ticket.claims or [])]
        known: dict[ServerItemId, ServerItem] = {}
        for item in named:
            if item.server_id is None:
                continue
            item_id = ServerItemId(item.service_name, item.server_id)
            read = await read_server(self._store, item_id)
            if isinstance(read, Err):
                return read
            if read.ok_value is not None:
                known[item_id] = read.ok_value
        states = {item_id: ServerState(server.state) for item_id, server in known.items()}
        faults = check_known_servers(ticket, known) + check_claimed_servers(ticket, states)
        return Err(TicketFaults(ticket.filing_id, faults)) if faults else Ok(None)

    async def _commit(self, ticket: Ticket, head: _Head) -> "Result[Filed, FilingError] | _Moved":
        """Write all rows of the ticket in one transaction.

        The check of the head row orders all tickets, so what was read before holds at the commit.
        The check of the number row keeps a ticket from being overwritten if the head row is lost,
        that of the filing row keeps one id from getting two numbers.
        """
        numbered = _content(ticket)
        numbered.number = head.number + 1
        checks = [
            RowCheck(HEAD_ROW, head.version),
            RowCheck(number_row(numbered.number), 0),
            RowCheck(filing_row(ticket.filing_id), 0),
        ]
        committed = await self._store.commit(checks, ticket_writes(numbered))
        if isinstance(committed, Ok):
            return Ok(Filed(TicketNumber(numbered.number), repeated=False))
        error = committed.err_value
        if isinstance(error, RowConflict):
            return _Moved(head.number, None)
        if isinstance(error, TableAnswerLost):
            return _Moved(head.number, error)
        return Err(error)

    async def _settle(
        self, ticket: Ticket, error: FilingError, lost: TableAnswerLost | None
    ) -> Result[Filed, FilingError]:
        """Return the error only if no earlier commit was applied or can still be applied.

        A commit without an answer may be applied late. It can no longer be applied once the head
        has moved, which `_PROVES_MOVED` errors show; its filing row then tells whether it was.
        """
        earlier = await self._find_earlier(ticket)
        if isinstance(earlier, Ok) and earlier.ok_value is not None:
            return Ok(Filed(earlier.ok_value, repeated=False))
        if isinstance(earlier, Err) and isinstance(earlier.err_value, FilingIdReused):
            return earlier
        if isinstance(earlier, Ok) and (lost is None or isinstance(error, _PROVES_MOVED)):
            return Err(error)
        return Err(FilingUnknown(ticket.filing_id, f"{lost or error}"))


def _content(ticket: Ticket) -> Ticket:
    """Return a copy without the number, as it is after decoding."""
    copied = decode(Ticket, encode(ticket)).unwrap()
    copied.number = None
    return copied
