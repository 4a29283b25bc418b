"""Build the objects that scenarios of a service's dispatch share."""

import random

from nutmeglead.core.ids import FailureDomainName, ServerId, ServiceName
from nutmeglead.forwarding.dispatch import ServiceDispatch
from nutmeglead.forwarding.dispatch_settings import DispatchSettings
from nutmeglead.forwarding.model import (
    Backend,
    RequestKind,
    Route,
    ServerIncarnation,
    ServerRecord,
    ServerState,
    ServiceSpec,
)
from nutmeglead.forwarding.request import CallerRequest
from nutmeglead.forwarding.stop_limit import StopLimit
from nutmeglead.http.messages import RequestHead

__all__ = ["NEAR", "SERVICE", "key_request", "server_record", "service_dispatch"]

SERVICE = ServiceName("stock")
NEAR = FailureDomainName("near")


def server_record(number=1, slots=4):
    """Return the record of a ready server in the near failure domain."""
    incarnation = ServerIncarnation(ServerId(f"s-{number}"), 1)
    return ServerRecord(
        incarnation, SERVICE, f"10.0.0.{number}", 80, NEAR, slots, ServerState.READY, 0
    )


def service_dispatch(
    registry,
    clock,
    *,
    settings=None,
    has_keys=True,
    seed=1,
    in_flight_elsewhere=lambda tag: 0,
    node_count=lambda: 1,
    stop_limit=None,
):
    """Return the dispatch of the service on one node."""
    return ServiceDispatch(
        ServiceSpec(SERVICE, "/health", 100, has_keys, has_keys, 0),
        registry,
        clock,
        random.Random(seed),
        NEAR,
        settings or DispatchSettings(),
        in_flight_elsewhere,
        node_count,
        stop_limit or StopLimit(),
    )


def key_request(received_ms, key=7, *, target_ms=300, timeout_ms=800):
    """Return an idempotent request for a key that arrived at a time."""
    backends = (Backend(SERVICE, 1.0),)
    route = Route("r", "h", "/s/", RequestKind.IDEMPOTENT, timeout_ms, target_ms, 1, 2, backends)
    head = RequestHead(b"GET", b"/s/")
    return CallerRequest(head, b"", b"r1", route, 1, key, received_ms, received_ms + timeout_ms)
