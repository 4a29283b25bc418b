"""Keep connections to one address until it ends them, and record requests that are lost with them.

A request is lost if its caller wrote all of it on a connection whose end it had not seen, and the
connection then ended without an answer or refusal and without an announcement of its end. That
holds at any time, whether or not a stop is near.
"""

from __future__ import annotations

import asyncio
import itertools
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Protocol

from nutmeglead.core.clock import Clock
from nutmeglead.emulator.kept_connection import SENDINGS, KeptConnection, MakeHead
from nutmeglead.emulator.outstanding import AnswerRecord
from nutmeglead.http.channel import ByteChannel
from nutmeglead.http.errors import HttpError, PeerClosed
from nutmeglead.http.exchange import CallerLimits

__all__ = ["KeptCallers", "LostRequest", "Peer"]

CONNECT_TIMEOUT_MS = 1_000
# Pause before another connection is opened after one has failed or ended.
RECONNECT_DELAY_MS = 50
# Longer than the time limit of any request and the longest pause of a process.
PATIENCE_MS = 8_000


class Peer(Protocol):
    """The process at the other end of a connection."""

    @property
    def disturbance_count(self) -> int:
        """Return how often it was killed, frozen or cut off, or released from that."""

    @property
    def is_killed(self) -> bool:
        """Return whether it was killed, although its kernel may still have taken a connection."""


class UndisturbedPeer:
    """A process that has no faults."""

    disturbance_count = 0
    is_killed = False


@dataclass(frozen=True)
class LostRequest:
    """A whole request without an answer, how it was sent, and when its connection had ended."""

    request_id: str
    sending: str
    written_wall_ms: int
    ended_wall_ms: int


class KeptCallers(AnswerRecord):
    """Let callers use one connection at a time each, in the ways of `sendings`."""

    def __init__(
        self,
        name: str,
        address: tuple[str, int],
        limits: CallerLimits,
        make_head: MakeHead,
        clock: Clock,
        rng: random.Random,
        identify_peer: Callable[[], Peer] = UndisturbedPeer,
        sendings: Sequence[str] = SENDINGS.names(),
    ) -> None:
        """`identify_peer` returns the process that a new connection leads to.

        What is lost on a connection during which that process was disturbed is not recorded.
        """
        super().__init__()
        self.lost: list[LostRequest] = []
        # Whole requests to which nothing arrived for PATIENCE_MS.
        self.unanswered: list[LostRequest] = []
        self._name = name
        self._address = address
        self._limits = limits
        self._make_head = make_head
        self._clock = clock
        self._rng = rng
        self._identify_peer = identify_peer
        self._sendings = sendings
        self._numbers = itertools.count(1)
        self._end_ms = 0

    async def run(self, duration_s: float, connections: int = 1) -> None:
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
        """Send and read on a connection until it ends, and record what was lost with it."""
        peer = self._identify_peer()
        count = peer.disturbance_count
        connection = KeptConnection(
            channel,
            self,
            self._next_id,
            self._make_head,
            self._limits,
            self._clock,
            self._rng,
            opened_ms,
            self._end_ms,
        )
        while not connection.is_over:
            sending = self._rng.choice(self._sendings)
            try:
                await SENDINGS.get(sending)(connection)
                await connection.receive_all(PATIENCE_MS)
                continue
            except TimeoutError:
                record = self.unanswered
            except PeerClosed:
                record = self.lost
            except HttpError:
                return
            if peer.disturbance_count == count and not peer.is_killed:
                ended_ms = self._clock.wall_ms()
                whole = [each for each in connection.outstanding if each.is_whole]
                record.extend(
                    LostRequest(each.request_id, sending, each.written_wall_ms, ended_ms)
                    for each in whole
                )
            return

    def _next_id(self) -> str:
        return f"{self._name}-{next(self._numbers)}"
