"""Build tickets and load example settings for the scenarios about tickets."""

import asyncio
from pathlib import Path

from result import Err

from nutmeglead._generated.common.ttypes import Address
from nutmeglead._generated.tickets.ttypes import KeyClaim, ServerItem, ServerState, Ticket
from nutmeglead.settings.loader import load_settings

EXAMPLES = Path(__file__).parents[3] / "examples"
SETTINGS = load_settings(EXAMPLES / "brunner" / "halle-a.jsonc").unwrap()


def server(server_id, state=ServerState.PRESENT, service="lagerblick", **fields):
    number = int(server_id.rpartition("-")[2])
    address = Address(ip=f"10.20.1.{number}", port=9000)
    location = {"address": address, "failure_domain": "halle-a"} | fields
    return ServerItem(service_name=service, server_id=server_id, state=state, **location)


def claim(server_id, service="lagerblick", **form):
    return KeyClaim(service_name=service, server_id=server_id, **form)


def ticket(filing_id, base=0, servers=(), claims=(), number=None):
    return Ticket(
        filing_id=filing_id,
        base_number=base,
        filed_by="operator@example",
        servers=list(servers),
        claims=list(claims),
        number=number,
    )


def parse_item(text):
    """Return `(servers, claims)` of one item.

    Its forms are `server lb-01 leaving`, `key k for lb-01`, `key k for balancer`, which returns the
    key to the balancer, and `numbers 0-9`. The name of a service may come first.
    """
    words = text.split()
    service = "lagerblick"
    if words[0] in ("catalog", "schnittauftrag"):
        service = words.pop(0)
    if words[0] == "server":
        state = ServerState[words[2].upper()] if len(words) > 2 else ServerState.PRESENT
        return [server(words[1], state, service)], []
    target = words[3] if len(words) > 3 else "lb-01"
    owner = None if target == "balancer" else target
    if words[0] == "numbers":
        first, last = (int(part) for part in words[1].split("-"))
        return [], [claim(owner, service, first_number=first, last_number=last)]
    return [], [claim(owner, service, **{words[0]: words[1]})]


def parse_items(text):
    """Return the fields `servers` and `claims` of items separated by `; `."""
    servers, claims = [], []
    for part in text.split("; "):
        more_servers, more_claims = parse_item(part)
        servers += more_servers
        claims += more_claims
    return {"servers": servers, "claims": claims}


def run(coroutine):
    return asyncio.run(coroutine)


def name_result(result):
    """Return `number N` for an accepted ticket, or the name of the error class."""
    if isinstance(result, Err):
        return type(result.err_value).__name__
    return f"number {result.ok_value.number}"
