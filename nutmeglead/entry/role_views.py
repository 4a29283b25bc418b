"""Ask entry VMs over connections, which a full link only delays, whether they act."""

from collections.abc import Mapping

from result import Err, Ok, Result

from nutmeglead._generated.peers.ttypes import ServiceView
from nutmeglead.core.clock import Clock
from nutmeglead.core.codec import encode
from nutmeglead.core.ids import NodeId, ServiceName
from nutmeglead.http.client import HttpFetcher
from nutmeglead.http.errors import ConnectFailed
from nutmeglead.peers.fetch import fetch_and_log
from nutmeglead.peers.membership import Membership
from nutmeglead.ranges.context import NoViewReason
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

    async def ask(self, service: ServiceName, node_id: NodeId) -> Result[ServiceView, NoViewReason]:
        """Return a peer's view of a service, or why there is none."""
        peer = self._membership.get(node_id)
        if peer is None:
            return Err(NoViewReason.NO_ANSWER)
        path = ROLE_PATH + service
        fetched = await fetch_and_log(self._fetcher, peer, path, ServiceView, self._clock)
        if not isinstance(fetched, Err):
            return Ok(fetched.ok_value.message)
        error = fetched.err_value
        is_gone = isinstance(error, ConnectFailed) and error.is_refused
        return Err(NoViewReason.PROCESS_GONE if is_gone else NoViewReason.NO_ANSWER)
