"""Decide whether a chosen server gets a request now."""

from collections.abc import Callable, Iterator, Mapping

from nutmeglead.core.clock import Clock
from nutmeglead.forwarding.dispatch_settings import DispatchSettings
from nutmeglead.forwarding.load_control import LoadControl
from nutmeglead.forwarding.model import ServerIncarnation
from nutmeglead.forwarding.owner_admission import OwnerAdmission
from nutmeglead.forwarding.pool_admission import PoolAdmission
from nutmeglead.forwarding.upstream import Upstream

__all__ = ["ServerAdmission"]

UNKNOWN_SERVICE_TIME_MS = 300.0


class ServerAdmission:
    """Admit requests to servers with room, and to full or overloaded ones by tokens.

    `has_keys` tells whether the service has keys; its overloaded servers are controlled one by one
    by `owners`, and those of a service without keys together by `pool`. `upstreams` are those of
    the dispatch.
    """

    def __init__(
        self,
        settings: DispatchSettings,
        clock: Clock,
        in_flight_elsewhere: Callable[[int], int],
        node_count: Callable[[], int],
        owners: OwnerAdmission,
        pool: PoolAdmission,
        has_keys: Callable[[], bool],
        upstreams: Mapping[ServerIncarnation, Upstream],
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._in_flight_elsewhere = in_flight_elsewhere
        self._node_count = node_count
        self._owners = owners
        self._pool = pool
        self._has_keys = has_keys
        self._upstreams = upstreams
        self._recent_ms, self._recent_until_ms = 0.0, 0

    def control(self, upstream: Upstream | None) -> LoadControl | None:
        """Return the control of a server; None if the servers have places for all nodes."""
        if not self._has_keys():
            return self._pool.control
        return None if upstream is None else self._owners.control(upstream)

    def controlled_with(self, upstream: Upstream | None) -> list[Upstream]:
        """Return the servers that share the control of a server."""
        if self._has_keys():
            return [] if upstream is None else [upstream]
        return [other for other in self._upstreams.values() if other.is_ready]

    def is_limiting(self) -> bool:
        """Return whether a server of the service is overloaded."""
        controls = [self._pool.control, *(u.control for u in self._upstreams.values())]
        return any(control is not None and control.pace.is_limiting for control in controls)

    def typical_service_time_ms(self) -> float:
        """Return the median service time of the ready servers; 300 ms if none is ready."""
        ready = [upstream for upstream in self._upstreams.values() if upstream.is_ready]
        times = sorted(upstream.service_time_ms for upstream in ready)
        return times[len(times) // 2] if times else UNKNOWN_SERVICE_TIME_MS

    def recent_service_time_ms(self) -> float:
        """Return the typical service time of the last update interval.

        Each pass over waiting requests asks for it.
        """
        now_ms = self._clock.now_ms()
        if now_ms >= self._recent_until_ms:
            self._recent_ms = self.typical_service_time_ms()
            self._recent_until_ms = now_ms + self._settings.shares.update_interval_ms
        return self._recent_ms

    def may_send_any(self, ranks: Iterator[int]) -> bool:
        """Return whether a request of the lowest rank, which comes first, may be sent at all."""
        control = None if self._has_keys() else self._pool.control
        lowest = None if control is None else next(ranks, None)
        if control is None or lowest is None:
            return True
        return control.pace.may_take(lowest, self._clock.now_ms())

    def try_admit(self, upstream: Upstream, rank: int, is_admitted: bool) -> bool:
        """Return whether a request may be sent to a server now; consume a token if it needs one.

        A request that `is_admitted` has passed the share of the owner of its key. Also updates the
        time since which the server has been full.
        """
        upstream.in_flight_elsewhere = self._in_flight_elsewhere(upstream.tag)
        now_ms = self._clock.now_ms()
        if upstream.is_paused(now_ms):
            return False
        control = self.control(upstream)
        if control is not None and not self._has_keys():
            return self._pool.has_place(upstream) and control.pace.try_take(rank, now_ms)
        if control is not None and control.pace.is_limiting:
            return is_admitted or control.pace.try_take(rank, now_ms)
        if not self.is_full(upstream):
            upstream.full_since_ms = None
            return control is None or not self._may_be_peak(upstream, now_ms)
        if upstream.full_since_ms is None:
            upstream.full_since_ms = now_ms
        max_in_flight = upstream.record.slots * self._settings.max_requests_per_slot
        return upstream.in_flight < max_in_flight and upstream.try_consume_token(
            self._node_count(), now_ms
        )

    def _may_be_peak(self, upstream: Upstream, now_ms: int) -> bool:
        """Return whether other nodes may have sent to an owner what they have not reported yet.

        With many nodes, a second request of one node within the age of the reports is unusual for
        an owner of keys, and shows a hot key before the reports do.
        """
        if not self._has_keys() or upstream.last_assigned_ms is None:
            return False
        return now_ms - upstream.last_assigned_ms < self._settings.shares.report_age_ms

    def is_full(self, upstream: Upstream) -> bool:
        """Return whether this node needs a token to send another request to the server."""
        return upstream.is_full(self._settings.max_requests_per_slot, self._node_count())
