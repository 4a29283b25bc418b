"""Carry out the decisions of a controller machine with real messages."""

import asyncio
import logging
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

from result import Err, Ok

from nutmeglead._generated.common.ttypes import Address
from nutmeglead._generated.messages.ttypes import (
    AssignReply,
    AuditKind,
    AuditRecord,
    MessageType,
    PlacementPage,
    StoppedReply,
)
from nutmeglead.audit.buffer import AuditBuffer
from nutmeglead.controller.decisions import (
    Commit,
    CommitTag,
    Decision,
    ProbeServer,
    ReadRows,
    RecordAudit,
    SendAssign,
    SendGrants,
    SendRelease,
    SendStop,
)
from nutmeglead.controller.machine import ControllerMachine
from nutmeglead.core.clock import Clock
from nutmeglead.core.codec import decode
from nutmeglead.core.events import Event, log_event
from nutmeglead.core.ids import NodeId, ServerId
from nutmeglead.platform.errors import TableAnswerLost
from nutmeglead.platform.ports import BackendControl, Row, TableStore
from nutmeglead.rpc.client import RpcClient

__all__ = ["DecisionExecutor", "ExecutorParts"]

logger = logging.getLogger(__name__)

# During an outage of the table service, rows are read again this often.
READ_RETRY_MS = 250
RPC_TIMEOUT_MS = 250

_LEASE_EVENTS = {
    AuditKind.LEASE_BEGUN: Event.LEASE_BEGUN,
    AuditKind.LEASE_ENDED: Event.LEASE_ENDED,
}


class ExecutorParts:
    """Hold what the decisions of all services are carried out with."""

    def __init__(
        self,
        table: TableStore,
        backend: BackendControl,
        rpc: RpcClient,
        audit: AuditBuffer,
        clock: Clock,
        address_of: Callable[[NodeId], Address | None],
        publish: Callable[[PlacementPage], None],
    ) -> None:
        self.table = table
        self.backend = backend
        self.rpc = rpc
        self.audit = audit
        self.clock = clock
        self.address_of = address_of
        self.publish = publish


class DecisionExecutor:
    """Run each decision as a task and report its result to the machine."""

    def __init__(
        self,
        machine: ControllerMachine,
        parts: ExecutorParts,
        wake: Callable[[], None],
        on_conflict: Callable[[], Awaitable[None]],
    ) -> None:
        self._machine = machine
        self._parts = parts
        self._wake = wake
        self._on_conflict = on_conflict
        self._tasks: set[asyncio.Task[None]] = set()
        self._is_reading = False
        self._actions: dict[type, Callable[[Any], Coroutine[Any, Any, None]]] = {
            ProbeServer: self._probe,
            Commit: self._commit,
            ReadRows: self._read_rows,
            SendAssign: self._assign,
            SendStop: self._stop,
            SendGrants: self._set_grants,
            SendRelease: self._release,
        }

    def carry_out(self, decisions: list[Decision]) -> None:
        """Start the decisions."""
        for decision in decisions:
            if isinstance(decision, RecordAudit):
                decision.record.wall_time_ms = self._parts.clock.wall_ms()
                self._parts.audit.append(decision.record)
                _log_lease(decision.record)
            elif not (isinstance(decision, ReadRows) and self._is_reading):
                self._start(self._actions[type(decision)](decision))

    async def close(self) -> None:
        """Cancel what is under way; the machine is not used any more."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _start(self, action: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(action)
        self._tasks.add(task)
        task.add_done_callback(self._finish)

    def _finish(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            logger.error("a decision could not be carried out", exc_info=task.exception())
        self._wake()

    def _now_ms(self) -> int:
        return self._parts.clock.now_ms()

    async def _probe(self, decision: ProbeServer) -> None:
        sent_ms = self._now_ms()
        reply = await self._parts.backend.renew(decision.address, decision.message)
        if isinstance(reply, Ok):
            self._machine.on_probe_reply(
                decision.server_id, decision.message, reply.ok_value, sent_ms, self._now_ms()
            )

    async def _set_grants(self, decision: SendGrants) -> None:
        sent_ms = self._now_ms()
        reply = await self._parts.backend.set_grants(decision.address, decision.message)
        if isinstance(reply, Ok):
            epoch = decision.message.lease_epoch
            self._machine.on_grant_reply(
                decision.server_id, epoch, reply.ok_value, sent_ms, self._now_ms()
            )

    async def _release(self, decision: SendRelease) -> None:
        reply = await self._parts.backend.release(decision.address, decision.message)
        if isinstance(reply, Ok):
            self._machine.on_release_reply(
                decision.server_id, decision.message, reply.ok_value, self._now_ms()
            )

    async def _assign(self, decision: SendAssign) -> None:
        address = self._parts.address_of(decision.node_id)
        if address is None:
            return
        reply = await self._parts.rpc.call(
            address, MessageType.ASSIGN_RENEWER, decision.message, AssignReply, RPC_TIMEOUT_MS
        )
        if isinstance(reply, Ok):
            server_id = ServerId(decision.message.server_id)
            self._machine.on_assign_reply(server_id, reply.ok_value, self._now_ms())

    async def _stop(self, decision: SendStop) -> None:
        address = self._parts.address_of(decision.node_id)
        if address is None:
            return
        reply = await self._parts.rpc.call(
            address, MessageType.STOP_RENEWING, decision.message, StoppedReply, RPC_TIMEOUT_MS
        )
        if isinstance(reply, Ok):
            self._machine.on_stopped(reply.ok_value, self._now_ms())

    async def _commit(self, decision: Commit) -> None:
        done = await self._parts.table.commit(decision.checks, decision.writes)
        if isinstance(done, Ok):
            self._machine.on_committed(decision.tag, done.ok_value, self._now_ms())
            if decision.tag is CommitTag.PAGES:
                self._publish(decision)
            return
        error = done.err_value
        is_lost = isinstance(error, TableAnswerLost)
        event = Event.TABLE_ANSWER_LOST if is_lost else Event.TABLE_UNAVAILABLE
        log_event(logger, event, service=self._machine.service_name, error=str(error))
        self._machine.on_commit_failed(decision.tag, self._now_ms())
        await self._on_conflict()

    def _publish(self, decision: Commit) -> None:
        for write in decision.writes:
            page = decode(PlacementPage, write.value or b"").unwrap()
            self._parts.publish(page)
        log_event(
            logger,
            Event.UNITS_MOVED,
            service=self._machine.service_name,
            pages=len(decision.writes),
        )

    async def _read_rows(self, decision: ReadRows) -> None:
        self._is_reading = True
        try:
            rows: list[Row] = []
            for key in decision.keys:
                read = await self._parts.table.read(key)
                if isinstance(read, Err):
                    await asyncio.sleep(READ_RETRY_MS / 1000)
                    return
                if read.ok_value is not None:
                    rows.append(read.ok_value)
            self._machine.on_rows_read(decision.keys, rows, self._now_ms())
            for key in decision.keys:
                page = self._machine.placer.pages.get(key)
                if page is not None:
                    self._parts.publish(page)
        finally:
            self._is_reading = False


def _log_lease(record: AuditRecord) -> None:
    """Log the begin and the end of a lease, by which an operator recognizes a lost server."""
    event = _LEASE_EVENTS.get(record.kind)
    if event is not None:
        log_event(
            logger,
            event,
            service=record.service_name,
            server=record.subject,
            evidence=record.evidence,
        )
