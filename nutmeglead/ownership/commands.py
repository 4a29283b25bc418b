"""Build the messages of an acting controller from its unit map and server rows."""

from dataclasses import dataclass

from nutmeglead._generated.common.ttypes import Address, Sender
from nutmeglead._generated.messages.ttypes import (
    AssignRenewer,
    Grant,
    ReleaseUnits,
    ServerRow,
    SetGrants,
    StopRenewing,
)
from nutmeglead.core.ids import RoleEpoch, ServerId, ServiceName
from nutmeglead.ownership.handover import HandoverTable, SendRelease, SendStop
from nutmeglead.ownership.server_rows import holder_name
from nutmeglead.ownership.units import UnitMap

__all__ = ["CommandFactory"]


@dataclass
class CommandFactory:
    """Number and fill the messages of one role epoch; the map and the table must be current.

    One factory serves one role epoch: a second one would repeat sequences.
    """

    sender: Sender
    service_name: ServiceName
    role_epoch: RoleEpoch
    sequence: int = 0

    def grants(self, row: ServerRow, unit_map: UnitMap, handovers: HandoverTable) -> SetGrants:
        """Build the whole grant set of a server."""
        granted = unit_map.grant_set(ServerId(row.server_id), handovers.is_proven)
        return SetGrants(
            sender=self.sender,
            role_epoch=self.role_epoch,
            sequence=self._next_sequence(),
            holder_incarnation=row.incarnation,
            lease_epoch=row.current.lease_epoch,
            renewer_node_ids=list(row.current.node_ids),
            hash_buckets=unit_map.hash_buckets,
            grants=[Grant(unit.to_id(), epoch) for unit, epoch in granted.grants],
            carve_outs=[unit.to_id() for unit in granted.carve_outs],
            holder_name=holder_name(self.service_name, row.server_id),
        )

    def release(self, decision: SendRelease, unit_map: UnitMap) -> ReleaseUnits:
        """Build a release order that names the pins which the server keeps."""
        kept = unit_map.pins_of(decision.server_id)
        return ReleaseUnits(
            sender=self.sender,
            role_epoch=self.role_epoch,
            sequence=self._next_sequence(),
            holder_incarnation=decision.incarnation,
            units=[Grant(unit.to_id(), epoch) for unit, epoch in decision.units],
            kept=[Grant(record.unit.to_id(), record.epoch) for record in kept],
            holder_name=holder_name(self.service_name, decision.server_id),
        )

    def stop(self, decision: SendStop) -> StopRenewing:
        """Build a stop order for one renewer."""
        return StopRenewing(
            sender=self.sender,
            service_name=self.service_name,
            role_epoch=self.role_epoch,
            server_id=decision.server_id,
            lease_epoch=decision.lease_epoch,
        )

    def assign(self, row: ServerRow, address: Address) -> AssignRenewer:
        """Build the assignment that goes to each renewer of a server's current set."""
        return AssignRenewer(
            sender=self.sender,
            service_name=self.service_name,
            role_epoch=self.role_epoch,
            server_id=row.server_id,
            address=address,
            holder_incarnation=row.incarnation,
            renewers=row.current,
        )

    def _next_sequence(self) -> int:
        self.sequence += 1
        return self.sequence
