"""Send each server the grant set that the table and the proofs allow."""

from collections.abc import Iterable
from dataclasses import dataclass

from nutmeglead._generated.messages.ttypes import GrantReply, OrderStatus, SetGrants
from nutmeglead.controller.decisions import SendGrants, SendRelease
from nutmeglead.controller.leases import ServerLease
from nutmeglead.core.ids import ServerId
from nutmeglead.ownership.commands import CommandFactory
from nutmeglead.ownership.handover import HandoverTable
from nutmeglead.ownership.handover import SendRelease as ReleaseDecision
from nutmeglead.ownership.units import UnitMap

__all__ = ["GrantSender"]

RETRY_INTERVAL_MS = 150


@dataclass
class _Sent:
    """Hold the last grant set sent to a server."""

    message: SetGrants
    is_acknowledged: bool = False
    next_send_ms: int = 0

    def is_same(self, message: SetGrants) -> bool:
        """Tell whether another message would install the same under the same lease epoch."""
        mine, other = self.message, message
        return bool(
            mine.lease_epoch == other.lease_epoch
            and mine.grants == other.grants
            and mine.carve_outs == other.carve_outs
        )


class GrantSender:
    """Decide which grant messages to send; pure."""

    def __init__(self, commands: CommandFactory) -> None:
        self._commands = commands
        self._sent: dict[ServerId, _Sent] = {}
        self._dirty: set[ServerId] = set()
        self._unacknowledged: set[ServerId] = set()
        # Servers whose set on the way was overtaken by a release.
        self._overtaken: set[ServerId] = set()

    def mark(self, server_ids: Iterable[ServerId]) -> None:
        """Compute the grant sets of these servers again at the next decision."""
        self._dirty.update(server_ids)

    def decide(
        self,
        leases: Iterable[ServerLease],
        unit_map: UnitMap,
        handovers: HandoverTable,
        now_ms: int,
    ) -> list[SendGrants]:
        """Return the grant messages that are due to servers that are waiting or attended."""
        messages = []
        for lease in leases:
            if lease.row is None or lease.has_ended or not lease.has_answered:
                continue
            sent = self._sent.get(lease.server_id)
            is_new = sent is None or sent.message.lease_epoch != lease.lease_epoch
            if is_new or lease.server_id in self._dirty:
                sent = self._refresh(lease, unit_map, handovers)
            if sent is None or sent.is_acknowledged or now_ms < sent.next_send_ms:
                continue
            if lease.address is not None:
                sent.next_send_ms = now_ms + RETRY_INTERVAL_MS
                messages.append(SendGrants(lease.server_id, lease.address, sent.message))
        return messages

    def on_reply(self, server_id: ServerId, reply: GrantReply) -> None:
        """Note an acknowledgement of the newest grant set."""
        sent = self._sent.get(server_id)
        if sent is None or reply.status != OrderStatus.DONE:
            return
        order = (sent.message.role_epoch, sent.message.sequence)
        if (reply.role_epoch, reply.sequence) == order:
            sent.is_acknowledged = True
            self._unacknowledged.discard(server_id)

    def release(
        self, lease: ServerLease, decision: ReleaseDecision, unit_map: UnitMap
    ) -> SendRelease | None:
        """Return the release of units that a server may still hold."""
        if lease.address is None:
            return None
        message = self._commands.release(decision, unit_map)
        # The server ignores grants that are on their way with a lower sequence; they have to be
        # sent again under a higher one.
        sent = self._sent.get(lease.server_id)
        if sent is not None and not sent.is_acknowledged:
            self._sent.pop(lease.server_id)
            self._unacknowledged.discard(lease.server_id)
            self._overtaken.add(lease.server_id)
        return SendRelease(lease.server_id, lease.address, message)

    def unacknowledged(self) -> list[ServerId]:
        """List the servers that have not acknowledged their newest grant set."""
        return sorted(self._unacknowledged | self._dirty)

    def waiting(self) -> list[ServerId]:
        """List the servers that a message may be due to."""
        return sorted(self._unacknowledged | self._dirty | self._overtaken)

    def forget(self, server_id: ServerId) -> None:
        """Expect no acknowledgement from a server that is lost."""
        self._sent.pop(server_id, None)
        for waiting in (self._dirty, self._unacknowledged, self._overtaken):
            waiting.discard(server_id)

    def _refresh(
        self, lease: ServerLease, unit_map: UnitMap, handovers: HandoverTable
    ) -> _Sent | None:
        self._dirty.discard(lease.server_id)
        self._overtaken.discard(lease.server_id)
        sent = self._sent.get(lease.server_id)
        message = self._commands.grants(lease.row, unit_map, handovers)
        if sent is not None and sent.is_same(message):
            return sent
        self._unacknowledged.add(lease.server_id)
        sent = self._sent[lease.server_id] = _Sent(message)
        return sent
