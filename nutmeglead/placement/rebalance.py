"""Move units from overloaded to underloaded servers."""

from collections.abc import Collection, Iterable, Sequence
from heapq import heapify, heappop, heappush, heapreplace, nlargest

from nutmeglead.placement.candidates import Candidate, Candidates, collect, pinnable_keys
from nutmeglead.placement.ledger import Ledger
from nutmeglead.placement.model import HotKey, MoveReason, Pin, Unit
from nutmeglead.placement.policies import Limits

__all__ = ["Rebalancer", "even_load"]

# Moving a unit with less than this part of a mean server's load costs churn without effect.
LEAST_MOVE_SHARE = 0.001
# Units are collected for this many donors at a time, which bounds the memory of a plan.
DONOR_GROUP = 64
# Sums of floats differ in the last digits with the order of their terms; a server exactly at a
# trigger must not depend on that.
TOLERANCE = 1e-9


class Rebalancer:
    """Make the policy's moves on a ledger until loads are within the limits."""

    def __init__(
        self,
        ledger: Ledger,
        limits: Limits,
        fixed: Collection[Unit],
        hot_keys: Sequence[HotKey],
        free_pins: int,
        budget: int,
    ) -> None:
        self.ledger = ledger
        self.limits = limits
        self.fixed = fixed
        self.hot_keys = hot_keys
        self.free_pins = free_pins
        self.budget = budget
        self.level = 0.0
        self.least = 0.0
        self._donors: dict[int, Candidates] = {}

    def run(self) -> None:
        """Repeat passes over groups of donors until a whole turn of passes moves nothing."""
        tried: set[int] = set()
        moved_since_clear = False
        while self.budget > 0:
            before = self.budget
            over, under = self._outliers()
            group = self._group([i for i in over if i not in tried])
            if not group and moved_since_clear:
                # Servers relieved later may now receive what earlier donors could not give.
                tried.clear()
                moved_since_clear = False
                continue
            if not group and not under:
                return
            self._collect(group, under)
            self._relieve(group)
            self._fill(under)
            tried.update(group)
            moved_since_clear |= self.budget < before
            if not group and self.budget == before:
                return

    def _outliers(self) -> tuple[list[int], list[int]]:
        """Return the overloaded and the underloaded servers."""
        usable = [i for i, c in enumerate(self.ledger.capacity) if c > 0.0]
        if len(usable) < 2:
            return [], []
        self.level = _even_level(self.ledger)
        overload = self.level * self.limits.overload_trigger * (1.0 + TOLERANCE)
        underload = self.level * self.limits.underload_trigger * (1.0 - TOLERANCE)
        ratio = self.ledger.ratio
        over = [i for i in usable if ratio(i) > overload]
        return over, [i for i in usable if ratio(i) < underload]

    def _group(self, servers: Iterable[int]) -> list[int]:
        """Return the most loaded servers, the first first."""
        return nlargest(DONOR_GROUP, servers, key=lambda i: (self.ledger.ratio(i), -i))

    def _collect(self, group: list[int], under: list[int]) -> None:
        """Find the movable units of the group and, to fill servers, of the most loaded ones."""
        usable = (i for i, c in enumerate(self.ledger.capacity) if c > 0.0)
        donors = set(group) | (set(self._group(usable)) if under else set())
        even = self.level * _mean_capacity(self.ledger)
        self.least = LEAST_MOVE_SHARE * even
        pinnable = pinnable_keys(
            self.ledger, self.hot_keys, self.limits.pin_share * even, self.fixed
        )
        hot_keys = pinnable[: max(0, self.free_pins)]
        self._donors = collect(self.ledger, donors, self.fixed, hot_keys)

    def _relieve(self, donors: list[int]) -> None:
        """Move units off each overloaded server, the most loaded first, to the most room."""
        usable = (i for i, c in enumerate(self.ledger.capacity) if c > 0.0)
        receivers = [(-self._room(i), i) for i in usable if i not in donors]
        heapify(receivers)
        for donor in donors:
            while self.budget > 0 and receivers:
                need = self._excess(donor, self.limits.overload_settle)
                within = self._excess(donor, self.limits.overload_trigger) <= 0.0
                # Below the trigger, a unit that overshoots the settle level by more than it
                # approaches it is churn.
                most = 2.0 * need if within else float("inf")
                if need <= 0.0 or not self._give(donor, receivers[0][1], need, most):
                    break
                receiver = receivers[0][1]
                heapreplace(receivers, (-self._room(receiver), receiver))

    def _fill(self, under: list[int]) -> None:
        """Move units to each underloaded server from the most loaded ones."""
        heap = [(-self.ledger.ratio(i), i) for i in self._donors]
        heapify(heap)
        for receiver in sorted(under, key=lambda i: (self.ledger.ratio(i), i)):
            spent: list[int] = []
            while self.budget > 0 and heap:
                need = -self._excess(receiver, self.limits.underload_settle)
                if need <= 0.0:
                    break
                _, donor = heappop(heap)
                if donor != receiver and self._give(donor, receiver, need, float("inf")):
                    heappush(heap, (-self.ledger.ratio(donor), donor))
                else:
                    spent.append(donor)
            for donor in spent:
                heappush(heap, (-self.ledger.ratio(donor), donor))

    def _give(self, donor: int, receiver: int, need: float, most: float) -> bool:
        """Move the best unit of at most `most` to the receiver; return whether there was one."""
        candidates = self._donors.get(donor)
        if candidates is None:
            return False
        # The donor must not end below the level to which underloaded servers are filled.
        most = min(most, self._excess(donor, self.limits.underload_settle))
        chosen = self._choose(candidates, need, min(self._room(receiver), most))
        if chosen is None:
            # Units too large to end at the settle level may still end below the trigger.
            room = -self._excess(receiver, self.limits.overload_trigger)
            chosen = self._choose(candidates, need, min(room, most))
        if chosen is None:
            return False
        self._move(chosen, receiver, candidates)
        self.budget -= 1
        return True

    def _choose(self, candidates: Candidates, need: float, most: float) -> Candidate | None:
        """Take a candidate, leaving out hot keys whose bucket no longer has their load."""
        while True:
            chosen = candidates.take(need, most, self.least)
            if chosen is None or self._is_current(chosen):
                return chosen

    def _is_current(self, chosen: Candidate) -> bool:
        unit = chosen.unit
        if not isinstance(unit, Pin) or self.ledger.owners.holds(unit):
            return True
        bucket = self.ledger.owners.bucket(unit.key)
        return self.ledger.measured_rate(bucket) >= chosen.rate

    def _move(self, chosen: Candidate, receiver: int, candidates: Candidates) -> None:
        unit = chosen.unit
        if not isinstance(unit, Pin) or self.ledger.owners.holds(unit):
            self.ledger.move(unit, receiver, MoveReason.IMBALANCE)
            return
        self.ledger.detach(unit, chosen.rate)
        self.ledger.move(unit, receiver, MoveReason.HOT_KEY_PINNED)
        self.free_pins -= 1
        candidates.discard_bucket(self.ledger.owners.bucket(unit.key))

    def _excess(self, index: int, level: float) -> float:
        """Return a server's load above a multiple of the mean, in requests/s."""
        even = self.level * level * self.ledger.capacity[index]
        return self.ledger.server_loads[index] - even

    def _room(self, index: int) -> float:
        return -self._excess(index, self.limits.overload_settle)


def even_load(ledger: Ledger) -> float:
    """Return the load of a mean server if load were even, in requests/s."""
    if not any(ledger.capacity):
        return 0.0
    return _even_level(ledger) * _mean_capacity(ledger)


def _even_level(ledger: Ledger) -> float:
    """Return the load per capacity to aim at.

    A unit larger than a server's even share fills a server alone. Its load and that server's
    capacity are left out, because the others cannot share them.
    """
    capacity = sum(ledger.capacity)
    load = ledger.mean_ratio() * capacity
    largest = max(ledger.capacity)
    level = load / capacity
    for rate in ledger.largest_rates(level * largest / 2.0):
        if rate <= level * largest or capacity <= largest:
            break
        load -= rate
        capacity -= largest
        level = load / capacity
    return level


def _mean_capacity(ledger: Ledger) -> float:
    usable = [c for c in ledger.capacity if c > 0.0]
    return sum(usable) / len(usable)
