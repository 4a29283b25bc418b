"""Pass bytes on between loopback addresses, and misbehave when told to."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from enum import Enum

__all__ = ["LinkFault", "Proxy"]

CHUNK_BYTES = 65_536
DELAY_S = 0.25


class LinkFault(Enum):
    """Choose what happens to the bytes of a link."""

    NONE = "none"
    DELAY = "delay"
    RESET = "reset"
    SILENCE = "silence"
    # Requests pass, answers do not.
    ONE_WAY = "one-way"


@dataclass
class Proxy:
    """Listen at one address and connect to another one for each connection."""

    target: tuple[str, int]
    fault: LinkFault = LinkFault.NONE
    _server: asyncio.Server | None = None
    _writers: set[asyncio.StreamWriter] = field(default_factory=set)
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)
    _changed: asyncio.Event = field(default_factory=asyncio.Event)

    async def start(self, ip: str, port: int = 0) -> int:
        """Listen and return the port."""
        self._server = await asyncio.start_server(self._accept, ip, port)
        return int(self._server.sockets[0].getsockname()[1])

    def set_fault(self, fault: LinkFault) -> None:
        """Change the fault; a reset ends the connections that are open."""
        self.fault = fault
        if fault is LinkFault.RESET:
            for writer in self._writers:
                writer.transport.abort()
        self._changed.set()
        self._changed = asyncio.Event()

    async def stop(self) -> None:
        """End everything."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.fault is LinkFault.RESET:
            writer.transport.abort()
            return
        try:
            far_reader, far_writer = await asyncio.open_connection(*self.target)
        except OSError:
            # The server behind is down; its caller sees a reset instead of a refusal.
            writer.transport.abort()
            return
        self._writers |= {writer, far_writer}
        loop = asyncio.get_running_loop()
        for way in (
            self._pass(reader, far_writer, is_answer=False),
            self._pass(far_reader, writer, is_answer=True),
        ):
            task = loop.create_task(way)
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _pass(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, is_answer: bool
    ) -> None:
        try:
            while data := await reader.read(CHUNK_BYTES):
                await self._hold(is_answer)
                writer.write(data)
                await writer.drain()
            await self._hold(is_answer)
            writer.close()
        except ConnectionError:
            writer.transport.abort()
        finally:
            self._writers.discard(writer)

    async def _hold(self, is_answer: bool) -> None:
        """Wait while the fault keeps bytes of this direction back."""
        if self.fault is LinkFault.DELAY:
            await asyncio.sleep(DELAY_S)
        while self.fault is LinkFault.SILENCE or (self.fault is LinkFault.ONE_WAY and is_answer):
            await self._changed.wait()
