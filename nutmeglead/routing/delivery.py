"""Pass a server's answer to the caller: small ones whole, large ones with back-pressure."""

from enum import Enum
from types import TracebackType
from typing import Protocol

from result import Err, Result

from nutmeglead.http.errors import HttpError
from nutmeglead.http.messages import Headers, ResponseHead
from nutmeglead.routing.body import CallerExchange
from nutmeglead.routing.errors import CallerGone, RequestError
from nutmeglead.routing.exchange import BODILESS_STATUSES
from nutmeglead.routing.inbound import InboundRequest, answer_headers
from nutmeglead.routing.timers import TimeLimit, Timers

__all__ = ["AnswerSource", "SMALL_ANSWER_BYTES", "Delivery", "DeliveryState"]

# An answer up to this size is read whole before the caller gets its first byte. So its slot does
# not wait for a slow caller, and a cut answer still becomes a typed failure.
SMALL_ANSWER_BYTES = 65_536


class AnswerSource(Protocol):
    """Be the part of an attempt that a delivery uses."""

    @property
    def is_from_gate(self) -> bool:
        """Tell whether the answer comes from a router that stands for the server."""
        ...

    async def read_body(self) -> Result[bytes, RequestError]:
        """Return the next part of the answer's body, or b"" at its end."""
        ...

    def begin_streaming(self) -> None:
        """Let the rest of the body take longer than the deadline."""
        ...

    def close(self) -> None:
        """Give back what the answer has used."""
        ...


class DeliveryState(Enum):
    """Tell what the caller has received."""

    NOTHING = "nothing"
    STARTED = "started"
    WHOLE = "whole"


class Delivery:
    """Deliver one answer; `state` tells whether a failure can still be answered."""

    def __init__(self, caller: CallerExchange, request: InboundRequest, timers: Timers) -> None:
        self.state = DeliveryState.NOTHING
        self.status: int | None = None
        self._caller = caller
        self._request = request
        self._timers = timers
        self._stall_ms = int(request.service.request_timeout_ms)

    async def answer(self, attempt: AnswerSource, head: ResponseHead) -> RequestError | None:
        """Deliver a server's answer; close the attempt as soon as the answer is read whole."""
        self.status = head.status
        headers = answer_headers(head.headers, attempt.is_from_gate)
        if self._request.head.method == b"HEAD" or head.status in BODILESS_STATUSES:
            return await self._answer_without_body(attempt, head.status, headers)
        parts: list[bytes] = []
        size_bytes = 0
        while size_bytes <= SMALL_ANSWER_BYTES:
            part = await attempt.read_body()
            if isinstance(part, Err):
                return part.err_value
            if not part.ok_value:
                attempt.close()
                await self.respond(head.status, headers, b"".join(parts))
                return None
            parts.append(part.ok_value)
            size_bytes += len(part.ok_value)
        return await self._stream(attempt, head.status, headers, b"".join(parts))

    async def _answer_without_body(
        self, attempt: AnswerSource, status: int, headers: Headers
    ) -> RequestError | None:
        part = await attempt.read_body()
        if isinstance(part, Err):
            return part.err_value
        attempt.close()
        await self._start(status, headers)
        await self._send(b"")
        self.state = DeliveryState.WHOLE
        return None

    async def respond(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a whole answer; raise CallerGone if the caller does not take it."""
        framing = (b"content-length", b"transfer-encoding")
        unframed = [(name, value) for name, value in headers if name not in framing]
        self.status = status
        self.state = DeliveryState.STARTED
        async with _CallerLimit(self._timers, self._stall_ms):
            await self._caller.respond(status, unframed, body)
        self.state = DeliveryState.WHOLE

    async def _stream(
        self, attempt: AnswerSource, status: int, headers: Headers, first: bytes
    ) -> RequestError | None:
        attempt.begin_streaming()
        await self._start(status, headers)
        data = first
        while data:
            await self._send(data)
            part = await attempt.read_body()
            if isinstance(part, Err):
                # The status is sent already; a cut connection is the only way left to say that the
                # answer is not whole.
                self._caller.abort()
                return part.err_value
            data = part.ok_value
        attempt.close()
        await self._send(b"")
        self.state = DeliveryState.WHOLE
        return None

    async def _start(self, status: int, headers: Headers) -> None:
        self.state = DeliveryState.STARTED
        async with _CallerLimit(self._timers, self._stall_ms):
            await self._caller.start_response(status, headers)

    async def _send(self, data: bytes) -> None:
        async with _CallerLimit(self._timers, self._stall_ms):
            if data:
                await self._caller.send_body(data)
            else:
                await self._caller.finish_response()


class _CallerLimit(TimeLimit):
    """Raise CallerGone if the caller takes no byte for too long or has left."""

    def __init__(self, timers: Timers, stall_ms: int) -> None:
        super().__init__(timers, timers.clock.now_ms() + stall_ms)
        self._stall_ms = stall_ms

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        try:
            await super().__aexit__(kind, error, trace)
        except TimeoutError as late:
            raise CallerGone(f"it took no byte for {self._stall_ms} ms") from late
        if isinstance(error, HttpError):
            raise CallerGone(str(error)) from error
