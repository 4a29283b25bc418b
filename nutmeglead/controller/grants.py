"""Send each server the grant set that the table and the proofs allow."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from nutmeglead._generated.common.ttypes import Sender
from nutmeglead._generated.messages.ttypes import (
    Grant,
    GrantReply,
    OrderStatus,
    ReleaseUnits,
    SetGrants,
)
from nutmeglead.controller.decisions import SendGrants, SendRelease
from nutmeglead.controller.leases import ServerLease
from nutmeglead.core.ids import Epoch, Incarnation, RoleEpoch, ServerId
from nutmeglead.ownership.keys import Unit
from nutmeglead.ownership.units import GrantSet, Holder, UnitMap, UnitRecord

__all__ = ["GrantSender"]

RETRY_INTERVAL_MS = 150


@dataclass
class _Sent:
    """Hold the last grant set sent to a server."""

    grant_set: GrantSet
    lease_epoch: int
    sequence: int
    is_acknowledged: bool = False
    next_send_ms: int = 0


class GrantSender:
    """Decide which grant messages to send; pure."""

    def __init__(self, sender: Sender, role_epoch: RoleEpoch, hash_buckets: int) -> None:
        self._sender = sender
        self._role_epoch = role_epoch
        self._hash_buckets = hash_buckets
        self._sequence = 0
        self._sent: dict[ServerId, _Sent] = {}
        self._dirty: set[ServerId] = set()

    def mark(self, server_ids: Iterable[ServerId]) -> None:
        """Compute the grant sets of these servers again at the next decision."""
        self._dirty.update(server_ids)

    def decide(
        self,
        leases: Iterable[ServerLease],
        unit_map: UnitMap,
        is_proven: Callable[[Unit, Holder], bool],
        now_ms: int,
    ) -> list[SendGrants]:
        """Return the grant messages that are due."""
        messages = []
        for lease in leases:
            if lease.row is None or lease.has_ended or not lease.has_answered:
                continue
            sent = self._sent.get(lease.server_id)
            is_new = sent is None or sent.lease_epoch != lease.lease_epoch
            if is_new or lease.server_id in self._dirty:
                sent = self._refresh(lease, unit_map.grant_set(lease.server_id, is_proven))
            if sent is None or sent.is_acknowledged or now_ms < sent.next_send_ms:
                continue
            sent.next_send_ms = now_ms + RETRY_INTERVAL_MS
            messages.append(SendGrants(lease.server_id, lease.address, self._message(lease, sent)))
        return messages

    def on_reply(self, server_id: ServerId, reply: GrantReply) -> None:
        """Note an acknowledgement of the newest grant set."""
        sent = self._sent.get(server_id)
        if sent is None or reply.status != OrderStatus.DONE:
            return
        if (reply.role_epoch, reply.sequence) == (self._role_epoch, sent.sequence):
            sent.is_acknowledged = True

    def release_message(
        self,
        lease: ServerLease,
        incarnation: Incarnation,
        units: Iterable[tuple[Unit, Epoch]],
        pins: Iterable[UnitRecord],
    ) -> SendRelease:
        """Return the release of units that a server may still hold.

        `pins` are the exact and prefix units that the server owns. It drops all others, and a grant
        set that it has acknowledged is not sent again.
        """
        message = ReleaseUnits(
            sender=self._sender,
            role_epoch=self._role_epoch,
            sequence=self._next_sequence(),
            holder_incarnation=incarnation,
            units=[Grant(unit.to_id(), epoch) for unit, epoch in units],
            kept=[Grant(record.unit.to_id(), record.epoch) for record in pins],
        )
        # A release has a higher sequence than grants still on their way, which the server therefore
        # ignores; they are sent again.
        sent = self._sent.get(lease.server_id)
        if sent is not None and not sent.is_acknowledged:
            sent.sequence = self._next_sequence()
        return SendRelease(lease.server_id, lease.address, message)

    def unacknowledged(self) -> list[ServerId]:
        """List the servers that have not acknowledged their newest grant set."""
        waiting = {server_id for server_id, sent in self._sent.items() if not sent.is_acknowledged}
        return sorted(waiting | self._dirty)

    def forget(self, server_id: ServerId) -> None:
        """Expect no acknowledgement from a server that is lost."""
        self._sent.pop(server_id, None)
        self._dirty.discard(server_id)

    def _refresh(self, lease: ServerLease, grant_set: GrantSet) -> _Sent:
        self._dirty.discard(lease.server_id)
        sent = self._sent.get(lease.server_id)
        is_same_lease = sent is not None and sent.lease_epoch == lease.lease_epoch
        if sent is not None and is_same_lease and sent.grant_set == grant_set:
            return sent
        sent = _Sent(grant_set, lease.lease_epoch, self._next_sequence())
        self._sent[lease.server_id] = sent
        return sent

    def _message(self, lease: ServerLease, sent: _Sent) -> SetGrants:
        assert lease.row is not None
        return SetGrants(
            sender=self._sender,
            role_epoch=self._role_epoch,
            sequence=sent.sequence,
            holder_incarnation=lease.row.incarnation,
            lease_epoch=lease.lease_epoch,
            renewer_node_ids=list(lease.row.current.node_ids),
            hash_buckets=self._hash_buckets,
            grants=[Grant(unit.to_id(), epoch) for unit, epoch in sent.grant_set.grants],
            carve_outs=[unit.to_id() for unit in sent.grant_set.carve_outs],
        )

    def _next_sequence(self) -> int:
        self._sequence += 1
        return self._sequence
