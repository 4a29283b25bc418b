"""Track from heartbeats which entry VMs are alive, which are hubs, and which maps they know.

The first nodes of each failure domain are its hubs. Hubs exchange the states of the nodes whose
heartbeats they receive; every other node exchanges heartbeats only with the hubs of its domain, or
with other hubs if its domain has none. A node's message count therefore grows with the number of
hubs and, on a hub, also with the number of nodes in its domain.
"""

from collections.abc import Collection, Iterable, Iterator
from itertools import chain, islice

from nutmeglead._generated.peers.ttypes import Heartbeat, NodeRow
from nutmeglead.core.ids import FailureDomainName, NodeId, ServiceName
from nutmeglead.peers.codec import NodeState, decode_states, node_tag
from nutmeglead.peers.peer import REPORTED_SILENT_AFTER_MS, Peer, PeerView

__all__ = ["Membership"]

# With two hubs, the other nodes still learn of a domain's nodes after the loss of one hub.
HUBS_PER_DOMAIN = 2


class Membership:
    """Keep the rows, heartbeats and reports of the other entry VMs."""

    def __init__(
        self,
        own_id: NodeId,
        domain: FailureDomainName,
        cpu_cores: float,
        started_ms: int,
    ) -> None:
        self.own_id = own_id
        self.is_leaving = False
        # Whether the rows of all nodes have been read; heartbeats alone name few nodes.
        self.is_list_known = False
        self._domain = domain
        self._cpu_cores = cpu_cores
        self._started_ms = started_ms
        self._peers: dict[NodeId, Peer] = {}
        self._ids_by_tag: dict[int, NodeId] = {}
        # The nodes of each failure domain in hub order, this one included; None until it is rebuilt
        # after a change of a row.
        self._ids_by_domain: dict[str, list[NodeId]] | None = None

    def set_node(self, node_id: NodeId, row: NodeRow, now_ms: int) -> None:
        """Add or replace a node's row; a newer incarnation discards the old heartbeats."""
        if node_id == self.own_id:
            return
        self._ids_by_domain = None
        existing = self._peers.get(node_id)
        if existing is not None and existing.row.incarnation >= row.incarnation:
            row.incarnation = existing.row.incarnation
            existing.row = row
            return
        self._add_peer(Peer(node_id, row, now_ms))

    def _add_peer(self, peer: Peer) -> Peer:
        self._ids_by_domain = None
        self._peers[peer.node_id] = peer
        self._ids_by_tag[node_tag(peer.node_id)] = peer.node_id
        return peer

    def remove_node(self, node_id: NodeId) -> None:
        """Remove a node's row, heartbeat and reports."""
        self._ids_by_domain = None
        self._peers.pop(node_id, None)
        self._ids_by_tag.pop(node_tag(node_id), None)

    def on_heartbeat(
        self, heartbeat: Heartbeat, address: tuple[str, int], now_ms: int
    ) -> Peer | None:
        """Record a heartbeat and the states in it; return its sender, or None if it is outdated.

        An unknown sender is added, since a node that starts while the store is unavailable learns
        of its peers from their heartbeats only.
        """
        node_id = NodeId(heartbeat.node_id)
        if node_id == self.own_id:
            return None
        peer = self._peers.get(node_id)
        if peer is None:
            peer = self._add_peer(
                Peer(node_id, NodeRow(*address, heartbeat.incarnation, "", 0.0), now_ms)
            )
        if heartbeat.incarnation < peer.row.incarnation:
            return None
        last = peer.heartbeat
        is_new_incarnation = heartbeat.incarnation > peer.row.incarnation
        if not is_new_incarnation and last is not None and heartbeat.sent_ms <= last.sent_ms:
            return None
        peer.row.incarnation = heartbeat.incarnation
        peer.heartbeat = heartbeat
        peer.heartbeat_received_ms = now_ms
        peer.views = {
            ServiceName(view.service_name): PeerView(view, now_ms, heartbeat.echo_ms)
            for view in heartbeat.views
        }
        self._apply_states(decode_states(heartbeat.nodes), node_id, now_ms)
        return peer

    def _apply_states(self, states: Iterable[NodeState], sender: NodeId, now_ms: int) -> None:
        # States of unknown nodes and states older than the last report are ignored.
        for state in states:
            node_id = self._ids_by_tag.get(state.tag)
            if node_id is None or node_id == sender:
                continue
            peer = self._peers[node_id]
            seen_ms = now_ms - state.age_ms
            if peer.reported_ms is None or seen_ms >= peer.reported_ms:
                peer.reported_ms, peer.reported_state = seen_ms, state

    def node_states(self, node_ids: Iterable[NodeId], now_ms: int) -> list[NodeState]:
        """Return the states of those nodes in `node_ids` that were seen recently."""
        found = []
        for node_id in node_ids:
            peer = self._peers.get(node_id)
            if peer is None:
                continue
            seen_ms = peer.last_seen_ms
            if seen_ms is not None and peer.is_recently_seen(now_ms):
                age_ms = now_ms - seen_ms
                tag = node_tag(node_id)
                found.append(NodeState(tag, age_ms, peer.is_leaving, peer.reaches_store))
        return found

    def __iter__(self) -> Iterator[Peer]:
        return iter(self._peers.values())

    def get(self, node_id: NodeId) -> Peer | None:
        """Return a peer, or None if it has no row."""
        return self._peers.get(node_id)

    # ---- liveness ----

    def is_alive(self, node_id: NodeId, now_ms: int) -> bool:
        """Return whether a node was seen recently and is not stopping; this one is alive."""
        if node_id == self.own_id:
            return True
        peer = self._peers.get(node_id)
        return peer is not None and peer.is_recently_seen(now_ms) and not peer.is_leaving

    def alive_ids(self, now_ms: int) -> list[NodeId]:
        """Return the nodes that are alive, this one first."""
        return [self.own_id, *(n for n in self._peers if self.is_alive(n, now_ms))]

    @property
    def listed_count(self) -> int:
        """Return the number of known nodes, silent ones and this one included."""
        return 1 + len(self._peers)

    def is_absent_for(self, node_id: NodeId, silent_ms: int, now_ms: int) -> bool:
        """Return whether a node has no row, or was neither heard nor reported for `silent_ms`."""
        if node_id == self.own_id:
            return False
        peer = self._peers.get(node_id)
        if peer is None:
            return True
        return now_ms - max(peer.added_ms, peer.last_seen_ms or 0) > silent_ms

    def is_stopping(self, node_id: NodeId) -> bool:
        """Return whether a peer is stopping, by its newest heartbeat or report."""
        peer = self._peers.get(node_id)
        return peer is not None and peer.is_leaving

    def reaches_store(self, node_id: NodeId) -> bool:
        """Return whether the store answers a peer, by its newest heartbeat or report."""
        peer = self._peers.get(node_id)
        return peer is not None and peer.reaches_store

    def is_store_reached_by_peers(self, now_ms: int) -> bool:
        """Return whether the store answers any peer that is alive."""
        return any(self.is_alive(n, now_ms) and p.reaches_store for n, p in self._peers.items())

    def rank(self, now_ms: int, limit: int) -> int:
        """Return how many live nodes that reach the store precede this one, hubs first.

        Counting stops at `limit` + 1.
        """
        hubs = self.hub_ids(now_ms)
        if self.own_id in hubs:
            before: Iterable[NodeId] = hubs[: hubs.index(self.own_id)]
        else:
            own_key, hub_set = self._hub_sort_key(self.own_id), set(hubs)
            others = (
                n for n in self._peers if n not in hub_set and self._hub_sort_key(n) < own_key
            )
            before = chain(hubs, others)
        eligible = (n for n in before if self.is_alive(n, now_ms) and self._peers[n].reaches_store)
        return sum(1 for _ in islice(eligible, limit + 1))

    # ---- hubs ----

    def _hub_sort_key(self, node_id: NodeId) -> tuple[float, NodeId]:
        """Return a sort key that puts nodes with more CPU cores first, then by id."""
        cores = self._cpu_cores if node_id == self.own_id else self._peers[node_id].row.cpu_cores
        return -cores, node_id

    def _domain_of(self, node_id: NodeId) -> str:
        return self._domain if node_id == self.own_id else self._peers[node_id].row.failure_domain

    def _is_hub_candidate(self, node_id: NodeId, now_ms: int) -> bool:
        # Nodes that are stopping or silent are no hubs.
        if node_id == self.own_id:
            return not self.is_leaving
        peer = self._peers[node_id]
        # A node that has sent no heartbeat yet may still be starting.
        since_ms = max(peer.added_ms, self._started_ms)
        is_new = (
            peer.heartbeat_received_ms is None and now_ms - since_ms <= REPORTED_SILENT_AFTER_MS
        )
        return (peer.is_recently_seen(now_ms) and not peer.is_leaving) or is_new

    def _sorted_ids_by_domain(self) -> dict[str, list[NodeId]]:
        if self._ids_by_domain is None:
            self._ids_by_domain = {}
            for node_id in sorted([self.own_id, *self._peers], key=self._hub_sort_key):
                self._ids_by_domain.setdefault(self._domain_of(node_id), []).append(node_id)
        return self._ids_by_domain

    def hub_ids(self, now_ms: int) -> list[NodeId]:
        """Return the hubs of all failure domains, those with the most CPU cores first."""
        hubs: list[NodeId] = []
        for node_ids in self._sorted_ids_by_domain().values():
            candidates = (n for n in node_ids if self._is_hub_candidate(n, now_ms))
            hubs.extend(islice(candidates, HUBS_PER_DOMAIN))
        return sorted(hubs, key=self._hub_sort_key)

    def regular_hub_ids(self) -> list[NodeId]:
        """Return the nodes that are the hubs of the own failure domain while they are alive."""
        return self._sorted_ids_by_domain()[self._domain][:HUBS_PER_DOMAIN]

    def is_hub(self, now_ms: int) -> bool:
        """Return whether this node is a hub."""
        return self.own_id in self.hub_ids(now_ms)

    def own_hub_ids(self, now_ms: int) -> list[NodeId]:
        """Return the other hubs of the own failure domain, or the first of all if it has none."""
        hubs = [node_id for node_id in self.hub_ids(now_ms) if node_id != self.own_id]
        own = [node_id for node_id in hubs if self._domain_of(node_id) == self._domain]
        return own or hubs[:HUBS_PER_DOMAIN]

    def own_domain_peer_ids(self) -> list[NodeId]:
        """Return the other nodes of the own failure domain."""
        return [n for n, peer in self._peers.items() if peer.row.failure_domain == self._domain]

    # ---- views of services ----

    def _views(
        self, service: ServiceName, node_ids: Collection[NodeId]
    ) -> Iterator[tuple[NodeId, PeerView]]:
        for node_id in node_ids:
            peer = self._peers.get(node_id)
            view = None if peer is None else peer.views.get(service)
            if view is not None:
                yield node_id, view

    def echo_ms(
        self,
        service: ServiceName,
        map_version: int,
        witnesses: Collection[NodeId],
        count: int,
        now_ms: int,
    ) -> int | None:
        """Return the latest local time at which `count` of the witnesses knew no newer map.

        Returns None if too few witnesses have confirmed that. If this node is a witness, it counts
        as one that knows no newer map now.
        """
        echoes = [
            view.echoed_ms
            for _, view in self._views(service, witnesses)
            if view.view.is_confirmed and view.view.map_version <= map_version
            if view.echoed_ms > 0
        ]
        needed = count - (self.own_id in witnesses)
        if not witnesses or len(echoes) < needed:
            return None
        return sorted(echoes, reverse=True)[needed - 1] if needed else now_ms

    def store_reads_ms(
        self, service: ServiceName, map_version: int, witnesses: Collection[NodeId]
    ) -> list[int]:
        """Return when witnesses that know no newer map have read the store, at the earliest.

        A peer states the age of its read when it echoes a heartbeat, which this node sent before.
        """
        return [
            view.echoed_ms - view.view.store_read_ago_ms
            for _, view in self._views(service, witnesses)
            if view.view.is_confirmed and view.view.map_version <= map_version
            if view.echoed_ms > 0 and view.view.store_read_ago_ms is not None
        ]

    def is_newer_map_known(self, service: ServiceName, map_version: int) -> bool:
        """Return whether any peer's view of the service has a newer map version."""
        return any(
            view.view.map_version > map_version
            for peer in self._peers.values()
            if (view := peer.views.get(service)) is not None
        )

    def is_newer_map_live(self, service: ServiceName, map_version: int, now_ms: int) -> bool:
        """Return whether a peer that was seen recently reports a newer map version."""
        return any(
            view.view.map_version > map_version
            for peer in self._peers.values()
            if (view := peer.views.get(service)) is not None and peer.is_recently_seen(now_ms)
        )

    def views_at_or_above(
        self, service: ServiceName, map_version: int, node_ids: Collection[NodeId]
    ) -> dict[NodeId, PeerView]:
        """Return the views of those `node_ids` that have this map version or a newer one."""
        return {
            node_id: view
            for node_id, view in self._views(service, node_ids)
            if view.view.map_version >= map_version
        }

    def is_majority_without(
        self, node_ids: Collection[NodeId], witnesses: Collection[NodeId]
    ) -> bool:
        """Return whether the witnesses without `node_ids` and this node are still a majority."""
        others = {n for n in witnesses if n not in node_ids and n != self.own_id}
        return 2 * len(others) > len(witnesses)
