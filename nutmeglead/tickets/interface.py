"""Turn the product's own settings and tickets into routes, servers and pins."""

from collections.abc import Mapping

from nutmeglead._generated.settings.ttypes import ServiceSettings, Settings
from nutmeglead._generated.tickets.ttypes import ServerState as TicketServerState
from nutmeglead.core.ids import FailureDomainName, NodeId, ServiceName
from nutmeglead.forwarding.model import (
    Backend,
    Manifest,
    RequestKind,
    Route,
    ServerIncarnation,
    ServerRecord,
    ServerState,
    ServiceSpec,
)
from nutmeglead.forwarding.routes import ANY_HOST
from nutmeglead.platform.node_settings import Bounds, NodeSettings, StoreSettings
from nutmeglead.ranges.pins import Pin
from nutmeglead.tickets.keys import key_number, key_of_target
from nutmeglead.tickets.state import DesiredServer, DesiredState, ServiceState

__all__ = ["build_manifest", "node_settings", "pins_of", "server_records"]

# Callers may repeat these whatever the service says (RFC 9110, section 9.2.2).
_SAFE_METHODS = frozenset((b"GET", b"HEAD", b"OPTIONS"))
# A ticket's server never changes its id or its address, so that it has one incarnation only.
_ONLY_START_MS = 0
_MANIFEST_VERSION = 1


def node_settings(settings: Settings) -> NodeSettings:
    """Return the settings of the entry process."""
    node, bounds = settings.node, settings.bounds
    return NodeSettings(
        NodeId(node.node_id),
        node.ip,
        FailureDomainName(node.failure_domain),
        node.peer_port,
        node.front_port,
        node.ready_port,
        StoreSettings(settings.store.ip, settings.store.port),
        Bounds(
            bounds.leave_ms,
            bounds.stop_grace_ms,
            bounds.retry_ratio,
            bounds.retry_window_ms,
            bounds.retry_base_count,
            bounds.max_hold_ms,
        ),
        node.cpu_cores,
        node.metrics_port,
    )


def build_manifest(settings: Settings) -> Manifest:
    """Return the routes `/<service>/<key>` of all services."""
    routes = [route for service in settings.services for route in _routes(service)]
    specs = [_spec(service) for service in settings.services]
    return Manifest(_MANIFEST_VERSION, tuple(routes), {spec.name: spec for spec in specs})


def _spec(service: ServiceSettings) -> ServiceSpec:
    return ServiceSpec(
        ServiceName(service.name),
        service.health_path,
        service.connections_per_instance,
        has_keys=True,
        takes_grants=True,
        cold_keys_ms=service.cold_keys_ms,
    )


def _routes(service: ServiceSettings) -> list[Route]:
    repeatable = RequestKind.LARGE_ANSWER if service.large_answers else RequestKind.IDEMPOTENT
    other = repeatable if service.idempotent else RequestKind.AT_MOST_ONCE
    return [
        _route(service, "read", repeatable, _SAFE_METHODS),
        _route(service, "write", other, frozenset()),
    ]


def _route(
    service: ServiceSettings, name: str, kind: RequestKind, methods: frozenset[bytes]
) -> Route:
    return Route(
        f"{service.name}-{name}",
        ANY_HOST,
        f"/{service.name}/",
        kind,
        service.timeout_ms,
        service.target_latency_ms,
        service.priority,
        service.max_servers_per_request,
        (Backend(ServiceName(service.name), 1.0),),
        methods,
        _number_of_target,
    )


def _number_of_target(target: str) -> int | None:
    key = key_of_target(target)
    return None if key is None else key_number(key)


def server_records(
    state: DesiredState, services: Mapping[ServiceName, ServiceSettings]
) -> list[ServerRecord]:
    """Return the servers that are present or leaving, of the services that the settings name."""
    return [
        _record(server, ServiceName(name), services[name].slots_per_instance)
        for name, service in state.services.items()
        if name in services
        for server in service.servers.values()
        if server.state != TicketServerState.REMOVED and server.address is not None
    ]


def _record(server: DesiredServer, service: ServiceName, slots: int) -> ServerRecord:
    assert server.address is not None
    is_present = server.state == TicketServerState.PRESENT
    return ServerRecord(
        ServerIncarnation(server.server_id, _ONLY_START_MS),
        service,
        server.address.ip,
        server.address.port,
        server.failure_domain or FailureDomainName(""),
        slots,
        ServerState.READY if is_present else ServerState.LEAVING,
        0,
    )


def pins_of(service: ServiceState) -> tuple[Pin, ...]:
    """Return the claims that take effect."""
    claims = service.effective_claims()
    return tuple(Pin(claim.first, claim.last, claim.server_id) for claim in claims)
