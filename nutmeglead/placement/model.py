"""Describe the planner's input and output."""

from __future__ import annotations

from array import array
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple, TypeAlias

from nutmeglead._generated.common.ttypes import UnitId, UnitKind
from nutmeglead._generated.settings.ttypes import PlacementSettings
from nutmeglead.core.ids import FailureDomainName, ServerId

__all__ = [
    "NO_OWNER",
    "BucketClaim",
    "HotKey",
    "LoadSnapshot",
    "Move",
    "MoveBudget",
    "MoveReason",
    "Pin",
    "Placement",
    "Plan",
    "PlanRequest",
    "ServerInfo",
    "ServerStatus",
    "Unit",
    "UnmetClaim",
    "UnmetReason",
    "unit_id",
]

# Owner index of a unit without an owner; the same number stands for it in PlacementPage.owners.
NO_OWNER = -1


class ServerStatus(Enum):
    """Tell whether a server may own units."""

    PRESENT = "present"
    LEAVING = "leaving"
    LOST = "lost"


@dataclass(frozen=True, slots=True)
class ServerInfo:
    """Describe a server; `weight` is its relative capacity."""

    server_id: ServerId
    failure_domain: FailureDomainName
    status: ServerStatus = ServerStatus.PRESENT
    weight: float = 1.0
    # On the clock of PlanRequest.now_ms; None means that its cold start is long over.
    present_since_ms: int | None = None


class Pin(NamedTuple):
    """Name a unit apart from the hash buckets: one key (EXACT) or all keys of a PREFIX."""

    kind: UnitKind
    key: str


# A hash bucket is its number: 400,000 bucket objects would not fit in a controller's memory.
Unit: TypeAlias = int | Pin


def unit_id(unit: Unit) -> UnitId:
    """Return the unit as it stands in messages."""
    if isinstance(unit, Pin):
        return UnitId(kind=unit.kind, key=unit.key)
    return UnitId(kind=UnitKind.HASH_BUCKET, bucket=unit)


@dataclass(slots=True)
class Placement:
    """Hold owners as indexes into PlanRequest.servers; `bucket_owners` is an array of type 'i'."""

    bucket_owners: array[int]
    pins: dict[Pin, int] = field(default_factory=dict)


class HotKey(NamedTuple):
    """Hold the measured rate of a single key."""

    key: str
    requests_per_s: float


@dataclass(slots=True)
class LoadSnapshot:
    """Hold measured load in requests/s; `bucket_rates` is an array of type 'd'.

    A pinned key's requests count for its pin and not for its bucket. A hot key that is not pinned
    counts both in `hot_keys` and in its bucket.
    """

    bucket_rates: array[float]
    pin_rates: Mapping[Pin, float] = field(default_factory=dict)
    hot_keys: Sequence[HotKey] = ()
    age_ms: int = 0


class BucketClaim(NamedTuple):
    """Hold a ticket's claim on the buckets `first` to `last`, both included."""

    first: int
    last: int
    server_id: ServerId


@dataclass(frozen=True, slots=True)
class MoveBudget:
    """Bound the moves of one round; moves away from lost servers are not bounded.

    Moves for tickets and of units without an owner have their own bound, so that rebalancing cannot
    delay a ticket. The default is 225 page writes (75 writes/s for 3 s) of 256 units.
    """

    policy_moves: int
    ticket_moves: int = 57_600


@dataclass(slots=True)
class PlanRequest:
    """Hold all that a plan depends on.

    Owner indexes that are not in `servers` count as no owner. `bucket_claims` is ordered by
    ticket number: the last claim on a bucket applies. `recently_moved` names units that the
    caller moved for IMBALANCE or HOT_KEY_PINNED in the last few rounds; only tickets and losses
    move them again. Rates older than three rounds (`LoadSnapshot.age_ms`) move nothing by
    themselves.
    """

    servers: Sequence[ServerInfo]
    placement: Placement
    load: LoadSnapshot
    settings: PlacementSettings
    now_ms: int
    bucket_claims: Sequence[BucketClaim] = ()
    pin_claims: Mapping[Pin, ServerId] = field(default_factory=dict)
    recently_moved: frozenset[Unit] = frozenset()
    # None takes max_moves_per_round from the settings.
    budget: MoveBudget | None = None


class MoveReason(Enum):
    """Give the reason of a move; the number is its urgency, the lowest first."""

    SERVER_LOST = 1
    # The unit has no owner yet, as on the first start of a service.
    UNOWNED = 2
    # A ticket claims the unit, or withdrew its claim on a prefix, whose pin is then removed.
    TICKET_CLAIM = 3
    SERVER_LEAVING = 4
    IMBALANCE = 5
    HOT_KEY_PINNED = 6
    PIN_REMOVED = 7


@dataclass(frozen=True, slots=True)
class Move:
    """Change a unit's owner.

    The moves of a plan are consistent when applied in order. `from_server` is None if the unit had
    no owner. For a new EXACT pin it is the owner of the unit that held the key before; for a new
    PREFIX it is None if the keys came from many buckets. `removes_pin` deletes the pin: then
    `to_server` is the owner of the unit that holds the key from then on, or None for a prefix whose
    keys return to many buckets. `load` is in requests/s.
    """

    unit: Unit
    from_server: ServerId | None
    to_server: ServerId | None
    reason: MoveReason
    load: float = 0.0
    removes_pin: bool = False


class UnmetReason(Enum):
    """Tell why a claim is not in force."""

    UNKNOWN_SERVER = "unknown server"
    SERVER_LEAVING = "server leaving"
    SERVER_LOST = "server lost"
    UNKNOWN_BUCKET = "unknown bucket"


@dataclass(frozen=True, slots=True)
class UnmetClaim:
    """Name a claim that cannot be in force now; the policy places its keys until it can."""

    claim: BucketClaim | Pin
    server_id: ServerId
    reason: UnmetReason


@dataclass(slots=True)
class Plan:
    """List moves in order of urgency.

    `deferred_moves` are due for tickets or units without an owner but beyond the budget: plan again
    once this plan is written. `policy_budget_spent` tells that rebalancing may go on in the next
    round. `unplaced_units` have no server that may own them. Imbalance is the highest load per
    capacity of a present server divided by the mean, before and after the plan; 1.0 is even.
    """

    moves: list[Move]
    unmet_claims: list[UnmetClaim]
    deferred_moves: int
    unplaced_units: int
    policy_budget_spent: bool
    imbalance_before: float
    imbalance_after: float
