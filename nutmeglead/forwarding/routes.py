"""Find the route of a request, and the service of a weighted route."""

from __future__ import annotations

from nutmeglead.core.ids import ServiceName
from nutmeglead.forwarding.model import Manifest, Route

__all__ = ["ANY_HOST", "RouteTable", "WeightedChoice"]

# Routes of this host serve the hosts that have none of their own.
ANY_HOST = ""


class RouteTable:
    """Look up routes by host and longest prefix, under one version of the manifest."""

    def __init__(self, manifest: Manifest) -> None:
        self.manifest = manifest
        self._by_host: dict[str, list[Route]] = {}
        for route in sorted(manifest.routes, key=lambda entry: -len(entry.prefix)):
            self._by_host.setdefault(route.host, []).append(route)

    def match(self, host: str, target: str, method: bytes = b"GET") -> Route | None:
        """Return the route for the Host header, the request target and the method, or None."""
        name = host.rpartition(":")[0] if ":" in host else host
        path = target.partition("?")[0]
        routes = self._by_host.get(name.lower()) or self._by_host.get(ANY_HOST, [])
        for route in routes:
            if path.startswith(route.prefix) and (not route.methods or method in route.methods):
                return route
        return None


class WeightedChoice:
    """Distribute requests over a route's services, each as often as its weight says.

    Each request adds the weights to the services' credits and takes the service with the most, so
    that shares are met in every short run of requests.
    """

    def __init__(self) -> None:
        self._credits: dict[str, dict[ServiceName, float]] = {}

    def choose(self, route: Route) -> ServiceName:
        """Return the service of the next request."""
        if len(route.backends) == 1:
            return route.backends[0].service
        known = self._credits.get(route.name, {})
        credits = {b.service: known.get(b.service, 0.0) + b.weight for b in route.backends}
        chosen = max(credits, key=lambda service: credits[service])
        credits[chosen] -= sum(b.weight for b in route.backends)
        self._credits[route.name] = credits
        return chosen
