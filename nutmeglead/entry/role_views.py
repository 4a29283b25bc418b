"""Ask entry VMs over connections, which a full link only delays, whether they act."""

from collections.abc import Mapping

from nutmeglead._generated.peers.ttypes import ServiceView
from nutmeglead.core.clock import Clock
from nutmeglead.core.codec import encode
from nutmeglead.core.ids import NodeId, ServiceName
from nutmeglead.http.client import HttpFetcher
from nutmeglead.peers.fetch import fetch_from_peer
from nutmeglead.peers.membership import Membership
from nutmeglead.ranges.controller import RangeController

__all__ = ["ROLE_PATH", "RoleViews"]

ROLE_PATH = "/roles/"


class RoleViews:
    """Serve this node's view of each service to peers, and ask a peer for its own."""

    def __init__(
        self,
        controllers: Mapping[ServiceName, RangeController],
        membership: Membership,
        fetcher: HttpFetcher,
        clock: Clock,
    ) -> None:
        self._controllers = controllers
        self._membership = membership
        self._fetcher = fetcher
        self._clock = clock

    def encoded_view(self, path: str) -> bytes | None:
        """Return the encoded view of the service in a path, or None if there is no such service."""
        controller = self._controllers.get(ServiceName(path.removeprefix(ROLE_PATH)))
        return None if controller is None else encode(controller.view())

    async def ask(self, service: ServiceName, node_id: NodeId) -> ServiceView | None:
        """Return a peer's view of a service, or None if it has no row or does not answer."""
        peer = self._membership.get(node_id)
        if peer is None:
            return None
        path = ROLE_PATH + service
        fetched = await fetch_from_peer(self._fetcher, peer, path, ServiceView, self._clock)
        return None if fetched is None else fetched.message
