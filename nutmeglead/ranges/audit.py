"""Build the rows of a service's audit trail, which are written together with the changes."""

import logging
from collections.abc import Sequence

from nutmeglead._generated.audit.ttypes import AuditKind, AuditRecord, KeyMove
from nutmeglead._generated.audit.ttypes import MoveReason as ReasonNumber
from nutmeglead.core.codec import encode
from nutmeglead.core.events import Event, log_event
from nutmeglead.core.ids import NodeId, ServiceName
from nutmeglead.platform.store import StoreRow
from nutmeglead.ranges.model import RangeMap
from nutmeglead.ranges.moves import Move, MoveReason

__all__ = ["AUDIT_TABLE", "audit_rows", "log_moves", "move_record", "role_record"]

logger = logging.getLogger(__name__)

AUDIT_TABLE = "audit"
# Records of role changes, and of moves, that are kept for each service. The write of a new record
# removes the one that has become too old. At 100 moves a day, the records of moves cover a week.
KEPT_RECORDS = 700

_REASON_NUMBERS = {
    MoveReason.FIRST_PLACEMENT: ReasonNumber.FIRST_PLACEMENT,
    MoveReason.CLAIM: ReasonNumber.CLAIM,
    MoveReason.SERVER_LEAVING: ReasonNumber.SERVER_LEAVING,
    MoveReason.SERVER_LOST: ReasonNumber.SERVER_LOST,
    MoveReason.BALANCE: ReasonNumber.BALANCE,
    MoveReason.STALE_FENCE: ReasonNumber.STALE_FENCE,
    MoveReason.EVACUATION: ReasonNumber.EVACUATION,
}


def role_record(
    node_id: NodeId, wall_ms: int, service: ServiceName, manifest_version: int, epoch: int
) -> AuditRecord:
    """Return the record that a node has taken the role of a service under an epoch."""
    return AuditRecord(
        AuditKind.ROLE_TAKEN, node_id, wall_ms, service, manifest_version, epoch, 0, 0, []
    )


def move_record(
    node_id: NodeId,
    wall_ms: int,
    manifest_version: int,
    moves: Sequence[Move],
    before: RangeMap,
    after: RangeMap,
) -> AuditRecord:
    """Return the record of the moves that lead from one map to the next."""
    return AuditRecord(
        AuditKind.KEYS_MOVED,
        node_id,
        wall_ms,
        after.service,
        manifest_version,
        after.epoch,
        after.version,
        after.fence,
        [_key_move(move, before) for move in moves],
    )


def _key_move(move: Move, before: RangeMap) -> KeyMove:
    """Return a move in the record's form, with the earlier owners of its keys."""
    holders = [
        entry.owner.server_id
        for entry in before
        if entry.owner is not None and entry.first <= move.last and move.first <= entry.last
    ]
    return KeyMove(
        move.first,
        move.last,
        move.owner.server_id,
        list(dict.fromkeys(holders)),
        _REASON_NUMBERS[move.reason],
    )


def log_moves(moves: Sequence[Move], target: RangeMap) -> int:
    """Log an event for each move of a map that was written; return the number of moved keys."""
    for first, last, owner, reason in moves:
        log_event(
            logger,
            Event.RANGE_MOVED,
            service=target.service,
            first=first,
            last=last,
            server=owner.server_id,
            map=target.version,
            fence=target.fence,
            reason=reason.value,
        )
    return sum(move.last - move.first + 1 for move in moves)


def audit_rows(service: ServiceName, record: AuditRecord) -> tuple[list[StoreRow], list[StoreRow]]:
    """Return the row to write and the row to remove, if any, for a new record, each in a list."""
    number = record.role_epoch if record.kind == AuditKind.ROLE_TAKEN else record.map_version
    key = _row_key(record.kind, number)
    written = [StoreRow(AUDIT_TABLE, service, key, encode(record), 0)]
    if number <= KEPT_RECORDS:
        return written, []
    outdated = _row_key(record.kind, number - KEPT_RECORDS)
    return written, [StoreRow(AUDIT_TABLE, service, outdated, None, 0)]


def _row_key(kind: AuditKind, number: int) -> str:
    prefix = "role" if kind == AuditKind.ROLE_TAKEN else "map"
    return f"{prefix}-{number:010}"
