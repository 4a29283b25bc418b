"""Assign the requests of one service to its servers, or queue them until a server has room."""

from __future__ import annotations

import random
from collections.abc import Callable, Collection

from result import Result

from nutmeglead.core.clock import Clock
from nutmeglead.core.errors import CodecError
from nutmeglead.core.ids import FailureDomainName, ServiceName
from nutmeglead.forwarding.admission import AdmissionShare
from nutmeglead.forwarding.connection_reuse import ReuseLimits
from nutmeglead.forwarding.dispatch_settings import DispatchSettings
from nutmeglead.forwarding.errors import Overloaded, RefusalReason
from nutmeglead.forwarding.key_owners import KeyOwners
from nutmeglead.forwarding.model import (
    ServerIncarnation,
    ServerNotice,
    ServerRecord,
    ServiceSpec,
)
from nutmeglead.forwarding.notice_follower import NoticeFollower
from nutmeglead.forwarding.owner_admission import OwnerAdmission
from nutmeglead.forwarding.pool_admission import PoolAdmission
from nutmeglead.forwarding.ranks import RequestRanks
from nutmeglead.forwarding.refusals import Refusals
from nutmeglead.forwarding.registry import ServerRegistry
from nutmeglead.forwarding.request import CallerRequest
from nutmeglead.forwarding.server_admission import ServerAdmission
from nutmeglead.forwarding.server_use import ServerUse
from nutmeglead.forwarding.stop_limit import StopLimit
from nutmeglead.forwarding.upstream import INITIAL_SERVICE_TIME_MS, ConnectionCounts, Upstream
from nutmeglead.forwarding.wait_limits import WaitLimits
from nutmeglead.forwarding.waiting import LeavingRequests, WaitingRequests
from nutmeglead.peers.codec import server_tag
from nutmeglead.ranges.model import RangeMap
from nutmeglead.scheduling.counts import LoadCounts
from nutmeglead.scheduling.selection import ServerSelector
from nutmeglead.scheduling.server_load import ServerLoad, TypicalTime

__all__ = ["ServiceDispatch"]


class ServiceDispatch:
    """Assign each request of a service to a server, and queue requests that find no room.

    `in_flight_elsewhere` returns the requests that other nodes have reported in flight at the
    server with a tag, and `node_count` the number of live nodes. `stop_limit` is that of the node.
    """

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
        stop_limit: StopLimit,
        may_move_keys: Callable[[], bool] = lambda: True,
    ) -> None:
        self.spec = spec
        self.upstreams: dict[ServerIncarnation, Upstream] = {}
        self.ranges: RangeMap | None = None
        self._registry = registry
        self._clock = clock
        self._rng = rng
        self._settings = settings
        self.server_use = ServerUse(
            spec.name, registry, clock, rng, settings, self.dispatch_waiting
        )
        self._owners = KeyOwners(
            lambda: self.ranges, self.upstreams, self.server_use, registry.addresses, may_move_keys
        )
        self._stop_limit = stop_limit
        self.reuse = ReuseLimits()
        self._waiting = WaitingRequests(clock, self.release)
        self.leaving_requests = LeavingRequests()
        self.notices = NoticeFollower(
            spec.name, registry, clock, rng, settings.backoff_spread, self.dispatch_waiting
        )
        self.load_counts = LoadCounts()
        self.admission = OwnerAdmission(
            settings, clock, rng, in_flight_elsewhere, node_count, self.load_counts
        )
        self.pool = PoolAdmission(
            spec.name,
            settings,
            clock,
            rng,
            in_flight_elsewhere,
            node_count,
            self.load_counts,
            lambda: self.admission.target_latency_ms,
        )
        self._servers = ServerAdmission(
            settings,
            clock,
            in_flight_elsewhere,
            node_count,
            self.admission,
            self.pool,
            lambda: self.spec.has_keys,
            self.upstreams,
        )
        self._limits = WaitLimits(
            settings, clock, stop_limit, self._servers, self.server_use, node_count
        )
        self.refusals = Refusals(
            settings, clock, self._servers, self.server_use, stop_limit, node_count
        )
        self._ranks = RequestRanks(settings.time_used, clock)
        self.connections = ConnectionCounts()
        self._typical_time = TypicalTime(INITIAL_SERVICE_TIME_MS, node_count)
        self.selector = ServerSelector(own_domain, rng, settings, in_flight_elsewhere, node_count)
        self.refresh()

    @property
    def name(self) -> ServiceName:
        """Return the service's name."""
        return self.spec.name

    @property
    def waiting_count(self) -> int:
        """Return the number of requests that wait on this node."""
        return len(self._waiting)

    # ---- updates of servers, key ranges and service ----

    def refresh(self) -> None:
        """Update the upstreams from the registry, and assign waiting requests to new room.

        An upstream whose server was removed takes no new requests and is dropped once the requests
        in flight have ended.
        """
        records = {record.incarnation: record for record in self._registry.records(self.name)}
        for incarnation, record in records.items():
            if incarnation not in self.upstreams:
                self.upstreams[incarnation] = self._new_upstream(record)
            upstream = self.upstreams[incarnation]
            upstream.record, upstream.removed_since_ms = record, None
            upstream.cold_until_ms = self._registry.warmups.until_ms(incarnation)
            upstream.leaving_since_ms = self._registry.leaving_since_ms(incarnation)
            upstream.missing_since_ms = self._registry.missing_since_ms(record.server_id)
            upstream.has_lost_address = self._registry.addresses.is_lost(incarnation)
            if upstream.has_lost_address:
                upstream.close()
        for incarnation, upstream in list(self.upstreams.items()):
            if incarnation in records:
                continue
            if upstream.removed_since_ms is None:
                upstream.removed_since_ms = self._clock.now_ms()
            upstream.close()
            if not upstream.in_flight:
                del self.upstreams[incarnation]
        self.dispatch_waiting()
        if self._is_evacuated():
            self._waiting.limit(lambda request, tried_servers, ahead: 0)

    def _new_upstream(self, record: ServerRecord) -> Upstream:
        tag = server_tag(record.server_id)
        share = AdmissionShare(self._settings.admission, self._rng)
        load = ServerLoad(self._typical_time, record.slots)
        upstream = Upstream(record, tag, self._clock, 0, share, load, self.connections, self.reuse)
        if until_ms := self._registry.backoff_until_ms(record.incarnation):
            upstream.begin_backoff(until_ms)
        return upstream

    def set_ranges(self, ranges: RangeMap) -> None:
        """Replace the range map, and assign the waiting requests whose keys have an owner now."""
        self.ranges = ranges
        self.dispatch_waiting()

    def set_spec(self, spec: ServiceSpec) -> None:
        """Replace the service's specification with that of a newer manifest."""
        self.spec = spec

    def apply_notice(
        self,
        upstream: Upstream,
        notice: Result[ServerNotice, CodecError],
        answered_requests: int = 0,
    ) -> None:
        """Follow what an answer to an order, or to that many requests, states about its server."""
        self.notices.apply(upstream, notice, answered_requests)

    def update_admission(self) -> None:
        """Adapt to the requests in flight at overloaded servers that nodes have reported.

        Waiting requests for which no server has room in time any more are refused.
        """
        admission = self.admission if self.spec.has_keys else self.pool
        if not admission.is_due():
            return
        upstreams = list(self.upstreams.values())
        if not self.spec.has_keys:
            upstreams = [u for u in upstreams if u.is_ready and self.may_send_to(u)]
        admission.update(upstreams)
        if len(self._waiting) and self._servers.is_limiting():
            self._waiting.limit(self._review_until_ms)

    def begin_stop(self) -> None:
        """Refuse waiting requests as soon as it is known that they cannot be answered in time."""
        self._waiting.limit(self._start_until_ms)

    # ---- assignment ----

    async def acquire(
        self, request: CallerRequest, tried_servers: frozenset[ServerIncarnation]
    ) -> Upstream:
        """Return a server, at which the request then counts as in flight, or raise Overloaded.

        `release` must be called when the request has ended. Overloaded is raised if too many
        requests wait already, or if no server would answer in time. `tried_servers` are left out,
        except for a service with keys, where each key has only one owner.
        """
        self.update_admission()
        if self._is_evacuated():
            raise self.refusals.evacuated()
        if self._owners.is_unservable(request):
            raise self.refusals.owner_gone()
        owner = self._owners.usable(request) if self.spec.has_keys else None
        control = self._servers.control(owner)
        if control is not None:
            self._ranks.observe(request)
            control.pace.demand.count(self._rank(request), self._clock.now_ms())
        if owner is not None and not self.admission.admits(owner, self._rank(request)):
            raise self.refusals.overloaded(RefusalReason.OWNER_OVERLOADED, request, owner)
        if self._stop_limit.is_set and (
            self._clock.now_ms() >= self._start_until_ms(request, tried_servers)
        ):
            raise self._refusal_error(request, tried_servers)
        if not self._would_overtake(request):
            assigned = self._try_assign(request, tried_servers, is_admitted=True)
            if assigned is not None:
                return assigned
        if len(self._waiting) >= self._settings.max_waiting_requests:
            raise self.refusals.overloaded(RefusalReason.TOO_MANY_WAITING, request, owner)
        until_ms = self._wait_until_ms(request, tried_servers)
        if until_ms > self._clock.now_ms():
            return await self._wait_for_slot(request, tried_servers, until_ms)
        raise self._refusal_error(request, tried_servers)

    def _is_evacuated(self) -> bool:
        return self.server_use.is_all_evacuated(self.upstreams.values(), self.spec.has_keys)

    def _rank(self, request: CallerRequest) -> int:
        """Return the order of a request; without control, deadlines alone order a priority."""
        if not self.spec.has_keys and self.pool.control is None:
            return 2 * request.route.priority
        return self._ranks.rank(request, self._servers.recent_service_time_ms())

    def _refusal_error(
        self, request: CallerRequest, tried_servers: frozenset[ServerIncarnation]
    ) -> Overloaded:
        """Return the error for a request without a server, with a realistic Retry-After time."""
        if self._is_evacuated():
            return self.refusals.evacuated()
        if self._owners.is_unservable(request):
            return self.refusals.owner_gone()
        return self.refusals.for_server(request, self._select_server(request, tried_servers))

    def _wait_until_ms(
        self,
        request: CallerRequest,
        tried_servers: frozenset[ServerIncarnation],
        ahead: int | None = None,
    ) -> int:
        """Return the time until which the request may wait, or 0 if the answer would be too late.

        `ahead` requests wait before it; they are counted if it is None.
        """
        upstream = self._select_server(request, tried_servers)
        if upstream is None:
            return self._limits.hold_until_ms(request, self._servers.typical_service_time_ms())
        rank, is_waiting = self._rank(request), ahead is not None
        ahead = self._count_waiting_ahead(request) if ahead is None else ahead
        return self._limits.wait_until_ms(request, upstream, rank, ahead, is_waiting)

    def _review_until_ms(
        self, request: CallerRequest, tried_servers: frozenset[ServerIncarnation], ahead: int
    ) -> int:
        """Return until when a request may go on waiting under a paced share."""
        upstream = self._select_server(request, tried_servers)
        control = None if upstream is None else self._servers.control(upstream)
        if control is None or not control.pace.is_limiting:
            return request.deadline_ms
        return self._wait_until_ms(request, tried_servers, ahead)

    def _start_until_ms(
        self, request: CallerRequest, tried_servers: frozenset[ServerIncarnation], ahead: int = 0
    ) -> int:
        """Return until when this stopping node may send a request, or 0 if never."""
        upstream = self._select_server(request, tried_servers)
        return self._limits.start_until_ms(upstream, self._servers.typical_service_time_ms())

    def _count_waiting_ahead(self, request: CallerRequest) -> int:
        """Return how many waiting requests of this node are ahead of a request at its server.

        For a service with keys, these are the requests for keys of the same owner; otherwise the
        waiting requests are divided evenly by the ready servers.
        """
        if not self.spec.has_keys and self.pool.control is not None:
            return self._waiting.count_before(request, self._rank(request))
        if not self.spec.has_keys:
            ready = sum(upstream.is_ready for upstream in self.upstreams.values())
            return len(self._waiting) // max(1, ready)
        return self._owners.count_alike(request, self._waiting)

    def _would_overtake(self, request: CallerRequest) -> bool:
        """Return whether a request must queue behind others of the same or a higher priority.

        In a service with keys, requests wait for different owners and are never held back.
        """
        if self.spec.has_keys:
            return False
        if self.pool.control is not None:
            return self._waiting.count_before(request, self._rank(request)) > 0
        return any(waiting.route.priority <= request.route.priority for waiting in self._waiting)

    async def _wait_for_slot(
        self, request: CallerRequest, tried_servers: frozenset[ServerIncarnation], until_ms: int
    ) -> Upstream:
        """Queue a request until it is assigned a server; raise Overloaded at `until_ms`."""
        try:
            return await self._waiting.wait(request, tried_servers, until_ms, self._rank(request))
        except TimeoutError:
            raise self._refusal_error(request, tried_servers) from None

    def dispatch_waiting(self) -> None:
        """Assign servers to the waiting requests for which there is room now."""
        # Without a token for the first request there is none for those of higher rank behind it.
        if not self._servers.may_send_any(self._rank(waiting) for waiting in self._waiting):
            return
        self._waiting.assign(self._try_assign)

    def release(self, upstream: Upstream) -> None:
        """Count a request at a server as ended, and assign waiting requests to the new room."""
        upstream.in_flight -= 1
        if upstream.removed_since_ms is not None and not upstream.in_flight:
            self.upstreams.pop(upstream.record.incarnation, None)
        self.dispatch_waiting()

    def _try_assign(
        self,
        request: CallerRequest,
        tried_servers: frozenset[ServerIncarnation],
        is_admitted: bool = False,
    ) -> Upstream | None:
        """Return a server and count the request in flight there, or None if there is no room.

        A request that `is_admitted` has passed the share of the owner of its key.
        """
        pool = None if self.spec.has_keys else self.pool.control
        # Servers are not compared for a request that has no token.
        if pool is not None and not pool.pace.may_take(self._rank(request), self._clock.now_ms()):
            return None
        chosen = self._pick_server(self.selector.choose, request, tried_servers)
        if chosen is None or not self.server_use.has_room(chosen):
            return None
        if not self._servers.try_admit(chosen, self._rank(request), is_admitted):
            return None
        self.server_use.take_slot(chosen)
        chosen.in_flight += 1
        chosen.last_assigned_ms = self._clock.now_ms()
        return chosen

    def _select_server(
        self, request: CallerRequest, tried_servers: frozenset[ServerIncarnation]
    ) -> Upstream | None:
        """Return the server that would answer the request first, whether it has room or not."""
        return self._pick_server(self.selector.best, request, tried_servers)

    def may_send_to(self, upstream: Upstream) -> bool:
        """Return whether a server may get a request of this service from this node now."""
        is_usable = self.server_use.may_send_to(upstream, self.spec.has_keys)
        return is_usable and self._stop_limit.may_start(self._clock.now_ms())

    def _pick_server(
        self,
        pick: Callable[..., Upstream | None],
        request: CallerRequest,
        tried_servers: frozenset[ServerIncarnation],
    ) -> Upstream | None:
        """Return the key's owner, or the server that `pick` prefers of those usable, or None."""
        if self.spec.has_keys:
            return self._owners.usable(request)
        servers: Collection[Upstream] = self.upstreams.values()
        if self.server_use.is_limiting(servers):
            servers = self.server_use.usable(servers, self.spec.has_keys)

        def is_usable(upstream: Upstream) -> bool:
            is_tried = upstream.record.incarnation in tried_servers
            return not is_tried and self.server_use.may_send_to(upstream, False)

        return pick(servers, is_usable, request.route.kind, self._clock.now_ms())
