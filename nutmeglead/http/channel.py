"""Read and write bytes of one connection with back-pressure in both directions."""

import asyncio
from collections.abc import Callable
from typing import cast

from nutmeglead.http.errors import PeerClosed

__all__ = ["ByteChannel"]

# Reading pauses above this many unread bytes, which bounds the memory of one connection.
READ_BUFFER_BYTES = 262_144


class ByteChannel(asyncio.Protocol):
    """Hold the unread bytes of a connection and wait for the transport to drain."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.bytes_written = 0
        # Set when the peer has closed its side or the connection is lost.
        self.peer_gone = asyncio.Event()
        # Called once at that moment; a callback costs less per request than a task that waits.
        self.on_peer_gone: Callable[[], None] | None = None
        self._buffer = bytearray()
        self._reader: asyncio.Future[None] | None = None
        self._writers: list[asyncio.Future[None]] = []
        self._reading_paused = False
        self._writing_paused = False
        self._lost = False
        # Set when the connection ended with a reset or an error instead of the end of the stream.
        self.was_reset = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Buffer bytes and pause the transport when too many are unread."""
        self._buffer += data
        if len(self._buffer) > READ_BUFFER_BYTES and self.transport and not self._reading_paused:
            self.transport.pause_reading()
            self._reading_paused = True
        self._wake_reader()

    def eof_received(self) -> bool:
        """Note the peer's end of stream; keep our side open for the answer."""
        self._note_peer_gone()
        self._wake_reader()
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the waiting writers and wake the reader."""
        self._lost = True
        self.was_reset = exc is not None
        self._note_peer_gone()
        self._wake_reader()
        self.resume_writing()

    def pause_writing(self) -> None:
        """Make writers wait."""
        self._writing_paused = True

    def resume_writing(self) -> None:
        """Let writers go on."""
        self._writing_paused = False
        for writer in self._writers:
            if not writer.done():
                writer.set_result(None)
        self._writers.clear()

    async def read(self) -> bytes:
        """Return the next bytes, or b"" at the end of the stream."""
        while not self._buffer:
            if self.peer_gone.is_set():
                return b""
            await self._next_arrival()
        return self.take()

    async def _next_arrival(self) -> None:
        """Wait for bytes or for the end of the stream."""
        self._reader = asyncio.get_running_loop().create_future()
        try:
            await self._reader
        finally:
            self._reader = None

    def take(self) -> bytes:
        """Return the bytes that have arrived, or b"" if there are none."""
        data = bytes(self._buffer)
        self._buffer.clear()
        if self._reading_paused and self.transport:
            self.transport.resume_reading()
            self._reading_paused = False
        return data

    async def write(self, data: bytes) -> None:
        """Send bytes and wait while the transport's buffer is full; raise PeerClosed if lost."""
        if self._lost or self.transport is None or self.transport.is_closing():
            raise PeerClosed("before the bytes were sent")
        self.transport.write(data)
        self.bytes_written += len(data)
        if self._writing_paused:
            writer = asyncio.get_running_loop().create_future()
            self._writers.append(writer)
            await writer
            if self._lost:
                raise PeerClosed("while bytes were being sent")

    @property
    def unread_bytes(self) -> int:
        """Count the bytes that have arrived and have not been read."""
        return len(self._buffer)

    @property
    def is_open(self) -> bool:
        """Tell whether both sides are still open."""
        transport = self.transport
        return transport is not None and not transport.is_closing() and not self.peer_gone.is_set()

    def close(self) -> None:
        """Close after the buffered bytes are sent."""
        if self.transport is not None:
            self.transport.close()

    def abort(self) -> None:
        """Close at once and drop buffered bytes."""
        if self.transport is not None:
            self.transport.abort()

    def _note_peer_gone(self) -> None:
        self.peer_gone.set()
        callback, self.on_peer_gone = self.on_peer_gone, None
        if callback is not None:
            callback()

    def _wake_reader(self) -> None:
        if self._reader is not None and not self._reader.done():
            self._reader.set_result(None)
