"""Decide when another request of a connection may be read and begun beside those in progress."""

import asyncio
from collections.abc import Mapping
from typing import Protocol

import h11

from nutmeglead.http.ahead_limit import AheadLimit
from nutmeglead.http.exchange import CallerExchange
from nutmeglead.http.held_bytes import HeldBytes

__all__ = ["MAX_PIPELINE_DEPTH", "ReadAhead"]

# Requests of one connection that are handled concurrently; at this number reading pauses.
MAX_PIPELINE_DEPTH = 16
# No further request is begun while more than this is held for those in progress: one answer that is
# read whole, and one body of an ordinary request each.
MAX_HELD_AHEAD_BYTES = 1_048_576


class AnsweredConnection(Protocol):
    """A connection whose caller may send requests ahead."""

    @property
    def held(self) -> HeldBytes:
        """Return the owner of the bytes that the process holds."""

    @property
    def is_writing_paused(self) -> bool:
        """Return whether the caller leaves its answers unread."""


class ReadAhead:
    """Hold back the requests of one connection that are sent ahead."""

    def __init__(
        self,
        connection: AnsweredConnection,
        handlers: Mapping[asyncio.Task[None], CallerExchange],
        limit: AheadLimit,
    ) -> None:
        """`handlers` are those of the connection; the mapping changes as requests begin and end."""
        self._connection = connection
        self._handlers = handlers
        self._limit = limit

    async def wait_to_begin(self, parser: h11.Connection) -> None:
        """Wait until a request that was read may begin."""
        if not self._handlers or self._may_begin():
            return
        held, unread_bytes = self._connection.held, len(parser.trailing_data[0])
        held.add(unread_bytes)
        try:
            while self._handlers and not self._may_begin():
                await self._limit.wait(self._handlers)
        finally:
            held.add(-unread_bytes)

    async def wait_to_read(self, unread_bytes: int) -> None:
        """Wait until another request may be read, with bytes of it that have arrived."""
        if self._may_read():
            return
        held = self._connection.held
        held.add(unread_bytes)
        try:
            while self._handlers and not self._may_read():
                await self._limit.wait(self._handlers)
        finally:
            held.add(-unread_bytes)

    def _may_begin(self) -> bool:
        """Return whether there is room, and no response is sent whose rest may never come.

        If that is cut, so is the connection with all that was begun behind it.
        """
        is_streaming = any(exchange.is_streaming for exchange in self._handlers.values())
        return self._limit.has_room and not is_streaming

    def _may_read(self) -> bool:
        """Return whether there is room, the caller reads its answers, and little is held for it."""
        if not self._may_begin():
            return False
        if self._connection.is_writing_paused or len(self._handlers) >= MAX_PIPELINE_DEPTH:
            return False
        held_bytes = sum(exchange.counted_bytes for exchange in self._handlers.values())
        return held_bytes <= MAX_HELD_AHEAD_BYTES
