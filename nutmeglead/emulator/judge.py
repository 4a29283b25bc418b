"""Detect keys that two emulated servers hold at the same time."""

from __future__ import annotations

from dataclasses import dataclass, field

from nutmeglead.core.clock import Clock
from nutmeglead.core.ids import ServiceName
from nutmeglead.emulator.key_server import Hold, KeyServer

__all__ = ["Holder", "OwnershipChecker", "TwoHolders"]


@dataclass
class Holder:
    """Hold the service, the keys and the process state of one server incarnation."""

    service: ServiceName
    keys: KeyServer
    is_up: bool = True


@dataclass(frozen=True)
class TwoHolders:
    """Record a time at which a server's hold overlapped a hold of another server."""

    at_ms: int
    server_id: str
    hold: Hold
    other_id: str


@dataclass
class OwnershipChecker:
    """Compare the holds of a service's servers after each change; `faults` lists the overlaps."""

    clock: Clock
    holders: list[Holder] = field(default_factory=list)
    faults: list[TwoHolders] = field(default_factory=list)

    def on_change(self, service: ServiceName, changed: KeyServer) -> None:
        """Record each other running server of the service that holds keys of `changed`."""
        now_ms = self.clock.now_ms()
        others = [
            holder.keys for holder in self.holders if holder.is_up and holder.service == service
        ]
        for hold in changed.holds:
            if hold.until_ms <= now_ms:
                continue
            for other in others:
                if other is not changed and _overlaps_hold(other, hold, now_ms):
                    self.faults.append(TwoHolders(now_ms, changed.server_id, hold, other.server_id))


def _overlaps_hold(keys: KeyServer, hold: Hold, now_ms: int) -> bool:
    return any(
        other.first <= hold.last and hold.first <= other.last and other.until_ms > now_ms
        for other in keys.holds
    )
