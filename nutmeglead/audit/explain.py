"""Explain who owns a key, since which ticket, by which moves and why."""

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from datetime import UTC, datetime
from typing import Any

from nutmeglead._generated.common.ttypes import UnitKind
from nutmeglead._generated.messages.ttypes import AuditKind, AuditRecord, PlacementPage
from nutmeglead._generated.tickets.ttypes import Ticket
from nutmeglead.audit.trail import MissingKind, Trail
from nutmeglead.core.ids import Epoch, ServerId, ServiceName, TicketNumber
from nutmeglead.ownership.keys import Unit, bucket_shift, hash_key, unit_from_id
from nutmeglead.ownership.units import Holder, UnitMap
from nutmeglead.settings.errors import describe_count
from nutmeglead.tickets.state import Claim, ServiceState

__all__ = ["Evidence", "Explanation", "describe_record", "describe_unit", "explain"]

_MOVE_KINDS = (AuditKind.UNIT_MOVED, AuditKind.HANDOVER_PROVEN)
_SERVER_KINDS = (AuditKind.LEASE_ENDED, AuditKind.SERVER_LEAVING)


@dataclass(frozen=True)
class Evidence:
    """Hold all that an explanation is derived from."""

    pages: Iterable[PlacementPage]
    hash_buckets: int
    desired: ServiceState
    tickets: Mapping[TicketNumber, Ticket]
    trail: Trail


@dataclass(frozen=True)
class Explanation:
    """Say who owns a key and why; the history is in order of time."""

    service_name: ServiceName
    key: str
    bucket: int
    unit: Unit
    owner: ServerId | None
    epoch: Epoch
    waits_for: tuple[Holder, ...]
    since_ticket: TicketNumber | None
    reason: str
    history: tuple[AuditRecord, ...]
    missing: tuple[str, ...]

    def lines(self) -> Iterator[str]:
        """Yield the explanation as lines of text."""
        yield f"key {self.key!r} of {self.service_name}, bucket {self.bucket}"
        owner = self.owner or "no server"
        yield f"owner: {owner}, epoch {self.epoch}, as {describe_unit(self.unit)}"
        for holder in self.waits_for:
            yield f"waits for: proof that {holder.server_id} is done up to epoch {holder.epoch}"
        yield f"since: {self._since()}"
        yield f"reason: {self.reason}"
        yield f"history: {describe_count(len(self.history), 'record')}"
        for record in self.history:
            yield f"  {describe_record(record)}"
        for text in self.missing:
            yield f"missing: {text}"

    def _since(self) -> str:
        if self.since_ticket is not None:
            return f"ticket {self.since_ticket}"
        # Only the first placement writes buckets at epoch 1, all at once and without records.
        is_first = self.unit.kind == UnitKind.HASH_BUCKET and self.epoch == 1
        return "the first placement of the service" if is_first else "unknown"

    def plain(self) -> dict[str, Any]:
        """Return the explanation as values for JSON."""
        return {
            "service_name": self.service_name,
            "key": self.key,
            "bucket": self.bucket,
            "unit": describe_unit(self.unit),
            "owner": self.owner,
            "epoch": self.epoch,
            "waits_for": [holder._asdict() for holder in self.waits_for],
            "since_ticket": self.since_ticket,
            "reason": self.reason,
            "history": [describe_record(record) for record in self.history],
            "missing": list(self.missing),
        }


def describe_unit(unit: Unit) -> str:
    """Return a unit as an operator names it."""
    if unit.kind == UnitKind.HASH_BUCKET:
        return f"bucket {unit.bucket}"
    return f"{'prefix' if unit.kind == UnitKind.PREFIX else 'key'} {unit.key!r}"


def describe_record(record: AuditRecord) -> str:
    """Return a record as one line."""
    time = datetime.fromtimestamp(record.wall_time_ms / 1000, UTC)
    words = [time.isoformat(" ", "milliseconds").replace("+00:00", "Z")]
    words.append(AuditKind(record.kind).name.lower())
    if record.unit is not None:
        words.append(describe_unit(unit_from_id(record.unit)))
    if record.kind == AuditKind.UNIT_MOVED:
        words.append(f"{record.from_server_id or 'none'} -> {record.to_server_id or 'none'}")
    elif record.subject:
        words.append(record.subject)
    if record.epoch is not None:
        words.append(f"epoch {record.epoch}")
    words.append(f"ticket {record.ticket_number}")
    return f"{' '.join(words)} by {record.sender.node_id}: {record.evidence}"


def explain(service_name: ServiceName, key: str, evidence: Evidence) -> Explanation:
    """Return who owns a key and why."""
    unit_map = UnitMap(service_name, evidence.hash_buckets)
    for page in evidence.pages:
        unit_map.apply(page)
    found = unit_map.locate(key)
    record = unit_map.record(found.unit)
    bucket = hash_key(key) >> bucket_shift(evidence.hash_buckets)
    history = tuple(_history(service_name, key, evidence))
    return Explanation(
        service_name=service_name,
        key=key,
        bucket=bucket,
        unit=found.unit,
        owner=found.owner,
        epoch=found.epoch,
        waits_for=record.previous if record else (),
        since_ticket=_since_ticket(found.unit, found.epoch, history),
        reason=_reason(key, bucket, found.owner, evidence),
        history=history,
        missing=tuple(
            str(missing)
            for missing in evidence.trail.missing
            if missing.kind is not MissingKind.NOT_CLOSED
        ),
    )


def _history(service_name: ServiceName, key: str, evidence: Evidence) -> Iterator[AuditRecord]:
    """Yield the moves of every unit that covers or covered the key, and what ended its owners."""
    shift = bucket_shift(evidence.hash_buckets)
    records = [r for r in evidence.trail.records if r.service_name == service_name]
    moves = [r for r in records if r.kind in _MOVE_KINDS and _covers(r, key, shift)]
    servers = {server for r in moves for server in (r.from_server_id, r.to_server_id) if server}
    chosen = {id(record) for record in moves}
    chosen |= {id(r) for r in records if r.kind in _SERVER_KINDS and r.subject in servers}
    yield from (record for record in records if id(record) in chosen)


def _covers(record: AuditRecord, key: str, shift: int) -> bool:
    return record.unit is not None and unit_from_id(record.unit).matches(key, shift)


def _since_ticket(unit: Unit, epoch: Epoch, history: Iterable[AuditRecord]) -> TicketNumber | None:
    """Return the ticket under which the unit got its present epoch, if the trail holds the move."""
    for record in history:
        if record.kind != AuditKind.UNIT_MOVED or record.epoch != epoch:
            continue
        if unit_from_id(record.unit) == unit:
            return TicketNumber(record.ticket_number)
    return None


def _reason(key: str, bucket: int, owner: ServerId | None, evidence: Evidence) -> str:
    claim = evidence.desired.claim_of(key, bucket)
    if claim is None:
        return "the placement policy; " + _suspended(key, bucket, evidence.desired)
    ticket = evidence.tickets.get(claim.ticket_number)
    filed = f" ({ticket.filed_by}: {ticket.reason or 'no reason given'})" if ticket else ""
    text = f"ticket {claim.ticket_number} claims it for {claim.server_id}{filed}"
    return text if claim.server_id == owner else f"{text}; the move is not written yet"


def _suspended(key: str, bucket: int, desired: ServiceState) -> str:
    """Name the claims on a key that have no effect because their server takes no keys."""
    claims: list[Claim | None] = [desired.exact.get(key)]
    claims += [claim for prefix, claim in desired.prefixes.items() if key.startswith(prefix)]
    claims += [entry.claim for entry in desired.buckets if entry.first <= bucket <= entry.last]
    found = [claim for claim in claims if claim is not None]
    if not found:
        return "no ticket claims the key"
    names = [f"that of ticket {c.ticket_number} for {c.server_id}" for c in found]
    return f"claims of servers that take no keys have no effect: {', '.join(names)}"
