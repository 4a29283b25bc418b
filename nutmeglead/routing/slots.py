"""Let requests wait for a server's slot in the order of the admission policy."""

import asyncio
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

from result import Err, Ok, Result

from nutmeglead.core.ids import ServiceName
from nutmeglead.routing.admission import AdmissionPolicy, QueuedRequest, ServerKey
from nutmeglead.routing.errors import (
    AssignmentChanged,
    DeadlinePassed,
    DeadlineUnreachable,
    RequestError,
)
from nutmeglead.routing.servers import ServiceServers
from nutmeglead.routing.timers import Alarm, Timers

__all__ = ["SlotQueue"]

# Limits also change with time, without any request ending: slow start, ejections, loans.
TICK_MS = 50


SlotFuture = asyncio.Future[Result[None, RequestError]]


@dataclass(frozen=True)
class _Waiter:
    request: QueuedRequest
    future: SlotFuture
    is_current: Callable[[], bool]


class SlotQueue:
    """Connect the pure admission policy with the tasks that wait."""

    def __init__(
        self,
        policies: Mapping[ServiceName, AdmissionPolicy],
        services: Mapping[ServiceName, ServiceServers],
        timers: Timers,
        on_starved: Callable[[ServerKey], None] = lambda server: None,
    ) -> None:
        self._policies = policies
        self._services = services
        self._timers = timers
        # Called while requests wait for a server's slot, so that slots can be borrowed.
        self._on_starved = on_starved
        self._waiting: dict[int, _Waiter] = {}
        self._tick: Alarm | None = None

    @property
    def waiting_count(self) -> int:
        """Count the requests that wait for a slot."""
        return sum(policy.waiting_count for policy in dict.fromkeys(self._policies.values()))

    async def acquire(
        self, request: QueuedRequest, is_current: Callable[[], bool]
    ) -> Result[None, RequestError]:
        """Wait for a slot; after Ok the caller must call `release`.

        `is_current` tells whether the server still owns the key; see `recheck`.
        """
        now_ms = self._timers.clock.now_ms()
        slots = self._services[request.service_name].allowed(request.server_id, now_ms)
        offered = self._policies[request.service_name].offer(request, slots, now_ms)
        if isinstance(offered, Err):
            return Err(offered.err_value)
        future = asyncio.get_running_loop().create_future()
        self._waiting[request.request_id] = _Waiter(request, future, is_current)
        self.dispatch([request.server])
        if not future.done():
            await self._wait(request, future)
        return future.result()

    async def _wait(self, request: QueuedRequest, future: SlotFuture) -> None:
        self._start_tick()
        self._on_starved(request.server)
        alarm = self._timers.call_at(request.deadline_ms, lambda: self.dispatch([request.server]))
        try:
            await future
        except asyncio.CancelledError:
            self._waiting.pop(request.request_id, None)
            # The slot may have been given in the same step in which the task was cancelled.
            if not self._policies[request.service_name].withdraw(request.request_id):
                self._undo_start(request, future)
            raise
        finally:
            alarm.cancel()

    def _undo_start(self, request: QueuedRequest, future: SlotFuture) -> None:
        if future.done() and not future.cancelled() and isinstance(future.result(), Ok):
            self._services[request.service_name].state(request.server_id).in_flight -= 1
            self.release(request, None)

    def release(self, request: QueuedRequest, service_time_ms: int | None) -> None:
        """Give the place of a finished request to the next one."""
        frees_lane = self._policies[request.service_name].finish(request, service_time_ms)
        self.dispatch(None if frees_lane else [request.server])

    def recheck(self, service_name: ServiceName) -> None:
        """Send back the requests whose server no longer owns their key.

        Otherwise they would wait for a slot of a lost server while the new owner is idle.
        """
        for waiter in list(self._waiting.values()):
            request = waiter.request
            if request.service_name == service_name and not waiter.is_current():
                self._policies[request.service_name].withdraw(request.request_id)
                self._wake(request, Err(AssignmentChanged("while waiting for a slot")))

    def dispatch(self, servers: Iterable[ServerKey] | None) -> None:
        """Wake what may start and what has expired."""
        if not self._waiting:
            return
        now_ms = self._timers.clock.now_ms()
        # Services with the same policy share one queue; dict keys drop the duplicates.
        for policy in dict.fromkeys(self._policies.values()):
            result = policy.dispatch(self._take_slot, now_ms, servers)
            for request in result.started:
                self._wake(request, Ok(None))
            for request in result.expired:
                self._wake(request, Err(DeadlinePassed("while waiting for a slot")))
            for request in result.hopeless:
                self._wake(request, Err(DeadlineUnreachable("the server has become too slow")))

    def _take_slot(self, server: ServerKey) -> bool:
        service_name, server_id = server
        return self._services[service_name].take_slot(server_id, self._timers.clock.now_ms())

    def _wake(self, request: QueuedRequest, result: Result[None, RequestError]) -> None:
        waiter = self._waiting.pop(request.request_id, None)
        if waiter is not None and not waiter.future.done():
            waiter.future.set_result(result)
        elif isinstance(result, Ok):
            # The task was cancelled in this loop step and has not withdrawn its request yet.
            self._services[request.service_name].state(request.server_id).in_flight -= 1
            self._policies[request.service_name].finish(request, None)
            asyncio.get_running_loop().call_soon(self.dispatch, None)

    def _start_tick(self) -> None:
        if self._tick is None and self._waiting:
            when_ms = self._timers.clock.now_ms() + TICK_MS
            self._tick = self._timers.call_at(when_ms, self._on_tick)

    def _on_tick(self) -> None:
        self._tick = None
        self.dispatch(None)
        for server in {waiter.request.server for waiter in self._waiting.values()}:
            self._on_starved(server)
        self._start_tick()
