"""Compute until when a request may wait on this node for a server."""

from collections.abc import Callable

from nutmeglead.core.clock import Clock
from nutmeglead.forwarding.dispatch_settings import DispatchSettings
from nutmeglead.forwarding.request import CallerRequest
from nutmeglead.forwarding.server_admission import ServerAdmission
from nutmeglead.forwarding.server_use import ServerUse
from nutmeglead.forwarding.stop_limit import StopLimit
from nutmeglead.forwarding.upstream import Upstream

__all__ = ["WaitLimits"]


class WaitLimits:
    """Compute the times until which requests may wait, or 0 for those that may not."""

    def __init__(
        self,
        settings: DispatchSettings,
        clock: Clock,
        stop_limit: StopLimit,
        servers: ServerAdmission,
        server_use: ServerUse,
        node_count: Callable[[], int],
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._stop_limit = stop_limit
        self._servers = servers
        self._server_use = server_use
        self._node_count = node_count

    def wait_until_ms(
        self, request: CallerRequest, upstream: Upstream, rank: int, ahead: int, is_waiting: bool
    ) -> int:
        """Return the time until which the request may wait, or 0 if the answer would be too late.

        `ahead` requests wait before it. Under lasting overload, an answer must be expected within
        the target latency: a request that is late anyway would take a slot from one that can still
        be answered in time. During a burst the limit is the deadline, so that requests are answered
        late instead of refused.
        """
        now_ms = self._clock.now_ms()
        control, limit_ms = self._servers.control(upstream), request.deadline_ms
        is_shared = control is not None and control.pace.is_limiting
        if is_shared or upstream.is_congested(now_ms):
            limit_ms = min(limit_ms, request.received_ms + request.route.target_latency_ms)
        # At a shared server, the requests before this one wait for tokens as well.
        duration_ms = upstream.expected_duration_ms(now_ms, 0 if is_shared else ahead)
        duration_ms += self._server_use.pause_ms(upstream)
        if control is not None and control.pace.is_limiting:
            margin = 1.0 if is_waiting else self._settings.shares.wait_margin
            duration_ms += margin * control.pace.wait_ms(ahead, rank, now_ms)
        elif control is None and self._servers.is_full(upstream):
            duration_ms += upstream.token_wait_ms(self._node_count(), ahead, now_ms)
        start_by_ms = self._stop_limit.start_by_ms(upstream.service_time_ms)
        expected_start_ms = now_ms + duration_ms - upstream.service_time_ms
        if now_ms + duration_ms > limit_ms or expected_start_ms >= start_by_ms:
            return 0
        return round(min(limit_ms - upstream.service_time_ms, start_by_ms))

    def hold_until_ms(self, request: CallerRequest, service_time_ms: float) -> int:
        """Return until when a request may wait for an owner of its key, or 0 if it is too late.

        A planned move lasts as long as the work at the previous owner, which may also have refused
        the request after a time in its queue. The new owner needs time for its answer.
        """
        now_ms = self._clock.now_ms()
        in_time_ms = request.received_ms + request.route.target_latency_ms
        in_time_ms -= round(service_time_ms)
        until_ms: float = max(now_ms + self._settings.max_hold_ms, in_time_ms)
        start_by_ms = self._stop_limit.start_by_ms(service_time_ms)
        until_ms = min(request.deadline_ms - service_time_ms, until_ms, start_by_ms)
        return round(until_ms) if until_ms > now_ms else 0

    def start_until_ms(self, upstream: Upstream | None, service_time_ms: float) -> int:
        """Return until when this stopping node may send a request, or 0 if never.

        `service_time_ms` is the typical one, which counts while there is no server.
        """
        now_ms = self._clock.now_ms()
        if upstream is None:
            return round(self._stop_limit.start_by_ms(service_time_ms))
        start_by_ms = self._stop_limit.start_by_ms(upstream.service_time_ms)
        if now_ms + upstream.backoff_left_ms(now_ms) >= start_by_ms:
            return 0
        return round(start_by_ms)
