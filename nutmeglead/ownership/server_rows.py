"""Build the rows that name a server's incarnation, lease epoch and renewers."""

from collections.abc import Mapping

from nutmeglead._generated.messages.ttypes import GrantReply, RenewerSet, RenewReply, ServerRow
from nutmeglead.core.ids import Incarnation, LeaseEpoch, NodeId, RoleEpoch, ServerId, ServiceName

__all__ = [
    "confirm_lease",
    "first_row",
    "holder_name",
    "is_confirmed",
    "next_lease",
    "renewer_sets",
]


def holder_name(service_name: str, server_id: str) -> str:
    """Return the name by which a gate knows the holder of a server's lease."""
    return f"{service_name}/{server_id}"


def first_row(
    service_name: ServiceName,
    server_id: ServerId,
    incarnation: Incarnation,
    renewers: Mapping[NodeId, Incarnation],
    role_epoch: RoleEpoch,
) -> ServerRow:
    """Build the row of a server that has never had a lease."""
    return ServerRow(
        service_name=service_name,
        server_id=server_id,
        incarnation=incarnation,
        current=_renewer_set(LeaseEpoch(1), renewers, role_epoch),
        former=[],
    )


def next_lease(
    row: ServerRow,
    incarnation: Incarnation,
    renewers: Mapping[NodeId, Incarnation],
    role_epoch: RoleEpoch,
    ended: bool,
) -> ServerRow:
    """Build the row for the next lease epoch.

    `ended` says that all earlier leases are proven ended or that the earlier incarnation is gone.
    Without that proof the earlier renewer sets stay listed, and the incarnation must not change.
    """
    if not ended and incarnation != row.incarnation:
        raise ValueError(
            f"{row.server_id}: incarnation {row.incarnation} is not proven gone, got {incarnation}"
        )
    return ServerRow(
        service_name=row.service_name,
        server_id=row.server_id,
        incarnation=incarnation,
        current=_renewer_set(LeaseEpoch(row.current.lease_epoch + 1), renewers, role_epoch),
        former=[] if ended else [*row.former, row.current],
        gate_node_id=row.gate_node_id,
    )


def is_confirmed(row: ServerRow, reply: RenewReply | GrantReply) -> bool:
    """Tell whether a reply shows that the server's lease rests on the current renewers alone."""
    return bool(
        reply.holder_incarnation == row.incarnation and reply.lease_epoch >= row.current.lease_epoch
    )


def confirm_lease(row: ServerRow) -> ServerRow:
    """Build the row without the former renewer sets."""
    return ServerRow(
        service_name=row.service_name,
        server_id=row.server_id,
        incarnation=row.incarnation,
        current=row.current,
        former=[],
        gate_node_id=row.gate_node_id,
    )


def renewer_sets(row: ServerRow) -> list[RenewerSet]:
    """List every renewer set that the server's lease may rest on."""
    return [row.current, *row.former]


def _renewer_set(
    lease_epoch: LeaseEpoch, renewers: Mapping[NodeId, Incarnation], role_epoch: RoleEpoch
) -> RenewerSet:
    return RenewerSet(
        lease_epoch=lease_epoch,
        node_ids=list(renewers),
        incarnations=list(renewers.values()),
        role_epoch=role_epoch,
    )
