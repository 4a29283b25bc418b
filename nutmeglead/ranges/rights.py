"""Decide when this node may send grants, and when the hold of a lost server has surely ended.

A grant gives a server a hold on a key range: the right to serve it for a limited time, which
renewals extend. A map names its witnesses, the only nodes that may send its grants. A witness sends
them only within RENEW_RIGHT_MS of a moment at which enough of the witnesses, or the store, knew no
newer map; `expiry.py` states when this right ends. The writer of a newer version therefore knows
the latest time at which another node can have sent a grant of the old version. When the witnesses
change, a map also lists the earlier sets, until they have lost their rights.

A hold begins when the grant arrives. A grant that was not answered can arrive until its connection
is reset, which ends its exchange on a node that is alive and on one whose process is killed. If the
process is frozen, its kernel drops the grant within GRANT_TRANSIT_MS of the send.
"""

from collections import Counter
from collections.abc import Iterable
from itertools import chain

from nutmeglead._generated.peers.ttypes import Life, SentOrder
from nutmeglead.core.ids import ServiceName
from nutmeglead.forwarding.model import ServerIncarnation
from nutmeglead.peers.membership import Membership
from nutmeglead.peers.peer import PeerView
from nutmeglead.ranges.expiry import (
    CLOCK_DRIFT,
    RENEW_RIGHT_MS,
    STORE_READ_VALID_FOR_ALL_MS,
    STORE_READ_VALID_MS,
    RightsExpiry,
)
from nutmeglead.ranges.model import RangeMap, WitnessSets

__all__ = ["DELIVERY_MARGIN_MS", "GRANT_HISTORY_MS", "GRANT_TRANSIT_MS", "RenewalRights"]

# Longest time after a grant was written for which its sender's kernel may send it. The kernel drops
# it after GRANT_TIMEOUT_MS (160 ms) without an acknowledgement, but checks this only when it sends
# again: 200 ms, the shortest retransmission timeout of TCP, and a round trip after the first time.
GRANT_TRANSIT_MS = 250
# Covers the time of a grant in the network and the rounding of both clocks.
DELIVERY_MARGIN_MS = 100
# Time after the witnesses' newest read of the store at which one of them reads it again. The others
# learn of that read from its heartbeats, and wait longer by one step for each place in the list.
STORE_READ_INTERVAL_MS = 5_000
STORE_READ_STEP_MS = 500
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
        self._expiry = RightsExpiry(service, membership)
        # Number of grants in flight by server, and when the last one that may have arrived ended:
        # it was answered, or its connection was reset.
        self._grants_in_flight: Counter[ServerIncarnation] = Counter()
        self._last_sent_ms: dict[ServerIncarnation, int] = {}

    def confirm_by_store(self, map_version: int, asked_ms: int) -> None:
        """Record the newest version in the store, from a read or write begun at `asked_ms`."""
        self.is_confirmed = True
        self._store_version = map_version
        self._store_confirmed_ms = asked_ms

    def may_send(self, ranges: RangeMap, now_ms: int) -> bool:
        """Return whether this node may send grants of a map now.

        It must be a witness and know no newer map, and enough witnesses, or the store, must have
        known none in the last RENEW_RIGHT_MS.
        """
        if self._membership.own_id not in ranges.witnesses:
            return False
        if self._membership.is_newer_map_known(self._service, ranges.version):
            return False
        if self._store_version > ranges.version:
            return False
        if self.is_confirmed_by_witnesses(ranges, now_ms):
            return True
        by_store = self._store_version == ranges.version
        return by_store and now_ms - self._store_confirmed_ms <= RENEW_RIGHT_MS

    def is_confirmed_by_witnesses(self, ranges: RangeMap, now_ms: int) -> bool:
        """Return whether enough witnesses knew no newer map in the last RENEW_RIGHT_MS.

        A majority of them is enough after a recent read of the map in the store.
        """
        read_age_ms = self._store_read_age_ms(ranges, now_ms)
        if not self.is_confirmed or read_age_ms > STORE_READ_VALID_FOR_ALL_MS:
            return False
        witnesses = ranges.witnesses
        is_recent = read_age_ms <= STORE_READ_VALID_MS
        needed = len(witnesses) // 2 + 1 if is_recent else len(witnesses)
        echo_ms = self._membership.echo_ms(self._service, ranges.version, witnesses, needed, now_ms)
        return echo_ms is not None and now_ms - echo_ms <= RENEW_RIGHT_MS

    def _store_read_age_ms(self, ranges: RangeMap, now_ms: int) -> int:
        """Return the longest time since the witnesses' newest read of the map in the store."""
        reads_ms = self._membership.store_reads_ms(self._service, ranges.version, ranges.witnesses)
        return now_ms - max([self._store_confirmed_ms, *reads_ms])

    def is_store_read_due(self, ranges: RangeMap, now_ms: int) -> bool:
        """Return whether this witness is to read the store, so that a majority stays enough."""
        place = ranges.witnesses.index(self._membership.own_id)
        due_ms = STORE_READ_INTERVAL_MS + place * STORE_READ_STEP_MS
        return self._store_read_age_ms(ranges, now_ms) >= due_ms

    def store_read_ago_ms(self, now_ms: int) -> int | None:
        """Return how long ago the last read of the store began, or None if that is too long ago."""
        ago_ms = now_ms - self._store_confirmed_ms
        return ago_ms if self.is_confirmed and ago_ms <= STORE_READ_VALID_FOR_ALL_MS else None

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

        Each comes with the age of its last grant. While one is in flight the age is negative: if
        this is the last report of this node, the grant may arrive within GRANT_TRANSIT_MS.
        """
        orders = []
        for incarnation in incarnations:
            ago_ms = now_ms - self._last_own_grant_ms(incarnation, now_ms)
            if self._grants_in_flight[incarnation]:
                ago_ms = -GRANT_TRANSIT_MS
            if ago_ms < self.grant_history_ms(now_ms):
                orders.append(
                    SentOrder(Life(incarnation.server_id, incarnation.started_ms), ago_ms)
                )
        return orders

    def _last_own_grant_ms(self, incarnation: ServerIncarnation, now_ms: int) -> int:
        """Return when a grant of this node can have arrived last at a server, until now.

        That is now while one is in flight, and the start of the process if none is recorded: what
        an earlier process of this node sent was dropped when that one ended.
        """
        return (
            now_ms
            if self._grants_in_flight[incarnation]
            else self._last_sent_ms.get(incarnation, self._started_ms)
        )

    def hold_end_ms(
        self,
        incarnation: ServerIncarnation,
        started: RangeMap,
        current: RangeMap,
        hold_ms: int,
        now_ms: int,
    ) -> int | None:
        """Return when a server's hold under maps older than `started` has surely ended.

        Return None while another node may still send grants of those maps. `current` is the newest
        map, the same one or a later one.
        """
        last_ms = self._last_grant_by_others_ms(incarnation, started, current, now_ms)
        if last_ms is None:
            return None
        last_ms = max(last_ms, self._last_own_grant_ms(incarnation, now_ms))
        return last_ms + round(hold_ms * (1 + CLOCK_DRIFT)) + DELIVERY_MARGIN_MS

    def _last_grant_by_others_ms(
        self, incarnation: ServerIncarnation, started: RangeMap, current: RangeMap, now_ms: int
    ) -> int | None:
        """Return the latest time at which a grant of an older map by another node may be sent on.

        Nodes that report the version of `started` or a newer one also report their last grants.
        Return None while one of the others may still have the right to send grants. Sets that
        became witnesses later never had that right under an older map, and the current map no
        longer lists those whose grants have ended.
        """
        witness_sets = [
            witnesses for witnesses in started.witness_sets if witnesses in current.witness_sets
        ]
        others = frozenset(chain.from_iterable(witness_sets)) - {self._membership.own_id}
        informed = self._membership.views_at_or_above(self._service, started.version, others)
        last_ms = max(
            (_last_reported_grant_ms(view, incarnation) for view in informed.values()), default=0
        )
        if len(informed) == len(others):
            return last_ms
        for witnesses in witness_sets:
            end_ms = self._expiry.end_ms(witnesses, started.version, now_ms)
            if end_ms is None:
                return None
            last_ms = max(last_ms, end_ms + GRANT_TRANSIT_MS)
        return last_ms

    def unexpired_witness_sets(self, ranges: RangeMap, now_ms: int) -> WitnessSets:
        """Return the witness sets without the earlier ones that may no longer send grants."""
        return self._expiry.unexpired_sets(ranges, now_ms)


def _last_reported_grant_ms(view: PeerView, incarnation: ServerIncarnation) -> int:
    """Return when a grant of a peer may arrive last at a server, by this node's clock.

    For a server that the view does not name, return the earliest time that the view covers.
    """
    for order in view.view.sent:
        if (
            order.server.server_id == incarnation.server_id
            and order.server.born_ms == incarnation.started_ms
        ):
            return view.received_ms - order.ago_ms
    return view.received_ms - view.view.quiet_ms
