"""Read the requests of one caller's connection, within the limits and the memory of the process."""

import contextlib
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

import h11

from nutmeglead.core.clock import Clock
from nutmeglead.http.errors import MalformedMessage, PeerClosed
from nutmeglead.http.exchange import CallerLimits
from nutmeglead.http.held_bytes import SMALL_BYTES, HeldBytes, IncomingBody
from nutmeglead.http.messages import Body, RequestHead, header_value
from nutmeglead.http.turns import TurnTaker

__all__ = ["ReceivedRequest", "RequestReader", "RequestSource"]

# Parts of requests that one connection handles before the event loop runs again. Chunks of one byte
# would otherwise stop all other connections for as long as a whole buffer of them takes.
MAX_EVENTS_IN_A_ROW = 64
# A head is counted with what else has arrived with it; only for more is the exact size worth the
# copy that h11 makes of the rest.
EXACT_HEAD_BYTES = 2_048
# What a header field takes beside its text: a tuple, two objects of bytes and their places in the
# lists of the caller's and the server's request.
HEADER_FIELD_BYTES = 256


@dataclass(frozen=True)
class ReceivedRequest:
    """A whole request, and how many bytes are counted as held for it."""

    head: RequestHead
    body: Body
    counted_bytes: int


class RequestSource(Protocol):
    """The connection that a reader reads from."""

    @property
    def is_open(self) -> bool:
        """Return whether both directions of the connection are open."""

    async def read_more(self) -> bytes:
        """Wait for data and return it, or b"" once no more is read; may raise RequestTimedOut."""

    async def write_in_turn(self, data: bytes) -> None:
        """Send bytes to the caller after the responses to the requests before."""

    def start_timer(self, limit_ms: Callable[[], int]) -> None:
        """Replace the running timeout, if any, by one of `limit_ms`, which may change."""

    def wake_reader(self) -> None:
        """Make `read_more` return."""


class RequestReader:
    """Read one request after another.

    A request that is not accepted raises MalformedMessage or MemoryShort, one that is not whole in
    time RequestTimedOut, and one whose caller has left PeerClosed. In each case nothing of it is
    kept.
    """

    def __init__(
        self,
        source: RequestSource,
        limits: Callable[[], CallerLimits],
        held: HeldBytes,
        clock: Clock,
    ) -> None:
        # Whether no byte of a further request has arrived.
        self.is_between_requests = True
        # When the latest request began to arrive.
        self.begun_ms = clock.now_ms()
        self._source = source
        self._limits = limits
        self._held = held
        self._clock = clock
        self._body: IncomingBody | None = None
        self._events_in_a_row = 0
        self._turns = TurnTaker()
        # Whether the head has not been parsed, and what the parser holds of the request.
        self._is_in_head = True
        self._fed_bytes = 0

    @property
    def is_given_up(self) -> bool:
        """Return whether the body that is being read was dropped for others."""
        return self._body is not None and self._body.is_given_up

    async def read(self, parser: h11.Connection, unread: bytes) -> ReceivedRequest | None:
        """Return the next request, or None if the connection ends before one.

        `unread` holds the bytes that arrived after the previous request.
        """
        try:
            return await self._read(parser, unread)
        finally:
            self._count_fed(0)

    async def _read(self, parser: h11.Connection, unread: bytes) -> ReceivedRequest | None:
        limits = self._limits()
        self._is_in_head = True
        if unread:
            self._feed(parser, unread)
            self.begun_ms = self._clock.now_ms()
        else:
            # The connection has waited for its caller.
            self._events_in_a_row = 0
        self.is_between_requests = not unread
        self._source.start_timer(self._head_timeout_ms if unread else self._idle_timeout_ms)
        head = await self._read_head(parser)
        if head is None:
            return None
        held_bytes = self._head_bytes(parser, head)
        self._count_fed(0)
        self._held.hold(held_bytes)
        try:
            body, body_bytes = await self._read_body(parser, head, limits)
        except BaseException:
            self._held.add(-held_bytes)
            raise
        return ReceivedRequest(head, body, held_bytes + body_bytes)

    async def _read_head(self, parser: h11.Connection) -> RequestHead | None:
        event = await self._next_event(parser)
        self._is_in_head = False
        if not isinstance(event, h11.Request):
            return None
        return RequestHead(event.method, event.target, list(event.headers))

    def _head_bytes(self, parser: h11.Connection, head: RequestHead) -> int:
        """Return how many bytes are held for a head."""
        text_bytes = self._fed_bytes
        if text_bytes > EXACT_HEAD_BYTES:
            text_bytes -= len(parser.trailing_data[0])
        return text_bytes + HEADER_FIELD_BYTES * len(head.headers)

    def _feed(self, parser: h11.Connection, data: bytes) -> None:
        """Give bytes to the parser, which count as held until they are part of a request."""
        parser.receive_data(data)
        if self._is_in_head:
            self._count_fed(self._fed_bytes + len(data))

    def _count_fed(self, size_bytes: int) -> None:
        self._held.add(size_bytes - self._fed_bytes)
        self._fed_bytes = size_bytes

    async def _read_body(
        self, parser: h11.Connection, head: RequestHead, limits: CallerLimits
    ) -> tuple[Body, int]:
        """Return the whole body and how many bytes are counted for it."""
        length_bytes = _announced_length(head)
        if length_bytes == 0:
            if not isinstance(await self._next_event(parser), h11.EndOfMessage):
                raise PeerClosed("in the middle of the request")
            return b"", 0
        is_awaited = parser.they_are_waiting_for_100_continue
        first: object = None
        if length_bytes is not None and length_bytes <= SMALL_BYTES and not is_awaited:
            first = await self._next_event(parser)
            if self._is_whole(first, length_bytes, limits):
                assert isinstance(first, h11.Data)
                await self._next_event(parser)
                return bytes(first.data), length_bytes
        body = self._held.begin_body(self._clock, limits.body_size_bytes, self._source.wake_reader)
        self._body = body
        try:
            if length_bytes is not None:
                body.announce(length_bytes)
            if is_awaited:
                interim = h11.InformationalResponse(status_code=100, headers=[])
                await self._source.write_in_turn(parser.send(interim) or b"")
                # The caller has waited for its turn.
                self._source.start_timer(self._head_timeout_ms)
            while True:
                event = first or await self._next_event(parser)
                first = None
                body.check()
                if isinstance(event, h11.EndOfMessage):
                    return body.finish()
                if not isinstance(event, h11.Data):
                    raise PeerClosed("in the middle of the request")
                body.append(event.data)
        finally:
            # An error outlives this call, with all that the call refers to.
            body.discard()
            self._body = None

    def _is_whole(self, event: object, length_bytes: int, limits: CallerLimits) -> bool:
        """Return whether an event is the whole body of an ordinary request, which then counts."""
        return (
            isinstance(event, h11.Data)
            and len(event.data) == length_bytes <= limits.body_size_bytes
            and self._held.try_add(length_bytes, False)
        )

    def _head_timeout_ms(self) -> int:
        return self._limits().head_timeout_ms

    def _idle_timeout_ms(self) -> int:
        return self._limits().idle_timeout_ms

    async def _take_turn(self) -> None:
        """Wait for a turn if the next step is a large head, or one of many parts in a row."""
        self._events_in_a_row += 1
        is_large_head = self._is_in_head and self._fed_bytes > EXACT_HEAD_BYTES
        if is_large_head or self._events_in_a_row >= MAX_EVENTS_IN_A_ROW:
            self._events_in_a_row = 0
            await self._wait_for_turn()

    async def _wait_for_turn(self) -> None:
        """Wait for a turn; a body whose bytes wait for it is not stalled."""
        body = self._body
        if body is not None:
            body.is_queued = True
        await self._held.turns.take(self._turns)
        if body is not None:
            body.is_queued = False
            body.record_progress()

    async def _next_event(self, parser: h11.Connection) -> object:
        """Wait for the next h11 event; the first byte of a request starts the timeout."""
        while True:
            await self._take_turn()
            try:
                event = parser.next_event()
            except h11.RemoteProtocolError as error:
                if not self._source.is_open:
                    raise PeerClosed("in the middle of the request") from error
                raise MalformedMessage(str(error), error.error_status_hint) from error
            if event is not h11.NEED_DATA:
                return event
            if not self._is_in_head:
                # The parser has passed on all but a part of a chunk's head or of trailers.
                self._count_fed(len(parser.trailing_data[0]))
            data = await self._source.read_more()
            if not data:
                return h11.ConnectionClosed()
            if self._body is not None:
                self._body.record_progress()
            elif self.is_between_requests:
                self.is_between_requests = False
                self.begun_ms = self._clock.now_ms()
                self._source.start_timer(self._head_timeout_ms)
            self._feed(parser, data)


def _announced_length(head: RequestHead) -> int | None:
    """Return the length of a request's body, or None for a chunked one.

    Raise MalformedMessage for both: two parsers may then disagree on where the next request begins
    (request smuggling).
    """
    length = header_value(head.headers, b"content-length")
    if header_value(head.headers, b"transfer-encoding") is not None:
        if length is not None:
            raise MalformedMessage("both content-length and transfer-encoding are given")
        return None
    if length is None:
        return 0
    # h11 has checked that it is a number of at most 20 digits.
    with contextlib.suppress(ValueError):
        return int(length)
    raise MalformedMessage("the content-length is no number")
