"""Decide from heartbeats who lives, which nodes are hubs, and what a set of nodes knows.

The first nodes of each failure domain are its hubs. Hubs tell each other of the nodes that they
hear; every other node talks to the hubs of its domain only. So a node's messages grow with the
hubs and, on a hub, with the nodes of its domain.
"""

from collections.abc import Collection, Iterable, Iterator
from dataclasses import dataclass, field
from itertools import chain, islice

from nutmeglead._generated.peers.ttypes import Heartbeat, NodeRow, ServiceView
from nutmeglead.core.ids import FailureDomainName, NodeId, ServiceName
from nutmeglead.peers.codec import NodeState, decode_states, node_tag

__all__ = ["HEARTBEAT_INTERVAL_MS", "STORE_SILENT_AFTER_MS", "Membership", "Peer", "PeerView"]

HEARTBEAT_INTERVAL_MS = 150
# Three heartbeats and half an interval more, so that one lost datagram changes nothing.
SILENT_AFTER_MS = 550
# What hubs tell of other nodes is up to two heartbeats older.
TOLD_SILENT_AFTER_MS = SILENT_AFTER_MS + 2 * HEARTBEAT_INTERVAL_MS
# A store that has not answered for this time does not serve the node. A successor must have the
# role and have moved the keys of a leaving server within the platform's drain bound of 2 s.
STORE_SILENT_AFTER_MS = 600
# One hub may be lost without its domain being unheard.
HUBS_PER_DOMAIN = 2


@dataclass
class PeerView:
    """Hold what a peer knows of a service, and the own time that it is known to hold at."""

    view: ServiceView
    received_ms: int
    # Own time at which the heartbeat was sent that the peer had when it sent this view.
    echoed_ms: int


@dataclass
class Peer:
    """Hold the row of an entry VM, its newest own heartbeat and what others report of it."""

    node_id: NodeId
    row: NodeRow
    known_ms: int
    heartbeat_received_ms: int | None = None
    heartbeat: Heartbeat | None = None
    views: dict[ServiceName, PeerView] = field(default_factory=dict)
    reported_ms: int | None = None
    reported_state: NodeState | None = None

    def is_recently_seen(self, now_ms: int) -> bool:
        """Tell whether a heartbeat or a report of the node came lately."""
        own = (
            self.heartbeat_received_ms is not None
            and now_ms - self.heartbeat_received_ms <= SILENT_AFTER_MS
        )
        return own or (
            self.reported_ms is not None and now_ms - self.reported_ms <= TOLD_SILENT_AFTER_MS
        )

    @property
    def is_leaving(self) -> bool:
        """Tell whether the node has said that it stops, as far as the newest word goes."""
        if self._is_own_newer:
            return bool(self.heartbeat and self.heartbeat.leaving)
        return bool(self.reported_state and self.reported_state.is_leaving)

    @property
    def reaches_store(self) -> bool:
        """Tell whether the store serves the node, as far as the newest word goes."""
        if self._is_own_newer:
            return bool(self.heartbeat and self.heartbeat.store_age_ms <= STORE_SILENT_AFTER_MS)
        return bool(self.reported_state and self.reported_state.reaches_store)

    @property
    def _is_own_newer(self) -> bool:
        return self.reported_ms is None or (
            self.heartbeat_received_ms is not None
            and self.heartbeat_received_ms >= self.reported_ms
        )


class Membership:
    """Follow the rows and heartbeats of the other entry VMs."""

    def __init__(
        self,
        own_id: NodeId,
        domain: FailureDomainName,
        cpu_cores: float,
        started_ms: int,
    ) -> None:
        self.own_id = own_id
        self.is_leaving = False
        self._domain = domain
        self._cpu_cores = cpu_cores
        self._started_ms = started_ms
        self._peers: dict[NodeId, Peer] = {}
        self._by_tag: dict[int, NodeId] = {}
        # The nodes of each failure domain in order, this one included; None after a row changed.
        self._ordered: dict[str, list[NodeId]] | None = None

    def set_node(self, node_id: NodeId, row: NodeRow, now_ms: int) -> None:
        """Enter a row; a new incarnation forgets the heartbeats of the earlier one."""
        if node_id == self.own_id:
            return
        self._ordered = None
        known = self._peers.get(node_id)
        if known is not None and known.row.incarnation >= row.incarnation:
            row.incarnation = known.row.incarnation
            known.row = row
            return
        self._add(Peer(node_id, row, now_ms))

    def _add(self, peer: Peer) -> Peer:
        self._ordered = None
        self._peers[peer.node_id] = peer
        self._by_tag[node_tag(peer.node_id)] = peer.node_id
        return peer

    def remove_node(self, node_id: NodeId) -> None:
        """Drop a row."""
        self._ordered = None
        self._peers.pop(node_id, None)
        self._by_tag.pop(node_tag(node_id), None)

    def on_heartbeat(
        self, heartbeat: Heartbeat, address: tuple[str, int], now_ms: int
    ) -> Peer | None:
        """Take a heartbeat; return its sender, or None if it is old.

        A node that starts while the store is away learns of its peers from their heartbeats.
        """
        node_id = NodeId(heartbeat.node_id)
        if node_id == self.own_id:
            return None
        peer = self._peers.get(node_id)
        if peer is None:
            peer = self._add(
                Peer(node_id, NodeRow(*address, heartbeat.incarnation, "", 0.0), now_ms)
            )
        if heartbeat.incarnation < peer.row.incarnation:
            return None
        last = peer.heartbeat
        is_new_life = heartbeat.incarnation > peer.row.incarnation
        if not is_new_life and last is not None and heartbeat.sent_ms <= last.sent_ms:
            return None
        peer.row.incarnation = heartbeat.incarnation
        peer.heartbeat = heartbeat
        peer.heartbeat_received_ms = now_ms
        peer.views = {
            ServiceName(view.service_name): PeerView(view, now_ms, heartbeat.echo_ms)
            for view in heartbeat.views
        }
        self._take_states(decode_states(heartbeat.nodes), node_id, now_ms)
        return peer

    def _take_states(self, states: Iterable[NodeState], sender: NodeId, now_ms: int) -> None:
        for state in states:
            node_id = self._by_tag.get(state.tag)
            if node_id is None or node_id == sender:
                continue
            peer = self._peers[node_id]
            seen_ms = now_ms - state.age_ms
            if peer.reported_ms is None or seen_ms >= peer.reported_ms:
                peer.reported_ms, peer.reported_state = seen_ms, state

    def states(self, node_ids: Iterable[NodeId], now_ms: int) -> list[NodeState]:
        """Return what this node can tell of some nodes that it has heard of."""
        found = []
        for node_id in node_ids:
            peer = self._peers.get(node_id)
            if peer is None:
                continue
            times = [at for at in (peer.heartbeat_received_ms, peer.reported_ms) if at is not None]
            if times and peer.is_recently_seen(now_ms):
                age_ms = now_ms - max(times)
                tag = node_tag(node_id)
                found.append(NodeState(tag, age_ms, peer.is_leaving, peer.reaches_store))
        return found

    def __iter__(self) -> Iterator[Peer]:
        return iter(self._peers.values())

    def get(self, node_id: NodeId) -> Peer | None:
        """Return a peer, or None if it has no row."""
        return self._peers.get(node_id)

    # ---- who lives ----

    def is_alive(self, node_id: NodeId, now_ms: int) -> bool:
        """Tell whether a node was heard lately and is not stopping."""
        if node_id == self.own_id:
            return True
        peer = self._peers.get(node_id)
        return peer is not None and peer.is_recently_seen(now_ms) and not peer.is_leaving

    def alive_ids(self, now_ms: int) -> list[NodeId]:
        """List the living nodes, this one included."""
        return [self.own_id, *(n for n in self._peers if self.is_alive(n, now_ms))]

    def is_absent_for(self, node_id: NodeId, silent_ms: int, now_ms: int) -> bool:
        """Tell whether a node has no row, or has not been heard of for some time."""
        if node_id == self.own_id:
            return False
        peer = self._peers.get(node_id)
        if peer is None:
            return True
        times = [at for at in (peer.heartbeat_received_ms, peer.reported_ms) if at is not None]
        return now_ms - max([peer.known_ms, *times]) > silent_ms

    def reaches_store(self, node_id: NodeId) -> bool:
        """Tell whether the store answers a peer, as was last told."""
        peer = self._peers.get(node_id)
        return peer is not None and peer.reaches_store

    def rank(self, now_ms: int, most: int) -> int:
        """Return how many living nodes that reach the store come before this one, hubs first.

        Counting ends at the first one above `most`.
        """
        hubs = self.hub_ids(now_ms)
        if self.own_id in hubs:
            before: Iterable[NodeId] = hubs[: hubs.index(self.own_id)]
        else:
            own, known = self._order(self.own_id), set(hubs)
            others = (n for n in self._peers if n not in known and self._order(n) < own)
            before = chain(hubs, others)
        ready = (n for n in before if self.is_alive(n, now_ms) and self._peers[n].reaches_store)
        return sum(1 for _ in islice(ready, most + 1))

    # ---- hubs ----

    def _order(self, node_id: NodeId) -> tuple[float, NodeId]:
        """Put nodes with more processor time first."""
        cores = self._cpu_cores if node_id == self.own_id else self._peers[node_id].row.cpu_cores
        return -cores, node_id

    def _domain_of(self, node_id: NodeId) -> str:
        return self._domain if node_id == self.own_id else self._peers[node_id].row.failure_domain

    def _may_be_hub(self, node_id: NodeId, now_ms: int) -> bool:
        if node_id == self.own_id:
            return not self.is_leaving
        peer = self._peers[node_id]
        # A node that nobody has heard yet may be about to start.
        since_ms = max(peer.known_ms, self._started_ms)
        is_new = peer.heartbeat_received_ms is None and now_ms - since_ms <= TOLD_SILENT_AFTER_MS
        return (peer.is_recently_seen(now_ms) and not peer.is_leaving) or is_new

    def _in_order(self) -> dict[str, list[NodeId]]:
        if self._ordered is None:
            self._ordered = {}
            for node_id in sorted([self.own_id, *self._peers], key=self._order):
                self._ordered.setdefault(self._domain_of(node_id), []).append(node_id)
        return self._ordered

    def hub_ids(self, now_ms: int) -> list[NodeId]:
        """List the hubs of all failure domains in order."""
        hubs: list[NodeId] = []
        for node_ids in self._in_order().values():
            ready = (n for n in node_ids if self._may_be_hub(n, now_ms))
            hubs.extend(islice(ready, HUBS_PER_DOMAIN))
        return sorted(hubs, key=self._order)

    def is_hub(self, now_ms: int) -> bool:
        """Tell whether this node is a hub."""
        return self.own_id in self.hub_ids(now_ms)

    def own_hub_ids(self, now_ms: int) -> list[NodeId]:
        """List the hubs of the own failure domain, or the first ones of others if it has none."""
        hubs = [node_id for node_id in self.hub_ids(now_ms) if node_id != self.own_id]
        own = [node_id for node_id in hubs if self._domain_of(node_id) == self._domain]
        return own or hubs[:HUBS_PER_DOMAIN]

    def domain_ids(self) -> list[NodeId]:
        """List the other nodes of the own failure domain."""
        return [n for n, peer in self._peers.items() if peer.row.failure_domain == self._domain]

    # ---- what a set of nodes knows ----

    def _views(
        self, service: ServiceName, node_ids: Collection[NodeId]
    ) -> Iterator[tuple[NodeId, PeerView]]:
        for node_id in node_ids:
            peer = self._peers.get(node_id)
            view = None if peer is None else peer.views.get(service)
            if view is not None:
                yield node_id, view

    def majority_echo_ms(
        self, service: ServiceName, map_version: int, witnesses: Collection[NodeId], now_ms: int
    ) -> int | None:
        """Return the latest own time at which most of some nodes knew no newer map, or None.

        This node counts, if it is one of them, as one that knows the map now.
        """
        echoes = [
            view.echoed_ms
            for _, view in self._views(service, witnesses)
            if view.view.is_confirmed and view.view.map_version <= map_version
            if view.echoed_ms > 0
        ]
        needed = len(witnesses) // 2 + 1 - (self.own_id in witnesses)
        if not witnesses or len(echoes) < needed:
            return None
        return sorted(echoes, reverse=True)[needed - 1] if needed else now_ms

    def is_newer_map_known(self, service: ServiceName, map_version: int) -> bool:
        """Tell whether a peer has reported a newer map."""
        return any(
            view.view.map_version > map_version
            for peer in self._peers.values()
            if (view := peer.views.get(service)) is not None
        )

    def views_at_or_above(
        self, service: ServiceName, map_version: int, node_ids: Collection[NodeId]
    ) -> dict[NodeId, PeerView]:
        """Return the views of those nodes that know this map version or a newer one."""
        return {
            node_id: view
            for node_id, view in self._views(service, node_ids)
            if view.view.map_version >= map_version
        }

    def is_majority(self, node_ids: Collection[NodeId], witnesses: Collection[NodeId]) -> bool:
        """Tell whether some of the witnesses, with this node, are most of them."""
        known = {n for n in witnesses if n in node_ids or n == self.own_id}
        return 2 * len(known) > len(witnesses)
