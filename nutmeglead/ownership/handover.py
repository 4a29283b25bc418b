"""Collect the proofs that earlier holders of units are done."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

from nutmeglead._generated.messages.ttypes import (
    AssignReply,
    OrderStatus,
    ReleaseReply,
    ReleaseUnits,
    RenewerSet,
    ServerRow,
    StoppedReply,
    SuspectServer,
)
from nutmeglead._generated.settings.ttypes import OwnershipSettings
from nutmeglead.core.ids import Epoch, Incarnation, LeaseEpoch, NodeId, ServerId
from nutmeglead.ownership.keys import Unit, unit_from_id
from nutmeglead.ownership.renewer import lapse_margin_ms
from nutmeglead.ownership.server_rows import renewer_sets
from nutmeglead.ownership.units import Holder, UnitRecord

__all__ = ["Decision", "HandoverTable", "Proof", "SendRelease", "SendStop", "Suspicion"]

# A lost message delays a handover by one interval; 2 s until a lost server's keys are served again
# leave room for several.
RETRY_INTERVAL_MS = 100


class Proof(Enum):
    """Tell how a previous holder was proven done."""

    RELEASED = "released"
    LAPSED = "lapsed"
    GONE = "gone"


class Suspicion(Enum):
    """Tell what the renewers' reports say of a server."""

    NONE = "none"
    SILENT = "silent"
    LEASE_ENDED = "lease ended"
    RESTARTED = "restarted"


@dataclass(frozen=True)
class SendRelease:
    """Ask a server to drain and drop units at these epochs or lower ones."""

    server_id: ServerId
    incarnation: Incarnation
    units: tuple[tuple[Unit, Epoch], ...]


@dataclass(frozen=True)
class SendStop:
    """Ask a renewer to stop a server's lease epoch."""

    node_id: NodeId
    server_id: ServerId
    lease_epoch: LeaseEpoch


Decision = SendRelease | SendStop


@dataclass
class _Server:
    """Hold what is known of one server's leases."""

    row: ServerRow
    ended: Proof | None = None
    # When the incarnation was found gone.
    gone_at_ms: int | None = None
    is_stopping: bool = False
    # Per renewer and stopped lease epoch: when its renewals have certainly expired.
    expired_at_ms: dict[tuple[str, int], int] = field(default_factory=dict)
    reports_ms: dict[str, int] = field(default_factory=dict)
    next_release_ms: int = 0
    next_stop_ms: int = 0
    last_asked: tuple[tuple[Unit, Epoch], ...] = ()
    heard_ms: int | None = None

    def is_ending(self) -> bool:
        """Tell whether the end of the lease is sought and not proven yet."""
        sought = self.is_stopping or self.gone_at_ms is not None or bool(self.expired_at_ms)
        return sought and self.ended is None

    def stop_times_ms(self, renewers: RenewerSet) -> list[int]:
        """List when each stopped renewer's renewals of this set have expired."""
        times = []
        for node_id in renewers.node_ids:
            stops = [
                time
                for (node, epoch), time in self.expired_at_ms.items()
                if node == node_id and epoch >= renewers.lease_epoch
            ]
            times += [min(stops)] if stops else []
        return sorted(times)

    def has_lapsed(self, now_ms: int) -> bool:
        """Tell whether a majority of every set that the lease may rest on has expired."""
        for renewers in renewer_sets(self.row):
            majority = len(renewers.node_ids) // 2 + 1
            times = self.stop_times_ms(renewers)
            if len(times) < majority or now_ms < times[majority - 1]:
                return False
        return True

    def unstopped(self) -> list[NodeId]:
        """List the renewers whose stop statement for the current lease epoch is missing."""
        epoch = self.row.current.lease_epoch
        nodes = dict.fromkeys(n for s in renewer_sets(self.row) for n in s.node_ids)
        return [NodeId(n) for n in nodes if (n, epoch) not in self.expired_at_ms]


class HandoverTable:
    """Track one service's pending handovers for the acting controller.

    `after_lapse_ms` is the time that a request already sent may still run on a server that does
    not check grants; 0 for servers that do.
    """

    def __init__(self, settings: OwnershipSettings, after_lapse_ms: int = 0) -> None:
        self._settings = settings
        self._after_lapse_ms = after_lapse_ms
        self._servers: dict[ServerId, _Server] = {}
        self._pending: dict[Unit, tuple[Holder, ...]] = {}
        # The same by server; most of thousands of servers have nothing to hand over.
        self._waiting: dict[ServerId, list[tuple[Unit, Holder]]] = {}
        self._proofs: dict[tuple[Unit, ServerId], tuple[Epoch, Proof]] = {}
        self._ended: set[ServerId] = set()

    def set_pending(self, records: Iterable[UnitRecord]) -> None:
        """Take over the units with previous holders as the table lists them."""
        self._pending = {record.unit: record.previous for record in records}
        self._waiting = {}
        for unit, holders in self._pending.items():
            for holder in holders:
                self._waiting.setdefault(holder.server_id, []).append((unit, holder))
        listed = {(unit, h.server_id) for unit, holders in self._pending.items() for h in holders}
        self._proofs = {place: proof for place, proof in self._proofs.items() if place in listed}

    def set_server(self, row: ServerRow) -> None:
        """Take over a server's row from the table; an older lease epoch is ignored."""
        server_id = ServerId(row.server_id)
        known = self._servers.get(server_id)
        if known is None:
            self._servers[server_id] = _Server(row)
        elif row.current.lease_epoch == known.row.current.lease_epoch:
            known.row = row
        elif row.current.lease_epoch > known.row.current.lease_epoch:
            # The end of the earlier leases proves the handovers of their time only.
            self._record_end(server_id, known)
            self._servers[server_id] = _Server(row)
            self._ended.discard(server_id)

    def require_lapse(self, server_id: ServerId) -> None:
        """Stop a server's lease because it does not answer."""
        self._servers[server_id].is_stopping = True

    def on_suspect(self, message: SuspectServer, now_ms: int) -> Suspicion:
        """Judge a renewer's report; silence needs two renewers, since one may be cut off."""
        server = self._servers.get(ServerId(message.server_id))
        node_id = message.sender.node_id
        if server is None or message.lease_epoch != server.row.current.lease_epoch:
            return Suspicion.NONE
        if node_id not in server.row.current.node_ids:
            return Suspicion.NONE
        if message.holder_incarnation != server.row.incarnation:
            self._note_gone(server, now_ms)
            return Suspicion.RESTARTED
        if message.silent_ms < self._settings.suspect_after_ms:
            return Suspicion.NONE if server.is_stopping else Suspicion.LEASE_ENDED
        server.reports_ms[node_id] = now_ms
        recent_ms = now_ms - self._settings.suspect_after_ms
        recent = [time for time in server.reports_ms.values() if time >= recent_ms]
        majority = len(server.row.current.node_ids) // 2 + 1
        return Suspicion.SILENT if len(recent) >= majority else Suspicion.NONE

    def on_assign_reply(self, server_id: ServerId, reply: AssignReply) -> Suspicion:
        """Find a lease epoch that an earlier controller stopped; the server needs the next one."""
        server = self._servers.get(server_id)
        if server is None or server.is_stopping or reply.accepted:
            return Suspicion.NONE
        was_stopped = reply.lease_epoch >= server.row.current.lease_epoch
        return Suspicion.LEASE_ENDED if was_stopped else Suspicion.NONE

    def on_release_reply(
        self, server_id: ServerId, request: ReleaseUnits, reply: ReleaseReply, now_ms: int
    ) -> None:
        """Take a server's reply to exactly this request."""
        server = self._servers.get(server_id)
        if server is None or request.holder_incarnation != server.row.incarnation:
            return
        if reply.holder_incarnation != request.holder_incarnation:
            self._note_gone(server, now_ms)
            return
        server.heard_ms = now_ms
        if reply.status not in (OrderStatus.DONE, OrderStatus.DRAINING):
            return
        asked = {unit_from_id(grant.unit): Epoch(grant.epoch) for grant in request.units}
        for unit in map(unit_from_id, reply.released):
            if unit in asked:
                self._prove(unit, Holder(server_id, asked[unit]), Proof.RELEASED)

    def on_stopped(self, reply: StoppedReply, now_ms: int) -> None:
        """Take a renewer's stop statement; what it renewed has expired after the wait."""
        server = self._servers.get(ServerId(reply.server_id))
        if server is not None:
            self._note_stop(
                server, reply.sender.node_id, reply.lease_epoch, now_ms + reply.remaining_ms
            )

    def on_renewer_gone(self, node_id: NodeId, now_ms: int) -> None:
        """Count a renewer whose VM is gone as stopped just now, with a full ttl remaining."""
        ttl_ms = self._settings.lease_ttl_ms
        expired_ms = now_ms + ttl_ms + lapse_margin_ms(ttl_ms, self._settings.clock_drift_ppm)
        for server in self._servers.values():
            if any(node_id in renewers.node_ids for renewers in renewer_sets(server.row)):
                self._note_stop(server, node_id, server.row.current.lease_epoch, expired_ms)

    def on_lapsed(self, server_id: ServerId, lease_epoch: int) -> None:
        """Take a server's own statement that its lease of an epoch has lapsed."""
        server = self._servers.get(server_id)
        if server is not None and lease_epoch >= server.row.current.lease_epoch:
            self._end(server, Proof.LAPSED)

    def on_server_gone(self, server_id: ServerId, incarnation: Incarnation, now_ms: int) -> None:
        """Take the platform's word that the VM of an incarnation is gone."""
        server = self._servers.get(server_id)
        if server is not None and server.row.incarnation == incarnation:
            self._note_gone(server, now_ms)

    def decide(self, now_ms: int) -> list[Decision]:
        """Note lapses and list the messages to send now."""
        decisions: list[Decision] = []
        ending = (i for i, server in self._servers.items() if server.is_ending())
        for server_id in dict.fromkeys((*self._waiting, *ending)):
            server = self._servers.get(server_id)
            if server is None:
                continue
            self._note_end(server, now_ms)
            if server.ended is None:
                decisions += self._release(server_id, server, now_ms)
                decisions += self._stop(server_id, server, now_ms)
        return decisions

    def ended(self, server_id: ServerId) -> Proof | None:
        """Return how all leases of the known lease epoch and lower ones are proven ended."""
        server = self._servers.get(server_id)
        return server.ended if server else None

    def ended_servers(self) -> list[ServerId]:
        """List the servers for which `ended` gives a proof."""
        return sorted(self._ended)

    def proof(self, unit: Unit, holder: Holder) -> Proof | None:
        """Return how a holder is proven done with a unit."""
        epoch, proof = self._proofs.get((unit, holder.server_id), (Epoch(-1), None))
        if proof is not None and holder.epoch <= epoch:
            return proof
        return self.ended(holder.server_id)

    def is_proven(self, unit: Unit, holder: Holder) -> bool:
        """Tell whether a holder is proven done with a unit; the argument of `grant_set`."""
        return self.proof(unit, holder) is not None

    def proven(self) -> dict[Unit, list[Holder]]:
        """List what `clear_previous` may remove from the pages."""
        proven = {
            unit: [holder for holder in holders if self.is_proven(unit, holder)]
            for unit, holders in self._pending.items()
        }
        return {unit: holders for unit, holders in proven.items() if holders}

    def unproven(self, server_id: ServerId) -> list[tuple[Unit, Epoch]]:
        """List the units that a server may still hold, with the epochs."""
        return [
            (unit, holder.epoch)
            for unit, holder in self._waiting.get(server_id, ())
            if not self.is_proven(unit, holder)
        ]

    def _prove(self, unit: Unit, holder: Holder, proof: Proof) -> None:
        known, _ = self._proofs.get((unit, holder.server_id), (Epoch(-1), proof))
        if holder.epoch > known:
            self._proofs[unit, holder.server_id] = (holder.epoch, proof)

    def _record_end(self, server_id: ServerId, server: _Server) -> None:
        if server.ended is None:
            return
        for unit, holder in self._waiting.get(server_id, ()):
            self._prove(unit, holder, server.ended)

    def _note_gone(self, server: _Server, now_ms: int) -> None:
        if server.gone_at_ms is None:
            server.gone_at_ms = now_ms
        self._note_end(server, now_ms)

    def _note_end(self, server: _Server, now_ms: int) -> None:
        if server.ended is not None:
            return
        gone_at_ms = server.gone_at_ms
        # What a lost gate has sent to its server may run on without it.
        if gone_at_ms is not None and now_ms >= gone_at_ms + self._after_lapse_ms:
            self._end(server, Proof.GONE)
        elif server.has_lapsed(now_ms):
            self._end(server, Proof.LAPSED)

    def _end(self, server: _Server, proof: Proof) -> None:
        server.ended = server.ended or proof
        self._ended.add(ServerId(server.row.server_id))

    def _note_stop(
        self, server: _Server, node_id: str, lease_epoch: int, renewed_until_ms: int
    ) -> None:
        place = (node_id, lease_epoch)
        expired_ms = renewed_until_ms + self._after_lapse_ms
        server.expired_at_ms[place] = min(expired_ms, server.expired_at_ms.get(place, expired_ms))

    def _release(self, server_id: ServerId, server: _Server, now_ms: int) -> list[Decision]:
        units = tuple(self.unproven(server_id))
        if not units:
            server.heard_ms = None
            return []
        if server.heard_ms is None:
            server.heard_ms = now_ms
        if now_ms - server.heard_ms >= self._settings.release_timeout_ms:
            server.is_stopping = True
        if units == server.last_asked and now_ms < server.next_release_ms:
            return []
        server.last_asked, server.next_release_ms = units, now_ms + RETRY_INTERVAL_MS
        return [SendRelease(server_id, Incarnation(server.row.incarnation), units)]

    def _stop(self, server_id: ServerId, server: _Server, now_ms: int) -> list[Decision]:
        if not server.is_stopping or now_ms < server.next_stop_ms:
            return []
        server.next_stop_ms = now_ms + RETRY_INTERVAL_MS
        epoch = LeaseEpoch(server.row.current.lease_epoch)
        return [SendStop(node_id, server_id, epoch) for node_id in server.unstopped()]
