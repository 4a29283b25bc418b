"""Keep each server's load while a plan is being made."""

from array import array
from collections import Counter
from heapq import heapify, heapreplace

from nutmeglead._generated.common.ttypes import UnitKind
from nutmeglead.core.ids import ServerId
from nutmeglead.placement.hashing import bucket_of
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

__all__ = ["Ledger"]

# Each bucket counts as at least this share of the mean bucket rate, so that buckets without
# measured load are also spread evenly and not all given to one server.
BASE_RATE_SHARE = 0.02
# A joining server starts with this part of its weight. With none it would never get a first unit,
# and its load could not grow with its caches.
COLD_START_FLOOR = 0.1


class Ledger:
    """Apply moves to a copy of the placement and keep the servers' loads in step."""

    def __init__(self, request: PlanRequest) -> None:
        self.servers = request.servers
        self.load = request.load
        self.owners = array("i", request.placement.bucket_owners)
        self.pins = dict(request.placement.pins)
        self.moves: list[Move] = []
        self._index = {server.server_id: i for i, server in enumerate(self.servers)}
        self.capacity = [_capacity(server, request) for server in self.servers]
        self._detached: Counter[int] = Counter()
        self._pin_rates = dict(request.load.pin_rates)
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
        return self.servers[index].status if 0 <= index < len(self.servers) else None

    def owner(self, unit: Unit) -> int:
        """Return the owner's index; a pin that does not exist has its enclosing unit's owner."""
        if not isinstance(unit, Pin):
            return self._known(self.owners[unit])
        return self._known(self.pins[unit]) if unit in self.pins else self.enclosing_owner(unit)

    def enclosing_owner(self, pin: Pin) -> int:
        """Return the owner of the unit that would hold the pin's keys; NO_OWNER if many would."""
        own_prefix = pin.kind == UnitKind.PREFIX
        for length in range(len(pin.key) - own_prefix, 0, -1):
            prefix = Pin(UnitKind.PREFIX, pin.key[:length])
            if prefix in self.pins:
                return self._known(self.pins[prefix])
        if own_prefix:
            return NO_OWNER
        return self._known(self.owners[bucket_of(pin.key, len(self.owners))])

    def rate(self, unit: Unit) -> float:
        """Return a unit's load in requests/s, at least the base rate."""
        if isinstance(unit, Pin):
            return max(self._pin_rates.get(unit, 0.0), self.base_rate)
        return max(self.load.bucket_rates[unit] - self._detached[unit], self.base_rate)

    def move(self, unit: Unit, target: int, reason: MoveReason) -> None:
        """Give a unit to a server and record the move."""
        source = self.owner(unit)
        load = self.rate(unit)
        is_new_pin = isinstance(unit, Pin) and unit not in self.pins
        if source != NO_OWNER and not is_new_pin:
            self.server_loads[source] -= load
        self.server_loads[target] += load
        if isinstance(unit, Pin):
            self.pins[unit] = target
        else:
            self.owners[unit] = target
        self.moves.append(Move(unit, self._id(source), self._id(target), reason, load))

    def detach(self, pin: Pin, requests_per_s: float) -> None:
        """Take a hot key's load out of its bucket, before the key is pinned."""
        bucket = bucket_of(pin.key, len(self.owners))
        before = self.rate(bucket)
        self._detached[bucket] += requests_per_s  # type: ignore[assignment]
        self._pin_rates[pin] = requests_per_s
        owner = self.owner(bucket)
        if owner != NO_OWNER:
            self.server_loads[owner] += self.rate(bucket) - before

    def remove_pin(self, pin: Pin) -> None:
        """Delete a pin; its load returns to the enclosing unit's owner."""
        source = self.owner(pin)
        load = self.rate(pin)
        del self.pins[pin]
        target = self.enclosing_owner(pin)
        if source != NO_OWNER:
            self.server_loads[source] -= load
        if target != NO_OWNER:
            self.server_loads[target] += load
            if pin.kind == UnitKind.EXACT:
                self._detached[bucket_of(pin.key, len(self.owners))] -= load  # type: ignore
        reason = MoveReason.PIN_REMOVED
        self.moves.append(Move(pin, self._id(source), self._id(target), reason, load))

    def spread(self, units: list[Unit], reason: MoveReason) -> int:
        """Give units to the least loaded servers, the heaviest unit first; return the number left.

        The greedy order (longest processing time first) is within 4/3 of the best possible
        highest load (Graham 1969).
        """
        heap = [(self.ratio(i), i) for i, c in enumerate(self.capacity) if c > 0.0]
        if not heap:
            return len(units)
        heapify(heap)
        for unit in sorted(units, key=lambda unit: (-self.rate(unit), _order(unit))):
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

    def _known(self, index: int) -> int:
        return index if 0 <= index < len(self.servers) else NO_OWNER

    def _id(self, index: int) -> ServerId | None:
        return None if index == NO_OWNER else self.servers[index].server_id

    def _base_rate(self) -> float:
        count = len(self.owners) + len(self.pins)
        total = sum(self.load.bucket_rates) + sum(self._pin_rates.values())
        return BASE_RATE_SHARE * total / count if total > 0.0 else 1.0

    def _sum_loads(self) -> list[float]:
        # One slot more than servers takes the load of units without an owner (index -1).
        loads = [0.0] * (len(self.servers) + 1)
        base = self.base_rate
        count = len(self.servers)
        for owner, rate in zip(self.owners, self.load.bucket_rates, strict=True):
            if owner < count:
                loads[owner] += rate if rate > base else base
        for pin in self.pins:
            loads[self.owner(pin)] += self.rate(pin)
        return loads


def _capacity(server: ServerInfo, request: PlanRequest) -> float:
    """Return the weight of a server, by degrees while it starts cold; 0 if it may own nothing."""
    if server.status is not ServerStatus.PRESENT:
        return 0.0
    if server.present_since_ms is None or request.settings.cold_start_ms <= 0:
        return server.weight
    warm = (request.now_ms - server.present_since_ms) / request.settings.cold_start_ms
    return server.weight * min(1.0, max(COLD_START_FLOOR, warm))


def _order(unit: Unit) -> tuple[int, int, str]:
    """Order buckets before pins, for a plan that does not depend on the order of a set."""
    return (1, unit.kind, unit.key) if isinstance(unit, Pin) else (0, unit, "")
