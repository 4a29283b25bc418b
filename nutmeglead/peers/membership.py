"""Decide from heartbeats who lives, and which range map a majority knows."""

from collections.abc import Iterator
from dataclasses import dataclass, field

from nutmeglead._generated.peers.ttypes import Heartbeat, NodeRow, ServiceView
from nutmeglead.core.ids import NodeId, ServiceName

__all__ = ["Membership", "Peer", "PeerView"]

HEARTBEAT_INTERVAL_MS = 150
# Three heartbeats and half an interval more, so that one lost datagram changes nothing.
SILENT_AFTER_MS = 550
# A store that has not answered for this time does not serve the node. A successor must have the
# role and have moved the keys of a leaving server within the platform's drain bound of 2 s.
STORE_SILENT_AFTER_MS = 600


@dataclass
class PeerView:
    """Hold what a peer knows of a service, and the own time that it is known to hold at."""

    view: ServiceView
    heard_ms: int
    # Own time at which the heartbeat was sent that the peer had when it sent this view.
    echoed_ms: int

    @property
    def last_renewal_ms(self) -> int:
        """Return the own time after which the peer has sent no renewal before this view."""
        return self.heard_ms - self.view.renewed_ago_ms


@dataclass
class Peer:
    """Hold the row of an entry VM and its newest heartbeat."""

    node_id: NodeId
    row: NodeRow
    heard_ms: int | None = None
    heartbeat: Heartbeat | None = None
    views: dict[ServiceName, PeerView] = field(default_factory=dict)


class Membership:
    """Follow the rows and heartbeats of the other entry VMs."""

    def __init__(self, own_id: NodeId) -> None:
        self.own_id = own_id
        # Without the rows this node does not know how many nodes there are.
        self.has_rows = False
        self._peers: dict[NodeId, Peer] = {}

    def set_node(self, node_id: NodeId, row: NodeRow) -> None:
        """Enter a row; a new incarnation forgets the heartbeats of the earlier one."""
        if node_id == self.own_id:
            return
        known = self._peers.get(node_id)
        if known is not None and known.row.incarnation >= row.incarnation:
            known.row.ip, known.row.peer_port = row.ip, row.peer_port
            return
        self._peers[node_id] = Peer(node_id, row)

    def remove_node(self, node_id: NodeId) -> None:
        """Drop a row."""
        self._peers.pop(node_id, None)

    def on_heartbeat(
        self, heartbeat: Heartbeat, address: tuple[str, int], now_ms: int
    ) -> Peer | None:
        """Take a heartbeat; return its sender, or None if it is old.

        A node that starts while the store is away learns of its peers from their heartbeats.
        """
        node_id = NodeId(heartbeat.node_id)
        if node_id == self.own_id:
            return None
        if node_id not in self._peers:
            row = NodeRow(*address, heartbeat.incarnation, "", 0.0)
            self._peers[node_id] = Peer(node_id, row)
        peer = self._peers[node_id]
        if heartbeat.incarnation < peer.row.incarnation:
            return None
        last = peer.heartbeat
        is_new_life = heartbeat.incarnation > peer.row.incarnation
        if not is_new_life and last is not None and heartbeat.sent_ms <= last.sent_ms:
            return None
        peer.row.incarnation = heartbeat.incarnation
        peer.heartbeat = heartbeat
        peer.heard_ms = now_ms
        peer.views = {
            ServiceName(view.service_name): PeerView(view, now_ms, heartbeat.echo_ms)
            for view in heartbeat.views
        }
        return peer

    def __iter__(self) -> Iterator[Peer]:
        return iter(self._peers.values())

    def get(self, node_id: NodeId) -> Peer | None:
        """Return a peer, or None if it has no row."""
        return self._peers.get(node_id)

    @property
    def node_count(self) -> int:
        """Count the entry VMs that have rows, this one included."""
        return len(self._peers) + 1

    def is_alive(self, node_id: NodeId, now_ms: int) -> bool:
        """Tell whether a node was heard lately and is not stopping."""
        if node_id == self.own_id:
            return True
        peer = self._peers.get(node_id)
        return peer is not None and _is_heard(peer, now_ms) and not _is_leaving(peer)

    def alive_ids(self, now_ms: int) -> list[NodeId]:
        """List the living nodes in order of rank, this one included."""
        ids = [node_id for node_id in self._peers if self.is_alive(node_id, now_ms)]
        return sorted([*ids, self.own_id])

    def rank(self, now_ms: int) -> int:
        """Return how many living nodes that reach the store come before this one."""
        before = [node_id for node_id in self.alive_ids(now_ms) if node_id < self.own_id]
        return sum(self.reaches_store(node_id) for node_id in before)

    def reaches_store(self, node_id: NodeId) -> bool:
        """Tell whether the store answers a peer, as it last told."""
        peer = self._peers.get(node_id)
        if peer is None or peer.heartbeat is None:
            return False
        return bool(peer.heartbeat.store_age_ms <= STORE_SILENT_AFTER_MS)

    def majority_echo_ms(self, service: ServiceName, map_version: int, now_ms: int) -> int | None:
        """Return the latest own time at which a majority knew no newer map, or None.

        This node counts as one that knows the map now.
        """
        echoes = [
            view.echoed_ms
            for peer in self._peers.values()
            if (view := peer.views.get(service)) is not None
            and view.view.map_version <= map_version
            and view.echoed_ms > 0
        ]
        needed = self.node_count // 2
        if not self.has_rows or len(echoes) < needed:
            return None
        if needed == 0:
            return now_ms
        return sorted(echoes, reverse=True)[needed - 1]

    def knows_newer(self, service: ServiceName, map_version: int) -> bool:
        """Tell whether a peer has told of a newer map."""
        return any(
            view.view.map_version > map_version
            for peer in self._peers.values()
            if (view := peer.views.get(service)) is not None
        )

    def nodes_at(self, service: ServiceName, map_version: int) -> list[Peer]:
        """List the peers that know this map or a newer one."""
        return [
            peer
            for peer in self._peers.values()
            if (view := peer.views.get(service)) is not None
            and view.view.map_version >= map_version
        ]

    def is_majority(self, peer_count: int) -> bool:
        """Tell whether some peers and this node are more than half of all."""
        return self.has_rows and 2 * (peer_count + 1) > self.node_count


def _is_heard(peer: Peer, now_ms: int) -> bool:
    return peer.heard_ms is not None and now_ms - peer.heard_ms <= SILENT_AFTER_MS


def _is_leaving(peer: Peer) -> bool:
    return peer.heartbeat is not None and peer.heartbeat.leaving
