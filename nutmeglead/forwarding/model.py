"""Define the manifest and the servers that requests are forwarded to."""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from nutmeglead.core.ids import FailureDomainName, ServerId, ServiceName

__all__ = [
    "Backend",
    "ClientLimits",
    "Manifest",
    "RequestKind",
    "Route",
    "ServerIncarnation",
    "ServerRecord",
    "ServerState",
    "ServiceSpec",
]


class RequestKind(Enum):
    """Tell whether requests of a route may run more than once."""

    IDEMPOTENT = "idempotent"
    AT_MOST_ONCE = "at-most-once"
    LARGE_ANSWER = "large-answer"

    @property
    def may_repeat(self) -> bool:
        """Tell whether a request may be sent again after it may have run."""
        return self is not RequestKind.AT_MOST_ONCE


@dataclass(frozen=True)
class Backend:
    """Name a service and its weight among the services of a route."""

    service: ServiceName
    weight: float


@dataclass(frozen=True)
class Route:
    """Map a host and a path prefix to one or several services.

    `max_servers` bounds the servers that one request is sent to. Priority 0 is the highest. An
    empty host matches every host, no methods match all. `number_key` gives a request target's key,
    or None if there is none; a route without it takes the key from a header, and asks for an id.
    """

    name: str
    host: str
    prefix: str
    kind: RequestKind
    timeout_ms: int
    target_latency_ms: int
    priority: int
    max_servers: int
    backends: tuple[Backend, ...]
    methods: frozenset[bytes] = frozenset()
    number_key: Callable[[str], int | None] | None = None


@dataclass(frozen=True)
class ServiceSpec:
    """Describe a service; `max_connections` counts those of all callers to one server."""

    name: ServiceName
    health_path: str
    max_connections: int
    has_keys: bool
    takes_grants: bool
    cold_keys_ms: int


@dataclass(frozen=True)
class ClientLimits:
    """Bound what a client may send and how long it may take or stay idle."""

    head_size_bytes: int = 16_384
    body_size_bytes: int = 67_108_864
    head_timeout_ms: int = 3_000
    idle_timeout_ms: int = 15_000


@dataclass(frozen=True)
class Manifest:
    """Hold one numbered version of the routes and services."""

    version: int
    routes: tuple[Route, ...]
    services: dict[ServiceName, ServiceSpec]
    limits: ClientLimits = field(default_factory=ClientLimits)


class ServerState(Enum):
    """Tell whether a server takes new work."""

    READY = "ready"
    LEAVING = "leaving"


@dataclass(frozen=True, order=True)
class ServerIncarnation:
    """Identify one incarnation of a server: a restart keeps the id and changes the start time."""

    server_id: ServerId
    started_ms: int


@dataclass(frozen=True)
class ServerRecord:
    """Hold what a server says of itself; it is slow for `warmup_left_ms` more."""

    incarnation: ServerIncarnation
    service: ServiceName
    ip: str
    port: int
    failure_domain: FailureDomainName
    slots: int
    state: ServerState
    warmup_left_ms: int

    @property
    def server_id(self) -> ServerId:
        """Return the server's id."""
        return self.incarnation.server_id
