"""Decide when this node may send grants, and when the hold of a lost server has surely ended.

A grant gives a server a hold on a key range: the right to serve it for a limited time, which
renewals extend. A map names its witnesses, the only nodes that may send its grants. A witness sends
them only within RENEW_RIGHT_MS of a moment at which a majority of the witnesses, or the store, knew
no newer map. When a majority of the witnesses report a newer version, its writer therefore knows
the latest time at which another node can have sent a grant of the old version. When the witnesses
change, a map also lists the earlier sets, until a majority of each knows that it is replaced.
"""

from collections import Counter
from collections.abc import Iterable

from nutmeglead._generated.peers.ttypes import Life, SentOrder
from nutmeglead.core.ids import NodeId, ServiceName
from nutmeglead.forwarding.model import ServerIncarnation
from nutmeglead.peers.membership import Membership, PeerView
from nutmeglead.ranges.model import RangeMap, WitnessSets

__all__ = ["CLOCK_DRIFT", "GRANT_HISTORY_MS", "RENEW_RIGHT_MS", "RenewalRights"]

RENEW_RIGHT_MS = 1_000
# Share by which a server's clock, which measures the hold, may run slow (a rule of the
# platform).
CLOCK_DRIFT = 0.02
# Covers the delivery of an order to the server and the rounding of both clocks.
DELIVERY_MARGIN_MS = 100
# Number of map versions for which the times at which a majority knew them are kept.
KEPT_MAP_VERSIONS = 64
# Age up to which sent orders are reported to other nodes; longer than any hold that is granted.
GRANT_HISTORY_MS = 3_000


class RenewalRights:
    """Track which map version of a service is the newest, and when each node last sent grants."""

    def __init__(self, service: ServiceName, membership: Membership, started_ms: int) -> None:
        self._service = service
        self._membership = membership
        self._started_ms = started_ms
        # False from a start of the process until it has read the map in the store: it has lost what
        # it knew, and must not count towards a majority.
        self.is_confirmed = False
        # The newest version in the store when it was last read or written, and that time.
        self._store_version = -1
        self._store_confirmed_ms = -RENEW_RIGHT_MS
        # The times at which a majority of a witness set first knew a map version.
        self._majority_times_ms: dict[tuple[int, tuple[NodeId, ...]], int] = {}
        # Number of grants in flight by server, and when the last one that may have arrived ended.
        self._grants_in_flight: Counter[ServerIncarnation] = Counter()
        self._last_sent_ms: dict[ServerIncarnation, int] = {}

    def confirm_by_store(self, map_version: int, asked_ms: int) -> None:
        """Record the newest version in the store, from a read or write begun at `asked_ms`."""
        self.is_confirmed = True
        self._store_version = map_version
        self._store_confirmed_ms = asked_ms

    def may_send(self, ranges: RangeMap, now_ms: int) -> bool:
        """Return whether this node may send grants of a map now.

        It must be a witness and know no newer map, and a majority of the witnesses or the store
        must have known none in the last RENEW_RIGHT_MS.
        """
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
        """Return whether a majority of witnesses knew no newer map in the last RENEW_RIGHT_MS."""
        if not self.is_confirmed:
            return False
        echo_ms = self._membership.majority_echo_ms(
            self._service, ranges.version, ranges.witnesses, now_ms
        )
        return echo_ms is not None and now_ms - echo_ms <= RENEW_RIGHT_MS

    def begin_grant(self, incarnation: ServerIncarnation) -> None:
        """Count a grant to a server as in flight."""
        self._grants_in_flight[incarnation] += 1

    def end_grant(
        self, incarnation: ServerIncarnation, may_have_arrived: bool, now_ms: int
    ) -> None:
        """Stop counting a grant as in flight; if it may have arrived, record `now_ms` for it."""
        self._grants_in_flight[incarnation] -= 1
        if may_have_arrived:
            self._last_sent_ms[incarnation] = now_ms

    def grant_history_ms(self, now_ms: int) -> int:
        """Return the age up to which `sent_orders` reports grants, at most the process's own age.

        An earlier process on this node may have sent grants before that.
        """
        return min(GRANT_HISTORY_MS, now_ms - self._started_ms)

    def sent_orders(
        self, incarnations: Iterable[ServerIncarnation], now_ms: int
    ) -> list[SentOrder]:
        """Return the servers that got a grant within `grant_history_ms`.

        Each comes with the age of its last grant.
        """
        orders = []
        for incarnation in incarnations:
            ago_ms = now_ms - self._last_own_grant_ms(incarnation, now_ms)
            if ago_ms < self.grant_history_ms(now_ms):
                orders.append(
                    SentOrder(Life(incarnation.server_id, incarnation.started_ms), ago_ms)
                )
        return orders

    def _last_own_grant_ms(self, incarnation: ServerIncarnation, now_ms: int) -> int:
        """Return when this node last sent a grant to a server.

        That is now while one is in flight, and the start of the process if none is recorded.
        """
        return (
            now_ms
            if self._grants_in_flight[incarnation]
            else self._last_sent_ms.get(incarnation, self._started_ms)
        )

    def hold_end_ms(
        self,
        incarnation: ServerIncarnation,
        ranges: RangeMap,
        map_version: int,
        hold_ms: int,
        now_ms: int,
    ) -> int | None:
        """Return when a server's hold under maps older than a version has surely ended.

        Return None while another node may still send grants of those maps. `ranges` is the current
        map, of that version or a newer one.
        """
        last_ms = self._last_grant_by_others_ms(incarnation, ranges, map_version, now_ms)
        if last_ms is None:
            return None
        last_ms = max(last_ms, self._last_own_grant_ms(incarnation, now_ms))
        return last_ms + round(hold_ms * (1 + CLOCK_DRIFT)) + DELIVERY_MARGIN_MS

    def _last_grant_by_others_ms(
        self, incarnation: ServerIncarnation, ranges: RangeMap, map_version: int, now_ms: int
    ) -> int | None:
        """Return the latest time at which another node may have sent a grant of an older map.

        Nodes that report `map_version` or a newer one also report their last grants. The others
        lose the right RENEW_RIGHT_MS after a majority of each witness set knew the version; return
        None until then.
        """
        others = ranges.renewers - {self._membership.own_id}
        informed = self._membership.views_at_or_above(self._service, map_version, others)
        last_ms = max(
            (_last_reported_grant_ms(view, incarnation) for view in informed.values()), default=0
        )
        if len(informed) == len(others):
            return last_ms
        ends_ms = [
            self._majority_time_ms(witnesses, map_version, now_ms)
            for witnesses in ranges.witness_sets
        ]
        if not ends_ms or any(end_ms is None for end_ms in ends_ms):
            return None
        return max(
            [last_ms, *(end_ms + RENEW_RIGHT_MS for end_ms in ends_ms if end_ms is not None)]
        )

    def _majority_time_ms(
        self, witnesses: tuple[NodeId, ...], map_version: int, now_ms: int
    ) -> int | None:
        """Return when a majority of a witness set was first seen to know a version, or None."""
        known = self._majority_times_ms.get((map_version, witnesses))
        if known is not None:
            return known
        informed = self._membership.views_at_or_above(self._service, map_version, witnesses)
        if not self._membership.is_majority(informed, witnesses):
            return None
        self._majority_times_ms[(map_version, witnesses)] = now_ms
        # Transfers begun under recent maps may still wait for these times; older ones have ended.
        outdated = map_version - KEPT_MAP_VERSIONS
        self._majority_times_ms = {
            key: at_ms for key, at_ms in self._majority_times_ms.items() if key[0] > outdated
        }
        return now_ms

    def unexpired_witness_sets(self, ranges: RangeMap, now_ms: int) -> WitnessSets:
        """Return the witness sets without the earlier ones that may no longer send grants."""
        kept = [
            witnesses
            for witnesses in ranges.witness_sets[:-1]
            if not self._has_expired(witnesses, ranges.version, now_ms)
        ]
        return (*kept, ranges.witnesses)

    def _has_expired(self, witnesses: tuple[NodeId, ...], map_version: int, now_ms: int) -> bool:
        """Return whether a replaced witness set has lost the right to send grants."""
        known_ms = self._majority_time_ms(witnesses, map_version, now_ms)
        return known_ms is not None and now_ms - known_ms > RENEW_RIGHT_MS


def _last_reported_grant_ms(view: PeerView, incarnation: ServerIncarnation) -> int:
    """Return when a peer last sent a grant to a server, by this node's clock.

    For a server that the view does not name, return the earliest time that the view covers.
    """
    for order in view.view.sent:
        if (
            order.server.server_id == incarnation.server_id
            and order.server.born_ms == incarnation.started_ms
        ):
            return view.received_ms - order.ago_ms
    return view.received_ms - view.view.quiet_ms
