"""Decide which servers of a service may get requests, by their state and failure domain."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Iterable

from nutmeglead.core.clock import Clock
from nutmeglead.core.ids import ServiceName
from nutmeglead.forwarding.dispatch_settings import DispatchSettings
from nutmeglead.forwarding.model import ServerIncarnation, ServerState
from nutmeglead.forwarding.registry import ServerRegistry
from nutmeglead.forwarding.upstream import Upstream
from nutmeglead.scheduling.warmup import WarmupLimiter

__all__ = ["ServerUse"]


class ServerUse:
    """Apply leaving, evacuation and warm-up to the servers of one service.

    `on_slot` is called when this node may send a request to a server that is warming up.
    """

    def __init__(
        self,
        service: ServiceName,
        registry: ServerRegistry,
        clock: Clock,
        rng: random.Random,
        settings: DispatchSettings,
        on_slot: Callable[[], None],
    ) -> None:
        self._service = service
        self._warmups = registry.warmups
        self._rng = rng
        self._on_slot = on_slot
        self._limiters: dict[ServerIncarnation, WarmupLimiter] = {}
        self._next_slot: asyncio.TimerHandle | None = None
        self._evacuations = registry.evacuations
        self._clock = clock
        # For how long an owner of keys is used after its leaving began.
        self.leaving_use_ms = settings.leaving_use_ms

    def may_send_to(self, upstream: Upstream, has_keys: bool) -> bool:
        """Return whether a server is present and wants requests, or has just begun to leave.

        Of the servers that have announced their leaving or are evacuated, only the owners of keys
        are used. A server whose address another one has got is not.
        """
        if upstream.removed_since_ms is not None or upstream.has_lost_address:
            return False
        record, now_ms = upstream.record, self._clock.now_ms()
        if record.state is ServerState.LEAVING and not has_keys:
            return False
        if self._evacuations.domains and not self._evacuations.may_send_to(
            record.failure_domain, has_keys, now_ms
        ):
            return False
        age_ms = upstream.leaving_age_ms(now_ms)
        return age_ms is None or age_ms < self.leaving_use_ms

    def is_all_evacuated(self, upstreams: Iterable[Upstream], has_keys: bool) -> bool:
        """Return whether no server may get requests, since all ready ones are evacuated."""
        if not self._evacuations.domains:
            return False
        domains = {upstream.record.failure_domain for upstream in upstreams if upstream.is_ready}
        now_ms = self._clock.now_ms()
        return bool(domains) and not any(
            self._evacuations.may_send_to(domain, has_keys, now_ms) for domain in domains
        )

    def warmup_wait_ms(self, upstream: Upstream) -> int:
        """Return the time until this node may send a server a request, 0 if it is not limited."""
        server, now_ms = upstream.record.incarnation, self._clock.now_ms()
        if not self._warmups.is_limited(self._service, server, now_ms):
            self._limiters.pop(server, None)
            return 0
        left_ms = self._warmups.limited_until_ms(server) - now_ms
        interval_ms = self._warmups.interval_ms(self._service, now_ms)
        if interval_ms is None:
            return left_ms
        limiter = self._limiters.get(server)
        if limiter is None:
            limiter = self._limiters[server] = WarmupLimiter(self._rng)
        return min(left_ms, limiter.wait_ms(interval_ms, now_ms))

    def pause_ms(self, upstream: Upstream) -> int:
        """Return for how long this node may send a server nothing, for backoff or warm-up."""
        backoff_ms = upstream.backoff_left_ms(self._clock.now_ms())
        return max(backoff_ms, self.warmup_wait_ms(upstream))

    def has_room(self, upstream: Upstream) -> bool:
        """Return whether a server's warm-up lets this node send it a request now.

        If not, waiting requests are assigned again once it does.
        """
        wait_ms = self.warmup_wait_ms(upstream)
        if wait_ms:
            self._call_on_slot(wait_ms)
        return not wait_ms

    def take_slot(self, upstream: Upstream) -> None:
        """Count a request that is sent to a server, if the server is warming up."""
        limiter = self._limiters.get(upstream.record.incarnation)
        if limiter is not None:
            limiter.take(self._clock.now_ms())

    def is_limiting(self, upstreams: Iterable[Upstream]) -> bool:
        """Return whether the warm-up of a server limits the requests that it gets."""
        if self._service not in self._warmups.rates_per_s:
            return False
        now_ms = self._clock.now_ms()
        return any(
            self._warmups.is_limited(self._service, upstream.record.incarnation, now_ms)
            for upstream in upstreams
        )

    def usable(self, upstreams: Iterable[Upstream], has_keys: bool) -> list[Upstream]:
        """Return the servers that may get a request of a service without keys now.

        If this node has an open slot for a server that it has never sent a request, that is the
        only one: a server that has just been listed gets requests even if others are better.
        """
        usable = [upstream for upstream in upstreams if self.may_send_to(upstream, has_keys)]
        now_ms = self._clock.now_ms()
        # The usual case, in which a pass over all servers would cost time at each request.
        if now_ms >= self._warmups.latest_end_ms:
            return usable
        usable = [upstream for upstream in usable if self.has_room(upstream)]
        for upstream in usable:
            limiter = self._limiters.get(upstream.record.incarnation)
            if limiter and not limiter.taken_count and not upstream.is_paused(now_ms):
                return [upstream]
        return usable

    def _call_on_slot(self, wait_ms: int) -> None:
        """Call `on_slot` after a time, unless it is to be called before."""
        loop = asyncio.get_running_loop()
        at_s = loop.time() + wait_ms / 1000
        if self._next_slot is not None and self._next_slot.when() <= at_s:
            return
        if self._next_slot is not None:
            self._next_slot.cancel()
        self._next_slot = loop.call_at(at_s, self._slot_opened)

    def _slot_opened(self) -> None:
        self._next_slot = None
        self._on_slot()
