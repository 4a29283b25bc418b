"""Fold tickets into the desired state of each service."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace

from nutmeglead._generated.common.ttypes import Address
from nutmeglead._generated.tickets.ttypes import KeyClaim, ServerItem, ServerState, Ticket
from nutmeglead.core.ids import FailureDomainName, ServerId, ServiceName, TicketNumber
from nutmeglead.tickets.items import BucketItem, ExactItem, PrefixItem, claim_id

__all__ = ["BucketClaim", "Claim", "DesiredServer", "DesiredState", "ServiceState", "fold"]


@dataclass(frozen=True)
class DesiredServer:
    """Hold the state of a server that the last ticket touching it gave."""

    server_id: ServerId
    state: ServerState
    address: Address | None
    failure_domain: FailureDomainName | None
    weight: float
    ticket_number: TicketNumber


@dataclass(frozen=True)
class Claim:
    """Assign keys to a server since a ticket."""

    server_id: ServerId
    ticket_number: TicketNumber


@dataclass(frozen=True)
class BucketClaim:
    """Assign the buckets `first` to `last`, both included, to a server."""

    first: int
    last: int
    claim: Claim


@dataclass(frozen=True)
class ServiceState:
    """Hold the servers and claims of one service.

    A claim takes effect while its server is PRESENT. While the server is leaving or removed, the
    placement policy places the claim's keys, because a leaving server must get no new work.
    """

    servers: Mapping[ServerId, DesiredServer] = field(default_factory=dict)
    exact: Mapping[str, Claim] = field(default_factory=dict)
    prefixes: Mapping[str, Claim] = field(default_factory=dict)
    buckets: tuple[BucketClaim, ...] = ()

    def is_present(self, server_id: ServerId) -> bool:
        """Tell whether a server may own keys."""
        server = self.servers.get(server_id)
        return server is not None and server.state == ServerState.PRESENT

    def effective(self) -> "ServiceState":
        """Return the state with only the claims that take effect."""
        return replace(
            self,
            exact=self._present_claims(self.exact),
            prefixes=self._present_claims(self.prefixes),
            buckets=tuple(b for b in self.buckets if self.is_present(b.claim.server_id)),
        )

    def claim_of(self, key: str, bucket: int) -> Claim | None:
        """Return the most specific claim on a key that takes effect."""
        candidates = [self.exact.get(key)]
        candidates += [self.prefixes.get(key[:end]) for end in range(len(key), 0, -1)]
        candidates += [b.claim for b in self.buckets if b.first <= bucket <= b.last]
        for claim in candidates:
            if claim is not None and self.is_present(claim.server_id):
                return claim
        return None

    def _present_claims(self, claims: Mapping[str, Claim]) -> dict[str, Claim]:
        return {key: claim for key, claim in claims.items() if self.is_present(claim.server_id)}


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
        self.exact = dict(state.exact)
        self.prefixes = dict(state.prefixes)
        self.buckets = list(state.buckets)

    def put_server(self, item: ServerItem, number: TicketNumber) -> None:
        server_id = ServerId(item.server_id)
        self.servers[server_id] = DesiredServer(
            server_id,
            ServerState(item.state),
            item.address,
            item.failure_domain,
            item.weight,
            number,
        )

    def put_claim(self, item: KeyClaim, number: TicketNumber) -> None:
        claim = None if item.server_id is None else Claim(ServerId(item.server_id), number)
        item_id = claim_id(item)
        if isinstance(item_id, ExactItem):
            _put(self.exact, item_id.key, claim)
        elif isinstance(item_id, PrefixItem):
            _put(self.prefixes, item_id.prefix, claim)
        elif isinstance(item_id, BucketItem):
            self.buckets = _overlay(self.buckets, item_id.first, item_id.last, claim)

    def build(self) -> ServiceState:
        buckets = tuple(sorted(self.buckets, key=lambda entry: entry.first))
        return ServiceState(
            dict(sorted(self.servers.items())),
            dict(sorted(self.exact.items())),
            dict(sorted(self.prefixes.items())),
            buckets,
        )


def fold(tickets: Iterable[Ticket], start: DesiredState | None = None) -> DesiredState:
    """Return the state after numbered tickets, whatever order they are given in.

    The last ticket that touches an item determines it.
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


def _put(claims: dict[str, Claim], key: str, claim: Claim | None) -> None:
    if claim is None:
        claims.pop(key, None)
    else:
        claims[key] = claim


def _overlay(
    claims: list[BucketClaim], first: int, last: int, claim: Claim | None
) -> list[BucketClaim]:
    """Cut a range out of the claims and put a new claim, if any, in its place."""
    kept: list[BucketClaim] = []
    for entry in claims:
        if entry.first < first:
            kept.append(replace(entry, last=min(entry.last, first - 1)))
        if entry.last > last:
            kept.append(replace(entry, first=max(entry.first, last + 1)))
    if claim is not None:
        kept.append(BucketClaim(first, last, claim))
    return kept
