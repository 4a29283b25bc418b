"""Apply tickets to get the desired state of each service."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace

from nutmeglead._generated.common.ttypes import Address
from nutmeglead._generated.tickets.ttypes import KeyClaim, ServerItem, ServerState, Ticket
from nutmeglead.core.ids import FailureDomainName, ServerId, ServiceName, TicketNumber
from nutmeglead.tickets.items import claim_item_id

__all__ = ["Claim", "DesiredServer", "DesiredState", "ServiceState", "apply_tickets"]


@dataclass(frozen=True)
class DesiredServer:
    """Hold a server as the last ticket that touched it, `ticket_number`, describes it."""

    server_id: ServerId
    state: ServerState
    address: Address | None
    failure_domain: FailureDomainName | None
    ticket_number: TicketNumber


@dataclass(frozen=True)
class Claim:
    """Assign the key numbers `first` to `last`, both included, to a server by a ticket."""

    first: int
    last: int
    server_id: ServerId
    ticket_number: TicketNumber


@dataclass(frozen=True)
class ServiceState:
    """Hold the servers and claims of one service; claims do not overlap and are sorted by `first`.

    A claim takes effect while its server is PRESENT. While the server is LEAVING or REMOVED, the
    balancer assigns the claimed keys, because a leaving server must get no new work.
    """

    servers: Mapping[ServerId, DesiredServer] = field(default_factory=dict)
    claims: tuple[Claim, ...] = ()

    def is_present(self, server_id: ServerId) -> bool:
        """Return whether a server is in the state PRESENT, in which it may own keys."""
        server = self.servers.get(server_id)
        return server is not None and server.state == ServerState.PRESENT

    def effective_claims(self) -> tuple[Claim, ...]:
        """Return the claims whose server is present."""
        return tuple(claim for claim in self.claims if self.is_present(claim.server_id))

    def claim_of(self, number: int) -> Claim | None:
        """Return the effective claim that covers a key number, or None."""
        matching = (
            claim for claim in self.effective_claims() if claim.first <= number <= claim.last
        )
        return next(matching, None)


@dataclass(frozen=True)
class DesiredState:
    """Hold the state of all services after the ticket `number`; 0 is the state before any."""

    number: TicketNumber = TicketNumber(0)
    services: Mapping[ServiceName, ServiceState] = field(default_factory=dict)

    def service(self, name: ServiceName) -> ServiceState:
        """Return the state of a service; one that no ticket touched is empty."""
        return self.services.get(name, ServiceState())


class _ServiceBuilder:
    """Apply the items of many tickets to one service without copying its state for each ticket."""

    def __init__(self, state: ServiceState) -> None:
        self.servers = dict(state.servers)
        self.claims = list(state.claims)

    def put_server(self, item: ServerItem, number: TicketNumber) -> None:
        """Replace the server with the state that ticket `number` gives it."""
        server_id = ServerId(item.server_id)
        self.servers[server_id] = DesiredServer(
            server_id, ServerState(item.state), item.address, item.failure_domain, number
        )

    def put_claim(self, item: KeyClaim, number: TicketNumber) -> None:
        """Replace the claims on the same key numbers; a claim without a server only removes them.

        A malformed claim changes nothing.
        """
        key_range = claim_item_id(item)
        if key_range is None:
            return
        self.claims = _remove_key_range(self.claims, key_range.first, key_range.last)
        if item.server_id is not None:
            owner = ServerId(item.server_id)
            self.claims.append(Claim(key_range.first, key_range.last, owner, number))

    def build(self) -> ServiceState:
        """Return the state with servers sorted by id and claims by first key number."""
        claims = tuple(sorted(self.claims, key=lambda claim: claim.first))
        return ServiceState(dict(sorted(self.servers.items())), claims)


def apply_tickets(
    tickets: Iterable[Ticket], initial_state: DesiredState | None = None
) -> DesiredState:
    """Return the state after numbered tickets, which may be given in any order.

    The ticket with the highest number that touches a server or a key number determines it. The
    tickets are applied on top of `initial_state`, by default the empty state.
    """
    state = initial_state or DesiredState()
    builders = {name: _ServiceBuilder(service) for name, service in state.services.items()}
    number = state.number
    for ticket in sorted(tickets, key=lambda ticket: ticket.number):
        number = max(number, TicketNumber(ticket.number))
        for server in ticket.servers or []:
            _get_builder(builders, server.service_name).put_server(server, ticket.number)
        for claim in ticket.claims or []:
            _get_builder(builders, claim.service_name).put_claim(claim, ticket.number)
    return DesiredState(number, {name: builders[name].build() for name in sorted(builders)})


def _get_builder(builders: dict[ServiceName, _ServiceBuilder], name: str) -> _ServiceBuilder:
    return builders.setdefault(ServiceName(name), _ServiceBuilder(ServiceState()))


def _remove_key_range(claims: list[Claim], first: int, last: int) -> list[Claim]:
    """Return the claims without the key numbers `first` to `last`; a claim around them is split."""
    kept: list[Claim] = []
    for claim in claims:
        if claim.first < first:
            kept.append(replace(claim, last=min(claim.last, first - 1)))
        if claim.last > last:
            kept.append(replace(claim, first=max(claim.first, last + 1)))
    return kept
