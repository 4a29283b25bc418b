"""Emulate one end of a TCP connection: an asyncio transport, and what the kernel does with it."""

from __future__ import annotations

import asyncio
import contextvars
from collections import deque
from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING, Any

from nutmeglead.emulator.hosts import SocketOptions
from nutmeglead.emulator.links import SEGMENT_BYTES

if TYPE_CHECKING:
    from nutmeglead.emulator.network import Network

__all__ = ["Stream"]

# Bytes in flight and unread above which the sender's writing is paused.
WINDOW_BYTES = 262_144
# The kernel looks at the limit on unacknowledged data when it would send the data again.
MIN_RETRANSMISSION_MS = 200
# Least time between two arrivals on a stream.
ORDER_STEP_S = 1e-6


class Stream(asyncio.Transport):
    """Implement the transport of one end of a connection."""

    def __init__(self, network: Network, ip: str, protocol: Any, peer_ip: str) -> None:
        super().__init__()
        self.ip = ip
        self.peer_ip = peer_ip
        self.protocol = protocol
        self.context = contextvars.copy_context()
        self.peer: Stream | None = None
        self._network = network
        self._socket_options = SocketOptions()
        self._last_arrival_s = 0.0
        self._is_closing = False
        self._is_disconnected = False
        self._is_paused = False
        # Data that waits for a link of limited rate, with its size.
        self._unsent: deque[tuple[int, Callable[[], None]]] = deque()
        self._unread: deque[bytes] = deque()
        self._unread_bytes = 0
        # Bytes that the peer has written and that have not arrived here.
        self._in_flight_bytes = 0
        self._has_pending_eof = False
        # Whether the peer's protocol was told to pause writing, as too much is in flight or unread.
        self._is_peer_paused = False
        network.streams.add(self)

    # ---- asyncio.Transport ----

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """Return the addresses of both ends, or the options of the socket."""
        info = {
            "peername": (self.peer_ip, 0),
            "sockname": (self.ip, 0),
            "socket": self._socket_options,
        }
        return info.get(name, default)

    def is_closing(self) -> bool:
        """Return whether the stream was closed or has ended."""
        return self._is_closing

    def is_reading(self) -> bool:
        """Return whether received data is passed on."""
        return not self._is_paused

    def pause_reading(self) -> None:
        """Keep received data until reading is resumed."""
        self._is_paused = True

    def resume_reading(self) -> None:
        """Pass received data on again, beginning with what was kept."""
        self._is_paused = False
        self._read_pending()

    def write(self, data: bytes | bytearray | memoryview) -> None:
        """Send data; the protocol is told to pause when too much of it has not been read."""
        if self._is_closing or not data:
            return
        peer, chunk = self._connected_peer(), bytes(data)
        peer._in_flight_bytes += len(chunk)
        is_limited = self._network.links.is_limited(self.ip, self.peer_ip)
        step_bytes = SEGMENT_BYTES if is_limited else len(chunk)
        for start in range(0, len(chunk), step_bytes):
            segment = chunk[start : start + step_bytes]
            self.transmit(partial(peer._receive, segment), len(segment))
        if peer._in_flight_bytes + peer._unread_bytes > WINDOW_BYTES and not peer._is_peer_paused:
            peer._is_peer_paused = True
            self.protocol.pause_writing()

    def get_write_buffer_size(self) -> int:
        """Return 0: links of limited rate take whatever is written."""
        # A caller that does not read is not emulated.
        return 0

    def write_eof(self) -> None:
        """Send the end of the stream after the data that was written."""
        self.transmit(self._connected_peer()._receive_eof)

    def can_write_eof(self) -> bool:
        """Return True."""
        return True

    def close(self) -> None:
        """Close the socket after the data that was written is sent."""
        if self._is_closing:
            return
        self._is_closing = True
        self._end_stream()
        self._network.loop.call_soon(self._disconnect, None, context=self.context)

    def abort(self) -> None:
        """Close the socket at once."""
        if self._is_disconnected:
            return
        was_closing, self._is_closing = self._is_closing, True
        if not was_closing:
            self._end_stream()
        self._network.loop.call_soon(self._disconnect, None, context=self.context)

    # ---- transmission to the peer ----

    def _end_stream(self) -> None:
        """Do what the kernel does when the socket is closed.

        It resets the connection if the socket is set so, or has data that was not read. Otherwise
        it goes on sending what was written, and then the end of the stream.
        """
        if not (self._socket_options.resets_on_close or self._unread):
            self.transmit(self._connected_peer()._receive_close)
            return
        self._discard_unsent()
        self._network.drop_held(self)
        self.transmit(self._connected_peer()._receive_reset)

    def limit_unacknowledged_time(self) -> None:
        """Let the kernel end the connection if data stays held back for the socket's limit."""
        limit_ms = self._socket_options.unacknowledged_limit_ms
        if limit_ms:
            limit_ms = max(limit_ms, MIN_RETRANSMISSION_MS)
            loop = self._network.loop
            loop.call_later(limit_ms / 1000, self._give_up_held, context=contextvars.Context())

    def _give_up_held(self) -> None:
        if not self._network.has_held(self):
            return
        self._discard_unsent()
        self._network.drop_held(self)
        self._is_closing = True
        error = TimeoutError("data was not acknowledged in time")
        self._network.hosts.run(self.ip, self.context, partial(self._disconnect, error))

    def transmit(self, deliver: Callable[[], None], size_bytes: int = 0) -> None:
        """Call `deliver` in order of transmission, after the delay and once no fault blocks it.

        Over a link of limited rate, data is sent once what this stream sent before has arrived.
        """
        if not self._network.links.is_limited(self.ip, self.peer_ip):
            self.deliver_at(self._network.loop.time(), deliver)
            return
        self._unsent.append((size_bytes, deliver))
        if len(self._unsent) == 1:
            self._send_next()

    def _send_next(self) -> None:
        size_bytes, deliver = self._unsent[0]
        now_s = self._network.loop.time()
        sent_s = self._network.links.reserve(self.ip, self.peer_ip, size_bytes, now_s)
        self.deliver_at(sent_s, partial(self._deliver_and_send_next, deliver))

    def _deliver_and_send_next(self, deliver: Callable[[], None]) -> None:
        deliver()
        self._unsent.popleft()
        if self._unsent:
            self._send_next()

    def deliver_at(self, sent_s: float, deliver: Callable[[], None]) -> None:
        """Call `deliver` when what was sent at a time arrives, once no fault blocks it."""
        at_s = sent_s + self._network.delay_s(self.ip, self.peer_ip)
        # The loop does not keep the order of timers with the same time.
        self._last_arrival_s = max(self._last_arrival_s + ORDER_STEP_S, at_s)
        # The kernel's work goes on while the process is frozen, so it has no host's context.
        self._network.loop.call_at(
            self._last_arrival_s, self._deliver, deliver, context=contextvars.Context()
        )

    def _deliver(self, deliver: Callable[[], None]) -> None:
        if self._network.is_blocked(self.ip, self.peer_ip):
            self._network.hold_back(self, deliver)
        else:
            self._network.hosts.run(self.peer_ip, self._connected_peer().context, deliver)

    def _connected_peer(self) -> Stream:
        assert self.peer is not None
        return self.peer

    def _receive(self, data: bytes) -> None:
        self._in_flight_bytes -= len(data)
        if self._is_closing:
            # Data for a closed connection is answered with a reset.
            self.transmit(self._connected_peer()._receive_reset)
            return
        self._unread.append(data)
        self._unread_bytes += len(data)
        self._read_pending()

    def _read_pending(self) -> None:
        while self._unread and not self._is_paused and not self._is_closing:
            data = self._unread.popleft()
            self._unread_bytes -= len(data)
            self.protocol.data_received(data)
        if self._is_peer_paused and self._unread_bytes + self._in_flight_bytes <= WINDOW_BYTES // 2:
            self._is_peer_paused = False
            peer = self._connected_peer()
            if not peer._is_disconnected:
                peer.context.run(peer.protocol.resume_writing)
        if self._has_pending_eof and not self._unread and not self._is_closing:
            self._has_pending_eof = False
            if not self.protocol.eof_received():
                self.close()

    def _receive_eof(self) -> None:
        self._has_pending_eof = True
        self._read_pending()

    def _receive_close(self) -> None:
        if not self._is_closing:
            self._receive_eof()

    def _discard_unsent(self) -> None:
        # The first segment is on its way already.
        while len(self._unsent) > 1:
            self._unsent.pop()

    def _receive_reset(self) -> None:
        self._is_closing = True
        self._discard_unsent()
        self._disconnect(ConnectionResetError("Connection reset by peer"))

    def _disconnect(self, error: Exception | None) -> None:
        if self._is_disconnected:
            return
        self._is_disconnected = True
        self._network.streams.discard(self)
        self.protocol.connection_lost(error)
