"""Detect keys that two emulated servers hold at the same time, or take under an old fence."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from nutmeglead.core.clock import Clock
from nutmeglead.core.ids import ServiceName
from nutmeglead.emulator.key_server import Hold, KeyServer

__all__ = ["Holder", "LowFence", "OwnershipChecker", "TwoHolders"]


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


@dataclass(frozen=True)
class LowFence:
    """Record a hold whose fence is not above that under which another server had the keys."""

    at_ms: int
    server_id: str
    hold: Hold
    other_id: str
    other_fence: int


class _Taken(NamedTuple):
    """Keys that a server has taken under a fence."""

    server_id: str
    first: int
    last: int
    fence: int


@dataclass
class OwnershipChecker:
    """Compare the holds of a service's servers after each change.

    `faults` lists the overlaps, and `low_fences` the keys that were taken under too low a fence.
    """

    clock: Clock
    holders: list[Holder] = field(default_factory=list)
    faults: list[TwoHolders] = field(default_factory=list)
    low_fences: list[LowFence] = field(default_factory=list)
    _taken: dict[ServiceName, set[_Taken]] = field(default_factory=dict)

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
            self._check_fence(service, changed.server_id, hold)

    def _check_fence(self, service: ServiceName, server_id: str, hold: Hold) -> None:
        """Record each server that had keys of a hold under a fence that is not below its own."""
        known = self._taken.setdefault(service, set())
        now_ms = self.clock.now_ms()
        self.low_fences += [
            LowFence(now_ms, server_id, hold, other.server_id, other.fence)
            for other in known
            if other.server_id != server_id
            and other.fence >= hold.fence
            and other.first <= hold.last
            and hold.first <= other.last
        ]
        known.add(_Taken(server_id, hold.first, hold.last, hold.fence))


def _overlaps_hold(keys: KeyServer, hold: Hold, now_ms: int) -> bool:
    return any(
        other.first <= hold.last and hold.first <= other.last and other.until_ms > now_ms
        for other in keys.holds
    )
