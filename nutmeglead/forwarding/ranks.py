"""Rank requests by priority, and behind those in time the ones that are late anyway."""

from nutmeglead.core.clock import Clock
from nutmeglead.forwarding.request import CallerRequest
from nutmeglead.scheduling.time_used import TimeUsed, TimeUsedSettings

__all__ = ["RequestRanks"]

MAX_ROUTES = 256


class RequestRanks:
    """Return the rank of requests; the lowest goes first.

    A caller's target latency counts from its first attempt. Where a server is overloaded, a
    returned caller that is late anyway must not take a slot from one that can be answered in time.
    """

    def __init__(self, settings: TimeUsedSettings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        self._routes: dict[str, TimeUsed] = {}

    def observe(self, request: CallerRequest) -> None:
        """Count the time that the caller of a request states to have left."""
        times = self._routes.get(request.route.name)
        if times is None and len(self._routes) < MAX_ROUTES:
            times = self._routes[request.route.name] = TimeUsed(self._settings)
        if times is not None:
            times.observe(request.deadline_ms - request.received_ms, request.received_ms)

    def rank(self, request: CallerRequest, service_time_ms: float) -> int:
        """Return twice the priority, and one more for a request that is late anyway.

        Where no request was observed, priorities alone count.
        """
        rank = 2 * request.route.priority
        times = self._routes.get(request.route.name)
        if times is None:
            return rank
        used_ms = times.used_ms(request.deadline_ms - request.received_ms)
        used_ms += self._clock.now_ms() - request.received_ms
        return rank + (used_ms + service_time_ms > request.route.target_latency_ms)
