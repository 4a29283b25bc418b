"""Carry out moves: end the holds of a range's earlier holders, then grant it to its new owner."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from result import Err, Ok, Result

from nutmeglead.core.events import Event, log_event
from nutmeglead.core.tasks import start_essential_task
from nutmeglead.forwarding.model import ServerIncarnation
from nutmeglead.platform.grants import GrantError, GrantRefused, OrderNotPermitted
from nutmeglead.ranges.context import ControllerContext
from nutmeglead.ranges.fencing import HolderFencing
from nutmeglead.ranges.model import KeyRange, RangeMap
from nutmeglead.ranges.orders import RENEW_INTERVAL_MS, OrderSender
from nutmeglead.ranges.rights import RenewalRights

__all__ = ["Transfers"]

logger = logging.getLogger(__name__)

# Delay before an order is repeated, since a refused connection fails at once.
RETRY_DELAY_MS = 60
# Interval of checks for the end of a lost holder's hold.
HOLD_CHECK_INTERVAL_MS = 30
# Most work on a range ends sooner. A lost release must not delay the transfer by its whole timeout.
RELEASE_REPEAT_INTERVAL_MS = 300


class Transfers:
    """Run one transfer task for each pending range of the current map.

    `confirm` is called with a range when its owner has accepted the grant.
    """

    def __init__(
        self,
        order_sender: OrderSender,
        rights: RenewalRights,
        context: ControllerContext,
        confirm: Callable[[KeyRange], None],
        current_map: Callable[[], RangeMap | None],
    ) -> None:
        self._order_sender = order_sender
        self._rights = rights
        self._context = context
        self._clock = context.clock
        self._confirm = confirm
        self._current_map = current_map
        self._fencing = HolderFencing(order_sender, context.clock, current_map)
        self._tasks: dict[KeyRange, asyncio.Task[None]] = {}
        # Handovers by first and last key, from releases of ranges that have since got another
        # owner.
        self._handovers: dict[tuple[int, int], str] = {}

    def start(self, ranges: RangeMap) -> None:
        """Start a transfer for each pending range, and cancel those of ranges not in the map."""
        pending = {entry for entry in ranges if entry.is_pending and entry.owner is not None}
        for entry in set(self._tasks) - pending:
            self._tasks.pop(entry).cancel()
        for entry in pending - set(self._tasks):
            self._tasks[entry] = start_essential_task(self._transfer(entry, ranges))

    def stop(self) -> None:
        """Cancel all transfers and the releases that go on after them."""
        for task in self._tasks.values():
            task.cancel()
        self._tasks.clear()
        self._fencing.stop()

    async def _transfer(self, entry: KeyRange, started: RangeMap) -> None:
        """End the holds of a range's earlier holders one by one, and grant it to its owner.

        `started` is the map that begins the transfer.
        """
        started_ms = self._clock.now_ms()
        handover: str | None = None
        for holder in entry.previous:
            handover = await self._end_hold(holder, entry, started) or handover
        released_ms = self._clock.now_ms()
        granted = await self._grant(entry, handover)
        if granted:
            self._tasks.pop(entry, None)
            self._confirm(entry)
            assert entry.owner is not None
            log_event(
                logger,
                Event.RANGE_GRANTED,
                server=entry.owner.server_id,
                first=entry.first,
                last=entry.last,
                fence=entry.fence,
                handover=handover is not None,
                waited_ms=released_ms - started_ms,
                grant_ms=self._clock.now_ms() - released_ms,
            )

    async def _end_hold(
        self, holder: ServerIncarnation, entry: KeyRange, started: RangeMap
    ) -> str | None:
        """Release a range until the holder answers or its hold has surely ended.

        Return the handover in the answer, if there is one.
        """
        assert entry.owner is not None
        if holder.server_id == entry.owner.server_id:
            # The holder is an earlier incarnation of the new owner and has ended. If a repeated
            # grant reached the new incarnation, that one is to hold the range anyway.
            return None
        release = asyncio.get_running_loop().create_task(self._release(holder, entry))
        try:
            while not release.done() and not self._has_hold_ended(holder, started):
                await asyncio.wait([release], timeout=HOLD_CHECK_INTERVAL_MS / 1000)
            if release.done():
                return release.result()
            self._fencing.add(holder, entry)
            return None
        finally:
            release.cancel()

    def _has_hold_ended(self, holder: ServerIncarnation, started: RangeMap) -> bool:
        """Return whether a holder's hold under maps older than `started` has surely ended."""
        now_ms, current = self._clock.now_ms(), self._current_map()
        if current is None:
            return False
        end_ms = self._rights.hold_end_ms(holder, started, current, current.hold_ms, now_ms)
        return end_ms is not None and now_ms >= end_ms

    async def _release(self, holder: ServerIncarnation, entry: KeyRange) -> str | None:
        """Repeat the release until one is answered; return the handover.

        Earlier ones stay open, since the holder answers them when the work on the keys has ended.
        """
        loop = asyncio.get_running_loop()
        sent: set[asyncio.Task[Result[str | None, GrantError]]] = set()
        try:
            while True:
                sent.add(loop.create_task(self._order_sender.release(holder, entry)))
                answered, sent = await asyncio.wait(
                    sent,
                    timeout=RELEASE_REPEAT_INTERVAL_MS / 1000,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                for release in answered:
                    result = release.result()
                    if isinstance(result, Ok):
                        return result.ok_value
                    logger.debug(
                        "release of keys %d..%d failed: %s",
                        entry.first,
                        entry.last,
                        result.err_value,
                    )
                if answered:
                    await asyncio.sleep(RETRY_DELAY_MS / 1000)
        finally:
            for release in sent:
                release.cancel()

    async def _grant(self, entry: KeyRange, handover: str | None) -> bool:
        """Repeat the grant until the owner accepts it; return False if it needs a higher fence."""
        assert entry.owner is not None
        delay_ms = RETRY_DELAY_MS
        while True:
            granted = await self._order_sender.grant(entry.owner, entry, handover)
            if not isinstance(granted, Err):
                return True
            error = granted.err_value
            if isinstance(error, GrantRefused) and error.is_stale:
                self._order_sender.stale_ranges.add(entry)
                return False
            if not isinstance(error, OrderNotPermitted):
                logger.debug("grant of keys %d..%d failed: %s", entry.first, entry.last, error)
            await asyncio.sleep(delay_ms / 1000)
            if isinstance(error, GrantRefused):
                delay_ms = min(2 * delay_ms, RENEW_INTERVAL_MS)
