"""Choose a server of a service without keys, by a policy that the settings name."""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Collection, Iterable, Sequence
from typing import TYPE_CHECKING

from nutmeglead.core.ids import FailureDomainName
from nutmeglead.core.registry import Registry
from nutmeglead.forwarding.dispatch_settings import DispatchSettings
from nutmeglead.forwarding.model import RequestKind
from nutmeglead.scheduling.crowding import is_crowded

if TYPE_CHECKING:
    from nutmeglead.forwarding.upstream import Upstream

__all__ = ["SELECTION_POLICIES", "Choice", "ServerSelector"]

# Servers with idle connections that are compared. Of more, the same ones look best to many nodes:
# with 70 nodes and 48 servers at 80% of their capacity, three give 4 to 7% longer times than two.
DRAWN_CONNECTED_SERVERS = 2
# Part of the choices that also compare a server drawn from all. Fewer find servers too late that
# have become free; more open connections without a better spread.
EXPLORED_PART = 0.25
# Draws per server wanted: a draw may meet a server that cannot be used, or one drawn before.
DRAWS_PER_SERVER = 3


class Choice:
    """Hold what one choice depends on: the servers, the kind of the request and the time."""

    def __init__(
        self,
        selector: ServerSelector,
        servers: Collection[Upstream],
        is_usable: Callable[[Upstream], bool],
        kind: RequestKind,
        now_ms: int,
    ) -> None:
        self.rng = selector.rng
        self.servers: Sequence[Upstream] = list(servers)
        self.now_ms = now_ms
        self.node_count = selector.node_count
        self._selector = selector
        self._is_usable = is_usable
        self._is_large = kind.is_large

    def available(self, servers: Iterable[Upstream]) -> list[Upstream]:
        """Return the servers that may get a request now, with the newest reports of others."""
        available = []
        for upstream in servers:
            if self._is_usable(upstream) and not upstream.is_paused(self.now_ms):
                upstream.in_flight_elsewhere = self._selector.in_flight_elsewhere(upstream.tag)
                available.append(upstream)
        return available

    def first_after_backoff(self) -> Upstream | None:
        """Return the usable server that takes requests first, or None without usable servers."""
        usable = filter(self._is_usable, self.servers)
        return min(usable, key=lambda upstream: upstream.backoff_until_ms, default=None)

    def draw(
        self, servers: Sequence[Upstream], count: int, drawn: Sequence[Upstream] = ()
    ) -> list[Upstream]:
        """Return `drawn` and up to `count` other available servers, drawn at random."""
        result = list(drawn)
        for _ in range(count * DRAWS_PER_SERVER if servers else 0):
            upstream = servers[int(self.rng.random() * len(servers))]
            if all(upstream is not other for other in result):
                result += self.available((upstream,))
                if len(result) == len(drawn) + count:
                    break
        return result

    def cost_ms(self, upstream: Upstream) -> float:
        """Return the expected duration of the request, plus the penalties."""
        selector, now_ms = self._selector, self.now_ms
        settings = selector.settings
        cost_ms = upstream.expected_duration_ms(now_ms)
        cost_ms += upstream.failure_score(now_ms) * settings.failure_penalty_ms
        if upstream.record.failure_domain != selector.own_domain:
            cost_ms += (
                settings.large_answer_cross_domain_penalty_ms
                if self._is_large
                else settings.cross_domain_penalty_ms
            )
        return cost_ms

    def connected_cost_ms(self, upstream: Upstream) -> float:
        """Return the cost with that of a new connection, where there is no idle one."""
        cost_ms = self.cost_ms(upstream)
        if not upstream.has_idle_connection:
            cost_ms += self._selector.settings.new_connection_penalty_ms
        return cost_ms

    def free_slots(self, upstream: Upstream) -> float:
        """Return the estimated slots without a request, below 0 if requests wait."""
        return upstream.record.slots - upstream.estimated_in_flight(self.now_ms)


Policy = Callable[[Choice], "Upstream | None"]
SELECTION_POLICIES: Registry[Policy] = Registry("selection policy")


@SELECTION_POLICIES.register("least-duration")
def choose_least_duration(choice: Choice) -> Upstream | None:
    """Return the server with the lowest cost of all.

    Up to 5% of random extra cost spreads requests over equal servers; without it, all nodes would
    choose the same one.
    """
    available = choice.available(choice.servers)
    random_factor = choice.rng.random
    return min(
        available,
        key=lambda upstream: choice.cost_ms(upstream) * (1 + 0.05 * random_factor()),
        default=None,
    )


@SELECTION_POLICIES.register("best-of-two")
def choose_best_of_two(choice: Choice) -> Upstream | None:
    """Return the better of two servers drawn at random."""
    return min(choice.draw(choice.servers, 2), key=choice.cost_ms, default=None)


@SELECTION_POLICIES.register("best-of-four")
def choose_best_of_four(choice: Choice) -> Upstream | None:
    """Return the best of four servers drawn at random."""
    return min(choice.draw(choice.servers, 4), key=choice.cost_ms, default=None)


@SELECTION_POLICIES.register("free-capacity")
def choose_by_free_capacity(choice: Choice) -> Upstream | None:
    """Draw a server with a probability in proportion to its free slots and its speed."""
    available = choice.available(choice.servers)
    if not available:
        return None
    weights = [
        max(0.0, choice.free_slots(upstream)) / choice.cost_ms(upstream) for upstream in available
    ]
    if not any(weights):
        return choose_least_duration(choice)
    return choice.rng.choices(available, weights)[0]


@SELECTION_POLICIES.register("connected")
def choose_connected(choice: Choice) -> Upstream | None:
    """Return the best of a few servers with idle connections and, at times, one of all.

    So each node uses few servers at a time and has new figures of them, and the drawn server
    replaces one of them when it is better.
    """
    connected = [upstream for upstream in choice.servers if upstream.has_idle_connection]
    drawn = choice.draw(connected, DRAWN_CONNECTED_SERVERS)
    missing = DRAWN_CONNECTED_SERVERS - len(drawn)
    if not missing and choice.rng.random() < EXPLORED_PART:
        missing = 1
    drawn = choice.draw(choice.servers, missing, drawn)
    return min(drawn, key=choice.connected_cost_ms, default=None)


@SELECTION_POLICIES.register("by-node-count")
def choose_by_node_count(choice: Choice) -> Upstream | None:
    """Follow the policy for many nodes, where they are many for a server, or else that for few."""
    if choice.servers and is_crowded(choice.node_count(), choice.servers[0].record.slots):
        return choose_connected(choice)
    return choose_least_duration(choice)


class ServerSelector:
    """Choose servers by the policy of the settings.

    `in_flight_elsewhere` returns the requests that other nodes have reported in flight at the
    server with a tag, and `node_count` the number of live nodes.
    """

    def __init__(
        self,
        own_domain: FailureDomainName,
        rng: random.Random,
        settings: DispatchSettings,
        in_flight_elsewhere: Callable[[int], int],
        node_count: Callable[[], int],
    ) -> None:
        self.own_domain = own_domain
        self.rng = rng
        self.settings = settings
        self.in_flight_elsewhere = in_flight_elsewhere
        self.node_count = node_count
        self._policy = SELECTION_POLICIES.get(settings.selection)

    def choose(
        self,
        servers: Collection[Upstream],
        is_usable: Callable[[Upstream], bool],
        kind: RequestKind,
        now_ms: int,
    ) -> Upstream | None:
        """Return the server that a request is sent to if it has room.

        If all usable servers are paused, it is the one that takes requests first.
        """
        choice = Choice(self, servers, is_usable, kind, now_ms)
        return self._policy(choice) or choose_least_duration(choice) or choice.first_after_backoff()

    def best(
        self,
        servers: Collection[Upstream],
        is_usable: Callable[[Upstream], bool],
        kind: RequestKind,
        now_ms: int,
    ) -> Upstream | None:
        """Return the server that would answer first, to tell how long a request has to wait."""
        choice = Choice(self, servers, is_usable, kind, now_ms)
        return choose_least_duration(choice) or choice.first_after_backoff()

    def load_spread(self, servers: Collection[Upstream], now_ms: int) -> float:
        """Return the standard deviation over the ready servers of requests per slot."""
        per_slot = []
        for upstream in servers:
            upstream.in_flight_elsewhere = self.in_flight_elsewhere(upstream.tag)
            if upstream.is_ready:
                per_slot.append(upstream.estimated_in_flight(now_ms) / upstream.record.slots)
        if not per_slot:
            return 0.0
        mean = sum(per_slot) / len(per_slot)
        return math.sqrt(sum((load - mean) ** 2 for load in per_slot) / len(per_slot))
