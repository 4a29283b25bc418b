"""Group the objects that the controllers of all services on a node share."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from enum import Enum, auto

from result import Result

from nutmeglead._generated.peers.ttypes import MapDelta, OrderReport, ServiceView
from nutmeglead.core.clock import Clock
from nutmeglead.core.ids import NodeId, ServiceName
from nutmeglead.forwarding.address_checks import AddressChecks
from nutmeglead.forwarding.registry import ServerRegistry
from nutmeglead.peers.membership import Membership
from nutmeglead.platform.grants import GrantClient
from nutmeglead.ranges.model import RangeMap

__all__ = ["ControllerContext", "NoViewReason"]


class NoViewReason(Enum):
    """Why a node has sent no view: its host says that its process is gone, or nothing is known."""

    PROCESS_GONE = auto()
    NO_ANSWER = auto()


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
    ask_view: Callable[[ServiceName, NodeId], Awaitable[Result[ServiceView, NoViewReason]]]
