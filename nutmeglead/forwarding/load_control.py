"""Control the requests to one overloaded server, or to all servers of a service together."""

import logging
import random
from collections.abc import Iterable
from typing import Protocol

from nutmeglead.core.events import Event, log_event
from nutmeglead.core.ids import ServiceName
from nutmeglead.forwarding.model import ServerRecord
from nutmeglead.scheduling.counts import LoadCounts
from nutmeglead.scheduling.return_times import RETURN_TIMES, Refused, ReturnSettings
from nutmeglead.scheduling.shares import PacedShare, ServerRate, ShareSettings

__all__ = ["LoadControl", "TimedServer", "log_limiting", "pool_rate"]

logger = logging.getLogger(__name__)


class TimedServer(Protocol):
    """Interface of a server with its slots and its service time."""

    record: ServerRecord
    service_time_ms: float


class LoadControl:
    """Hold the paced share of this node, and the returns that it has promised."""

    def __init__(
        self,
        shares: ShareSettings,
        returns: ReturnSettings,
        rng: random.Random,
        counts: LoadCounts,
    ) -> None:
        self.pace = PacedShare(shares, rng, counts)
        self.returns = RETURN_TIMES.get(returns.variant)(returns, rng, counts)

    def update(self, in_flight: float, rate: ServerRate, node_count: int, now_ms: int) -> bool:
        """Follow the requests in flight; return whether the limit has begun or ended."""
        was_limiting = self.pace.is_limiting
        self.pace.update(in_flight, rate, node_count, now_ms)
        return self.pace.is_limiting != was_limiting

    def retry_after_ms(self, refused: Refused, now_ms: int) -> int:
        """Return the Retry-After time of a refused request."""
        return self.returns.retry_after_ms(refused, now_ms)


def pool_rate(
    servers: Iterable[TimedServer], shares: ShareSettings, target_latency_ms: int
) -> ServerRate | None:
    """Return what servers finish together, with their goal; None if there is no server."""
    slots, per_ms = 0, 0.0
    for server in servers:
        slots += server.record.slots
        per_ms += server.record.slots / server.service_time_ms
    if not slots:
        return None
    service_time_ms = slots / per_ms
    per_slot = shares.pool_requests_per_slot(target_latency_ms, service_time_ms)
    return ServerRate(slots, service_time_ms, max(slots + 1.0, slots * per_slot))


def log_limiting(
    control: LoadControl, service: ServiceName, in_flight: int, owner: ServerRecord | None = None
) -> None:
    """Log that the requests to an owner of keys, or to a service's servers, are limited or not."""
    log_event(
        logger,
        Event.SHARE_LIMITED if control.pace.is_limiting else Event.SHARE_RELEASED,
        service=service,
        server=None if owner is None else owner.server_id,
        in_flight=in_flight,
    )
