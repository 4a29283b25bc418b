"""Keep a lease epoch and a set of renewers in the table for every server of a service."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from nutmeglead._generated.common.ttypes import Address, Sender
from nutmeglead._generated.messages.ttypes import (
    AssignRenewer,
    RenewerSet,
    RenewLease,
    ServerRow,
    SuspectServer,
)
from nutmeglead._generated.settings.ttypes import OwnershipSettings
from nutmeglead.controller.decisions import Decision, EntryNode, ProbeServer, SendAssign
from nutmeglead.controller.renewers import choose_renewers, replace_renewer
from nutmeglead.core.ids import NodeId, RoleEpoch, ServerId, ServiceName

__all__ = ["LeaseKeeper", "ServerLease"]

# A probe costs about 6 ms of a server's time, so a server that needs attention gets one this often.
PROBE_INTERVAL_MS = 100
# A server that is lost is probed less often: its answer is not urgent, its units have moved.
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
    incarnation: str | None = None
    # Send time of the request whose reply gave the incarnation; an older reply changes nothing.
    seen_sent_ms: int = -1
    # The newest lease epoch whose renewals are known to carry the lease.
    confirmed_epoch: int = 0
    # The newest lease epoch that is proven to have ended.
    ended_epoch: int = 0
    is_lost: bool = False
    suspects: dict[str, int] = field(default_factory=dict)
    assigned: set[str] = field(default_factory=set)
    next_probe_ms: int = 0
    next_assign_ms: int = 0
    write_in_flight: bool = False

    @property
    def lease_epoch(self) -> int:
        """Return the lease epoch in the table, or 0."""
        return int(self.row.current.lease_epoch) if self.row else 0


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
        """Take over a row of the table."""
        lease = self.servers.get(ServerId(row.server_id))
        if lease is None or version <= lease.row_version:
            return
        if lease.row is None or lease.row.current != row.current:
            lease.assigned.clear()
            lease.suspects.clear()
        lease.row, lease.row_version = row, version
        lease.write_in_flight = False

    def observe(self, server_id: ServerId, incarnation: str, sent_ms: int) -> bool:
        """Note an incarnation; return True if the one in the table is thereby proven gone."""
        lease = self.servers.get(server_id)
        if lease is None or sent_ms <= lease.seen_sent_ms:
            return False
        lease.seen_sent_ms = sent_ms
        lease.incarnation = incarnation
        return lease.row is not None and lease.row.incarnation != incarnation

    def confirm(self, server_id: ServerId, supporting_epoch: int) -> None:
        """Note the lease epoch whose renewals carry a server's lease."""
        lease = self.servers.get(server_id)
        if lease is not None:
            lease.confirmed_epoch = max(lease.confirmed_epoch, supporting_epoch)

    def end(self, server_id: ServerId, lease_epoch: int) -> None:
        """Note a lease epoch that is proven to have ended."""
        lease = self.servers.get(server_id)
        if lease is not None:
            lease.ended_epoch = max(lease.ended_epoch, lease_epoch)

    def suspect(self, message: SuspectServer, now_ms: int) -> bool:
        """Note a renewer's suspicion; return True when a majority makes the server lost."""
        lease = self.servers.get(ServerId(message.server_id))
        if lease is None or lease.row is None or message.lease_epoch != lease.lease_epoch:
            return False
        renewers = lease.row.current.node_ids
        if message.sender.node_id not in renewers:
            return False
        lease.suspects[message.sender.node_id] = now_ms
        window_ms = 2 * self._settings.suspect_after_ms
        recent = [node for node, at in lease.suspects.items() if now_ms - at <= window_ms]
        if lease.is_lost or len(recent) < len(renewers) // 2 + 1:
            return False
        lease.is_lost = True
        return True

    def accept_assignment(self, server_id: ServerId, node_id: str, lease_epoch: int) -> None:
        """Note that a renewer has taken up an assignment."""
        lease = self.servers.get(server_id)
        if lease is not None and lease_epoch == lease.lease_epoch:
            lease.assigned.add(node_id)

    def decide(self, now_ms: int, nodes: Mapping[NodeId, EntryNode]) -> list[Decision]:
        """Return the probes and assignments that are due."""
        decisions: list[Decision] = []
        for lease in self.servers.values():
            if self._needs_probe(lease) and now_ms >= lease.next_probe_ms:
                interval_ms = LOST_PROBE_INTERVAL_MS if lease.is_lost else PROBE_INTERVAL_MS
                lease.next_probe_ms = now_ms + interval_ms
                decisions.append(self._probe(lease))
            decisions += self._assignments(lease, now_ms)
        return decisions

    def rows_to_write(
        self, now_ms: int, nodes: Mapping[NodeId, EntryNode]
    ) -> list[tuple[ServerLease, ServerRow]]:
        """Return the rows of the servers whose lease epoch or renewers have to change."""
        changed = []
        for lease in self.servers.values():
            row = None if lease.write_in_flight else self._next_row(lease, nodes)
            if row is not None:
                changed.append((lease, row))
        return changed

    def _next_row(self, lease: ServerLease, nodes: Mapping[NodeId, EntryNode]) -> ServerRow | None:
        row = lease.row
        if lease.incarnation is None:
            return None
        if row is None or row.incarnation != lease.incarnation:
            return self._new_row(lease, lease.incarnation, self._choose(lease, nodes), [], nodes)
        if lease.ended_epoch >= lease.lease_epoch:
            return self._new_row(lease, row.incarnation, self._choose(lease, nodes), [], nodes)
        if lease.is_lost:
            return None
        if row.former:
            return self._row_without_former(lease, row)
        return self._row_with_replacement(lease, row, nodes)

    def _row_without_former(self, lease: ServerLease, row: ServerRow) -> ServerRow | None:
        if lease.confirmed_epoch < lease.lease_epoch:
            return None
        return ServerRow(
            service_name=row.service_name,
            server_id=row.server_id,
            incarnation=row.incarnation,
            current=row.current,
            former=[],
            gate_node_id=row.gate_node_id,
        )

    def _row_with_replacement(
        self, lease: ServerLease, row: ServerRow, nodes: Mapping[NodeId, EntryNode]
    ) -> ServerRow | None:
        """Replace the first renewer that is gone, one at a time."""
        for node_id in row.current.node_ids:
            node = nodes.get(node_id)
            if node is not None and node.is_alive:
                continue
            chosen = replace_renewer(lease.server_id, row.current.node_ids, node_id, nodes.values())
            if chosen is not None:
                return self._new_row(lease, row.incarnation, chosen, [row.current], nodes)
        return None

    def _choose(self, lease: ServerLease, nodes: Mapping[NodeId, EntryNode]) -> list[NodeId]:
        count = self._settings.renewers_per_server
        return choose_renewers(lease.server_id, lease.failure_domain, nodes.values(), count)

    def _new_row(
        self,
        lease: ServerLease,
        incarnation: str,
        node_ids: list[NodeId],
        former: list[RenewerSet],
        nodes: Mapping[NodeId, EntryNode],
    ) -> ServerRow | None:
        """Return the row of the next lease epoch, or None if no entry VM can renew."""
        if not node_ids:
            return None
        current = RenewerSet(
            lease_epoch=lease.lease_epoch + 1,
            node_ids=node_ids,
            incarnations=[nodes[node_id].incarnation for node_id in node_ids],
            role_epoch=self._role_epoch,
        )
        return ServerRow(
            service_name=self._service_name,
            server_id=lease.server_id,
            incarnation=incarnation,
            current=current,
            former=former,
            gate_node_id=lease.row.gate_node_id if lease.row else None,
        )

    def _needs_probe(self, lease: ServerLease) -> bool:
        if lease.incarnation is None or lease.is_lost:
            return True
        return lease.confirmed_epoch < lease.lease_epoch

    def _probe(self, lease: ServerLease) -> ProbeServer:
        message = RenewLease(
            sender=self._sender,
            holder_incarnation=lease.incarnation or "",
            lease_epoch=lease.lease_epoch,
            renewer_node_ids=[self._sender.node_id],
            lease_end_ms=0,
        )
        return ProbeServer(lease.server_id, lease.address, message)

    def _assignments(self, lease: ServerLease, now_ms: int) -> list[Decision]:
        row = lease.row
        if row is None or lease.is_lost or lease.ended_epoch >= lease.lease_epoch:
            return []
        missing = [node for node in row.current.node_ids if node not in lease.assigned]
        if not missing or now_ms < lease.next_assign_ms:
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
