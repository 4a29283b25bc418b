"""Carry out the commands of nutmeglead-audit through the ports."""

from collections.abc import Sequence
from dataclasses import dataclass

from result import Err, Ok, Result

from nutmeglead._generated.messages.ttypes import PlacementPage
from nutmeglead._generated.settings.ttypes import ServiceSettings, Settings
from nutmeglead._generated.tickets.ttypes import Ticket
from nutmeglead.audit.explain import Evidence, describe_record, explain
from nutmeglead.audit.trail import Trail, read_trail
from nutmeglead.core.codec import decode
from nutmeglead.core.errors import NutmegleadError
from nutmeglead.core.ids import ServiceName, TicketNumber
from nutmeglead.ownership.keys import bucket_shift, hash_key
from nutmeglead.platform.ports import ObjectStore, TableStore
from nutmeglead.programs.exit_codes import ExitCode
from nutmeglead.programs.output import Output
from nutmeglead.settings.structs import plain_struct
from nutmeglead.tickets.errors import CorruptRow
from nutmeglead.tickets.rows import read_desired, read_ticket
from nutmeglead.tickets.state import DesiredState

__all__ = ["AuditTools", "explain_key", "trail"]


@dataclass(frozen=True)
class AuditTools:
    """Hold what the commands use of the world."""

    settings: Settings
    store: TableStore
    objects: ObjectStore
    output: Output


async def trail(
    tools: AuditTools, days: Sequence[str] | None, service_name: str | None
) -> ExitCode:
    """Print the records in order of time, and what is missing."""
    read = await read_trail(tools.objects, days)
    if isinstance(read, Err):
        return tools.output.error(read.err_value)
    found = [r for r in read.ok_value.records if service_name in (None, r.service_name)]
    missing = [str(part) for part in read.ok_value.missing]
    lines = [f"{record.service_name} {describe_record(record)}" for record in found]
    lines += [f"missing: {text}" for text in missing]
    tools.output.result(
        "\n".join(lines) or "no records",
        records=[plain_struct(record) for record in found],
        missing=missing,
    )
    return ExitCode.DONE


async def explain_key(
    tools: AuditTools, key: str, service_name: str | None, days: Sequence[str] | None = None
) -> ExitCode:
    """Print who owns a key and why, for one service or for all; `days` bounds the history."""
    services = [s for s in tools.settings.services if service_name in (None, s.name)]
    desired = await read_desired(tools.store)
    if isinstance(desired, Err):
        return tools.output.error(desired.err_value)
    records = await read_trail(tools.objects, days)
    if isinstance(records, Err):
        # The owner is known from the table; only the history waits for the object store.
        tools.output.warning(f"the history is missing: {records.err_value}")
    known = records.unwrap_or(Trail())
    for service in services:
        found = await _gather(tools, service, key, desired.ok_value, known)
        if isinstance(found, Err):
            return tools.output.error(found.err_value)
        explanation = explain(ServiceName(service.name), key, found.ok_value)
        tools.output.result("\n".join(explanation.lines()), **explanation.plain())
    return ExitCode.DONE


async def _gather(
    tools: AuditTools, service: ServiceSettings, key: str, desired: DesiredState, known: Trail
) -> Result[Evidence, NutmegleadError]:
    pages = await _read_pages(tools.store, service.name)
    if isinstance(pages, Err):
        return pages
    state = desired.service(ServiceName(service.name))
    tickets: dict[TicketNumber, Ticket] = {}
    claim = state.claim_of(key, hash_key(key) >> bucket_shift(service.hash_buckets))
    if claim is not None:
        ticket = await read_ticket(tools.store, claim.ticket_number)
        if isinstance(ticket, Err):
            return ticket
        tickets[claim.ticket_number] = ticket.ok_value
    return Ok(Evidence(pages.ok_value, service.hash_buckets, state, tickets, known))


async def _read_pages(
    store: TableStore, service_name: str
) -> Result[list[PlacementPage], NutmegleadError]:
    rows = await store.scan(f"page/{service_name}/")
    if isinstance(rows, Err):
        return rows
    pages: list[PlacementPage] = []
    for row in rows.ok_value:
        page = decode(PlacementPage, row.value)
        if isinstance(page, Err):
            return Err(CorruptRow(row.key, str(page.err_value)))
        pages.append(page.ok_value)
    return Ok(pages)
