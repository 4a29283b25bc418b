"""Match requests to routes, and choose among the services of a route by weight."""

from __future__ import annotations

from nutmeglead.core.ids import ServiceName
from nutmeglead.forwarding.model import Manifest, Route

__all__ = ["ANY_HOST", "RouteTable", "WeightedChoice"]

# Routes with this host apply to every host without routes of its own.
ANY_HOST = ""


class RouteTable:
    """Look up routes by host and longest prefix, under one version of the manifest."""

    def __init__(self, manifest: Manifest) -> None:
        self.manifest = manifest
        self._by_host: dict[str, list[Route]] = {}
        for route in sorted(manifest.routes, key=lambda entry: -len(entry.prefix)):
            self._by_host.setdefault(route.host, []).append(route)

    def match(self, host: str, target: str, method: bytes = b"GET") -> Route | None:
        """Return the route with the longest matching prefix for a request, or None.

        `host` is the Host header, whose port is ignored; `target` may have a query.
        """
        name = host.rpartition(":")[0] if ":" in host else host
        path = target.partition("?")[0]
        routes = self._by_host.get(name.lower()) or self._by_host.get(ANY_HOST, [])
        for route in routes:
            if path.startswith(route.prefix) and (not route.methods or method in route.methods):
                return route
        return None


class WeightedChoice:
    """Distribute a route's requests over its services by smooth weighted round robin.

    Each request adds every service's weight to its credit and goes to the service with the highest
    credit, which pays the sum of the weights. Even short runs of requests thus follow the weights.
    """

    def __init__(self) -> None:
        self._credits: dict[str, dict[ServiceName, float]] = {}

    def choose(self, route: Route) -> ServiceName:
        """Return the service for the route's next request, and update the credits."""
        if len(route.backends) == 1:
            return route.backends[0].service
        previous = self._credits.get(route.name, {})
        service_credits = {
            b.service: previous.get(b.service, 0.0) + b.weight for b in route.backends
        }
        chosen = max(service_credits, key=lambda service: service_credits[service])
        service_credits[chosen] -= sum(b.weight for b in route.backends)
        self._credits[route.name] = service_credits
        return chosen
