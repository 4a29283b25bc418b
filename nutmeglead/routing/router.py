"""Answer callers' requests from the servers that own their keys."""

import asyncio
import itertools
import logging
import random
from collections.abc import Hashable

from result import Err

from nutmeglead._generated.messages.ttypes import LendReply, LendSlots
from nutmeglead._generated.settings.ttypes import (
    AdmissionSettings,
    ConcurrencySettings,
    RetrySettings,
    ServiceSettings,
    Settings,
)
from nutmeglead.core.events import Event, log_event
from nutmeglead.core.ids import ServerId, ServiceName
from nutmeglead.core.rate import RateBudget
from nutmeglead.http.errors import HttpError
from nutmeglead.http.server import ServerExchange
from nutmeglead.routing.admission import ADMISSION, AdmissionPolicy, ServerKey
from nutmeglead.routing.answers import render_error
from nutmeglead.routing.attempt import RouterParts
from nutmeglead.routing.errors import CallerGone, RequestError, RouterStopping
from nutmeglead.routing.handover import HandoverWaiter
from nutmeglead.routing.inbound import InboundRequest, parse_request
from nutmeglead.routing.job import RequestJob, ServiceRoute
from nutmeglead.routing.pool import ConnectionPool, Connector, connect_tcp
from nutmeglead.routing.retries import RETRIES
from nutmeglead.routing.servers import ServiceServers
from nutmeglead.routing.slot_exchange import RouterPeers, SlotExchange
from nutmeglead.routing.slots import SlotQueue
from nutmeglead.routing.sources import AddressBook, AssignmentSource, RequestObserver, RequestRecord
from nutmeglead.routing.timers import Timers

__all__ = ["RouterService"]

logger = logging.getLogger(__name__)

# One idle connection saves the first request after a move about 1 ms.
WARM_CONNECTION_COUNT = 1

# Under overload thousands of requests fail per second; a log line costs more than a refusal.
FAILURE_LOGS_PER_S = 10.0


class RouterService:
    """Handle requests from the server edge; `handle` is the handler of an HttpServer."""

    def __init__(
        self,
        settings: Settings,
        source: AssignmentSource,
        addresses: AddressBook,
        timers: Timers,
        rng: random.Random,
        connector: Connector = connect_tcp,
        observer: RequestObserver | None = None,
        peers: RouterPeers | None = None,
    ) -> None:
        """Connect the parts; `peers` is needed by services with the `lent` policy only."""
        self._services = {service.name: service for service in settings.services}
        self._source = source
        self._addresses = addresses
        self._timers = timers
        self._observer = observer
        self._peers = peers
        self._rng = rng
        self._slot_exchanges: dict[ServiceName, SlotExchange] = {}
        self._request_ids = itertools.count(1)
        self._attempt_ids = itertools.count(1)
        self._routes = {
            ServiceName(service.name): self._make_route(service) for service in settings.services
        }
        slots = SlotQueue(
            _make_admission(settings.services),
            {name: route.servers for name, route in self._routes.items()},
            timers,
            self._on_starved,
        )
        self._parts = RouterParts(timers, ConnectionPool(connector), slots)
        self._log_budget = RateBudget(FAILURE_LOGS_PER_S)
        self._unlogged_count = 0
        self._active_count = 0
        self._is_stopping = False
        self._changed: set[ServiceName] = set()
        self._known: set[tuple[ServiceName, ServerId]] = set()
        self._warming: set[asyncio.Task[int]] = set()
        self._unsubscribe = source.subscribe(self._on_map_change)

    def _make_route(self, service: ServiceSettings) -> ServiceRoute:
        retries = service.retries or RetrySettings()
        name = ServiceName(service.name)
        servers = ServiceServers(
            service, self._addresses, lambda server_id: self._slot_exchanges[name].ledger(server_id)
        )
        self._add_slot_exchange(service, servers)

        def is_ejected(server_id: ServerId) -> bool:
            return servers.is_ejected(server_id, self._timers.clock.now_ms())

        waiter = HandoverWaiter(service, self._source, self._addresses, is_ejected, self._timers)
        policy = RETRIES.get(retries.policy)(retries, self._rng)
        return ServiceRoute(service, servers, waiter, policy, self._addresses)

    def _add_slot_exchange(self, service: ServiceSettings, servers: ServiceServers) -> None:
        name = ServiceName(service.name)
        if (service.concurrency or ConcurrencySettings()).policy != "lent":
            return
        if self._peers is None:
            raise ValueError(f"{name}: the concurrency policy 'lent' needs the other routers")
        self._slot_exchanges[name] = SlotExchange(
            service,
            self._peers,
            self._timers,
            self._rng,
            servers.in_flight,
            lambda server_id: self._parts.slots.dispatch([(name, server_id)]),
        )

    def _on_starved(self, server: ServerKey) -> None:
        service_name, server_id = server
        if service_name in self._slot_exchanges:
            self._slot_exchanges[service_name].want(server_id)

    def lend(self, message: LendSlots) -> LendReply:
        """Answer another router's request for slots."""
        exchange = self._slot_exchanges.get(ServiceName(message.service_name))
        if exchange is None or self._peers is None:
            return LendReply(message.sender, message.sequence, 0)
        return exchange.answer(message)

    def refresh_routers(self) -> None:
        """Take over a changed list of routers."""
        for exchange in self._slot_exchanges.values():
            exchange.refresh()

    @property
    def active_count(self) -> int:
        """Count the requests that are not answered yet."""
        return self._active_count

    @property
    def pool(self) -> ConnectionPool:
        """Return the connections to the servers."""
        return self._parts.pool

    def waiting_count(self) -> int:
        """Count the requests that wait for a slot."""
        return self._parts.slots.waiting_count

    def held_count(self, service_name: ServiceName) -> int:
        """Count the requests that wait for a unit of a service."""
        return self._routes[service_name].waiter.held_count

    def begin_stop(self) -> None:
        """Refuse new requests; those that have arrived are still answered."""
        self._is_stopping = True

    def close(self) -> None:
        """Close the idle connections and end the subscription."""
        self._unsubscribe()
        for task in self._warming:
            task.cancel()
        for exchange in self._slot_exchanges.values():
            exchange.close()
        self._parts.pool.close()

    async def handle(self, caller: ServerExchange) -> None:
        """Answer one request."""
        now_ms = self._timers.clock.now_ms()
        parsed = parse_request(next(self._request_ids), caller.head, self._services, now_ms)
        if self._is_stopping:
            await _refuse(caller, RouterStopping("the router is stopping"))
        elif isinstance(parsed, Err):
            await _refuse(caller, parsed.err_value)
        else:
            await self._run(parsed.ok_value, caller)

    async def _run(self, request: InboundRequest, caller: ServerExchange) -> None:
        route = self._routes[request.service_name]
        job = RequestJob(self._parts, route, request, caller, self._attempt_ids)
        self._active_count += 1
        try:
            await self._run_until_gone(job, caller)
        finally:
            self._active_count -= 1
            self._report(job)

    async def _run_until_gone(self, job: RequestJob, caller: ServerExchange) -> None:
        """Cancel the job when the caller leaves, which cancels the request at the server.

        The job runs in the task of its connection: two more tasks would cost a tenth of a request.
        """
        task = asyncio.current_task()
        assert task is not None
        has_left = caller.caller_gone.is_set()

        def leave() -> None:
            nonlocal has_left
            has_left = True
            task.cancel()

        if has_left:
            await job.fail(CallerGone("the caller closed its connection"))
            return
        caller.watch_caller(leave)
        try:
            await job.run()
        except asyncio.CancelledError:
            # A second cancellation comes from the server edge, which stops.
            if not has_left or task.cancelling() > 1:
                raise
        finally:
            caller.watch_caller(None)
        if has_left:
            task.uncancel()
            await job.fail(CallerGone("the caller closed its connection"))

    def _report(self, job: RequestJob) -> None:
        record = job.record()
        if record.failure is not None:
            self._log_failure(record)
        if self._observer is not None:
            self._observer.request_finished(record)

    def _log_failure(self, record: RequestRecord) -> None:
        if not self._log_budget.take(self._timers.clock.now_ms()):
            self._unlogged_count += 1
            return
        log_event(
            logger,
            Event.REQUEST_FAILED,
            service=record.service_name,
            server=record.server_id,
            failure=record.failure,
            attempts=record.attempts,
            unlogged=self._unlogged_count,
        )
        self._unlogged_count = 0

    def _on_map_change(self, service_name: ServiceName) -> None:
        """Follow the map once per loop step: a loss changes thousands of units in one step."""
        if service_name in self._routes and service_name not in self._changed:
            self._changed.add(service_name)
            asyncio.get_running_loop().call_soon(self._follow_map, service_name)

    def _follow_map(self, service_name: ServiceName) -> None:
        self._changed.discard(service_name)
        route = self._routes[service_name]
        route.servers.refresh()
        self._parts.slots.recheck(service_name)
        route.waiter.wake_ready()
        self._warm_up(service_name)
        self._parts.pool.retain(self._is_known)

    def _is_known(self, server: Hashable) -> bool:
        return server in self._known

    def _warm_up(self, service_name: ServiceName) -> None:
        """Open a connection to each server that is new since the last change."""
        max_count = self._routes[service_name].servers.max_connections(self._timers.clock.now_ms())
        known = {(service_name, server_id) for server_id in self._addresses.servers(service_name)}
        for server in known - self._known:
            address = self._addresses.address(*server)
            if address is None:
                continue
            task = asyncio.ensure_future(
                self._parts.pool.warm_up(server, address, WARM_CONNECTION_COUNT, max_count)
            )
            self._warming.add(task)
            task.add_done_callback(self._warming.discard)
        self._known = {server for server in self._known if server[0] != service_name} | known


def _make_admission(services: list[ServiceSettings]) -> dict[ServiceName, AdmissionPolicy]:
    """Return each service's policy; services with the same policy share one queue."""
    groups: dict[str, list[ServiceSettings]] = {}
    for service in services:
        policy_name = (service.admission or AdmissionSettings()).policy
        groups.setdefault(policy_name, []).append(service)
    policies = {}
    for policy_name, members in groups.items():
        policy = ADMISSION.get(policy_name)(members)
        policies.update({ServiceName(service.name): policy for service in members})
    return policies


async def _refuse(caller: ServerExchange, error: RequestError) -> None:
    try:
        await caller.respond(*render_error(error))
    except HttpError:
        caller.abort()
