"""Decide how the maps of a service go on after the store has returned from an older copy."""

from collections.abc import Iterable

from nutmeglead.core.ids import ServiceName
from nutmeglead.peers.membership import Membership
from nutmeglead.ranges.expiry import CLOCK_DRIFT, RENEW_RIGHT_MS
from nutmeglead.ranges.model import KeyRange, RangeMap
from nutmeglead.ranges.moves import Move, MoveReason
from nutmeglead.ranges.rights import DELIVERY_MARGIN_MS, GRANT_TRANSIT_MS, RenewalRights

__all__ = ["EraStart", "refencing_moves"]


class EraStart:
    """Decide when a new acting node may write the first map of an era."""

    def __init__(self, service: ServiceName, membership: Membership) -> None:
        self._service = service
        self._membership = membership
        self._due_ms = 0
        # Whether servers may have got keys by a map that is lost.
        self.may_miss_grants = False

    def begin(
        self,
        own: RangeMap | None,
        was_acting: bool,
        rights: RenewalRights,
        hold_ms: int,
        now_ms: int,
    ) -> None:
        """Record that the role was taken in a new era, by a node that did or did not act before.

        One that did knows the newest map if the witnesses of its own one know no newer one.
        Otherwise a map may be lost, and the servers to which its writer has sent grants until it
        was lost hold their keys until the latest of these holds has ended.
        """
        is_map_known = (
            was_acting and own is not None and rights.is_confirmed_by_witnesses(own, now_ms)
        )
        last_arrival_ms = RENEW_RIGHT_MS + GRANT_TRANSIT_MS + DELIVERY_MARGIN_MS
        hold_end_ms = last_arrival_ms + round(hold_ms * (1 + CLOCK_DRIFT))
        self._due_ms = now_ms if is_map_known else now_ms + hold_end_ms
        self.may_miss_grants = not is_map_known

    def is_due(self, map_version: int, now_ms: int) -> bool:
        """Return whether the first map may be written, from this version as the newest known.

        A newer map that a live peer reports is fetched first.
        """
        is_newer_live = self._membership.is_newer_map_live(self._service, map_version, now_ms)
        return now_ms >= self._due_ms and not is_newer_live


def refencing_moves(ranges: Iterable[KeyRange]) -> list[Move]:
    """Return the moves that give each confirmed range to its owner again, under a new fence."""
    return [
        Move(entry.first, entry.last, entry.owner, MoveReason.STALE_FENCE)
        for entry in ranges
        if entry.owner is not None and not entry.is_pending
    ]
