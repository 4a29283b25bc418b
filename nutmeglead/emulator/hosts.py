"""Emulate the hosts of a network: which one runs a callback, and what its kernel does by itself.

A task belongs to the host whose address is in `HOST` when the task is created; its child tasks
inherit the address. While a host is frozen, its processes do not run, but its kernel goes on.
"""

from __future__ import annotations

import asyncio
import contextvars
import socket
import struct
from collections.abc import Callable

__all__ = ["HOST", "HostCallback", "Hosts", "SocketOptions"]

# Address of the host that runs the current task; empty for the kernels and the test itself.
HOST: contextvars.ContextVar[str] = contextvars.ContextVar("host", default="")


class Hosts:
    """Know which hosts are frozen, and keep the callbacks that wait until they run again."""

    def __init__(self) -> None:
        self._postponed: dict[str, list[Callable[[], None]]] = {}

    def is_frozen(self, ip: str) -> bool:
        """Return whether the processes of a host do not run."""
        return ip in self._postponed

    def freeze(self, ip: str) -> None:
        """Stop the processes of a host."""
        self._postponed.setdefault(ip, [])

    def thaw(self, ip: str) -> list[Callable[[], None]]:
        """Let the processes of a host run again, and return what was due meanwhile, in order."""
        return self._postponed.pop(ip, [])

    def postpone(self, ip: str, callback: Callable[[], None]) -> None:
        """Keep a callback of a frozen host."""
        self._postponed[ip].append(callback)

    def run(self, ip: str, context: contextvars.Context, callback: Callable[[], None]) -> None:
        """Run a callback in a context of a host, at once or when the host is thawed."""
        if ip in self._postponed:
            self.postpone(ip, lambda: context.run(callback))
        else:
            context.run(callback)


class HostCallback:
    """Wrap a callback of an event loop, which is postponed while its host is frozen."""

    __slots__ = ("_callback", "_context", "_hosts", "handle")

    def __init__(
        self, hosts: Hosts, context: contextvars.Context, callback: Callable[[], None]
    ) -> None:
        self._hosts = hosts
        self._context = context
        self._callback = callback
        # The handle by which the callback may be cancelled, also while it is postponed.
        self.handle: asyncio.Handle | None = None

    def __call__(self) -> None:
        """Run the callback, or postpone it."""
        ip = HOST.get()
        if self._hosts.is_frozen(ip):
            self._hosts.postpone(ip, self._resume)
        else:
            self._callback()

    def _resume(self) -> None:
        if self.handle is None or not self.handle.cancelled():
            self._context.run(self._callback)


class SocketOptions:
    """Keep the options of a socket that decide what becomes of unacknowledged data."""

    def __init__(self) -> None:
        self.resets_on_close = False
        # 0 for no limit.
        self.unacknowledged_limit_ms = 0

    def setsockopt(self, level: int, option: int, value: int | bytes) -> None:
        """Set an option; those that are not emulated have no effect."""
        if (level, option) == (socket.SOL_SOCKET, socket.SO_LINGER):
            assert isinstance(value, bytes)
            self.resets_on_close = struct.unpack("ii", value) == (1, 0)
        elif (level, option) == (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT):
            assert isinstance(value, int)
            self.unacknowledged_limit_ms = value
