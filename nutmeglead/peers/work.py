"""Sum the requests in flight at each server over all nodes, from heartbeats of three scopes."""

from collections import Counter, deque
from collections.abc import Mapping

from nutmeglead._generated.peers.ttypes import Scope
from nutmeglead.core.ids import NodeId
from nutmeglead.peers.peer import REPORTED_SILENT_AFTER_MS

__all__ = ["InFlightTotals"]

# How many of this node's own reports are kept. A hub's heartbeat echoes the newest report that its
# sums contain, and the node subtracts that report from them.
MAX_KEPT_REPORTS = 8

InFlightByTag = Mapping[int, int]


class InFlightTotals:
    """Hold the newest in-flight counts of each sender, by server tag.

    A hub adds the counts of the nodes that it serves to the group sums of the other hubs. Any other
    node receives the sums of all nodes from its hub and subtracts its own counts in them.
    """

    def __init__(self) -> None:
        self._by_scope_and_sender: dict[tuple[Scope, NodeId], tuple[int, InFlightByTag]] = {}
        self._hub_total: tuple[int, InFlightByTag] | None = None
        self._own_reports: deque[tuple[int, InFlightByTag]] = deque(maxlen=MAX_KEPT_REPORTS)
        self._in_flight_elsewhere: InFlightByTag = {}

    def in_flight_elsewhere(self, tag: int) -> int:
        """Return how many requests other nodes have in flight at a server, as last reported."""
        return self._in_flight_elsewhere.get(tag, 0)

    def record_report(self, sent_ms: int, in_flight: InFlightByTag) -> None:
        """Record this node's own counts in the heartbeat that it sent at `sent_ms`."""
        self._own_reports.append((sent_ms, in_flight))

    def apply(
        self, scope: Scope, sender: NodeId, in_flight: InFlightByTag, echo_ms: int, now_ms: int
    ) -> None:
        """Replace a sender's counts by those of its heartbeat, and update the sums.

        `echo_ms` is the `sent_ms` of the newest own heartbeat that the sender had received.
        """
        if scope == Scope.ALL:
            own = next(
                (reported for sent_ms, reported in self._own_reports if sent_ms == echo_ms), {}
            )
            self._hub_total = now_ms, {
                tag: count - own.get(tag, 0) for tag, count in in_flight.items()
            }
        else:
            self._by_scope_and_sender[(scope, sender)] = now_ms, in_flight
        self._update_elsewhere(now_ms)

    def remove_sender(self, scope: Scope, sender: NodeId) -> None:
        """Remove the counts of a node that another hub serves now."""
        self._by_scope_and_sender.pop((scope, sender), None)

    def group_sum(self, own: InFlightByTag, now_ms: int) -> InFlightByTag:
        """Return the sums over the group: this node and the nodes that it serves as a hub."""
        return self._sum(own, now_ms, (Scope.NODE,))

    def total(self, own: InFlightByTag, now_ms: int) -> InFlightByTag:
        """Return the sums over this node, those that it serves and the groups of other hubs."""
        return self._sum(own, now_ms, (Scope.NODE, Scope.GROUP))

    def _sum(self, own: InFlightByTag, now_ms: int, scopes: tuple[Scope, ...]) -> InFlightByTag:
        total = Counter(own)
        for (scope, _), (received_ms, in_flight) in self._by_scope_and_sender.items():
            if scope in scopes and now_ms - received_ms <= REPORTED_SILENT_AFTER_MS:
                total.update(in_flight)
        return total

    def _update_elsewhere(self, now_ms: int) -> None:
        """Use the sums from this node's hub while they are recent, else sum the senders' counts.

        A hub receives no such sums from another hub.
        """
        if self._hub_total is not None and now_ms - self._hub_total[0] <= REPORTED_SILENT_AFTER_MS:
            self._in_flight_elsewhere = self._hub_total[1]
        else:
            self._in_flight_elsewhere = self.total({}, now_ms)
