"""Carry out the commands of nutmeglead-ticket through the ports."""

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

__all__ = ["Nodes", "TicketTools", "check", "file", "list_tickets", "show", "watch"]

# A ticket is in force within 3 s; an operator who watches sees each step.
WATCH_INTERVAL_MS = 250


class Nodes(Protocol):
    """Ask the entry VMs."""

    async def list(self) -> Result[dict[NodeId, NodeRow], NutmegleadError]:
        """Return the rows of all entry VMs."""
        ...

    async def status(self, row: NodeRow) -> Result[TicketStatus, NutmegleadError]:
        """Return the ticket that an entry VM follows."""
        ...


@dataclass(frozen=True)
class TicketTools:
    """Hold what the commands use of the world."""

    settings: Settings
    store: TableStore
    nodes: Nodes
    clock: Clock
    pause_ms: Callable[[int], Awaitable[None]]
    output: Output

    def filing(self) -> TicketFiling:
        """Return what files a ticket."""

        async def pause(attempt: int) -> None:
            await self.pause_ms(20 * 2**attempt)

        return TicketFiling(self.store, self.settings, pause)


def _load(tools: TicketTools, path: Path) -> Result[Ticket, FileUnreadable | TicketFaults]:
    text = read_text(path)
    if isinstance(text, Err):
        return text
    return load_ticket(text.ok_value, tools.settings, str(path))


async def check(tools: TicketTools, path: Path, with_head: bool) -> ExitCode:
    """Check a ticket, and on request whether it could be filed now; write nothing."""
    loaded = _load(tools, path)
    if isinstance(loaded, Err):
        return tools.output.error(loaded.err_value)
    ticket = loaded.ok_value
    count = len(ticket.servers or []) + len(ticket.claims or [])
    text = f"{path}: a valid ticket with {describe_count(count, 'item')}"
    if not with_head:
        tools.output.result(text, items=count)
        return ExitCode.DONE
    examined = await tools.filing().examine(ticket)
    if isinstance(examined, Err):
        return tools.output.error(examined.err_value)
    head = examined.ok_value
    text += f"; it could follow the head {head}"
    tools.output.result(text, items=count, head_number=head)
    return ExitCode.DONE


async def file(tools: TicketTools, path: Path) -> ExitCode:
    """File a ticket and print its number."""
    loaded = _load(tools, path)
    if isinstance(loaded, Err):
        return tools.output.error(loaded.err_value)
    filed = await tools.filing().file(loaded.ok_value)
    if isinstance(filed, Err):
        return tools.output.error(filed.err_value)
    number, repeated = filed.ok_value.number, filed.ok_value.repeated
    verb = "was filed before as" if repeated else "is filed as"
    tools.output.result(f"{path}: {verb} ticket {number}", number=number, repeated=repeated)
    return ExitCode.DONE


async def show(tools: TicketTools, number: int) -> ExitCode:
    """Print a filed ticket."""
    read = await read_ticket(tools.store, number)
    if isinstance(read, Err):
        return tools.output.error(read.err_value)
    ticket = read.ok_value
    tools.output.result("\n".join(_describe(ticket)), ticket=plain_struct(ticket))
    return ExitCode.DONE


def _describe(ticket: Ticket) -> list[str]:
    lines = [_headline(ticket), f"filing id {ticket.filing_id}, base {ticket.base_number}"]
    for server in ticket.servers or []:
        plain = plain_struct(server)
        address = plain.get("address", {"ip": "-", "port": "-"})
        place = f"{address['ip']}:{address['port']} in {plain.get('failure_domain', '-')}"
        name = f"{server.service_name} {server.server_id}"
        lines.append(f"  server {name}: {plain['state']}, {place}")
    for claim in ticket.claims or []:
        plain = plain_struct(claim)
        target = plain.pop("server_id", "the balancer")
        service = plain.pop("service_name")
        form = ", ".join(f"{name} {value}" for name, value in plain.items())
        lines.append(f"  claim {service} {form}: {target}")
    return lines


def _headline(ticket: Ticket) -> str:
    reason = f": {ticket.reason}" if ticket.reason else ""
    return f"ticket {ticket.number} by {ticket.filed_by}{reason}"


async def list_tickets(tools: TicketTools, last: int) -> ExitCode:
    """Print the head number and the last tickets, newest first."""
    read = await read_ticket_row(tools.store, HEAD_ROW)
    if isinstance(read, Err):
        return tools.output.error(read.err_value)
    header, _ = read.ok_value
    head = header.number if header else 0
    found = []
    for number in range(head, max(0, head - last), -1):
        ticket = await read_ticket(tools.store, number)
        if isinstance(ticket, Err):
            return tools.output.error(ticket.err_value)
        found.append(ticket.ok_value)
    lines = [f"head {head}", *(_headline(ticket) for ticket in found)]
    tools.output.result(
        "\n".join(lines), head_number=head, tickets=[plain_struct(ticket) for ticket in found]
    )
    return ExitCode.DONE


async def watch(tools: TicketTools, number: int, timeout_ms: int) -> ExitCode:
    """Ask every entry VM until the ticket is in force everywhere, or until the timeout."""
    read = await read_ticket(tools.store, number)
    if isinstance(read, Err):
        return tools.output.error(read.err_value)
    begin_ms = tools.clock.now_ms()
    while True:
        missing = await _missing(tools, TicketNumber(number))
        waited_ms = tools.clock.now_ms() - begin_ms
        if isinstance(missing, Err):
            return tools.output.error(missing.err_value)
        if not missing.ok_value:
            text = f"ticket {number} is in force everywhere"
            tools.output.result(text, number=number, in_force=True, missing=[])
            return ExitCode.DONE
        if waited_ms >= timeout_ms:
            text = f"ticket {number} is not in force after {waited_ms} ms"
            lines = [text, *(f"  {party}" for party in missing.ok_value)]
            tools.output.result(
                "\n".join(lines), number=number, in_force=False, missing=missing.ok_value
            )
            return ExitCode.NOT_IN_FORCE
        await tools.pause_ms(WATCH_INTERVAL_MS)


async def _missing(tools: TicketTools, number: TicketNumber) -> Result[list[str], NutmegleadError]:
    """Name who keeps the ticket from being in force; an entry VM without an answer counts."""
    listed = await tools.nodes.list()
    if isinstance(listed, Err):
        return listed
    nodes = listed.ok_value
    if not nodes:
        return Ok(["the store lists no entry VM"])
    # Asked one after the other, a few VMs without an answer would take longer than the 3 s bound.
    answers = await asyncio.gather(*(tools.nodes.status(row) for row in nodes.values()))
    missing: list[str] = []
    for node_id, answer in zip(nodes, answers, strict=True):
        missing += _missing_of(node_id, answer, number)
    return Ok(list(dict.fromkeys(missing)))


def _missing_of(
    node_id: NodeId, answer: Result[TicketStatus, NutmegleadError], number: TicketNumber
) -> Sequence[str]:
    if isinstance(answer, Err):
        return [f"{node_id}: no answer: {answer.err_value}"]
    status = answer.ok_value
    if status.ticket_number < number:
        return [f"{node_id}: follows ticket {status.ticket_number}"]
    return list(status.missing)
