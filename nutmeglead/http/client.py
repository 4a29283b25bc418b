"""HTTP/1.1 client: single connections and a fetcher that keeps idle ones for reuse."""

import asyncio
import io
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import h11
from result import Err, Ok, Result

from nutmeglead.http.arrival_timeout import ArrivalTimeout
from nutmeglead.http.channel import ByteChannel
from nutmeglead.http.errors import (
    ConnectFailed,
    HttpError,
    MalformedMessage,
    PeerClosed,
    RequestWithdrawn,
    TimedOut,
)
from nutmeglead.http.messages import Body, RequestHead, ResponseHead
from nutmeglead.http.parts import WRITE_PART_BYTES, body_events
from nutmeglead.http.sockets import (
    enable_dead_peer_detection,
    limit_unacknowledged_time,
    reset_on_close,
)
from nutmeglead.http.unread_count import UnreadCount

__all__ = ["ClientConnection", "HttpFetcher", "ProgressLimits", "connect"]

# A longer response head is rejected as malformed.
MAX_HEAD_BYTES = 32_768
# Informational responses before the response; a server needs one or two.
MAX_INFORMATIONAL_COUNT = 8
# A response with a higher status is no HTTP response: its server is in trouble.
MAX_STATUS = 599
# Parts of a response that are read before other tasks run. Chunks of a few bytes would otherwise
# stop all other connections for as long as a whole buffer of them takes.
MAX_EVENTS_IN_A_ROW = 64
# Limit for connecting, however long the response may take: a reachable peer accepts a connection
# at once.
CONNECT_TIMEOUT_MS = 600


async def _let_others_run() -> None:
    await asyncio.sleep(0)


class ClientConnection:
    """One connection to a server, which carries one exchange at a time.

    `take_turn` is awaited after `MAX_EVENTS_IN_A_ROW` parts of a response that had all arrived; the
    connections of a process may share one that lets them go on one by one.

    However the connection ends, its kernel drops what the server has not received by then, so that
    a request that was given up does not arrive later. Methods that send or read raise an HttpError
    if the connection or the message is broken.
    """

    def __init__(self, channel: ByteChannel) -> None:
        self.channel = channel
        self.exchange_count = 0
        self.take_turn: Callable[[], Awaitable[None]] = _let_others_run
        self._events_in_a_row = 0
        self.unread_count = UnreadCount(channel)
        self._unacknowledged_limit_ms: int | None = None
        self._connection = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
        self._bytes_written_at_start = 0

    @property
    def bytes_written(self) -> int:
        """Return the number of bytes written since the start of the current exchange."""
        return self.channel.bytes_written - self._bytes_written_at_start

    @property
    def is_reusable(self) -> bool:
        """Return whether the connection is idle and can carry another exchange.

        Unread bytes are a second or late response, which must not be taken for the next one.
        """
        idle = self._connection.our_state is h11.IDLE and self._connection.their_state is h11.IDLE
        trailing, _ = self._connection.trailing_data
        return idle and self.channel.is_open and not self.channel.unread_bytes and not trailing

    def limit_unacknowledged_time(self, limit_ms: int) -> None:
        """Make the kernel drop what the server has not acknowledged after a time."""
        if limit_ms != self._unacknowledged_limit_ms:
            self._unacknowledged_limit_ms = limit_ms
            limit_unacknowledged_time(self.channel.transport, limit_ms)

    def _feed(self, data: bytes) -> None:
        """Give bytes to the parser, which has used up those before them."""
        self._connection.receive_data(data)
        self.unread_count.set_fed(len(data))

    async def send_head(self, head: RequestHead) -> None:
        """Start an exchange by sending the request line and headers."""
        self._bytes_written_at_start = self.channel.bytes_written
        self.exchange_count += 1
        await self._send(h11.Request(method=head.method, target=head.target, headers=head.headers))

    async def send_request(self, head: RequestHead, body: Body) -> None:
        """Start an exchange by sending a whole request, a large body in parts.

        Separate writes for head and body would cost two TCP segments and two acknowledgements,
        and wake the peer up twice.
        """
        if len(body) > WRITE_PART_BYTES:
            await self.send_head(head)
            for event in body_events(body):
                await self._send(event)
            await self.finish_request()
            return
        self._bytes_written_at_start = self.channel.bytes_written
        self.exchange_count += 1
        events: list[h11.Event] = [
            h11.Request(method=head.method, target=head.target, headers=head.headers)
        ]
        events += body_events(body) if body else []
        events.append(h11.EndOfMessage())
        await self.channel.write(b"".join(map(self._encode, events)))

    async def send_body(self, data: bytes) -> None:
        """Send the next part of the request body."""
        await self._send(h11.Data(data=data))

    async def finish_request(self) -> None:
        """End the request; a chunked body gets its last chunk."""
        await self._send(h11.EndOfMessage())

    async def read_head(self) -> ResponseHead:
        """Return the status and headers of the response, skipping informational (1xx) responses."""
        # The response has rarely begun to arrive; asking h11 first costs more than this check.
        if not self._connection.trailing_data[0]:
            self._events_in_a_row = 0
            self._feed(await self.channel.read())
        for _ in range(MAX_INFORMATIONAL_COUNT + 1):
            event = await self._next_event()
            if isinstance(event, h11.InformationalResponse):
                continue
            if isinstance(event, h11.Response):
                # h11 refuses a status below 100, and accepts up to 999 (RFC 9110, section 15).
                if event.status_code > MAX_STATUS:
                    reason = f"expected a status up to {MAX_STATUS}, got {event.status_code}"
                    raise MalformedMessage(reason, 502)
                return ResponseHead(event.status_code, list(event.headers))
            raise PeerClosed("before the response")
        raise MalformedMessage(
            f"expected at most {MAX_INFORMATIONAL_COUNT} informational responses, got more", 502
        )

    async def read_body(self) -> Body:
        """Return the next part of the response body, or b"" at its end."""
        return _body_part(await self._next_event())

    async def expect_another(self) -> None:
        """Discard the rest of this response and prepare to read another one to the same request.

        On a reused connection, a second response to an earlier request can arrive in place of the
        response to the current one. A new h11 parser accepts a response only after a request, so
        it is given a placeholder request, which is not sent.
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
        """End the exchange and return whether the connection can be reused; abort it if not."""
        self.unread_count.end()
        states = (self._connection.our_state, self._connection.their_state)
        if states == (h11.DONE, h11.DONE):
            self._connection.start_next_cycle()
            if self.is_reusable:
                return True
        self.channel.abort()
        return False

    def abort(self) -> None:
        """Reset the connection, which cancels the exchange at the server."""
        self.unread_count.end()
        self.channel.abort()

    async def _send(self, event: h11.Event) -> None:
        """Encode an event and write its bytes, if it has any."""
        data = self._encode(event)
        if data:
            await self.channel.write(data)

    def _encode(self, event: h11.Event) -> bytes:
        """Return the bytes to send; raise MalformedMessage if the event violates the protocol."""
        try:
            return self._connection.send(event) or b""
        except h11.LocalProtocolError as error:
            raise MalformedMessage(str(error)) from error

    async def _next_event(self) -> object:
        """Wait for the next h11 event; raise PeerClosed if the response ends early."""
        self._events_in_a_row += 1
        if self._events_in_a_row > MAX_EVENTS_IN_A_ROW:
            self._events_in_a_row = 1
            await self.take_turn()
        while (event := self._next_buffered_event()) is None:
            self._events_in_a_row = 1
            data = await self.channel.read()
            # The end of the stream completes a body without a length; a reset must not.
            if not data and self.channel.was_reset:
                raise PeerClosed("with a reset")
            self._feed(data)
        return event

    def _next_buffered_event(self) -> object | None:
        """Return the next h11 event of the received bytes, or None if more data is needed."""
        while True:
            try:
                event = self._connection.next_event()
            except h11.RemoteProtocolError as error:
                if not self.channel.is_open:
                    raise PeerClosed("in the middle of the response") from error
                raise MalformedMessage(str(error), 502) from error
            if event is not h11.NEED_DATA:
                return event
            self.unread_count.set_fed(0)
            data = self.channel.read_nowait()
            if not data:
                return None
            self._feed(data)


def _body_part(event: object) -> Body:
    """Return the data of a body event, or b"" for the end of the message."""
    if isinstance(event, h11.Data):
        return event.data
    if isinstance(event, h11.EndOfMessage):
        empty: Body = b""
        return empty
    raise PeerClosed("in the middle of the response")


async def connect(ip: str, port: int, timeout_ms: int) -> Result[ClientConnection, ConnectFailed]:
    """Return a new connection, or ConnectFailed if none is established within `timeout_ms`."""
    loop = asyncio.get_running_loop()
    try:
        async with ArrivalTimeout(timeout_ms / 1000, lambda: 0):
            _, channel = await loop.create_connection(ByteChannel, ip, port)
    except TimeoutError:
        return Err(ConnectFailed(f"{ip}:{port}", f"no answer within {timeout_ms} ms"))
    except OSError as error:
        is_refused = isinstance(error, ConnectionRefusedError)
        return Err(ConnectFailed(f"{ip}:{port}", str(error), is_refused))
    enable_dead_peer_detection(channel.transport)
    # Set before anything is written, since a process that is killed cannot set it.
    reset_on_close(channel.transport)
    return Ok(ClientConnection(channel))


@dataclass(frozen=True)
class ProgressLimits:
    """Limits of a response that goes on arriving after the timeout of its fetch.

    `silence_ms` limits the time for which nothing arrives, and `total_ms` the whole exchange.
    """

    silence_ms: int
    total_ms: int


def _extension(limit: asyncio.Timeout, progress: ProgressLimits | None) -> Callable[[], None]:
    """Return a function that postpones a timeout when more of a response has arrived."""
    if progress is None:
        return lambda: None
    loop = asyncio.get_running_loop()
    end_s = loop.time() + progress.total_ms / 1000
    return lambda: limit.reschedule(min(end_s, loop.time() + progress.silence_ms / 1000))


class HttpFetcher:
    """Client that reads whole responses into memory and reuses a few idle connections per address.

    ConnectFailed and RequestWithdrawn mean that no byte of the request was written; after any other
    error the server may have received it, but will not receive it any more: the connection is reset
    before `fetch` returns. The same holds if `fetch` is cancelled or the process is killed. If the
    process is frozen, the kernel drops the request by itself, at about its timeout.
    """

    def __init__(self, max_idle_count: int = 4, max_body_bytes: int = 64 * 1024 * 1024) -> None:
        self._idle: dict[tuple[str, int], list[ClientConnection]] = {}
        self._max_idle_count = max_idle_count
        self._max_body_bytes = max_body_bytes

    async def fetch(
        self,
        ip: str,
        port: int,
        head: RequestHead,
        body: bytes,
        timeout_ms: int,
        progress: ProgressLimits | None = None,
        own_connection: bool = False,
        may_send: Callable[[], bool] = lambda: True,
    ) -> Result[tuple[ResponseHead, bytes], HttpError]:
        """Send a request and return the head and the whole body of its response, or the error.

        Adds the `host` and `content-length` headers. `timeout_ms` limits connecting and the
        exchange separately, and connecting takes at most `CONNECT_TIMEOUT_MS`. With `progress`,
        its limits replace `timeout_ms` as soon as a part of the response's body has arrived. With
        `own_connection`, the exchange is the only one on its connection, where no late response to
        an earlier request can arrive. `may_send` is asked when there is a connection, right before
        the request is written.
        """
        connection = None if own_connection else self._pop_idle(ip, port)
        if connection is None:
            opened = await connect(ip, port, min(timeout_ms, CONNECT_TIMEOUT_MS))
            if isinstance(opened, Err):
                return opened
            connection = opened.ok_value
        if not may_send():
            connection.abort()
            return Err(RequestWithdrawn(f"{ip}:{port}"))
        connection.limit_unacknowledged_time(timeout_ms)
        finished = False
        received_before = connection.channel.bytes_received
        try:
            async with asyncio.timeout(timeout_ms / 1000) as limit:
                on_progress = _extension(limit, progress)
                response = await self._exchange(connection, ip, head, body, on_progress)
            finished = True
        except TimeoutError:
            received_bytes = connection.channel.bytes_received - received_before
            return Err(TimedOut("waiting for the response", timeout_ms, received_bytes))
        except HttpError as error:
            return Err(error)
        finally:
            if not finished:
                connection.abort()
                await connection.channel.wait_closed()
        if own_connection:
            connection.abort()
        else:
            self._release(ip, port, connection)
        return Ok(response)

    def close(self) -> None:
        """Close the idle connections; those in use stay open."""
        for connections in self._idle.values():
            for connection in connections:
                connection.abort()
        self._idle.clear()

    def _pop_idle(self, ip: str, port: int) -> ClientConnection | None:
        """Return a reusable idle connection, closing those that are not, or None."""
        connections = self._idle.get((ip, port), [])
        while connections:
            connection = connections.pop()
            if connection.is_reusable:
                return connection
            connection.abort()
        return None

    def _release(self, ip: str, port: int, connection: ClientConnection) -> None:
        """Keep the connection for reuse, or close it if unusable or enough are idle."""
        if not connection.finish_exchange():
            return
        connections = self._idle.setdefault((ip, port), [])
        if len(connections) < self._max_idle_count:
            connections.append(connection)
        else:
            connection.abort()

    async def _exchange(
        self,
        connection: ClientConnection,
        ip: str,
        head: RequestHead,
        body: bytes,
        on_progress: Callable[[], None],
    ) -> tuple[ResponseHead, bytes]:
        """Send the request and read the response, of at most `max_body_bytes`.

        `on_progress` is called for each part of the body that arrives.
        """
        framing = [(b"host", ip.encode()), (b"content-length", str(len(body)).encode())]
        full_head = RequestHead(head.method, head.target, framing + head.headers)
        await connection.send_request(full_head, body)
        response_head = await connection.read_head()
        # `getvalue` returns the buffer itself, where a bytearray would have to be copied.
        received = io.BytesIO()
        while data := await connection.read_body():
            received.write(data)
            on_progress()
            if received.tell() > self._max_body_bytes:
                raise MalformedMessage(f"the body exceeds {self._max_body_bytes} bytes", 502)
        return response_head, received.getvalue()
