"""Bound the requests that all connections of a process have in progress ahead of their answers."""

import asyncio
from collections.abc import Collection, Sized

from nutmeglead.http.held_bytes import SMALL_BYTES, HeldBytes

__all__ = ["AheadLimit"]


class AheadLimit:
    """Count the requests in progress on all connections.

    A connection with a request in progress begins another one only while there is room: requests in
    progress, which need a connection to a server each, and the connections of callers together stay
    below `max_sockets`. The first request of a connection is never held back.
    """

    def __init__(self, held: HeldBytes, connections: Sized, max_sockets: int | None) -> None:
        # A connection to a server may have unread bytes, as one of a caller may.
        self._max_requests = held.limit_bytes // SMALL_BYTES
        self._connections = connections
        self._max_sockets = max_sockets
        self.in_progress_count = 0
        # Futures of the connections that wait for room, in the order in which they began to.
        self._waiting: dict[asyncio.Future[None], None] = {}

    @property
    def has_room(self) -> bool:
        """Return whether a connection may begin another request beside those in progress."""
        if self.in_progress_count >= self._max_requests:
            return False
        socket_count = len(self._connections) + self.in_progress_count
        return self._max_sockets is None or socket_count < self._max_sockets

    def begin_request(self) -> None:
        """Count a request that begins."""
        self.in_progress_count += 1

    def end_request(self) -> None:
        """Count a request that has ended, and wake the connection that has waited longest."""
        self.in_progress_count -= 1
        if self._waiting and self.has_room:
            waiter = next(iter(self._waiting))
            del self._waiting[waiter]
            waiter.set_result(None)

    async def wait(self, handlers: Collection[asyncio.Task[None]]) -> None:
        """Wait until one of a connection's handlers ends or, if there was no room, there is."""
        if self.has_room:
            await asyncio.wait(handlers, return_when=asyncio.FIRST_COMPLETED)
            return
        waiter = asyncio.get_running_loop().create_future()
        self._waiting[waiter] = None
        try:
            await asyncio.wait([*handlers, waiter], return_when=asyncio.FIRST_COMPLETED)
        finally:
            self._waiting.pop(waiter, None)
