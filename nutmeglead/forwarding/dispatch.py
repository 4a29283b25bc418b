"""Place the requests of one service on its servers, or let them wait for room."""

from __future__ import annotations

import asyncio
import random
from bisect import insort
from collections.abc import Callable
from dataclasses import dataclass, field

from nutmeglead.core.clock import Clock
from nutmeglead.core.ids import FailureDomainName, ServiceName
from nutmeglead.forwarding.errors import Overloaded
from nutmeglead.forwarding.model import ServerIncarnation, ServerRecord, ServerState, ServiceSpec
from nutmeglead.forwarding.registry import ServerRegistry
from nutmeglead.forwarding.request import CallerRequest
from nutmeglead.forwarding.upstream import Upstream
from nutmeglead.peers.codec import server_tag
from nutmeglead.ranges.model import RangeMap

__all__ = ["DispatchSettings", "ServiceDispatch"]


@dataclass(frozen=True)
class DispatchSettings:
    """Bound the work that is sent to one server, and what waits on this node.

    `queue_ratio` is the number of requests per slot that may be at a server, counted over all
    nodes; `other_domain_ms` is what a way to another failure domain costs in the comparison.
    """

    queue_ratio: float = 2.5
    max_waiting: int = 200
    other_domain_ms: float = 8.0
    large_other_domain_ms: float = 40.0
    failure_penalty_ms: float = 150.0
    min_retry_after_ms: int = 100
    # A planned move takes about 100 ms; a key that is away for longer has lost its server.
    max_hold_ms: int = 300
    lost_key_retry_after_ms: int = 450
    # The owner of a key is used for this time after it said that it leaves.
    leaving_use_ms: int = 1_500


@dataclass(order=True)
class _Waiter:
    order: tuple[int, int, int]
    request: CallerRequest = field(compare=False)
    tried: frozenset[ServerIncarnation] = field(compare=False)
    placed: asyncio.Future[Upstream] = field(compare=False)


class ServiceDispatch:
    """Choose a server for each request of a service."""

    def __init__(
        self,
        spec: ServiceSpec,
        registry: ServerRegistry,
        clock: Clock,
        rng: random.Random,
        own_domain: FailureDomainName,
        settings: DispatchSettings,
        in_flight_elsewhere: Callable[[int], int],
        node_count: Callable[[], int],
    ) -> None:
        self.spec = spec
        self.upstreams: dict[ServerIncarnation, Upstream] = {}
        self.ranges: RangeMap | None = None
        self._registry = registry
        self._clock = clock
        self._rng = rng
        self._own_domain = own_domain
        self._settings = settings
        self._in_flight_elsewhere = in_flight_elsewhere
        self._node_count = node_count
        self._waiters: list[_Waiter] = []
        self._sequence = 0
        self.refresh()

    @property
    def name(self) -> ServiceName:
        """Return the service's name."""
        return self.spec.name

    @property
    def waiting_count(self) -> int:
        """Count the requests that wait on this node."""
        return len(self._waiters)

    # ---- what changes ----

    def refresh(self) -> None:
        """Follow the registry."""
        now_ms = self._clock.now_ms()
        records = {record.incarnation: record for record in self._registry.records(self.name)}
        for incarnation, record in records.items():
            known = self.upstreams.get(incarnation)
            if known is None:
                self.upstreams[incarnation] = self._new_upstream(record, now_ms)
            else:
                known.record = record
                known.closed_since_ms = None
            self._note_leaving(self.upstreams[incarnation], now_ms)
        for incarnation, upstream in list(self.upstreams.items()):
            if incarnation in records:
                continue
            if upstream.closed_since_ms is None:
                upstream.closed_since_ms = now_ms
            upstream.close()
            if not upstream.in_flight:
                del self.upstreams[incarnation]
        self.dispatch_waiting()

    @staticmethod
    def _note_leaving(upstream: Upstream, now_ms: int) -> None:
        if upstream.record.state is not ServerState.LEAVING:
            upstream.leaving_since_ms = None
        elif upstream.leaving_since_ms is None:
            upstream.leaving_since_ms = now_ms

    def _new_upstream(self, record: ServerRecord, now_ms: int) -> Upstream:
        cold_until_ms = now_ms + record.warmup_left_ms
        return Upstream(record, server_tag(record.server_id), self._clock, cold_until_ms)

    def set_ranges(self, ranges: RangeMap) -> None:
        """Take a newer range map."""
        self.ranges = ranges
        self.dispatch_waiting()

    def set_spec(self, spec: ServiceSpec) -> None:
        """Take the service's description of a newer manifest."""
        self.spec = spec

    # ---- placing ----

    async def acquire(
        self, request: CallerRequest, tried: frozenset[ServerIncarnation]
    ) -> Upstream:
        """Return a server with room for a request; raise Overloaded if there is none in time.

        Servers that were tried are used again only for a key, which has one owner.
        """
        placed = self._place(request, tried) if not self._is_overtaking(request) else None
        if placed is not None:
            return placed
        if len(self._waiters) >= self._settings.max_waiting:
            raise self._overloaded("too many requests wait on this node")
        until_ms = self._wait_until_ms(request, tried)
        if until_ms > self._clock.now_ms():
            return await self._wait(request, tried, until_ms)
        raise self._refusal(request, tried)

    def _refusal(self, request: CallerRequest, tried: frozenset[ServerIncarnation]) -> Overloaded:
        """Return why a request is not placed, with a time to come back that will be true."""
        upstream = self._choose(request, tried)
        if upstream is None:
            return self._without_server()
        return self._overloaded("the servers are too busy to answer in time")

    def _wait_until_ms(self, request: CallerRequest, tried: frozenset[ServerIncarnation]) -> int:
        """Return how long waiting is of use: 0 if the answer is expected too late already.

        Under lasting overload only answers within the target latency are worth a slot, which
        another request would use in time; a burst is served late instead.
        """
        now_ms = self._clock.now_ms()
        upstream = self._choose(request, tried)
        if upstream is None:
            return min(request.deadline_ms, request.received_ms + self._settings.max_hold_ms)
        limit_ms = request.deadline_ms
        if upstream.is_congested(now_ms):
            limit_ms = min(limit_ms, request.received_ms + request.route.target_latency_ms)
        ahead = self._ahead(request)
        expected_ms = upstream.expected_ms(now_ms, ahead)
        if self._is_full(upstream):
            expected_ms += upstream.share_wait_ms(self._node_count(), ahead, now_ms)
        if now_ms + expected_ms > limit_ms:
            return 0
        return round(limit_ms - upstream.service_time_ms)

    def _ahead(self, request: CallerRequest) -> int:
        """Count the requests on this node that wait for the same server, or for any."""
        if not self.spec.has_keys or self.ranges is None or request.key is None:
            ready = sum(upstream.is_ready for upstream in self.upstreams.values())
            return len(self._waiters) // max(1, ready)
        owner = self.ranges.locate(request.key).owner
        keys = (waiter.request.key for waiter in self._waiters)
        return sum(key is not None and self.ranges.locate(key).owner == owner for key in keys)

    def _is_overtaking(self, request: CallerRequest) -> bool:
        """Tell whether requests without a key of the same or a higher priority wait already."""
        if self.spec.has_keys:
            return False
        return any(waiter.order[0] <= request.route.priority for waiter in self._waiters)

    async def _wait(
        self, request: CallerRequest, tried: frozenset[ServerIncarnation], until_ms: int
    ) -> Upstream:
        self._sequence += 1
        order = (request.route.priority, request.deadline_ms, self._sequence)
        placed: asyncio.Future[Upstream] = asyncio.get_running_loop().create_future()
        waiter = _Waiter(order, request, tried, placed)
        insort(self._waiters, waiter)
        left_ms = max(0, until_ms - self._clock.now_ms())
        try:
            async with asyncio.timeout(left_ms / 1000):
                return await placed
        except TimeoutError:
            raise self._refusal(request, tried) from None
        finally:
            if waiter in self._waiters:
                self._waiters.remove(waiter)
            elif placed.done() and not placed.cancelled() and asyncio.current_task() is not None:
                self._return_unused(placed)

    def _return_unused(self, placed: asyncio.Future[Upstream]) -> None:
        """Give a slot back whose request was cancelled between placing and waking."""
        task = asyncio.current_task()
        if task is not None and task.cancelling():
            self.release(placed.result())

    def dispatch_waiting(self) -> None:
        """Place the waiting requests for which there is room now."""
        for waiter in list(self._waiters):
            if waiter.placed.done():
                continue
            upstream = self._place(waiter.request, waiter.tried)
            if upstream is not None:
                self._waiters.remove(waiter)
                waiter.placed.set_result(upstream)

    def release(self, upstream: Upstream) -> None:
        """Give back the slot of a request that has ended."""
        upstream.in_flight -= 1
        if upstream.closed_since_ms is not None and not upstream.in_flight:
            self.upstreams.pop(upstream.record.incarnation, None)
        self.dispatch_waiting()

    def _place(
        self, request: CallerRequest, tried: frozenset[ServerIncarnation]
    ) -> Upstream | None:
        chosen = self._choose(request, tried)
        if chosen is None or not self._has_room(chosen):
            return None
        chosen.in_flight += 1
        return chosen

    def _choose(
        self, request: CallerRequest, tried: frozenset[ServerIncarnation]
    ) -> Upstream | None:
        return self._owner(request) if self.spec.has_keys else self._best(request, tried)

    def _owner(self, request: CallerRequest) -> Upstream | None:
        if self.ranges is None or request.key is None:
            return None
        entry = self.ranges.locate(request.key)
        if entry.owner is None or entry.is_pending:
            return None
        upstream = self.upstreams.get(entry.owner)
        if upstream is None or upstream.closed_since_ms is not None:
            return None
        now_ms = self._clock.now_ms()
        since_ms = upstream.leaving_since_ms
        if since_ms is not None and now_ms - since_ms >= self._settings.leaving_use_ms:
            return None
        return None if upstream.is_unreachable(now_ms) else upstream

    def _best(self, request: CallerRequest, tried: frozenset[ServerIncarnation]) -> Upstream | None:
        now_ms = self._clock.now_ms()
        ready = [
            upstream
            for incarnation, upstream in self.upstreams.items()
            if upstream.is_ready and incarnation not in tried
        ]
        if not ready:
            return None
        for upstream in ready:
            upstream.in_flight_elsewhere = self._in_flight_elsewhere(upstream.tag)
        return min(ready, key=lambda upstream: self._cost_ms(upstream, request, now_ms))

    def _cost_ms(self, upstream: Upstream, request: CallerRequest, now_ms: int) -> float:
        cost_ms = upstream.expected_ms(now_ms)
        cost_ms += upstream.failure_rate(now_ms) * self._settings.failure_penalty_ms
        if upstream.record.failure_domain != self._own_domain:
            is_large = request.route.kind.value == "large-answer"
            settings = self._settings
            cost_ms += settings.large_other_domain_ms if is_large else settings.other_domain_ms
        # Equal servers are chosen at random, or all nodes would choose the same one.
        return cost_ms * (1 + 0.05 * self._rng.random())

    def _has_room(self, upstream: Upstream) -> bool:
        """Tell whether a request may be sent to a server now, and take its share if it is full."""
        upstream.in_flight_elsewhere = self._in_flight_elsewhere(upstream.tag)
        now_ms = self._clock.now_ms()
        if not self._is_full(upstream):
            upstream.full_since_ms = None
            return True
        limit = upstream.record.slots * self._settings.queue_ratio
        if upstream.full_since_ms is None:
            upstream.full_since_ms = now_ms
        return upstream.in_flight < limit and upstream.take_share(self._node_count(), now_ms)

    def _is_full(self, upstream: Upstream) -> bool:
        """Tell whether a node needs its share of a server to send another request.

        The more nodes there are, the more of them may take the same place in the queue.
        """
        slots = upstream.record.slots
        limit = slots * self._settings.queue_ratio
        places = slots + (limit - slots) * min(1.0, limit / max(1, self._node_count()))
        return upstream.total_in_flight >= places

    def _overloaded(self, reason: str) -> Overloaded:
        ready = [upstream for upstream in self.upstreams.values() if upstream.is_ready]
        times = sorted(upstream.service_time_ms for upstream in ready)
        typical_ms = times[len(times) // 2] if times else 300.0
        return Overloaded(reason, max(self._settings.min_retry_after_ms, round(typical_ms)))

    def _without_server(self) -> Overloaded:
        reason = "no server can be reached for this request"
        return Overloaded(reason, self._settings.lost_key_retry_after_ms)
