"""Set the options of TCP sockets."""

import asyncio
import socket

__all__ = ["detect_silence"]

# A connection may go silent without a reset; probes and unacknowledged data end it within 3 s.
PROBE_AFTER_S = 1
PROBE_INTERVAL_S = 1
PROBE_COUNT = 2
UNACKNOWLEDGED_MS = 3_000


def detect_silence(transport: asyncio.BaseTransport | None) -> None:
    """Let the kernel end a connection whose peer does not acknowledge."""
    sock = transport.get_extra_info("socket") if transport is not None else None
    if sock is None:
        return
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_AFTER_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBE_COUNT)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS)
