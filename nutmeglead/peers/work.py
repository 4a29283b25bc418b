"""Add up the requests that the nodes have at each server, from heartbeats of three scopes."""

from collections import Counter, deque
from collections.abc import Mapping

from nutmeglead._generated.peers.ttypes import Scope
from nutmeglead.core.ids import NodeId
from nutmeglead.peers.membership import TOLD_SILENT_AFTER_MS

__all__ = ["WorkShares"]

# Heartbeats whose own work is remembered, to be taken off a hub's sum when this echoes it.
KEPT_REPORTS = 8

Work = Mapping[int, int]


class WorkShares:
    """Hold the last work of each sender; work is a count per server tag.

    A hub adds the nodes that it serves to the sums of the other hubs. Any other node takes the sum
    of all from its hub, and takes its own part off.
    """

    def __init__(self) -> None:
        self._by_sender: dict[tuple[Scope, NodeId], tuple[int, Work]] = {}
        self._all: tuple[int, Work] | None = None
        self._reports: deque[tuple[int, Work]] = deque(maxlen=KEPT_REPORTS)
        self._elsewhere: Work = {}

    def elsewhere(self, tag: int) -> int:
        """Return the requests that other nodes have at a server, as last told."""
        return self._elsewhere.get(tag, 0)

    def note_report(self, sent_ms: int, work: Work) -> None:
        """Remember the own work that a heartbeat has told."""
        self._reports.append((sent_ms, work))

    def take(self, scope: Scope, sender: NodeId, work: Work, echo_ms: int, now_ms: int) -> None:
        """Take the work of a heartbeat; `echo_ms` names the own heartbeat that its sender had."""
        if scope == Scope.ALL:
            own = next((told for sent_ms, told in self._reports if sent_ms == echo_ms), {})
            self._all = now_ms, {tag: count - own.get(tag, 0) for tag, count in work.items()}
        else:
            self._by_sender[(scope, sender)] = now_ms, work
        self._add_up(now_ms)

    def drop(self, scope: Scope, sender: NodeId) -> None:
        """Forget the work of a node that another hub serves now."""
        self._by_sender.pop((scope, sender), None)

    def group_sum(self, own: Work, now_ms: int) -> Work:
        """Return the work of this node and of the nodes that it serves."""
        return self._sum(own, now_ms, (Scope.NODE,))

    def total(self, own: Work, now_ms: int) -> Work:
        """Return the work of all nodes, as a hub knows it."""
        return self._sum(own, now_ms, (Scope.NODE, Scope.GROUP))

    def _sum(self, own: Work, now_ms: int, scopes: tuple[Scope, ...]) -> Work:
        total = Counter(own)
        for (scope, _), (heard_ms, work) in self._by_sender.items():
            if scope in scopes and now_ms - heard_ms <= TOLD_SILENT_AFTER_MS:
                total.update(work)
        return total

    def _add_up(self, now_ms: int) -> None:
        """Prefer the hub's sum while it is fresh; a node that is a hub gets none."""
        if self._all is not None and now_ms - self._all[0] <= TOLD_SILENT_AFTER_MS:
            self._elsewhere = self._all[1]
        else:
            self._elsewhere = self.total({}, now_ms)
