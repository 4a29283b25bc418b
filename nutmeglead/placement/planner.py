"""Plan moves of units between servers; a pure function of the request."""

from nutmeglead._generated.common.ttypes import UnitKind
from nutmeglead.placement.claims import Claims
from nutmeglead.placement.ledger import Ledger
from nutmeglead.placement.model import (
    MoveBudget,
    MoveReason,
    Pin,
    Plan,
    PlanRequest,
    ServerStatus,
    Unit,
)
from nutmeglead.placement.policies import limits_for
from nutmeglead.placement.rebalance import Rebalancer, even_load

__all__ = ["plan"]

# Routers report several times per round; rates older than this many rounds describe a load that
# may be gone, and moves made for it would only cost churn.
STALE_LOAD_ROUNDS = 3


def plan(request: PlanRequest) -> Plan:
    """Return the moves that are due, the most urgent first."""
    return _Planner(request).run()


class _Planner:
    """Hold the state of one call of `plan`."""

    def __init__(self, request: PlanRequest) -> None:
        self.request = request
        self.limits = limits_for(request.settings)
        self.ledger = Ledger(request)
        self.claims = Claims(request, self.ledger)
        budget = request.budget or MoveBudget(self.limits.moves_per_round)
        self.ticket_moves = budget.ticket_moves
        self.policy_moves = budget.policy_moves
        self.deferred = 0
        self.unplaced = 0

    def run(self) -> Plan:
        """Make the plan."""
        before = self.ledger.imbalance()
        self._place_claims()
        self._remove_claimed_pins()
        self._place_stranded()
        self._remove_cold_pins()
        self._rebalance()
        return Plan(
            moves=self.ledger.moves(),
            unmet_claims=self.claims.unmet,
            deferred_moves=self.deferred,
            unplaced_units=self.unplaced,
            policy_budget_spent=self.policy_moves <= 0,
            imbalance_before=before,
            imbalance_after=self.ledger.imbalance(),
        )

    def _spend_ticket_move(self) -> bool:
        if self.ticket_moves <= 0:
            self.deferred += 1
            return False
        self.ticket_moves -= 1
        return True

    def _unclaimed_pins(self, kind: UnitKind) -> list[Pin]:
        """Return the pins that no ticket names, in a fixed order."""
        pins = (pin for pin in self.ledger.owners.pins if pin.kind == kind)
        return sorted(pin for pin in pins if not self.claims.names(pin))

    def _remove_claimed_pins(self) -> None:
        """Remove pins that keep keys away from a claimed bucket or prefix, or whose claim ended."""
        # Policies pin single keys only, so a prefix without a claim is a claim that was withdrawn.
        for pin in self._unclaimed_pins(UnitKind.PREFIX):
            if self._spend_ticket_move():
                self.ledger.remove_pin(pin, MoveReason.TICKET_CLAIM)
        for pin in self._unclaimed_pins(UnitKind.EXACT):
            if self.claims.covers(pin) and self._spend_ticket_move():
                self.ledger.remove_pin(pin, MoveReason.TICKET_CLAIM)

    def _place_claims(self) -> None:
        """Move each claimed unit to its server; a loss counts against no budget."""
        rates = dict(self.request.load.hot_keys)
        for unit, target in self.claims.targets.items():
            owner = self.ledger.owners.owner(unit)
            exists = self.ledger.owners.holds(unit)
            if exists and owner == target:
                continue
            # A new pin's keys are lost with their present unit, which moves by itself.
            lost = exists and self.ledger.status(owner) is ServerStatus.LOST
            if not lost and not self._spend_ticket_move():
                continue
            if isinstance(unit, Pin) and not exists and self._counts_in_bucket(unit):
                self.ledger.detach(unit, rates.get(unit.key, 0.0))
            reason = MoveReason.SERVER_LOST if lost else MoveReason.TICKET_CLAIM
            self.ledger.move(unit, target, reason)

    def _counts_in_bucket(self, pin: Pin) -> bool:
        return pin.kind == UnitKind.EXACT and self.ledger.owners.enclosing_prefix(pin) is None

    def _place_stranded(self) -> None:
        """Move units off lost and leaving servers and give units without an owner one."""
        stranded: dict[MoveReason, list[Unit]] = {
            MoveReason.SERVER_LOST: [],
            MoveReason.UNOWNED: [],
            MoveReason.SERVER_LEAVING: [],
        }
        reasons = [_stranded_reason(server.status) for server in self.ledger.servers]
        reasons.append(MoveReason.UNOWNED)  # index -1 is NO_OWNER
        for bucket, owner in enumerate(self.ledger.owners.buckets):
            reason = reasons[owner]
            if reason is not None:
                stranded[reason].append(bucket)
        for pin, owner in self.ledger.owners.pins.items():
            reason = reasons[owner]
            if reason is not None:
                stranded[reason].append(pin)
        for reason, units in stranded.items():
            # The first placement of 400,000 units at once would not fit in a controller's memory.
            if reason is not MoveReason.SERVER_LOST and any(self.ledger.capacity):
                units = [unit for unit in units if self._spend_ticket_move()]
            self.unplaced += self.ledger.spread(units, reason)

    def _load_is_stale(self) -> bool:
        rounds_ms = STALE_LOAD_ROUNDS * self.request.settings.round_interval_ms
        return self.request.load.age_ms > rounds_ms

    def _remove_cold_pins(self) -> None:
        """Return keys that are no longer hot to their buckets, and the coldest beyond max_pins."""
        if self._load_is_stale():
            return
        least = self.limits.unpin_share * even_load(self.ledger)
        # The sketch may still list a key whose pin has little load, or the other way round. Only if
        # both agree is the key cold; otherwise it would be pinned again by the next plan.
        hot = dict(self.request.load.hot_keys)
        pins = [
            (max(self.ledger.measured_rate(pin), hot.get(pin.key, 0.0)), pin)
            for pin in self._unclaimed_pins(UnitKind.EXACT)
        ]
        surplus = len(pins) - self.request.settings.max_pins
        for position, (rate, pin) in enumerate(sorted(pins)):
            cold = rate < least and pin not in self.request.recently_moved
            if (cold or position < surplus) and self.policy_moves > 0:
                self.ledger.remove_pin(pin, MoveReason.PIN_REMOVED)
                self.policy_moves -= 1

    def _rebalance(self) -> None:
        if self._load_is_stale():
            return
        fixed: set[Unit] = {*self.claims.targets, *self.request.pin_claims}
        fixed |= self.request.recently_moved
        rebalancer = Rebalancer(
            self.ledger,
            self.limits,
            fixed,
            self.request.load.hot_keys,
            self.request.settings.max_pins - len(self._unclaimed_pins(UnitKind.EXACT)),
            self.policy_moves,
        )
        rebalancer.run()
        self.policy_moves = rebalancer.budget


def _stranded_reason(status: ServerStatus) -> MoveReason | None:
    if status is ServerStatus.LOST:
        return MoveReason.SERVER_LOST
    if status is ServerStatus.LEAVING:
        return MoveReason.SERVER_LEAVING
    return None
