"""Hold the requests that wait on this node, and count those sent to leaving servers."""

from __future__ import annotations

import asyncio
from bisect import bisect_left, insort
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from nutmeglead.core.clock import Clock
from nutmeglead.forwarding.model import ServerIncarnation
from nutmeglead.forwarding.request import CallerRequest
from nutmeglead.forwarding.upstream import Upstream

__all__ = ["LeavingRequests", "WaitingRequests"]

TriedServers = frozenset[ServerIncarnation]


@dataclass(order=True)
class _Waiter:
    """Hold a waiting request; `sort_key` is its rank, deadline and arrival number.

    `assigned` is resolved with the server at which the request is then counted as in flight.
    """

    sort_key: tuple[int, int, int]
    request: CallerRequest = field(compare=False)
    tried_servers: TriedServers = field(compare=False)
    assigned: asyncio.Future[Upstream] = field(compare=False)
    limit: asyncio.Timeout = field(compare=False)


class WaitingRequests:
    """Queue the requests of one service until servers are assigned to them or their time is over.

    `release` takes back the server of a request that ended when it was assigned.
    """

    def __init__(self, clock: Clock, release: Callable[[Upstream], None]) -> None:
        self._clock = clock
        self._release = release
        self._waiters: list[_Waiter] = []
        self._sequence = 0

    def __len__(self) -> int:
        return len(self._waiters)

    def __iter__(self) -> Iterator[CallerRequest]:
        return (waiter.request for waiter in self._waiters)

    def count_before(self, request: CallerRequest, rank: int) -> int:
        """Return how many requests wait that are assigned before a new one."""
        place = (rank, request.deadline_ms, self._sequence + 1)
        return bisect_left(self._waiters, place, key=lambda waiter: waiter.sort_key)

    async def wait(
        self, request: CallerRequest, tried_servers: TriedServers, until_ms: int, rank: int
    ) -> Upstream:
        """Return the server that a request is assigned; raise TimeoutError at `until_ms`.

        Requests of a lower rank are assigned first, and among them those with the next deadline.
        """
        self._sequence += 1
        sort_key = (rank, request.deadline_ms, self._sequence)
        assigned: asyncio.Future[Upstream] = asyncio.get_running_loop().create_future()
        limit = asyncio.timeout(self._remaining_s(until_ms))
        waiter = _Waiter(sort_key, request, tried_servers, assigned, limit)
        is_taken = False
        try:
            async with limit:
                insort(self._waiters, waiter)
                upstream = await assigned
                is_taken = True
                return upstream
        finally:
            if waiter in self._waiters:
                self._waiters.remove(waiter)
            elif not is_taken and assigned.done() and not assigned.cancelled():
                self._release(assigned.result())

    def _remaining_s(self, until_ms: int) -> float:
        return max(0, until_ms - self._clock.now_ms()) / 1000

    def assign(self, try_assign: Callable[[CallerRequest, TriedServers], Upstream | None]) -> None:
        """Assign servers to the requests for which `try_assign` returns one."""
        for waiter in list(self._waiters):
            if waiter.assigned.done():
                continue
            upstream = try_assign(waiter.request, waiter.tried_servers)
            if upstream is not None:
                self._waiters.remove(waiter)
                waiter.assigned.set_result(upstream)

    def limit(self, wait_until_ms: Callable[[CallerRequest, TriedServers, int], int]) -> None:
        """Let no request wait longer than until the time that `wait_until_ms` returns.

        Its last argument is the number of requests that wait before the one asked for.
        """
        now_s = asyncio.get_running_loop().time()
        for ahead, waiter in enumerate(self._waiters):
            until_ms = wait_until_ms(waiter.request, waiter.tried_servers, ahead)
            when_s, current_s = now_s + self._remaining_s(until_ms), waiter.limit.when()
            if not waiter.limit.expired() and (current_s is None or when_s < current_s):
                waiter.limit.reschedule(when_s)


@dataclass
class LeavingRequests:
    """Count the requests sent to servers that were leaving, with the highest age of a leaving."""

    count: int = 0
    max_age_ms: int = 0

    def add(self, age_ms: int) -> None:
        """Count a request that was sent to a server which had been leaving for `age_ms`."""
        self.count += 1
        self.max_age_ms = max(self.max_age_ms, age_ms)
