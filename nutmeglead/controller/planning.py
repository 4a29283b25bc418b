"""Build the planner's request from the table's pages, the desired state and the leases."""

from array import array
from collections.abc import Mapping
from dataclasses import dataclass, field

from nutmeglead._generated.common.ttypes import UnitKind
from nutmeglead._generated.settings.ttypes import ServiceSettings
from nutmeglead._generated.tickets.ttypes import ServerState
from nutmeglead.controller.leases import ServerLease
from nutmeglead.controller.placer import PagePlacer
from nutmeglead.core.ids import FailureDomainName, ServerId
from nutmeglead.ownership.units import UnitRecord
from nutmeglead.placement.load import UNKNOWN_AGE_MS
from nutmeglead.placement.model import (
    NO_OWNER,
    BucketClaim,
    LoadSnapshot,
    Pin,
    Placement,
    PlanRequest,
    ServerInfo,
    ServerStatus,
    Unit,
)
from nutmeglead.tickets.state import ServiceState

__all__ = ["PlanInput", "build_request", "empty_load"]


@dataclass
class PlanInput:
    """Hold what the planner depends on besides pages and leases."""

    desired: ServiceState = field(default_factory=ServiceState)
    load: LoadSnapshot | None = None
    present_since_ms: dict[ServerId, int] = field(default_factory=dict)
    recently_moved: frozenset[Unit] = frozenset()
    # Servers whose VMs the platform reports as leaving, ahead of any ticket.
    leaving_vms: frozenset[ServerId] = frozenset()


def empty_load(hash_buckets: int) -> LoadSnapshot:
    """Return a load snapshot without any measured request."""
    return LoadSnapshot(array("d", bytes(8 * hash_buckets)), age_ms=UNKNOWN_AGE_MS)


def build_request(
    settings: ServiceSettings,
    placer: PagePlacer,
    leases: Mapping[ServerId, ServerLease],
    plan_input: PlanInput,
    now_ms: int,
) -> PlanRequest:
    """Return the request for one call of the planner."""
    servers = _servers(placer, leases, plan_input)
    index = {server.server_id: position for position, server in enumerate(servers)}
    claims = plan_input.desired
    return PlanRequest(
        servers=servers,
        placement=_placement(placer, index),
        load=plan_input.load or empty_load(placer.hash_buckets),
        settings=settings.placement,
        now_ms=now_ms,
        bucket_claims=[BucketClaim(b.first, b.last, b.claim.server_id) for b in claims.buckets],
        pin_claims=_pin_claims(claims),
        recently_moved=plan_input.recently_moved,
    )


def _servers(
    placer: PagePlacer, leases: Mapping[ServerId, ServerLease], plan_input: PlanInput
) -> list[ServerInfo]:
    """List the servers that own units or may own some.

    A server that owns units stays listed even when no ticket names it; left out, its units would
    count as having no owner and would not wait for its release.
    """
    owners = placer.owners()
    infos = []
    for server_id in sorted(owners | set(plan_input.desired.servers)):
        status = _status(server_id, leases.get(server_id), plan_input, owners)
        if status is None:
            continue
        server = plan_input.desired.servers.get(server_id)
        domain = server.failure_domain if server and server.failure_domain else ""
        infos.append(
            ServerInfo(
                server_id=server_id,
                failure_domain=FailureDomainName(domain),
                status=status,
                weight=server.weight if server else 1.0,
                present_since_ms=plan_input.present_since_ms.get(server_id),
            )
        )
    return infos


def _status(
    server_id: ServerId,
    lease: ServerLease | None,
    plan_input: PlanInput,
    owners: set[ServerId],
) -> ServerStatus | None:
    """Return the server's status, or None if it neither owns units nor may own some."""
    is_owner = server_id in owners
    if lease is not None and lease.is_lost:
        return ServerStatus.LOST if is_owner else None
    server = plan_input.desired.servers.get(server_id)
    is_present = server is not None and server.state == ServerState.PRESENT
    if not is_present or server_id in plan_input.leaving_vms:
        return ServerStatus.LEAVING if is_owner else None
    if is_owner or (lease is not None and lease.is_confirmed):
        return ServerStatus.PRESENT
    return None


def _placement(placer: PagePlacer, index: Mapping[ServerId, int]) -> Placement:
    owners = placer.unit_map.bucket_owners(index, NO_OWNER)
    return Placement(owners, dict(_pin_owner(r, index) for r in placer.unit_map.pins()))


def _pin_owner(record: UnitRecord, index: Mapping[ServerId, int]) -> tuple[Pin, int]:
    owner = NO_OWNER if record.owner is None else index.get(record.owner, NO_OWNER)
    return Pin(record.unit.kind, record.unit.key), owner


def _pin_claims(desired: ServiceState) -> dict[Pin, ServerId]:
    claims = {Pin(UnitKind.EXACT, key): c.server_id for key, c in desired.exact.items()}
    claims |= {Pin(UnitKind.PREFIX, key): c.server_id for key, c in desired.prefixes.items()}
    return claims
