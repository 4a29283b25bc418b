"""Check the fields of a ticket, alone and against the servers of earlier tickets."""

import re
from collections.abc import Callable, Iterable, Iterator, Mapping

from result import Err, Ok, Result

from nutmeglead._generated.settings.ttypes import ServiceSettings, Settings
from nutmeglead._generated.tickets.ttypes import KeyClaim, ServerItem, ServerState, Ticket
from nutmeglead.core.registry import Registry
from nutmeglead.ranges.keys import KEY_COUNT
from nutmeglead.settings.checks import check_ip
from nutmeglead.settings.errors import Fault, describe_value
from nutmeglead.settings.loader import load_struct
from nutmeglead.settings.ranges import NAME_PATTERN
from nutmeglead.tickets.errors import TicketFaults
from nutmeglead.tickets.items import (
    KeyRangeItemId,
    ServerItemId,
    claim_item_id,
    overlaps,
    touched_items,
)

__all__ = [
    "MAX_ITEMS",
    "TICKET_CHECKS",
    "check_claimed_servers",
    "check_server_changes",
    "check_ticket",
    "load_ticket",
]

# A ticket is filed in one transaction, and the store takes 100 entries in a transaction. Each item
# needs one entry and the rest of the ticket six: checks and writes of three rows (see filing.py).
MAX_ITEMS = 90
MAX_KEY_BYTES = 512
FILING_ID_PATTERN = "[A-Za-z0-9][A-Za-z0-9._-]{0,127}"

# A check yields the faults that it finds in the ticket.
TicketCheck = Callable[[Ticket, Settings], Iterable[Fault]]

TICKET_CHECKS: Registry[TicketCheck] = Registry("ticket checks")


def load_ticket(text: str, settings: Settings, source: str) -> Result[Ticket, TicketFaults]:
    """Parse a ticket from JSON with comments and check it.

    Return the ticket, or all its faults under the name `source`.
    """
    loaded = load_struct(text, Ticket, source)
    if isinstance(loaded, Err):
        return Err(TicketFaults(source, loaded.err_value.faults))
    faults = check_ticket(loaded.ok_value, settings)
    return Err(TicketFaults(source, faults)) if faults else Ok(loaded.ok_value)


def check_ticket(ticket: Ticket, settings: Settings) -> tuple[Fault, ...]:
    """Return the faults found from the ticket and the settings alone, sorted by path."""
    faults: list[Fault] = []
    for name in TICKET_CHECKS.names():
        faults += TICKET_CHECKS.get(name)(ticket, settings)
    return tuple(sorted(faults, key=lambda fault: fault.path))


def check_claimed_servers(
    ticket: Ticket, head_servers: Mapping[ServerItemId, ServerState]
) -> tuple[Fault, ...]:
    """Return a fault for each claim whose server is not present once the ticket is applied.

    `head_servers` holds the states, at the head, of the servers that the claims name.
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


def check_server_changes(
    ticket: Ticket, head_servers: Mapping[ServerItemId, ServerItem]
) -> tuple[Fault, ...]:
    """Return a fault for each server with a new address or with the id of a removed server.

    A process at another address under the same id would be taken for the one that holds the keys.
    `head_servers` holds the servers at the head that the ticket names.
    """
    faults: list[Fault] = []
    for position, server in enumerate(ticket.servers or []):
        known = head_servers.get(ServerItemId(server.service_name, server.server_id))
        if known is None or server.state == ServerState.REMOVED:
            continue
        if known.state == ServerState.REMOVED:
            got = f"the id of the removed server {describe_value(server.server_id)}"
            faults.append(Fault(f"servers[{position}].server_id", "a new id", got))
        elif known.address != server.address:
            expected = f"the address {known.address.ip}:{known.address.port}"
            got = f"{server.address.ip}:{server.address.port}"
            faults.append(Fault(f"servers[{position}].address", expected, got))
    return tuple(faults)


def _services_by_name(settings: Settings) -> dict[str, ServiceSettings]:
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
    known = _services_by_name(settings)
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
    # A leaving server still needs its address: the messages that release its keys are sent there.
    if server.state != ServerState.REMOVED:
        yield from _check_location(server, path, domains)


def _check_location(server: ServerItem, path: str, domains: list[str]) -> Iterator[Fault]:
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
    """Yield a fault for each address that an earlier server of the ticket has.

    One process under two server ids would get two holds on the same keys.
    """
    first_use: dict[tuple[str, int], str] = {}
    for position, server in enumerate(ticket.servers or []):
        if server.address is None or server.state == ServerState.REMOVED:
            continue
        endpoint = (server.address.ip, server.address.port)
        path = f"servers[{position}].address"
        if endpoint in first_use:
            expected = f"an address other than that of {first_use[endpoint]}"
            yield Fault(path, expected, f"{endpoint[0]}:{endpoint[1]}")
        first_use.setdefault(endpoint, f"servers[{position}]")


@TICKET_CHECKS.register("claims")
def _check_claims(ticket: Ticket, settings: Settings) -> Iterator[Fault]:
    for position, claim in enumerate(ticket.claims or []):
        path = f"claims[{position}]"
        item_id = claim_item_id(claim)
        if item_id is None:
            expected = "either key, or first_number with last_number"
            yield Fault(path, expected, _describe_given_fields(claim))
        elif claim.key is not None:
            yield from _check_key(claim.key, path)
        else:
            yield from _check_key_numbers(item_id, path)


def _describe_given_fields(claim: KeyClaim) -> str:
    names = ("key", "first_number", "last_number")
    given = [name for name in names if getattr(claim, name) is not None]
    return " and ".join(given) or "none of them"


def _check_key(key: str, path: str) -> Iterator[Fault]:
    size_bytes = len(key.encode("utf-8", errors="surrogatepass"))
    if not 1 <= size_bytes <= MAX_KEY_BYTES:
        yield Fault(f"{path}.key", f"from 1 to {MAX_KEY_BYTES} bytes", f"{size_bytes} bytes")


def _check_key_numbers(item_id: KeyRangeItemId, path: str) -> Iterator[Fault]:
    if not 0 <= item_id.first < KEY_COUNT:
        expected = f"a key number from 0 to {KEY_COUNT - 1}"
        yield Fault(f"{path}.first_number", expected, str(item_id.first))
    if not item_id.first <= item_id.last < KEY_COUNT:
        expected = f"a key number from first_number ({item_id.first}) to {KEY_COUNT - 1}"
        yield Fault(f"{path}.last_number", expected, str(item_id.last))


@TICKET_CHECKS.register("overlaps")
def _check_overlaps(ticket: Ticket, settings: Settings) -> Iterator[Fault]:
    """Yield a fault for each pair of items that concern the same keys or the same server.

    With such a pair, the desired state would depend on the order of the items.
    """
    items = touched_items(ticket)
    for position, item in enumerate(items):
        for earlier in items[:position]:
            if overlaps(earlier.item_id, item.item_id):
                expected = f"an item that does not overlap {earlier.path}"
                yield Fault(item.path, expected, str(item.item_id))
