"""Add up the requests that the nodes have at each server, from heartbeats of three scopes."""

from collections import Counter, deque
from collections.abc import Mapping

from nutmeglead._generated.peers.ttypes import Scope
from nutmeglead.core.ids import NodeId
from nutmeglead.peers.membership import TOLD_SILENT_AFTER_MS

__all__ = ["InFlightTotals"]

# Heartbeats whose own counts are kept, to be subtracted from a hub's sum that echoes them.
KEPT_REPORTS = 8

InFlightByTag = Mapping[int, int]


class InFlightTotals:
    """Hold the last in-flight counts of each sender, by server tag.

    A hub adds the nodes that it serves to the sums of the other hubs. Any other node takes the sum
    of all from its hub, and takes its own part off.
    """

    def __init__(self) -> None:
        self._by_sender: dict[tuple[Scope, NodeId], tuple[int, InFlightByTag]] = {}
        self._all: tuple[int, InFlightByTag] | None = None
        self._reports: deque[tuple[int, InFlightByTag]] = deque(maxlen=KEPT_REPORTS)
        self._in_flight_elsewhere: InFlightByTag = {}

    def in_flight_elsewhere(self, tag: int) -> int:
        """Return the requests that other nodes have at a server, as last reported."""
        return self._in_flight_elsewhere.get(tag, 0)

    def note_report(self, sent_ms: int, in_flight: InFlightByTag) -> None:
        """Keep the own counts that a heartbeat has reported."""
        self._reports.append((sent_ms, in_flight))

    def take(
        self, scope: Scope, sender: NodeId, in_flight: InFlightByTag, echo_ms: int, now_ms: int
    ) -> None:
        """Apply a heartbeat's counts; `echo_ms` names the own heartbeat that its sender had."""
        if scope == Scope.ALL:
            own = next((told for sent_ms, told in self._reports if sent_ms == echo_ms), {})
            self._all = now_ms, {tag: count - own.get(tag, 0) for tag, count in in_flight.items()}
        else:
            self._by_sender[(scope, sender)] = now_ms, in_flight
        self._add_up(now_ms)

    def drop(self, scope: Scope, sender: NodeId) -> None:
        """Drop the counts of a node that another hub serves now."""
        self._by_sender.pop((scope, sender), None)

    def group_sum(self, own: InFlightByTag, now_ms: int) -> InFlightByTag:
        """Return the counts of this node and of the nodes that it serves."""
        return self._sum(own, now_ms, (Scope.NODE,))

    def total(self, own: InFlightByTag, now_ms: int) -> InFlightByTag:
        """Return the counts of all nodes, as a hub knows them."""
        return self._sum(own, now_ms, (Scope.NODE, Scope.GROUP))

    def _sum(self, own: InFlightByTag, now_ms: int, scopes: tuple[Scope, ...]) -> InFlightByTag:
        total = Counter(own)
        for (scope, _), (received_ms, in_flight) in self._by_sender.items():
            if scope in scopes and now_ms - received_ms <= TOLD_SILENT_AFTER_MS:
                total.update(in_flight)
        return total

    def _add_up(self, now_ms: int) -> None:
        """Prefer the hub's sum while it is fresh; a node that is a hub gets none."""
        if self._all is not None and now_ms - self._all[0] <= TOLD_SILENT_AFTER_MS:
            self._in_flight_elsewhere = self._all[1]
        else:
            self._in_flight_elsewhere = self.total({}, now_ms)
