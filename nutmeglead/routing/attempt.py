"""Make one attempt at a request: take a slot and a connection, run the exchange, give both back."""

from collections.abc import Callable
from dataclasses import dataclass

from result import Err, Ok, Result

from nutmeglead.core.ids import ServerId
from nutmeglead.http.messages import RequestHead, ResponseHead
from nutmeglead.ownership.server_rows import holder_name
from nutmeglead.routing.admission import QueuedRequest
from nutmeglead.routing.body import RequestBody
from nutmeglead.routing.errors import RequestError, ServerRefused
from nutmeglead.routing.exchange import BackendConnection, Exchange, ExchangeState
from nutmeglead.routing.inbound import InboundRequest, server_head
from nutmeglead.routing.pool import ConnectionPool
from nutmeglead.routing.servers import ServiceServers
from nutmeglead.routing.slots import SlotQueue
from nutmeglead.routing.sources import BackendAddress, RouteAssignment
from nutmeglead.routing.timers import Timers

__all__ = ["Attempt", "AttemptTarget", "RouterParts"]

# The body of a refusal is short; reading it keeps the connection for the next request.
MAX_REFUSAL_BODY_BYTES = 4096


@dataclass(frozen=True)
class RouterParts:
    """Group what all attempts share."""

    timers: Timers
    pool: ConnectionPool
    slots: SlotQueue


@dataclass(frozen=True)
class AttemptTarget:
    """Name the server of an attempt and the assignment that it relies on."""

    assignment: RouteAssignment
    server_id: ServerId
    address: BackendAddress


class Attempt:
    """Hold a slot and a connection from `open` to `close`; `close` must always be called."""

    def __init__(
        self,
        parts: RouterParts,
        servers: ServiceServers,
        request: InboundRequest,
        body: RequestBody,
        target: AttemptTarget,
        attempt_id: int,
    ) -> None:
        self._parts = parts
        self._servers = servers
        self._request = request
        self._body = body
        self.target = target
        self._queued = QueuedRequest(
            attempt_id,
            request.service_name,
            target.assignment.unit,
            target.server_id,
            request.deadline_ms,
            body.size_bytes,
        )
        stall_ms = int(request.service.request_timeout_ms)
        self.exchange = Exchange(parts.timers, request.deadline_ms, stall_ms)
        self._has_slot = False
        self._started_ms = 0
        self._error: RequestError | None = None

    @property
    def is_written(self) -> bool:
        """Tell whether the whole request was sent and its answer is awaited."""
        return self.exchange.state is ExchangeState.WAIT

    async def open(self, is_current: Callable[[], bool]) -> Result[ResponseHead, RequestError]:
        """Wait for a slot, send the request and return the head of the answer.

        `is_current` tells whether the target still owns the key.
        """
        granted = await self._parts.slots.acquire(self._queued, is_current)
        if isinstance(granted, Err):
            return granted
        self._has_slot = True
        self._started_ms = self._parts.timers.clock.now_ms()
        answered = await self.exchange.run(self._connect, self._make_head, self._body.source())
        if isinstance(answered, Ok):
            return answered
        self._error = answered.err_value
        if isinstance(self._error, ServerRefused):
            await self.exchange.drain(MAX_REFUSAL_BODY_BYTES)
        return answered

    async def _connect(self) -> Result[BackendConnection, RequestError]:
        max_count = self._servers.max_connections(self._parts.timers.clock.now_ms())
        return await self._parts.pool.acquire(self._queued.server, self.target.address, max_count)

    def _make_head(self) -> RequestHead:
        now_ms = self._parts.timers.clock.now_ms()
        head = server_head(self._request, self.target.assignment.epoch, now_ms, self._body.length)
        if self.target.address.is_gate:
            # A gate stands for several servers.
            name = holder_name(self._request.service_name, self.target.server_id)
            head.headers.append((b"nutmeglead-server", name.encode()))
        return head

    @property
    def is_from_gate(self) -> bool:
        """Tell whether the answer comes from a router that stands for the server."""
        return self.target.address.is_gate

    async def read_body(self) -> Result[bytes, RequestError]:
        """Return the next part of the answer's body, or b"" at its end."""
        part = await self.exchange.read_body()
        if isinstance(part, Err):
            self._error = part.err_value
        return part

    def begin_streaming(self) -> None:
        """Let the rest of the body take longer than the deadline, as long as bytes come."""
        self.exchange.begin_streaming()

    def close(self, cancelled: bool = False) -> None:
        """Give back the connection and the slot; a second call has no effect."""
        if not self._has_slot:
            return
        self._has_slot = False
        now_ms = self._parts.timers.clock.now_ms()
        connection = self.exchange.connection
        if connection is not None:
            clean = self.exchange.finish()
            max_count = self._servers.max_connections(now_ms)
            self._parts.pool.give_back(
                self._queued.server, self.target.address, connection, clean, max_count
            )
        duration_ms = now_ms - self._started_ms
        self._servers.finish(self.target.server_id, self._error, duration_ms, now_ms, cancelled)
        is_sample = self._error is None and not cancelled
        self._parts.slots.release(self._queued, duration_ms if is_sample else None)
