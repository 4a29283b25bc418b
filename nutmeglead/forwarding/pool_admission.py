"""Limit the requests to all servers of a service without keys together."""

import math
import random
from collections.abc import Callable, Collection

from nutmeglead.core.clock import Clock
from nutmeglead.core.ids import ServiceName
from nutmeglead.forwarding.dispatch_settings import DispatchSettings
from nutmeglead.forwarding.load_control import LoadControl, log_limiting, pool_rate
from nutmeglead.forwarding.upstream import Upstream
from nutmeglead.scheduling.counts import LoadCounts

__all__ = ["PoolAdmission"]


class PoolAdmission:
    """Share the rate of a service's servers between nodes; the rest of the requests waits there.

    A full server resets connections, and a reset says nothing about whether a request has run, so
    requests wait on the nodes and not at the servers. `control` is None where the servers have
    places for all nodes.
    """

    def __init__(
        self,
        service: ServiceName,
        settings: DispatchSettings,
        clock: Clock,
        rng: random.Random,
        in_flight_elsewhere: Callable[[int], int],
        node_count: Callable[[], int],
        counts: LoadCounts,
        target_latency_ms: Callable[[], int],
    ) -> None:
        self.control: LoadControl | None = None
        self._places_per_slot = math.inf
        self._service = service
        self._settings = settings
        self._clock = clock
        self._rng = rng
        self._in_flight_elsewhere = in_flight_elsewhere
        self._node_count = node_count
        self._counts = counts
        self._target_latency_ms = target_latency_ms
        self._next_update_ms = 0

    @property
    def target_latency_ms(self) -> int:
        """Return the lowest target latency of the routes that lead to the service."""
        return self._target_latency_ms()

    def has_place(self, upstream: Upstream) -> bool:
        """Return whether a server may have a place in its queue, as its load was reported."""
        return upstream.total_in_flight < upstream.record.slots * self._places_per_slot

    def is_due(self) -> bool:
        """Return whether an update interval is over."""
        return self._clock.now_ms() >= self._next_update_ms

    def update(self, upstreams: Collection[Upstream]) -> None:
        """Follow the requests in flight at the usable servers, once in an update interval."""
        now_ms, settings = self._clock.now_ms(), self._settings
        self._next_update_ms = now_ms + settings.shares.update_interval_ms
        rate = pool_rate(upstreams, settings.shares, self.target_latency_ms)
        if rate is None:
            return
        places = settings.max_requests_per_slot * rate.slots / len(upstreams)
        if not settings.shares.applies(places, self._node_count()):
            self.control = None
            return
        self._places_per_slot = settings.shares.pool_spread * rate.goal / rate.slots
        if self.control is None:
            self.control = LoadControl(settings.shares, settings.returns, self._rng, self._counts)
        for upstream in upstreams:
            upstream.in_flight_elsewhere = self._in_flight_elsewhere(upstream.tag)
        in_flight = sum(upstream.total_in_flight for upstream in upstreams)
        if self.control.update(in_flight, rate, self._node_count(), now_ms):
            log_limiting(self.control, self._service, in_flight)
