"""Accept HTTP/1.1 connections and run one exchange at a time on each."""

import asyncio
import logging
from collections.abc import Awaitable, Callable

import h11

from nutmeglead.http.channel import ByteChannel
from nutmeglead.http.errors import HttpError, MalformedMessage, PeerClosed
from nutmeglead.http.messages import Headers, RequestHead

__all__ = ["HttpServer", "ServerExchange"]

logger = logging.getLogger(__name__)

MAX_HEAD_BYTES = 32_768

Handler = Callable[["ServerExchange"], Awaitable[None]]


class ServerExchange:
    """Read one request and send its response."""

    def __init__(
        self,
        channel: ByteChannel,
        connection: h11.Connection,
        head: RequestHead,
        is_stopping: Callable[[], bool] = lambda: False,
    ) -> None:
        self.head = head
        self.channel = channel
        self.response_started = False
        self._connection = connection
        self._is_stopping = is_stopping

    @property
    def caller_gone(self) -> asyncio.Event:
        """Return the event that is set when the caller has closed its connection."""
        return self.channel.peer_gone

    def watch_caller(self, callback: Callable[[], None] | None) -> None:
        """Call back when the caller closes its connection; None ends the watch."""
        self.channel.on_peer_gone = callback

    async def read_body(self) -> bytes:
        """Return the next part of the request body, or b"" at its end."""
        if self._connection.they_are_waiting_for_100_continue:
            go_ahead = h11.InformationalResponse(status_code=100, headers=[])
            await self._send(go_ahead)
        event = await _next_event(self.channel, self._connection)
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return b""
        raise PeerClosed("in the middle of the request")

    async def start_response(self, status: int, headers: Headers) -> None:
        """Send the head of the response."""
        self.response_started = True
        await self._send(h11.Response(status_code=status, headers=headers + self._closing()))

    async def send_body(self, data: bytes) -> None:
        """Send a part of the response body."""
        await self._send(h11.Data(data=data))

    async def finish_response(self) -> None:
        """End the response; raise MalformedMessage if the body is shorter than announced."""
        await self._send(h11.EndOfMessage())

    async def respond(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a whole response."""
        framing = [(b"content-length", str(len(body)).encode()), *self._closing()]
        self.response_started = True
        head = self._connection.send(h11.Response(status_code=status, headers=headers + framing))
        data = self._connection.send(h11.Data(data=body)) if body else b""
        end = self._connection.send(h11.EndOfMessage())
        await self.channel.write((head or b"") + (data or b"") + (end or b""))

    def _closing(self) -> Headers:
        """Tell the peer not to reuse the connection of a server that stops."""
        return [(b"connection", b"close")] if self._is_stopping() else []

    def abort(self) -> None:
        """Cut the connection, so that the caller cannot take a partial answer for a whole one."""
        self.channel.abort()

    async def _send(self, event: h11.Event) -> None:
        try:
            data = self._connection.send(event)
        except h11.LocalProtocolError as error:
            raise MalformedMessage(str(error)) from error
        if data:
            await self.channel.write(data)


class HttpServer:
    """Listen on one address and pass each request to a handler."""

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._busy: set[ByteChannel] = set()
        self._channels: set[ByteChannel] = set()
        self._stopping = False

    async def start(self, ip: str, port: int) -> int:
        """Listen and return the port, which the system chooses if 0 is given."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(self._accept, ip, port, backlog=1024)
        return int(self._server.sockets[0].getsockname()[1])

    async def stop(self, grace_ms: int) -> int:
        """Stop accepting, wait for running exchanges; return how many were cut off."""
        self._stopping = True
        if self._server is not None:
            self._server.close()
        for channel in self._channels - self._busy:
            channel.close()
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=grace_ms / 1000)
        cut_off = len(self._busy)
        for task in list(self._tasks):
            task.cancel()
        for channel in list(self._channels):
            channel.abort()
        return cut_off

    @property
    def active_count(self) -> int:
        """Count the exchanges that are running."""
        return len(self._busy)

    def _is_stopping(self) -> bool:
        return self._stopping

    def _accept(self) -> ByteChannel:
        channel = _ServerChannel(self)
        self._channels.add(channel)
        return channel

    def _run(self, channel: ByteChannel) -> None:
        task = asyncio.get_running_loop().create_task(self._serve(channel))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, channel: ByteChannel) -> None:
        connection = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES)
        try:
            while await self._serve_one(channel, connection):
                connection.start_next_cycle()
        except PeerClosed:
            pass
        except HttpError as error:
            logger.debug("exchange ended: %s", error)
        finally:
            self._busy.discard(channel)
            self._channels.discard(channel)
            channel.close()

    async def _serve_one(self, channel: ByteChannel, connection: h11.Connection) -> bool:
        """Run one exchange; tell whether the connection can carry another."""
        try:
            head = await _read_head(channel, connection)
        except MalformedMessage as error:
            await _refuse(channel, connection, error)
            return False
        if head is None:
            return False
        self._busy.add(channel)
        exchange = ServerExchange(channel, connection, head, self._is_stopping)
        try:
            await self._handler(exchange)
        except MalformedMessage as error:
            if exchange.response_started:
                raise
            await _refuse(channel, connection, error)
        finally:
            self._busy.discard(channel)
        _drain_request(connection)
        done = connection.our_state is h11.DONE and connection.their_state is h11.DONE
        return done and not self._stopping


class _ServerChannel(ByteChannel):
    def __init__(self, server: HttpServer) -> None:
        super().__init__()
        self._server = server

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self._server._run(self)


async def _next_event(channel: ByteChannel, connection: h11.Connection) -> object:
    while True:
        try:
            event = connection.next_event()
        except h11.RemoteProtocolError as error:
            raise MalformedMessage(str(error), error.error_status_hint) from error
        if event is not h11.NEED_DATA:
            return event
        connection.receive_data(await channel.read())


def _drain_request(connection: h11.Connection) -> None:
    """Consume what has arrived of a request that the handler did not read to its end.

    Otherwise the connection of every GET whose handler reads no body would be closed after the
    answer, and a caller that reuses it at that moment would lose a request.
    """
    while connection.their_state is h11.SEND_BODY:
        try:
            event = connection.next_event()
        except h11.RemoteProtocolError:
            return
        if event is h11.NEED_DATA or event is h11.PAUSED:
            return


async def _read_head(channel: ByteChannel, connection: h11.Connection) -> RequestHead | None:
    # A caller seldom sends the next request early; asking h11 first costs more than this test.
    if not connection.trailing_data[0]:
        connection.receive_data(await channel.read())
    event = await _next_event(channel, connection)
    if not isinstance(event, h11.Request):
        return None
    headers = list(event.headers)
    names = [name for name, _ in headers]
    # Two ways to frame one body let two parsers disagree on where the next request begins.
    if b"transfer-encoding" in names and b"content-length" in names:
        raise MalformedMessage("both content-length and transfer-encoding are given")
    return RequestHead(event.method, event.target, headers)


async def _refuse(
    channel: ByteChannel, connection: h11.Connection, error: MalformedMessage
) -> None:
    if connection.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
        return
    body = b'{"outcome": "not-run", "error": "malformed request"}'
    headers = [
        (b"content-type", b"application/json"),
        (b"nutmeglead-outcome", b"not-run"),
        (b"content-length", str(len(body)).encode()),
        (b"connection", b"close"),
    ]
    data = connection.send(h11.Response(status_code=error.status, headers=headers))
    await channel.write((data or b"") + body)
