"""Carry out moves: end the earlier holds of a range, then grant it to its owner."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from result import Err, Ok, Result

from nutmeglead.core.events import Event, log_event
from nutmeglead.forwarding.model import ServerIncarnation
from nutmeglead.platform.grants import GrantError, GrantRefused
from nutmeglead.ranges.context import ControllerContext
from nutmeglead.ranges.model import KeyRange, RangeMap
from nutmeglead.ranges.orders import NoRight, OrderSender
from nutmeglead.ranges.rights import RenewalRights

__all__ = ["Transfers"]

logger = logging.getLogger(__name__)

# Pause before an order is repeated; a refused connection answers at once.
RETRY_PAUSE_MS = 60
HOLD_CHECK_MS = 30
# Most work on a range ends sooner; a release that got lost must not cost its whole timeout.
RELEASE_REPEAT_MS = 300


class Transfers:
    """Run one task for each pending range of the current map."""

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
        self._tasks: dict[KeyRange, asyncio.Task[None]] = {}
        # Handovers by range, from releases whose range was given to another owner meanwhile.
        self._handovers: dict[tuple[int, int], str] = {}

    def start(self, ranges: RangeMap) -> None:
        """Run the transfers of a map, and end those of ranges that it no longer has."""
        pending = {entry for entry in ranges if entry.is_pending and entry.owner is not None}
        for entry in set(self._tasks) - pending:
            self._tasks.pop(entry).cancel()
        for entry in pending - set(self._tasks):
            task = asyncio.get_running_loop().create_task(self._transfer(entry, ranges.version))
            self._tasks[entry] = task

    def stop(self) -> None:
        """Cancel all transfers."""
        for task in self._tasks.values():
            task.cancel()
        self._tasks.clear()

    async def _transfer(self, entry: KeyRange, map_version: int) -> None:
        started_ms = self._clock.now_ms()
        handover: str | None = None
        for holder in entry.previous:
            handover = await self._end_hold(holder, entry, map_version) or handover
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
        self, holder: ServerIncarnation, entry: KeyRange, map_version: int
    ) -> str | None:
        """Return the holder's handover, or None when its hold has surely ended without it."""
        assert entry.owner is not None
        if holder.server_id == entry.owner.server_id:
            # An earlier incarnation has ended; the new one holds what a repeat has granted to it.
            return None
        release = asyncio.get_running_loop().create_task(self._release(holder, entry))
        try:
            while not release.done() and not self._has_ended(holder, map_version):
                await asyncio.wait([release], timeout=HOLD_CHECK_MS / 1000)
            return release.result() if release.done() else None
        finally:
            release.cancel()

    def _has_ended(self, holder: ServerIncarnation, map_version: int) -> bool:
        now_ms, ranges = self._clock.now_ms(), self._current_map()
        if ranges is None:
            return False
        hold_ms = self._order_sender.hold_ms
        end_ms = self._rights.hold_end_ms(holder, ranges, map_version, hold_ms, now_ms)
        return end_ms is not None and now_ms >= end_ms

    async def _release(self, holder: ServerIncarnation, entry: KeyRange) -> str | None:
        """Repeat the release until one is answered; return the handover.

        An earlier one may still be answered when the work on its keys has ended.
        """
        loop = asyncio.get_running_loop()
        sent: set[asyncio.Task[Result[str | None, GrantError]]] = set()
        try:
            while True:
                sent.add(loop.create_task(self._order_sender.release(holder, entry)))
                answered, sent = await asyncio.wait(
                    sent, timeout=RELEASE_REPEAT_MS / 1000, return_when=asyncio.FIRST_COMPLETED
                )
                for release in answered:
                    result = release.result()
                    if isinstance(result, Ok):
                        return result.ok_value
                    logger.debug("release of %d..%d: %s", entry.first, entry.last, result.err_value)
                if answered:
                    await asyncio.sleep(RETRY_PAUSE_MS / 1000)
        finally:
            for release in sent:
                release.cancel()

    async def _grant(self, entry: KeyRange, handover: str | None) -> bool:
        """Repeat the grant until it is answered; return False if it needs a higher fence."""
        assert entry.owner is not None
        while True:
            granted = await self._order_sender.grant(entry.owner, entry, handover)
            if not isinstance(granted, Err):
                return True
            error = granted.err_value
            if isinstance(error, GrantRefused) and error.is_stale:
                self._order_sender.stale.add(entry)
                return False
            if not isinstance(error, NoRight):
                logger.debug("grant of %d..%d: %s", entry.first, entry.last, error)
            await asyncio.sleep(RETRY_PAUSE_MS / 1000)
