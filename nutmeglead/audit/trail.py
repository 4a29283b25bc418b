"""Read the audit trail from the object store, and find what is missing from it."""

import json
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

from result import Err, Ok, Result

from nutmeglead._generated.messages.ttypes import AuditRecord
from nutmeglead.audit.buffer import AUDIT_PREFIX
from nutmeglead.audit.records import LostRange, from_json_line, lost_range
from nutmeglead.platform.errors import ObjectStoreUnavailable
from nutmeglead.platform.ports import ObjectStore
from nutmeglead.settings.errors import describe_count

__all__ = ["MissingKind", "MissingRecords", "Trail", "Writer", "read_trail"]


@dataclass(frozen=True, order=True)
class Writer:
    """Identify one incarnation of a program that writes records."""

    node_id: str
    incarnation: str


class MissingKind(Enum):
    """Tell why records are missing."""

    BUFFER_FULL = "the buffer was full"
    UNEXPLAINED = "no record names the reason"
    UNREADABLE = "unreadable"
    NOT_CLOSED = "not closed"


@dataclass(frozen=True)
class MissingRecords:
    """Say what is missing of one writer's records; `lost` is None for an unknown number."""

    kind: MissingKind
    writer: Writer
    lost: LostRange | None
    detail: str = ""

    def __str__(self) -> str:
        name = f"{self.writer.node_id} ({self.writer.incarnation})"
        if self.lost is None:
            return f"{name}: {self.kind.value}: {self.detail}"
        numbers = f"records {self.lost.first} to {self.lost.last}"
        count = describe_count(self.lost.count, "record")
        return f"{name}: {count} missing, {numbers}: {self.kind.value}"


@dataclass(frozen=True)
class Trail:
    """Hold the records in order of wall time, and what is missing from them."""

    records: list[AuditRecord] = field(default_factory=list)
    missing: list[MissingRecords] = field(default_factory=list)


async def read_trail(
    store: ObjectStore, days: Iterable[str] | None = None
) -> Result[Trail, ObjectStoreUnavailable]:
    """Return the trail of the given days (`2026-12-06`), or of all days."""
    names: list[str] = []
    for prefix in [AUDIT_PREFIX] if days is None else [f"{AUDIT_PREFIX}{day}/" for day in days]:
        listed = await store.list_names(prefix)
        if isinstance(listed, Err):
            return listed
        names += listed.ok_value
    collector = _Collector(all_days=days is None)
    for name in names:
        body = await store.get(name)
        if isinstance(body, Err):
            return body
        collector.add(name, body.ok_value or b"")
    return Ok(collector.trail())


class _Collector:
    """Sort objects by writer and compare their sequence numbers."""

    def __init__(self, all_days: bool) -> None:
        self._all_days = all_days
        self._records: dict[Writer, dict[int, AuditRecord]] = {}
        self._ends: dict[Writer, int] = {}
        self._missing: list[MissingRecords] = []

    def add(self, name: str, body: bytes) -> None:
        """Take over an object; one that cannot be read is listed as missing."""
        parts = name.removeprefix(AUDIT_PREFIX).split("/")
        if len(parts) != 4:
            self._unreadable(Writer("?", "?"), name)
            return
        writer = Writer(parts[1], parts[2])
        if parts[3] == "end.json":
            self._add_end(writer, name, body)
        else:
            self._add_lines(writer, name, body)

    def _add_end(self, writer: Writer, name: str, body: bytes) -> None:
        try:
            self._ends[writer] = int(json.loads(body)["last_sequence"])
        except (ValueError, KeyError, TypeError):
            self._unreadable(writer, name)

    def _add_lines(self, writer: Writer, name: str, body: bytes) -> None:
        records = self._records.setdefault(writer, {})
        for number, line in enumerate(body.decode(errors="replace").rstrip("\n").split("\n"), 1):
            parsed = from_json_line(line, f"{name} line {number}")
            if isinstance(parsed, Err):
                self._unreadable(writer, str(parsed.err_value))
            else:
                records[parsed.ok_value.sequence] = parsed.ok_value

    def _unreadable(self, writer: Writer, detail: str) -> None:
        self._missing.append(MissingRecords(MissingKind.UNREADABLE, writer, None, detail))

    def trail(self) -> Trail:
        """Return all records with everything that is missing."""
        missing = list(self._missing)
        for writer in sorted(set(self._records) | set(self._ends)):
            missing += self._missing_of(writer)
        records = [record for found in self._records.values() for record in found.values()]
        records.sort(key=lambda r: (r.wall_time_ms, r.sender.node_id, r.sequence))
        return Trail(records, missing)

    def _missing_of(self, writer: Writer) -> list[MissingRecords]:
        records = self._records.get(writer, {})
        named = [lost for lost in map(lost_range, records.values()) if lost is not None]
        missing = [MissingRecords(MissingKind.BUFFER_FULL, writer, lost) for lost in named]
        for lost in _holes(sorted(records), self._ends.get(writer), self._all_days):
            if not any(known.first <= lost.first and lost.last <= known.last for known in named):
                missing.append(MissingRecords(MissingKind.UNEXPLAINED, writer, lost))
        if writer not in self._ends:
            detail = f"it still runs, or records after {max(records, default=0)} are lost"
            missing.append(MissingRecords(MissingKind.NOT_CLOSED, writer, None, detail))
        return missing


def _holes(sequences: list[int], end: int | None, from_start: bool) -> list[LostRange]:
    """Return the ranges of sequence numbers that are absent."""
    known = ([0] if from_start else []) + sequences + ([end + 1] if end is not None else [])
    pairs = zip(known, known[1:], strict=False)
    return [LostRange(before + 1, after - 1) for before, after in pairs if after - before > 1]
