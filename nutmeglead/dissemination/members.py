"""Describe entry VMs: this one and what is believed of the others."""

import math
from dataclasses import dataclass
from enum import Enum

from nutmeglead._generated.common.ttypes import Address, Sender
from nutmeglead.core.ids import FailureDomainName, Incarnation, NodeId

__all__ = ["NEVER_MS", "Identity", "Member", "MemberEvent", "MemberState"]

NEVER_MS = -math.inf


class MemberState(Enum):
    """Tell what this node believes of a member."""

    ALIVE = "alive"
    SILENT = "silent"
    GONE = "gone"


@dataclass(frozen=True)
class Identity:
    """Describe this process to the others."""

    node_id: NodeId
    incarnation: Incarnation
    failure_domain: FailureDomainName
    rpc_address: Address
    relay_address: Address | None = None

    @property
    def sender(self) -> Sender:
        """Return the sender field of messages."""
        return Sender(self.node_id, self.incarnation)


@dataclass(slots=True)
class Member:
    """Hold what is known of one other entry VM; an empty incarnation was never heard of."""

    node_id: NodeId
    failure_domain: FailureDomainName
    address: Address
    incarnation: str = ""
    superseded: tuple[str, ...] = ()
    sequence: int = 0
    state: MemberState = MemberState.ALIVE
    heard_ms: float = NEVER_MS
    watched_since_ms: float = NEVER_MS
    changed_ms: float = NEVER_MS
    is_listed: bool = False
    relay_address: Address | None = None


@dataclass(frozen=True)
class MemberEvent:
    """Report a change of state or of incarnation of a member."""

    node_id: NodeId
    before: MemberState | None
    after: MemberState
    incarnation: str
