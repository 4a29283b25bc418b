"""Keep what the router knows of each server: requests in flight, limit, health, service times."""

from collections.abc import Callable, Hashable

from nutmeglead._generated.settings.ttypes import (
    ConcurrencySettings,
    EjectionSettings,
    ServiceSettings,
)
from nutmeglead.core.ids import ServerId, ServiceName
from nutmeglead.routing.concurrency import (
    CONCURRENCY,
    ConcurrencyLimit,
    LentShare,
    SlotShares,
    connection_share,
)
from nutmeglead.routing.ejection import EJECTION, EjectionPolicy
from nutmeglead.routing.errors import AnswerLate, RequestError, ServerRefused, is_server_fault
from nutmeglead.routing.estimates import SmoothedTime
from nutmeglead.routing.sources import AddressBook

__all__ = ["ServerState", "ServiceServers"]

# A late answer counts against a server only after four times its usual time; otherwise callers with
# short deadlines could eject a healthy server.
LATE_FACTOR = 4

# Routers come and go a few times a day each; counting thousands of members per request would cost
# more than the request.
COUNT_INTERVAL_MS = 500


class ServerState:
    """Hold one server's requests in flight and its limit."""

    def __init__(self, limit: ConcurrencyLimit) -> None:
        self.limit = limit
        self.in_flight = 0
        self.usual: SmoothedTime | None = None

    def is_late(self, duration_ms: int) -> bool:
        """Tell whether a request took much longer than usual."""
        return self.usual is None or duration_ms >= LATE_FACTOR * self.usual.mean_ms

    def add_sample(self, duration_ms: int) -> None:
        """Learn from a whole answer."""
        if self.usual is None:
            self.usual = SmoothedTime(duration_ms)
        else:
            self.usual.observe(duration_ms)


class ServiceServers:
    """Hold the servers of one service."""

    def __init__(
        self,
        service: ServiceSettings,
        addresses: AddressBook,
        shares: Callable[[ServerId], SlotShares],
    ) -> None:
        self._shares = shares
        self._service = service
        self._name = ServiceName(service.name)
        self._addresses = addresses
        self._limits = CONCURRENCY.get((service.concurrency or ConcurrencySettings()).policy)
        ejection = service.ejection or EjectionSettings()
        self.ejection: EjectionPolicy = EJECTION.get(ejection.policy)(ejection)
        self._states: dict[ServerId, ServerState] = {}
        self._router_count = 1
        self._counted_ms = -COUNT_INTERVAL_MS
        self._known: dict[ServerId, Hashable] = {}

    def state(self, server_id: ServerId) -> ServerState:
        """Return a server's state."""
        state = self._states.get(server_id)
        if state is None:
            limit = self._limits(self._service)
            if isinstance(limit, LentShare):
                limit.shares = self._shares(server_id)
            state = self._states[server_id] = ServerState(limit)
            self._learn_domains()
        return state

    def refresh(self) -> None:
        """Take over the known servers and forget idle ones that are gone."""
        self._learn_domains()
        self._states = {
            server_id: state
            for server_id, state in self._states.items()
            if server_id in self._known or state.in_flight
        }

    def _learn_domains(self) -> None:
        domains = {}
        for server_id in self._addresses.servers(self._name):
            address = self._addresses.address(self._name, server_id)
            if address is not None:
                domains[server_id] = address.failure_domain
        if domains != self._known:
            self._known = dict(domains)
            self.ejection.set_servers(domains)

    def allowed(self, server_id: ServerId, now_ms: int) -> int:
        """Return how many requests may be in flight to a server."""
        share = self.ejection.share(server_id, now_ms)
        limit = self.state(server_id).limit.limit(now_ms, self._count_routers(now_ms))
        if share <= 0 or limit <= 0:
            return 0
        return max(1, int(limit * share))

    def is_ejected(self, server_id: ServerId, now_ms: int) -> bool:
        """Tell whether a server gets no requests at present."""
        return self.ejection.share(server_id, now_ms) <= 0

    def in_flight(self, server_id: ServerId) -> int:
        """Count the requests in flight to a server."""
        state = self._states.get(server_id)
        return state.in_flight if state else 0

    def take_slot(self, server_id: ServerId, now_ms: int) -> bool:
        """Count a request in flight if the limit allows one more."""
        state = self.state(server_id)
        if state.in_flight >= self.allowed(server_id, now_ms):
            return False
        state.in_flight += 1
        return True

    def max_connections(self, now_ms: int) -> int:
        """Return how many connections this router may have open to one server."""
        return connection_share(self._service, self._count_routers(now_ms))

    def _count_routers(self, now_ms: int) -> int:
        if now_ms >= self._counted_ms + COUNT_INTERVAL_MS:
            self._counted_ms = now_ms
            self._router_count = self._addresses.router_count()
        return self._router_count

    def finish(
        self,
        server_id: ServerId,
        error: RequestError | None,
        duration_ms: int,
        now_ms: int,
        cancelled: bool,
    ) -> None:
        """Count the end of a request in flight and learn from it, unless its caller ended it."""
        state = self.state(server_id)
        state.in_flight -= 1
        says_nothing = error and not isinstance(error, ServerRefused) and not is_server_fault(error)
        if cancelled or says_nothing:
            return
        state.limit.observe(duration_ms, error is None, state.in_flight + 1)
        if error is None:
            state.add_sample(duration_ms)
            self.ejection.record(server_id, True, now_ms)
        elif isinstance(error, AnswerLate) and not state.is_late(duration_ms):
            return
        elif is_server_fault(error):
            self.ejection.record(server_id, False, now_ms)
