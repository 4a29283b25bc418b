"""Resolve the claims of tickets against the servers that exist."""

from nutmeglead._generated.common.ttypes import UnitKind
from nutmeglead.core.ids import ServerId
from nutmeglead.placement.ledger import Ledger
from nutmeglead.placement.model import (
    BucketClaim,
    Pin,
    PlanRequest,
    ServerStatus,
    Unit,
    UnmetClaim,
    UnmetReason,
)

__all__ = ["Claims"]

_UNMET = {
    None: UnmetReason.UNKNOWN_SERVER,
    ServerStatus.LEAVING: UnmetReason.SERVER_LEAVING,
    ServerStatus.LOST: UnmetReason.SERVER_LOST,
}


class Claims:
    """Map units to the servers that tickets claim them for.

    A claim on a server that is unknown, leaving or lost is unmet: its keys are placed by the policy
    until the server can own them, because a key that waits for its server is unavailable.
    """

    def __init__(self, request: PlanRequest, ledger: Ledger) -> None:
        self.targets: dict[Unit, int] = {}
        self.unmet: list[UnmetClaim] = []
        self._ledger = ledger
        self._claimed_pins = request.pin_claims.keys()
        for claim in request.bucket_claims:
            self._add_buckets(claim)
        for pin, server_id in sorted(request.pin_claims.items()):
            target = self._resolve(pin, server_id)
            if target is not None:
                self.targets[pin] = target

    def covers(self, pin: Pin) -> bool:
        """Tell whether a less specific claim places the keys of a pin that no ticket made."""
        prefix = self._ledger.owners.enclosing_prefix(pin)
        if prefix is not None:
            return prefix in self._claimed_pins
        return pin.kind == UnitKind.EXACT and self._ledger.owners.bucket(pin.key) in self.targets

    def names(self, pin: Pin) -> bool:
        """Tell whether a ticket made the pin, even if its claim is unmet."""
        return pin in self._claimed_pins

    def _add_buckets(self, claim: BucketClaim) -> None:
        if not 0 <= claim.first <= claim.last < len(self._ledger.owners.buckets):
            self.unmet.append(UnmetClaim(claim, claim.server_id, UnmetReason.UNKNOWN_BUCKET))
            return
        target = self._resolve(claim, claim.server_id)
        for bucket in range(claim.first, claim.last + 1):
            if target is None:
                self.targets.pop(bucket, None)
            else:
                self.targets[bucket] = target

    def _resolve(self, claim: BucketClaim | Pin, server_id: ServerId) -> int | None:
        index = self._ledger.index_of(server_id)
        if index is not None and self._ledger.may_own(index):
            return index
        status = None if index is None else self._ledger.servers[index].status
        self.unmet.append(UnmetClaim(claim, server_id, _UNMET[status]))
        return None
