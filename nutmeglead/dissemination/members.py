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
    gate_address: Address | None = None

    @property
    def sender(self) -> Sender:
        """Return the sender field of messages."""
        return Sender(self.node_id, self.incarnation)


@dataclass(slots=True)
class Member:
    """Hold what is known of one other entry VM; an empty incarnation was never heard of.

    The three sequences are those of the last heartbeat, of the last reply and of the last accepted
    news. They are kept apart: a heartbeat may arrive after a reply or news with its sequence.
    """

    node_id: NodeId
    failure_domain: FailureDomainName
    address: Address
    incarnation: str = ""
    superseded: tuple[str, ...] = ()
    heartbeat_sequence: int = 0
    reply_sequence: int = 0
    news_sequence: int = 0
    state: MemberState = MemberState.ALIVE
    heard_ms: float = NEVER_MS
    watched_since_ms: float = NEVER_MS
    changed_ms: float = NEVER_MS
    is_listed: bool = False
    relay_address: Address | None = None
    gate_address: Address | None = None

    @property
    def sequence(self) -> int:
        """Return the highest sequence that is known of the process."""
        return max(self.heartbeat_sequence, self.reply_sequence, self.news_sequence)


@dataclass(frozen=True)
class MemberEvent:
    """Report a change of state or of incarnation of a member."""

    node_id: NodeId
    before: MemberState | None
    after: MemberState
    incarnation: str
