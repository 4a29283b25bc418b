"""Join two asyncio protocols by in-memory transports with flow control."""

import asyncio
from collections import deque

from nutmeglead.http.channel import ByteChannel

HIGH_WATER_BYTES = 65_536
# A scenario that makes no progress in this many loop steps fails instead of hanging.
MAX_LOOP_STEPS = 20_000


class MemoryTransport(asyncio.Transport):
    """Deliver written bytes to the peer's protocol in later loop steps."""

    def __init__(self, protocol):
        super().__init__()
        self.protocol = protocol
        self.peer = None
        self.sent = bytearray()
        self.was_reset = False
        self._closing = False
        self._inbox = deque()
        self._inbox_bytes = 0
        self._paused = False
        self._writer_paused = False
        self._eof = False

    def write(self, data):
        if self._closing:
            return
        self.sent += data
        self.peer._receive(bytes(data))
        if self.peer._inbox_bytes > HIGH_WATER_BYTES and not self._writer_paused:
            self._writer_paused = True
            self.protocol.pause_writing()

    def _receive(self, data):
        # A socket gives at most 256 KiB to one read; smaller parts exercise the flow control.
        for start in range(0, len(data), HIGH_WATER_BYTES):
            self._inbox.append(data[start : start + HIGH_WATER_BYTES])
        self._inbox_bytes += len(data)
        asyncio.get_running_loop().call_soon(self._pump)

    def _pump(self):
        while self._inbox and not self._paused and not self._closing:
            data = self._inbox.popleft()
            self._inbox_bytes -= len(data)
            self.protocol.data_received(data)
        peer = self.peer
        if peer._writer_paused and self._inbox_bytes <= HIGH_WATER_BYTES // 4:
            peer._writer_paused = False
            peer.protocol.resume_writing()
        if self._eof and not self._inbox and not self._closing:
            self._eof = False
            self.protocol.eof_received()

    def pause_reading(self):
        self._paused = True

    def resume_reading(self):
        self._paused = False
        asyncio.get_running_loop().call_soon(self._pump)

    def is_closing(self):
        return self._closing

    def close(self):
        self._end(reset=False)

    def abort(self):
        self._end(reset=True)

    def _end(self, reset):
        if self._closing:
            return
        self._closing = True
        loop = asyncio.get_running_loop()
        loop.call_soon(self.protocol.connection_lost, None)
        if reset:
            loop.call_soon(self.peer._lose)
        else:
            self.peer._eof = True
            loop.call_soon(self.peer._pump)

    def _lose(self):
        """Take a reset from the peer; bytes not read yet are lost."""
        if self._closing:
            return
        self._closing = True
        self.was_reset = True
        self._inbox.clear()
        self.protocol.connection_lost(ConnectionResetError())


def join(protocol, other):
    """Connect two protocols."""
    near, far = MemoryTransport(protocol), MemoryTransport(other)
    near.peer, far.peer = far, near
    protocol.connection_made(near)
    other.connection_made(far)
    return near, far


def join_channel(protocol):
    """Connect a protocol with a new channel and return the channel."""
    channel = ByteChannel()
    join(protocol, channel)
    return channel


async def settle(steps=60):
    """Let every task that can go on do so."""
    for _ in range(steps):
        await asyncio.sleep(0)


async def until(condition, what):
    """Run the loop until a condition holds."""
    for _ in range(MAX_LOOP_STEPS):
        if condition():
            return
        await asyncio.sleep(0)
    raise AssertionError(f"never happened: {what}")
