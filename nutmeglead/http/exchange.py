"""One exchange on a pipelined server connection, and the limits on requests."""

import asyncio
from dataclasses import dataclass
from typing import Protocol

import h11

from nutmeglead.core.outcome import OUTCOME_HEADER, Outcome
from nutmeglead.http.errors import HttpError, MalformedMessage
from nutmeglead.http.held_bytes import SMALL_BYTES, HeldBytes
from nutmeglead.http.messages import Body, Headers, RequestHead, header_value
from nutmeglead.http.parts import WRITE_PART_BYTES, body_events
from nutmeglead.http.turns import TurnTaker

__all__ = ["CallerExchange", "CallerLimits", "ExchangeConnection"]


@dataclass(frozen=True)
class CallerLimits:
    """Limits on the size of a request and on how long a caller may take.

    `head_timeout_ms` limits the time from the first byte of a request to the end of its body, and
    `idle_timeout_ms` the time that a connection stays open without a request.
    """

    head_size_bytes: int
    body_size_bytes: int
    head_timeout_ms: int
    idle_timeout_ms: int


class ExchangeConnection(Protocol):
    """The methods of a server connection that an exchange uses."""

    @property
    def peer_ip(self) -> str:
        """Return the IP address of the caller, or "" if it is not known."""

    @property
    def held(self) -> HeldBytes:
        """Return the owner of the bytes that the process holds."""

    async def write(self, data: bytes) -> None:
        """Send bytes to the caller and wait while the send buffer is full."""

    async def write_ahead(self, data: bytes) -> None:
        """Send bytes to the caller; wait only if the process has no room to hold them."""

    def reset(self) -> None:
        """End the connection with a reset, dropping bytes that are not sent yet."""

    @property
    def is_cut_off(self) -> bool:
        """Return whether this side has aborted the connection with its exchanges."""

    async def read_arrivals_behind(self, exchange: "CallerExchange") -> None:
        """Let the event loop read what has arrived, if it matters for the end of the connection."""

    def closes_after(self, exchange: "CallerExchange") -> bool:
        """Return whether the connection is closed after the response of this exchange."""

    def is_followed(self, exchange: "CallerExchange") -> bool:
        """Return whether a later request of the connection is in progress."""


class CallerExchange:
    """Hold a completely received request and send its response.

    The response waits for `previous_finished`, the `finished` future of the exchange before it on
    the same connection; None means that this exchange is the first one. `counted_bytes` is what
    counts as held for the exchange, until `release` gives it back.
    """

    def __init__(
        self,
        connection: ExchangeConnection,
        parser: h11.Connection,
        head: RequestHead,
        body: Body,
        counted_bytes: int,
        received_ms: int,
        previous_finished: "asyncio.Future[None] | None",
    ) -> None:
        self.head = head
        self.body = body
        self.received_ms = received_ms
        self.response_started = False
        # Whether the response is sent in parts, of which the rest may never be.
        self.is_streaming = False
        self.counted_bytes = counted_bytes
        self.finished: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._connection = connection
        self._parser = parser
        self._previous_finished = previous_finished
        self._turns = TurnTaker()

    async def respond(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a whole response, a large body in parts.

        Its `content-length` is that of the body, or for HEAD the given one.
        """
        framing = [(b"content-length", b"%d" % len(body))]
        if self.head.method == b"HEAD" and header_value(headers, b"content-length") is not None:
            framing = []
        await self._wait_for_turn()
        data = self._encode(self._response_head(status, headers + framing))
        # A response to HEAD or with status 204 or 304 has no body.
        if body and self._parser.our_state is h11.SEND_BODY and self.head.method != b"HEAD":
            if len(body) > WRITE_PART_BYTES:
                await self._connection.write(data)
                for event in body_events(body):
                    await self._connection.write(self._encode(event))
                data = b""
            else:
                data += self._encode(h11.Data(data=body))
        data += self._encode(h11.EndOfMessage())
        if data:
            await self._connection.write(data)
        self._mark_finished()

    async def start_response(self, status: int, headers: Headers) -> None:
        """Send the head of a response; its body is chunked unless a `content-length` is given."""
        self.is_streaming = True
        await self._wait_for_turn()
        await self._connection.write(self._encode(self._response_head(status, headers)))

    async def send_body(self, data: Body) -> None:
        """Send the next part of the response body, or hold it for a caller that reads slowly."""
        for event in body_events(data):
            await self._connection.write_ahead(self._encode(event))

    async def finish_response(self) -> None:
        """Send the end of the response, after which the next exchange may respond."""
        data = self._encode(h11.EndOfMessage())
        if data:
            await self._connection.write(data)
        self._mark_finished()

    async def refuse_unanswered(self) -> bool:
        """Send 502, which promises nothing, if no response has begun; return whether one is whole.

        For a request whose handler has failed, so that it is not known whether it has run.
        """
        if self.finished.done():
            return True
        if self._parser.our_state is not h11.SEND_RESPONSE:
            return False
        try:
            await self.respond(502, [(OUTCOME_HEADER, Outcome.UNKNOWN.value.encode())], b"")
        except HttpError:
            return False
        return True

    def try_hold(self, size_bytes: int) -> bool:
        """Count bytes of an answer as held until the exchange ends; return whether they fit."""
        counted_bytes = self.counted_bytes + size_bytes
        if not self._connection.held.try_add_answer(size_bytes, counted_bytes > SMALL_BYTES):
            return False
        self.counted_bytes = counted_bytes
        return True

    def count_unread(self, size_bytes: int) -> None:
        """Count bytes that have arrived from a server; a negative number gives them back."""
        self._connection.held.add(size_bytes)

    async def take_turn(self) -> None:
        """Let the event loop run after many parts of an answer that had all arrived."""
        await asyncio.sleep(0)
        await self._connection.held.turns.take(self._turns)

    def release(self) -> None:
        """Drop the request's body, and give back what is held for the exchange."""
        self.body = b""
        self._connection.held.add(-self.counted_bytes)
        self.counted_bytes = 0

    def abort(self) -> None:
        """Reset the connection, so that a partial response is not taken for a whole one."""
        self._connection.reset()

    async def _wait_for_turn(self) -> None:
        """Wait until the previous response is sent; mark this one as started."""
        if self._previous_finished is not None and not self._previous_finished.done():
            # Without the shield, cancelling this exchange would cancel the previous one's future.
            await asyncio.shield(self._previous_finished)
        self._previous_finished = None
        await self._connection.read_arrivals_behind(self)
        self.response_started = True

    def _response_head(self, status: int, headers: Headers) -> h11.Response:
        """Return the response head, with `connection: close` if the connection ends with it."""
        if self._connection.closes_after(self):
            headers = [*headers, (b"connection", b"close")]
        return h11.Response(status_code=status, headers=headers)

    def _encode(self, event: h11.Event) -> bytes:
        """Return the bytes to send; raise MalformedMessage if the event violates the protocol."""
        try:
            return self._parser.send(event) or b""
        except h11.LocalProtocolError as error:
            raise MalformedMessage(str(error)) from error

    @property
    def must_be_whole(self) -> bool:
        """Return whether other responses wait for this one, or it waits for others."""
        waits = self._previous_finished is not None and not self._previous_finished.done()
        return waits or self._connection.is_followed(self)

    def _mark_finished(self) -> None:
        self.is_streaming = False
        if not self.finished.done():
            self.finished.set_result(None)

    @property
    def peer_ip(self) -> str:
        """Return the IP address of the caller, or "" if it is not known."""
        return self._connection.peer_ip

    @property
    def is_cut_off(self) -> bool:
        """Return whether this process, and not the caller, has ended the exchange."""
        return self._connection.is_cut_off

    @property
    def must_close(self) -> bool:
        """Return whether no other request may follow on the connection."""
        return self._parser.our_state is not h11.DONE or self._parser.their_state is not h11.DONE
