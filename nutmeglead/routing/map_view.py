"""Serve assignments and addresses from the disseminated pages."""

from collections.abc import Callable, Iterable

from nutmeglead._generated.common.ttypes import Address
from nutmeglead._generated.messages.ttypes import PlacementPage, ServerEntry
from nutmeglead._generated.settings.ttypes import ServiceSettings
from nutmeglead.core.ids import FailureDomainName, ServerId, ServiceName
from nutmeglead.ownership.directory import is_directory
from nutmeglead.ownership.units import Assignment, UnitMap
from nutmeglead.routing.sources import BackendAddress

__all__ = ["MapView"]


class MapView:
    """Be the router's AssignmentSource and AddressBook."""

    def __init__(
        self, services: Iterable[ServiceSettings], router_count: Callable[[], int]
    ) -> None:
        self.maps = {
            ServiceName(s.name): UnitMap(ServiceName(s.name), s.hash_buckets) for s in services
        }
        self._router_count = router_count
        self._directories: dict[ServiceName, dict[ServerId, BackendAddress]] = {
            name: {} for name in self.maps
        }
        self._entries: dict[tuple[str, str], ServerEntry] = {}
        self._callbacks: list[Callable[[ServiceName], None]] = []

    def apply(self, page: PlacementPage) -> None:
        """Take over a page and tell the subscribers."""
        name = ServiceName(page.service_name)
        unit_map = self.maps.get(name)
        if unit_map is None or not unit_map.apply(page):
            return
        if is_directory(page):
            entries = page.directory or []
            self._directories[name] = {ServerId(e.server_id): _address(e) for e in entries}
            self._entries.update({(name, e.server_id): e for e in entries})
        for callback in list(self._callbacks):
            callback(name)

    def is_complete(self) -> bool:
        """Tell whether each service has a directory and its first page."""
        return all(
            self._directories[name] and (False, 0) in unit_map.versions()
            for name, unit_map in self.maps.items()
        )

    def locate(self, service_name: ServiceName, key: str) -> Assignment | None:
        """Return a key's assignment."""
        unit_map = self.maps.get(service_name)
        return None if unit_map is None else unit_map.locate(key)

    def subscribe(self, callback: Callable[[ServiceName], None]) -> Callable[[], None]:
        """Call back after each change of a service's map."""
        self._callbacks.append(callback)
        return lambda: self._callbacks.remove(callback)

    def address(self, service_name: ServiceName, server_id: ServerId) -> BackendAddress | None:
        """Return where to send a server's requests, or None if it is not known."""
        return self._directories[service_name].get(server_id)

    def server_address(self, service_name: ServiceName, server_id: str) -> Address | None:
        """Return the server's own address, which only its gate uses."""
        entry = self._entries.get((service_name, server_id))
        return entry.address if entry else None

    def servers(self, service_name: ServiceName) -> Iterable[ServerId]:
        """List the service's known servers."""
        return self._directories[service_name].keys()

    def router_count(self) -> int:
        """Return how many routers share the servers' slots and connections."""
        return max(1, self._router_count())


def _address(entry: ServerEntry) -> BackendAddress:
    target = entry.gate or entry.address
    domain = FailureDomainName(entry.failure_domain)
    return BackendAddress(target.ip, target.port, domain, is_gate=entry.gate is not None)
