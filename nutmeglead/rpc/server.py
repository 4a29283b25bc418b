"""Serve calls: one handler per message type, replies in any order."""

import asyncio
import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any, TypeVar

from result import Err

from nutmeglead._generated.messages.ttypes import Envelope, MessageType
from nutmeglead.core.codec import decode, encode
from nutmeglead.core.events import Event, log_event
from nutmeglead.rpc.errors import FrameError
from nutmeglead.rpc.frames import MAX_FRAME_BYTES, FrameDecoder, encode_frame

__all__ = ["HandlerRegistry", "RpcServer"]

_LOGGER = logging.getLogger(__name__)
_READ_BYTES = 65536
# Reading from a connection pauses at this number of running handlers, so that one peer cannot
# fill this process's memory with waiting calls.
MAX_RUNNING_PER_CONNECTION = 64

M = TypeVar("M")
Handler = Callable[[Any], Awaitable[Any]]


@dataclass(frozen=True)
class _Entry:
    request_struct: type[Any]
    handler: Handler


class HandlerRegistry:
    """Map each message type to its request struct and its handler."""

    def __init__(self) -> None:
        self._entries: dict[MessageType, _Entry] = {}

    def add(
        self,
        message_type: MessageType,
        request_struct: type[M],
        handler: Callable[[M], Awaitable[Any]],
    ) -> None:
        """Enter a handler; it takes the decoded request and returns the reply struct."""
        if message_type in self._entries:
            raise ValueError(f"message type {message_type!r} has a handler already")
        self._entries[message_type] = _Entry(request_struct, handler)

    def handles(
        self, message_type: MessageType, request_struct: type[M]
    ) -> Callable[[Callable[[M], Awaitable[Any]]], Callable[[M], Awaitable[Any]]]:
        """Return a decorator that enters its target as the handler."""

        def enter(handler: Callable[[M], Awaitable[Any]]) -> Callable[[M], Awaitable[Any]]:
            self.add(message_type, request_struct, handler)
            return handler

        return enter

    async def reply_body(self, envelope: Envelope) -> bytes:
        """Return the encoded reply; empty bytes mean that the call is refused.

        Every thrift struct encodes to at least one byte, so an empty body is unambiguous.
        """
        entry = self._entries.get(envelope.type)
        if entry is None:
            return _refuse(envelope, "no handler for this message type")
        request = decode(entry.request_struct, envelope.body)
        if isinstance(request, Err):
            return _refuse(envelope, str(request.err_value))
        try:
            return encode(await entry.handler(request.ok_value))
        except Exception as error:  # a fault in one handler must not end the connection
            _LOGGER.exception("handler of %r failed", envelope.type)
            return _refuse(envelope, f"{type(error).__name__}: {error}")


def _refuse(envelope: Envelope, reason: str) -> bytes:
    log_event(_LOGGER, Event.MESSAGE_REFUSED, type=repr(envelope.type), reason=reason)
    return b""


class RpcServer:
    """Listen on one address and answer calls until closed."""

    def __init__(
        self,
        handlers: HandlerRegistry,
        max_frame_bytes: int = MAX_FRAME_BYTES,
        max_running_per_connection: int = MAX_RUNNING_PER_CONNECTION,
    ) -> None:
        self._handlers = handlers
        self._max_frame_bytes = max_frame_bytes
        self._max_running = max_running_per_connection
        self._server: asyncio.Server | None = None
        self._connections: set[_Connection] = set()

    async def start(self, ip: str, port: int) -> int:
        """Listen and return the bound port; port 0 lets the system choose one."""
        self._server = await asyncio.start_server(self._serve, ip, port)
        return int(self._server.sockets[0].getsockname()[1])

    async def close(self, grace_ms: int = 1000) -> None:
        """Stop listening and reading, let running handlers reply, then close the connections."""
        if self._server is not None:
            self._server.close()
        connections = list(self._connections)
        await asyncio.gather(*(connection.close(grace_ms) for connection in connections))

    @property
    def connection_count(self) -> int:
        """Return the number of open connections."""
        return len(self._connections)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        decoder = FrameDecoder(self._max_frame_bytes)
        connection = _Connection(self._handlers, decoder, reader, writer, self._max_running)
        self._connections.add(connection)
        try:
            await connection.run()
        finally:
            self._connections.discard(connection)


class _Connection:
    def __init__(
        self,
        handlers: HandlerRegistry,
        decoder: FrameDecoder,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        max_running: int,
    ) -> None:
        self._handlers = handlers
        self._decoder = decoder
        self._reader = reader
        self._writer = writer
        self._slots = asyncio.Semaphore(max_running)
        self._running: set[asyncio.Task[None]] = set()
        self._reading: asyncio.Task[None] | None = None
        self._ended = asyncio.Event()

    async def run(self) -> None:
        """Read frames until the peer closes, a frame is malformed, or the server closes."""
        self._reading = asyncio.ensure_future(self._read())
        try:
            await asyncio.wait([self._reading])
            if not self._reading.cancelled() and self._reading.exception() is not None:
                self._report(self._reading.exception())
            if self._running:
                await asyncio.wait(self._running)
        finally:
            for task in (self._reading, *self._running):
                task.cancel()
            self._writer.close()
            self._ended.set()

    async def close(self, grace_ms: int) -> None:
        """Read no more; wait at most the grace time for running handlers."""
        if self._reading is not None:
            self._reading.cancel()
        if self._running:
            await asyncio.wait(self._running, timeout=grace_ms / 1000)
        for task in self._running:
            task.cancel()
        await self._ended.wait()

    async def _read(self) -> None:
        while data := await self._reader.read(_READ_BYTES):
            decoded = self._decoder.feed(data)
            if isinstance(decoded, Err):
                raise decoded.err_value
            for envelope in decoded.ok_value:
                await self._slots.acquire()
                task = asyncio.ensure_future(self._answer(envelope))
                self._running.add(task)
                task.add_done_callback(self._finish)

    def _finish(self, task: asyncio.Task[None]) -> None:
        self._running.discard(task)
        self._slots.release()
        if not task.cancelled() and task.exception() is not None:
            self._report(task.exception())

    async def _answer(self, envelope: Envelope) -> None:
        if envelope.reply:
            return
        body = await self._handlers.reply_body(envelope)
        reply = Envelope(envelope.type, envelope.request_id, True, body)
        frame = encode_frame(reply).unwrap_or(b"")
        if not frame:
            reply.body = _refuse(envelope, f"reply of {len(body)} bytes is above the frame limit")
            frame = encode_frame(reply).unwrap()
        self._writer.write(frame)
        await self._writer.drain()

    def _report(self, error: BaseException | None) -> None:
        if isinstance(error, FrameError):
            log_event(_LOGGER, Event.MESSAGE_REFUSED, reason=str(error))
        elif not isinstance(error, OSError):
            _LOGGER.error("rpc connection failed", exc_info=error)
