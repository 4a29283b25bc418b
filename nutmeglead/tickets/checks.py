"""Find the faults of a ticket."""

import re
from collections.abc import Callable, Iterable, Iterator, Mapping

from result import Err, Ok, Result

from nutmeglead._generated.settings.ttypes import ServiceSettings, Settings
from nutmeglead._generated.tickets.ttypes import KeyClaim, ServerItem, ServerState, Ticket
from nutmeglead.core.registry import Registry
from nutmeglead.settings.checks import check_ip
from nutmeglead.settings.errors import Fault, describe_value
from nutmeglead.settings.loader import load_struct
from nutmeglead.settings.ranges import NAME_PATTERN
from nutmeglead.tickets.errors import TicketFaults
from nutmeglead.tickets.items import BucketItem, ServerItemId, claim_id, overlaps, touched_items

__all__ = ["MAX_ITEMS", "TICKET_CHECKS", "check_claimed_servers", "check_ticket", "load_ticket"]

# One ticket is one transaction with a row per item. The table service takes several hundred writes
# per second in all, so a larger ticket would hold up the writes of moves.
MAX_ITEMS = 256
# Row keys hold the percent-encoded key, which is up to three times as long.
MAX_KEY_BYTES = 512
MAX_WEIGHT = 100
FILING_ID_PATTERN = "[A-Za-z0-9][A-Za-z0-9._-]{0,127}"

Check = Callable[[Ticket, Settings], Iterable[Fault]]

TICKET_CHECKS: Registry[Check] = Registry("ticket checks")


def load_ticket(text: str, settings: Settings, source: str) -> Result[Ticket, TicketFaults]:
    """Return a ticket from JSON with comments, or all its faults."""
    loaded = load_struct(text, Ticket, source)
    if isinstance(loaded, Err):
        return Err(TicketFaults(source, loaded.err_value.faults))
    faults = check_ticket(loaded.ok_value, settings)
    return Err(TicketFaults(source, faults)) if faults else Ok(loaded.ok_value)


def check_ticket(ticket: Ticket, settings: Settings) -> tuple[Fault, ...]:
    """Return the faults that the ticket and the settings alone show, in order of path."""
    faults: list[Fault] = []
    for name in TICKET_CHECKS.names():
        faults += TICKET_CHECKS.get(name)(ticket, settings)
    return tuple(sorted(faults, key=lambda fault: fault.path))


def check_claimed_servers(
    ticket: Ticket, head_servers: Mapping[ServerItemId, ServerState]
) -> tuple[Fault, ...]:
    """Return a fault for each claim whose server is not present after the ticket.

    `head_servers` holds the state at the head of the servers that the claims name.
    """
    states = dict(head_servers)
    for server in ticket.servers or []:
        states[ServerItemId(server.service_name, server.server_id)] = server.state
    faults: list[Fault] = []
    for position, claim in enumerate(ticket.claims or []):
        if claim.server_id is None:
            continue
        state = states.get(ServerItemId(claim.service_name, claim.server_id))
        if state != ServerState.PRESENT:
            found = "an unknown" if state is None else f"a {ServerState(state).name.lower()}"
            got = f"{found} server {describe_value(claim.server_id)}"
            faults.append(Fault(f"claims[{position}].server_id", "a present server", got))
    return tuple(faults)


def _services(settings: Settings) -> dict[str, ServiceSettings]:
    return {service.name: service for service in settings.services}


@TICKET_CHECKS.register("header")
def _check_header(ticket: Ticket, settings: Settings) -> Iterator[Fault]:
    if ticket.number is not None:
        yield Fault("number", "no number before the ticket is filed", str(ticket.number))
    if not re.fullmatch(FILING_ID_PATTERN, ticket.filing_id):
        expected = f"an id of the form {FILING_ID_PATTERN}"
        yield Fault("filing_id", expected, describe_value(ticket.filing_id))
    if ticket.base_number < 0:
        yield Fault("base_number", "the number of a ticket, or 0", str(ticket.base_number))
    if not ticket.filed_by:
        yield Fault("filed_by", "the operator's name", describe_value(ticket.filed_by))


@TICKET_CHECKS.register("size")
def _check_size(ticket: Ticket, settings: Settings) -> Iterator[Fault]:
    count = len(ticket.servers or []) + len(ticket.claims or [])
    if not 1 <= count <= MAX_ITEMS:
        expected = f"from 1 to {MAX_ITEMS} servers and claims"
        yield Fault("", expected, str(count))


@TICKET_CHECKS.register("services")
def _check_services(ticket: Ticket, settings: Settings) -> Iterator[Fault]:
    known = _services(settings)
    items = [(f"servers[{n}]", item.service_name) for n, item in enumerate(ticket.servers or [])]
    items += [(f"claims[{n}]", item.service_name) for n, item in enumerate(ticket.claims or [])]
    for path, name in items:
        if name not in known:
            expected = "one of " + ", ".join(known)
            yield Fault(f"{path}.service_name", expected, describe_value(name))


@TICKET_CHECKS.register("servers")
def _check_servers(ticket: Ticket, settings: Settings) -> Iterator[Fault]:
    domains = [domain.name for domain in settings.failure_domains]
    for position, server in enumerate(ticket.servers or []):
        yield from _check_server(server, f"servers[{position}]", domains)


def _check_server(server: ServerItem, path: str, domains: list[str]) -> Iterator[Fault]:
    if not re.fullmatch(NAME_PATTERN, server.server_id):
        expected = f"a name of the form {NAME_PATTERN}"
        yield Fault(f"{path}.server_id", expected, describe_value(server.server_id))
    if not 0 < server.weight <= MAX_WEIGHT:
        expected = f"a number above 0 and up to {MAX_WEIGHT}"
        yield Fault(f"{path}.weight", expected, describe_value(server.weight))
    # A leaving server still needs its address, because its keys are released by message.
    if server.state != ServerState.REMOVED:
        yield from _check_place(server, path, domains)


def _check_place(server: ServerItem, path: str, domains: list[str]) -> Iterator[Fault]:
    if server.failure_domain not in domains:
        expected = "one of " + ", ".join(domains)
        yield Fault(f"{path}.failure_domain", expected, describe_value(server.failure_domain))
    if server.address is None:
        yield Fault(f"{path}.address", "an object", "no such field")
        return
    yield from check_ip(server.address.ip, f"{path}.address.ip")
    if not 1 <= server.address.port <= 65_535:
        expected = "a whole number from 1 to 65 535"
        yield Fault(f"{path}.address.port", expected, str(server.address.port))


@TICKET_CHECKS.register("addresses")
def _check_addresses(ticket: Ticket, settings: Settings) -> Iterator[Fault]:
    """One process under two server ids would hold two leases for the same keys."""
    first_use: dict[tuple[str, int], str] = {}
    for position, server in enumerate(ticket.servers or []):
        if server.address is None or server.state == ServerState.REMOVED:
            continue
        place = (server.address.ip, server.address.port)
        path = f"servers[{position}].address"
        if place in first_use:
            expected = f"an address other than that of {first_use[place]}"
            yield Fault(path, expected, f"{place[0]}:{place[1]}")
        first_use.setdefault(place, f"servers[{position}]")


@TICKET_CHECKS.register("claims")
def _check_claims(ticket: Ticket, settings: Settings) -> Iterator[Fault]:
    services = _services(settings)
    for position, claim in enumerate(ticket.claims or []):
        path = f"claims[{position}]"
        item_id = claim_id(claim)
        if item_id is None:
            expected = "exactly one of key, prefix, and first_bucket with last_bucket"
            yield Fault(path, expected, _given_forms(claim))
        elif not isinstance(item_id, BucketItem):
            yield from _check_key(claim, path)
        elif claim.service_name in services:
            yield from _check_buckets(item_id, path, services[claim.service_name].hash_buckets)


def _given_forms(claim: KeyClaim) -> str:
    names = ("key", "prefix", "first_bucket", "last_bucket")
    given = [name for name in names if getattr(claim, name) is not None]
    return " and ".join(given) or "none of them"


def _check_key(claim: KeyClaim, path: str) -> Iterator[Fault]:
    name = "key" if claim.key is not None else "prefix"
    size_bytes = len(getattr(claim, name).encode("utf-8", errors="surrogatepass"))
    if not 1 <= size_bytes <= MAX_KEY_BYTES:
        yield Fault(f"{path}.{name}", f"from 1 to {MAX_KEY_BYTES} bytes", f"{size_bytes} bytes")


def _check_buckets(item_id: BucketItem, path: str, hash_buckets: int) -> Iterator[Fault]:
    if not 0 <= item_id.first < hash_buckets:
        expected = f"a bucket from 0 to {hash_buckets - 1}"
        yield Fault(f"{path}.first_bucket", expected, str(item_id.first))
    if not item_id.first <= item_id.last < hash_buckets:
        expected = f"a bucket from first_bucket ({item_id.first}) to {hash_buckets - 1}"
        yield Fault(f"{path}.last_bucket", expected, str(item_id.last))


@TICKET_CHECKS.register("overlaps")
def _check_overlaps(ticket: Ticket, settings: Settings) -> Iterator[Fault]:
    """Two items about the same keys or server would make the result depend on their order.

    A key and a covering prefix do not: the more specific claim applies.
    """
    items = touched_items(ticket)
    for position, item in enumerate(items):
        for earlier in items[:position]:
            same_kind = type(earlier.item_id) is type(item.item_id)
            is_range = isinstance(item.item_id, BucketItem)
            if earlier.item_id == item.item_id or (
                same_kind and is_range and overlaps(earlier.item_id, item.item_id)
            ):
                expected = f"an item that does not overlap {earlier.path}"
                yield Fault(item.path, expected, str(item.item_id))
