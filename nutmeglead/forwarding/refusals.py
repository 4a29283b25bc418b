"""Build the refusals of requests that get no server, with the times at which callers return."""

from collections import Counter
from collections.abc import Callable

from nutmeglead.core.clock import Clock
from nutmeglead.forwarding.dispatch_settings import DispatchSettings
from nutmeglead.forwarding.errors import Overloaded, RefusalReason
from nutmeglead.forwarding.load_control import pool_rate
from nutmeglead.forwarding.request import CallerRequest
from nutmeglead.forwarding.server_admission import ServerAdmission
from nutmeglead.forwarding.server_use import ServerUse
from nutmeglead.forwarding.stop_limit import StopLimit
from nutmeglead.forwarding.upstream import Upstream
from nutmeglead.scheduling.return_times import Refused

__all__ = ["Refusals"]


class Refusals:
    """Build refusals, and count them by reason in `counts`."""

    def __init__(
        self,
        settings: DispatchSettings,
        clock: Clock,
        servers: ServerAdmission,
        server_use: ServerUse,
        stop_limit: StopLimit,
        node_count: Callable[[], int],
    ) -> None:
        self.counts: Counter[RefusalReason] = Counter()
        self._settings = settings
        self._clock = clock
        self._servers = servers
        self._server_use = server_use
        self._stop_limit = stop_limit
        self._node_count = node_count

    def refuse(self, reason: RefusalReason, retry_after_ms: float) -> Overloaded:
        """Return a refusal after which callers return after at least the shortest time."""
        self.counts[reason] += 1
        return Overloaded(reason, max(self._settings.min_retry_after_ms, round(retry_after_ms)))

    def evacuated(self) -> Overloaded:
        """Return the refusal of a request for a service whose servers are all evacuated."""
        return self.refuse(RefusalReason.EVACUATED, self._settings.no_server_retry_after_ms)

    def owner_gone(self) -> Overloaded:
        """Return the refusal of a request for a key that cannot get another owner now."""
        return self.refuse(RefusalReason.OWNER_GONE, self._settings.no_server_retry_after_ms)

    def for_server(self, request: CallerRequest, upstream: Upstream | None) -> Overloaded:
        """Return the refusal of a request that should go to `upstream`, or has no usable server."""
        if upstream is None:
            return self.refuse(RefusalReason.NO_SERVER, self._settings.no_server_retry_after_ms)
        now_ms = self._clock.now_ms()
        backoff_ms = upstream.backoff_left_ms(now_ms)
        if now_ms + backoff_ms >= self._stop_limit.start_by_ms(upstream.service_time_ms):
            # Other nodes may have room at once; a server's backoff is that of this node alone.
            return self.refuse(RefusalReason.STOPPING, 0)
        if warmup_ms := self._server_use.warmup_wait_ms(upstream):
            return self.refuse(RefusalReason.WARMING_UP, warmup_ms)
        if backoff_ms:
            return self.refuse(RefusalReason.BACKOFF, backoff_ms)
        return self.overloaded(RefusalReason.SERVERS_BUSY, request, upstream)

    def overloaded(
        self, reason: RefusalReason, request: CallerRequest, upstream: Upstream | None
    ) -> Overloaded:
        """Return a refusal because of the load of a server, or of the servers of the service.

        Without control of their load, callers return after the typical service time.
        """
        control = self._servers.control(upstream)
        servers = self._servers.controlled_with(upstream)
        rate = pool_rate(servers, self._settings.shares, request.route.target_latency_ms)
        if control is None or rate is None:
            return self.refuse(reason, self._servers.typical_service_time_ms())
        now_ms = self._clock.now_ms()
        in_flight = sum(upstream.total_in_flight for upstream in servers)
        refused = Refused(
            left_ms=request.deadline_ms - now_ms,
            target_left_ms=request.received_ms + request.route.target_latency_ms - now_ms,
            service_time_ms=rate.service_time_ms,
            rate_per_ms=rate.per_ms / max(1, self._node_count()),
            backlog_ms=max(0, in_flight - rate.slots) / rate.per_ms,
            is_lasting=control.pace.is_limiting,
        )
        return self.refuse(reason, control.retry_after_ms(refused, now_ms))
