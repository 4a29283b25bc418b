"""Let requests wait while their unit has no server that would run them."""

import asyncio
from collections.abc import Callable, Hashable
from enum import Enum

from result import Err, Ok, Result

from nutmeglead._generated.settings.ttypes import ServiceSettings
from nutmeglead.core.ids import Epoch, ServerId, ServiceName
from nutmeglead.routing.errors import HandoverWaitEnded, NoOwner, RequestError, ServerEjected
from nutmeglead.routing.holding import HeldRequest, HoldingArea
from nutmeglead.routing.sources import AddressBook, AssignmentSource, RouteAssignment
from nutmeglead.routing.timers import Alarm, Timers

__all__ = ["TRIAL_INTERVAL_MS", "HandoverWaiter", "Wake"]

# While the table service is down, a finished handover may stay marked as pending. So one request
# per unit tries the owner at this interval; the owner refuses it until it holds the grant.
TRIAL_INTERVAL_MS = 50


class Wake(Enum):
    """Tell why a request was woken."""

    READY = "ready"
    TRIAL = "trial"


class HandoverWaiter:
    """Hold one service's requests until their unit is ready, or let one of them try."""

    def __init__(
        self,
        service: ServiceSettings,
        source: AssignmentSource,
        addresses: AddressBook,
        is_ejected: Callable[[ServerId], bool],
        timers: Timers,
    ) -> None:
        self._service = service
        self._name = ServiceName(service.name)
        self._source = source
        self._addresses = addresses
        self._is_ejected = is_ejected
        self._timers = timers
        self._area = HoldingArea(service)
        self._wakers: dict[int, asyncio.Future[Result[Wake, RequestError]]] = {}
        self._tick: Alarm | None = None
        # Epochs that owners refused, or served although the map still calls them pending.
        self._refused: dict[Hashable, Epoch] = {}
        self._confirmed: dict[Hashable, Epoch] = {}
        self._trials: dict[Hashable, int] = {}

    @property
    def held_count(self) -> int:
        """Count the requests that wait."""
        return len(self._area)

    def locate(self, key: str) -> RouteAssignment | None:
        """Return a key's assignment if it has an owner that can be reached.

        A server that does not check grants is reached through its gate only: without the gate's
        check, two owners could run requests for one key.
        """
        assignment = self._source.locate(self._name, key)
        if assignment is None or assignment.owner is None:
            return None
        address = self._addresses.address(self._name, assignment.owner)
        if address is None or not (self._service.checks_grants or address.is_gate):
            return None
        return assignment

    def is_ready(self, key: str) -> bool:
        """Tell whether a request for the key can be sent now."""
        assignment = self.locate(key)
        if assignment is None or assignment.owner is None or self._is_ejected(assignment.owner):
            return False
        if assignment.epoch <= self._refused.get(assignment.unit, -1):
            return False
        return not assignment.pending or self._confirmed.get(assignment.unit) == assignment.epoch

    async def wait(
        self, request_id: int, key: str, deadline_ms: int, size_bytes: int, since_ms: int
    ) -> Result[Wake, RequestError]:
        """Wait until the key is ready or this request is the unit's trial."""
        now_ms = self._timers.clock.now_ms()
        held = HeldRequest(request_id, key, deadline_ms, size_bytes, since_ms)
        admitted = self._area.hold(held, now_ms)
        if isinstance(admitted, Err):
            return Err(admitted.err_value)
        future = asyncio.get_running_loop().create_future()
        self._wakers[request_id] = future
        alarm = self._timers.call_at(admitted.ok_value, self._expire)
        self._start_tick()
        try:
            return await future
        finally:
            alarm.cancel()
            self._area.drop(request_id)
            self._wakers.pop(request_id, None)

    def note_refused(self, assignment: RouteAssignment) -> None:
        """Hold the unit's requests until its epoch grows or a trial succeeds."""
        self._refused[assignment.unit] = assignment.epoch
        self._confirmed.pop(assignment.unit, None)

    def note_served(self, assignment: RouteAssignment) -> None:
        """Release the unit's requests, because its owner runs them at this epoch."""
        refused = self._refused.get(assignment.unit)
        if refused is not None and refused <= assignment.epoch:
            del self._refused[assignment.unit]
        if assignment.pending:
            self._confirmed[assignment.unit] = assignment.epoch
        else:
            self._confirmed.pop(assignment.unit, None)
        if refused is not None or assignment.pending:
            self.wake_ready()

    def end_trial(self, request_id: int) -> None:
        """Let the unit have another trial."""
        if self._trials:
            self._trials = {unit: n for unit, n in self._trials.items() if n != request_id}

    def wake_ready(self) -> None:
        """Wake the requests whose unit is ready, the earliest deadline first."""
        for held in self._area.take_ready(self.is_ready):
            self._wake(held, Ok(Wake.READY))

    def _expire(self) -> None:
        for held in self._area.take_expired(self._timers.clock.now_ms()):
            self._wake(held, Err(self._failure(held)))

    def _failure(self, held: HeldRequest) -> RequestError:
        waited_ms = self._timers.clock.now_ms() - held.held_since_ms
        assignment = self.locate(held.key)
        if assignment is None or assignment.owner is None:
            return NoOwner(f"no owner with a known address for {waited_ms} ms")
        if self._is_ejected(assignment.owner):
            return ServerEjected(f"the owner is out of use; waited {waited_ms} ms")
        return HandoverWaitEnded(f"the unit was not ready for {waited_ms} ms")

    def _wake(self, held: HeldRequest, result: Result[Wake, RequestError]) -> None:
        future = self._wakers.pop(held.request_id, None)
        if future is not None and not future.done():
            future.set_result(result)

    def _start_tick(self) -> None:
        if self._tick is None and len(self._area):
            when_ms = self._timers.clock.now_ms() + TRIAL_INTERVAL_MS
            self._tick = self._timers.call_at(when_ms, self._on_tick)

    def _on_tick(self) -> None:
        self._tick = None
        self.wake_ready()
        self._start_trials()
        self._start_tick()

    def _start_trials(self) -> None:
        """Wake one request per unit, at most as many per server as it has slots."""
        by_server: dict[ServerId, int] = {}
        for held in self._area.in_deadline_order():
            assignment = self.locate(held.key)
            if assignment is None or assignment.owner is None:
                continue
            count = by_server.get(assignment.owner, 0)
            busy = assignment.unit in self._trials or self._is_ejected(assignment.owner)
            if busy or count >= self._service.slots_per_instance:
                continue
            by_server[assignment.owner] = count + 1
            self._trials[assignment.unit] = held.request_id
            self._area.drop(held.request_id)
            self._wake(held, Ok(Wake.TRIAL))
