"""Check that no two emulated servers hold the same keys at the same time."""

from __future__ import annotations

from dataclasses import dataclass, field

from nutmeglead.core.clock import Clock
from nutmeglead.core.ids import ServiceName
from nutmeglead.emulator.key_server import Hold, KeyServer

__all__ = ["Holder", "OwnershipChecker", "TwoHolders"]


@dataclass
class Holder:
    """Hold what the checker knows of one incarnation of a server."""

    service: ServiceName
    keys: KeyServer
    is_up: bool = True


@dataclass(frozen=True)
class TwoHolders:
    """Name a moment at which two servers held the same keys."""

    at_ms: int
    server_id: str
    hold: Hold
    other_id: str


@dataclass
class OwnershipChecker:
    """Compare the holds of all servers after each change."""

    clock: Clock
    holders: list[Holder] = field(default_factory=list)
    faults: list[TwoHolders] = field(default_factory=list)

    def on_change(self, service: ServiceName, changed: KeyServer) -> None:
        """Look for other servers of the service that hold what a server holds now."""
        now_ms = self.clock.now_ms()
        others = [
            holder.keys for holder in self.holders if holder.is_up and holder.service == service
        ]
        for hold in changed.holds:
            if hold.until_ms <= now_ms:
                continue
            for other in others:
                if other is not changed and _holds_any(other, hold, now_ms):
                    self.faults.append(TwoHolders(now_ms, changed.server_id, hold, other.server_id))


def _holds_any(keys: KeyServer, hold: Hold, now_ms: int) -> bool:
    return any(
        other.first <= hold.last and hold.first <= other.last and other.until_ms > now_ms
        for other in keys.holds
    )
