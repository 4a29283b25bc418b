"""Let costly steps of many connections run one by one, so that the event loop runs between them."""

import asyncio
import heapq
import itertools

__all__ = ["TurnTaker", "Turns"]

# Passes of the event loop between two turns. An ordinary request needs several passes from its
# arrival to its answer, and each may have to wait for one costly step.
PASSES_PER_TURN = 3
# A connection waits behind the next so many arrivals for each turn that it has had, so that one
# with few costly requests goes before a crowd. As the number is finite, none waits forever.
ARRIVALS_PER_TURN = 8


class TurnTaker:
    """Count the turns of one connection."""

    def __init__(self) -> None:
        self.turn_count = 0


class Turns:
    """Queue of connections, of which one at a time has a turn."""

    def __init__(self) -> None:
        self._waiting: list[tuple[int, int, asyncio.Future[None]]] = []
        self._numbers = itertools.count()
        self._is_taken = False

    async def take(self, taker: TurnTaker) -> None:
        """Return when it is the connection's turn, which lasts for a few passes of the loop."""
        if self._is_taken:
            await self._wait(taker)
        self._is_taken = True
        taker.turn_count += 1
        asyncio.get_running_loop().call_soon(self._end_pass, PASSES_PER_TURN)

    async def _wait(self, taker: TurnTaker) -> None:
        number = next(self._numbers)
        future = asyncio.get_running_loop().create_future()
        rank = number + ARRIVALS_PER_TURN * taker.turn_count
        heapq.heappush(self._waiting, (rank, number, future))
        try:
            await future
        except asyncio.CancelledError:
            # A turn that was given to a task which is cancelled goes to the next one.
            if future.done() and not future.cancelled():
                self._give_next()
            raise

    def _end_pass(self, passes_left: int) -> None:
        if passes_left > 1:
            asyncio.get_running_loop().call_soon(self._end_pass, passes_left - 1)
        else:
            self._give_next()

    def _give_next(self) -> None:
        while self._waiting:
            _, _, future = heapq.heappop(self._waiting)
            if not future.done():
                future.set_result(None)
                return
        self._is_taken = False
