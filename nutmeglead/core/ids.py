"""Types of the ids and numbers that several packages use."""

from typing import NewType

__all__ = [
    "FailureDomainName",
    "NodeId",
    "RowKey",
    "ServerId",
    "ServiceName",
    "TicketNumber",
]

NodeId = NewType("NodeId", str)
ServerId = NewType("ServerId", str)
ServiceName = NewType("ServiceName", str)
FailureDomainName = NewType("FailureDomainName", str)
RowKey = NewType("RowKey", str)
TicketNumber = NewType("TicketNumber", int)
