"""Run one service as its acting controller; a pure machine of events, time and decisions."""

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass

from result import Err

from nutmeglead._generated.common.ttypes import Sender
from nutmeglead._generated.messages.ttypes import (
    AssignReply,
    AuditRecord,
    GrantReply,
    MissingParty,
    OrderStatus,
    ReleaseReply,
    ReleaseUnits,
    RenewLease,
    RenewReply,
    RenewStatus,
    ServerRow,
    StoppedReply,
    SuspectServer,
)
from nutmeglead._generated.settings.ttypes import OwnershipSettings, ServiceSettings
from nutmeglead._generated.tickets.ttypes import ServerState
from nutmeglead.controller.audit_trail import AuditTrail
from nutmeglead.controller.budget import WriteBudget
from nutmeglead.controller.decisions import (
    CommitTag,
    Decision,
    EntryNode,
    ReadRows,
    RecordAudit,
    SendStop,
)
from nutmeglead.controller.grants import GrantSender
from nutmeglead.controller.in_force import (
    InForceTracker,
    unacknowledged_parties,
    unplanned_party,
    unproven_parties,
)
from nutmeglead.controller.leases import LeaseKeeper
from nutmeglead.controller.page_writer import PageWriter, TicketProgress
from nutmeglead.controller.placer import PagePlacer
from nutmeglead.controller.server_writer import ServerWriter
from nutmeglead.core.codec import decode
from nutmeglead.core.ids import (
    LeaseEpoch,
    NodeId,
    RoleEpoch,
    RowKey,
    ServerId,
    ServiceName,
    TicketNumber,
)
from nutmeglead.ownership.commands import CommandFactory
from nutmeglead.ownership.handover import HandoverTable, Suspicion
from nutmeglead.ownership.handover import SendStop as StopDecision
from nutmeglead.ownership.pages import role_key
from nutmeglead.placement.model import LoadSnapshot
from nutmeglead.platform.ports import Row, RowCheck
from nutmeglead.tickets.state import ServiceState

__all__ = ["ControllerMachine", "MachineSettings"]


@dataclass(frozen=True)
class MachineSettings:
    """Hold the settings of one service's machine."""

    service: ServiceSettings
    ownership: OwnershipSettings


class ControllerMachine:
    """Decide for one service under one role epoch."""

    def __init__(
        self,
        settings: MachineSettings,
        sender: Sender,
        role_epoch: RoleEpoch,
        role_version: int,
        now_ms: int,
    ) -> None:
        self.service_name = ServiceName(settings.service.name)
        self.role_epoch = role_epoch
        self.placer = PagePlacer(self.service_name, settings.service.hash_buckets)
        self.handover = HandoverTable(settings.ownership, _after_lapse_ms(settings.service))
        self.leases = LeaseKeeper(
            self.service_name,
            settings.ownership,
            sender,
            role_epoch,
            uses_gates=not settings.service.checks_grants,
        )
        self._commands = CommandFactory(sender, self.service_name, role_epoch)
        self.grants = GrantSender(self._commands)
        self.in_force = InForceTracker()
        self._sender = sender
        self._role_check = RowCheck(role_key(self.service_name), role_version)
        self._trail = AuditTrail(self.service_name, sender, role_epoch)
        parts = (self.placer, self._role_check, role_epoch, self._trail)
        self.writer = PageWriter(settings.service, *parts)
        self._budget = WriteBudget(settings.ownership.table_writes_per_s, now_ms)
        self._server_writer = ServerWriter(self.service_name, self.leases, self._role_check)
        self._to_read: set[RowKey] = set()
        self._outbox: list[Decision] = []
        self._node_incarnations: dict[NodeId, str] = {}
        self._record(self._trail.role_taken(f"role epoch {role_epoch} was written to the table"))

    @property
    def is_busy(self) -> bool:
        """Tell whether a handover, a grant or a ticket is under way."""
        is_waiting = bool(self.grants.unacknowledged()) or not self.writer.progress.is_planned
        return is_waiting or any(True for _ in self.placer.unit_map.pending())

    # ---- state from the table ----

    def load_pages(self, rows: Iterable[Row]) -> None:
        """Take over page rows of the table."""
        for row in rows:
            before = self.placer.pages.get(row.key)
            self.placer.load_rows([row])
            after = self.placer.pages.get(row.key)
            for page in (before, after):
                if page is not None:
                    self.grants.mark(map(ServerId, page.servers))
        self.handover.set_pending(self.placer.unit_map.pending())
        self.in_force.map_changed(self.placer.digest())
        self._mark_proven()

    def load_servers(self, rows: Iterable[Row]) -> None:
        """Take over server rows of the table."""
        for row in rows:
            decoded = decode(ServerRow, row.value)
            if isinstance(decoded, Err):
                continue
            self.leases.load_row(decoded.ok_value, row.version)
            self.handover.set_server(decoded.ok_value)

    def set_desired(self, desired: ServiceState, number: TicketNumber, now_ms: int) -> None:
        """Take over the state that the tickets up to a number describe."""
        self.writer.plan_input.desired = desired
        if number > self.writer.progress.ticket_number:
            self.writer.progress = TicketProgress(number)
            self._trail.ticket_number = number
        self.leases.set_servers(
            (server.server_id, server.address, server.failure_domain or "")
            for server in desired.servers.values()
            if server.address is not None
        )
        servers = desired.servers.values()
        self.leases.set_wanted(s.server_id for s in servers if s.state != ServerState.REMOVED)
        self.writer.replan(now_ms)
        for server in desired.servers.values():
            if server.state == ServerState.LEAVING and server.ticket_number == number:
                self._record(self._trail.server_leaving(server.server_id))

    def set_load(self, load: LoadSnapshot) -> None:
        """Take over measured load."""
        self.writer.plan_input.load = load

    # ---- replies and reports ----

    def on_probe_reply(
        self, server_id: ServerId, sent: RenewLease, reply: RenewReply, sent_ms: int, now_ms: int
    ) -> None:
        """Take a server's reply to a probe."""
        self._note_incarnation(server_id, reply.holder_incarnation, sent_ms, now_ms)
        lease = self.leases.servers.get(server_id)
        if lease is None or lease.row is None:
            return
        if reply.holder_incarnation != lease.row.incarnation:
            return
        if reply.status == RenewStatus.LAPSED:
            self.handover.on_lapsed(server_id, sent.lease_epoch)
            return
        was_confirmed = lease.is_confirmed
        self.leases.confirm(server_id, reply.lease_epoch)
        if lease.is_confirmed and not was_confirmed:
            self.writer.replan(now_ms)

    def on_grant_reply(
        self, server_id: ServerId, lease_epoch: int, reply: GrantReply, sent_ms: int, now_ms: int
    ) -> None:
        """Take a server's reply to a grant set that was sent under a lease epoch."""
        self._note_incarnation(server_id, reply.holder_incarnation, sent_ms, now_ms)
        self.grants.on_reply(server_id, reply)
        if reply.status == OrderStatus.LAPSED:
            self.handover.on_lapsed(server_id, lease_epoch)

    def on_release_reply(
        self, server_id: ServerId, sent: ReleaseUnits, reply: ReleaseReply, now_ms: int
    ) -> None:
        """Take a server's reply to a release."""
        self.handover.on_release_reply(server_id, sent, reply, now_ms)
        self._mark_proven()

    def on_assign_reply(self, server_id: ServerId, reply: AssignReply, now_ms: int) -> None:
        """Take a renewer's reply to an assignment.

        A renewer reports nothing of a server whose lease an earlier controller had stopped. Without
        the loss noted here, such a server's units would stay with it for good.
        """
        if reply.accepted:
            self.leases.accept_assignment(server_id, reply.sender.node_id, reply.lease_epoch)
        elif self.handover.on_assign_reply(server_id, reply) is Suspicion.LEASE_ENDED:
            lease = self.leases.servers.get(server_id)
            if lease is not None and not lease.is_lost and not lease.has_ended:
                self._lose(server_id, "an earlier controller had its lease stopped", now_ms)

    def on_stopped(self, reply: StoppedReply, now_ms: int) -> None:
        """Take a renewer's stop statement."""
        self.handover.on_stopped(reply, now_ms)

    def on_suspect(self, message: SuspectServer, now_ms: int) -> None:
        """Take a renewer's report of a silent, lapsed or restarted server."""
        server_id = ServerId(message.server_id)
        suspicion = self.handover.on_suspect(message, now_ms)
        lease = self.leases.servers.get(server_id)
        if lease is None or lease.is_lost:
            return
        if suspicion is Suspicion.SILENT:
            self._lose(server_id, f"{message.silent_ms} ms without a reply to renewals", now_ms)
        elif suspicion in (Suspicion.LEASE_ENDED, Suspicion.RESTARTED):
            self.leases.probe_now(server_id)

    def on_server_gone(self, server_id: ServerId, incarnation: str, now_ms: int) -> None:
        """Take the platform's word that a server's VM is gone."""
        lease = self.leases.servers.get(server_id)
        if lease is None or lease.row is None or lease.row.incarnation != incarnation:
            return
        if not lease.is_lost:
            self._lose(server_id, "the platform reports its VM as gone", now_ms)
        self.handover.on_server_gone(server_id, lease.row.incarnation, now_ms)

    def on_leaving_vms(self, server_ids: frozenset[ServerId], now_ms: int) -> None:
        """Take the platform's word that VMs are leaving: they get no new work."""
        if server_ids != self.writer.plan_input.leaving_vms:
            self.writer.plan_input.leaving_vms = server_ids
            self.writer.replan(now_ms)

    # ---- results of transactions ----

    def on_committed(self, tag: CommitTag, versions: Mapping[RowKey, int], now_ms: int) -> None:
        """Take the result of an applied transaction."""
        if tag is CommitTag.PAGES:
            self.load_pages(self.writer.committed(versions, now_ms))
            self._outbox += [RecordAudit(record) for record in self.writer.audit_moves()]
            return
        self._outbox += [RecordAudit(r) for r in self._server_writer.audit_leases(self._trail)]
        self.load_servers(self._server_writer.committed(versions))

    def on_commit_failed(self, tag: CommitTag, now_ms: int) -> None:
        """Read the rows of a transaction again, because it conflicted or its answer was lost."""
        if tag is CommitTag.PAGES:
            self._to_read.update(self.writer.failed(now_ms))
        else:
            self._to_read.update(self._server_writer.failed())

    def on_rows_read(self, keys: Collection[RowKey], rows: Iterable[Row], now_ms: int) -> None:
        """Take rows that were read again after a failed transaction."""
        found = list(rows)
        prefix = f"page/{self.service_name}/"
        self.load_pages([row for row in found if row.key.startswith(prefix)])
        self.load_servers([row for row in found if not row.key.startswith(prefix)])
        self._to_read.difference_update(keys)
        self.writer.settle(keys, now_ms)
        self._outbox += [RecordAudit(record) for record in self.writer.audit_moves()]

    # ---- time ----

    def tick(self, now_ms: int, nodes: Mapping[NodeId, EntryNode]) -> list[Decision]:
        """Return everything that is due."""
        self._note_restarted_nodes(nodes, now_ms)
        self._retire_servers()
        decisions: list[Decision] = self.leases.decide(now_ms, nodes)
        decisions += self._handover_messages(now_ms)
        leases = self.leases.attended(self.grants.waiting())
        decisions += self.grants.decide(leases, self.placer.unit_map, self.handover, now_ms)
        decisions += self._transactions(now_ms, nodes)
        if self.writer.progress.is_planned:
            self.in_force.ticket_planned(self.writer.progress.ticket_number)
        self.leases.dismiss_settled(nodes)
        decisions += self._outbox
        self._outbox = []
        return decisions

    def missing(
        self, ticket_number: TicketNumber, live_nodes: Iterable[tuple[str, str]]
    ) -> list[MissingParty]:
        """List who keeps a ticket from being in force everywhere."""
        progress = self.writer.progress
        parties = [] if progress.covers(ticket_number) else [unplanned_party()]
        parties += [MissingParty(reason, "postponed") for reason in progress.postponed]
        parties += [MissingParty(reason, "claim not met") for reason in progress.unmet]
        parties += unacknowledged_parties(self.grants, self.leases)
        parties += unproven_parties(self.placer.unit_map, self.handover)
        unique = {(party.id, party.reason): party for party in parties}
        return self.in_force.missing(ticket_number, live_nodes, unique.values())

    # ---- private ----

    def _handover_messages(self, now_ms: int) -> list[Decision]:
        messages: list[Decision] = []
        for decision in self.handover.decide(now_ms):
            if isinstance(decision, StopDecision):
                messages.append(SendStop(decision.node_id, self._commands.stop(decision)))
                continue
            lease = self.leases.servers.get(decision.server_id)
            if lease is not None and not lease.is_lost:
                release = self.grants.release(lease, decision, self.placer.unit_map)
                messages += [release] if release else []
        self._note_ended()
        return messages

    def _note_ended(self) -> None:
        for server_id in self.handover.ended_servers():
            lease, proof = self.leases.servers.get(server_id), self.handover.ended(server_id)
            if lease is None or proof is None or lease.has_ended:
                continue
            self.leases.end(lease.server_id)
            epoch = LeaseEpoch(lease.lease_epoch)
            self._record(self._trail.lease_ended(lease.server_id, epoch, proof.value))
            self._mark_proven()

    def _mark_proven(self) -> None:
        """Have units whose handover is complete granted to their owners."""
        for record in self.placer.unit_map.pending():
            proven = all(self.handover.is_proven(record.unit, h) for h in record.previous)
            if proven and record.owner is not None:
                self.grants.mark([record.owner])

    def _transactions(self, now_ms: int, nodes: Mapping[NodeId, EntryNode]) -> list[Decision]:
        if self._to_read:
            return [ReadRows(tuple(sorted(self._to_read)))]
        # Moves come first: the loss of a failure domain makes many renewers be replaced, too.
        pages = self.writer.next_commit(
            self.leases.servers,
            self.handover.proven(),
            self._budget,
            now_ms,
            self.leases.gate_addresses(nodes),
        )
        servers = self._server_writer.next_commit(nodes, self._budget, now_ms)
        return [commit for commit in (pages, servers) if commit is not None]

    def _note_incarnation(
        self, server_id: ServerId, incarnation: str, sent_ms: int, now_ms: int
    ) -> None:
        if not self.leases.observe(server_id, incarnation, sent_ms):
            return
        row = self.leases.servers[server_id].row
        if row is not None:
            self.handover.on_server_gone(server_id, row.incarnation, now_ms)
            self._note_ended()
            self.writer.plan_input.present_since_ms[server_id] = now_ms

    def _lose(self, server_id: ServerId, evidence: str, now_ms: int) -> None:
        self.leases.lose(server_id)
        self.grants.forget(server_id)
        self.handover.require_lapse(server_id)
        self.writer.plan_input.present_since_ms[server_id] = now_ms
        self.writer.replan(now_ms)
        epoch = LeaseEpoch(self.leases.servers[server_id].lease_epoch)
        self._record(self._trail.lease_ended(server_id, epoch, f"lost: {evidence}"))

    def _retire_servers(self) -> None:
        """End the leases of removed servers that own nothing any more."""
        unwanted = self.leases.unwanted()
        owners = self.placer.holders() if unwanted else set()
        for server_id in unwanted:
            if server_id not in owners:
                self.leases.retire(server_id)
                self.handover.require_lapse(server_id)

    def _note_restarted_nodes(self, nodes: Mapping[NodeId, EntryNode], now_ms: int) -> None:
        """Tell the handover table of renewers whose earlier incarnation is gone."""
        for node_id, node in nodes.items():
            known = self._node_incarnations.get(node_id)
            self._node_incarnations[node_id] = node.incarnation
            if known is not None and known != node.incarnation:
                self.handover.on_renewer_gone(node_id, now_ms)

    def _record(self, record: AuditRecord) -> None:
        self._outbox.append(RecordAudit(record))


def _after_lapse_ms(service: ServiceSettings) -> int:
    """Return how long a request sent before a lapse may still run.

    A server that checks grants checks its lease when it applies the effect; one that does not may
    run what it has received until the deadline.
    """
    return 0 if service.checks_grants else int(service.request_timeout_ms)
