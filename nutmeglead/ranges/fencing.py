"""Make servers that return refuse the grants that they had, however late one arrives.

A server that did not answer the release of its keys has seen no higher fence than that of its
grants. Its hold has ended, and no grant is on its way if the kernels and the network have kept the
limits that `rights.py` relies on. Once the server has answered a release with the fence of the next
owner, this no longer matters: it refuses every earlier grant by itself.
"""

import asyncio
import logging
from collections.abc import Callable

from result import Err, Ok

from nutmeglead.core.clock import Clock
from nutmeglead.core.events import Event, log_event
from nutmeglead.forwarding.model import ServerIncarnation
from nutmeglead.platform.grants import AddressLost, GrantRefused, ServerUnreachable
from nutmeglead.ranges.model import KeyRange, RangeMap
from nutmeglead.ranges.orders import OrderSender

__all__ = ["HolderFencing"]

logger = logging.getLogger(__name__)

# Delay before the release is repeated. With the timeout of a connection, 160 ms, a server is told
# within 0.3 s of its return while no more than MAX_ATTEMPTS are lost. A grant that arrives before
# is taken: this is no replacement for the limits of `rights.py`.
RETRY_DELAY_MS = 60
# A server that has not returned by then is left alone; no connection keeps data as long.
FENCING_LIMIT_MS = 30_000
# Connections that are being opened at a time, so that the loss of many servers costs little.
MAX_ATTEMPTS = 8


class HolderFencing:
    """Repeat the releases of lost servers until they answer, in one task for each server."""

    def __init__(
        self,
        order_sender: OrderSender,
        clock: Clock,
        current_map: Callable[[], RangeMap | None],
    ) -> None:
        self._order_sender = order_sender
        self._clock = clock
        self._current_map = current_map
        self._unfenced: dict[ServerIncarnation, set[KeyRange]] = {}
        self._tasks: dict[ServerIncarnation, asyncio.Task[None]] = {}
        self._attempts = asyncio.Semaphore(MAX_ATTEMPTS)

    def add(self, holder: ServerIncarnation, keys: KeyRange) -> None:
        """Release a range with its fence at an earlier holder as soon as this one answers."""
        self._unfenced.setdefault(holder, set()).add(keys)
        if holder not in self._tasks:
            task = asyncio.get_running_loop().create_task(self._fence(holder))
            self._tasks[holder] = task
            task.add_done_callback(lambda ended: self._forget(holder, ended))

    def stop(self) -> None:
        """Cancel all releases."""
        for task in self._tasks.values():
            task.cancel()
        self._tasks.clear()
        self._unfenced.clear()

    def _forget(self, holder: ServerIncarnation, ended: asyncio.Task[None]) -> None:
        if self._tasks.get(holder) is ended:
            del self._tasks[holder], self._unfenced[holder]

    async def _fence(self, holder: ServerIncarnation) -> None:
        """Release the ranges of one holder, the others as soon as it has answered for one."""
        unfenced = self._unfenced[holder]
        end_ms = self._clock.now_ms() + FENCING_LIMIT_MS
        while unfenced and self._clock.now_ms() < end_ms:
            async with self._attempts:
                is_answering = await self._release(holder, next(iter(unfenced)), unfenced)
            if is_answering:
                remaining = list(unfenced)
                await asyncio.gather(*(self._release(holder, k, unfenced) for k in remaining))
            else:
                await asyncio.sleep(RETRY_DELAY_MS / 1000)

    async def _release(
        self, holder: ServerIncarnation, keys: KeyRange, unfenced: set[KeyRange]
    ) -> bool:
        """Release one range, and remove it from `unfenced` unless that has to be repeated."""
        current = self._current_map()
        if current is not None and current.gives_any(holder.server_id, keys):
            # The grant has a higher fence than the release, which would take the keys away again.
            unfenced.discard(keys)
            return True
        released = await self._order_sender.fence(holder, keys)
        error = released.err_value if isinstance(released, Err) else None
        is_gone = isinstance(error, ServerUnreachable) and error.is_refused
        # A server that refuses a release is another one, which has the address now.
        has_lost_address = isinstance(error, GrantRefused | AddressLost)
        if isinstance(released, Ok) or is_gone or has_lost_address:
            unfenced.discard(keys)
            log_event(
                logger,
                Event.HOLDER_FENCED,
                server=holder.server_id,
                first=keys.first,
                last=keys.last,
                fence=keys.fence,
                result="released" if error is None else str(error),
            )
            return True
        return False
