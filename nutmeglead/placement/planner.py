"""Plan moves of units between servers; a pure function of the request."""

from nutmeglead.core.ids import ServerId
from nutmeglead.placement.ledger import Ledger
from nutmeglead.placement.model import (
    NO_OWNER,
    BucketClaim,
    MoveBudget,
    MoveReason,
    Pin,
    Plan,
    PlanRequest,
    ServerStatus,
    Unit,
    UnmetClaim,
    UnmetReason,
)

__all__ = ["plan"]

_UNMET = {
    None: UnmetReason.UNKNOWN_SERVER,
    ServerStatus.LEAVING: UnmetReason.SERVER_LEAVING,
    ServerStatus.LOST: UnmetReason.SERVER_LOST,
}


def plan(request: PlanRequest) -> Plan:
    """Return the moves that are due, the most urgent first."""
    return _Planner(request).run()


class _Planner:
    """Hold the state of one call of `plan`."""

    def __init__(self, request: PlanRequest) -> None:
        self.request = request
        self.ledger = Ledger(request)
        self.budget = request.budget or MoveBudget(request.settings.max_moves_per_round)
        self.unmet: list[UnmetClaim] = []
        self.deferred = 0
        self.unplaced = 0
        self.claims = self._claims_in_force()

    def run(self) -> Plan:
        """Make the plan."""
        before = self.ledger.imbalance()
        self._place_claims()
        self._place_stranded()
        moves = sorted(self.ledger.moves, key=lambda move: move.reason.value)
        return Plan(
            moves, self.unmet, self.deferred, self.unplaced, before, self.ledger.imbalance()
        )

    def _claims_in_force(self) -> dict[Unit, int]:
        """Map each unit to the server that a ticket claims it for, if that server may own it."""
        claims: dict[Unit, int] = {}
        bucket_count = len(self.ledger.owners)
        for claim in self.request.bucket_claims:
            if not 0 <= claim.first <= claim.last < bucket_count:
                self.unmet.append(UnmetClaim(claim, claim.server_id, UnmetReason.UNKNOWN_BUCKET))
                continue
            target = self._claimed_server(claim, claim.server_id)
            for bucket in range(claim.first, claim.last + 1):
                claims.pop(bucket, None)
                if target is not None:
                    claims[bucket] = target
        for pin, server_id in sorted(self.request.pin_claims.items()):
            target = self._claimed_server(pin, server_id)
            if target is not None:
                claims[pin] = target
        return claims

    def _claimed_server(self, claim: BucketClaim | Pin, server_id: ServerId) -> int | None:
        index = self.ledger.index_of(server_id)
        if index is not None and self.ledger.may_own(index):
            return index
        status = None if index is None else self.ledger.servers[index].status
        self.unmet.append(UnmetClaim(claim, server_id, _UNMET[status]))
        return None

    def _place_claims(self) -> None:
        """Move each claimed unit to its server; a loss counts against no budget."""
        left = self.budget.ticket_moves
        for unit, target in self.claims.items():
            owner = self.ledger.owner(unit)
            if owner == target and (not isinstance(unit, Pin) or unit in self.ledger.pins):
                continue
            reason = self._claim_reason(owner)
            if reason is MoveReason.TICKET_CLAIM:
                if left <= 0:
                    self.deferred += 1
                    continue
                left -= 1
            self.ledger.move(unit, target, reason)
        self.budget = MoveBudget(self.budget.policy_moves, left)

    def _claim_reason(self, owner: int) -> MoveReason:
        if self.ledger.status(owner) is ServerStatus.LOST:
            return MoveReason.SERVER_LOST
        return MoveReason.TICKET_CLAIM

    def _place_stranded(self) -> None:
        """Move units off lost and leaving servers and give units without an owner one."""
        stranded: dict[MoveReason, list[Unit]] = {
            MoveReason.SERVER_LOST: [],
            MoveReason.UNOWNED: [],
            MoveReason.SERVER_LEAVING: [],
        }
        reasons = [_stranded_reason(server.status) for server in self.ledger.servers]
        reasons.append(MoveReason.UNOWNED)
        for bucket, owner in enumerate(self.ledger.owners):
            reason = reasons[owner if owner < len(reasons) else NO_OWNER]
            if reason is not None:
                stranded[reason].append(bucket)
        for pin in self.ledger.pins:
            reason = reasons[self.ledger.owner(pin)]
            if reason is not None:
                stranded[reason].append(pin)
        for reason, units in stranded.items():
            if reason is MoveReason.SERVER_LEAVING:
                units = self._within_ticket_budget(units)
            self.unplaced += self.ledger.spread(units, reason)

    def _within_ticket_budget(self, units: list[Unit]) -> list[Unit]:
        left = self.budget.ticket_moves
        self.deferred += max(0, len(units) - left)
        return units[:left]


def _stranded_reason(status: ServerStatus) -> MoveReason | None:
    if status is ServerStatus.LOST:
        return MoveReason.SERVER_LOST
    if status is ServerStatus.LEAVING:
        return MoveReason.SERVER_LEAVING
    return None
