"""Implement the commands of nutmeglead-ticket on interfaces to the store and the entry VMs."""

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Protocol

from result import Err, Ok, Result

from nutmeglead._generated.peers.ttypes import NodeRow, TicketStatus
from nutmeglead._generated.settings.ttypes import Settings
from nutmeglead._generated.tickets.ttypes import Ticket
from nutmeglead.core.clock import Clock
from nutmeglead.core.errors import NutmegleadError
from nutmeglead.core.ids import NodeId, TicketNumber
from nutmeglead.platform.ports import TableStore
from nutmeglead.programs.exit_codes import ExitCode
from nutmeglead.programs.output import Output
from nutmeglead.settings.errors import FileUnreadable, describe_count
from nutmeglead.settings.loader import read_text
from nutmeglead.settings.structs import plain_struct
from nutmeglead.tickets.checks import load_ticket
from nutmeglead.tickets.errors import TicketFaults
from nutmeglead.tickets.filing import TicketFiling
from nutmeglead.tickets.rows import HEAD_ROW, read_ticket, read_ticket_row

__all__ = ["Nodes", "TicketContext", "check", "file", "list_tickets", "show", "watch"]

# A ticket is in force within 3 s; this interval is short enough to see each step of it.
WATCH_INTERVAL_MS = 250


class Nodes(Protocol):
    """List the entry VMs and query them for their ticket."""

    async def list(self) -> Result[dict[NodeId, NodeRow], NutmegleadError]:
        """Return the rows of all entry VMs in the store by node id."""
        ...

    async def status(self, row: NodeRow) -> Result[TicketStatus, NutmegleadError]:
        """Return the number of the ticket that an entry VM follows, and what is still missing."""
        ...


@dataclass(frozen=True)
class TicketContext:
    """Hold the settings, the access to store and entry VMs, the clock and the output."""

    settings: Settings
    store: TableStore
    nodes: Nodes
    clock: Clock
    pause_ms: Callable[[int], Awaitable[None]]
    output: Output

    def filing(self) -> TicketFiling:
        """Return the steps of filing a ticket, with a delay that doubles after each attempt."""

        async def pause(attempt: int) -> None:
            await self.pause_ms(20 * 2**attempt)

        return TicketFiling(self.store, self.settings, pause)


def _load_file(context: TicketContext, path: Path) -> Result[Ticket, FileUnreadable | TicketFaults]:
    """Return the ticket of a file, or all faults of the file."""
    text = read_text(path)
    if isinstance(text, Err):
        return text
    return load_ticket(text.ok_value, context.settings, str(path))


async def check(context: TicketContext, path: Path, with_head: bool) -> ExitCode:
    """Check a ticket file and print its number of items; write nothing to the store.

    With `with_head`, also check that it has no conflict with the tickets filed since its base.
    """
    loaded = _load_file(context, path)
    if isinstance(loaded, Err):
        return context.output.error(loaded.err_value)
    ticket = loaded.ok_value
    count = len(ticket.servers or []) + len(ticket.claims or [])
    text = f"{path}: a valid ticket with {describe_count(count, 'item')}"
    if not with_head:
        context.output.result(text, items=count)
        return ExitCode.DONE
    examined = await context.filing().examine(ticket)
    if isinstance(examined, Err):
        return context.output.error(examined.err_value)
    head = examined.ok_value
    text += f"; it could follow the head {head}"
    context.output.result(text, items=count, head_number=head)
    return ExitCode.DONE


async def file(context: TicketContext, path: Path) -> ExitCode:
    """File the ticket of a file and print its number, also if it was filed before."""
    loaded = _load_file(context, path)
    if isinstance(loaded, Err):
        return context.output.error(loaded.err_value)
    filed = await context.filing().file(loaded.ok_value)
    if isinstance(filed, Err):
        return context.output.error(filed.err_value)
    number, repeated = filed.ok_value.number, filed.ok_value.repeated
    verb = "was filed before as" if repeated else "is filed as"
    context.output.result(f"{path}: {verb} ticket {number}", number=number, repeated=repeated)
    return ExitCode.DONE


async def show(context: TicketContext, number: int) -> ExitCode:
    """Print the ticket filed under a number."""
    read = await read_ticket(context.store, number)
    if isinstance(read, Err):
        return context.output.error(read.err_value)
    ticket = read.ok_value
    context.output.result("\n".join(_ticket_lines(ticket)), ticket=plain_struct(ticket))
    return ExitCode.DONE


def _ticket_lines(ticket: Ticket) -> list[str]:
    """Return the summary of a ticket and a line for each of its servers and claims."""
    lines = [_ticket_summary(ticket), f"filing id {ticket.filing_id}, base {ticket.base_number}"]
    for server in ticket.servers or []:
        plain = plain_struct(server)
        address = plain.get("address", {"ip": "-", "port": "-"})
        location = f"{address['ip']}:{address['port']} in {plain.get('failure_domain', '-')}"
        name = f"{server.service_name} {server.server_id}"
        lines.append(f"  server {name}: {plain['state']}, {location}")
    for claim in ticket.claims or []:
        plain = plain_struct(claim)
        target = plain.pop("server_id", "the balancer")
        service = plain.pop("service_name")
        claimed_keys = ", ".join(f"{name} {value}" for name, value in plain.items())
        lines.append(f"  claim {service} {claimed_keys}: {target}")
    return lines


def _ticket_summary(ticket: Ticket) -> str:
    """Return the number, author and reason of a ticket."""
    reason = f": {ticket.reason}" if ticket.reason else ""
    return f"ticket {ticket.number} by {ticket.filed_by}{reason}"


async def list_tickets(context: TicketContext, last: int) -> ExitCode:
    """Print the head number and the last `last` tickets, newest first."""
    read = await read_ticket_row(context.store, HEAD_ROW)
    if isinstance(read, Err):
        return context.output.error(read.err_value)
    header, _ = read.ok_value
    head = header.number if header else 0
    found = []
    for number in range(head, max(0, head - last), -1):
        ticket = await read_ticket(context.store, number)
        if isinstance(ticket, Err):
            return context.output.error(ticket.err_value)
        found.append(ticket.ok_value)
    lines = [f"head {head}", *(_ticket_summary(ticket) for ticket in found)]
    context.output.result(
        "\n".join(lines), head_number=head, tickets=[plain_struct(ticket) for ticket in found]
    )
    return ExitCode.DONE


async def watch(context: TicketContext, number: int, timeout_ms: int) -> ExitCode:
    """Query every entry VM until the ticket is in force on all, or until the timeout.

    Print the outcome; after a timeout it includes what is missing on which entry VM.
    """
    read = await read_ticket(context.store, number)
    if isinstance(read, Err):
        return context.output.error(read.err_value)
    begin_ms = context.clock.now_ms()
    while True:
        missing = await _missing_on_all_nodes(context, TicketNumber(number))
        waited_ms = context.clock.now_ms() - begin_ms
        if isinstance(missing, Err):
            return context.output.error(missing.err_value)
        if not missing.ok_value:
            text = f"ticket {number} is in force everywhere"
            context.output.result(text, number=number, in_force=True, missing=[])
            return ExitCode.DONE
        if waited_ms >= timeout_ms:
            text = f"ticket {number} is not in force after {waited_ms} ms"
            lines = [text, *(f"  {reason}" for reason in missing.ok_value)]
            context.output.result(
                "\n".join(lines), number=number, in_force=False, missing=missing.ok_value
            )
            return ExitCode.NOT_IN_FORCE
        await context.pause_ms(WATCH_INTERVAL_MS)


async def _missing_on_all_nodes(
    context: TicketContext, number: TicketNumber
) -> Result[list[str], NutmegleadError]:
    """Return what keeps the ticket from being in force on any entry VM.

    An entry VM that does not answer counts as one on which the ticket is not in force.
    """
    listed = await context.nodes.list()
    if isinstance(listed, Err):
        return listed
    nodes = listed.ok_value
    if not nodes:
        return Ok(["the store lists no entry VM"])
    # Queried one after the other, a few VMs that do not answer would exceed the 3 s bound.
    answers = await asyncio.gather(*(context.nodes.status(row) for row in nodes.values()))
    missing: list[str] = []
    for node_id, answer in zip(nodes, answers, strict=True):
        missing += _missing_on_node(node_id, answer, number)
    return Ok(list(dict.fromkeys(missing)))


def _missing_on_node(
    node_id: NodeId, answer: Result[TicketStatus, NutmegleadError], number: TicketNumber
) -> Sequence[str]:
    """Return what keeps the ticket from being in force on one entry VM."""
    if isinstance(answer, Err):
        return [f"{node_id}: no answer: {answer.err_value}"]
    status = answer.ok_value
    if status.ticket_number < number:
        return [f"{node_id}: follows ticket {status.ticket_number}"]
    return list(status.missing)
