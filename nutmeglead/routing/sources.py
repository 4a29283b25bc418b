"""Declare what the request path needs to know of placement and addresses."""

from collections.abc import Callable, Hashable, Iterable
from dataclasses import dataclass
from typing import Protocol

from nutmeglead.core.ids import Epoch, FailureDomainName, ServerId, ServiceName

__all__ = [
    "AddressBook",
    "AssignmentSource",
    "BackendAddress",
    "RequestObserver",
    "RequestRecord",
    "RouteAssignment",
]


class RouteAssignment(Protocol):
    """Name a key's unit, owner and epoch; `pending` means that the owner may lack its grant."""

    @property
    def unit(self) -> Hashable:
        """Return the most specific unit that matches the key."""
        ...

    @property
    def owner(self) -> ServerId | None:
        """Return the owner, or None if the unit has none."""
        ...

    @property
    def epoch(self) -> Epoch:
        """Return the unit's epoch."""
        ...

    @property
    def pending(self) -> bool:
        """Tell whether a handover to the owner is under way."""
        ...


class AssignmentSource(Protocol):
    """Look up assignments in the unit map."""

    def locate(self, service_name: ServiceName, key: str) -> RouteAssignment | None:
        """Return the key's assignment, or None if the map does not cover it."""
        ...

    def subscribe(self, callback: Callable[[ServiceName], None]) -> Callable[[], None]:
        """Call back after each change of a service's map; return the end of the subscription."""
        ...


@dataclass(frozen=True)
class BackendAddress:
    """Hold where a server's requests go: to the server itself or to its gate."""

    ip: str
    port: int
    failure_domain: FailureDomainName
    is_gate: bool = False


class AddressBook(Protocol):
    """Look up servers."""

    def address(self, service_name: ServiceName, server_id: ServerId) -> BackendAddress | None:
        """Return where to send a server's requests, or None if it is not known."""
        ...

    def servers(self, service_name: ServiceName) -> Iterable[ServerId]:
        """List the service's known servers."""
        ...

    def router_count(self) -> int:
        """Return how many routers share the servers' slots and connections."""
        ...


@dataclass(frozen=True)
class RequestRecord:
    """Describe one finished request for metrics and load reports.

    `status` is None if the caller left; `failure` is the `kind` of a RequestError or None.
    """

    service_name: ServiceName
    key: str
    unit: Hashable | None
    server_id: ServerId | None
    status: int | None
    failure: str | None
    attempts: int
    duration_ms: int


class RequestObserver(Protocol):
    """Receive a record of each finished request."""

    def request_finished(self, record: RequestRecord) -> None:
        """Count one finished request."""
        ...
