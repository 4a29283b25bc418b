"""Race a second attempt against a slow first one."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from result import Ok, Result

from nutmeglead.http.messages import ResponseHead
from nutmeglead.routing.attempt import Attempt
from nutmeglead.routing.errors import RequestError
from nutmeglead.routing.timers import Timers, sleep_until

__all__ = ["open_hedged"]

Opened = Result[ResponseHead, RequestError]
Open = Callable[[Attempt], Awaitable[Opened]]


async def open_hedged(
    first: Attempt,
    make_second: Callable[[], Attempt | None],
    open_attempt: Open,
    timers: Timers,
    hedge_at_ms: int,
) -> tuple[Attempt, Opened]:
    """Return the attempt that answers first; the other one is cancelled and closed.

    The caller must close the attempt returned. `make_second` returns None if no hedge is allowed.
    """
    race = _Race(open_attempt)
    race.enter(first)
    try:
        await race.wait_until(timers, hedge_at_ms)
        if not race.is_decided() and first.is_written:
            second = make_second()
            if second is not None:
                race.enter(second)
        return await race.winner()
    finally:
        await race.end()


class _Race:
    def __init__(self, open_attempt: Open) -> None:
        self._open = open_attempt
        self._running: dict[asyncio.Future[Opened], Attempt] = {}
        self._winner: Attempt | None = None

    def enter(self, attempt: Attempt) -> None:
        self._running[asyncio.ensure_future(self._open(attempt))] = attempt

    def is_decided(self) -> bool:
        return any(task.done() for task in self._running)

    async def wait_until(self, timers: Timers, when_ms: int) -> None:
        alarm = asyncio.ensure_future(sleep_until(timers, when_ms))
        tasks: set[asyncio.Future[Any]] = {alarm, *self._running}
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            alarm.cancel()
            await asyncio.gather(alarm, return_exceptions=True)

    async def winner(self) -> tuple[Attempt, Opened]:
        """Return the first success, or the last failure."""
        pending = set(self._running)
        while True:
            done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
            for task in done:
                if isinstance(task.result(), Ok) or not pending:
                    self._winner = self._running[task]
                    return self._winner, task.result()

    async def end(self) -> None:
        for task in self._running:
            task.cancel()
        await asyncio.gather(*self._running, return_exceptions=True)
        for task, attempt in self._running.items():
            if attempt is not self._winner:
                has_result = not task.cancelled() and not task.exception()
                attempt.close(cancelled=not has_result or isinstance(task.result(), Ok))
