"""Reach the other routers over rpc."""

from collections.abc import Callable, Mapping, Sequence

from result import Err

from nutmeglead._generated.common.ttypes import Address, Sender
from nutmeglead._generated.messages.ttypes import LendReply, LendSlots, MessageType
from nutmeglead.rpc.client import RpcClient

__all__ = ["RpcRouterPeers"]

# A lookup's deadline is about 10 ms, so a reply later than this helps no request; the loan that a
# late reply may have made ends by itself.
LEND_TIMEOUT_MS = 250


class RpcRouterPeers:
    """Be the RouterPeers of a RouterService; `routers` maps all node ids to rpc addresses.

    A router without a known address has its part of the slots but cannot be asked for them.
    """

    def __init__(
        self, sender: Sender, routers: Callable[[], Mapping[str, Address | None]], rpc: RpcClient
    ) -> None:
        self.sender = sender
        self._routers = routers
        self._rpc = rpc

    def router_ids(self) -> Sequence[str]:
        """List the node ids of all routers, this one included."""
        return sorted({self.sender.node_id, *self._routers()})

    async def lend(self, node_id: str, message: LendSlots) -> LendReply | None:
        """Send a request for slots; return None if no reply came."""
        address = self._routers().get(node_id)
        if address is None:
            return None
        replied = await self._rpc.call(
            address, MessageType.LEND_SLOTS, message, LendReply, LEND_TIMEOUT_MS
        )
        return None if isinstance(replied, Err) else replied.ok_value
