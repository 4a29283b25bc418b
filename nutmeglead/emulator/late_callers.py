"""Keep connections to one address, send slowly all through its stop, and record all times."""

from __future__ import annotations

import asyncio
import itertools
import random
from collections.abc import Callable
from typing import Generic, TypeVar

from nutmeglead.core.clock import Clock
from nutmeglead.core.registry import Registry
from nutmeglead.emulator.kept_connection import SENDINGS, KeptConnection, MakeHead, Sending
from nutmeglead.emulator.outstanding import AnswerRecord, SentRequest
from nutmeglead.emulator.stop_judge import TimedRequest
from nutmeglead.http.channel import ByteChannel
from nutmeglead.http.errors import HttpError
from nutmeglead.http.exchange import CallerLimits

__all__ = ["LateCallers"]

CONNECT_TIMEOUT_MS = 1_000
# Pause before another connection is opened after one has failed or ended.
RECONNECT_DELAY_MS = 50
# Longer than the time limit of any request.
PATIENCE_MS = 10_000
MAX_PARTS = 8

Peer = TypeVar("Peer")

LATE_SENDINGS: Registry[Sending] = Registry("sendings of callers with slow links")


@LATE_SENDINGS.register("head in parts")
async def _send_head_in_parts(connection: KeptConnection) -> None:
    """Send one request whose head arrives slowly."""
    rng = connection.rng
    await connection.send_head_in_parts(rng.randrange(2, MAX_PARTS + 1), rng.uniform(0.2, 1))


@LATE_SENDINGS.register("in parts")
async def _send_in_parts(connection: KeptConnection) -> None:
    """Send one request whose body arrives slowly."""
    rng = connection.rng
    await connection.send_in_parts(rng.randrange(2, MAX_PARTS + 1), rng.uniform(0.2, 1))


LATE_SENDINGS.register("ahead")(SENDINGS.get("ahead"))
LATE_SENDINGS.register("ahead, then in parts")(SENDINGS.get("ahead, then in parts"))


class _TimedRecord(AnswerRecord):
    """Hold the answers of one connection with the time of each and how its request was sent."""

    def __init__(self, clock: Clock) -> None:
        super().__init__()
        self.sending = ""
        self._clock = clock
        self._offset_ms = clock.wall_ms() - clock.now_ms()
        self.requests: list[TimedRequest] = []

    def add_answer(self, request: SentRequest) -> None:
        super().add_answer(request)
        self.add(request, request.status, is_behind=False)

    def add(self, request: SentRequest, status: int, is_behind: bool) -> None:
        """Record a request that has ended now."""
        written_ms = request.written_wall_ms - self._offset_ms if request.is_whole else 0
        self.requests.append(
            TimedRequest(
                request.request_id,
                self.sending,
                request.begun_wall_ms - self._offset_ms,
                written_ms,
                self._clock.now_ms(),
                status,
                request.request_id in self.answered,
                is_behind,
            )
        )


class LateCallers(Generic[Peer]):
    """Let callers use one connection at a time each until its peer ends it.

    `requests` holds each request with what `identify_peer` returned when its connection was opened.
    """

    def __init__(
        self,
        name: str,
        address: tuple[str, int],
        limits: CallerLimits,
        make_head: MakeHead,
        clock: Clock,
        rng: random.Random,
        identify_peer: Callable[[], Peer],
    ) -> None:
        self.requests: list[tuple[Peer, TimedRequest]] = []
        self.wrong_answers = 0
        self._name = name
        self._address = address
        self._limits = limits
        self._make_head = make_head
        self._clock = clock
        self._rng = rng
        self._identify_peer = identify_peer
        self._numbers = itertools.count(1)
        self._end_ms = 0

    async def run(self, duration_s: float, connections: int) -> None:
        """Send requests for `duration_s`, and wait until the last one has ended."""
        self._end_ms = self._clock.now_ms() + round(duration_s * 1000)
        await asyncio.gather(*(self._run_caller() for _ in range(connections)))

    async def _run_caller(self) -> None:
        loop = asyncio.get_running_loop()
        while (opened_ms := self._clock.now_ms()) < self._end_ms:
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_MS / 1000):
                    _, channel = await loop.create_connection(ByteChannel, *self._address)
            except OSError:
                await asyncio.sleep(RECONNECT_DELAY_MS / 1000)
                continue
            await self._use(channel, opened_ms)
            channel.abort()
            await asyncio.sleep(RECONNECT_DELAY_MS / 1000)

    async def _use(self, channel: ByteChannel, opened_ms: int) -> None:
        """Send and read on a connection until it ends, and record its requests."""
        peer, record = self._identify_peer(), _TimedRecord(self._clock)
        connection = KeptConnection(
            channel,
            record,
            lambda: f"{self._name}-{next(self._numbers)}",
            self._make_head,
            self._limits,
            self._clock,
            self._rng,
            opened_ms,
            self._end_ms,
        )
        try:
            while not connection.is_over:
                record.sending = self._rng.choice(LATE_SENDINGS.names())
                await LATE_SENDINGS.get(record.sending)(connection)
                await connection.receive_all(PATIENCE_MS)
        except (HttpError, TimeoutError):
            for number, request in enumerate(connection.outstanding):
                record.add(request, 0, number > 0 or record.sending.startswith("ahead"))
        self.wrong_answers += record.wrong_answers
        self.requests += [(peer, request) for request in record.requests]
