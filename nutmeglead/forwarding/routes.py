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
        self._by_host: dict[str, _PrefixIndex] = {}
        for route in manifest.routes:
            self._by_host.setdefault(route.host, _PrefixIndex()).add(route)

    def match(self, host: str, target: str, method: bytes = b"GET") -> Route | None:
        """Return the route with the longest matching prefix for a request, or None.

        `host` is the Host header, whose port is ignored; `target` may have a query.
        """
        name = host.rpartition(":")[0] if ":" in host else host
        index = self._by_host.get(name.lower()) or self._by_host.get(ANY_HOST)
        return None if index is None else index.match(target.partition("?")[0], method)


class _PrefixIndex:
    """Find the routes of a host by prefix.

    A look-up costs one hash per distinct prefix length, however many routes there are.
    """

    def __init__(self) -> None:
        self._by_prefix: dict[str, list[Route]] = {}
        # Descending.
        self._lengths: list[int] = []

    def add(self, route: Route) -> None:
        """Add a route; of those with the same prefix, the first that was added is preferred."""
        self._by_prefix.setdefault(route.prefix, []).append(route)
        if len(route.prefix) not in self._lengths:
            self._lengths = sorted([*self._lengths, len(route.prefix)], reverse=True)

    def match(self, path: str, method: bytes) -> Route | None:
        """Return the route with the longest prefix of a path that allows the method, or None."""
        for length in self._lengths:
            # For a path that is shorter than `length`, the slice is the path itself.
            for route in self._by_prefix.get(path[:length], ()):
                if not route.methods or method in route.methods:
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
