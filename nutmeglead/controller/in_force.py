"""Decide whether a ticket is in force everywhere, and name who is missing."""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass

from nutmeglead._generated.messages.ttypes import MissingParty
from nutmeglead.controller.grants import GrantSender
from nutmeglead.controller.leases import LeaseKeeper
from nutmeglead.core.ids import TicketNumber
from nutmeglead.ownership.handover import HandoverTable
from nutmeglead.ownership.units import UnitMap

__all__ = [
    "InForceTracker",
    "unacknowledged_parties",
    "unplanned_party",
    "unproven_parties",
]

# Digests of this many map states are kept; a node that is further behind is reported as missing.
DIGEST_HISTORY = 4096


@dataclass(frozen=True)
class _Planned:
    ticket_number: TicketNumber
    map_sequence: int


class InForceTracker:
    """Compare the digests that nodes report with the states of the acting controller's map; pure.

    A node that reports a digest has applied the map state of that digest. It has a ticket in force
    if that state is at or after the one in which the ticket was planned.
    """

    def __init__(self) -> None:
        self._sequence = 0
        self._sequence_by_digest: dict[int, int] = {}
        self._order: deque[int] = deque()
        self._planned: list[_Planned] = []
        self._node_sequence: dict[str, tuple[str, int]] = {}

    def map_changed(self, digest: int) -> None:
        """Note a new state of the own map."""
        self._sequence += 1
        self._sequence_by_digest[digest] = self._sequence
        self._order.append(digest)
        if len(self._order) > DIGEST_HISTORY:
            oldest = self._order.popleft()
            if oldest not in self._order:
                self._sequence_by_digest.pop(oldest, None)

    def ticket_planned(self, ticket_number: TicketNumber) -> None:
        """Note that the present map holds all that a ticket asks for."""
        if self._planned and self._planned[-1].ticket_number >= ticket_number:
            return
        self._planned.append(_Planned(ticket_number, self._sequence))

    def node_reported(self, node_id: str, incarnation: str, digest: int) -> None:
        """Note a digest from a node's heartbeat."""
        sequence = self._sequence_by_digest.get(digest)
        if sequence is None:
            return
        known = self._node_sequence.get(node_id)
        if known is None or known[0] != incarnation or sequence > known[1]:
            self._node_sequence[node_id] = (incarnation, sequence)

    def missing(
        self,
        ticket_number: TicketNumber,
        live_nodes: Iterable[tuple[str, str]],
        unproven: Iterable[MissingParty],
    ) -> list[MissingParty]:
        """List who keeps a ticket from being in force; empty means in force everywhere.

        `live_nodes` are node ids with their incarnations. `unproven` are the servers that have not
        acknowledged their grants and the previous holders that are not proven done.
        """
        planned = next((p for p in self._planned if p.ticket_number >= ticket_number), None)
        if planned is None:
            return [MissingParty("controller", "the ticket is not fully written to the table yet")]
        missing = list(unproven)
        for node_id, incarnation in live_nodes:
            known = self._node_sequence.get(node_id)
            if known is None or known[0] != incarnation or known[1] < planned.map_sequence:
                missing.append(MissingParty(node_id, "has not reported this map state"))
        return missing


def unplanned_party() -> MissingParty:
    """Report that the moves of a ticket are not all written."""
    return MissingParty("controller", "the ticket's moves are not all written")


def unacknowledged_parties(grants: GrantSender, leases: LeaseKeeper) -> list[MissingParty]:
    """List the servers that may not know their newest grants; a lapsed one holds nothing."""
    parties = []
    for server_id in grants.unacknowledged():
        lease = leases.servers.get(server_id)
        if lease is not None and lease.row is not None and not lease.has_ended:
            parties.append(MissingParty(server_id, "has not acknowledged its grants"))
    return parties


def unproven_parties(unit_map: UnitMap, handovers: HandoverTable) -> list[MissingParty]:
    """List the previous holders that are not proven done."""
    return [
        MissingParty(holder.server_id, "may still hold moved units")
        for record in unit_map.pending()
        for holder in record.previous
        if not handovers.is_proven(record.unit, holder)
    ]
