"""Send HTTP/1.1 requests over one connection, one exchange at a time."""

import asyncio

import h11
from result import Err, Ok, Result

from nutmeglead.http.channel import ByteChannel
from nutmeglead.http.errors import (
    ConnectFailed,
    HttpError,
    MalformedMessage,
    PeerClosed,
    TimedOut,
)
from nutmeglead.http.messages import RequestHead, ResponseHead
from nutmeglead.http.sockets import detect_silence

__all__ = ["ClientConnection", "HttpFetcher", "connect"]

MAX_HEAD_BYTES = 32_768
# A call may wait long for its answer, but a peer that is there accepts a connection at once.
CONNECT_TIMEOUT_MS = 600


class ClientConnection:
    """Run exchanges on one connection; every operation may raise an HttpError."""

    def __init__(self, channel: ByteChannel) -> None:
        self.channel = channel
        self.exchange_count = 0
        self._connection = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
        self._written_before = 0

    @property
    def bytes_written(self) -> int:
        """Count the bytes written in the present exchange."""
        return self.channel.bytes_written - self._written_before

    @property
    def is_reusable(self) -> bool:
        """Tell whether the connection is idle and can carry another exchange.

        Unread bytes mean a second or late answer, which must not reach the next request.
        """
        idle = self._connection.our_state is h11.IDLE and self._connection.their_state is h11.IDLE
        trailing, _ = self._connection.trailing_data
        return idle and self.channel.is_open and not self.channel.unread_bytes and not trailing

    async def send_head(self, head: RequestHead) -> None:
        """Send the head of a request."""
        self._written_before = self.channel.bytes_written
        self.exchange_count += 1
        await self._send(h11.Request(method=head.method, target=head.target, headers=head.headers))

    async def send_request(self, head: RequestHead, body: bytes) -> None:
        """Send a whole request in one write.

        With a write for the head and one for the body, the kernel sends and acknowledges two
        segments, and the peer wakes up twice.
        """
        self._written_before = self.channel.bytes_written
        self.exchange_count += 1
        events: list[h11.Event] = [
            h11.Request(method=head.method, target=head.target, headers=head.headers)
        ]
        events += [h11.Data(data=body)] if body else []
        events.append(h11.EndOfMessage())
        await self.channel.write(b"".join(map(self._encoded, events)))

    async def send_body(self, data: bytes) -> None:
        """Send a part of the request body."""
        await self._send(h11.Data(data=data))

    async def finish_request(self) -> None:
        """End the request."""
        await self._send(h11.EndOfMessage())

    async def read_head(self) -> ResponseHead:
        """Return the head of the response; informational responses are passed over."""
        # The answer has hardly ever begun yet; asking h11 first costs more than this test.
        if not self._connection.trailing_data[0]:
            self._connection.receive_data(await self.channel.read())
        while True:
            event = await self._next_event()
            if isinstance(event, h11.InformationalResponse):
                continue
            if isinstance(event, h11.Response):
                return ResponseHead(event.status_code, list(event.headers))
            raise PeerClosed("before the response")

    async def read_body(self) -> bytes:
        """Return the next part of the response body, or b"" at its end."""
        return _body_part(await self._next_event())

    async def expect_another(self) -> None:
        """Read an answer to its end and expect another one for the same request.

        A server's second answer to an earlier request may arrive where the next one is expected.
        """
        while await self.read_body():
            pass
        unread, _ = self._connection.trailing_data
        self._connection = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
        self._connection.send(h11.Request(method=b"GET", target=b"/", headers=[(b"host", b"-")]))
        self._connection.send(h11.EndOfMessage())
        if unread:
            self._connection.receive_data(unread)

    def finish_exchange(self) -> bool:
        """End the exchange; close the connection and return False if it cannot be reused."""
        states = (self._connection.our_state, self._connection.their_state)
        if states == (h11.DONE, h11.DONE):
            self._connection.start_next_cycle()
            if self.is_reusable:
                return True
        self.channel.abort()
        return False

    def abort(self) -> None:
        """Close the connection at once, which cancels the exchange at the server."""
        self.channel.abort()

    async def _send(self, event: h11.Event) -> None:
        data = self._encoded(event)
        if data:
            await self.channel.write(data)

    def _encoded(self, event: h11.Event) -> bytes:
        try:
            return self._connection.send(event) or b""
        except h11.LocalProtocolError as error:
            raise MalformedMessage(str(error)) from error

    async def _next_event(self) -> object:
        while (event := self._take_event()) is None:
            data = await self.channel.read()
            # A body without a length ends with the stream; a reset is no end.
            if not data and self.channel.was_reset:
                raise PeerClosed("with a reset")
            self._connection.receive_data(data)
        return event

    def _take_event(self) -> object | None:
        """Return the next event in the bytes that have arrived, or None."""
        while True:
            try:
                event = self._connection.next_event()
            except h11.RemoteProtocolError as error:
                if not self.channel.is_open:
                    raise PeerClosed("in the middle of the response") from error
                raise MalformedMessage(str(error), 502) from error
            if event is not h11.NEED_DATA:
                return event
            data = self.channel.take()
            if not data:
                return None
            self._connection.receive_data(data)


def _body_part(event: object) -> bytes:
    if isinstance(event, h11.Data):
        return bytes(event.data)
    if isinstance(event, h11.EndOfMessage):
        return b""
    raise PeerClosed("in the middle of the response")


async def connect(ip: str, port: int, timeout_ms: int) -> Result[ClientConnection, ConnectFailed]:
    """Open a connection."""
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_ms / 1000):
            _, channel = await loop.create_connection(ByteChannel, ip, port)
    except TimeoutError:
        return Err(ConnectFailed(f"{ip}:{port}", f"no answer within {timeout_ms} ms"))
    except OSError as error:
        return Err(ConnectFailed(f"{ip}:{port}", str(error)))
    detect_silence(channel.transport)
    return Ok(ClientConnection(channel))


class HttpFetcher:
    """Fetch whole small responses, reusing a few idle connections per address.

    An error says whether bytes were written: ConnectFailed means that none were.
    """

    def __init__(self, max_idle_count: int = 4, max_body_bytes: int = 64 * 1024 * 1024) -> None:
        self._idle: dict[tuple[str, int], list[ClientConnection]] = {}
        self._max_idle_count = max_idle_count
        self._max_body_bytes = max_body_bytes

    async def fetch(
        self, ip: str, port: int, head: RequestHead, body: bytes, timeout_ms: int
    ) -> Result[tuple[ResponseHead, bytes], HttpError]:
        """Send a request and return the head and body of its response."""
        connection = self._take_idle(ip, port)
        if connection is None:
            opened = await connect(ip, port, min(timeout_ms, CONNECT_TIMEOUT_MS))
            if isinstance(opened, Err):
                return opened
            connection = opened.ok_value
        finished = False
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                answer = await self._exchange(connection, ip, head, body)
            finished = True
        except TimeoutError:
            return Err(TimedOut("waiting for the response", timeout_ms))
        except HttpError as error:
            return Err(error)
        finally:
            if not finished:
                connection.abort()
        self._give_back(ip, port, connection)
        return Ok(answer)

    def close(self) -> None:
        """Close the idle connections."""
        for connections in self._idle.values():
            for connection in connections:
                connection.abort()
        self._idle.clear()

    def _take_idle(self, ip: str, port: int) -> ClientConnection | None:
        connections = self._idle.get((ip, port), [])
        while connections:
            connection = connections.pop()
            if connection.is_reusable:
                return connection
            connection.abort()
        return None

    def _give_back(self, ip: str, port: int, connection: ClientConnection) -> None:
        if not connection.finish_exchange():
            return
        connections = self._idle.setdefault((ip, port), [])
        if len(connections) < self._max_idle_count:
            connections.append(connection)
        else:
            connection.abort()

    async def _exchange(
        self, connection: ClientConnection, ip: str, head: RequestHead, body: bytes
    ) -> tuple[ResponseHead, bytes]:
        framing = [(b"host", ip.encode()), (b"content-length", str(len(body)).encode())]
        full_head = RequestHead(head.method, head.target, framing + head.headers)
        await connection.send_request(full_head, body)
        response = await connection.read_head()
        received = bytearray()
        while data := await connection.read_body():
            received += data
            if len(received) > self._max_body_bytes:
                raise MalformedMessage(f"the body exceeds {self._max_body_bytes} bytes", 502)
        return response, bytes(received)
