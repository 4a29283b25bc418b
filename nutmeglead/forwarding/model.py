"""Define the manifest (routes, services and client limits) and the records of servers."""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from nutmeglead.core.errors import CodecError
from nutmeglead.core.ids import FailureDomainName, ServerId, ServiceName

__all__ = [
    "Backend",
    "ClientLimits",
    "Manifest",
    "NO_NOTICE",
    "RequestKind",
    "Route",
    "ServerIncarnation",
    "ServerNotice",
    "ServerRecord",
    "ServerState",
    "ServiceSpec",
    "StatedLoad",
]


class RequestKind(Enum):
    """Whether a route's requests may run more than once, and whether their bodies are large."""

    IDEMPOTENT = "idempotent"
    AT_MOST_ONCE = "at-most-once"
    LARGE_ANSWER = "large-answer"
    # Runs at most once, as AT_MOST_ONCE; its large body makes a far server costly.
    LARGE_BODY = "large-body"

    @property
    def may_repeat(self) -> bool:
        """Return whether a request may be sent again after it may have run."""
        return self in (RequestKind.IDEMPOTENT, RequestKind.LARGE_ANSWER)

    @property
    def is_large(self) -> bool:
        """Return whether bodies or answers are large."""
        return self in (RequestKind.LARGE_ANSWER, RequestKind.LARGE_BODY)


@dataclass(frozen=True)
class Backend:
    """A service of a route, with its weight among the route's services."""

    service: ServiceName
    weight: float


@dataclass(frozen=True)
class Route:
    """Map a host and a path prefix to one or several services.

    `max_servers` limits the servers that one request is sent to. Priority 0 is the highest. An
    empty host matches hosts without routes of their own, and empty `methods` match all methods.
    `number_key` returns the key in a request target, or None if there is none. A route without
    `number_key` takes the key from a header, and rejects requests without a request id.
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
    """Describe a service.

    `max_connections` limits the connections to one server from all its callers together. If
    `has_keys` is set, each request goes to the server that owns its key.
    """

    name: ServiceName
    health_path: str
    max_connections: int
    has_keys: bool
    takes_grants: bool
    cold_keys_ms: int
    # Time for which a server warms up after its start, and the requests a second that it can take
    # meanwhile, from all nodes; 0 for no limit.
    warmup_ms: int = 0
    warmup_per_s: float = 0.0


@dataclass(frozen=True)
class ClientLimits:
    """Limits on the size and duration of a client's requests and on its idle time."""

    head_size_bytes: int = 16_384
    body_size_bytes: int = 67_108_864
    head_timeout_ms: int = 3_000
    idle_timeout_ms: int = 15_000


@dataclass(frozen=True)
class Manifest:
    """One numbered version of the routes, services and client limits.

    `faults` says which parts of it could not be used as they were written, and why.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[ServiceName, ServiceSpec]
    limits: ClientLimits = field(default_factory=ClientLimits)
    faults: tuple[str, ...] = ()

    def lowest_target_latencies_ms(self) -> dict[ServiceName, int]:
        """Return the lowest target latency of the routes that lead to each service."""
        lowest_ms: dict[ServiceName, int] = {}
        for route in self.routes:
            for backend in route.backends:
                known_ms = lowest_ms.get(backend.service, route.target_latency_ms)
                lowest_ms[backend.service] = min(known_ms, route.target_latency_ms)
        return lowest_ms


class ServerState(Enum):
    """State that a server announces; a leaving one takes no new work."""

    READY = "ready"
    LEAVING = "leaving"


@dataclass(frozen=True, order=True)
class ServerIncarnation:
    """Identify one incarnation of a server: a restart keeps the id and changes the start time."""

    server_id: ServerId
    started_ms: int


class StatedLoad(NamedTuple):
    """What a server states about its requests, and how long its work takes now.

    `duration_percent` is 100 at the usual speed, and 300 while work takes three times as long.
    """

    running: int
    waiting: int
    slots: int
    duration_percent: int = 100


@dataclass(frozen=True)
class ServerNotice:
    """What an answer states about its server.

    With `backoff_ms`, the server wants no requests of this node for that time. `faults` says which
    headers could not be decoded; the others hold.
    """

    is_leaving: bool = False
    backoff_ms: int | None = None
    # For how long the server will go on warming up, or None if it states nothing.
    warmup_left_ms: int | None = None
    load: StatedLoad | None = None
    faults: tuple[CodecError, ...] = ()


NO_NOTICE = ServerNotice()


@dataclass(frozen=True)
class ServerRecord:
    """What a server states about itself.

    It runs `slots` requests at once, and is slow for another `warmup_left_ms`.
    """

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
