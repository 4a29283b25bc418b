"""One connection that a caller keeps until its peer ends it, and what the caller sends on it."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import h11

from nutmeglead.core.clock import Clock
from nutmeglead.core.registry import Registry
from nutmeglead.emulator.outstanding import AnswerRecord, OutstandingRequests, SentRequest
from nutmeglead.http.channel import ByteChannel
from nutmeglead.http.errors import HttpError, PeerClosed
from nutmeglead.http.exchange import CallerLimits
from nutmeglead.http.messages import RequestHead
from nutmeglead.http.sockets import read_arrived_bytes
from nutmeglead.platform.wire import REQUEST_ID_HEADER

__all__ = ["SENDINGS", "ConnectionLeft", "KeptConnection", "MakeHead"]

# Callers use at most this share of the time for which they may be idle, or send a request.
USED_SHARE = 0.8
MAX_AHEAD = 6
MAX_PARTS = 5
PART_BYTES = 400

# Makes the head of a request from its id and method.
MakeHead = Callable[[str, bytes], RequestHead]


@dataclass
class ConnectionLeft(HttpError):
    """The caller uses the connection no longer, and nobody owes it an answer on it."""

    reason: str

    def __str__(self) -> str:
        return f"the caller has left a connection: {self.reason}"


class KeptConnection:
    """Send requests on a connection, and read their answers.

    The methods raise ConnectionLeft after an answer with `connection: close`, and PeerClosed if the
    connection ends without one.
    """

    def __init__(
        self,
        channel: ByteChannel,
        record: AnswerRecord,
        next_id: Callable[[], str],
        make_head: MakeHead,
        limits: CallerLimits,
        clock: Clock,
        rng: random.Random,
        opened_ms: int,
        end_ms: int,
    ) -> None:
        self.outstanding = OutstandingRequests(record)
        self.limits = limits
        self.rng = rng
        self._channel = channel
        self._next_id = next_id
        self._make_head = make_head
        self._clock = clock
        self._end_ms = end_ms
        self._idle_since_ms = opened_ms

    @property
    def is_over(self) -> bool:
        """Return whether the caller sends no further requests."""
        return self._clock.now_ms() >= self._end_ms

    async def stay_idle(self, share: float) -> None:
        """Wait until the connection may have been idle for a share of the time that callers use."""
        until_ms = self._idle_since_ms + share * USED_SHARE * self.limits.idle_timeout_ms
        await self.receive_for(min(until_ms, self._end_ms) - self._clock.now_ms())

    async def send(self) -> None:
        """Send a request without a body."""
        request, data = self._begin(b"GET", [])
        data += request.parser.send(h11.EndOfMessage()) or b""
        await self._write_begin(data)
        self._mark_whole(request)

    async def send_in_parts(self, part_count: int, share: float) -> None:
        """Send a request whose body takes a share of the time that the caller uses."""
        length = b"%d" % (part_count * PART_BYTES)
        request, data = self._begin(b"POST", [(b"content-length", length)])
        await self._write_begin(data)
        pause_ms = share * USED_SHARE * self.limits.head_timeout_ms / part_count
        for number in range(part_count):
            await self.receive_for(pause_ms)
            part = request.parser.send(h11.Data(data=b"x" * PART_BYTES)) or b""
            is_last = number == part_count - 1
            if is_last:
                part += request.parser.send(h11.EndOfMessage()) or b""
            await self._notice_end()
            await self._channel.write(part)
        self._mark_whole(request)

    async def send_head_in_parts(self, part_count: int, share: float) -> None:
        """Send a request without a body whose head takes a share of the time that callers use."""
        request, data = self._begin(b"GET", [])
        data += request.parser.send(h11.EndOfMessage()) or b""
        step = -(-len(data) // part_count)
        pause_ms = share * USED_SHARE * self.limits.head_timeout_ms / part_count
        await self._write_begin(data[:step])
        for start in range(step, len(data), step):
            await self.receive_for(pause_ms)
            await self._notice_end()
            await self._channel.write(data[start : start + step])
        self._mark_whole(request)

    async def receive_for(self, duration_ms: float) -> None:
        """Read answers for a time."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + duration_ms / 1000
        while (left_s := end_s - loop.time()) > 0:
            try:
                async with asyncio.timeout(left_s):
                    data = await self._channel.read()
            except TimeoutError:
                return
            self._receive(data)

    async def receive_all(self, patience_ms: int) -> None:
        """Read until no request is outstanding; raise TimeoutError if nothing arrives for long."""
        while self.outstanding:
            async with asyncio.timeout(patience_ms / 1000):
                data = await self._channel.read()
            self._receive(data)

    def _begin(
        self, method: bytes, headers: list[tuple[bytes, bytes]]
    ) -> tuple[SentRequest, bytes]:
        request_id = self._next_id()
        head = self._make_head(request_id, method)
        names = [(REQUEST_ID_HEADER, request_id.encode()), *headers]
        head = RequestHead(method, head.target, [*head.headers, *names])
        request, data = self.outstanding.begin(request_id, head)
        request.begun_wall_ms = self._clock.wall_ms()
        return request, data

    async def _write_begin(self, data: bytes) -> None:
        """Write the first bytes of a request, unless the connection was idle for too long."""
        is_idle = len(self.outstanding) == 1
        await self._notice_end()
        idle_ms = self._clock.now_ms() - self._idle_since_ms
        if is_idle and idle_ms > USED_SHARE * self.limits.idle_timeout_ms:
            raise ConnectionLeft(f"idle for {idle_ms} ms")
        await self._channel.write(data)

    def _mark_whole(self, request: SentRequest) -> None:
        """Record that all of a request was written.

        The peer is idle from then on at the earliest. When it sent the answer is not known to a
        caller that reads it late.
        """
        request.is_whole = True
        request.written_wall_ms = self._clock.wall_ms()
        self._idle_since_ms = self._clock.now_ms()

    async def _notice_end(self) -> None:
        """Read what has arrived, as a caller writes nothing once it has seen the end."""
        await read_arrived_bytes()
        if self._channel.unread_bytes:
            self._receive(self._channel.read_nowait())
        if self._channel.peer_closed.is_set():
            raise PeerClosed("before the bytes were sent")

    def _receive(self, data: bytes) -> None:
        if not data:
            raise PeerClosed("while the caller waited")
        if self.outstanding.receive(data):
            raise ConnectionLeft("an answer said that the connection ends")


Sending = Callable[[KeptConnection], Awaitable[None]]

SENDINGS: Registry[Sending] = Registry("sendings of kept callers")


@SENDINGS.register("after idleness")
async def _send_after_idleness(connection: KeptConnection) -> None:
    """Send one request after an idle time."""
    await connection.stay_idle(connection.rng.uniform(0.5, 1))
    await connection.send()


@SENDINGS.register("in parts")
async def _send_in_parts(connection: KeptConnection) -> None:
    """Send one request whose body arrives slowly."""
    part_count = connection.rng.randrange(1, MAX_PARTS + 1)
    await connection.send_in_parts(part_count, connection.rng.uniform(0.2, 1))


@SENDINGS.register("ahead")
async def _send_ahead(connection: KeptConnection) -> None:
    """Send several requests before the first one is answered."""
    for _ in range(connection.rng.randrange(2, MAX_AHEAD + 1)):
        await connection.send()


@SENDINGS.register("ahead, then in parts")
async def _send_ahead_and_in_parts(connection: KeptConnection) -> None:
    """Send a request whose body arrives slowly behind others that may be in progress."""
    await _send_ahead(connection)
    await _send_in_parts(connection)


@SENDINGS.register("ahead after idleness")
async def _send_ahead_after_idleness(connection: KeptConnection) -> None:
    """Send several requests after an idle time."""
    await connection.stay_idle(connection.rng.uniform(0.5, 1))
    await _send_ahead(connection)
