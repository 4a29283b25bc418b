"""File a ticket: write it under the next number in one transaction, or return a typed error."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from result import Err, Ok, Result

from nutmeglead._generated.settings.ttypes import Settings
from nutmeglead._generated.tickets.ttypes import ServerItem, ServerState, Ticket
from nutmeglead.core.codec import decode, encode
from nutmeglead.core.ids import TicketNumber
from nutmeglead.platform.errors import RowConflict, TableAnswerLost, TableUnavailable
from nutmeglead.platform.ports import RowCheck, TableStore
from nutmeglead.tickets.checks import check_claimed_servers, check_server_changes, check_ticket
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
    read_server,
    read_ticket,
    read_ticket_row,
    ticket_writes,
)

__all__ = ["AcceptedTicket", "FilingError", "TicketFiling"]

# An attempt fails on a row conflict when another ticket was accepted since it read the head. At
# 24,000 tickets a day (0.28/s), eight such failures in a row indicate a fault, not contention.
MAX_ATTEMPTS = 8
# The conflict check reads one row for each ticket after the base. 1,024 tickets are filed in 61
# minutes at 24,000 tickets a day, and reading them takes half a second of the table service's
# 2,000 reads/s.
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
class AcceptedTicket:
    """Hold the number of an accepted ticket.

    `repeated` tells that an earlier call with the same filing id had already filed the ticket.
    """

    number: TicketNumber
    repeated: bool


@dataclass(frozen=True)
class _HeadRow:
    """Hold the number of the last accepted ticket and the version of the head row; 0 if absent."""

    number: int
    version: int


@dataclass(frozen=True)
class _RetryNeeded:
    """Request another attempt after a row conflict, a lost answer or a filing by another run.

    `head_number` is the head that the attempt read. `lost_answer` is set only if the answer to the
    commit was lost, so that the commit may have been applied.
    """

    head_number: int
    lost_answer: TableAnswerLost | None


# An attempt that follows a lost answer gets these errors only if another ticket was accepted since
# the commit without an answer read the head.
_HEAD_ADVANCED_ERRORS = (TicketConflict, TicketFaults, BaseTooOld)


class TicketFiling:
    """File tickets in a table of the store."""

    def __init__(
        self,
        store: TableStore,
        settings: Settings,
        wait_before_retry: Callable[[int], Awaitable[None]],
        find_conflict: ConflictRule = per_item,
    ) -> None:
        """Use `wait_before_retry(attempt)` as the delay before each attempt after the first."""
        self._store = store
        self._settings = settings
        self._wait_before_retry = wait_before_retry
        self._find_conflict = find_conflict
        self._tickets_read: dict[int, Ticket] = {}

    async def file(self, ticket: Ticket) -> Result[AcceptedTicket, FilingError]:
        """Write a ticket under the next number and return that number.

        Filing the same ticket again with its filing id returns the number that it already has.
        """
        faults = check_ticket(ticket, self._settings)
        if faults:
            return Err(TicketFaults(ticket.filing_id, faults))
        # A store that has returned from an older copy may have other tickets under their numbers.
        self._tickets_read.clear()
        lost_answer: TableAnswerLost | None = None
        last_retry = _RetryNeeded(0, None)
        for attempt in range(MAX_ATTEMPTS):
            if attempt:
                await self._wait_before_retry(attempt)
            outcome = await self._attempt(ticket, attempt)
            if isinstance(outcome, _RetryNeeded):
                last_retry = outcome
                lost_answer = outcome.lost_answer or lost_answer
            elif isinstance(outcome, Ok) or lost_answer is None:
                return outcome
            else:
                return await self._resolve_failure(ticket, outcome.err_value, lost_answer)
        # A row conflict in the last attempt proves that an earlier commit without an answer can no
        # longer be applied, because the head has moved past the one that it read.
        return await self._resolve_failure(
            ticket, HeadContention(attempt + 1, last_retry.head_number), last_retry.lost_answer
        )

    async def examine(self, ticket: Ticket) -> Result[TicketNumber, FilingError]:
        """Return the head that the ticket could follow now, or the error of filing it now.

        Nothing is written. For a ticket that is already filed, return the number before its own.
        """
        faults = check_ticket(ticket, self._settings)
        if faults:
            return Err(TicketFaults(ticket.filing_id, faults))
        earlier_number = await self._find_earlier_filing(ticket)
        if isinstance(earlier_number, Err):
            return earlier_number
        if earlier_number.ok_value is not None:
            return Ok(TicketNumber(earlier_number.ok_value - 1))
        checked_head = await self._check_against_head(ticket)
        if isinstance(checked_head, Err):
            return checked_head
        number = (
            checked_head.head_number
            if isinstance(checked_head, _RetryNeeded)
            else checked_head.ok_value.number
        )
        return Ok(TicketNumber(number))

    async def _attempt(
        self, ticket: Ticket, attempt: int
    ) -> "Result[AcceptedTicket, FilingError] | _RetryNeeded":
        """Check the ticket against the head and commit it once."""
        earlier_number = await self._find_earlier_filing(ticket)
        if isinstance(earlier_number, Err):
            return earlier_number
        if earlier_number.ok_value is not None:
            return Ok(AcceptedTicket(earlier_number.ok_value, repeated=attempt == 0))
        checked_head = await self._check_against_head(ticket)
        if isinstance(checked_head, Err | _RetryNeeded):
            return checked_head
        return await self._commit(ticket, checked_head.ok_value)

    async def _find_earlier_filing(
        self, ticket: Ticket
    ) -> Result[TicketNumber | None, FilingError]:
        """Return the number under which the same ticket is already filed, or None.

        If the filing id belongs to a ticket with other content, return FilingIdReused.
        """
        read = await read_ticket_row(self._store, filing_row(ticket.filing_id))
        if isinstance(read, Err):
            return read
        header, _ = read.ok_value
        if header is None:
            return Ok(None)
        earlier_ticket = await read_ticket(self._store, header.number)
        if isinstance(earlier_ticket, Err):
            return earlier_ticket
        if _without_number(earlier_ticket.ok_value) != _without_number(ticket):
            return Err(FilingIdReused(ticket.filing_id, header.number))
        return Ok(TicketNumber(header.number))

    async def _check_against_head(
        self, ticket: Ticket
    ) -> "Result[_HeadRow, FilingError] | _RetryNeeded":
        """Return the head that the ticket may follow, or the error that excludes it.

        Return `_RetryNeeded` if the ticket itself was filed since the attempt began.
        """
        read = await read_ticket_row(self._store, HEAD_ROW)
        if isinstance(read, Err):
            return read
        header, version = read.ok_value
        head = _HeadRow(header.number if header else 0, version)
        if ticket.base_number > head.number:
            return Err(BaseAhead(ticket.base_number, head.number))
        if head.number - ticket.base_number > MAX_TICKETS_AFTER_BASE:
            return Err(BaseTooOld(ticket.base_number, head.number, MAX_TICKETS_AFTER_BASE))
        later_tickets = await self._read_tickets_after(ticket.base_number, head.number)
        if isinstance(later_tickets, Err):
            return later_tickets
        if any(other.filing_id == ticket.filing_id for other in later_tickets.ok_value):
            # A second run of the operator's program filed the ticket after this attempt read the
            # filing row. The next attempt finds it there.
            return _RetryNeeded(head.number, None)
        conflict = self._find_conflict(ticket, later_tickets.ok_value)
        if conflict is not None:
            return Err(conflict)
        faults = await self._check_servers_at_head(ticket)
        return faults if isinstance(faults, Err) else Ok(head)

    async def _read_tickets_after(
        self, base_number: int, head_number: int
    ) -> Result[list[Ticket], FilingError]:
        """Return the tickets after the base up to the head, in order.

        A repeated attempt reads only the tickets that were filed since the attempt before it.
        """
        for number in range(base_number + 1, head_number + 1):
            if number in self._tickets_read:
                continue
            read = await read_ticket(self._store, number)
            if isinstance(read, Err):
                return read
            self._tickets_read[number] = read.ok_value
        return Ok(
            [self._tickets_read[number] for number in range(base_number + 1, head_number + 1)]
        )

    async def _check_servers_at_head(self, ticket: Ticket) -> Result[None, FilingError]:
        """Return TicketFaults if a server or claim does not fit the servers at the head."""
        named_items = [*(ticket.servers or []), *(ticket.claims or [])]
        known_servers: dict[ServerItemId, ServerItem] = {}
        for item in named_items:
            if item.server_id is None:
                continue
            item_id = ServerItemId(item.service_name, item.server_id)
            read = await read_server(self._store, item_id)
            if isinstance(read, Err):
                return read
            if read.ok_value is not None:
                known_servers[item_id] = read.ok_value
        states = {item_id: ServerState(server.state) for item_id, server in known_servers.items()}
        faults = check_server_changes(ticket, known_servers) + check_claimed_servers(ticket, states)
        return Err(TicketFaults(ticket.filing_id, faults)) if faults else Ok(None)

    async def _commit(
        self, ticket: Ticket, head: _HeadRow
    ) -> "Result[AcceptedTicket, FilingError] | _RetryNeeded":
        """Write all rows of the ticket in one transaction.

        The check of the head row's version serialises all tickets: the commit fails if another
        ticket was accepted since the head was read, so that the checks made before still hold.
        The check of the number row prevents overwriting a ticket if the head row is lost. The
        check of the filing row prevents filing one id under two numbers.
        """
        numbered_ticket = _without_number(ticket)
        numbered_ticket.number = head.number + 1
        checks = [
            RowCheck(HEAD_ROW, head.version),
            RowCheck(number_row(numbered_ticket.number), 0),
            RowCheck(filing_row(ticket.filing_id), 0),
        ]
        committed = await self._store.commit(checks, ticket_writes(numbered_ticket))
        if isinstance(committed, Ok):
            return Ok(AcceptedTicket(TicketNumber(numbered_ticket.number), repeated=False))
        error = committed.err_value
        if isinstance(error, RowConflict):
            return _RetryNeeded(head.number, None)
        if isinstance(error, TableAnswerLost):
            return _RetryNeeded(head.number, error)
        return Err(error)

    async def _resolve_failure(
        self, ticket: Ticket, error: FilingError, lost_answer: TableAnswerLost | None
    ) -> Result[AcceptedTicket, FilingError]:
        """Return the result of filing after an attempt ended with an error.

        The error itself is returned only if no earlier commit was applied or can still be applied;
        otherwise the accepted ticket, FilingIdReused or FilingUnknown. A commit without an answer
        may be applied late. It can no longer be applied once the head has moved, which
        `_HEAD_ADVANCED_ERRORS` show; its filing row then tells whether it was applied.
        """
        earlier_number = await self._find_earlier_filing(ticket)
        if isinstance(earlier_number, Ok) and earlier_number.ok_value is not None:
            return Ok(AcceptedTicket(earlier_number.ok_value, repeated=False))
        if isinstance(earlier_number, Err) and isinstance(earlier_number.err_value, FilingIdReused):
            return earlier_number
        if isinstance(earlier_number, Ok) and (
            lost_answer is None or isinstance(error, _HEAD_ADVANCED_ERRORS)
        ):
            return Err(error)
        return Err(FilingUnknown(ticket.filing_id, f"{lost_answer or error}"))


def _without_number(ticket: Ticket) -> Ticket:
    """Return a copy without the number, encoded and decoded so that it equals a stored ticket."""
    copy = decode(Ticket, encode(ticket)).unwrap()
    copy.number = None
    return copy
