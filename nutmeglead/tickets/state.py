"""Apply tickets to get the desired state of each service."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace

from nutmeglead._generated.common.ttypes import Address
from nutmeglead._generated.tickets.ttypes import KeyClaim, ServerItem, ServerState, Ticket
from nutmeglead.core.ids import FailureDomainName, ServerId, ServiceName, TicketNumber
from nutmeglead.tickets.items import claim_id

__all__ = ["Claim", "DesiredServer", "DesiredState", "ServiceState", "apply_tickets"]


@dataclass(frozen=True)
class DesiredServer:
    """Hold the state of a server that the last ticket touching it gave."""

    server_id: ServerId
    state: ServerState
    address: Address | None
    failure_domain: FailureDomainName | None
    ticket_number: TicketNumber


@dataclass(frozen=True)
class Claim:
    """Assign the key numbers `first` to `last`, both included, to a server since a ticket."""

    first: int
    last: int
    server_id: ServerId
    ticket_number: TicketNumber


@dataclass(frozen=True)
class ServiceState:
    """Hold the servers and claims of one service; claims do not overlap and are in order.

    A claim takes effect while its server is PRESENT. While the server is leaving or removed, the
    balancer places the claim's keys, because a leaving server must get no new work.
    """

    servers: Mapping[ServerId, DesiredServer] = field(default_factory=dict)
    claims: tuple[Claim, ...] = ()

    def is_present(self, server_id: ServerId) -> bool:
        """Tell whether a server may own keys."""
        server = self.servers.get(server_id)
        return server is not None and server.state == ServerState.PRESENT

    def effective_claims(self) -> tuple[Claim, ...]:
        """Return the claims that take effect."""
        return tuple(claim for claim in self.claims if self.is_present(claim.server_id))

    def claim_of(self, number: int) -> Claim | None:
        """Return the claim on a key number that takes effect."""
        found = (claim for claim in self.effective_claims() if claim.first <= number <= claim.last)
        return next(found, None)


@dataclass(frozen=True)
class DesiredState:
    """Hold the state after the ticket with the given number."""

    number: TicketNumber = TicketNumber(0)
    services: Mapping[ServiceName, ServiceState] = field(default_factory=dict)

    def service(self, name: ServiceName) -> ServiceState:
        """Return the state of a service; one that no ticket touched is empty."""
        return self.services.get(name, ServiceState())


class _ServiceBuilder:
    """Collect the changes of many tickets without copying the state for each."""

    def __init__(self, state: ServiceState) -> None:
        self.servers = dict(state.servers)
        self.claims = list(state.claims)

    def put_server(self, item: ServerItem, number: TicketNumber) -> None:
        server_id = ServerId(item.server_id)
        self.servers[server_id] = DesiredServer(
            server_id, ServerState(item.state), item.address, item.failure_domain, number
        )

    def put_claim(self, item: KeyClaim, number: TicketNumber) -> None:
        item_id = claim_id(item)
        if item_id is None:
            return
        self.claims = _cut_out(self.claims, item_id.first, item_id.last)
        if item.server_id is not None:
            owner = ServerId(item.server_id)
            self.claims.append(Claim(item_id.first, item_id.last, owner, number))

    def build(self) -> ServiceState:
        claims = tuple(sorted(self.claims, key=lambda claim: claim.first))
        return ServiceState(dict(sorted(self.servers.items())), claims)


def apply_tickets(tickets: Iterable[Ticket], start: DesiredState | None = None) -> DesiredState:
    """Return the state after numbered tickets, whatever order they are given in.

    The last ticket that touches a server or a key number determines it.
    """
    state = start or DesiredState()
    builders = {name: _ServiceBuilder(service) for name, service in state.services.items()}
    number = state.number
    for ticket in sorted(tickets, key=lambda ticket: ticket.number):
        number = max(number, TicketNumber(ticket.number))
        for server in ticket.servers or []:
            _builder(builders, server.service_name).put_server(server, ticket.number)
        for claim in ticket.claims or []:
            _builder(builders, claim.service_name).put_claim(claim, ticket.number)
    return DesiredState(number, {name: builders[name].build() for name in sorted(builders)})


def _builder(builders: dict[ServiceName, _ServiceBuilder], name: str) -> _ServiceBuilder:
    return builders.setdefault(ServiceName(name), _ServiceBuilder(ServiceState()))


def _cut_out(claims: list[Claim], first: int, last: int) -> list[Claim]:
    """Take a range of key numbers out of the claims."""
    kept: list[Claim] = []
    for entry in claims:
        if entry.first < first:
            kept.append(replace(entry, last=min(entry.last, first - 1)))
        if entry.last > last:
            kept.append(replace(entry, first=max(entry.first, last + 1)))
    return kept
