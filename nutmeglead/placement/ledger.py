"""Keep each server's load while a plan is being made."""

from heapq import heapify, heapreplace

from nutmeglead._generated.common.ttypes import UnitKind
from nutmeglead.core.ids import ServerId
from nutmeglead.placement.model import (
    NO_OWNER,
    Move,
    MoveReason,
    Pin,
    PlanRequest,
    ServerInfo,
    ServerStatus,
    Unit,
)
from nutmeglead.placement.owners import Owners

__all__ = ["Ledger", "unit_order"]

# Each bucket counts as at least this share of the mean bucket rate, so that buckets without
# measured load are also spread evenly and not all given to one server.
BASE_RATE_SHARE = 0.02
# A joining server starts with this part of its weight. With none it would never get a first unit,
# and its load could not grow with its caches.
COLD_START_FLOOR = 0.1
# Tickets require positive weights; this guards the divisions against one that slipped through.
LEAST_WEIGHT = 0.01


class Ledger:
    """Apply moves to a copy of the placement and keep the servers' loads in step."""

    def __init__(self, request: PlanRequest) -> None:
        self.servers = request.servers
        self.owners = Owners(request.placement, len(self.servers))
        self.capacity = [_capacity(server, request) for server in self.servers]
        self._placement = request.placement
        self._index = {server.server_id: i for i, server in enumerate(self.servers)}
        self._bucket_rates = request.load.bucket_rates
        self._pin_rates = dict(request.load.pin_rates)
        # Load of hot keys that this plan takes out of their buckets or returns to them.
        self._detached: dict[int, float] = {}
        self._changes: dict[Unit, MoveReason] = {}
        self._removed: list[Pin] = []
        self.base_rate = self._base_rate()
        self.server_loads = self._sum_loads()

    def index_of(self, server_id: ServerId) -> int | None:
        """Return a server's index, or None if it is unknown."""
        return self._index.get(server_id)

    def may_own(self, index: int) -> bool:
        """Tell whether a server may be given units."""
        return self.capacity[index] > 0.0

    def status(self, index: int) -> ServerStatus | None:
        """Return the status of an owner, or None if there is none."""
        return None if index == NO_OWNER else self.servers[index].status

    def rate(self, unit: Unit) -> float:
        """Return a unit's load in requests/s, at least the base rate."""
        return max(self.measured_rate(unit), self.base_rate)

    def measured_rate(self, unit: Unit) -> float:
        """Return a unit's measured load in requests/s; 0 if none was measured."""
        if isinstance(unit, Pin):
            return self._pin_rates.get(unit, 0.0)
        return self._bucket_rates[unit] - self._detached.get(unit, 0.0)

    def removes_pin_of(self, key: str) -> bool:
        """Tell whether this plan removes a pin that held the key so far."""
        return any(
            key == pin.key or (pin.kind == UnitKind.PREFIX and key.startswith(pin.key))
            for pin in self._removed
        )

    def largest_rates(self, least: float) -> list[float]:
        """Return the rates above a bound, the largest first."""
        buckets = {b for b, rate in enumerate(self._bucket_rates) if rate > least}
        # A pin that is removed returns its load to a bucket that may have had less before.
        buckets |= self._detached.keys()
        rates = [self.rate(bucket) for bucket in buckets]
        rates += [self.rate(pin) for pin in self.owners.pins]
        return sorted((rate for rate in rates if rate > least), reverse=True)

    def move(self, unit: Unit, target: int, reason: MoveReason) -> None:
        """Give a unit to a server; a unit moved twice in a plan keeps its first reason."""
        if self.owners.holds(unit):
            self._add_load(self.owners.owner(unit), -self.rate(unit))
        self.owners.assign(unit, target)
        self._add_load(target, self.rate(unit))
        self._changes.setdefault(unit, reason)

    def detach(self, pin: Pin, requests_per_s: float) -> None:
        """Take a hot key's load out of its bucket, before the key is pinned."""
        bucket = self.owners.bucket(pin.key)
        self._pin_rates[pin] = max(0.0, min(requests_per_s, self.measured_rate(bucket)))
        self._shift(bucket, self._pin_rates[pin])

    def remove_pin(self, pin: Pin, reason: MoveReason) -> None:
        """Delete a pin; its load returns to the enclosing unit."""
        self._add_load(self.owners.owner(pin), -self.rate(pin))
        self.owners.remove(pin)
        self._changes[pin] = reason
        self._removed.append(pin)
        rate = self._pin_rates.pop(pin, 0.0)
        prefix = self.owners.enclosing_prefix(pin)
        if prefix is not None:
            before = self.rate(prefix)
            self._pin_rates[prefix] = self._pin_rates.get(prefix, 0.0) + rate
            self._add_load(self.owners.owner(prefix), self.rate(prefix) - before)
        elif pin.kind == UnitKind.EXACT:
            self._shift(self.owners.bucket(pin.key), -rate)

    def spread(self, units: list[Unit], reason: MoveReason) -> int:
        """Give units to the least loaded servers, the heaviest unit first; return the number left.

        On servers that start empty, the highest load of this greedy order (longest processing
        time first) is within 4/3 of the best possible (Graham 1969).
        """
        heap = [(self.ratio(i), i) for i, c in enumerate(self.capacity) if c > 0.0]
        if not heap:
            return len(units)
        heapify(heap)
        for unit in sorted(units, key=lambda unit: (-self.rate(unit), unit_order(unit))):
            target = heap[0][1]
            self.move(unit, target, reason)
            heapreplace(heap, (self.ratio(target), target))
        return 0

    def ratio(self, index: int) -> float:
        """Return a server's load per capacity."""
        return self.server_loads[index] / self.capacity[index]

    def mean_ratio(self) -> float:
        """Return the load per capacity that all servers would have if it were even."""
        total = sum(self.capacity)
        if not total:
            return 0.0
        return sum(self.server_loads[i] for i, c in enumerate(self.capacity) if c > 0.0) / total

    def imbalance(self) -> float:
        """Return the highest load per capacity divided by the mean."""
        mean = self.mean_ratio()
        ratios = [self.ratio(i) for i, c in enumerate(self.capacity) if c > 0.0]
        return max(ratios) / mean if ratios and mean > 0.0 else 1.0

    def moves(self) -> list[Move]:
        """Return the moves made so far in order of urgency; each begins where the last ended."""
        replay = Owners(self._placement, len(self.servers))
        moves = []
        for unit, reason in sorted(self._changes.items(), key=lambda item: item[1].value):
            source = replay.owner(unit)
            removes = not self.owners.holds(unit)
            if removes:
                if not replay.holds(unit):
                    continue
                replay.remove(unit)  # type: ignore[arg-type]
                target = replay.enclosing_owner(unit)  # type: ignore[arg-type]
            else:
                target = self.owners.owner(unit)
                if replay.holds(unit) and source == target:
                    continue
                replay.assign(unit, target)
            load = self.rate(unit)
            moves.append(Move(unit, self._id(source), self._id(target), reason, load, removes))
        return moves

    def _add_load(self, index: int, rate: float) -> None:
        # Index -1 is the slot for units without an owner.
        self.server_loads[index] += rate

    def _shift(self, bucket: int, rate: float) -> None:
        before = self.rate(bucket)
        self._detached[bucket] = self._detached.get(bucket, 0.0) + rate
        self._add_load(self.owners.owner(bucket), self.rate(bucket) - before)

    def _id(self, index: int) -> ServerId | None:
        return None if index == NO_OWNER else self.servers[index].server_id

    def _base_rate(self) -> float:
        total = sum(self._bucket_rates) + sum(self._pin_rates.values())
        return BASE_RATE_SHARE * total / len(self._bucket_rates) if total > 0.0 else 1.0

    def _sum_loads(self) -> list[float]:
        # One slot more than servers takes the load of units without an owner (index -1).
        loads = [0.0] * (len(self.servers) + 1)
        base = self.base_rate
        for owner, rate in zip(self.owners.buckets, self._bucket_rates, strict=True):
            loads[owner] += rate if rate > base else base
        for pin, owner in self.owners.pins.items():
            loads[owner] += self.rate(pin)
        return loads


def _capacity(server: ServerInfo, request: PlanRequest) -> float:
    """Return the weight of a server, by degrees while it starts cold; 0 if it may own nothing."""
    if server.status is not ServerStatus.PRESENT:
        return 0.0
    weight = max(server.weight, LEAST_WEIGHT)
    if server.present_since_ms is None or request.settings.cold_start_ms <= 0:
        return weight
    warm = (request.now_ms - server.present_since_ms) / request.settings.cold_start_ms
    return weight * min(1.0, max(COLD_START_FLOOR, warm))


def unit_order(unit: Unit) -> tuple[int, int, str]:
    """Order buckets before pins, for a plan that does not depend on the order of a set."""
    return (1, unit.kind, unit.key) if isinstance(unit, Pin) else (0, unit, "")
