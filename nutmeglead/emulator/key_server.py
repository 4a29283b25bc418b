"""Emulate a server that holds key ranges under fences and for a time."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, replace

from nutmeglead.core.clock import Clock
from nutmeglead.platform.grants import KeyOrder
from nutmeglead.platform.wire import GRANT_TARGET, HANDOVER_HEADER

__all__ = ["Hold", "KeyServer"]

# Work on released keys ends within this time.
WORK_MS = 60


@dataclass(frozen=True)
class Hold:
    """Hold the keys from `first` to `last` under a fence until a time of the server's clock."""

    first: int
    last: int
    fence: int
    until_ms: float


class KeyServer:
    """Answer grants, releases and requests of one incarnation of a server.

    `on_change` is called after each change of the holds, for a checker of sole ownership.
    """

    def __init__(
        self, server_id: str, clock: Clock, on_change: Callable[[KeyServer], None]
    ) -> None:
        self.server_id = server_id
        self.holds: list[Hold] = []
        self.is_busy = False
        # A clock that runs slow holds longer.
        self.clock_factor = 1.0
        self._fences: list[tuple[int, int, int]] = []
        self._clock = clock
        self._on_change = on_change

    def holds_key(self, key: int) -> bool:
        """Tell whether the server runs requests for a key now."""
        now_ms = self._clock.now_ms()
        return any(hold.first <= key <= hold.last and now_ms < hold.until_ms for hold in self.holds)

    async def answer(
        self, target: bytes, expected_id: str | None, order: KeyOrder
    ) -> tuple[int, list[tuple[bytes, bytes]]]:
        """Answer an order; return the status and the headers."""
        if expected_id is not None and expected_id != self.server_id:
            return 421, []
        if target == GRANT_TARGET:
            return self.grant(order.first, order.last, order.fence, order.hold_ms or 0), []
        await self.release(order.first, order.last, order.fence)
        return 200, [(HANDOVER_HEADER, f"{self.server_id}-{order.fence}".encode())]

    def grant(self, first: int, last: int, fence: int, hold_ms: float) -> int:
        """Take keys, or renew them; return the status."""
        if any(a <= last and first <= b and seen > fence for a, b, seen in self._fences):
            return 409
        self._fences.append((first, last, fence))
        until_ms = self._clock.now_ms() + hold_ms * self.clock_factor
        # A repeat that was carried out late does not shorten what later ones have renewed.
        repeated = (
            h.until_ms for h in self.holds if (h.first, h.last, h.fence) == (first, last, fence)
        )
        until_ms = max(until_ms, *repeated, until_ms)
        self._cut(first, last)
        self.holds.append(Hold(first, last, fence, until_ms))
        self._on_change(self)
        return 200

    async def release(self, first: int, last: int, fence: int) -> None:
        """Stop new work on keys, and wait for the work that runs."""
        self._fences.append((first, last, fence))
        held = any(hold.first <= last and first <= hold.last for hold in self.holds)
        self._cut(first, last)
        self._on_change(self)
        if held and self.is_busy:
            await asyncio.sleep(WORK_MS / 1000)

    def _cut(self, first: int, last: int) -> None:
        kept: list[Hold] = []
        for hold in self.holds:
            if hold.last < first or last < hold.first:
                kept.append(hold)
                continue
            if hold.first < first:
                kept.append(replace(hold, last=first - 1))
            if last < hold.last:
                kept.append(replace(hold, first=last + 1))
        self.holds = kept
