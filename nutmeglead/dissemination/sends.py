"""Describe calls that the pure machine decides on and the service makes."""

from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Any

from nutmeglead._generated.common.ttypes import Address
from nutmeglead._generated.messages.ttypes import MessageType, PageVersion
from nutmeglead.core.ids import ServiceName
from nutmeglead.dissemination.fanout import Push, PushRound

__all__ = ["Compare", "Fetch", "PushCall", "Send"]


@dataclass(frozen=True)
class PushCall:
    """Remember the push that a PAGE_DELTA call belongs to."""

    push: Push
    round: PushRound
    is_retry: bool = False


@dataclass(frozen=True)
class Compare:
    """Remember which service a DIGEST call compares, and when it was sent."""

    service_name: ServiceName
    sent_ms: int


@dataclass(frozen=True)
class Fetch:
    """Remember the pages still to be asked for after a PAGES call.

    When all are there, the copy holds what the neighbour had at `confirmed_ms`, if that is known.
    """

    service_name: ServiceName
    asked: Sequence[PageVersion]
    rest: Sequence[PageVersion] = ()
    confirmed_ms: float | None = None


@dataclass(frozen=True)
class Send:
    """Hold one call; `context` goes back to the machine with the reply."""

    node_id: str
    address: Address
    message_type: MessageType
    message: Any
    reply_struct: type[Any]
    timeout_ms: int
    context: PushCall | Compare | Fetch | None = field(default=None, compare=False)
