"""Hold what this node knows of one server: connections, work in flight, speed and failures."""

from __future__ import annotations

from dataclasses import dataclass, field

from result import Err, Ok, Result

from nutmeglead.core.clock import Clock
from nutmeglead.forwarding.errors import NoConnection
from nutmeglead.forwarding.model import ServerRecord, ServerState
from nutmeglead.http.client import ClientConnection, connect

__all__ = ["Upstream"]

# A server may close or forget an idle connection; a request that crosses the close is lost.
MAX_IDLE_MS = 4_000
MAX_IDLE_AT_MOST_ONCE_MS = 1_500
CONNECT_TIMEOUT_MS = 300
# Weight of the newest sample in the estimates.
TIME_WEIGHT = 0.15
FAILURE_HALF_LIFE_MS = 2_000
# A server that a connection failed to is tried again after this time.
UNREACHABLE_MS = 250
INITIAL_TIME_MS = 100.0
# A burst that is served within the target latency of today's routes ends sooner.
CONGESTED_AFTER_MS = 400


@dataclass
class _IdleConnection:
    connection: ClientConnection
    since_ms: int
    until_ms: int


@dataclass
class Upstream:
    """Send to one incarnation of a server."""

    record: ServerRecord
    tag: int
    clock: Clock
    cold_until_ms: int
    in_flight: int = 0
    in_flight_elsewhere: int = 0
    service_time_ms: float = INITIAL_TIME_MS
    connection_count: int = 0
    # Time since which the server must not be used, because it leaves or is gone.
    closed_since_ms: int | None = None
    # Time since which the server says that it leaves.
    leaving_since_ms: int | None = None
    # Time until which no connection is tried, because one has just failed.
    unreachable_until_ms: int = 0
    # Time since which requests have found no room here, or None.
    full_since_ms: int | None = None
    sample_count: int = 0
    sample_total_ms: float = 0.0
    # Requests that this node may send although the server is full; at most one is kept.
    _share: float = 1.0
    _share_ms: int = 0
    _failures: float = 0.0
    _failures_ms: int = 0
    _idle: list[_IdleConnection] = field(default_factory=list)

    @property
    def total_in_flight(self) -> int:
        """Count the requests that all nodes have at the server, as last told."""
        return self.in_flight + self.in_flight_elsewhere

    @property
    def is_ready(self) -> bool:
        """Tell whether the server takes new work."""
        return self.closed_since_ms is None and self.record.state is ServerState.READY

    def failure_rate(self, now_ms: int) -> float:
        """Return the decayed count of recent failures."""
        age_ms = now_ms - self._failures_ms
        return float(self._failures * 0.5 ** (age_ms / FAILURE_HALF_LIFE_MS))

    def note_failure(self, weight: float, now_ms: int) -> None:
        """Count a failure."""
        self._failures = self.failure_rate(now_ms) + weight
        self._failures_ms = now_ms

    def note_answer(self, duration_ms: int, now_ms: int) -> None:
        """Take the duration of an answered request; time in the server's queue is taken off."""
        waiting = max(1.0, (self.total_in_flight + 1) / self.record.slots)
        sample = duration_ms / waiting
        self.service_time_ms += TIME_WEIGHT * (sample - self.service_time_ms)
        self.sample_count += 1
        self.sample_total_ms += sample
        self._failures = self.failure_rate(now_ms) * 0.8
        self._failures_ms = now_ms

    def is_unreachable(self, now_ms: int) -> bool:
        """Tell whether a connection has just failed; one request in a while tries again."""
        return now_ms < self.unreachable_until_ms

    def take_share(self, node_count: int, now_ms: int) -> bool:
        """Take this node's part of what a full server finishes, if one is due.

        What other nodes have told is up to three heartbeats old; without shares all of them would
        fill the same free slot.
        """
        self._share = self._share_at(node_count, now_ms)
        self._share_ms = now_ms
        if self._share < 1.0:
            return False
        self._share -= 1.0
        return True

    def _share_at(self, node_count: int, now_ms: int) -> float:
        gained = (now_ms - self._share_ms) / self._share_interval_ms(node_count)
        return min(1.0, self._share + gained)

    def _share_interval_ms(self, node_count: int) -> float:
        return self.service_time_ms * max(1, node_count) / self.record.slots

    def share_wait_ms(self, node_count: int, ahead: int, now_ms: int) -> float:
        """Return the time until a share is due behind some requests that wait on this node."""
        missing = ahead + 1 - self._share_at(node_count, now_ms)
        return max(0.0, missing) * self._share_interval_ms(node_count)

    def drain_samples(self) -> tuple[int, float]:
        """Return the answers and their mean service time since the last call, and reset them."""
        count, total_ms = self.sample_count, self.sample_total_ms
        self.sample_count, self.sample_total_ms = 0, 0.0
        return count, total_ms / count if count else 0.0

    def expected_ms(self, now_ms: int, ahead: int = 0) -> float:
        """Return the expected time of one more request behind some that wait on this node."""
        time_ms = self.service_time_ms
        if now_ms < self.cold_until_ms:
            time_ms *= 2
        queued = max(0, self.total_in_flight + ahead + 1 - self.record.slots)
        return time_ms * (1 + queued / self.record.slots)

    def is_congested(self, now_ms: int) -> bool:
        """Tell whether the server has been full for longer than a burst takes."""
        return self.full_since_ms is not None and now_ms - self.full_since_ms >= CONGESTED_AFTER_MS

    async def take_connection(
        self, may_repeat: bool, timeout_ms: int
    ) -> Result[tuple[ClientConnection, bool], NoConnection]:
        """Return a connection and whether it was used before."""
        now_ms = self.clock.now_ms()
        max_idle_ms = MAX_IDLE_MS if may_repeat else MAX_IDLE_AT_MOST_ONCE_MS
        while self._idle:
            idle = self._idle.pop()
            is_fresh = now_ms < idle.until_ms and now_ms - idle.since_ms <= max_idle_ms
            if is_fresh and idle.connection.is_reusable:
                return Ok((idle.connection, True))
            self._drop(idle.connection)
        return await self._open(min(CONNECT_TIMEOUT_MS, timeout_ms))

    async def _open(self, timeout_ms: int) -> Result[tuple[ClientConnection, bool], NoConnection]:
        self.connection_count += 1
        opened = None
        try:
            opened = await connect(self.record.ip, self.record.port, timeout_ms)
        finally:
            if not isinstance(opened, Ok):
                self.connection_count -= 1
        if isinstance(opened, Err):
            self.unreachable_until_ms = self.clock.now_ms() + UNREACHABLE_MS
            return Err(NoConnection(str(opened.err_value)))
        self.unreachable_until_ms = 0
        return Ok((opened.ok_value, False))

    def return_connection(self, connection: ClientConnection, idle_ms: int, max_count: int) -> None:
        """Keep a connection for the next request if it is whole and not one too many."""
        now_ms = self.clock.now_ms()
        is_usable = connection.finish_exchange() and self.closed_since_ms is None
        if not is_usable or idle_ms <= 0 or self.connection_count > max_count:
            self._drop(connection)
        else:
            self._idle.append(_IdleConnection(connection, now_ms, now_ms + idle_ms))

    def drop(self, connection: ClientConnection) -> None:
        """Close a connection, which cancels its request at the server."""
        self._drop(connection)

    def _drop(self, connection: ClientConnection) -> None:
        connection.abort()
        self.connection_count -= 1

    def close_idle(self, now_ms: int) -> None:
        """Close the connections that have been idle for too long."""
        kept = []
        for idle in self._idle:
            is_fresh = now_ms < idle.until_ms and now_ms - idle.since_ms <= MAX_IDLE_MS
            if is_fresh and idle.connection.is_reusable:
                kept.append(idle)
            else:
                self._drop(idle.connection)
        self._idle = kept

    def close(self) -> None:
        """Close the idle connections."""
        for idle in self._idle:
            self._drop(idle.connection)
        self._idle.clear()
