"""Group the objects that the controllers of all services on a node share."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from nutmeglead._generated.peers.ttypes import MapDelta, OrderReport, ServiceView
from nutmeglead.core.clock import Clock
from nutmeglead.core.ids import NodeId, ServiceName
from nutmeglead.forwarding.address_checks import AddressChecks
from nutmeglead.forwarding.registry import ServerRegistry
from nutmeglead.peers.membership import Membership
from nutmeglead.platform.grants import GrantClient
from nutmeglead.ranges.model import RangeMap

__all__ = ["ControllerContext"]


@dataclass(frozen=True)
class ControllerContext:
    """Hold the objects and callbacks of the entry process that its range controllers use."""

    node_id: NodeId
    incarnation: int
    clock: Clock
    membership: Membership
    registry: ServerRegistry
    grants: GrantClient
    address_checks: AddressChecks
    max_hold_ms: int
    target_latency_ms: Callable[[ServiceName], int]
    store_age_ms: Callable[[], int]
    manifest_version: Callable[[], int]
    send_delta: Callable[[MapDelta], None]
    send_report: Callable[[OrderReport, NodeId], None]
    on_map: Callable[[RangeMap], None]
    # Returns None if the node does not answer.
    ask_view: Callable[[ServiceName, NodeId], Awaitable[ServiceView | None]]
