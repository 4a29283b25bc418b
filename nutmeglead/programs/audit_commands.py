"""Carry out the commands of nutmeglead-audit."""

from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from datetime import UTC, datetime

from result import Err, Ok, Result

from nutmeglead._generated.audit.ttypes import AuditKind, AuditRecord, KeyMove, MoveReason
from nutmeglead.core.codec import decode
from nutmeglead.core.errors import NutmegleadError
from nutmeglead.core.ids import RowKey, ServiceName
from nutmeglead.platform.ports import TableStore
from nutmeglead.platform.store import StoreClient
from nutmeglead.programs.exit_codes import ExitCode
from nutmeglead.programs.output import Output
from nutmeglead.ranges.audit import AUDIT_TABLE
from nutmeglead.ranges.model import KeyRange, RangeMap, decode_map
from nutmeglead.ranges.role import MAP_KEY, RANGES_TABLE
from nutmeglead.settings.errors import describe_count
from nutmeglead.settings.structs import plain_struct
from nutmeglead.tickets.errors import CorruptRow
from nutmeglead.tickets.rows import read_desired
from nutmeglead.tickets.state import Claim

__all__ = ["AuditTools", "explain_key", "trail"]


@dataclass(frozen=True)
class AuditTools:
    """Hold what the commands use of the world."""

    services: Sequence[ServiceName]
    store: StoreClient
    tickets: TableStore
    output: Output


async def trail(tools: AuditTools) -> ExitCode:
    """Print the records of the services in order of time."""
    records: list[AuditRecord] = []
    for service in tools.services:
        read = await _read_records(tools.store, service)
        if isinstance(read, Err):
            return tools.output.error(read.err_value)
        records += read.ok_value
    records.sort(key=lambda record: (record.wall_time_ms, record.service_name))
    lines = [line for record in records for line in _describe(record)]
    tools.output.result(
        "\n".join(lines) or "no records", records=[plain_struct(record) for record in records]
    )
    return ExitCode.DONE


async def explain_key(tools: AuditTools, number: int, name: str) -> ExitCode:
    """Print who owns a key of each service, and how it came there."""
    desired = await read_desired(tools.tickets)
    if isinstance(desired, Err):
        return tools.output.error(desired.err_value)
    for service in tools.services:
        ranges = await _read_map(tools.store, service)
        if isinstance(ranges, Err):
            return tools.output.error(ranges.err_value)
        read = await _read_records(tools.store, service)
        if isinstance(read, Err):
            return tools.output.error(read.err_value)
        claim = desired.ok_value.service(service).claim_of(number)
        entry = None if ranges.ok_value is None else ranges.ok_value.locate(number)
        history = [record for record in read.ok_value if _moves_of(record, number)]
        lines = [f"key {name} of {service}, number {number}"]
        lines += _owner_lines(entry, claim)
        lines.append(f"history: {describe_count(len(history), 'move')}")
        lines += [f"  {line}" for record in history for line in _describe(record, number)]
        tools.output.result(
            "\n".join(lines),
            service_name=service,
            number=number,
            owner=None if entry is None or entry.owner is None else entry.owner.server_id,
            is_pending=entry is not None and entry.is_pending,
            ticket=None if claim is None else claim.ticket_number,
            history=[plain_struct(record) for record in history],
        )
    return ExitCode.DONE


def _owner_lines(entry: KeyRange | None, claim: Claim | None) -> Iterator[str]:
    if entry is None or entry.owner is None:
        yield "owner: no server; the service has no range map yet"
    else:
        held = f"keys {entry.first} to {entry.last}"
        yield f"owner: {entry.owner.server_id}, fence {entry.fence}, {held}"
        if entry.is_pending:
            holders = ", ".join(incarnation.server_id for incarnation in entry.previous) or "no one"
            yield f"waits for its grant; may still be held by {holders}"
    if claim is not None:
        yield f"claimed for {claim.server_id} by ticket {claim.ticket_number}"


async def _read_map(
    store: StoreClient, service: ServiceName
) -> Result[RangeMap | None, NutmegleadError]:
    read = await store.read(RANGES_TABLE, service)
    if isinstance(read, Err):
        return read
    found = next((row for row in read.ok_value.rows if row.key == MAP_KEY), None)
    if found is None or not found.value:
        return Ok(None)
    return decode_map(found.value)


async def _read_records(
    store: StoreClient, service: ServiceName
) -> Result[list[AuditRecord], NutmegleadError]:
    read = await store.read(AUDIT_TABLE, service)
    if isinstance(read, Err):
        return read
    records: list[AuditRecord] = []
    for row in read.ok_value.rows:
        decoded = decode(AuditRecord, row.value or b"")
        if isinstance(decoded, Err):
            return Err(CorruptRow(RowKey(row.key), str(decoded.err_value)))
        records.append(decoded.ok_value)
    return Ok(sorted(records, key=lambda record: (record.role_epoch, record.map_version)))


def _moves_of(record: AuditRecord, number: int) -> list[KeyMove]:
    return [move for move in record.moves if move.first <= number <= move.last]


def _describe(record: AuditRecord, number: int | None = None) -> Iterator[str]:
    """Yield a line for each of a record's moves, or for those of one key."""
    at = datetime.fromtimestamp(record.wall_time_ms / 1000, UTC)
    head = f"{at:%Y-%m-%d %H:%M:%S}.{record.wall_time_ms % 1000:03}Z {record.service_name}"
    by = f"by {record.node_id}, epoch {record.role_epoch}, manifest {record.manifest_version}"
    if record.kind == AuditKind.ROLE_TAKEN:
        yield f"{head} role taken {by}"
        return
    for move in record.moves if number is None else _moves_of(record, number):
        holders = ", ".join(move.from_server_ids) or "no server"
        reason = MoveReason(move.reason).name.lower().replace("_", " ")
        yield (
            f"{head} keys {move.first} to {move.last}: {holders} -> {move.to_server_id},"
            f" fence {record.fence}, {reason}, {by}"
        )
