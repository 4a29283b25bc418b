"""Keep a lease epoch and a set of renewers in the table for every server of a service."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from nutmeglead._generated.common.ttypes import Address, Sender
from nutmeglead._generated.messages.ttypes import AssignRenewer, RenewLease, ServerRow
from nutmeglead._generated.settings.ttypes import OwnershipSettings
from nutmeglead.controller.decisions import Decision, EntryNode, ProbeServer, SendAssign
from nutmeglead.controller.renewers import choose_gate, choose_renewers, replace_renewer
from nutmeglead.core.ids import Incarnation, NodeId, RoleEpoch, ServerId, ServiceName
from nutmeglead.ownership.server_rows import confirm_lease, first_row, holder_name, next_lease

__all__ = ["LeaseKeeper", "ServerLease"]

# A probe costs about 6 ms of a server's time, so a server that needs attention gets one this often.
PROBE_INTERVAL_MS = 100
# The answer of a lost server is not urgent, because its units have moved.
LOST_PROBE_INTERVAL_MS = 500
ASSIGN_INTERVAL_MS = 200
# A gate that does not answer for this long is passed over.
GATE_TRY_MS = 600


@dataclass
class ServerLease:
    """Hold what the controller knows of one server's lease."""

    server_id: ServerId
    # Where the holder of the lease is reached: the server itself, or its gate.
    address: Address | None
    failure_domain: str
    gate_node_id: NodeId | None = None
    row: ServerRow | None = None
    row_version: int = 0
    incarnation: Incarnation | None = None
    # Send time of the request whose reply gave the incarnation; an older reply changes nothing.
    seen_sent_ms: int = -1
    # The newest lease epoch whose renewals are known to carry the lease.
    confirmed_epoch: int = 0
    # Whether all lease epochs up to that of the row are proven to have ended.
    has_ended: bool = False
    is_lost: bool = False
    # No ticket names the server and it owns nothing: its lease ends and no other begins.
    is_retired: bool = False
    assigned: set[str] = field(default_factory=set)
    next_probe_ms: int = 0
    next_assign_ms: int = 0
    next_gate_ms: int = 0

    @property
    def lease_epoch(self) -> int:
        """Return the lease epoch in the table, or 0."""
        return int(self.row.current.lease_epoch) if self.row else 0

    @property
    def is_confirmed(self) -> bool:
        """Tell whether the server is known to hold the lease epoch in the table."""
        return self.row is not None and self.confirmed_epoch >= self.lease_epoch

    @property
    def has_answered(self) -> bool:
        """Tell whether the incarnation in the table is the one that answered last."""
        return self.row is not None and self.incarnation == self.row.incarnation


class LeaseKeeper:
    """Decide which lease epochs to write and which renewers to assign; pure."""

    def __init__(
        self,
        service_name: ServiceName,
        settings: OwnershipSettings,
        sender: Sender,
        role_epoch: RoleEpoch,
        uses_gates: bool = False,
    ) -> None:
        self.uses_gates = uses_gates
        self.servers: dict[ServerId, ServerLease] = {}
        self._unwanted: list[ServerId] = []
        self._service_name = service_name
        self._settings = settings
        self._sender = sender
        self._role_epoch = role_epoch
        # Servers that something may be due for. Most of thousands need nothing for hours, and a
        # round over all of them took 10 µs for each.
        self._attended: set[ServerId] = set()
        self._seen_nodes: dict[NodeId, tuple[str, bool]] = {}
        # Known servers that no ticket wants any more.

    def attend(self, server_id: ServerId) -> None:
        """Look after a server until nothing is due for it."""
        if server_id in self.servers:
            self._attended.add(server_id)

    def attended(self, others: Iterable[ServerId] = ()) -> list[ServerLease]:
        """List the servers that something may be due for, and others that are known."""
        if self.uses_gates:
            return list(self.servers.values())
        listed = self._attended | (self.servers.keys() & set(others))
        return [self.servers[server_id] for server_id in sorted(listed)]

    def dismiss_settled(self, nodes: Mapping[NodeId, EntryNode]) -> None:
        """Leave alone the servers that need nothing until something is heard of them."""
        settled = {lease.server_id for lease in self.attended() if self._is_settled(lease, nodes)}
        self._attended -= settled

    def set_servers(self, present: Iterable[tuple[ServerId, Address, str]]) -> None:
        """Add the servers of the desired state and update their addresses."""
        for server_id, address, domain in present:
            lease = self.servers.get(server_id)
            if lease is None:
                lease = self.servers[server_id] = ServerLease(server_id, None, domain)
            lease.failure_domain = domain
            self.attend(server_id)
            if not self.uses_gates:
                lease.address = address

    def set_wanted(self, wanted: Iterable[ServerId]) -> None:
        """Note which servers the tickets want; the leases of others end when they own nothing."""
        self._unwanted = sorted(self.servers.keys() - set(wanted))
        for server_id in self.servers.keys() - set(self._unwanted):
            self.servers[server_id].is_retired = False

    def unwanted(self) -> list[ServerId]:
        """List the servers that no ticket wants and that may still have a lease."""
        leases = [self.servers[server_id] for server_id in self._unwanted]
        due = (lease for lease in leases if lease.row is not None and not lease.is_retired)
        return [lease.server_id for lease in due]

    def retire(self, server_id: ServerId) -> None:
        """Begin no other lease for a server."""
        self.servers[server_id].is_retired = True
        self.attend(server_id)

    def load_row(self, row: ServerRow, version: int) -> None:
        """Take over a row of the table; a new lease epoch starts without assignments."""
        lease = self.servers.get(ServerId(row.server_id))
        if lease is None or version <= lease.row_version:
            return
        self.attend(lease.server_id)
        if lease.row is None or lease.row.current != row.current:
            lease.assigned.clear()
            lease.has_ended = lease.is_lost = False
            lease.next_probe_ms = lease.next_assign_ms = 0
        lease.row, lease.row_version = row, version

    def observe(self, server_id: ServerId, incarnation: str, sent_ms: int) -> bool:
        """Note an incarnation; return True if the one in the table is thereby proven gone."""
        lease = self.servers.get(server_id)
        if lease is None or sent_ms <= lease.seen_sent_ms:
            return False
        self.attend(server_id)
        lease.seen_sent_ms = sent_ms
        lease.incarnation = Incarnation(incarnation)
        return lease.row is not None and lease.row.incarnation != incarnation

    def confirm(self, server_id: ServerId, supporting_epoch: int) -> None:
        """Note the lease epoch whose renewals carry a server's lease."""
        lease = self.servers.get(server_id)
        if lease is not None:
            self.attend(server_id)
            lease.confirmed_epoch = max(lease.confirmed_epoch, supporting_epoch)

    def accept_assignment(self, server_id: ServerId, node_id: str, lease_epoch: int) -> None:
        """Note that a renewer has taken up an assignment."""
        lease = self.servers.get(server_id)
        if lease is not None and lease_epoch == lease.lease_epoch:
            lease.assigned.add(node_id)

    def decide(self, now_ms: int, nodes: Mapping[NodeId, EntryNode]) -> list[Decision]:
        """Return the probes and assignments that are due."""
        decisions: list[Decision] = []
        self._note_nodes(nodes)
        for lease in self.attended():
            if self.uses_gates:
                self._follow_gate(lease, nodes, now_ms)
            if lease.address is None or lease.is_retired:
                continue
            if now_ms >= lease.next_probe_ms and not (lease.is_confirmed and lease.has_answered):
                interval_ms = LOST_PROBE_INTERVAL_MS if lease.is_lost else PROBE_INTERVAL_MS
                lease.next_probe_ms = now_ms + interval_ms
                decisions.append(self._probe(lease, lease.address))
            decisions += self._assignments(lease, now_ms)
        return decisions

    def _follow_gate(
        self, lease: ServerLease, nodes: Mapping[NodeId, EntryNode], now_ms: int
    ) -> None:
        """Keep the gate of the table; choose another only when its lease is proven ended.

        Two gates at once would be two ways to a server that itself refuses nothing.
        """
        if lease.row is not None and lease.gate_node_id is None and lease.row.gate_node_id:
            lease.gate_node_id = NodeId(lease.row.gate_node_id)
        is_free = lease.row is None or lease.has_ended
        if is_free and lease.incarnation is None and now_ms >= lease.next_gate_ms:
            lease.next_gate_ms = now_ms + GATE_TRY_MS
            chosen = choose_gate(
                lease.server_id, lease.failure_domain, nodes.values(), lease.gate_node_id
            )
            lease.gate_node_id = chosen.node_id if chosen else None
        gate = nodes.get(lease.gate_node_id) if lease.gate_node_id else None
        if gate is not None and gate.gate_address is not None:
            lease.address = gate.gate_address

    def gate_addresses(self, nodes: Mapping[NodeId, EntryNode]) -> dict[ServerId, Address]:
        """Return where the gates of this service's servers are reached."""
        if not self.uses_gates:
            return {}
        gates = {}
        for lease in self.servers.values():
            node = nodes.get(lease.gate_node_id) if lease.gate_node_id else None
            if node is not None and node.gate_address is not None:
                gates[lease.server_id] = node.gate_address
        return gates

    def end(self, server_id: ServerId) -> None:
        """Note that the lease epoch in the table is proven to have ended."""
        lease = self.servers[server_id]
        self.attend(server_id)
        lease.has_ended = True
        if self.uses_gates:
            # The next lease begins at another gate.
            lease.incarnation = None
            lease.next_gate_ms = 0

    def probe_now(self, server_id: ServerId) -> None:
        """Ask a server again because a renewer reports that its lease ended."""
        lease = self.servers.get(server_id)
        if lease is not None:
            self.attend(server_id)
            lease.confirmed_epoch = 0
            lease.next_probe_ms = 0

    def lose(self, server_id: ServerId) -> None:
        """Note that a server is silent; it needs a new lease epoch before it owns anything."""
        lease = self.servers.get(server_id)
        if lease is not None:
            self.attend(server_id)
            lease.is_lost = True
            lease.confirmed_epoch = 0
            # Only an answer that is sent after this moment shows that the server is back.
            lease.incarnation = None

    def has_ended(self, server_id: ServerId) -> bool:
        """Tell whether a server is known to hold nothing."""
        lease = self.servers.get(server_id)
        return lease is None or lease.row is None or lease.has_ended

    def rows_to_write(
        self, nodes: Mapping[NodeId, EntryNode], limit: int
    ) -> list[tuple[int, ServerRow]]:
        """Return at most `limit` rows that have to change, with the row versions they replace.

        A controller that hears less than half of the entry VMs is probably cut off. It would choose
        renewers on its own side only, and the other side could not stop the leases of its servers.
        """
        changed: list[tuple[int, ServerRow]] = []
        if 2 * sum(node.is_alive for node in nodes.values()) < len(nodes):
            return changed
        for lease in self.attended():
            if len(changed) >= limit:
                break
            row = self._next_row(lease, nodes)
            if row is not None:
                changed.append((lease.row_version, row))
        return changed

    def _next_row(self, lease: ServerLease, nodes: Mapping[NodeId, EntryNode]) -> ServerRow | None:
        if lease.incarnation is None or lease.is_retired:
            return None
        if lease.row is None or lease.has_ended or not lease.has_answered:
            return self._fresh_lease(lease, lease.incarnation, nodes)
        if lease.is_lost:
            return None
        if lease.row.former:
            return confirm_lease(lease.row) if lease.is_confirmed else None
        return self._replaced_renewer(lease, lease.row, nodes)

    def _fresh_lease(
        self, lease: ServerLease, incarnation: Incarnation, nodes: Mapping[NodeId, EntryNode]
    ) -> ServerRow | None:
        """Return the row of a lease that has nothing to do with an earlier one."""
        count = self._settings.renewers_per_server
        chosen = choose_renewers(lease.server_id, lease.failure_domain, nodes.values(), count)
        renewers = {node_id: Incarnation(nodes[node_id].incarnation) for node_id in chosen}
        if not renewers:
            return None
        if lease.row is None:
            row = first_row(
                self._service_name, lease.server_id, incarnation, renewers, self._role_epoch
            )
        else:
            row = next_lease(lease.row, incarnation, renewers, self._role_epoch, ended=True)
        row.gate_node_id = lease.gate_node_id
        return row

    def _replaced_renewer(
        self, lease: ServerLease, row: ServerRow, nodes: Mapping[NodeId, EntryNode]
    ) -> ServerRow | None:
        """Replace the first renewer that is gone, one at a time."""
        for node_id in row.current.node_ids:
            node = nodes.get(node_id)
            if node is not None and node.is_alive and _is_same(row, node):
                continue
            present = [NodeId(other) for other in row.current.node_ids]
            if node is not None and node.is_alive:
                chosen: list[NodeId] | None = present
            else:
                chosen = replace_renewer(lease.server_id, present, node_id, nodes.values())
            if chosen is None or any(other not in nodes for other in chosen):
                continue
            renewers = {other: Incarnation(nodes[other].incarnation) for other in chosen}
            return next_lease(
                row, Incarnation(row.incarnation), renewers, self._role_epoch, ended=False
            )
        return None

    def _note_nodes(self, nodes: Mapping[NodeId, EntryNode]) -> None:
        """Look after all servers when an entry VM comes, goes or restarts: any may renew them."""
        seen = {node.node_id: (node.incarnation, node.is_alive) for node in nodes.values()}
        if seen != self._seen_nodes:
            self._seen_nodes = seen
            self._attended.update(self.servers)

    def _is_settled(self, lease: ServerLease, nodes: Mapping[NodeId, EntryNode]) -> bool:
        """Tell whether nothing is due until a message, a row or an entry VM changes something."""
        if lease.is_retired:
            return lease.has_ended
        if lease.row is None or lease.address is None or lease.is_lost or lease.has_ended:
            return False
        is_renewed = lease.assigned.issuperset(lease.row.current.node_ids)
        is_known = lease.is_confirmed and lease.has_answered
        return is_renewed and is_known and self._next_row(lease, nodes) is None

    def _probe(self, lease: ServerLease, address: Address) -> ProbeServer:
        message = RenewLease(
            sender=self._sender,
            holder_incarnation=lease.row.incarnation if lease.row else "",
            lease_epoch=lease.lease_epoch,
            renewer_node_ids=[self._sender.node_id],
            lease_end_ms=0,
            holder_name=holder_name(self._service_name, lease.server_id),
        )
        return ProbeServer(lease.server_id, address, message)

    def _assignments(self, lease: ServerLease, now_ms: int) -> list[Decision]:
        row = lease.row
        if row is None or lease.is_lost or lease.has_ended or now_ms < lease.next_assign_ms:
            return []
        missing = [node for node in row.current.node_ids if node not in lease.assigned]
        if not missing:
            return []
        lease.next_assign_ms = now_ms + ASSIGN_INTERVAL_MS
        message = AssignRenewer(
            sender=self._sender,
            service_name=self._service_name,
            role_epoch=self._role_epoch,
            server_id=lease.server_id,
            address=lease.address,
            holder_incarnation=row.incarnation,
            renewers=row.current,
        )
        return [SendAssign(NodeId(node_id), message) for node_id in missing]


def _is_same(row: ServerRow, node: EntryNode) -> bool:
    """Tell whether a renewer still runs the incarnation that was assigned."""
    assigned = dict(zip(row.current.node_ids, row.current.incarnations or (), strict=False))
    return assigned.get(node.node_id) == node.incarnation
