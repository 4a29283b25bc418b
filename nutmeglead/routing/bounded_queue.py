"""Keep waiting requests by server, bounded in count and bytes per service."""

from collections.abc import Hashable, Iterable, Iterator
from dataclasses import dataclass, field

from result import Err, Ok, Result

from nutmeglead._generated.settings.ttypes import AdmissionSettings, ServiceSettings
from nutmeglead.core.ids import ServerId, ServiceName
from nutmeglead.routing.errors import QueueFull

__all__ = ["BoundedQueue", "Dispatch", "QueuedRequest", "ServerKey"]

ServerKey = tuple[ServiceName, ServerId]


@dataclass(frozen=True)
class QueuedRequest:
    """Describe one request; `size_bytes` is what its buffered body takes."""

    request_id: int
    service_name: ServiceName
    unit: Hashable
    server_id: ServerId
    deadline_ms: int
    size_bytes: int = 0

    @property
    def server(self) -> ServerKey:
        """Return the server's key; server ids are unique within a service only."""
        return self.service_name, self.server_id


@dataclass
class Dispatch:
    """List the requests that may start now, that are too late, and that would be too late."""

    started: list[QueuedRequest] = field(default_factory=list)
    expired: list[QueuedRequest] = field(default_factory=list)
    hopeless: list[QueuedRequest] = field(default_factory=list)


class BoundedQueue:
    """Keep waiting requests by server and count them by service and unit."""

    def __init__(self, services: Iterable[ServiceSettings]) -> None:
        self.settings: dict[ServiceName, AdmissionSettings] = {
            ServiceName(service.name): service.admission or AdmissionSettings()
            for service in services
        }
        self.waiting: dict[ServerKey, dict[int, QueuedRequest]] = {}
        self.server_of: dict[int, ServerKey] = {}
        self.counts: dict[ServiceName, int] = dict.fromkeys(self.settings, 0)
        self.bytes: dict[ServiceName, int] = dict.fromkeys(self.settings, 0)
        self.unit_counts: dict[tuple[ServiceName, Hashable], int] = {}

    def check_service_bounds(self, request: QueuedRequest) -> Result[None, QueueFull]:
        """Tell whether the service's queue has room for a request."""
        settings = self.settings[request.service_name]
        if self.counts[request.service_name] >= settings.max_queue_count:
            return Err(QueueFull(f"{settings.max_queue_count} requests of the service wait"))
        if self.bytes[request.service_name] + request.size_bytes > settings.max_queue_bytes:
            return Err(QueueFull(f"bodies of {self.bytes[request.service_name]} bytes wait"))
        return Ok(None)

    def add(self, request: QueuedRequest) -> None:
        """Enter a request."""
        self.waiting.setdefault(request.server, {})[request.request_id] = request
        self.server_of[request.request_id] = request.server
        self._count(request, 1)

    def remove(self, request_id: int) -> QueuedRequest | None:
        """Remove and return a request, or return None if it does not wait."""
        server = self.server_of.pop(request_id, None)
        if server is None:
            return None
        queue = self.waiting[server]
        request = queue.pop(request_id)
        if not queue:
            del self.waiting[server]
        self._count(request, -1)
        return request

    def _count(self, request: QueuedRequest, step: int) -> None:
        self.counts[request.service_name] += step
        self.bytes[request.service_name] += step * request.size_bytes
        unit = (request.service_name, request.unit)
        count = self.unit_counts.get(unit, 0) + step
        if count:
            self.unit_counts[unit] = count
        else:
            del self.unit_counts[unit]

    def servers(self, only: Iterable[ServerKey] | None) -> Iterator[ServerKey]:
        """Yield the servers for which requests wait, all or some of them."""
        yield from [s for s in (self.waiting if only is None else only) if s in self.waiting]

    def take_expired(self, server: ServerKey, now_ms: int) -> list[QueuedRequest]:
        """Remove and return the requests whose deadline passed, the earliest first."""
        queue = self.waiting.get(server, {})
        expired = [request for request in queue.values() if request.deadline_ms <= now_ms]
        for request in expired:
            self.remove(request.request_id)
        return sorted(expired, key=lambda request: request.deadline_ms)
