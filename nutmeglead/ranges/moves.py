"""Define the move of a key range to another server, and the reasons for moves."""

from enum import Enum
from typing import NamedTuple

from nutmeglead.forwarding.model import ServerIncarnation

__all__ = ["Move", "MoveReason"]


class MoveReason(Enum):
    """Tell why a range gets another owner, or the same owner with a higher fence."""

    FIRST_PLACEMENT = "first placement"
    CLAIM = "claimed by the operator"
    SERVER_LEAVING = "the server leaves"
    SERVER_LOST = "the server is lost"
    BALANCE = "balance of load"
    STALE_FENCE = "a higher fence may have been seen"
    EVACUATION = "the failure domain is evacuated"


class Move(NamedTuple):
    """Give the keys from `first` to `last`, both included, to a server."""

    first: int
    last: int
    owner: ServerIncarnation
    reason: MoveReason = MoveReason.BALANCE
