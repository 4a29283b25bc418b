"""Send requests ahead on connections to one address, and record which got a whole answer."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable
from dataclasses import dataclass

import h11

from nutmeglead.core.clock import Clock
from nutmeglead.emulator.outstanding import AnswerRecord, OutstandingRequests
from nutmeglead.emulator.server_host import ENTRY_HEADER
from nutmeglead.http.channel import ByteChannel
from nutmeglead.http.errors import HttpError
from nutmeglead.http.messages import RequestHead
from nutmeglead.platform.wire import REQUEST_ID_HEADER

__all__ = ["CutRequest", "PipelinedCallers"]

CONNECT_TIMEOUT_MS = 1_000
# Pause before another connection is opened after one has failed or ended.
RECONNECT_DELAY_MS = 50
# A caller without an answer for this time closes its connection.
PATIENCE_MS = 8_000

MakeHead = Callable[[str], RequestHead]


@dataclass(frozen=True)
class CutRequest:
    """A request whose connection was closed by its peer before it had a whole answer.

    `peer` is what `identify_peer` returned when the connection was opened.
    """

    request_id: str
    peer: object


class PipelinedCallers(AnswerRecord):
    """Keep `depth` requests outstanding on each of several connections to an address.

    A caller sends the next request as soon as one is answered. After an answer with
    `connection: close` it opens another connection, and sends none of the requests behind it again.
    """

    def __init__(
        self,
        name: str,
        address: tuple[str, int],
        depth: int,
        make_head: MakeHead,
        clock: Clock,
        identify_peer: Callable[[], object] = lambda: None,
    ) -> None:
        super().__init__()
        self.cut: list[CutRequest] = []
        self._name = name
        self._address = address
        self._depth = depth
        self._make_head = make_head
        self._clock = clock
        self._identify_peer = identify_peer
        self._numbers = itertools.count(1)
        self._end_ms = 0

    async def run(self, duration_s: float, connections: int = 1) -> None:
        """Send requests for `duration_s`, and wait until the last one has ended."""
        self._end_ms = self._clock.now_ms() + round(duration_s * 1000)
        await asyncio.gather(*(self._run_caller() for _ in range(connections)))

    @property
    def _is_over(self) -> bool:
        return self._clock.now_ms() >= self._end_ms

    async def _run_caller(self) -> None:
        loop = asyncio.get_running_loop()
        while not self._is_over:
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_MS / 1000):
                    _, channel = await loop.create_connection(ByteChannel, *self._address)
            except OSError:
                await asyncio.sleep(RECONNECT_DELAY_MS / 1000)
                continue
            peer = self._identify_peer()
            outstanding = OutstandingRequests(self)
            try:
                async with asyncio.timeout(None) as patience:
                    await self._use(channel, outstanding, patience)
            except TimeoutError:
                # The caller has left, so nobody owes it an answer.
                outstanding.clear()
            except HttpError:
                pass
            self.cut += [CutRequest(request.request_id, peer) for request in outstanding]
            channel.abort()
            await asyncio.sleep(RECONNECT_DELAY_MS / 1000)

    async def _use(
        self, channel: ByteChannel, outstanding: OutstandingRequests, patience: asyncio.Timeout
    ) -> None:
        """Send and read on a connection until it ends, or an answer says that it will."""
        loop = asyncio.get_running_loop()
        while True:
            while len(outstanding) < self._depth and not self._is_over:
                await self._send(channel, outstanding)
            if not outstanding:
                return
            patience.reschedule(loop.time() + PATIENCE_MS / 1000)
            unread = await channel.read()
            if not unread:
                return
            if outstanding.receive(unread):
                return

    async def _send(self, channel: ByteChannel, outstanding: OutstandingRequests) -> None:
        request_id = f"{self._name}-{next(self._numbers)}"
        head = self._make_head(request_id)
        names = [
            (REQUEST_ID_HEADER, request_id.encode()),
            (ENTRY_HEADER, self._address[0].encode()),
        ]
        head = RequestHead(head.method, head.target, [*head.headers, *names])
        request, data = outstanding.begin(request_id, head)
        await channel.write(data + (request.parser.send(h11.EndOfMessage()) or b""))
        request.is_whole = True
