"""Emulate a backend server: key orders, request slots, a queue and faults."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from dataclasses import dataclass, field, replace

from nutmeglead.core.clock import Clock
from nutmeglead.emulator.key_server import KeyServer
from nutmeglead.emulator.notice_checker import NoticeChecker
from nutmeglead.forwarding.model import ServerNotice
from nutmeglead.http.exchange import CallerExchange, CallerLimits
from nutmeglead.http.messages import Headers, header_value
from nutmeglead.http.pipeline import PipelineServer
from nutmeglead.platform.grants import KeyOrder, decode_order
from nutmeglead.platform.notices import encode_notice
from nutmeglead.platform.wire import (
    ANSWER_ID_HEADER,
    DEADLINE_HEADER,
    GRANT_TARGET,
    KEY_HEADER,
    NOT_RUN_HEADER,
    RELEASE_TARGET,
    REQUEST_ID_HEADER,
    SERVER_ID_HEADER,
    SIGNATURE_HEADER,
    TARGET_SERVER_HEADER,
)

__all__ = ["ENTRY_HEADER", "ExecutionLog", "ServerHost", "ServerOptions"]

# Names the entry VM that an emulated caller has sent a request to.
ENTRY_HEADER = b"x-entry-vm"

LIMITS = CallerLimits(16_384, 16_777_216, 3_000, 15_000)
# An emulated answer that never comes; the caller's own timeout ends the request.
FOREVER_S = 86_400.0


@dataclass(frozen=True)
class ServerOptions:
    """Set the capacity of a server and the properties of its answers."""

    slots: int = 4
    queue: int = 8
    work_ms: float = 60.0
    answer_bytes: int = 200
    health_path: str = "/health"
    # Share of the requests that take `long_work_ms` instead.
    long_share: float = 0.0
    long_work_ms: float = 0.0


@dataclass
class ExecutionLog:
    """Record the requests that servers began to run, independently of what entry VMs report."""

    run_counts: Counter[str] = field(default_factory=Counter)
    # Time in ms, server id and request id of each execution.
    log: list[tuple[int, str, str]] = field(default_factory=list)
    # When each request arrived at the server that accepted it last, by its id.
    accepted_ms: dict[str, int] = field(default_factory=dict)

    def add(self, now_ms: int, server_id: str, request_id: str) -> None:
        """Record that a server begins to run a request."""
        self.run_counts[request_id] += 1
        self.log.append((now_ms, server_id, request_id))


class ServerHost:
    """Answer orders, health checks and requests of one server incarnation.

    Faults are set as attributes.
    """

    def __init__(
        self,
        keys: KeyServer,
        options: ServerOptions,
        executions: ExecutionLog,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self.keys = keys
        self.options = options
        self.has_keys = True
        self.is_healthy = True
        # Multiplies the duration of the work on a request.
        self.work_factor = 1.0
        # Shares of the executed requests whose answer is lost with the connection, or is a 500.
        self.lost_answer_share = 0.0
        self.error_share = 0.0
        # Share of the grants and releases that are applied seconds later and never answered.
        self.late_share = 0.0
        # Whether all answers state that the server is leaving, whatever its entry says.
        self.states_leaving = False
        # Share of the requests that are refused with 503, and the Retry-After time of these answers
        # and of those of a full server.
        self.shed_share = 0.0
        self.backoff_ms: int | None = None
        # Checks what senders do with the server's notices; `name` identifies this incarnation.
        self.notice_checker: NoticeChecker | None = None
        self.name = f"{keys.server_id}/{id(self):x}"
        self.in_flight = 0
        # The status of answers to orders for another server; servers without keys know no orders.
        self.misdirected_order_status = 421
        # Time in ms and id of each request that has arrived, refused ones included.
        self.arrivals: list[tuple[int, str]] = []
        # Time in ms of each order that has arrived.
        self.order_arrivals_ms: list[int] = []
        self._executions = executions
        self._clock = clock
        self._rng = rng
        self._slots = asyncio.Semaphore(options.slots)
        self._late_tasks: set[asyncio.Task[None]] = set()
        self._server = PipelineServer(self._answer, lambda: LIMITS, clock)

    async def start(self, ip: str, port: int) -> int:
        """Start listening, and return the port."""
        return await self._server.start(ip, port)

    async def stop(self) -> None:
        """Stop listening, end all connections, and cancel the orders that wait to be applied."""
        await self._server.close()
        self.cancel_late_orders()

    def cancel_late_orders(self) -> None:
        """Cancel the orders that wait to be applied, as the end of the process does."""
        for task in self._late_tasks:
            task.cancel()

    async def _answer(self, exchange: CallerExchange) -> None:
        target = exchange.head.target
        if target in (GRANT_TARGET, RELEASE_TARGET):
            await self._handle_order(exchange)
        elif target.decode() == self.options.health_path:
            status = 200 if self.is_healthy and not self.states_leaving else 503
            if self._is_misdirected(exchange.head.headers):
                status = 421
            headers = [(SERVER_ID_HEADER, self.keys.server_id.encode())]
            await self._respond(exchange, status, headers, b"")
        else:
            await self._handle_request(exchange)

    def _is_misdirected(self, headers: Headers) -> bool:
        """Return whether the headers name another server."""
        target = header_value(headers, TARGET_SERVER_HEADER)
        return target is not None and target.decode() != self.keys.server_id

    async def _respond(
        self, exchange: CallerExchange, status: int, headers: Headers, body: bytes
    ) -> None:
        """Send an answer with this server's notices, and tell the checker of them."""
        backoff_ms = self.backoff_ms if status == 503 else None
        notice = ServerNotice(self.states_leaving, backoff_ms)
        if self.notice_checker is not None:
            self.notice_checker.on_answer(self.name, _sender(exchange), notice)
        await exchange.respond(status, headers + encode_notice(notice), body)

    async def _handle_order(self, exchange: CallerExchange) -> None:
        head = exchange.head
        self.order_arrivals_ms.append(self._clock.now_ms())
        if self._is_misdirected(head.headers):
            await self._respond(exchange, self.misdirected_order_status, [], b"")
            return
        try:
            order = decode_order(bytes(exchange.body))
        except (ValueError, KeyError) as error:
            await self._respond(exchange, 400, [], str(error).encode())
            return
        if self._rng.random() < self.late_share:
            task = asyncio.get_running_loop().create_task(
                self._apply_order_later(head.target, order)
            )
            self._late_tasks.add(task)
            task.add_done_callback(self._late_tasks.discard)
            await asyncio.sleep(FOREVER_S)
        expected = header_value(head.headers, TARGET_SERVER_HEADER)
        expected_id = None if expected is None else expected.decode()
        status, headers = await self.keys.answer_order(head.target, expected_id, order)
        await self._respond(exchange, status, headers, b"")

    async def _apply_order_later(self, target: bytes, order: KeyOrder) -> None:
        """Apply an order 2 to 12 s later; its hold time still counts from its arrival."""
        delay_ms = round(self._rng.uniform(2_000, 12_000))
        await asyncio.sleep(delay_ms / 1000)
        if order.hold_ms is not None:
            order = replace(order, hold_ms=max(0, order.hold_ms - delay_ms))
        await self.keys.answer_order(target, None, order)

    async def _handle_request(self, exchange: CallerExchange) -> None:
        headers = exchange.head.headers
        request_id = header_value(headers, REQUEST_ID_HEADER) or b""
        self.arrivals.append((self._clock.now_ms(), request_id.decode()))
        if self.notice_checker is not None:
            self.notice_checker.on_request(self.name, _sender(exchange))
        status = self._refusal_status(headers)
        if status is not None:
            refusal_headers = [(ANSWER_ID_HEADER, request_id), (NOT_RUN_HEADER, b"1")]
            await self._respond(exchange, status, refusal_headers, b"")
            return
        self._executions.accepted_ms[request_id.decode()] = self._clock.now_ms()
        self.in_flight += 1
        try:
            async with self._slots:
                await self._execute(exchange, request_id)
        finally:
            self.in_flight -= 1

    def _refusal_status(self, headers: Headers) -> int | None:
        """Return the status with which a request is refused before it runs, or None to run it."""
        if self._is_misdirected(headers):
            return 421
        key = header_value(headers, KEY_HEADER)
        if self.has_keys and (key is None or not self.keys.holds_key(int(key))):
            return 421
        is_full = self.in_flight >= self.options.slots + self.options.queue
        if is_full or self._rng.random() < self.shed_share:
            return 503
        return None

    async def _execute(self, exchange: CallerExchange, request_id: bytes) -> None:
        deadline_ms = int(header_value(exchange.head.headers, DEADLINE_HEADER) or b"60000")
        self._executions.add(self._clock.now_ms(), self.keys.server_id, request_id.decode())
        mean_ms = self.options.work_ms
        if self.options.long_share and self._rng.random() < self.options.long_share:
            mean_ms = self.options.long_work_ms
        work_ms = self._rng.expovariate(1 / mean_ms) * 0.3 + 0.7 * mean_ms
        await asyncio.sleep(min(work_ms * self.work_factor, deadline_ms) / 1000)
        headers = [(ANSWER_ID_HEADER, request_id), (SIGNATURE_HEADER, b"signed:" + request_id)]
        if self._rng.random() < self.lost_answer_share:
            exchange.abort()
            return
        if self._rng.random() < self.error_share:
            await self._respond(exchange, 500, headers, b"error")
            return
        body = b"%s of %s;" % (request_id, self.keys.server_id.encode())
        await self._respond(exchange, 200, headers, body.ljust(self.options.answer_bytes, b"."))


def _sender(exchange: CallerExchange) -> str:
    """Return the entry VM that a request or an order comes from.

    Behind a proxy, emulated callers name it.
    """
    named = header_value(exchange.head.headers, ENTRY_HEADER)
    return exchange.peer_ip if named is None else named.decode()
