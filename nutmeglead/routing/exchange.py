"""Run one request on one backend connection and classify every failure."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from enum import Enum
from typing import Protocol

from result import Err, Ok, Result

from nutmeglead.http.errors import HttpError, MalformedMessage, PeerClosed
from nutmeglead.http.messages import RequestHead, ResponseHead, header_value
from nutmeglead.routing.errors import (
    AnswerLate,
    AnswerMalformed,
    DeadlinePassed,
    RequestError,
    RequestMalformed,
    ServerFailed,
    ServerRefused,
    ServerUnreachable,
)
from nutmeglead.routing.timers import Timers, time_limit

__all__ = ["BackendConnection", "BodySource", "Exchange", "ExchangeState"]

BodySource = Callable[[], AsyncIterator[bytes]]
BODILESS_STATUSES = (204, 304)
REFUSAL_STATUSES = (421, 503)


class BackendConnection(Protocol):
    """Be the part of nutmeglead.http.client.ClientConnection that an exchange uses."""

    @property
    def bytes_written(self) -> int:
        """Count the bytes written in the present exchange."""
        ...

    @property
    def is_reusable(self) -> bool:
        """Tell whether the connection is idle and can carry another exchange."""
        ...

    async def send_head(self, head: RequestHead) -> None:
        """Send the head of a request."""
        ...

    async def send_body(self, data: bytes) -> None:
        """Send a part of the request body."""
        ...

    async def finish_request(self) -> None:
        """End the request."""
        ...

    async def read_head(self) -> ResponseHead:
        """Return the head of the response."""
        ...

    async def read_body(self) -> bytes:
        """Return the next part of the response body, or b"" at its end."""
        ...

    def take_body(self) -> bytes | None:
        """Return what `read_body` would, or None if it would have to wait."""
        ...

    def finish_exchange(self) -> bool:
        """End the exchange; return whether the connection can be reused."""
        ...

    def abort(self) -> None:
        """Close the connection at once."""
        ...


class ExchangeState(Enum):
    """Tell how far an exchange is."""

    CONNECT = "connect"
    WRITE = "write"
    WAIT = "wait"
    STREAM = "stream"
    DONE = "done"
    FAILED = "failed"


Connect = Callable[[], Awaitable[Result[BackendConnection, RequestError]]]


class Exchange:
    """Send a request and read its answer; after a failure the connection is closed.

    Cancelling a method closes the connection too, which cancels the request at the server.
    """

    def __init__(self, timers: Timers, deadline_ms: int, stall_ms: int) -> None:
        self.state = ExchangeState.CONNECT
        self.connection: BackendConnection | None = None
        self.answer_bytes = 0
        self._timers = timers
        self._deadline_ms = deadline_ms
        self._stall_ms = stall_ms
        self._sent_head: RequestHead | None = None
        self._is_streaming = False

    async def run(
        self, connect: Connect, make_head: Callable[[], RequestHead], body: BodySource | None
    ) -> Result[ResponseHead, RequestError]:
        """Connect, send the request and return the head of the answer.

        `make_head` is called once the connection is open, so that the time left is current.
        """
        try:
            async with time_limit(self._timers, self._deadline_ms):
                opened = await connect()
                if isinstance(opened, Err):
                    self.state = ExchangeState.FAILED
                    return opened
                self.connection = opened.ok_value
                # After a pause of this process the timer may fire later than this step.
                if self._timers.clock.now_ms() >= self._deadline_ms:
                    raise TimeoutError
                answer = await self._send_and_wait(make_head(), body)
        except TimeoutError:
            return Err(self._fail(self._late()))
        except HttpError as error:
            return Err(self._fail(self._classify(error)))
        except RequestError as error:
            return Err(self._fail(error.after_first_byte() if self._has_written() else error))
        except BaseException:
            self._fail(None)
            raise
        return self._accept(answer)

    async def _send_and_wait(self, head: RequestHead, body: BodySource | None) -> ResponseHead:
        assert self.connection is not None
        self._sent_head = head
        self.state = ExchangeState.WRITE
        await self.connection.send_head(head)
        if body is None:
            await self.connection.finish_request()
            self.state = ExchangeState.WAIT
            return await self.connection.read_head()
        return await self._send_body_and_wait(body)

    async def _send_body_and_wait(self, body: BodySource) -> ResponseHead:
        """Read while writing: a server may refuse before it has read the whole body."""
        assert self.connection is not None
        reading = asyncio.ensure_future(self.connection.read_head())
        writing = asyncio.ensure_future(self._write_body(self.connection, body))
        try:
            await asyncio.wait({reading, writing}, return_when=asyncio.FIRST_COMPLETED)
            if not reading.done() and not isinstance(writing.exception(), PeerClosed):
                await writing
            # After a failed write, an answer that came before the failure still counts.
            return await reading
        finally:
            for task in (reading, writing):
                task.cancel()
            await asyncio.gather(reading, writing, return_exceptions=True)

    async def _write_body(self, connection: BackendConnection, body: BodySource) -> None:
        async for part in body():
            await connection.send_body(part)
        await connection.finish_request()
        self.state = ExchangeState.WAIT

    def _has_written(self) -> bool:
        # Until then, a reused connection counts the bytes of its last exchange.
        if self.state is ExchangeState.CONNECT:
            return False
        return self.connection is not None and self.connection.bytes_written > 0

    def _late(self) -> RequestError:
        if self._has_written():
            return AnswerLate(f"no answer in state {self.state.value} before the deadline")
        return DeadlinePassed(f"in state {self.state.value}, before a byte was written")

    def _classify(self, error: HttpError) -> RequestError:
        if self._has_written():
            if isinstance(error, MalformedMessage):
                return AnswerMalformed(str(error))
            return ServerFailed(str(error))
        if isinstance(error, MalformedMessage):
            return RequestMalformed(str(error))
        return ServerUnreachable(str(error))

    def _accept(self, answer: ResponseHead) -> Result[ResponseHead, RequestError]:
        """Check the head of an answer; a refusal is a failure of its own kind."""
        fault = self._identity_fault(answer) or self._framing_fault(answer)
        if fault is not None:
            return Err(self._fail(AnswerMalformed(fault)))
        self.state = ExchangeState.STREAM
        refusal = header_value(answer.headers, b"nutmeglead-refusal")
        if answer.status in REFUSAL_STATUSES and refusal is not None:
            reason = refusal.decode("latin-1")
            return Err(ServerRefused(f"{answer.status} {reason}", answer.status))
        return Ok(answer)

    def _identity_fault(self, answer: ResponseHead) -> str | None:
        assert self._sent_head is not None
        sent_id = header_value(self._sent_head.headers, b"nutmeglead-request")
        answered_id = header_value(answer.headers, b"nutmeglead-request")
        if answered_id is not None and answered_id != sent_id:
            return "the answer belongs to another request"
        return None

    def _framing_fault(self, answer: ResponseHead) -> str | None:
        assert self._sent_head is not None
        chunked = header_value(answer.headers, b"transfer-encoding") is not None
        sized = header_value(answer.headers, b"content-length") is not None
        if chunked and sized:
            return "both content-length and transfer-encoding are given"
        bodiless = self._sent_head.method == b"HEAD" or answer.status in BODILESS_STATUSES
        # Without a length, a broken connection looks like the end of the body.
        if not (chunked or sized or bodiless):
            return "the body has no length"
        return None

    async def read_body(self) -> Result[bytes, RequestError]:
        """Return the next part of the answer's body, or b"" at its end."""
        assert self.connection is not None
        try:
            data = self.connection.take_body()
            if data is None:
                data = await self._wait_for_body(self.connection)
        except TimeoutError:
            return Err(self._fail(AnswerLate("the body was not whole in time")))
        except HttpError as error:
            return Err(self._fail(self._classify(error)))
        except BaseException:
            self._fail(None)
            raise
        self.answer_bytes += len(data)
        if not data:
            self.state = ExchangeState.DONE
        return Ok(data)

    async def _wait_for_body(self, connection: BackendConnection) -> bytes:
        end_ms = self._deadline_ms
        if self._is_streaming:
            end_ms = self._timers.clock.now_ms() + self._stall_ms
        async with time_limit(self._timers, end_ms):
            return await connection.read_body()

    def begin_streaming(self) -> None:
        """Let the rest of the body take longer than the deadline, as long as bytes come.

        The caller has the head in time then; a large file takes as long as the caller reads.
        """
        self._is_streaming = True

    async def drain(self, max_bytes: int) -> bool:
        """Read the rest of a refusal's body, so that its connection can be reused."""
        while self.answer_bytes <= max_bytes:
            part = await self.read_body()
            if isinstance(part, Err):
                return False
            if not part.ok_value:
                return True
        return False

    def finish(self) -> bool:
        """End the exchange; return whether the connection can be reused."""
        if self.connection is None:
            return False
        if self.state is not ExchangeState.DONE:
            self.connection.abort()
            return False
        return self.connection.finish_exchange()

    def _fail(self, error: RequestError | None) -> RequestError:
        self.state = ExchangeState.FAILED
        if self.connection is not None:
            self.connection.abort()
        return error or ServerFailed("the exchange was cancelled")
