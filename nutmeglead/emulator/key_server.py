"""Emulate the part of a server that holds key ranges under fences until they expire."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, replace

from nutmeglead.core.clock import Clock
from nutmeglead.platform.grants import KeyOrder
from nutmeglead.platform.wire import GRANT_TARGET, HANDOVER_HEADER

__all__ = ["Hold", "KeyServer"]

# Time in which a busy server finishes its running work on released keys.
DRAIN_MS = 60


@dataclass(frozen=True)
class Hold:
    """Hold the keys `first` to `last`, both included, under `fence` until `until_ms`."""

    first: int
    last: int
    fence: int
    until_ms: float


class KeyServer:
    """Apply grants and releases to the holds of one server incarnation.

    `on_change` is called after each change of the holds, for an ownership checker.
    """

    def __init__(
        self, server_id: str, clock: Clock, on_change: Callable[[KeyServer], None]
    ) -> None:
        self.server_id = server_id
        self.holds: list[Hold] = []
        # Whether a release of held keys has to wait for running work.
        self.is_busy = False
        # Multiplies the duration of a hold; above 1 for a clock that runs slow.
        self.clock_factor = 1.0
        # First key, last key and fence of each accepted grant and of each release.
        self._fences: list[tuple[int, int, int]] = []
        self._clock = clock
        self._on_change = on_change

    def holds_key(self, key: int) -> bool:
        """Return whether an unexpired hold covers the key."""
        now_ms = self._clock.now_ms()
        return any(hold.first <= key <= hold.last and now_ms < hold.until_ms for hold in self.holds)

    async def answer_order(
        self, target: bytes, expected_id: str | None, order: KeyOrder
    ) -> tuple[int, list[tuple[bytes, bytes]]]:
        """Apply a grant or release, and return the status and headers of the response.

        An order for another server id is refused with 421.
        """
        if expected_id is not None and expected_id != self.server_id:
            return 421, []
        if target == GRANT_TARGET:
            return self.grant(order.first, order.last, order.fence, order.hold_ms or 0), []
        await self.release(order.first, order.last, order.fence)
        return 200, [(HANDOVER_HEADER, f"{self.server_id}-{order.fence}".encode())]

    def grant(self, first: int, last: int, fence: int, hold_ms: float) -> int:
        """Hold keys or renew a hold; return 200, or 409 if a higher fence is known for any key."""
        if any(
            known_first <= last and first <= known_last and known_fence > fence
            for known_first, known_last, known_fence in self._fences
        ):
            return 409
        self._fences.append((first, last, fence))
        until_ms = self._clock.now_ms() + hold_ms * self.clock_factor
        # A repeated grant that is applied late does not shorten a hold that was renewed since.
        renewed_until_ms = (
            hold.until_ms
            for hold in self.holds
            if (hold.first, hold.last, hold.fence) == (first, last, fence)
        )
        until_ms = max(until_ms, *renewed_until_ms, until_ms)
        self._remove_keys(first, last)
        self.holds.append(Hold(first, last, fence, until_ms))
        self._on_change(self)
        return 200

    async def release(self, first: int, last: int, fence: int) -> None:
        """Drop the holds of keys; a busy server then waits `DRAIN_MS` for its work on them."""
        self._fences.append((first, last, fence))
        was_held = any(hold.first <= last and first <= hold.last for hold in self.holds)
        self._remove_keys(first, last)
        self._on_change(self)
        if was_held and self.is_busy:
            await asyncio.sleep(DRAIN_MS / 1000)

    def _remove_keys(self, first: int, last: int) -> None:
        remaining: list[Hold] = []
        for hold in self.holds:
            if hold.last < first or last < hold.first:
                remaining.append(hold)
                continue
            if hold.first < first:
                remaining.append(replace(hold, last=first - 1))
            if last < hold.last:
                remaining.append(replace(hold, first=last + 1))
        self.holds = remaining
