"""TCP socket options, and what has arrived at the sockets of an event loop."""

import asyncio
import contextlib
import fcntl
import socket
import struct
import termios

__all__ = [
    "ACCEPT_BATCH",
    "enable_dead_peer_detection",
    "limit_unacknowledged_time",
    "read_arrivals",
    "read_arrived_bytes",
    "reset_on_close",
    "set_listen_backlog",
    "unacknowledged_bytes",
]

# A peer that disappears may send no reset. Keep-alive probes close an idle connection to it within
# 3 s, and the limit on unacknowledged data closes a busy one within 3 s.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBE_COUNT = 2
TCP_USER_TIMEOUT_MS = 3_000

# Passes of the event loop in which it polls its sockets, accepts connections, creates their
# transports and reads the bytes that have arrived on them; asyncio needs one for each.
# In each it accepts at most ACCEPT_BATCH connections, which bounds the descriptors that connections
# take before they are counted; up to LISTEN_BACKLOG wait in the kernel.
ACCEPT_BATCH = 64
LISTEN_BACKLOG = 1_024
ACCEPT_PASSES = 4 + LISTEN_BACKLOG // ACCEPT_BATCH
# The same for bytes alone: a pass that was under way, and the one that polls the sockets.
READ_PASSES = 2


def enable_dead_peer_detection(
    transport: asyncio.BaseTransport | None, may_stop_reading: bool = False
) -> None:
    """Make the kernel close the connection when its peer stops acknowledging.

    The kernel's limit on unacknowledged data also ends a connection whose peer only reads nothing.
    With `may_stop_reading` there is no such limit; the owner of the connection bounds that time.

    Does nothing for a transport without a socket, such as a simulated one.
    """
    sock = transport.get_extra_info("socket") if transport is not None else None
    if sock is None:
        return
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBE_COUNT)
    if not may_stop_reading:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)


def limit_unacknowledged_time(transport: asyncio.BaseTransport | None, limit_ms: int) -> None:
    """Make the kernel drop what the peer has not acknowledged after a time.

    The time is at most that of `enable_dead_peer_detection`. The kernel keeps the limit by itself,
    also for a process that is frozen. It looks at it when it would send the data again, which it
    does at least once, 200 ms and a round trip after it first sent them.
    """
    sock = transport.get_extra_info("socket") if transport is not None else None
    if sock is None:
        return
    limit_ms = min(limit_ms, TCP_USER_TIMEOUT_MS)
    # The connection may have ended already.
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, limit_ms)


def reset_on_close(transport: asyncio.BaseTransport | None) -> None:
    """Make the kernel end the connection with a reset when it is closed, dropping unsent bytes.

    This includes a close by the end of the process. Does nothing for a transport without a socket.
    """
    sock = transport.get_extra_info("socket") if transport is not None else None
    if sock is None:
        return
    is_on, linger_s = 1, 0
    # The connection may have ended already.
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", is_on, linger_s))


def unacknowledged_bytes(transport: asyncio.BaseTransport | None) -> int:
    """Return how much of what the kernel has taken its peer has not acknowledged.

    Returns 0 if that is not known, as for a transport without a socket or a closed one.
    """
    sock = transport.get_extra_info("socket") if transport is not None else None
    if sock is None or not hasattr(sock, "fileno"):
        return 0
    count = bytearray(struct.calcsize("i"))
    try:
        # Linux calls it SIOCOUTQ; the number is the same.
        fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, count)
    except (OSError, ValueError):
        return 0
    return int(struct.unpack("i", count)[0])


def set_listen_backlog(server: asyncio.Server) -> None:
    """Let LISTEN_BACKLOG connections wait at a server that accepts ACCEPT_BATCH at a time.

    asyncio takes one number for both. Does nothing for a server without sockets, such as a
    simulated one.
    """
    for listener in getattr(server, "sockets", ()):
        if hasattr(listener, "dup"):
            with listener.dup() as duplicate:
                duplicate.listen(LISTEN_BACKLOG)


async def read_arrivals() -> None:
    """Let the event loop accept the waiting connections and read what has arrived."""
    for _ in range(ACCEPT_PASSES):
        await asyncio.sleep(0)


async def read_arrived_bytes() -> None:
    """Let the event loop read what has arrived on its open connections."""
    for _ in range(READ_PASSES):
        await asyncio.sleep(0)
