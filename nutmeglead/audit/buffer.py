"""Keep audit records in a bounded buffer until the object store has them."""

import asyncio
import json
from collections import deque
from dataclasses import dataclass
from datetime import UTC, datetime

from result import Err, Ok, Result

from nutmeglead._generated.common.ttypes import Sender
from nutmeglead._generated.messages.ttypes import AuditRecord
from nutmeglead._generated.settings.ttypes import AuditSettings
from nutmeglead.audit.records import AuditContext, LostRange, records_lost, to_json_line
from nutmeglead.core.clock import Clock
from nutmeglead.core.ids import ServiceName
from nutmeglead.platform.errors import ObjectStoreUnavailable
from nutmeglead.platform.ports import ObjectStore

__all__ = ["AUDIT_PREFIX", "AuditBuffer", "batch_name", "end_name"]

AUDIT_PREFIX = "audit/"

# Object names sort by sequence number up to a million million records of one incarnation.
_SEQUENCE_DIGITS = 12


@dataclass(frozen=True)
class _Entry:
    sequence: int
    wall_time_ms: int
    line: bytes


@dataclass(frozen=True)
class _Batch:
    name: str
    body: bytes
    count: int


def batch_name(sender: Sender, wall_time_ms: int, first: int, last: int) -> str:
    """Return the name of the object with the given sequence numbers; names begin with the day."""
    numbers = f"{first:0{_SEQUENCE_DIGITS}}-{last:0{_SEQUENCE_DIGITS}}"
    return f"{_directory(sender, wall_time_ms)}/{numbers}.jsonl"


def end_name(sender: Sender, wall_time_ms: int) -> str:
    """Return the name of the object that states the last sequence number of an incarnation."""
    return f"{_directory(sender, wall_time_ms)}/end.json"


def _directory(sender: Sender, wall_time_ms: int) -> str:
    day = datetime.fromtimestamp(wall_time_ms / 1000, UTC).date().isoformat()
    return f"{AUDIT_PREFIX}{day}/{sender.node_id}/{sender.incarnation}"


class AuditBuffer:
    """Number records, batch them and put the batches to the object store.

    Records that find the buffer full are dropped. Their sequence numbers stay unused, and the flush
    that first makes room adds a GAP record that names them.
    """

    def __init__(
        self, store: ObjectStore, settings: AuditSettings, sender: Sender, clock: Clock
    ) -> None:
        self._store = store
        self._settings = settings
        self._sender = sender
        self._clock = clock
        self._entries: deque[_Entry] = deque()
        self._sequence = 0
        self._lost: LostRange | None = None
        self._batch: _Batch | None = None
        # Two flushes at once would drop a batch's entries twice.
        self._flush_lock = asyncio.Lock()

    @property
    def waiting_count(self) -> int:
        """Count the records that the object store does not have yet."""
        return len(self._entries)

    @property
    def lost(self) -> LostRange | None:
        """Return the lost records that no GAP record names yet."""
        return self._lost

    def append(self, record: AuditRecord) -> bool:
        """Number and keep a record; return False if it was dropped because the buffer is full."""
        if self._lost is None and self._room() >= 1:
            self._keep(record)
            return True
        self._sequence += 1
        first = self._sequence if self._lost is None else self._lost.first
        self._lost = LostRange(first, self._sequence)
        return False

    async def flush(self) -> Result[int, ObjectStoreUnavailable]:
        """Put all records that wait, batch by batch; return how many were put.

        At a fault the rest waits for the next flush. A batch whose put failed is repeated with the
        same name and bytes, because the failed put may have taken effect.
        """
        async with self._flush_lock:
            return await self._flush()

    async def close(self) -> Result[int, ObjectStoreUnavailable]:
        """Flush, and state the last sequence number, so that a reader can tell what is missing."""
        flushed = await self.flush()
        if isinstance(flushed, Err):
            return flushed
        name = end_name(self._sender, self._clock.wall_ms())
        body = json.dumps({"last_sequence": self._sequence}).encode()
        done = await self._store.put(name, body)
        return done if isinstance(done, Err) else flushed

    async def _flush(self) -> Result[int, ObjectStoreUnavailable]:
        put_count = 0
        while self._entries or self._lost:
            if self._lost is not None and self._room() >= 1:
                self._record_loss(self._lost)
            batch = self._batch = self._batch or self._next_batch()
            done = await self._store.put(batch.name, batch.body)
            if isinstance(done, Err):
                return done
            self._batch = None
            for _ in range(batch.count):
                self._entries.popleft()
            put_count += batch.count
        return Ok(put_count)

    def _room(self) -> int:
        return int(self._settings.buffer_max_records) - len(self._entries)

    def _keep(self, record: AuditRecord) -> None:
        self._sequence += 1
        record.sequence = self._sequence
        # Pure machines have no clock and leave the wall time at 0.
        record.wall_time_ms = record.wall_time_ms or self._clock.wall_ms()
        self._entries.append(_Entry(self._sequence, record.wall_time_ms, to_json_line(record)))

    def _record_loss(self, lost: LostRange) -> None:
        context = AuditContext(self._sender, self._clock.wall_ms(), ServiceName(""))
        self._keep(records_lost(context, lost, "the buffer was full"))
        self._lost = None

    def _next_batch(self) -> _Batch:
        count = min(len(self._entries), self._settings.batch_max_records)
        entries = [self._entries[position] for position in range(count)]
        first, last = entries[0], entries[-1]
        name = batch_name(self._sender, first.wall_time_ms, first.sequence, last.sequence)
        return _Batch(name, b"".join(entry.line for entry in entries), count)
