"""Track which servers have lost their addresses to other servers.

A server that has ended without a sign stays listed while the store does not answer, and its address
may go to a server of any service by then.
"""

import logging
from collections.abc import Collection
from dataclasses import dataclass
from enum import Enum

from nutmeglead.core.events import Event, log_event
from nutmeglead.forwarding.model import ServerIncarnation

__all__ = ["AddressHolder", "ServerAddresses"]

logger = logging.getLogger(__name__)

# The intervals at which a lost address is checked again double up to the longest one.
FIRST_CHECK_INTERVAL_MS = 5_000
MAX_CHECK_INTERVAL_MS = 60_000


class AddressHolder(Enum):
    """Which server answers at the address of a server."""

    ITSELF = "itself"
    ANOTHER = "another"
    UNKNOWN = "unknown"


@dataclass
class _LostAddress:
    """Hold when an address is to be checked again, and the interval before that check."""

    check_due_ms: int
    interval_ms: int


class ServerAddresses:
    """Hold the server incarnations at whose addresses another server has answered."""

    def __init__(self) -> None:
        self._lost: dict[ServerIncarnation, _LostAddress] = {}

    def __len__(self) -> int:
        return len(self._lost)

    def is_lost(self, incarnation: ServerIncarnation) -> bool:
        """Return whether another server has answered at the address of an incarnation."""
        return incarnation in self._lost

    def record(self, incarnation: ServerIncarnation, holder: AddressHolder, now_ms: int) -> bool:
        """Record which server has answered at an address; return whether `is_lost` has changed."""
        if holder is AddressHolder.ITSELF:
            return self._lost.pop(incarnation, None) is not None
        if holder is AddressHolder.UNKNOWN or incarnation in self._lost:
            return False
        due_ms = now_ms + FIRST_CHECK_INTERVAL_MS
        self._lost[incarnation] = _LostAddress(due_ms, FIRST_CHECK_INTERVAL_MS)
        log_event(logger, Event.ADDRESS_REUSED, server=incarnation.server_id)
        return True

    def take_due(self, now_ms: int) -> list[ServerIncarnation]:
        """Return the incarnations whose addresses are to be checked again now."""
        due = [
            incarnation for incarnation, lost in self._lost.items() if now_ms >= lost.check_due_ms
        ]
        for incarnation in due:
            lost = self._lost[incarnation]
            lost.interval_ms = min(2 * lost.interval_ms, MAX_CHECK_INTERVAL_MS)
            lost.check_due_ms = now_ms + lost.interval_ms
        return due

    def retain(self, incarnations: Collection[ServerIncarnation]) -> None:
        """Forget all incarnations but those listed."""
        self._lost = {known: lost for known, lost in self._lost.items() if known in incarnations}
