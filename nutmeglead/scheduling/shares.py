"""Share the rate of an overloaded server, or of a service's servers, between many nodes.

Where a server has fewer places than there are nodes, no node may hold places of its own, and a
share of each node's requests is too coarse: the reports of requests in flight are older than the
time in which a peak fills the server. A node therefore sends at a rate: its equal part of what the
server finishes, times a factor that all nodes derive from the same reports. Rate that some nodes
leave unused lowers the reported requests in flight, which raises the factor for those with callers.
"""

import math
import random
from collections.abc import Callable
from dataclasses import dataclass

from nutmeglead.core.registry import Registry
from nutmeglead.scheduling.counts import LoadCounts
from nutmeglead.scheduling.priorities import PriorityDemand

__all__ = ["SHARE_LAWS", "PacedShare", "ServerRate", "ShareSettings"]


@dataclass(frozen=True)
class ShareSettings:
    """Set when nodes send at paced shares, and how the shares follow the reported load.

    `law` names a variant of `SHARE_LAWS`. If they are enabled, the shares apply where nodes are
    more than `min_nodes_per_place` times the requests that a server may run or queue; with fewer
    nodes, each has places of its own.
    """

    # Off: with 88 nodes and 115 owners of keys on the bench, lookups earned 0.669 of their benefit
    # with the shares and 0.749 without, although decisions alone are better with them.
    is_enabled: bool = False
    law: str = "feedback"
    min_nodes_per_place: float = 3.0
    update_interval_ms: int = 150
    # Time in which a distance from the goal is corrected; several times the age of the reports.
    correction_ms: float = 600.0
    # A new request may wait if this multiple of the expected wait for a token is short enough:
    # more urgent requests may come and the rate may fall meanwhile. With 1.0, a fifth of the
    # refusals of a pool at 1.5 times its capacity came late.
    wait_margin: float = 1.6
    # The rate that a node has not used in this time is left to the others.
    stock_ms: float = 600.0
    # Change of the factor's logarithm at an update, for the relative distance from the goal.
    gain: float = 0.08
    free_slot_gain: float = 0.4
    # Age of the reports of other nodes. A node sends one request in this time to an owner of keys
    # that is not known to be overloaded, because other nodes may do the same.
    report_age_ms: int = 300
    # Requests in flight at which the servers of a service without keys are kept busy: those with
    # which an answer takes this share of the target latency, and at most so many a slot. The rest
    # waits on the nodes, because a full server resets connections. A higher goal answers more of a
    # short burst in time, and overruns servers more often.
    pool_target_share: float = 0.6
    max_pool_requests_per_slot: float = 3.0
    # Requests at one server, in relation to the goal for the mean, beyond which it gets no more.
    pool_spread: float = 1.2

    def pool_requests_per_slot(self, target_latency_ms: float, service_time_ms: float) -> float:
        """Return the goal for the servers of a service without keys, for each slot."""
        in_time = self.pool_target_share * target_latency_ms / service_time_ms
        return max(1.0, min(self.max_pool_requests_per_slot, in_time))

    def applies(self, places: float, node_count: int) -> bool:
        """Return whether the nodes are too many for places of their own at a server."""
        return self.is_enabled and node_count > self.min_nodes_per_place * places


@dataclass(frozen=True)
class ServerRate:
    """Hold what servers can do: their slots, the requests that they finish, and the goal.

    `goal` is the number of requests in flight that keeps them busy and answers new ones in time.
    """

    slots: int
    service_time_ms: float
    goal: float

    @property
    def per_ms(self) -> float:
        """Return the requests that the servers finish in a millisecond."""
        return self.slots / self.service_time_ms


# Returns the new factor from the last one, the requests in flight and the servers' rate.
ShareLaw = Callable[[ShareSettings, float, float, ServerRate], float]

SHARE_LAWS: Registry[ShareLaw] = Registry("share laws")


@SHARE_LAWS.register("equal")
def equal_factor(
    settings: ShareSettings, factor: float, in_flight: float, server: ServerRate
) -> float:
    """Leave each node its equal part, whether the others use theirs or not."""
    return 1.0


@SHARE_LAWS.register("feedback")
def feedback_factor(
    settings: ShareSettings, factor: float, in_flight: float, server: ServerRate
) -> float:
    """Raise the factor while fewer requests than the goal are in flight, and lower it beyond."""
    gain = settings.free_slot_gain if in_flight < server.slots else settings.gain
    return factor * math.exp(gain * (server.goal - in_flight) / server.goal)


class PacedShare:
    """Admit a node's requests at its share of a server's rate, once the server is overloaded.

    A token admits one request. `is_limiting` is false until more requests than the goal are in
    flight, and again when the node may use the whole rate.
    """

    def __init__(self, settings: ShareSettings, rng: random.Random, counts: LoadCounts) -> None:
        self.demand = PriorityDemand()
        self.is_limiting = False
        self._settings = settings
        self._rng = rng
        self._counts = counts
        self._factor = 1.0
        self._correction = 1.0
        self._last_in_flight = 0.0
        self._rate_per_ms = 0.0
        self._tokens = 0.0
        self._updated_ms = 0

    @property
    def rate_per_ms(self) -> float:
        """Return the rate at which this node may send requests while it is limited."""
        return self._rate_per_ms

    def update(self, in_flight: float, server: ServerRate, node_count: int, now_ms: int) -> None:
        """Follow the requests in flight of all nodes; call it once an update interval."""
        if not self.is_limiting:
            if in_flight <= server.goal:
                return
            self._begin(now_ms)
        self._add_tokens(now_ms)
        settings = self._settings
        law = SHARE_LAWS.get(settings.law)
        # What is on its way to the goal, such as the queue of a peak's first moments, is left to
        # the correction: the factor would be wrong when the goal is reached.
        is_approaching = (
            in_flight < self._last_in_flight
            if in_flight > server.goal
            else (in_flight > self._last_in_flight)
        )
        self._last_in_flight = in_flight
        if not is_approaching:
            factor = law(settings, self._factor, in_flight, server)
            self._factor = min(float(node_count), max(0.25, factor))
        missing = (server.goal - in_flight) / (server.per_ms * settings.correction_ms)
        self._correction = min(1.5, max(0.0, 1.0 + missing))
        equal_part = server.per_ms / max(1, node_count)
        self._rate_per_ms = equal_part * self._factor * self._correction
        if self._factor >= node_count and in_flight < server.slots:
            self.is_limiting = False

    def _begin(self, now_ms: int) -> None:
        self.is_limiting = True
        self._factor = 1.0
        self._tokens = 0.0
        self._updated_ms = now_ms

    def _add_tokens(self, now_ms: int) -> None:
        gained = (now_ms - self._updated_ms) * self._rate_per_ms
        most = self._rate_per_ms * self._settings.stock_ms if self._is_sparse else 2.0
        self._tokens = min(most, self._tokens + gained)
        self._updated_ms = now_ms

    @property
    def _is_sparse(self) -> bool:
        """Return whether the node earns less than a token in the time of its stock.

        Whole tokens in the stocks of all nodes would then be several seconds of the server's work,
        which a rise of the demand sends at once. A request takes the part of a token that there is
        instead, and is sent with that probability.
        """
        return self._rate_per_ms * self._settings.stock_ms < 1.0

    def may_take(self, rank: int, now_ms: int) -> bool:
        """Return whether `try_take` can succeed for a request of this rank."""
        if not self.is_limiting or self._is_sparse:
            return True
        self._add_tokens(now_ms)
        reserve = self.demand.reserve_tokens(rank, self._rate_per_ms, now_ms)
        return self._tokens >= 1.0 + reserve

    def try_take(self, rank: int, now_ms: int) -> bool:
        """Return whether a request may be sent now, and use its token; a lower rank goes first."""
        if not self.is_limiting:
            return True
        if self._is_sparse:
            self._add_tokens(now_ms)
            reserve = self.demand.reserve_tokens(rank, self._rate_per_ms, now_ms)
            part = self._tokens * (1.0 - reserve)
            self._tokens -= part
            is_taken = self._rng.random() < part
        else:
            is_taken = self.may_take(rank, now_ms)
            self._tokens -= is_taken
        self._counts.tokens_used += is_taken
        return is_taken

    def wait_ms(self, ahead: int, priority: int, now_ms: int) -> float:
        """Return the time until a token is left after `ahead` requests and more urgent ones."""
        if not self.is_limiting:
            return 0.0
        self._add_tokens(now_ms)
        rate = self._rate_per_ms - self.demand.rate_per_ms(now_ms, priority)
        reserve = self.demand.reserve_tokens(priority, self._rate_per_ms, now_ms)
        missing = ahead + 1 + reserve - self._tokens
        if missing <= 0:
            return 0.0
        return missing / rate if rate > 0 else math.inf
