"""Bound the time in which a node may repeat grants, and when a lost holder's hold has ended.

A node may send a grant of map version v only within RENEW_RIGHT_MS of a moment at which a majority
of the entry VMs, or the store, knew no newer version. A mover that has written a newer version and
sees it at a majority therefore knows when the last grant of the old version was sent at the latest.
"""

from collections import Counter

from nutmeglead.core.ids import ServiceName
from nutmeglead.forwarding.model import ServerLife
from nutmeglead.peers.membership import Membership

__all__ = ["CLOCK_DRIFT", "RENEW_RIGHT_MS", "RenewalRights"]

RENEW_RIGHT_MS = 1_000
# A server's clock that measures the hold may run 2% slow (platform).
CLOCK_DRIFT = 0.02
# Covers an order's way to the server and the rounding of both clocks.
DELIVERY_MARGIN_MS = 100
KEPT_MAJORITIES = 64


class RenewalRights:
    """Track what is known of the map's newest version and of grants sent by anyone."""

    def __init__(self, service: ServiceName, membership: Membership, started_ms: int) -> None:
        self._service = service
        self._membership = membership
        self._started_ms = started_ms
        self._store_version = -1
        self._store_confirmed_ms = -RENEW_RIGHT_MS
        self._majority_at: dict[int, int] = {}
        # Orders under way, and when the last one that may have arrived ended.
        self._under_way: Counter[ServerLife] = Counter()
        self._sent_ms: dict[ServerLife, int] = {}
        self._any_sent_ms = started_ms

    def confirm_by_store(self, map_version: int, asked_ms: int) -> None:
        """Note the newest version in the store, read at or after a time."""
        self._store_version = map_version
        self._store_confirmed_ms = asked_ms

    def may_send(self, map_version: int, now_ms: int) -> bool:
        """Tell whether grants of a map version may be sent now."""
        if self._membership.knows_newer(self._service, map_version):
            return False
        if self._store_version > map_version:
            return False
        if self.is_confirmed_by_majority(map_version, now_ms):
            return True
        by_store = self._store_version == map_version
        return by_store and now_ms - self._store_confirmed_ms <= RENEW_RIGHT_MS

    def is_confirmed_by_majority(self, map_version: int, now_ms: int) -> bool:
        """Tell whether a majority has confirmed a version lately."""
        echo_ms = self._membership.majority_echo_ms(self._service, map_version, now_ms)
        return echo_ms is not None and now_ms - echo_ms <= RENEW_RIGHT_MS

    def begin_order(self, life: ServerLife) -> None:
        """Note that a grant is being sent."""
        self._under_way[life] += 1

    def end_order(self, life: ServerLife, may_have_arrived: bool, now_ms: int) -> None:
        """Note that a grant was answered, or that its connection has ended."""
        self._under_way[life] -= 1
        if may_have_arrived:
            self._sent_ms[life] = now_ms
            self._any_sent_ms = now_ms

    def sent_ago_ms(self, now_ms: int) -> int:
        """Return the time since this node last sent any grant, or since it started."""
        if any(self._under_way.values()):
            return 0
        return now_ms - self._any_sent_ms

    def hold_end_ms(
        self, life: ServerLife, map_version: int, hold_ms: int, now_ms: int
    ) -> int | None:
        """Return when a server's hold has surely ended under older maps, or None if unknown yet."""
        last_ms = self._last_sent_by_others_ms(map_version, now_ms)
        if last_ms is None:
            return None
        own_ms = now_ms if self._under_way[life] else self._sent_ms.get(life, self._started_ms)
        last_ms = max(last_ms, own_ms)
        return last_ms + round(hold_ms * (1 + CLOCK_DRIFT)) + DELIVERY_MARGIN_MS

    def _last_sent_by_others_ms(self, map_version: int, now_ms: int) -> int | None:
        """Return the latest time at which another node may have sent an older map's grant."""
        informed = self._membership.nodes_at(self._service, map_version)
        last_ms = max((peer.views[self._service].last_renewal_ms for peer in informed), default=0)
        if self._membership.has_rows and len(informed) + 1 == self._membership.node_count:
            return last_ms
        if map_version not in self._majority_at:
            if not self._membership.is_majority(len(informed)):
                return None
            self._majority_at[map_version] = now_ms
            # Transfers of earlier maps may still wait; older ones than these have ended.
            self._majority_at.pop(map_version - KEPT_MAJORITIES, None)
        return max(last_ms, self._majority_at[map_version] + RENEW_RIGHT_MS)
