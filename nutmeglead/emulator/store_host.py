"""Serve the emulated store over HTTP, with the faults of the platform's store."""

from __future__ import annotations

import asyncio
import json
from enum import Enum

from nutmeglead.core.clock import Clock
from nutmeglead.emulator.rows import RowStore
from nutmeglead.http.exchange import CallerExchange, CallerLimits
from nutmeglead.http.pipeline import PipelineServer
from nutmeglead.platform.wire import STORE_TRANSACT_PATH

__all__ = ["StoreFault", "StoreHost"]

LIMITS = CallerLimits(16_384, 2_000_000, 3_000, 60_000)
# An emulated answer that never comes; the caller's own timeout ends the call.
FOREVER_S = 86_400.0


class StoreFault(Enum):
    """Select how the store treats a call: answer, never answer, or refuse with 503."""

    NONE = "none"
    SILENT = "silent"
    BUSY = "busy"


class StoreHost:
    """Answer store calls from a row store; attributes set the faults."""

    def __init__(self, rows: RowStore, clock: Clock) -> None:
        self.rows = rows
        self.fault = StoreFault.NONE
        # Fault for the calls of a host by its IP address, in force while `fault` is NONE.
        self.faults_by_ip: dict[str, StoreFault] = {}
        # Added to the duration of each answered call, and to that of each answered transaction.
        self.delay_ms = 0
        self.transaction_delay_ms = 0
        # Number of next transactions that are applied but not answered.
        self.lost_answers = 0
        # Transactions that write to this table are applied after a delay, and never answered.
        self.unanswered_table: str | None = None
        self.unanswered_delay_ms = 0
        self.unanswered_count = 0
        self._late_tasks: set[asyncio.Task[None]] = set()
        self._server = PipelineServer(self._answer, lambda: LIMITS, clock)

    async def start(self, ip: str, port: int) -> int:
        """Start listening, and return the port."""
        return await self._server.start(ip, port)

    async def stop(self) -> None:
        """Stop listening, and end all connections at once."""
        await self._server.close()

    async def _answer(self, exchange: CallerExchange) -> None:
        fault = self.fault
        if fault is StoreFault.NONE:
            fault = self.faults_by_ip.get(exchange.peer_ip, StoreFault.NONE)
        if fault is StoreFault.SILENT:
            await asyncio.sleep(FOREVER_S)
        if fault is StoreFault.BUSY:
            await exchange.respond(503, self.rows.headers(), b"{}")
            return
        await asyncio.sleep(self.delay_ms / 1000)
        head = exchange.head
        target = head.target.decode()
        if target == STORE_TRANSACT_PATH:
            await asyncio.sleep(self.transaction_delay_ms / 1000)
        if target == STORE_TRANSACT_PATH and self._is_unanswered(bytes(exchange.body)):
            self._apply_later(bytes(exchange.body))
            await asyncio.sleep(FOREVER_S)
        status, body = await self.rows.answer(head.method.decode(), target, bytes(exchange.body))
        if self.lost_answers and target == STORE_TRANSACT_PATH:
            self.lost_answers -= 1
            await asyncio.sleep(FOREVER_S)
        await exchange.respond(status, self.rows.headers(), body)

    def _is_unanswered(self, transaction: bytes) -> bool:
        written = json.loads(transaction)["set_keys"]
        return any(row["table"] == self.unanswered_table for row in written)

    def _apply_later(self, transaction: bytes) -> None:
        """Apply a transaction after the delay, also if its connection is closed by then."""
        self.unanswered_count += 1
        task = asyncio.get_running_loop().create_task(self._apply(transaction))
        self._late_tasks.add(task)
        task.add_done_callback(self._late_tasks.discard)

    async def _apply(self, transaction: bytes) -> None:
        await asyncio.sleep(self.unanswered_delay_ms / 1000)
        await self.rows.answer("POST", STORE_TRANSACT_PATH, transaction)
