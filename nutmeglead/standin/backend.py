"""Serve one service of one user as a backend server that checks grants."""

import asyncio
import json
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any
from urllib.parse import unquote

from result import Err, Ok, Result

from nutmeglead._generated.messages.ttypes import ReleaseUnits, RenewLease, SetGrants
from nutmeglead._generated.settings.ttypes import ServiceSettings
from nutmeglead.core.clock import Clock
from nutmeglead.core.codec import decode, encode
from nutmeglead.core.errors import CodecError
from nutmeglead.core.ids import Epoch, Incarnation
from nutmeglead.http.messages import header_value
from nutmeglead.http.server import HttpServer, ServerExchange
from nutmeglead.ownership.errors import Refusal
from nutmeglead.ownership.holder import GrantHolder, RunTicket
from nutmeglead.platform.http_backend import CONTROL_PREFIX
from nutmeglead.standin.ledger import Run, RunLedger

__all__ = ["BackendOptions", "BackendStandin"]

CHUNK_BYTES = 65_536


@dataclass(frozen=True)
class BackendOptions:
    """Set how a backend stand-in behaves."""

    server_id: str
    service_time_ms: float = 2.0
    large_body_bytes: int = 0
    # Requests that wait for a slot beyond this many are shed.
    max_waiting: int = 32


class BackendStandin:
    """Run requests under grants, with slots, freezes, drains and restarts."""

    def __init__(
        self,
        options: BackendOptions,
        service: ServiceSettings,
        ledger: RunLedger,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self.options = options
        self.is_slow_by = 1.0
        self._service = service
        self._ledger = ledger
        self._clock = clock
        self._rng = rng
        self._restart_count = 0
        self.holder = self._new_holder()
        self._slots = asyncio.Semaphore(service.slots_per_instance)
        self._waiting = 0
        self._thawed = asyncio.Event()
        self._thawed.set()
        self._server = HttpServer(self._handle)

    async def start(self, ip: str, port: int) -> int:
        """Listen and return the port."""
        return await self._server.start(ip, port)

    async def stop(self, grace_ms: int) -> int:
        """Drain and stop; return how many exchanges were cut off."""
        return await self._server.stop(grace_ms)

    @property
    def is_frozen(self) -> bool:
        """Tell whether the server answers nothing."""
        return not self._thawed.is_set()

    def freeze(self) -> None:
        """Stop answering; time goes on."""
        self._thawed.clear()

    def thaw(self) -> None:
        """Go on as if nothing had happened."""
        self._thawed.set()

    def restart(self) -> None:
        """Forget the lease and the grants under a new incarnation."""
        self.holder = self._new_holder()

    def _new_holder(self) -> GrantHolder:
        self._restart_count += 1
        return GrantHolder(Incarnation(f"{self.options.server_id}#{self._restart_count}"))

    async def _handle(self, exchange: ServerExchange) -> None:
        body = bytearray()
        while data := await exchange.read_body():
            body += data
        await self._thawed.wait()
        target = exchange.head.target.decode("latin-1")
        if target.startswith(CONTROL_PREFIX):
            await self._control(exchange, target[len(CONTROL_PREFIX) :], bytes(body))
        elif target == "/load":
            load = {"waiting": self._waiting, "running": self.holder.runs_in_flight()}
            await exchange.respond(200, [], json.dumps(load).encode())
        else:
            await self._request(exchange, target, bytes(body))

    async def _control(self, exchange: ServerExchange, operation: str, body: bytes) -> None:
        orders: dict[str, tuple[type, Callable[[Any, int], object]]] = {
            "renew": (RenewLease, self.holder.renew),
            "grants": (SetGrants, self.holder.set_grants),
            "release": (ReleaseUnits, self.holder.begin_release),
        }
        if operation not in orders:
            await exchange.respond(404, [], b"")
            return
        message_type, run = orders[operation]
        message: Result[Any, CodecError] = decode(message_type, body)
        if isinstance(message, Err):
            await exchange.respond(400, [], b"")
            return
        await exchange.respond(200, [], encode(run(message.ok_value, self._clock.now_ms())))

    async def _request(self, exchange: ServerExchange, target: str, body: bytes) -> None:
        key = unquote(target.split("/")[2]) if target.count("/") >= 2 else ""
        epoch = Epoch(int(header_value(exchange.head.headers, b"nutmeglead-epoch") or b"0"))
        if self._waiting >= self.options.max_waiting:
            await _refuse(exchange, 503, "overloaded")
            return
        admitted = self._admit(key, epoch)
        if isinstance(admitted, Err):
            await _refuse(exchange, 421, admitted.err_value.reason)
            return
        holder, ticket = self.holder, admitted.ok_value
        try:
            await self._run(exchange, holder, ticket, body)
        finally:
            holder.finish(ticket)

    def _admit(self, key: str, epoch: Epoch) -> Result[RunTicket, Refusal]:
        if self._service.checks_grants:
            return self.holder.admit(key, epoch, self._clock.now_ms())
        return Ok(RunTicket(0, key, None, epoch))  # type: ignore[arg-type]

    async def _run(
        self, exchange: ServerExchange, holder: GrantHolder, ticket: RunTicket, body: bytes
    ) -> None:
        started_ms = self._clock.now_ms()
        deadline_ms = started_ms + _time_left_ms(exchange)
        self._waiting += 1
        try:
            await self._slots.acquire()
        finally:
            self._waiting -= 1
        try:
            await self._work()
        finally:
            self._slots.release()
        # The effect is applied in one step without a wait, so this is the last check of the lease.
        now_ms = self._clock.now_ms()
        if exchange.caller_gone.is_set() or now_ms >= deadline_ms:
            await _refuse(exchange, 503, "deadline")
            return
        if self._service.checks_grants and not holder.may_commit(ticket, now_ms):
            await _refuse(exchange, 421, "lease-lapsed")
            return
        request_id = _text_header(exchange, b"x-request-id")
        self._ledger.add(
            Run(
                self._service.name,
                ticket.key,
                request_id,
                self.options.server_id,
                ticket.epoch,
                started_ms,
                now_ms,
            )
        )
        await self._answer(exchange, ticket.key, request_id, body)

    async def _work(self) -> None:
        jitter = self._rng.uniform(0.8, 1.2)
        await asyncio.sleep(self.options.service_time_ms * jitter * self.is_slow_by / 1000)
        await self._thawed.wait()

    async def _answer(
        self, exchange: ServerExchange, key: str, request_id: str, body: bytes
    ) -> None:
        headers = [
            (b"x-server-id", self.options.server_id.encode()),
            (b"x-request-id", request_id.encode()),
        ]
        size_bytes = self.options.large_body_bytes
        if not size_bytes:
            document = {"key": key, "request_id": request_id, "echo": body.decode("utf-8")}
            await exchange.respond(200, headers, json.dumps(document).encode())
            return
        length = [(b"content-length", str(size_bytes).encode())]
        await exchange.start_response(200, headers + length)
        pattern = (request_id.encode() or b"-") * CHUNK_BYTES
        for start in range(0, size_bytes, CHUNK_BYTES):
            await exchange.send_body(pattern[: min(CHUNK_BYTES, size_bytes - start)])
        await exchange.finish_response()


def _time_left_ms(exchange: ServerExchange) -> int:
    value = header_value(exchange.head.headers, b"nutmeglead-deadline-ms")
    return int(value) if value and value.isdigit() else 60_000


def _text_header(exchange: ServerExchange, name: bytes) -> str:
    return (header_value(exchange.head.headers, name) or b"").decode("latin-1")


async def _refuse(exchange: ServerExchange, status: int, reason: str) -> None:
    """Answer that the request was not run."""
    headers = [(b"nutmeglead-refusal", reason.encode()), (b"content-type", b"application/json")]
    body = json.dumps({"outcome": "not-run", "reason": reason}).encode()
    await exchange.respond(status, headers, body)
