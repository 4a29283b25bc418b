"""Hold what is known of another entry VM, and tell whether it was heard recently."""

from dataclasses import dataclass, field

from nutmeglead._generated.peers.ttypes import Heartbeat, NodeRow, ServiceView
from nutmeglead.core.ids import NodeId, ServiceName
from nutmeglead.peers.codec import NodeState

__all__ = [
    "HEARTBEAT_INTERVAL_MS",
    "REPORTED_SILENT_AFTER_MS",
    "SILENT_AFTER_MS",
    "STORE_SILENT_AFTER_MS",
    "Peer",
    "PeerView",
]

HEARTBEAT_INTERVAL_MS = 150
# About three and a half heartbeat intervals, so that one lost datagram changes nothing.
SILENT_AFTER_MS = 550
# A hub's report of a node can be two heartbeat intervals older than the node's own heartbeat.
REPORTED_SILENT_AFTER_MS = SILENT_AFTER_MS + 2 * HEARTBEAT_INTERVAL_MS
# A node whose store calls have been unanswered for this time counts as cut off from the store. A
# successor must take the role and move the keys of a leaving server within the platform's drain
# bound of 2 s.
STORE_SILENT_AFTER_MS = 600


@dataclass
class PeerView:
    """Hold a peer's view of a service and the local time of its arrival."""

    view: ServiceView
    received_ms: int
    # Local time at which this node sent the newest heartbeat that the peer had received from it
    # when it sent this view; 0 for none.
    echoed_ms: int


@dataclass
class Peer:
    """Hold an entry VM's row, its newest heartbeat and the newest report of it by another node.

    `added_ms` is when the row of this incarnation was added, and `reported_ms` is when the VM was
    last heard according to the newest report; both are local times.
    """

    node_id: NodeId
    row: NodeRow
    added_ms: int
    heartbeat_received_ms: int | None = None
    heartbeat: Heartbeat | None = None
    views: dict[ServiceName, PeerView] = field(default_factory=dict)
    reported_ms: int | None = None
    reported_state: NodeState | None = None

    def is_recently_seen(self, now_ms: int) -> bool:
        """Return whether the newest heartbeat or report of the node is recent."""
        is_heartbeat_recent = (
            self.heartbeat_received_ms is not None
            and now_ms - self.heartbeat_received_ms <= SILENT_AFTER_MS
        )
        return is_heartbeat_recent or (
            self.reported_ms is not None and now_ms - self.reported_ms <= REPORTED_SILENT_AFTER_MS
        )

    @property
    def last_seen_ms(self) -> int | None:
        """Return the time of the newest heartbeat or report of the node, None before the first."""
        times = [at for at in (self.heartbeat_received_ms, self.reported_ms) if at is not None]
        return max(times, default=None)

    @property
    def is_leaving(self) -> bool:
        """Return whether the node is stopping, by its newest heartbeat or report."""
        if self._is_heartbeat_newest:
            return bool(self.heartbeat and self.heartbeat.leaving)
        return bool(self.reported_state and self.reported_state.is_leaving)

    @property
    def reaches_store(self) -> bool:
        """Return whether the store answers the node, by its newest heartbeat or report."""
        if self._is_heartbeat_newest:
            return bool(self.heartbeat and self.heartbeat.store_age_ms <= STORE_SILENT_AFTER_MS)
        return bool(self.reported_state and self.reported_state.reaches_store)

    @property
    def store_era(self) -> int:
        """Return the era of the store to which the versions in the newest heartbeat belong."""
        return (self.heartbeat.store_era or 0) if self.heartbeat else 0

    @property
    def _is_heartbeat_newest(self) -> bool:
        return self.reported_ms is None or (
            self.heartbeat_received_ms is not None
            and self.heartbeat_received_ms >= self.reported_ms
        )
