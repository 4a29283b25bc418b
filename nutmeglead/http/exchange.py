"""Hold one pipelined exchange and the bounds on what a caller may send."""

import asyncio
from dataclasses import dataclass
from typing import Protocol

import h11

from nutmeglead.http.errors import MalformedMessage
from nutmeglead.http.messages import Headers, RequestHead

__all__ = ["CallerExchange", "CallerLimits", "ExchangeConnection"]


@dataclass(frozen=True)
class CallerLimits:
    """Bound what a caller may send, and how long it may take or stay idle."""

    head_size_bytes: int
    body_size_bytes: int
    head_timeout_ms: int
    idle_timeout_ms: int


class ExchangeConnection(Protocol):
    """Describe what an exchange needs of the connection it came on."""

    @property
    def peer_ip(self) -> str:
        """Return the address of the caller, or "" once the connection is lost."""

    async def write(self, data: bytes) -> None:
        """Send bytes."""

    def abort(self) -> None:
        """Cut the connection."""

    def closes_after(self, exchange: "CallerExchange") -> bool:
        """Tell whether the connection ends with this answer."""


class CallerExchange:
    """Hold one request, read whole, and send its response when its turn has come."""

    def __init__(
        self,
        connection: ExchangeConnection,
        parser: h11.Connection,
        head: RequestHead,
        body: bytes,
        received_ms: int,
        turn: "asyncio.Future[None] | None",
    ) -> None:
        self.head = head
        self.body = body
        self.received_ms = received_ms
        self.response_started = False
        self.finished: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._connection = connection
        self._parser = parser
        self._turn = turn

    async def respond(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a whole response."""
        framing = [(b"content-length", b"%d" % len(body))]
        await self._take_turn()
        data = self._encoded(self._head(status, headers + framing))
        # A response to HEAD and one with status 204 or 304 have no body.
        if body and self._parser.our_state is h11.SEND_BODY and self.head.method != b"HEAD":
            data += self._encoded(h11.Data(data=body))
        data += self._encoded(h11.EndOfMessage())
        await self._connection.write(data)
        self._finish()

    async def start_response(self, status: int, headers: Headers) -> None:
        """Send the head of a response; without a length it is sent in chunks."""
        await self._take_turn()
        await self._connection.write(self._encoded(self._head(status, headers)))

    async def send_body(self, data: bytes) -> None:
        """Send a part of the response body."""
        await self._connection.write(self._encoded(h11.Data(data=data)))

    async def finish_response(self) -> None:
        """End the response."""
        data = self._encoded(h11.EndOfMessage())
        if data:
            await self._connection.write(data)
        self._finish()

    def abort(self) -> None:
        """Cut the connection, so that a partial answer cannot be taken for a whole one."""
        self._connection.abort()

    async def _take_turn(self) -> None:
        if self._turn is not None and not self._turn.done():
            # Cancelling this exchange must not cancel the one before it.
            await asyncio.shield(self._turn)
        self._turn = None
        self.response_started = True

    def _head(self, status: int, headers: Headers) -> h11.Response:
        if self._connection.closes_after(self):
            headers = [*headers, (b"connection", b"close")]
        return h11.Response(status_code=status, headers=headers)

    def _encoded(self, event: h11.Event) -> bytes:
        try:
            return self._parser.send(event) or b""
        except h11.LocalProtocolError as error:
            raise MalformedMessage(str(error)) from error

    def _finish(self) -> None:
        if not self.finished.done():
            self.finished.set_result(None)

    @property
    def peer_ip(self) -> str:
        """Return the address of the caller."""
        return self._connection.peer_ip

    @property
    def must_close(self) -> bool:
        """Tell whether the connection carries no request after this one."""
        return self._parser.our_state is not h11.DONE or self._parser.their_state is not h11.DONE
