"""Queue requests for server slots by priority and deadline, and refuse what cannot be in time."""

from collections.abc import Callable, Hashable, Iterable
from typing import Protocol

from result import Err, Ok, Result

from nutmeglead._generated.settings.ttypes import AdmissionSettings, ServiceSettings
from nutmeglead.core.ids import ServiceName
from nutmeglead.core.registry import Registry
from nutmeglead.routing.bounded_queue import BoundedQueue, Dispatch, QueuedRequest, ServerKey
from nutmeglead.routing.errors import DeadlinePassed, DeadlineUnreachable, QueueFull
from nutmeglead.routing.estimates import ServiceTimes

__all__ = [
    "ADMISSION",
    "AdmissionPolicy",
    "DeadlineAdmission",
    "Dispatch",
    "FifoAdmission",
    "QueuedRequest",
    "max_unit_queue_count",
]

# One exchange buffers at most 128 KiB, so 256 exchanges stay within 32 MB.
MAX_EXCHANGES = 256

# A hot key may take a quarter of its service's queue; the rest stays for the other units.
UNIT_QUEUE_PART = 4

# The queue is counted again when the service time has grown by a quarter; smaller changes are
# within the jitter of the links between failure domains.
GROWTH = 1.25

QueueError = QueueFull | DeadlineUnreachable | DeadlinePassed


class AdmissionPolicy(Protocol):
    """Queue requests of all services of a router; pure, `now_ms` is always an argument."""

    def offer(self, request: QueuedRequest, slots: int, now_ms: int) -> Result[None, QueueError]:
        """Queue a request, or refuse it at once."""
        ...

    def withdraw(self, request_id: int) -> bool:
        """Remove a waiting request; return False if it does not wait any more."""
        ...

    @property
    def waiting_count(self) -> int:
        """Count the waiting requests."""
        ...

    def dispatch(
        self,
        take_slot: Callable[[ServerKey], bool],
        now_ms: int,
        servers: Iterable[ServerKey] | None = None,
    ) -> Dispatch:
        """Start what may start; `servers` limits the search to those that changed."""
        ...

    def finish(self, request: QueuedRequest, service_time_ms: int | None) -> bool:
        """Free the place of a started request; None if it gave no measurement.

        Return whether requests to other servers may start as well.
        """
        ...


ADMISSION: Registry[type] = Registry("admission")


def max_unit_queue_count(settings: AdmissionSettings) -> int:
    """Return how many requests of one unit may wait."""
    return max(1, int(settings.max_queue_count) // UNIT_QUEUE_PART)


class _Lane:
    """Bound the exchanges of the services that share a part of the router."""

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self.running = 0

    def has_room(self) -> bool:
        return self.running < self.capacity


@ADMISSION.register("deadline")
class DeadlineAdmission:
    """Start higher priorities first, then the unit with fewest running, then earliest deadlines.

    Services with `share_percent` below 100 have a lane of that part of the router's exchanges; the
    other services share the rest. So large files and small requests do not starve each other.
    """

    def __init__(
        self, services: Iterable[ServiceSettings], max_exchanges: int = MAX_EXCHANGES
    ) -> None:
        services = list(services)
        self._queue = BoundedQueue(services)
        self._lanes = _make_lanes(self._queue.settings, max_exchanges)
        self._times = ServiceTimes()
        self._slots: dict[ServerKey, int] = {}
        # Service time of each server for which the places in its queue were last counted.
        self._counted_ms: dict[ServerKey, float] = {}
        self._running_by_server: dict[ServerKey, int] = {}
        self._running_by_unit: dict[tuple[ServiceName, Hashable], int] = {}

    def offer(self, request: QueuedRequest, slots: int, now_ms: int) -> Result[None, QueueError]:
        """Queue a request, or refuse it at once.

        `slots` is how many requests the router may run on the server at the same time.
        """
        if request.deadline_ms <= now_ms:
            return Err(DeadlinePassed(f"{now_ms - request.deadline_ms} ms ago"))
        bounds = self._queue.check_service_bounds(request)
        if isinstance(bounds, Err):
            return bounds
        settings = self._queue.settings[request.service_name]
        unit_count = self._queue.unit_counts.get((request.service_name, request.unit), 0)
        if unit_count >= max_unit_queue_count(settings):
            return Err(QueueFull(f"{unit_count} requests of the unit wait"))
        self._slots[request.server] = max(1, slots)
        wait_ms = self._expected_ms(request, slots)
        if now_ms + wait_ms >= request.deadline_ms:
            left_ms = request.deadline_ms - now_ms
            return Err(DeadlineUnreachable(f"needs about {wait_ms} ms, has {left_ms} ms"))
        self._queue.add(request)
        return Ok(None)

    def _expected_ms(self, request: QueuedRequest, slots: int) -> int:
        """Estimate the time until the answer from the requests ahead and measured times.

        An idle server always gets the request: otherwise one slow phase would refuse everything,
        and no new measurement would ever correct the estimate.
        """
        ahead = self._count_ahead(request)
        running = self._running_by_server.get(request.server, 0)
        if ahead + running == 0:
            return 0
        # A cautious estimate refuses at once what would otherwise be refused after waiting.
        pace_ms = self._times.pace_ms(request.service_name, request.server)
        bound_ms = self._times.bound_ms(request.service_name, request.server)
        # Whoever starts next waits for a running request; on average half of it is done.
        turns_ahead = (ahead + max(0, running - slots + 1) / 2) / max(1, slots)
        return round(pace_ms * turns_ahead + bound_ms)

    def _count_ahead(self, request: QueuedRequest) -> int:
        queue = self._queue.waiting.get(request.server, {})
        order = self._rank(request)
        return sum(1 for other in queue.values() if self._rank(other) <= order)

    def _rank(self, request: QueuedRequest) -> tuple[int, int, int, int]:
        """Order waiting requests; a larger priority number goes first."""
        unit = (request.service_name, request.unit)
        running = self._running_by_unit.get(unit, 0)
        priority = self._queue.settings[request.service_name].priority
        return -priority, running, request.deadline_ms, request.request_id

    def withdraw(self, request_id: int) -> bool:
        """Remove a waiting request; return False if it does not wait any more."""
        return self._queue.remove(request_id) is not None

    @property
    def waiting_count(self) -> int:
        """Count the waiting requests."""
        return len(self._queue.server_of)

    def dispatch(
        self,
        take_slot: Callable[[ServerKey], bool],
        now_ms: int,
        servers: Iterable[ServerKey] | None = None,
    ) -> Dispatch:
        """Start what has a slot and room in its lane; `servers` limits the search."""
        result = Dispatch()
        open_servers = set(self._queue.servers(servers))
        for server in open_servers:
            result.expired += self._queue.take_expired(server, now_ms)
            result.hopeless += self._take_hopeless(server, now_ms)
        while open_servers:
            head = self._next_request(open_servers)
            if head is None:
                break
            if not take_slot(head.server):
                open_servers.discard(head.server)
                continue
            self._start(head)
            result.started.append(head)
        return result

    def _take_hopeless(self, server: ServerKey, now_ms: int) -> list[QueuedRequest]:
        """Take out what can no longer be in time, because its answer would be unknown.

        The places in the queue count only after the service time has grown, for example because the
        server became slow; otherwise they were counted when the request came.
        """
        queue = self._queue.waiting.get(server)
        if not queue or server not in self._running_by_server:
            return []
        mean_ms = self._times.mean_ms(server[0], server)
        bound_ms = self._times.bound_ms(server[0], server)
        has_grown = mean_ms > GROWTH * self._counted_ms.get(server, 0.0)
        if has_grown:
            self._counted_ms[server] = mean_ms
        kept_count = 0
        hopeless = []
        ordered = sorted(queue.values(), key=self._rank) if has_grown else queue.values()
        for request in ordered:
            turns_ahead = kept_count / self._slots[server] if has_grown else 0.0
            if now_ms + mean_ms * turns_ahead + bound_ms >= request.deadline_ms:
                hopeless.append(request)
            else:
                kept_count += 1
        for request in hopeless:
            self._queue.remove(request.request_id)
        return hopeless

    def _next_request(self, servers: Iterable[ServerKey]) -> QueuedRequest | None:
        candidates = [
            request
            for server in servers
            for request in self._queue.waiting.get(server, {}).values()
            if self._lanes[request.service_name].has_room()
        ]
        return min(candidates, key=self._rank, default=None)

    def _start(self, request: QueuedRequest) -> None:
        self._queue.remove(request.request_id)
        self._lanes[request.service_name].running += 1
        unit = (request.service_name, request.unit)
        self._running_by_unit[unit] = self._running_by_unit.get(unit, 0) + 1
        server = request.server
        self._running_by_server[server] = self._running_by_server.get(server, 0) + 1

    def finish(self, request: QueuedRequest, service_time_ms: int | None) -> bool:
        """Free the place of a started request; return whether its lane was full."""
        lane = self._lanes[request.service_name]
        was_full = not lane.has_room()
        lane.running -= 1
        _count_down(self._running_by_unit, (request.service_name, request.unit))
        _count_down(self._running_by_server, request.server)
        if service_time_ms is not None:
            self._times.observe(request.service_name, request.server, service_time_ms)
        return was_full


def _count_down(counts: dict, key: Hashable) -> None:
    counts[key] -= 1
    if not counts[key]:
        del counts[key]


def _make_lanes(
    settings: dict[ServiceName, AdmissionSettings], max_exchanges: int
) -> dict[ServiceName, _Lane]:
    own = {name: s.share_percent for name, s in settings.items() if s.share_percent < 100}
    lanes = {name: _Lane(max(1, max_exchanges * percent // 100)) for name, percent in own.items()}
    rest = _Lane(max(1, max_exchanges - sum(lane.capacity for lane in lanes.values())))
    return {name: lanes.get(name, rest) for name in settings}


@ADMISSION.register("fifo")
class FifoAdmission:
    """Serve each server's requests in order of arrival; the naive baseline.

    It has no estimate, no priorities, no lanes and no bound per unit.
    """

    def __init__(
        self, services: Iterable[ServiceSettings], max_exchanges: int = MAX_EXCHANGES
    ) -> None:
        self._queue = BoundedQueue(services)
        self._lane = _Lane(max_exchanges)

    def offer(self, request: QueuedRequest, slots: int, now_ms: int) -> Result[None, QueueError]:
        """Queue a request if the service's queue has room."""
        bounds = self._queue.check_service_bounds(request)
        if isinstance(bounds, Ok):
            self._queue.add(request)
        return bounds

    def withdraw(self, request_id: int) -> bool:
        """Remove a waiting request; return False if it does not wait any more."""
        return self._queue.remove(request_id) is not None

    @property
    def waiting_count(self) -> int:
        """Count the waiting requests."""
        return len(self._queue.server_of)

    def dispatch(
        self,
        take_slot: Callable[[ServerKey], bool],
        now_ms: int,
        servers: Iterable[ServerKey] | None = None,
    ) -> Dispatch:
        """Start the oldest requests that have a slot."""
        result = Dispatch()
        for server in list(self._queue.servers(servers)):
            result.expired += self._queue.take_expired(server, now_ms)
            while queue := self._queue.waiting.get(server):
                if not self._lane.has_room() or not take_slot(server):
                    break
                request = next(iter(queue.values()))
                self._queue.remove(request.request_id)
                self._lane.running += 1
                result.started.append(request)
        return result

    def finish(self, request: QueuedRequest, service_time_ms: int | None) -> bool:
        """Free the place of a started request; return whether all places were in use."""
        was_full = not self._lane.has_room()
        self._lane.running -= 1
        return was_full
