"""Keep the connection to one peer and match replies to calls."""

import asyncio
import random
from dataclasses import dataclass, field

from result import Err, Ok, Result

from nutmeglead._generated.common.ttypes import Address
from nutmeglead._generated.messages.ttypes import Envelope, MessageType
from nutmeglead.core.clock import Clock
from nutmeglead.rpc.errors import (
    CallTimeout,
    CallTooLarge,
    ConnectionLost,
    PeerUnreachable,
    RpcError,
    TooManyCalls,
)
from nutmeglead.rpc.frames import FrameDecoder, encode_frame
from nutmeglead.rpc.limits import RpcLimits

__all__ = ["Backoff", "Peer"]

_READ_BYTES = 65536
Answer = Result[bytes, RpcError]


class Backoff:
    """Space attempts to connect: exponential, with jitter over the upper half."""

    def __init__(self, base_ms: int, max_ms: int, rng: random.Random) -> None:
        self._base_ms = base_ms
        self._max_ms = max_ms
        self._rng = rng
        self._failures = 0
        self._next_ms: float | None = None

    def may_try(self, now_ms: int) -> bool:
        """Tell whether the wait after the last failure is over."""
        return self._next_ms is None or now_ms >= self._next_ms

    def succeeded(self) -> None:
        """Forget earlier failures."""
        self._failures = 0
        self._next_ms = None

    def failed(self, now_ms: int) -> None:
        """Begin a wait that doubles with each failure up to the maximum."""
        full_ms = min(self._max_ms, self._base_ms * 2 ** min(self._failures, 16))
        self._failures += 1
        self._next_ms = now_ms + full_ms * self._rng.uniform(0.5, 1.0)


def _new_future() -> "asyncio.Future[Answer]":
    return asyncio.get_running_loop().create_future()


@dataclass
class _Call:
    """Track one call; `is_sent` is set before its first byte may leave this process."""

    request_id: int
    frame: bytes
    is_sent: bool = False
    answer: "asyncio.Future[Answer]" = field(default_factory=_new_future)


class Peer:
    """Hold at most one connection to an address and its calls in flight."""

    def __init__(
        self, address: Address, clock: Clock, rng: random.Random, limits: RpcLimits
    ) -> None:
        self.name = f"{address.ip}:{address.port}"
        self._address = address
        self._clock = clock
        self._limits = limits
        self._backoff = Backoff(limits.backoff_base_ms, limits.backoff_max_ms, rng)
        self._opening: asyncio.Task[None] | None = None
        self._reading: asyncio.Task[None] | None = None
        self._writer: asyncio.StreamWriter | None = None
        self._sent: dict[int, _Call] = {}
        self._in_flight = 0
        self._last_request_id = 0
        self._silent_timeouts = 0
        self._last_id_at_timeout = 0

    @property
    def is_idle(self) -> bool:
        """Tell whether no call is in flight."""
        return self._in_flight == 0

    async def exchange(self, message_type: MessageType, body: bytes, timeout_ms: int) -> Answer:
        """Send one call and return the reply's body."""
        if self._in_flight >= self._limits.max_in_flight_per_peer:
            return Err(TooManyCalls(self.name, self._limits.max_in_flight_per_peer))
        self._last_request_id += 1
        request_id = self._last_request_id
        envelope = Envelope(message_type, request_id, False, body)
        frame = encode_frame(envelope, self._limits.max_frame_bytes)
        if isinstance(frame, Err):
            too_large = frame.err_value
            name = message_type.name
            return Err(CallTooLarge(name, too_large.size_bytes, too_large.limit_bytes))
        call = _Call(request_id, frame.ok_value)
        self._in_flight += 1
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                return await self._send(call)
        except TimeoutError:
            if not call.is_sent:
                return Err(PeerUnreachable(self.name, f"not sent within {timeout_ms} ms"))
            self._count_timeout(request_id)
            return Err(CallTimeout(self.name, message_type.name, timeout_ms))
        finally:
            self._in_flight -= 1
            self._sent.pop(request_id, None)

    async def close(self, reason: str) -> None:
        """Close the connection and wait until the reader has ended."""
        reading = self._reading
        self.drop(reason)
        if reading is not None:
            await asyncio.wait([reading])

    def drop(self, reason: str) -> None:
        """Close the connection; every call in flight ends with ConnectionLost."""
        writer, self._writer = self._writer, None
        if writer is not None:
            writer.close()
        for task in (self._reading, self._opening):
            if task is not None:
                task.cancel()
        self._reading = self._opening = None
        sent, self._sent = self._sent, {}
        for call in sent.values():
            if not call.answer.done():
                call.answer.set_result(Err(ConnectionLost(self.name, reason)))

    async def _connect(self) -> PeerUnreachable | None:
        if self._writer is not None:
            return None
        if self._opening is None:
            if not self._backoff.may_try(self._clock.now_ms()):
                return PeerUnreachable(self.name, "waiting before the next attempt to connect")
            self._opening = asyncio.ensure_future(self._open())
        # asyncio.wait leaves the attempt running when this call times out; other calls wait for it.
        await asyncio.wait([self._opening])
        if self._writer is not None:
            return None
        return PeerUnreachable(self.name, "the connection was refused or timed out")

    async def _open(self) -> None:
        timeout_s = self._limits.connect_timeout_ms / 1000
        try:
            async with asyncio.timeout(timeout_s):
                reader, writer = await asyncio.open_connection(self._address.ip, self._address.port)
        except OSError:  # includes TimeoutError
            self._backoff.failed(self._clock.now_ms())
        else:
            self._backoff.succeeded()
            self._silent_timeouts = 0
            self._writer = writer
            self._reading = asyncio.ensure_future(self._read(reader))
        finally:
            if self._opening is asyncio.current_task():
                self._opening = None

    async def _send(self, call: _Call) -> Answer:
        failure = await self._connect()
        if failure is not None:
            return Err(failure)
        writer = self._writer
        if writer is not None:
            # Waiting for room before writing bounds the buffer for a peer that does not read.
            await self._drain(writer)
        if writer is None or writer is not self._writer:
            return Err(PeerUnreachable(self.name, "the connection ended before the call was sent"))
        call.is_sent = True
        self._sent[call.request_id] = call
        writer.write(call.frame)
        return await call.answer

    async def _drain(self, writer: asyncio.StreamWriter) -> None:
        try:
            await writer.drain()
        except OSError as error:
            self.drop(str(error))

    async def _read(self, reader: asyncio.StreamReader) -> None:
        decoder = FrameDecoder(self._limits.max_frame_bytes)
        reason = "the peer closed it"
        try:
            while data := await reader.read(_READ_BYTES):
                decoded = decoder.feed(data)
                if isinstance(decoded, Err):
                    reason = str(decoded.err_value)
                    break
                self._silent_timeouts = 0
                for envelope in decoded.ok_value:
                    self._settle(envelope)
        except OSError as error:
            reason = str(error)
        self._reading = None
        self.drop(reason)

    def _settle(self, envelope: Envelope) -> None:
        """Resolve the call of a reply; a reply to a call that timed out is dropped."""
        call = self._sent.get(envelope.request_id)
        if envelope.reply and call is not None and not call.answer.done():
            call.answer.set_result(Ok(envelope.body))

    def _count_timeout(self, request_id: int) -> None:
        """Count timeouts one after the other; calls that were in flight together count once."""
        if request_id <= self._last_id_at_timeout:
            return
        self._last_id_at_timeout = self._last_request_id
        self._silent_timeouts += 1
        if self._silent_timeouts >= self._limits.timeouts_to_reconnect:
            self.drop("calls timed out and nothing was received")
