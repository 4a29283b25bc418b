"""Read a caller's request body: small ones whole, large ones as a stream."""

from collections.abc import AsyncIterator
from typing import Protocol

from nutmeglead.http.errors import MalformedMessage, PeerClosed
from nutmeglead.http.messages import Headers, RequestHead
from nutmeglead.routing.errors import BodyTooLarge, CallerGone, RequestMalformed
from nutmeglead.routing.exchange import BodySource
from nutmeglead.routing.inbound import InboundRequest

__all__ = ["SMALL_BODY_BYTES", "CallerExchange", "RequestBody"]

# A body up to this size is read whole before a slot is taken, so a slow caller holds no slot and
# the request can be sent again. Orders take a few KiB.
SMALL_BODY_BYTES = 65_536


class CallerExchange(Protocol):
    """Be the part of nutmeglead.http.server.ServerExchange that the router uses."""

    head: RequestHead

    async def read_body(self) -> bytes:
        """Return the next part of the request body, or b"" at its end."""
        ...

    async def start_response(self, status: int, headers: Headers) -> None:
        """Send the head of the response."""
        ...

    async def send_body(self, data: bytes) -> None:
        """Send a part of the response body."""
        ...

    async def finish_response(self) -> None:
        """End the response."""
        ...

    async def respond(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a whole response."""
        ...

    def abort(self) -> None:
        """Cut the connection."""
        ...


class RequestBody:
    """Give the body to each attempt, as long as it can still be given from its start."""

    def __init__(self, caller: CallerExchange, request: InboundRequest) -> None:
        self._caller = caller
        self._max_bytes = int(request.service.max_body_bytes)
        self._length = request.content_length
        self._whole: bytes | None = b"" if request.content_length == 0 else None
        self._is_consumed = False

    @property
    def length(self) -> int | None:
        """Return the length in bytes, or None for a chunked body."""
        return self._length

    @property
    def size_bytes(self) -> int:
        """Return how many bytes are buffered."""
        return len(self._whole or b"")

    @property
    def is_whole(self) -> bool:
        """Tell whether the whole body is buffered, so that two attempts can send it."""
        return self._whole is not None

    @property
    def can_replay(self) -> bool:
        """Tell whether another attempt can send the body from its start."""
        return self._whole is not None or not self._is_consumed

    async def buffer_small(self) -> None:
        """Read a small body whole; raise a RequestError if the caller does not send it."""
        if self._whole is not None or self._length is None or self._length > SMALL_BODY_BYTES:
            return
        self._whole = b"".join([part async for part in self._stream()])

    def source(self) -> BodySource | None:
        """Return the parts to send, or None if there is no body."""
        if self._whole is None:
            return self._stream
        return self._replay if self._whole else None

    async def _replay(self) -> AsyncIterator[bytes]:
        assert self._whole is not None
        yield self._whole

    async def _stream(self) -> AsyncIterator[bytes]:
        self._is_consumed = True
        total_bytes = 0
        while part := await self._read_part():
            total_bytes += len(part)
            if total_bytes > self._max_bytes:
                raise BodyTooLarge(f"more than {self._max_bytes} bytes")
            yield part

    async def _read_part(self) -> bytes:
        try:
            return await self._caller.read_body()
        except PeerClosed as error:
            raise CallerGone(str(error)) from error
        except MalformedMessage as error:
            raise RequestMalformed(str(error)) from error
