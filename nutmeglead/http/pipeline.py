"""HTTP/1.1 server that handles pipelined requests concurrently and answers them in order.

Each request has its own h11 parser, which starts with the bytes that follow the previous request.
A request can therefore be handled while earlier ones still wait for their responses.
"""

import asyncio
import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import h11

from nutmeglead.core.clock import Clock
from nutmeglead.core.outcome import OUTCOME_HEADER, Outcome
from nutmeglead.http.channel import ByteChannel
from nutmeglead.http.errors import HttpError, MalformedMessage, PeerClosed
from nutmeglead.http.exchange import CallerExchange, CallerLimits
from nutmeglead.http.messages import RequestHead
from nutmeglead.http.sockets import enable_dead_peer_detection, read_arrivals

__all__ = ["CutOff", "PipelineServer"]

logger = logging.getLogger(__name__)

# Requests of one connection that are handled concurrently; at this number reading pauses.
MAX_PIPELINE_DEPTH = 16
# After the last response, the server waits up to this long for the peer to close first. Closing a
# socket with unread bytes resets the connection, and the peer may lose the response.
LINGER_MS = 1_000

# While the server waits for its connections to end, it closes idle ones at this interval.
IDLE_CHECK_INTERVAL_MS = 200

Handler = Callable[[CallerExchange], Awaitable[None]]


@dataclass(frozen=True)
class CutOff:
    """Count the connections that were aborted with exchanges in progress, and those exchanges."""

    connections: int = 0
    exchanges: int = 0


class PipelineServer:
    """Server that listens on one address and runs a handler for each request.

    `limits` is called for every request, so that changed limits apply to open connections too.
    """

    def __init__(self, handler: Handler, limits: Callable[[], CallerLimits], clock: Clock) -> None:
        self.handler = handler
        self.limits = limits
        self.clock = clock
        self.is_stopping = False
        # From then on, a connection with an exchange in progress takes no further request.
        self.has_stopped_listening = False
        self.connections: set[_CallerConnection] = set()
        self._server: asyncio.Server | None = None

    async def start(self, ip: str, port: int) -> int:
        """Listen on the address and return its port, chosen by the system if `port` is 0."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _CallerConnection(self), ip, port, backlog=1024
        )
        return int(self._server.sockets[0].getsockname()[1])

    def begin_stop(self) -> None:
        """Answer further requests, but close each connection after its latest one is answered."""
        self.is_stopping = True

    async def stop_listening(self) -> None:
        """Stop listening without cutting off requests that have arrived; close idle connections.

        The kernel resets connections that wait to be accepted when their port is closed, and those
        that are closed before their bytes are read. A connection in use ends with the answer to the
        latest request that was read; its caller may always have sent another one by then.
        """
        await read_arrivals()
        self._close_port()
        await read_arrivals()
        self.has_stopped_listening = True
        for connection in list(self.connections):
            connection.end_reading_ahead()
        self._close_idle_connections()

    def _close_port(self) -> None:
        if self._server is not None:
            self._server.close()

    def _close_idle_connections(self) -> None:
        for connection in list(self.connections):
            connection.close_if_idle()

    async def wait_closed(self, timeout_ms: int) -> CutOff:
        """Wait up to `timeout_ms` for the connections to end, then abort those that remain."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + timeout_ms / 1000
        while (remaining_s := end_s - loop.time()) > 0 and self.connections:
            tasks = [connection.task for connection in self.connections if connection.task]
            await asyncio.wait(tasks, timeout=min(remaining_s, IDLE_CHECK_INTERVAL_MS / 1000))
            # A connection that was accepted last may bring no request.
            self._close_idle_connections()
        counts = [connection.cut_off() for connection in list(self.connections)]
        return CutOff(sum(count > 0 for count in counts), sum(counts))

    async def close(self) -> None:
        """Stop listening and abort all connections, including those with running exchanges."""
        self._close_port()
        await self.wait_closed(0)


class _CallerConnection(ByteChannel):
    """Server side of one connection.

    Reads requests, runs a handler task for each and closes after the last response. `task` is the
    task that reads; it ends with the connection.
    """

    def __init__(self, server: PipelineServer) -> None:
        super().__init__()
        self.task: asyncio.Task[None] | None = None
        self._server = server
        self._handlers: set[asyncio.Task[None]] = set()
        self._latest_exchange: CallerExchange | None = None
        self._accepts_requests = True
        self._is_between_requests = True
        # Whether the last response is sent and the peer is to close the connection.
        self._is_lingering = False
        self.is_cut_off = False
        self._timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        enable_dead_peer_detection(transport)
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
        """Return the IP address of the caller, or "" if it is not known."""
        name = self.transport.get_extra_info("peername") if self.transport is not None else None
        return str(name[0]) if name else ""

    @property
    def is_busy(self) -> bool:
        """Return whether a handler is still running."""
        return bool(self._handlers)

    def closes_after(self, exchange: CallerExchange) -> bool:
        """Return whether the connection is closed after the response of this exchange.

        Called when the response starts. While the server is stopping, this also ends the reading of
        requests if the exchange is the latest one and, while the server listens, no further bytes
        have arrived.
        """
        if exchange is not self._latest_exchange:
            return False
        server = self._server
        if server.has_stopped_listening or (server.is_stopping and not self.unread_bytes):
            self._accepts_requests = False
        return not self._accepts_requests

    def end_reading_ahead(self) -> None:
        """End the reading of requests that arrive behind an exchange in progress."""
        if self.is_busy:
            self._wake_reader()

    def _takes_requests(self) -> bool:
        """Return whether another request may be read and handled."""
        return self._accepts_requests and not (self._server.has_stopped_listening and self.is_busy)

    def close_if_idle(self) -> None:
        """Close the connection unless a request has begun to arrive, or the peer is to close it."""
        has_begun = self.unread_bytes or not self._is_between_requests
        if not self.is_busy and not has_begun and not self._is_lingering:
            self._accepts_requests = False
            self.close()

    def cut_off(self) -> int:
        """Abort the connection, and return how many exchanges were in progress."""
        self.is_cut_off = True
        # A close would look like the end of a response whose length is not known.
        if self._handlers:
            self.reset()
        else:
            self.abort()
        return len(self._handlers)

    def _cancel_handlers(self) -> None:
        """Cancel all running handlers and read no further request."""
        self._accepts_requests = False
        for handler in self._handlers:
            handler.cancel()

    async def _serve(self) -> None:
        """Serve requests until the connection ends; then cancel its handlers and deregister it."""
        try:
            await self._read_requests()
            while self._handlers:
                await asyncio.wait(self._handlers)
            await self._linger()
        except HttpError as error:
            logger.debug("connection from %s ended: %s", self.peer_ip, error)
        finally:
            self._cancel_handlers()
            self._stop_timer()
            self.close()
            self._server.connections.discard(self)

    async def _read_requests(self) -> None:
        """Read requests and start their handlers until the connection takes no further ones."""
        unread = b""
        while self._takes_requests():
            parser = h11.Connection(
                h11.SERVER, max_incomplete_event_size=self._server.limits().head_size_bytes
            )
            try:
                request = await self._read_request(parser, unread)
            except MalformedMessage as error:
                await self._reject_request(parser, error)
                return
            except PeerClosed as error:
                # The requests before this one still get their answers.
                logger.debug("request from %s is not whole: %s", self.peer_ip, error)
                return
            # An answer that closes the connection may have been begun while the body arrived.
            if request is None or not self._takes_requests():
                return
            head, body = request
            self._start_exchange(parser, head, body)
            if parser.their_state is not h11.DONE:
                return
            unread = parser.trailing_data[0]
            while len(self._handlers) >= MAX_PIPELINE_DEPTH:
                await asyncio.wait(self._handlers, return_when=asyncio.FIRST_COMPLETED)

    def _start_exchange(self, parser: h11.Connection, head: RequestHead, body: bytes) -> None:
        """Start a handler task, whose response waits for the one to the previous request."""
        now_ms = self._server.clock.now_ms()
        previous_finished = (
            self._latest_exchange.finished if self._latest_exchange is not None else None
        )
        exchange = CallerExchange(self, parser, head, body, now_ms, previous_finished)
        self._latest_exchange = exchange
        task = asyncio.get_running_loop().create_task(self._handle(exchange))
        self._handlers.add(task)
        task.add_done_callback(self._on_handler_done)

    def _on_handler_done(self, task: asyncio.Task[None]) -> None:
        """Start the idle timeout if the connection has no request in progress."""
        self._handlers.discard(task)
        if not self._handlers and self._accepts_requests and self._is_between_requests:
            self._start_timer(self._server.limits().idle_timeout_ms)

    async def _handle(self, exchange: CallerExchange) -> None:
        """Run the handler; end the connection if it must not carry another request."""
        complete = False
        try:
            await self._server.handler(exchange)
            complete = exchange.finished.done()
        except HttpError as error:
            logger.debug(
                "request from %s ended before its response was complete: %s", self.peer_ip, error
            )
        finally:
            # After an incomplete response, the later requests cannot be answered either.
            if not complete:
                self._accepts_requests = False
                self.abort()
            elif exchange.must_close and exchange is self._latest_exchange:
                self._accepts_requests = False
                self._wake_reader()

    async def _read_request(
        self, parser: h11.Connection, unread: bytes
    ) -> tuple[RequestHead, bytes] | None:
        """Return the next request, or None if the connection ends before one.

        `unread` holds the bytes that arrived after the previous request. Raise MalformedMessage
        for a request that violates HTTP/1.1 or a size limit.
        """
        limits = self._server.limits()
        if unread:
            parser.receive_data(unread)
        self._is_between_requests = not unread
        self._start_timer(limits.head_timeout_ms if unread else limits.idle_timeout_ms)
        event = await self._next_event(parser, limits.head_timeout_ms)
        if not isinstance(event, h11.Request):
            return None
        head = RequestHead(event.method, event.target, list(event.headers))
        names = [name for name, _ in head.headers]
        # With both, two parsers may disagree on where the next request begins (request smuggling).
        if b"transfer-encoding" in names and b"content-length" in names:
            raise MalformedMessage("both content-length and transfer-encoding are given")
        body = await self._read_body(parser, limits)
        self._stop_timer()
        return head, body

    async def _read_body(self, parser: h11.Connection, limits: CallerLimits) -> bytes:
        """Return the whole request body; first send 100 Continue if the caller waits for it."""
        if parser.they_are_waiting_for_100_continue:
            continue_response = parser.send(h11.InformationalResponse(status_code=100, headers=[]))
            await self.write(continue_response or b"")
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
        """Wait for the next h11 event; the first byte of a request starts the timeout."""
        while True:
            try:
                event = parser.next_event()
            except h11.RemoteProtocolError as error:
                if not self.is_open:
                    raise PeerClosed("in the middle of the request") from error
                raise MalformedMessage(str(error), error.error_status_hint) from error
            if event is not h11.NEED_DATA:
                return event
            data = await self._read_more()
            if not data:
                return h11.ConnectionClosed()
            if self._is_between_requests:
                self._is_between_requests = False
                self._start_timer(timeout_ms)
            parser.receive_data(data)

    async def _read_more(self) -> bytes:
        """Wait for data and return it, or b"" once the peer has closed or reading has ended."""
        while self._takes_requests() and not self.unread_bytes:
            if self.peer_closed.is_set():
                return b""
            await self._wait_for_data()
        return self.read_nowait() if self._takes_requests() else b""

    async def _reject_request(self, parser: h11.Connection, error: MalformedMessage) -> None:
        """Send an error response without a body, marked as not run, after the earlier responses."""
        self._accepts_requests = False
        # The handlers end also if their responses are never finished, as when the caller has left.
        while self._handlers:
            await asyncio.wait(self._handlers)
        if parser.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        outcome = (OUTCOME_HEADER, Outcome.NOT_RUN.value.encode())
        headers = [outcome, (b"content-length", b"0"), (b"connection", b"close")]
        data = parser.send(h11.Response(status_code=error.status, headers=headers))
        await self.write(data or b"")

    async def _linger(self) -> None:
        """End our stream and discard what arrives until the peer closes or LINGER_MS is over."""
        if not self.is_open or self.transport is None:
            return
        self._is_lingering = True
        self.transport.write_eof()
        self._start_timer(LINGER_MS)
        while not self.peer_closed.is_set():
            self.read_nowait()
            await self._wait_for_data()

    def _start_timer(self, timeout_ms: int) -> None:
        """Replace the running timeout, if any, by one of `timeout_ms`."""
        self._stop_timer()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(timeout_ms / 1000, self._on_timeout)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _on_timeout(self) -> None:
        """Close the connection of a slow or idle caller, unless a handler is running."""
        if not self.is_busy:
            self.close()
