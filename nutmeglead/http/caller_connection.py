"""Server side of one connection: requests are handled concurrently and answered in order.

Each request has its own h11 parser, which starts with the bytes that follow the previous request.
A request can therefore be handled while earlier ones still wait for their responses.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import TYPE_CHECKING

import h11

from nutmeglead.http.channel import ByteChannel
from nutmeglead.http.connection_ends import ConnectionEnd, EndCause
from nutmeglead.http.errors import (
    HttpError,
    MemoryShort,
    PeerClosed,
    RequestRefused,
    RequestTimedOut,
)
from nutmeglead.http.exchange import CallerExchange
from nutmeglead.http.held_bytes import HeldBytes
from nutmeglead.http.lingering import LINGER_MS, Lingering
from nutmeglead.http.read_ahead import ReadAhead
from nutmeglead.http.refusals import encode_refusal
from nutmeglead.http.request_reader import ReceivedRequest, RequestReader
from nutmeglead.http.response_parser import response_parser
from nutmeglead.http.sockets import enable_dead_peer_detection, read_arrived_bytes
from nutmeglead.http.wait_timer import WaitTimer

if TYPE_CHECKING:
    from nutmeglead.http.pipeline import PipelineServer

__all__ = ["CallerConnection"]

logger = logging.getLogger(__name__)


class CallerConnection(ByteChannel):
    """Server side of one connection.

    Reads requests, runs a handler task for each and closes after the last response. `task` is the
    task that reads; it ends with the connection.
    """

    def __init__(self, server: PipelineServer) -> None:
        super().__init__()
        self.task: asyncio.Task[None] | None = None
        self._server = server
        self._handlers: dict[asyncio.Task[None], CallerExchange] = {}
        self._read_ahead = ReadAhead(self, self._handlers, server.ahead_limit)
        self._latest_exchange: CallerExchange | None = None
        self._accepts_requests = True
        self._reader = RequestReader(self, server.limits, server.held, server.clock)
        self.idle_since_ms = server.clock.now_ms()
        # Whether the last response is sent and the peer is to close the connection.
        self._is_lingering = False
        self.is_cut_off = False
        self._timer = WaitTimer(self.wake_reader)
        # Why the connection is to end if its caller goes on sending nothing.
        self._dismissal: EndCause | None = None
        # Whether the next request is refused, after the answers in progress.
        self._refuses_next = False
        self._end = ConnectionEnd()
        # How many of the received bytes belong to requests that were begun.
        self._handled_bytes = 0
        self.on_unread_changed = server.held.add

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin to serve the connection, unless too many are open."""
        super().connection_made(transport)
        enable_dead_peer_detection(transport, may_stop_reading=True)
        if not self._server.connection_limit.admit(self._server.connections, self.peer_ip):
            self.abort()
            return
        self._server.connections.add(self)
        self.task = asyncio.get_running_loop().create_task(self._serve())

    def eof_received(self) -> bool:
        """Cancel the handlers of a caller that has left; keep our side open until they end."""
        super().eof_received()
        self._begin_end(EndCause.CALLER_LEFT)
        self._cancel_handlers()
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the handlers and give back what counts as held."""
        super().connection_lost(exc)
        self._begin_end(EndCause.CALLER_LEFT)
        unread = self.read_nowait()
        self._end.discarded.add(unread)
        self._server.ends.record(self._end, self.peer_address, len(unread), self._timer.late_ms)
        self._server.slow_readers.remove(self)
        self._cancel_handlers()

    def send(self, data: bytes) -> None:
        """Send bytes, and count those that the kernel has not taken."""
        super().send(data)
        self._server.slow_readers.update(self)

    async def write_ahead(self, data: bytes) -> None:
        """Send bytes to the caller; wait only if the process has no room to hold them."""
        self.send(data)
        if not self.held.has_room_ahead:
            await self.drain()

    @property
    def held(self) -> HeldBytes:
        """Return the owner of the bytes that the process holds."""
        return self._server.held

    @property
    def is_busy(self) -> bool:
        """Return whether a handler is still running."""
        return bool(self._handlers)

    def _begin_end(self, cause: EndCause) -> None:
        exchanges = self._handlers.values()
        unanswered = [each.head for each in exchanges if not each.finished.done()]
        latest = self._latest_exchange
        quiet_since_ms = self.idle_since_ms if latest is None else latest.received_ms
        self._end.begin(cause, unanswered, self._server.clock.now_ms(), quiet_since_ms)

    async def read_arrivals_behind(self, exchange: CallerExchange) -> None:
        """Let the event loop read what has arrived, if the response may close the connection."""
        if self._server.is_stopping and exchange is self._latest_exchange:
            await read_arrived_bytes()

    def closes_after(self, exchange: CallerExchange) -> bool:
        """Return whether the connection is closed after the response of this exchange.

        Called when the response starts. While the server is stopping, this also ends the reading of
        requests if the exchange is the latest one and, while the server listens, nothing of a
        further request has arrived.
        """
        if exchange is not self._latest_exchange or self._refuses_next:
            return False
        server = self._server
        has_arrived = self.bytes_received > self._handled_bytes
        if server.has_stopped_listening or (server.is_stopping and not has_arrived):
            self._accepts_requests = False
        return not self._accepts_requests

    def is_followed(self, exchange: CallerExchange) -> bool:
        """Return whether a later request of the connection is in progress."""
        return exchange is not self._latest_exchange

    def end_reading_ahead(self) -> None:
        """End the reading of requests that arrive behind an exchange in progress."""
        if self.is_busy:
            self.wake_reader()

    def _takes_requests(self) -> bool:
        """Return whether another request may be read and handled."""
        return self._accepts_requests and not (self._server.has_stopped_listening and self.is_busy)

    @property
    def is_idle(self) -> bool:
        """Return whether no request has begun to arrive and the peer is not to close."""
        has_begun = self.unread_bytes or not self._reader.is_between_requests
        return not self.is_busy and not has_begun and not self._is_lingering

    @property
    def waiting_since_ms(self) -> int | None:
        """Return since when the connection waits for its caller, or None if it is in use."""
        if self.is_busy or self._is_lingering or self.unread_bytes:
            return None
        return self.idle_since_ms if self.is_idle else self._reader.begun_ms

    def give_way(self) -> None:
        """End the connection unless its caller uses it; an unfinished request is refused."""
        if self.waiting_since_ms is not None:
            self._dismiss(EndCause.CONNECTION_LIMIT)

    def close_if_idle(self) -> None:
        """Close the connection unless it is in use, or its caller has not taken all answers yet."""
        # Bytes that arrive after the close make the kernel drop what has not been taken.
        if self.is_idle and not self.unacknowledged_bytes:
            self._dismiss(EndCause.STOP)

    def _dismiss(self, cause: EndCause) -> None:
        self._dismissal = cause
        self.wake_reader()

    def end_slow_reader(self) -> None:
        """End the connection with a reset, as its caller reads nothing."""
        self._begin_end(EndCause.SLOW_READER)
        self.reset()

    def cut_off(self) -> int:
        """Abort the connection, and return how many exchanges were in progress."""
        self._begin_end(EndCause.STOP)
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
            await self._wait_for_handlers()
            await self._linger()
        except HttpError as error:
            logger.debug("connection from %s ended: %s", self.peer_ip, error)
        finally:
            self._cancel_handlers()
            self._timer.stop()
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
                request = await self._reader.read(parser, unread)
            except RequestRefused as error:
                await self._reject_request(parser, error)
                return
            except PeerClosed:
                # The requests before this one still get their answers.
                request = None
            if request is None:
                self._end.discarded.add(parser.trailing_data[0])
                return
            await self._read_ahead.wait_to_begin(parser)
            # An answer that closes the connection may have been begun while the body arrived.
            if not self._takes_requests():
                self.held.add(-request.counted_bytes)
                self._end.discarded.add_request(request.head, parser.trailing_data[0])
                return
            self._timer.stop()
            if parser.their_state is not h11.DONE:
                # The answer says that the connection ends with it.
                self._accepts_requests = False
                self._start_exchange(parser, request)
                return
            unread = parser.trailing_data[0]
            self._handled_bytes = self.bytes_received - self.unread_bytes - len(unread)
            self._start_exchange(response_parser(parser, request.head, unread), request)
            await self._read_ahead.wait_to_read(len(unread))
        self._end.discarded.add(unread)

    def _start_exchange(self, parser: h11.Connection, request: ReceivedRequest) -> None:
        """Start a handler task, whose response waits for the one to the previous request."""
        # The caller uses a connection that was to end.
        self._dismissal = None
        now_ms = self._server.clock.now_ms()
        previous_finished = (
            self._latest_exchange.finished if self._latest_exchange is not None else None
        )
        exchange = CallerExchange(
            self,
            parser,
            request.head,
            request.body,
            request.counted_bytes,
            now_ms,
            previous_finished,
        )
        self._latest_exchange = exchange
        self._end.request_count += 1
        task = asyncio.get_running_loop().create_task(self._handle(exchange))
        self._handlers[task] = exchange
        self._server.ahead_limit.begin_request()
        task.add_done_callback(self._on_handler_done)

    def _on_handler_done(self, task: asyncio.Task[None]) -> None:
        """Give back what is held; start the idle timeout if no request is in progress."""
        # A handler that is cancelled before its first step runs none of its own code.
        self._handlers.pop(task).release()
        self._server.ahead_limit.end_request()
        if not self._handlers and self._accepts_requests and self._reader.is_between_requests:
            self.idle_since_ms = self._server.clock.now_ms()
            self.start_timer(lambda: self._server.limits().idle_timeout_ms)

    async def _handle(self, exchange: CallerExchange) -> None:
        """Run the handler; end the connection if it must not carry another request."""
        complete = False
        cause = EndCause.ANSWER_CUT
        try:
            await self._server.handler(exchange)
            complete = exchange.finished.done()
        except HttpError as error:
            logger.debug("request from %s ended before its response: %s", self.peer_ip, error)
            complete = await exchange.refuse_unanswered()
        except Exception as error:
            cause = EndCause.HANDLER_FAILED
            self._server.ends.record_failed_handler(exchange.head, self.peer_ip, error)
            complete = await exchange.refuse_unanswered()
        finally:
            # After an incomplete response, the later requests cannot be answered either.
            if not complete:
                self._begin_end(cause)
                self._accepts_requests = False
                self.abort()
            elif exchange.must_close and exchange is self._latest_exchange:
                self._accepts_requests = False
                self.wake_reader()

    async def read_more(self) -> bytes:
        """Wait for data and return it, or b"" once the peer has closed or reading has ended."""
        while self._has_to_wait():
            if self._timer.is_due or self._dismissal is not None:
                if await self._is_to_end():
                    self._end_waiting()
                    return b""
                # What came while this task looked has woken nobody.
                if not self._has_to_wait():
                    break
            await self._wait_for_data()
        self._dismissal = None
        return self.read_nowait() if self._takes_requests() else b""

    def _has_to_wait(self) -> bool:
        """Return whether there is nothing for the reader to act on."""
        is_over = self.peer_closed.is_set() or self._reader.is_given_up
        return self._takes_requests() and not self.unread_bytes and not is_over

    async def _is_to_end(self) -> bool:
        """Return whether the caller has to go, and nothing of it has arrived that was not read."""
        await read_arrived_bytes()
        if not self._has_to_wait():
            return False
        # Between requests, an answer in progress keeps the connection.
        is_kept = self.is_busy and self._reader.is_between_requests
        return self._dismissal is not None or (self._timer.is_due and not is_kept)

    def _end_waiting(self) -> None:
        """Close an idle connection, or raise RequestTimedOut if a request has begun to arrive."""
        self._accepts_requests = False
        if not self._reader.is_between_requests:
            raise RequestTimedOut(self._server.limits().head_timeout_ms)
        self._begin_end(self._dismissal or EndCause.IDLE_TIMEOUT)
        if not self.unacknowledged_bytes:
            self.close()

    async def _wait_for_handlers(self) -> None:
        """Wait until no request is in progress.

        The handlers end also if their responses are never finished, as when the caller has left.
        """
        while self._handlers:
            await asyncio.wait(self._handlers)

    async def write_in_turn(self, data: bytes) -> None:
        """Send bytes after the responses to all earlier requests, unless the last one closes."""
        await self._wait_for_handlers()
        if self._accepts_requests:
            await self.write(data)

    async def _reject_request(self, parser: h11.Connection, error: RequestRefused) -> None:
        """Send an error response without a body, marked as not run, after the earlier responses."""
        self._accepts_requests = False
        self._refuses_next = True
        await self._wait_for_handlers()
        if isinstance(error, MemoryShort):
            self.held.record_refusal(self.peer_ip, self._server.clock.now_ms())
        if data := encode_refusal(parser, error):
            await self.write(data)

    async def _linger(self) -> None:
        """End our stream and discard what arrives until the peer closes or takes no more of it."""
        self._begin_end(EndCause.LAST_ANSWER)
        if not self.is_open or self.transport is None or self._dismissal is not None:
            return
        self._is_lingering = True
        self.transport.write_eof()
        lingering = Lingering(self._server.clock)
        self.start_timer(lambda: LINGER_MS)
        while not self.peer_closed.is_set():
            if self._timer.is_due and lingering.goes_on(self.unacknowledged_bytes):
                self.start_timer(lambda: LINGER_MS)
            elif self._timer.is_due:
                # What is not sent yet goes out first.
                self.close()
            self._end.discarded.add(self.read_nowait())
            await self._wait_for_data()

    def start_timer(self, limit_ms: Callable[[], int]) -> None:
        """Replace the running timeout, if any, by one of `limit_ms`, which may change."""
        self._timer.start(limit_ms)
