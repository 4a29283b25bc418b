"""Call peers: one connection per peer, reconnect with backoff, bounded calls in flight."""

import random
from collections import OrderedDict
from typing import TypeVar

from result import Err, Ok, Result

from nutmeglead._generated.common.ttypes import Address
from nutmeglead._generated.messages.ttypes import MessageType
from nutmeglead.core.clock import Clock
from nutmeglead.core.codec import decode, encode
from nutmeglead.rpc.connection import Peer
from nutmeglead.rpc.errors import CallRefused, ReplyMalformed, RpcError
from nutmeglead.rpc.limits import RpcLimits

__all__ = ["RpcClient", "RpcLimits"]

R = TypeVar("R")


class RpcClient:
    """Send calls to any number of peers from one event loop."""

    def __init__(self, clock: Clock, rng: random.Random, limits: RpcLimits | None = None) -> None:
        self._clock = clock
        self._rng = rng
        self._limits = limits or RpcLimits()
        self._peers: OrderedDict[tuple[str, int], Peer] = OrderedDict()

    async def call(
        self,
        address: Address,
        message_type: MessageType,
        message: object,
        reply_struct: type[R],
        timeout_ms: int,
    ) -> Result[R, RpcError]:
        """Send a message and return the decoded reply or what is known about the failure."""
        peer = self._peer(address)
        answer = await peer.exchange(message_type, encode(message), timeout_ms)
        if isinstance(answer, Err):
            return answer
        if not answer.ok_value:
            return Err(CallRefused(peer.name, message_type.name))
        decoded = decode(reply_struct, answer.ok_value)
        if isinstance(decoded, Err):
            return Err(ReplyMalformed(peer.name, str(decoded.err_value)))
        return Ok(decoded.ok_value)

    async def close(self) -> None:
        """Close all connections; calls in flight end with ConnectionLost."""
        for peer in self._peers.values():
            await peer.close("the client closed")
        self._peers.clear()

    def _peer(self, address: Address) -> Peer:
        key = (address.ip, address.port)
        if key not in self._peers:
            self._drop_idle_peers()
            self._peers[key] = Peer(address, self._clock, self._rng, self._limits)
        self._peers.move_to_end(key)
        return self._peers[key]

    def _drop_idle_peers(self) -> None:
        """Forget the least recently used peers without calls in flight above the limit."""
        excess = len(self._peers) + 1 - self._limits.max_connections
        idle = [key for key, peer in self._peers.items() if peer.is_idle]
        for key in idle[: max(0, excess)]:
            self._peers.pop(key).drop("closed as idle")
