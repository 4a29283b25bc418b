"""Forward TCP connections between loopback addresses, with link faults on demand."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from enum import Enum

__all__ = ["LinkFault", "Proxy"]

CHUNK_BYTES = 65_536
# Delay of each forwarded chunk under LinkFault.DELAY.
DELAY_S = 0.25


class LinkFault(Enum):
    """Select how a proxy treats the connections and bytes of its link."""

    NONE = "none"
    DELAY = "delay"
    RESET = "reset"
    SILENCE = "silence"
    # Requests are forwarded; responses are held back until the fault ends.
    ONE_WAY = "one-way"
    # Nothing arrives, and what was sent is lost with its connection when the fault ends.
    CUT = "cut"


@dataclass
class Proxy:
    """Forward each accepted connection to the target over a connection of its own."""

    target: tuple[str, int]
    fault: LinkFault = LinkFault.NONE
    _server: asyncio.Server | None = None
    _writers: set[asyncio.StreamWriter] = field(default_factory=set)
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)
    _fault_changed: asyncio.Event = field(default_factory=asyncio.Event)

    async def start(self, ip: str, port: int = 0) -> int:
        """Start listening, and return the port."""
        self._server = await asyncio.start_server(self._accept, ip, port)
        return int(self._server.sockets[0].getsockname()[1])

    def set_fault(self, fault: LinkFault) -> None:
        """Set the fault; RESET, and the end of CUT, also abort the open connections."""
        ended, self.fault = self.fault, fault
        if LinkFault.RESET is fault or LinkFault.CUT is ended:
            for writer in self._writers:
                writer.transport.abort()
        self._fault_changed.set()
        self._fault_changed = asyncio.Event()

    async def stop(self) -> None:
        """Stop listening, abort all connections and cancel their tasks."""
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
            target_reader, target_writer = await asyncio.open_connection(*self.target)
        except OSError:
            # The target does not listen; the client gets a reset instead of a refusal.
            writer.transport.abort()
            return
        self._writers |= {writer, target_writer}
        loop = asyncio.get_running_loop()
        for copying in (
            self._copy(reader, target_writer, is_response=False),
            self._copy(target_reader, writer, is_response=True),
        ):
            task = loop.create_task(copying)
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, is_response: bool
    ) -> None:
        try:
            while data := await reader.read(CHUNK_BYTES):
                await self._wait_while_blocked(is_response)
                writer.write(data)
                await writer.drain()
            await self._wait_while_blocked(is_response)
            writer.close()
        except ConnectionError:
            writer.transport.abort()
        finally:
            self._writers.discard(writer)

    async def _wait_while_blocked(self, is_response: bool) -> None:
        """Wait for the DELAY fault, or while another one blocks this direction.

        Raise ConnectionError if what was sent meanwhile is lost.
        """
        if self.fault is LinkFault.DELAY:
            await asyncio.sleep(DELAY_S)
        while self._is_blocked(is_response):
            is_cut = self.fault is LinkFault.CUT
            await self._fault_changed.wait()
            if is_cut:
                raise ConnectionResetError("the link was cut")

    def _is_blocked(self, is_response: bool) -> bool:
        if self.fault is LinkFault.ONE_WAY:
            return is_response
        return self.fault in (LinkFault.SILENCE, LinkFault.CUT)
