"""Convert the product's own settings and tickets into the manifest, server records and pins."""

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

# Requests with these methods may be repeated whatever the settings of the service say (RFC 9110,
# section 9.2.2).
_SAFE_METHODS = frozenset((b"GET", b"HEAD", b"OPTIONS"))
# A server that tickets define never changes its id or its address. It therefore has a single
# incarnation, whose start time is fixed.
_INCARNATION_START_MS = 0
_MANIFEST_VERSION = 1


def node_settings(settings: Settings) -> NodeSettings:
    """Return the part of the settings that the entry process uses."""
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
    """Return the manifest with all services and two routes, read and write, for each."""
    routes = [route for service in settings.services for route in _routes(service)]
    specs = [_service_spec(service) for service in settings.services]
    return Manifest(_MANIFEST_VERSION, tuple(routes), {spec.name: spec for spec in specs})


def _service_spec(service: ServiceSettings) -> ServiceSpec:
    return ServiceSpec(
        ServiceName(service.name),
        service.health_path,
        service.connections_per_instance,
        has_keys=True,
        takes_grants=True,
        cold_keys_ms=service.cold_keys_ms,
    )


def _routes(service: ServiceSettings) -> list[Route]:
    repeatable_kind = RequestKind.LARGE_ANSWER if service.large_answers else RequestKind.IDEMPOTENT
    write_kind = repeatable_kind if service.idempotent else RequestKind.AT_MOST_ONCE
    return [
        _route(service, "read", repeatable_kind, _SAFE_METHODS),
        _route(service, "write", write_kind, frozenset()),
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
        _key_number_of_target,
    )


def _key_number_of_target(target: str) -> int | None:
    key = key_of_target(target)
    return None if key is None else key_number(key)


def server_records(
    state: DesiredState, services: Mapping[ServiceName, ServiceSettings]
) -> list[ServerRecord]:
    """Return the present and leaving servers of the services that the settings name."""
    return [
        _server_record(server, ServiceName(name), services[name].slots_per_instance)
        for name, service in state.services.items()
        if name in services
        for server in service.servers.values()
        if server.state != TicketServerState.REMOVED and server.address is not None
    ]


def _server_record(server: DesiredServer, service: ServiceName, slots: int) -> ServerRecord:
    assert server.address is not None
    is_present = server.state == TicketServerState.PRESENT
    return ServerRecord(
        ServerIncarnation(server.server_id, _INCARNATION_START_MS),
        service,
        server.address.ip,
        server.address.port,
        server.failure_domain or FailureDomainName(""),
        slots,
        ServerState.READY if is_present else ServerState.LEAVING,
        0,
    )


def pins_of(service: ServiceState) -> tuple[Pin, ...]:
    """Return a pin for each claim that takes effect."""
    claims = service.effective_claims()
    return tuple(Pin(claim.first, claim.last, claim.server_id) for claim in claims)
