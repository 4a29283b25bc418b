"""Be the one way to servers that do not check grants, and hold their leases and grants for them."""

import itertools
import logging
import random
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

from result import Err, Ok, Result

from nutmeglead._generated.common.ttypes import Address
from nutmeglead._generated.messages.ttypes import (
    OrderStatus,
    ReleaseUnits,
    RenewLease,
    RenewStatus,
    SetGrants,
)
from nutmeglead._generated.settings.ttypes import ServiceSettings
from nutmeglead.core.codec import decode, encode
from nutmeglead.core.errors import CodecError
from nutmeglead.core.ids import Epoch, FailureDomainName, Incarnation, ServiceName
from nutmeglead.core.outcome import Outcome
from nutmeglead.http.errors import HttpError
from nutmeglead.http.messages import RequestHead, header_value
from nutmeglead.http.server import ServerExchange
from nutmeglead.ownership.errors import Refusal
from nutmeglead.ownership.holder import GrantHolder, RunTicket
from nutmeglead.platform.http_backend import CONTROL_PREFIX
from nutmeglead.routing.answers import render_error
from nutmeglead.routing.body import RequestBody
from nutmeglead.routing.delivery import Delivery, DeliveryState
from nutmeglead.routing.errors import RequestError, ServerUnreachable
from nutmeglead.routing.exchange import BackendConnection, Exchange, ExchangeState
from nutmeglead.routing.inbound import InboundRequest, parse_request, server_head
from nutmeglead.routing.pool import ConnectionPool, Connector, connect_tcp
from nutmeglead.routing.sources import BackendAddress
from nutmeglead.routing.timers import Timers

__all__ = ["GateService"]

logger = logging.getLogger(__name__)

# A request that got no answer may run at the server until its deadline, which the server measures
# from when the request arrived; this much is added for the way there and for clock drift.
RUN_END_MARGIN_MS = 100

_ORDERS: Mapping[str, type] = {
    "renew": RenewLease,
    "grants": SetGrants,
    "release": ReleaseUnits,
}


@dataclass
class _GateRun:
    """Hold one request that passes the gate."""

    request: InboundRequest
    holder: GrantHolder
    ticket: RunTicket
    server: str
    address: BackendAddress


class _GateAnswer:
    """Give the server's answer to a delivery."""

    is_from_gate = False

    def __init__(self, exchange: Exchange) -> None:
        self._exchange = exchange

    async def read_body(self) -> Result[bytes, RequestError]:
        return await self._exchange.read_body()

    def begin_streaming(self) -> None:
        self._exchange.begin_streaming()

    def close(self) -> None:
        pass


class GateService:
    """Handle the requests of all routers, this one included, for the servers behind this gate.

    A holder's unit counts as released only when no request in it can run at the server any more:
    each answered request has ended, and each unanswered one is past its deadline.
    """

    def __init__(
        self,
        services: Mapping[str, ServiceSettings],
        server_address: Callable[[ServiceName, str], Address | None],
        timers: Timers,
        rng: random.Random,
        connector: Connector = connect_tcp,
    ) -> None:
        self._services = {n: s for n, s in services.items() if not s.checks_grants}
        self._server_address = server_address
        self._timers = timers
        self._pool = ConnectionPool(connector)
        # Each start of this process is a new incarnation of every holder.
        self._incarnation_suffix = f"{rng.getrandbits(64):016x}"
        self._holders: dict[str, GrantHolder] = {}
        self._request_ids = itertools.count(1)
        self._is_stopping = False
        # Holders that have told a renewer or a controller that they hold nothing any more.
        self._let_go: set[str] = set()

    async def handle(self, exchange: ServerExchange) -> None:
        """Answer a control message or a request."""
        target = exchange.head.target.decode("latin-1")
        if target.startswith(CONTROL_PREFIX):
            await self._control(exchange, target[len(CONTROL_PREFIX) :])
        else:
            await self._request(exchange)

    def begin_stop(self) -> None:
        """Admit nothing more; renewals are refused once no request can run any more."""
        self._is_stopping = True

    def has_let_go(self) -> bool:
        """Tell whether no request behind the gate can run any more and others were told so."""
        if any(holder.runs_in_flight() for holder in self._holders.values()):
            return False
        now_ms = self._timers.clock.now_ms()
        leased = {n for n, h in self._holders.items() if h.lease_end_ms(now_ms) is not None}
        return leased <= self._let_go

    def close(self) -> None:
        """Close the idle connections to the servers."""
        self._pool.close()

    # ---- control messages ----

    async def _control(self, exchange: ServerExchange, operation: str) -> None:
        body = bytearray()
        while data := await exchange.read_body():
            body += data
        message_type = _ORDERS.get(operation)
        if message_type is None:
            await exchange.respond(404, [], b"")
            return
        decoded: Result[Any, CodecError] = decode(message_type, bytes(body))
        if isinstance(decoded, Err) or not self._is_known(decoded.ok_value.holder_name or ""):
            await exchange.respond(400, [], b"")
            return
        message = decoded.ok_value
        holder = self._holder(message.holder_name)
        reply = self._order(operation, holder, message)
        if self._is_stopping and holder.runs_in_flight():
            # A refusal would tell the controller that nothing runs any more.
            await exchange.respond(503, [], b"")
            return
        if self._is_stopping:
            self._let_go.add(message.holder_name)
        await exchange.respond(200, [], encode(reply))

    def _order(self, operation: str, holder: GrantHolder, message: Any) -> Any:
        now_ms = self._timers.clock.now_ms()
        if operation == "renew":
            renewed = holder.renew(message, now_ms)
            if self._is_stopping:
                renewed.status = RenewStatus.LAPSED
            return renewed
        if operation == "grants":
            granted = holder.set_grants(message, now_ms)
            if self._is_stopping:
                granted.status = OrderStatus.LAPSED
            return granted
        return holder.begin_release(message, now_ms)

    def _is_known(self, name: str) -> bool:
        service_name, _, server_id = name.partition("/")
        return service_name in self._services and bool(server_id)

    def _holder(self, name: str) -> GrantHolder:
        if name not in self._holders:
            self._holders[name] = GrantHolder(Incarnation(f"{name}@{self._incarnation_suffix}"))
        return self._holders[name]

    # ---- requests ----

    async def _request(self, exchange: ServerExchange) -> None:
        admitted = self._admit(exchange.head)
        if isinstance(admitted, Err):
            await _refuse(exchange, admitted.err_value)
            return
        run = admitted.ok_value
        stall_ms = int(run.request.service.request_timeout_ms)
        outbound = Exchange(self._timers, run.request.deadline_ms, stall_ms)
        try:
            await self._forward(exchange, run, outbound)
        finally:
            self._end(run, outbound)

    def _end(self, run: _GateRun, outbound: Exchange) -> None:
        """Give the connection back, and end the run when nothing can run at the server any more."""
        connection = outbound.connection
        may_run = outbound.state is not ExchangeState.DONE
        may_run = may_run and connection is not None and connection.bytes_written > 0
        if connection is not None:
            limit = int(run.request.service.connections_per_instance)
            self._pool.give_back(run.server, run.address, connection, outbound.finish(), limit)
        if not may_run:
            run.holder.finish(run.ticket)
            return
        end_ms = run.request.deadline_ms + RUN_END_MARGIN_MS
        self._timers.call_at(end_ms, lambda: run.holder.finish(run.ticket))

    def _admit(self, head: RequestHead) -> Result[_GateRun, str]:
        now_ms = self._timers.clock.now_ms()
        name = (header_value(head.headers, b"nutmeglead-server") or b"").decode("latin-1")
        service_name, _, server_id = name.partition("/")
        parsed = parse_request(next(self._request_ids), head, self._services, now_ms)
        if isinstance(parsed, Err) or parsed.ok_value.service_name != service_name:
            return Err("malformed")
        address = self._server_address(ServiceName(service_name), server_id)
        holder = self._holders.get(name)
        if self._is_stopping or holder is None or address is None:
            return Err("not-owner")
        epoch = header_value(head.headers, b"nutmeglead-epoch") or b""
        if not epoch.isdigit():
            return Err("malformed")
        admitted = holder.admit(parsed.ok_value.key, Epoch(int(epoch)), now_ms)
        if isinstance(admitted, Err):
            refusal: Refusal = admitted.err_value
            return Err(refusal.reason)
        target = BackendAddress(address.ip, address.port, FailureDomainName(""))
        return Ok(_GateRun(parsed.ok_value, holder, admitted.ok_value, name, target))

    async def _forward(self, exchange: ServerExchange, run: _GateRun, outbound: Exchange) -> None:
        """Pass the request on and the answer back."""
        request = run.request
        body = RequestBody(exchange, request)

        async def connect() -> Result[BackendConnection, RequestError]:
            limit = int(request.service.connections_per_instance)
            opened = await self._pool.acquire(run.server, run.address, limit)
            # The lease may have ended while the connection was opened.
            if run.holder.may_commit(run.ticket, self._timers.clock.now_ms()):
                return opened
            if isinstance(opened, Ok):
                self._pool.give_back(run.server, run.address, opened.ok_value, True, limit)
            return Err(ServerUnreachable("the gate's lease has ended"))

        def make_head() -> RequestHead:
            now_ms = self._timers.clock.now_ms()
            return server_head(request, run.ticket.epoch, now_ms, body.length)

        answered = await outbound.run(connect, make_head, body.source())
        if isinstance(answered, Err):
            await _answer_failure(exchange, answered.err_value)
            return
        delivery = Delivery(exchange, request, self._timers)
        failure = await delivery.answer(_GateAnswer(outbound), answered.ok_value)
        if failure is not None and delivery.state is DeliveryState.NOTHING:
            await _answer_failure(exchange, failure)


async def _refuse(exchange: ServerExchange, reason: str) -> None:
    """Answer that the request was not run, as a server that checks grants does."""
    await exchange.respond(421, [(b"nutmeglead-refusal", reason.encode())], b"")


async def _answer_failure(exchange: ServerExchange, error: RequestError) -> None:
    status, headers, body = render_error(error)
    if error.outcome is Outcome.NOT_RUN:
        # The router that sent the request may try again elsewhere.
        status = 503
        headers = [*headers, (b"nutmeglead-refusal", error.kind.encode())]
    try:
        await exchange.respond(status, headers, body)
    except HttpError:
        exchange.abort()
