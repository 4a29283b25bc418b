"""Buffer the bytes of one connection, with flow control in both directions."""

import asyncio
from collections.abc import Callable
from typing import cast

from nutmeglead.http.errors import PeerClosed
from nutmeglead.http.sockets import reset_on_close, unacknowledged_bytes

__all__ = ["ByteChannel"]

# Reading from the socket pauses above this limit, which bounds the memory of one connection.
MAX_UNREAD_BYTES = 16_384
# Most bytes of one read; asyncio's own limit is eight times as large. Reads of this size pause the
# reading until the reader has run, so that a connection holds little more than one of them.
MAX_READ_BYTES = 32_768


class ByteChannel(asyncio.Protocol):
    """Byte stream over one asyncio transport.

    Received bytes are buffered until they are read. Writers wait while the send buffer is full.
    Only one task at a time may wait for data.
    """

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.bytes_written = 0
        self.bytes_received = 0
        # Set once the peer has ended its stream or the connection is lost.
        self.peer_closed = asyncio.Event()
        # Called once when `peer_closed` is set; costs less per request than a task that waits.
        self.on_peer_closed: Callable[[], None] | None = None
        # Called with each change of the number of unread bytes.
        self.on_unread_changed: Callable[[int], None] | None = None
        self._buffer = bytearray()
        self._read_waiter: asyncio.Future[None] | None = None
        self._write_waiters: list[asyncio.Future[None]] = []
        self._reading_paused = False
        self._writing_paused = False
        self._connection_lost = False
        # True if the connection ended with a reset or an error instead of the end of the stream.
        self.was_reset = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Record the transport of the new connection."""
        self.transport = cast(asyncio.Transport, transport)
        if hasattr(transport, "max_size"):
            transport.max_size = MAX_READ_BYTES

    def data_received(self, data: bytes) -> None:
        """Buffer received bytes; pause reading while more than `MAX_UNREAD_BYTES` are unread."""
        self.bytes_received += len(data)
        self._buffer += data
        if self.on_unread_changed is not None:
            self.on_unread_changed(len(data))
        if len(self._buffer) > MAX_UNREAD_BYTES and self.transport and not self._reading_paused:
            self.transport.pause_reading()
            self._reading_paused = True
        self.wake_reader()

    def eof_received(self) -> bool:
        """Record the peer's end of stream; return True to keep our side open for the response."""
        self._mark_peer_closed()
        self.wake_reader()
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """Record how the connection ended; wake the reader, and the writers, which then fail."""
        self._connection_lost = True
        self.was_reset = exc is not None
        self._mark_peer_closed()
        self.wake_reader()
        self.resume_writing()

    def pause_writing(self) -> None:
        """Make writers wait while the send buffer is full."""
        self._writing_paused = True

    def resume_writing(self) -> None:
        """Wake the waiting writers once the send buffer has drained."""
        self._writing_paused = False
        for waiter in self._write_waiters:
            if not waiter.done():
                waiter.set_result(None)
        self._write_waiters.clear()

    async def read(self) -> bytes:
        """Wait for data and return all unread bytes, or b"" at the end of the stream."""
        while not self._buffer:
            if self.peer_closed.is_set():
                return b""
            await self._wait_for_data()
        return self.read_nowait()

    async def _wait_for_data(self) -> None:
        """Wait until data arrives, the peer ends its stream or the connection is lost."""
        self._read_waiter = asyncio.get_running_loop().create_future()
        try:
            await self._read_waiter
        finally:
            self._read_waiter = None

    def read_nowait(self) -> bytes:
        """Return all unread bytes without waiting, or b"" if there are none; resume reading."""
        data = bytes(self._buffer)
        self._buffer.clear()
        if self.on_unread_changed is not None:
            self.on_unread_changed(-len(data))
        if self._reading_paused and self.transport:
            self.transport.resume_reading()
            self._reading_paused = False
        return data

    async def write(self, data: bytes) -> None:
        """Send bytes and wait while the send buffer is full; raise PeerClosed if disconnected."""
        self.send(data)
        if self._writing_paused:
            await self.drain()

    def send(self, data: bytes) -> None:
        """Send bytes, or add them to the send buffer; raise PeerClosed if disconnected."""
        if self._connection_lost or self.transport is None or self.transport.is_closing():
            raise PeerClosed("before the bytes were sent")
        self.transport.write(data)
        self.bytes_written += len(data)

    async def drain(self) -> None:
        """Wait while the send buffer is full; raise PeerClosed if the connection is lost."""
        if self._writing_paused:
            waiter = asyncio.get_running_loop().create_future()
            self._write_waiters.append(waiter)
            await waiter
            if self._connection_lost:
                raise PeerClosed("while bytes were being sent")

    @property
    def unread_bytes(self) -> int:
        """Return the number of received bytes that have not been read."""
        return len(self._buffer)

    @property
    def unsent_bytes(self) -> int:
        """Return how many written bytes the kernel has not taken yet."""
        return 0 if self.transport is None else self.transport.get_write_buffer_size()

    @property
    def unacknowledged_bytes(self) -> int:
        """Return how many written bytes the peer's kernel has not acknowledged yet."""
        return self.unsent_bytes + unacknowledged_bytes(self.transport)

    @property
    def is_writing_paused(self) -> bool:
        """Return whether the send buffer is full."""
        return self._writing_paused

    @property
    def peer_ip(self) -> str:
        """Return the IP address of the peer, or "" if it is not known."""
        name = self.transport.get_extra_info("peername") if self.transport is not None else None
        return str(name[0]) if name else ""

    @property
    def peer_address(self) -> str:
        """Return the IP address and the port of the peer, or "" if they are not known."""
        name = self.transport.get_extra_info("peername") if self.transport is not None else None
        return f"{name[0]}:{name[1]}" if name else ""

    @property
    def is_open(self) -> bool:
        """Return whether both directions of the connection are open."""
        transport = self.transport
        return (
            transport is not None and not transport.is_closing() and not self.peer_closed.is_set()
        )

    def close(self) -> None:
        """Close the connection after the buffered bytes are sent."""
        if self.transport is not None:
            self.transport.close()

    def abort(self) -> None:
        """Close the connection at once and drop the bytes that are not sent yet."""
        if self.transport is not None:
            self.transport.abort()

    async def wait_closed(self) -> None:
        """Wait until the socket of an aborted connection is closed; no other task may read."""
        while not self._connection_lost:
            await self._wait_for_data()

    def reset(self) -> None:
        """End the connection with a reset, which no peer takes for the end of a response."""
        reset_on_close(self.transport)
        self.abort()

    def _mark_peer_closed(self) -> None:
        """Set `peer_closed` and call `on_peer_closed` the first time."""
        self.peer_closed.set()
        callback, self.on_peer_closed = self.on_peer_closed, None
        if callback is not None:
            callback()

    def wake_reader(self) -> None:
        """Make the task that waits for data look again."""
        if self._read_waiter is not None and not self._read_waiter.done():
            self._read_waiter.set_result(None)
