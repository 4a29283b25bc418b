"""Send the changes of a range map to other nodes."""

import asyncio
from collections.abc import Callable

from nutmeglead._generated.peers.ttypes import MapDelta
from nutmeglead.core.ids import NodeId
from nutmeglead.ranges.model import RangeMap, to_wire

__all__ = ["MapPublisher"]

# Delay of a send, so that the grants of many ranges, which are confirmed within a few tens of ms,
# go out together.
BATCH_MS = 40


class MapPublisher:
    """Send the changes since the last state that was sent, at most once in BATCH_MS."""

    def __init__(self, node_id: NodeId, send: Callable[[MapDelta], None]) -> None:
        self._node_id = node_id
        self._send = send
        self._sent: tuple[RangeMap, int] | None = None
        self._next: tuple[RangeMap, int] | None = None
        self._timer: asyncio.TimerHandle | None = None

    def start_from(self, ranges: RangeMap | None, step: int) -> None:
        """Send later changes relative to this state, which other nodes have or fetch."""
        self._sent = None if ranges is None else (ranges, step)

    def publish(self, ranges: RangeMap, step: int) -> None:
        """Send the changes up to this state with the next batch."""
        self._next = ranges, step
        if self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(BATCH_MS / 1000, self._flush)

    def _flush(self) -> None:
        """Send the changes from the last sent state to the newest one."""
        self._timer = None
        if self._next is None:
            return
        (ranges, step), self._next = self._next, None
        earlier = RangeMap(ranges.service, ()) if self._sent is None else self._sent[0]
        from_step = 0 if self._sent is None else self._sent[1]
        changes = to_wire(ranges, ranges.changes_since(earlier))
        self._sent = ranges, step
        self._send(MapDelta(self._node_id, earlier.version, from_step, step, changes))

    def close(self) -> None:
        """Cancel the batch that has not been sent yet."""
        if self._timer is not None:
            self._timer.cancel()
