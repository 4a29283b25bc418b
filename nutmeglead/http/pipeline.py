"""Accept HTTP/1.1 connections and run pipelined exchanges, answered in order.

Each request gets an h11 connection of its own, which begins with the bytes behind the request
before it. So a request can be handled while the ones before it wait for their answers.
"""

import asyncio
import logging
from collections.abc import Awaitable, Callable

import h11

from nutmeglead.core.clock import Clock
from nutmeglead.core.outcome import OUTCOME_HEADER, Outcome
from nutmeglead.http.channel import ByteChannel
from nutmeglead.http.errors import HttpError, MalformedMessage, PeerClosed
from nutmeglead.http.exchange import CallerExchange, CallerLimits
from nutmeglead.http.messages import RequestHead
from nutmeglead.http.sockets import detect_silence

__all__ = ["PipelineServer"]

logger = logging.getLogger(__name__)

# Requests of one connection that are handled at the same time; reading pauses above it.
MAX_PIPELINE_DEPTH = 16
# A connection is closed this long after the last answer at the latest, though its peer has not
# closed; closing with unread bytes would reset the connection and lose the answer.
LINGER_MS = 1_000

Handler = Callable[[CallerExchange], Awaitable[None]]


class PipelineServer:
    """Listen on one address and pass each request to a handler."""

    def __init__(self, handler: Handler, limits: Callable[[], CallerLimits], clock: Clock) -> None:
        self.handler = handler
        self.limits = limits
        self.clock = clock
        self.is_stopping = False
        self.connections: set[_CallerConnection] = set()
        self._server: asyncio.Server | None = None

    async def start(self, ip: str, port: int) -> int:
        """Listen and return the port."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _CallerConnection(self), ip, port, backlog=1024
        )
        return int(self._server.sockets[0].getsockname()[1])

    def begin_stop(self) -> None:
        """Answer what arrives, and close each connection with its next answer."""
        self.is_stopping = True

    def close_idle(self) -> None:
        """Stop listening and close the connections that wait for no answer."""
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            connection.close_if_idle()

    async def wait_closed(self, timeout_ms: int) -> int:
        """Wait for the running exchanges; return how many connections were cut off."""
        tasks = [connection.task for connection in self.connections if connection.task]
        if tasks:
            await asyncio.wait(tasks, timeout=timeout_ms / 1000)
        cut_off = [connection for connection in self.connections if connection.is_busy]
        for connection in list(self.connections):
            connection.abort()
        return len(cut_off)

    async def close(self) -> None:
        """Stop listening and end all connections at once."""
        self.close_idle()
        await self.wait_closed(0)


class _CallerConnection(ByteChannel):
    """Read requests, run their handlers and close when the last answer is sent."""

    def __init__(self, server: PipelineServer) -> None:
        super().__init__()
        self.task: asyncio.Task[None] | None = None
        self._server = server
        self._handlers: set[asyncio.Task[None]] = set()
        self._newest: CallerExchange | None = None
        self._reads_on = True
        self._is_between_requests = True
        self._timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        detect_silence(transport)
        self._server.connections.add(self)
        self.task = asyncio.get_running_loop().create_task(self._serve())

    def eof_received(self) -> bool:
        super().eof_received()
        self._cancel_handlers()
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        super().connection_lost(exc)
        self._cancel_handlers()

    @property
    def peer_ip(self) -> str:
        """Return the address of the caller, or "" once the connection is lost."""
        name = self.transport.get_extra_info("peername") if self.transport is not None else None
        return str(name[0]) if name else ""

    @property
    def is_busy(self) -> bool:
        """Tell whether an exchange is not answered yet."""
        return bool(self._handlers)

    def closes_after(self, exchange: CallerExchange) -> bool:
        """Tell whether the connection ends with this answer; no request is read after it."""
        if self._server.is_stopping and exchange is self._newest and not self.unread_bytes:
            self._reads_on = False
        return exchange is self._newest and not self._reads_on

    def close_if_idle(self) -> None:
        """Close the connection unless a request has begun to arrive."""
        if not self.is_busy and not self.unread_bytes:
            self._reads_on = False
            self.close()

    def _cancel_handlers(self) -> None:
        self._reads_on = False
        for handler in self._handlers:
            handler.cancel()

    async def _serve(self) -> None:
        try:
            await self._read_requests()
            while self._handlers:
                await asyncio.wait(self._handlers)
            await self._linger()
        except HttpError as error:
            logger.debug("connection ended: %s", error)
        finally:
            self._cancel_handlers()
            self._stop_timer()
            self.close()
            self._server.connections.discard(self)

    async def _read_requests(self) -> None:
        unread = b""
        while self._reads_on:
            parser = h11.Connection(
                h11.SERVER, max_incomplete_event_size=self._server.limits().head_size_bytes
            )
            try:
                request = await self._read_request(parser, unread)
            except MalformedMessage as error:
                await self._refuse(parser, error)
                return
            if request is None:
                return
            head, body = request
            self._begin(parser, head, body)
            if parser.their_state is not h11.DONE:
                return
            unread = parser.trailing_data[0]
            while len(self._handlers) >= MAX_PIPELINE_DEPTH:
                await asyncio.wait(self._handlers, return_when=asyncio.FIRST_COMPLETED)

    def _begin(self, parser: h11.Connection, head: RequestHead, body: bytes) -> None:
        now_ms = self._server.clock.now_ms()
        turn = self._newest.finished if self._newest is not None else None
        exchange = CallerExchange(self, parser, head, body, now_ms, turn)
        self._newest = exchange
        task = asyncio.get_running_loop().create_task(self._handle(exchange))
        self._handlers.add(task)
        task.add_done_callback(self._after_handler)

    def _after_handler(self, task: asyncio.Task[None]) -> None:
        self._handlers.discard(task)
        if not self._handlers and self._reads_on and self._is_between_requests:
            self._set_timer(self._server.limits().idle_timeout_ms)

    async def _handle(self, exchange: CallerExchange) -> None:
        complete = False
        try:
            await self._server.handler(exchange)
            complete = exchange.finished.done()
        except HttpError as error:
            logger.debug("exchange ended: %s", error)
        finally:
            # An exchange without a whole answer ends the connection, and with it those behind it.
            if not complete:
                self._reads_on = False
                self.abort()
            elif exchange.must_close and exchange is self._newest:
                self._reads_on = False
                self._wake_reader()

    async def _read_request(
        self, parser: h11.Connection, unread: bytes
    ) -> tuple[RequestHead, bytes] | None:
        limits = self._server.limits()
        if unread:
            parser.receive_data(unread)
        self._is_between_requests = not unread
        self._set_timer(limits.head_timeout_ms if unread else limits.idle_timeout_ms)
        event = await self._next_event(parser, limits.head_timeout_ms)
        if not isinstance(event, h11.Request):
            return None
        head = RequestHead(event.method, event.target, list(event.headers))
        names = [name for name, _ in head.headers]
        # Two ways to frame one body let two parsers disagree on where the next request begins.
        if b"transfer-encoding" in names and b"content-length" in names:
            raise MalformedMessage("both content-length and transfer-encoding are given")
        body = await self._read_body(parser, limits)
        self._stop_timer()
        return head, body

    async def _read_body(self, parser: h11.Connection, limits: CallerLimits) -> bytes:
        if parser.they_are_waiting_for_100_continue:
            go_ahead = parser.send(h11.InformationalResponse(status_code=100, headers=[]))
            await self.write(go_ahead or b"")
        parts: list[bytes] = []
        size_bytes = 0
        while True:
            event = await self._next_event(parser, limits.head_timeout_ms)
            if isinstance(event, h11.EndOfMessage):
                return b"".join(parts)
            if not isinstance(event, h11.Data):
                raise PeerClosed("in the middle of the request")
            parts.append(bytes(event.data))
            size_bytes += len(event.data)
            if size_bytes > limits.body_size_bytes:
                raise MalformedMessage(f"the body exceeds {limits.body_size_bytes} bytes", 413)

    async def _next_event(self, parser: h11.Connection, timeout_ms: int) -> object:
        while True:
            try:
                event = parser.next_event()
            except h11.RemoteProtocolError as error:
                if not self.is_open:
                    raise PeerClosed("in the middle of the request") from error
                raise MalformedMessage(str(error), error.error_status_hint) from error
            if event is not h11.NEED_DATA:
                return event
            data = await self._read_on()
            if not data:
                return h11.ConnectionClosed()
            if self._is_between_requests:
                self._is_between_requests = False
                self._set_timer(timeout_ms)
            parser.receive_data(data)

    async def _read_on(self) -> bytes:
        """Return the next bytes, or b"" when no more requests are read."""
        while self._reads_on and not self.unread_bytes:
            if self.peer_gone.is_set():
                return b""
            await self._next_arrival()
        return self.take() if self._reads_on else b""

    async def _refuse(self, parser: h11.Connection, error: MalformedMessage) -> None:
        """Answer a request that breaks the protocol or a limit, after those before it."""
        self._reads_on = False
        if self._newest is not None and not self._newest.finished.done():
            await asyncio.shield(self._newest.finished)
        if parser.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        outcome = (OUTCOME_HEADER, Outcome.NOT_RUN.value.encode())
        headers = [outcome, (b"content-length", b"0"), (b"connection", b"close")]
        data = parser.send(h11.Response(status_code=error.status, headers=headers))
        await self.write(data or b"")

    async def _linger(self) -> None:
        """Let the peer read the last answer before the connection is closed."""
        if not self.is_open or self.transport is None:
            return
        self.transport.write_eof()
        self._set_timer(LINGER_MS)
        while not self.peer_gone.is_set():
            self.take()
            await self._next_arrival()

    def _set_timer(self, timeout_ms: int) -> None:
        self._stop_timer()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(timeout_ms / 1000, self._give_up)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _give_up(self) -> None:
        """Close a connection whose caller is too slow or idle, unless an answer is under way."""
        if not self.is_busy:
            self.close()
