"""Keep a lease epoch and a set of renewers in the table for every server of a service."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from nutmeglead._generated.common.ttypes import Address, Sender
from nutmeglead._generated.messages.ttypes import AssignRenewer, RenewLease, ServerRow
from nutmeglead._generated.settings.ttypes import OwnershipSettings
from nutmeglead.controller.decisions import Decision, EntryNode, ProbeServer, SendAssign
from nutmeglead.controller.renewers import choose_renewers, replace_renewer
from nutmeglead.core.ids import Incarnation, NodeId, RoleEpoch, ServerId, ServiceName
from nutmeglead.ownership.server_rows import confirm_lease, first_row, next_lease

__all__ = ["LeaseKeeper", "ServerLease"]

# A probe costs about 6 ms of a server's time, so a server that needs attention gets one this often.
PROBE_INTERVAL_MS = 100
# The answer of a lost server is not urgent, because its units have moved.
LOST_PROBE_INTERVAL_MS = 500
ASSIGN_INTERVAL_MS = 200


@dataclass
class ServerLease:
    """Hold what the controller knows of one server's lease."""

    server_id: ServerId
    address: Address
    failure_domain: str
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
    assigned: set[str] = field(default_factory=set)
    next_probe_ms: int = 0
    next_assign_ms: int = 0

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
    ) -> None:
        self.servers: dict[ServerId, ServerLease] = {}
        self._service_name = service_name
        self._settings = settings
        self._sender = sender
        self._role_epoch = role_epoch

    def set_servers(self, present: Iterable[tuple[ServerId, Address, str]]) -> None:
        """Add the servers of the desired state and update their addresses."""
        for server_id, address, domain in present:
            lease = self.servers.get(server_id)
            if lease is None:
                self.servers[server_id] = ServerLease(server_id, address, domain)
            else:
                lease.address, lease.failure_domain = address, domain

    def load_row(self, row: ServerRow, version: int) -> None:
        """Take over a row of the table; a new lease epoch starts without assignments."""
        lease = self.servers.get(ServerId(row.server_id))
        if lease is None or version <= lease.row_version:
            return
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
        lease.seen_sent_ms = sent_ms
        lease.incarnation = Incarnation(incarnation)
        return lease.row is not None and lease.row.incarnation != incarnation

    def confirm(self, server_id: ServerId, supporting_epoch: int) -> None:
        """Note the lease epoch whose renewals carry a server's lease."""
        lease = self.servers.get(server_id)
        if lease is not None:
            lease.confirmed_epoch = max(lease.confirmed_epoch, supporting_epoch)

    def accept_assignment(self, server_id: ServerId, node_id: str, lease_epoch: int) -> None:
        """Note that a renewer has taken up an assignment."""
        lease = self.servers.get(server_id)
        if lease is not None and lease_epoch == lease.lease_epoch:
            lease.assigned.add(node_id)

    def decide(self, now_ms: int) -> list[Decision]:
        """Return the probes and assignments that are due."""
        decisions: list[Decision] = []
        for lease in self.servers.values():
            if now_ms >= lease.next_probe_ms and not (lease.is_confirmed and lease.has_answered):
                interval_ms = LOST_PROBE_INTERVAL_MS if lease.is_lost else PROBE_INTERVAL_MS
                lease.next_probe_ms = now_ms + interval_ms
                decisions.append(self._probe(lease))
            decisions += self._assignments(lease, now_ms)
        return decisions

    def probe_now(self, server_id: ServerId) -> None:
        """Ask a server again because a renewer reports that its lease ended."""
        lease = self.servers.get(server_id)
        if lease is not None:
            lease.confirmed_epoch = 0
            lease.next_probe_ms = 0

    def lose(self, server_id: ServerId) -> None:
        """Note that a server is silent; it needs a new lease epoch before it owns anything."""
        lease = self.servers.get(server_id)
        if lease is not None:
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
        for lease in self.servers.values():
            if len(changed) >= limit:
                break
            row = self._next_row(lease, nodes)
            if row is not None:
                changed.append((lease.row_version, row))
        return changed

    def _next_row(self, lease: ServerLease, nodes: Mapping[NodeId, EntryNode]) -> ServerRow | None:
        if lease.incarnation is None:
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
            return first_row(
                self._service_name, lease.server_id, incarnation, renewers, self._role_epoch
            )
        return next_lease(lease.row, incarnation, renewers, self._role_epoch, ended=True)

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

    def _probe(self, lease: ServerLease) -> ProbeServer:
        message = RenewLease(
            sender=self._sender,
            holder_incarnation=lease.row.incarnation if lease.row else "",
            lease_epoch=lease.lease_epoch,
            renewer_node_ids=[self._sender.node_id],
            lease_end_ms=0,
        )
        return ProbeServer(lease.server_id, lease.address, message)

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
