"""Implement the commands of nutmeglead-audit."""

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

__all__ = ["AuditContext", "explain_key", "print_trail"]


@dataclass(frozen=True)
class AuditContext:
    """Hold the services to report on, the clients of the store and the output."""

    services: Sequence[ServiceName]
    store: StoreClient
    tickets: TableStore
    output: Output


async def print_trail(context: AuditContext) -> ExitCode:
    """Print the audit records of all services in order of time."""
    records: list[AuditRecord] = []
    for service in context.services:
        read = await _read_records(context.store, service)
        if isinstance(read, Err):
            return context.output.error(read.err_value)
        records += read.ok_value
    records.sort(key=lambda record: (record.wall_time_ms, record.service_name))
    lines = [line for record in records for line in _record_lines(record)]
    context.output.result(
        "\n".join(lines) or "no records", records=[plain_struct(record) for record in records]
    )
    return ExitCode.DONE


async def explain_key(context: AuditContext, number: int, name: str) -> ExitCode:
    """Print for each service the owner of a key, its claim and the moves of its range.

    `name` is the key as the operator wrote it, and `number` is its key number.
    """
    desired = await read_desired(context.tickets)
    if isinstance(desired, Err):
        return context.output.error(desired.err_value)
    for service in context.services:
        ranges = await _read_map(context.store, service)
        if isinstance(ranges, Err):
            return context.output.error(ranges.err_value)
        read = await _read_records(context.store, service)
        if isinstance(read, Err):
            return context.output.error(read.err_value)
        claim = desired.ok_value.service(service).claim_of(number)
        key_range = None if ranges.ok_value is None else ranges.ok_value.locate(number)
        history = [record for record in read.ok_value if _moves_of(record, number)]
        lines = [f"key {name} of {service}, number {number}"]
        lines += _owner_lines(key_range, claim)
        lines.append(f"history: {describe_count(len(history), 'move')}")
        lines += [f"  {line}" for record in history for line in _record_lines(record, number)]
        context.output.result(
            "\n".join(lines),
            service_name=service,
            number=number,
            owner=(
                None if key_range is None or key_range.owner is None else key_range.owner.server_id
            ),
            is_pending=key_range is not None and key_range.is_pending,
            ticket=None if claim is None else claim.ticket_number,
            history=[plain_struct(record) for record in history],
        )
    return ExitCode.DONE


def _owner_lines(key_range: KeyRange | None, claim: Claim | None) -> Iterator[str]:
    """Yield the owner of a key, who may hold it until its grant, and the claim on it."""
    if key_range is None or key_range.owner is None:
        yield "owner: no server; the service has no range map yet"
    else:
        range_text = f"keys {key_range.first} to {key_range.last}"
        yield f"owner: {key_range.owner.server_id}, fence {key_range.fence}, {range_text}"
        if key_range.is_pending:
            holders = (
                ", ".join(incarnation.server_id for incarnation in key_range.previous) or "no one"
            )
            yield f"waits for its grant; may still be held by {holders}"
    if claim is not None:
        yield f"claimed for {claim.server_id} by ticket {claim.ticket_number}"


async def _read_map(
    store: StoreClient, service: ServiceName
) -> Result[RangeMap | None, NutmegleadError]:
    """Return the range map of a service, or None if it has none yet."""
    read = await store.read(RANGES_TABLE, service)
    if isinstance(read, Err):
        return read
    map_row = next((row for row in read.ok_value.rows if row.key == MAP_KEY), None)
    if map_row is None or not map_row.value:
        return Ok(None)
    return decode_map(map_row.value)


async def _read_records(
    store: StoreClient, service: ServiceName
) -> Result[list[AuditRecord], NutmegleadError]:
    """Return the audit records of a service, sorted by role epoch and map version."""
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
    """Return the moves of a record whose ranges contain a key number."""
    return [move for move in record.moves if move.first <= number <= move.last]


def _record_lines(record: AuditRecord, number: int | None = None) -> Iterator[str]:
    """Yield one line for a taken role, or one for each move of a record.

    With `number`, only the moves of that key are included.
    """
    time = datetime.fromtimestamp(record.wall_time_ms / 1000, UTC)
    prefix = f"{time:%Y-%m-%d %H:%M:%S}.{record.wall_time_ms % 1000:03}Z {record.service_name}"
    author = f"by {record.node_id}, epoch {record.role_epoch}, manifest {record.manifest_version}"
    if record.kind == AuditKind.ROLE_TAKEN:
        yield f"{prefix} role taken {author}"
        return
    for move in record.moves if number is None else _moves_of(record, number):
        holders = ", ".join(move.from_server_ids) or "no server"
        reason = MoveReason(move.reason).name.lower().replace("_", " ")
        yield (
            f"{prefix} keys {move.first} to {move.last}: {holders} -> {move.to_server_id},"
            f" fence {record.fence}, {reason}, {author}"
        )
