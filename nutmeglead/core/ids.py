"""Name the ids that cross module borders."""

from typing import NewType

__all__ = [
    "Epoch",
    "FailureDomainName",
    "Incarnation",
    "LeaseEpoch",
    "NodeId",
    "RoleEpoch",
    "RowKey",
    "ServerId",
    "ServiceName",
    "TicketNumber",
]

NodeId = NewType("NodeId", str)
ServerId = NewType("ServerId", str)
ServiceName = NewType("ServiceName", str)
FailureDomainName = NewType("FailureDomainName", str)
Incarnation = NewType("Incarnation", str)
RowKey = NewType("RowKey", str)
TicketNumber = NewType("TicketNumber", int)
# Ownership epoch of one unit; grows with every change of owner.
Epoch = NewType("Epoch", int)
# Epoch of a server's renewer set.
LeaseEpoch = NewType("LeaseEpoch", int)
# Epoch of the acting controller's role.
RoleEpoch = NewType("RoleEpoch", int)
