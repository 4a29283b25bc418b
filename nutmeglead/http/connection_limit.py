"""Bound the open connections of callers."""

import logging
from collections.abc import Collection
from dataclasses import dataclass
from typing import Protocol

from nutmeglead.core.clock import Clock
from nutmeglead.core.events import Event, log_event
from nutmeglead.http.held_bytes import SMALL_BYTES, HeldBytes

__all__ = ["ConnectionLimit", "SocketBounds"]

logger = logging.getLogger(__name__)

# A connection that has waited for its caller for this time may be closed for a new one. A caller
# that has just connected has not yet had the time to send its request.
MIN_WAITING_MS = 1_000
# Waiting connections are looked for at most once in this time, and this share of the limit is
# closed at once, as a look at all connections for each new one would take too long.
LOOK_INTERVAL_MS = 100
CLOSED_SHARE = 16
LOG_INTERVAL_MS = 1_000


@dataclass(frozen=True)
class SocketBounds:
    """Most connections of callers, and most of callers and to servers; None for no bound.

    The memory bounds them too.
    """

    max_callers: int | None = None
    max_total: int | None = None


class LimitedConnection(Protocol):
    """A connection of a caller."""

    @property
    def is_idle(self) -> bool:
        """Return whether no request is in progress or has begun to arrive."""

    @property
    def waiting_since_ms(self) -> int | None:
        """Return since when the connection waits for its caller, or None if it is in use."""

    def give_way(self) -> None:
        """End the connection unless its caller uses it."""


class ConnectionLimit:
    """Admit connections up to a limit; above it, some that wait for their callers are closed.

    Those that have been idle longest are closed first, and then those whose unfinished request has
    begun first.

    `closed_count` counts the connections that were closed or not admitted.
    """

    def __init__(self, held: HeldBytes, clock: Clock, max_connections: int | None) -> None:
        # Each connection may have unread bytes.
        by_memory = held.limit_bytes // SMALL_BYTES
        self._max_connections = min(max_connections or by_memory, by_memory)
        self._clock = clock
        self.closed_count = 0
        self._looked_ms: int | None = None
        self._logged_ms: int | None = None

    def admit(self, connections: Collection[LimitedConnection], peer_ip: str) -> bool:
        """Return whether a new connection may stay beside those that are open."""
        if len(connections) < self._max_connections:
            return True
        now_ms = self._clock.now_ms()
        if self._looked_ms is None or now_ms - self._looked_ms >= LOOK_INTERVAL_MS:
            self._looked_ms = now_ms
            if self._close_waiting(connections, now_ms):
                # They leave the set some passes of the event loop later.
                return True
        self.closed_count += 1
        self._log(len(connections), peer_ip, now_ms)
        return False

    def _close_waiting(self, connections: Collection[LimitedConnection], now_ms: int) -> bool:
        """Close some of the connections that wait for their callers; return whether any."""
        waiting = [
            (not connection.is_idle, since_ms, number, connection)
            for number, connection in enumerate(connections)
            if (since_ms := connection.waiting_since_ms) is not None
            and now_ms - since_ms >= MIN_WAITING_MS
        ]
        waiting.sort()
        for _, _, _, connection in waiting[: max(1, self._max_connections // CLOSED_SHARE)]:
            connection.give_way()
            self.closed_count += 1
        return bool(waiting)

    def _log(self, open_count: int, peer_ip: str, now_ms: int) -> None:
        if self._logged_ms is not None and now_ms - self._logged_ms < LOG_INTERVAL_MS:
            return
        self._logged_ms = now_ms
        log_event(
            logger,
            Event.CONNECTIONS_BOUNDED,
            caller=peer_ip,
            open=open_count,
            closed=self.closed_count,
        )
