"""Adapt the admission shares of all owners of a service's keys."""

import random
from collections.abc import Callable, Iterable

from nutmeglead.core.clock import Clock
from nutmeglead.forwarding.admission import ServerLoadModel
from nutmeglead.forwarding.dispatch_settings import DispatchSettings
from nutmeglead.forwarding.load_control import LoadControl, log_limiting
from nutmeglead.forwarding.upstream import Upstream
from nutmeglead.scheduling.counts import LoadCounts
from nutmeglead.scheduling.shares import ServerRate

__all__ = ["OwnerAdmission"]

DEFAULT_TARGET_LATENCY_MS = 1_000


class OwnerAdmission:
    """Decide which requests go to the overloaded owners of keys.

    `in_flight_elsewhere` returns the requests that other nodes have reported in flight at the
    server with a tag, and `node_count` the number of live nodes.
    """

    def __init__(
        self,
        settings: DispatchSettings,
        clock: Clock,
        rng: random.Random,
        in_flight_elsewhere: Callable[[int], int],
        node_count: Callable[[], int],
        counts: LoadCounts,
    ) -> None:
        # Lowest target latency of the routes that lead to the service.
        self.target_latency_ms = DEFAULT_TARGET_LATENCY_MS
        self._settings = settings.admission
        self._dispatch_settings = settings
        self._max_requests_per_slot = settings.max_requests_per_slot
        self._clock = clock
        self._rng = rng
        self._in_flight_elsewhere = in_flight_elsewhere
        self._node_count = node_count
        self._counts = counts
        self._next_update_ms = 0

    def is_due(self) -> bool:
        """Return whether an update interval is over."""
        return self._clock.now_ms() >= self._next_update_ms

    def update(self, upstreams: Iterable[Upstream]) -> None:
        """Adapt the shares to the requests in flight, once in an update interval."""
        now_ms = self._clock.now_ms()
        self._next_update_ms = now_ms + self._settings.update_interval_ms
        for upstream in upstreams:
            upstream.in_flight_elsewhere = self._in_flight_elsewhere(upstream.tag)
            is_idle = upstream.total_in_flight <= upstream.record.slots
            control = upstream.control
            is_limiting = upstream.admission.is_limiting or (control and control.pace.is_limiting)
            # Every goal is above the slots; most owners are passed over here.
            if is_idle and not is_limiting:
                continue
            self._update_owner(upstream, now_ms)

    def _update_owner(self, owner: Upstream, now_ms: int) -> None:
        control, model = self.control(owner), self._load_model(owner)
        if control is None:
            owner.admission.update(owner.total_in_flight, model)
            return
        rate = ServerRate(
            model.slots, model.service_time_ms, model.goal(self._settings.target_share)
        )
        is_change = control.update(owner.total_in_flight, rate, self._node_count(), now_ms)
        if is_change:
            log_limiting(control, owner.record.service, owner.total_in_flight, owner.record)

    def control(self, owner: Upstream) -> LoadControl | None:
        """Return the control of an owner with fewer places than there are nodes, else None."""
        settings = self._dispatch_settings
        places = owner.record.slots * self._max_requests_per_slot
        if not settings.shares.applies(places, self._node_count()):
            return None
        if owner.control is None:
            owner.control = LoadControl(settings.shares, settings.returns, self._rng, self._counts)
        return owner.control

    def admits(self, owner: Upstream, rank: int) -> bool:
        """Return whether the next request for a key of this owner is sent to it."""
        control = self.control(owner)
        if control is not None:
            return control.pace.try_take(rank, self._clock.now_ms())
        if not owner.admission.is_limiting:
            return True
        return owner.admission.try_admit(
            owner.in_flight, self._load_model(owner), self._node_count()
        )

    def _load_model(self, upstream: Upstream) -> ServerLoadModel:
        slots = upstream.record.slots
        max_in_flight = slots * self._max_requests_per_slot
        return ServerLoadModel(
            slots, upstream.service_time_ms, self.target_latency_ms, max_in_flight
        )
