"""Bound the time in which a node may repeat grants, and when a lost holder's hold has ended.

A map names its witnesses. Only they may renew its grants, each within RENEW_RIGHT_MS of a moment at
which most witnesses, or the store, knew no newer map. A mover that has written a newer version and
sees it at most witnesses therefore knows when the last grant of the old version was sent at the
latest. When the witnesses change, a map lists the earlier sets too, until most of each earlier set
know that they are replaced.
"""

from collections import Counter
from collections.abc import Iterable

from nutmeglead._generated.peers.ttypes import Life, SentOrder
from nutmeglead.core.ids import NodeId, ServiceName
from nutmeglead.forwarding.model import ServerIncarnation
from nutmeglead.peers.membership import Membership, PeerView
from nutmeglead.ranges.model import RangeMap, WitnessSets

__all__ = ["CLOCK_DRIFT", "QUIET_MS", "RENEW_RIGHT_MS", "RenewalRights"]

RENEW_RIGHT_MS = 1_000
# A server's clock that measures the hold may run 2% slow (platform).
CLOCK_DRIFT = 0.02
# Covers an order's way to the server and the rounding of both clocks.
DELIVERY_MARGIN_MS = 100
KEPT_MAJORITIES = 64
# Orders that lie back longer than this are not told; the longest hold that is granted is shorter.
QUIET_MS = 3_000


class RenewalRights:
    """Track what is known of the map's newest version and of grants sent by anyone."""

    def __init__(self, service: ServiceName, membership: Membership, started_ms: int) -> None:
        self._service = service
        self._membership = membership
        self._started_ms = started_ms
        # A node that has restarted has forgotten what it knew, until it has read the map itself.
        self.is_confirmed = False
        self._store_version = -1
        self._store_confirmed_ms = -RENEW_RIGHT_MS
        # When most of a set of witnesses first knew a version.
        self._majority_at: dict[tuple[int, tuple[NodeId, ...]], int] = {}
        # Orders under way, and when the last one that may have arrived ended.
        self._under_way: Counter[ServerIncarnation] = Counter()
        self._sent_ms: dict[ServerIncarnation, int] = {}

    def confirm_by_store(self, map_version: int, asked_ms: int) -> None:
        """Note the newest version in the store, read at or after a time."""
        self.is_confirmed = True
        self._store_version = map_version
        self._store_confirmed_ms = asked_ms

    def may_send(self, ranges: RangeMap, now_ms: int) -> bool:
        """Tell whether grants of a map may be sent now."""
        if self._membership.own_id not in ranges.witnesses:
            return False
        if self._membership.is_newer_map_known(self._service, ranges.version):
            return False
        if self._store_version > ranges.version:
            return False
        if self.is_confirmed_by_majority(ranges, now_ms):
            return True
        by_store = self._store_version == ranges.version
        return by_store and now_ms - self._store_confirmed_ms <= RENEW_RIGHT_MS

    def is_confirmed_by_majority(self, ranges: RangeMap, now_ms: int) -> bool:
        """Tell whether most witnesses have confirmed a map lately."""
        if not self.is_confirmed:
            return False
        echo_ms = self._membership.majority_echo_ms(
            self._service, ranges.version, ranges.witnesses, now_ms
        )
        return echo_ms is not None and now_ms - echo_ms <= RENEW_RIGHT_MS

    def begin_order(self, incarnation: ServerIncarnation) -> None:
        """Note that a grant is being sent."""
        self._under_way[incarnation] += 1

    def end_order(
        self, incarnation: ServerIncarnation, may_have_arrived: bool, now_ms: int
    ) -> None:
        """Note that a grant was answered, or that its connection has ended."""
        self._under_way[incarnation] -= 1
        if may_have_arrived:
            self._sent_ms[incarnation] = now_ms

    def quiet_ms(self, now_ms: int) -> int:
        """Return how far back `sent_orders` looks; orders of an earlier process lie before it."""
        return min(QUIET_MS, now_ms - self._started_ms)

    def sent_orders(
        self, incarnations: Iterable[ServerIncarnation], now_ms: int
    ) -> list[SentOrder]:
        """Return when this node last ordered some servers, where that is not long ago."""
        orders = []
        for incarnation in incarnations:
            ago_ms = now_ms - self._last_own_ms(incarnation, now_ms)
            if ago_ms < self.quiet_ms(now_ms):
                orders.append(
                    SentOrder(Life(incarnation.server_id, incarnation.started_ms), ago_ms)
                )
        return orders

    def _last_own_ms(self, incarnation: ServerIncarnation, now_ms: int) -> int:
        return (
            now_ms
            if self._under_way[incarnation]
            else self._sent_ms.get(incarnation, self._started_ms)
        )

    def hold_end_ms(
        self,
        incarnation: ServerIncarnation,
        ranges: RangeMap,
        map_version: int,
        hold_ms: int,
        now_ms: int,
    ) -> int | None:
        """Return when a server's hold has surely ended under maps before a version, or None.

        `ranges` is the present map, of that version or a newer one.
        """
        last_ms = self._last_sent_by_others_ms(incarnation, ranges, map_version, now_ms)
        if last_ms is None:
            return None
        last_ms = max(last_ms, self._last_own_ms(incarnation, now_ms))
        return last_ms + round(hold_ms * (1 + CLOCK_DRIFT)) + DELIVERY_MARGIN_MS

    def _last_sent_by_others_ms(
        self, incarnation: ServerIncarnation, ranges: RangeMap, map_version: int, now_ms: int
    ) -> int | None:
        """Return the latest time at which another node may have sent an older map's grant."""
        others = ranges.renewers - {self._membership.own_id}
        informed = self._membership.views_at_or_above(self._service, map_version, others)
        last_ms = max((_last_order_ms(view, incarnation) for view in informed.values()), default=0)
        if len(informed) == len(others):
            return last_ms
        ends_ms = [
            self._majority_ms(witnesses, map_version, now_ms) for witnesses in ranges.witness_sets
        ]
        if not ends_ms or any(end_ms is None for end_ms in ends_ms):
            return None
        return max(
            [last_ms, *(end_ms + RENEW_RIGHT_MS for end_ms in ends_ms if end_ms is not None)]
        )

    def _majority_ms(
        self, witnesses: tuple[NodeId, ...], map_version: int, now_ms: int
    ) -> int | None:
        """Return when most of some witnesses first knew a version, or None."""
        known = self._majority_at.get((map_version, witnesses))
        if known is not None:
            return known
        informed = self._membership.views_at_or_above(self._service, map_version, witnesses)
        if not self._membership.is_majority(informed, witnesses):
            return None
        self._majority_at[(map_version, witnesses)] = now_ms
        # Transfers of earlier maps may still wait; older ones than these have ended.
        outdated = map_version - KEPT_MAJORITIES
        self._majority_at = {
            key: at_ms for key, at_ms in self._majority_at.items() if key[0] > outdated
        }
        return now_ms

    def live_sets(self, ranges: RangeMap, now_ms: int) -> WitnessSets:
        """Return the witness sets without earlier ones whose rights have surely ended."""
        kept = [
            witnesses
            for witnesses in ranges.witness_sets[:-1]
            if not self._is_over(witnesses, ranges.version, now_ms)
        ]
        return (*kept, ranges.witnesses)

    def _is_over(self, witnesses: tuple[NodeId, ...], map_version: int, now_ms: int) -> bool:
        known_ms = self._majority_ms(witnesses, map_version, now_ms)
        return known_ms is not None and now_ms - known_ms > RENEW_RIGHT_MS


def _last_order_ms(view: PeerView, incarnation: ServerIncarnation) -> int:
    """Return the own time after which a peer has sent no order to a server before its view."""
    for order in view.view.sent:
        if (
            order.server.server_id == incarnation.server_id
            and order.server.born_ms == incarnation.started_ms
        ):
            return view.received_ms - order.ago_ms
    return view.received_ms - view.view.quiet_ms
