"""Track one server as seen from this node: connections, load, service time and failures."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass, field

from result import Err, Ok, Result

from nutmeglead.core.clock import Clock
from nutmeglead.forwarding.admission import AdmissionShare
from nutmeglead.forwarding.connection_reuse import ReuseLimits
from nutmeglead.forwarding.errors import NoConnection
from nutmeglead.forwarding.load_control import LoadControl
from nutmeglead.forwarding.model import ServerRecord, ServerState
from nutmeglead.http.client import ClientConnection, connect
from nutmeglead.scheduling.server_load import ServerLoad

__all__ = ["INITIAL_SERVICE_TIME_MS", "ConnectionCounts", "Upstream"]

CONNECT_TIMEOUT_MS = 300
FAILURE_HALF_LIFE_MS = 2_000
# After a failed connection attempt, no request for the server's keys tries another for this time.
RECONNECT_DELAY_MS = 250
# Used until a server of the service has answered.
INITIAL_SERVICE_TIME_MS = 100.0
# A server that is full for longer is overloaded: a burst that can be served within the target
# latency of the current routes ends sooner. Limits of 165 to 670 ms, which follow the service time
# or the target latency, differ by less than 0.01 of the requests with 300 and 330 ms of work.
CONGESTED_AFTER_MS = 400


@dataclass
class _IdleConnection:
    """Hold an idle connection; the server may close it after `reusable_until_ms`."""

    connection: ClientConnection
    idle_since_ms: int
    reusable_until_ms: int


@dataclass
class ConnectionCounts:
    """Count the connections that this node has tried to open to the servers of a service."""

    opened: int = 0


@dataclass
class Upstream:
    """Hold the connections to one incarnation of a server, and estimates of its load and speed.

    `tag` identifies the server in load reports between nodes, `load` holds what it has stated and
    the measured service times, and `counts` is that of the service. Until `cold_until_ms` the
    server is expected to take twice as long. `in_flight` counts this node's requests at the server,
    `in_flight_elsewhere` those that the other nodes have reported. The servers of a service share
    `reuse`.
    """

    record: ServerRecord
    tag: int
    clock: Clock
    cold_until_ms: int
    admission: AdmissionShare
    load: ServerLoad
    counts: ConnectionCounts
    reuse: ReuseLimits = field(default_factory=ReuseLimits)
    in_flight: int = 0
    in_flight_elsewhere: int = 0
    connection_count: int = 0
    # Time since which the server is missing from the registry and must not be used, or None.
    removed_since_ms: int | None = None
    # Time since which the server can have announced at the earliest that it is leaving, or None.
    leaving_since_ms: int | None = None
    # Time since which the server's entry has been missing after a store outage, or None.
    missing_since_ms: int | None = None
    # Whether another server has answered at the server's address.
    has_lost_address: bool = False
    # Time until which the server counts as unreachable, because a connection to it just failed.
    unreachable_until_ms: int = 0
    # Time until which the server wants no requests of this node.
    backoff_until_ms: int = 0
    # Whether the server has not answered since its backoff; it then gets one request at a time.
    is_half_open: bool = False
    # Time since which the server has been full for requests of this node, or None.
    full_since_ms: int | None = None
    # Share and return times while the server, as an owner of keys, has too many requests.
    control: LoadControl | None = None
    # Time of this node's last request to the server, or None.
    last_assigned_ms: int | None = None
    # Time of the server's last answer to a request that it has run, or None.
    answered_ms: int | None = None
    # Answers and their service times since the last load report.
    sample_count: int = 0
    sample_total_ms: float = 0.0
    # Token bucket of one token; a token lets this node send one request to a full server.
    _tokens: float = 1.0
    _tokens_updated_ms: int = 0
    # The failure score at the time of its last update.
    _decayed_failures: float = 0.0
    _failures_updated_ms: int = 0
    _idle: list[_IdleConnection] = field(default_factory=list)

    @property
    def total_in_flight(self) -> int:
        """Return the requests in flight at the server from all nodes, as last reported."""
        return self.in_flight + self.in_flight_elsewhere

    def estimated_in_flight(self, now_ms: int) -> float:
        """Return the requests at the server, from its own statement while that is new."""
        return self.load.in_flight(self.in_flight, self.in_flight_elsewhere, now_ms)

    @property
    def service_time_ms(self) -> float:
        """Return the moving average of the time that a request takes without queueing."""
        return self.load.service_time_ms

    @service_time_ms.setter
    def service_time_ms(self, time_ms: float) -> None:
        self.load.service_time_ms = time_ms

    @property
    def has_idle_connection(self) -> bool:
        """Return whether a request could use an idle connection."""
        return bool(self._idle)

    @property
    def is_ready(self) -> bool:
        """Return whether the server takes new work."""
        return self.removed_since_ms is None and self.record.state is ServerState.READY

    def leaving_age_ms(self, now_ms: int) -> int | None:
        """Return for how long the server has been leaving or without an entry, or None."""
        times = (self.leaving_since_ms, self.missing_since_ms, self.removed_since_ms)
        starts = [since_ms for since_ms in times if since_ms is not None]
        return now_ms - min(starts) if starts else None

    def failure_score(self, now_ms: int) -> float:
        """Return the weighted count of failures, which halves every `FAILURE_HALF_LIFE_MS`."""
        age_ms = now_ms - self._failures_updated_ms
        return float(self._decayed_failures * 0.5 ** (age_ms / FAILURE_HALF_LIFE_MS))

    def record_failure(self, weight: float, now_ms: int) -> None:
        """Add the weight of a failure to the failure score."""
        self._decayed_failures = self.failure_score(now_ms) + weight
        self._failures_updated_ms = now_ms

    def record_answer(self, duration_ms: int, now_ms: int) -> None:
        """Update the service time with the duration of an answered request.

        The duration is divided by the number of requests per slot, to take out the time in the
        server's queue. Each answer also lowers the failure score by a fifth.
        """
        queue_factor = max(1.0, (self.estimated_in_flight(now_ms) + 1) / self.record.slots)
        sample_ms = duration_ms / queue_factor
        self.load.record_answer(sample_ms, now_ms)
        self.sample_count += 1
        self.sample_total_ms += sample_ms
        self.answered_ms = now_ms
        # An answer to a request from before the backoff does not end it.
        self.is_half_open = self.is_half_open and now_ms < self.backoff_until_ms
        self._decayed_failures = self.failure_score(now_ms) * 0.8
        self._failures_updated_ms = now_ms

    def has_answered_within(self, duration_ms: int, now_ms: int) -> bool:
        """Return whether the server has answered a request that it ran, at most that long ago."""
        return self.answered_ms is not None and now_ms - self.answered_ms <= duration_ms

    def begin_backoff(self, until_ms: int) -> None:
        """Send the server no requests until a time, and then one at a time until it answers."""
        self.backoff_until_ms = until_ms
        self.is_half_open = True

    def backoff_left_ms(self, now_ms: int) -> int:
        """Return for how long the server wants no more requests of this node."""
        return max(0, self.backoff_until_ms - now_ms)

    def is_paused(self, now_ms: int) -> bool:
        """Return whether the server gets no further request now."""
        return now_ms < self.backoff_until_ms or (self.is_half_open and self.in_flight > 0)

    def mark_unreachable(self) -> None:
        """Send the server no request for a key for `RECONNECT_DELAY_MS`."""
        self.unreachable_until_ms = self.clock.now_ms() + RECONNECT_DELAY_MS

    def is_unreachable(self, now_ms: int) -> bool:
        """Return whether a connection to the server failed less than `RECONNECT_DELAY_MS` ago."""
        return now_ms < self.unreachable_until_ms

    def is_full(self, max_requests_per_slot: float, node_count: int) -> bool:
        """Return whether a node needs a token to send another request.

        The places in the server's queue that need no token shrink as the number of nodes grows,
        since more nodes may then take the same free place at once.
        """
        max_in_flight = self.record.slots * max_requests_per_slot
        queue_share = min(1.0, max_in_flight / max(1, node_count))
        queue_places = (max_in_flight - self.record.slots) * queue_share
        in_flight = self.estimated_in_flight(self.clock.now_ms())
        return in_flight >= self.record.slots + queue_places

    def try_consume_token(self, node_count: int, now_ms: int) -> bool:
        """Consume a token and return True, or return False if there is none yet.

        Tokens are added at this node's equal share of the rate at which the full server finishes
        requests. The reported loads of other nodes are up to three heartbeats old; without tokens,
        all nodes would fill the same free slot.
        """
        self._tokens = self._tokens_at(node_count, now_ms)
        self._tokens_updated_ms = now_ms
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def _tokens_at(self, node_count: int, now_ms: int) -> float:
        """Return the tokens in the bucket, which holds one at most."""
        gained_tokens = (now_ms - self._tokens_updated_ms) / self._token_interval_ms(node_count)
        return min(1.0, self._tokens + gained_tokens)

    def _token_interval_ms(self, node_count: int) -> float:
        """Return the time in which this node earns one token."""
        return self.service_time_ms * max(1, node_count) / self.record.slots

    def token_wait_ms(self, node_count: int, waiting_ahead: int, now_ms: int) -> float:
        """Return the time until a token is left over after `waiting_ahead` requests had theirs."""
        missing_tokens = waiting_ahead + 1 - self._tokens_at(node_count, now_ms)
        return max(0.0, missing_tokens) * self._token_interval_ms(node_count)

    def drain_samples(self) -> tuple[int, float]:
        """Return the count and mean service time of answers since the last call, and reset both."""
        count, total_ms = self.sample_count, self.sample_total_ms
        self.sample_count, self.sample_total_ms = 0, 0.0
        return count, total_ms / count if count else 0.0

    def expected_duration_ms(self, now_ms: int, waiting_ahead: int = 0) -> float:
        """Return the expected duration of a new request behind `waiting_ahead` waiting ones."""
        time_ms = self.load.current_time_ms(now_ms)
        if now_ms < self.cold_until_ms:
            time_ms *= 2
        in_flight = self.estimated_in_flight(now_ms)
        queued = max(0.0, in_flight + waiting_ahead + 1 - self.record.slots)
        return time_ms * (1 + queued / self.record.slots)

    def is_congested(self, now_ms: int) -> bool:
        """Return whether the server has been full for longer than a burst lasts."""
        return self.full_since_ms is not None and now_ms - self.full_since_ms >= CONGESTED_AFTER_MS

    async def acquire_connection(
        self, may_repeat: bool, timeout_ms: int, excluded: Collection[ClientConnection] = ()
    ) -> Result[tuple[ClientConnection, int | None], NoConnection]:
        """Return a connection and how long it was idle, None for a new one; or why there is none.

        The connection must be given back with `return_connection` or `abort_connection`. Requests
        that may not repeat use only connections that were idle briefly. `excluded` holds the
        connections that the request has used: a late copy of the answer there bears the same id as
        the answer to a retry.
        """
        now_ms = self.clock.now_ms()
        max_idle_ms = self.reuse.max_idle_ms(may_repeat, now_ms)
        self.close_idle(now_ms)
        for index in reversed(range(len(self._idle))):
            idle = self._idle[index]
            idle_ms = now_ms - idle.idle_since_ms
            if idle_ms <= max_idle_ms and idle.connection not in excluded:
                del self._idle[index]
                return Ok((idle.connection, idle_ms))
        return await self._open_connection(min(CONNECT_TIMEOUT_MS, timeout_ms))

    async def _open_connection(
        self, timeout_ms: int
    ) -> Result[tuple[ClientConnection, int | None], NoConnection]:
        """Return a new connection, or mark the server as unreachable for a while if it fails."""
        self.connection_count += 1
        self.counts.opened += 1
        opened = None
        try:
            opened = await connect(self.record.ip, self.record.port, timeout_ms)
        finally:
            if not isinstance(opened, Ok):
                self.connection_count -= 1
        if isinstance(opened, Err):
            self.mark_unreachable()
            return Err(NoConnection(str(opened.err_value)))
        self.unreachable_until_ms = 0
        return Ok((opened.ok_value, None))

    def return_connection(
        self, connection: ClientConnection, keep_alive_ms: int, max_count: int
    ) -> None:
        """Keep a connection for `keep_alive_ms` for later requests, or close it.

        It is closed if its exchange is incomplete, the server was removed or does not keep idle
        connections, or more than `max_count` connections are open.
        """
        now_ms = self.clock.now_ms()
        is_usable = connection.finish_exchange() and self.removed_since_ms is None
        if not is_usable or keep_alive_ms <= 0 or self.connection_count > max_count:
            self._abort_connection(connection)
        else:
            self._idle.append(_IdleConnection(connection, now_ms, now_ms + keep_alive_ms))

    def abort_connection(self, connection: ClientConnection) -> None:
        """Close a connection at once, which cancels its request at the server."""
        self._abort_connection(connection)

    def _abort_connection(self, connection: ClientConnection) -> None:
        connection.abort()
        self.connection_count -= 1

    def close_idle(self, now_ms: int) -> None:
        """Close the connections that are no longer reusable or have been idle for too long."""
        if not self._idle:
            return
        kept = []
        max_idle_ms = self.reuse.max_idle_ms(True, now_ms)
        for idle in self._idle:
            is_within_idle_limit = (
                now_ms < idle.reusable_until_ms and now_ms - idle.idle_since_ms <= max_idle_ms
            )
            if is_within_idle_limit and idle.connection.is_reusable:
                kept.append(idle)
            else:
                self._abort_connection(idle.connection)
        self._idle = kept

    def close(self) -> None:
        """Close the idle connections; those in use stay open."""
        for idle in self._idle:
            self._abort_connection(idle.connection)
        self._idle.clear()
