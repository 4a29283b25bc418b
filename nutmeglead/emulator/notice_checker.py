"""Detect requests that reach a server although it has told their sender that it wants none."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field

from nutmeglead.core.clock import Clock
from nutmeglead.forwarding.model import ServerNotice

__all__ = ["NoticeChecker", "NoticeIgnored"]

# Requests that were sent before the answer with a backoff time may arrive this long after it.
BACKOFF_IN_FLIGHT_MS = 500
# Requests that may arrive between that time and the end of the backoff time.
MAX_REQUESTS_IN_BACKOFF = 2
# Time that a request which was sent in time may need to arrive, with a new connection.
LEAVING_IN_FLIGHT_MS = 250


@dataclass(frozen=True)
class NoticeIgnored:
    """Record a request that arrived against a server's notice to its sender."""

    at_ms: int
    server_id: str
    sender: str
    notice: str


@dataclass
class _Backoff:
    """Hold the time in which a server wants no requests of a sender, and how many arrived."""

    from_ms: int
    until_ms: int
    arrived: int = 0


@dataclass
class _Stated:
    """Hold what one incarnation of a server has stated to one sender."""

    leaving_since_ms: int | None = None
    backoffs: list[_Backoff] = field(default_factory=list)


@dataclass
class NoticeChecker:
    """Compare the requests that arrive at servers with what the servers have stated before.

    A server's incarnation and a sender are identified by any texts. `leave_ms` is the time for
    which a leaving server may still get requests.
    """

    clock: Clock
    leave_ms: int
    faults: list[NoticeIgnored] = field(default_factory=list)
    # Senders and servers whose processes or links have a fault, which excuses them.
    excused: set[str] = field(default_factory=set)
    _stated: defaultdict[tuple[str, str], _Stated] = field(
        default_factory=lambda: defaultdict(_Stated)
    )

    def on_answer(self, server: str, sender: str, notice: ServerNotice) -> None:
        """Record what a server states in an answer to a sender."""
        now_ms, stated = self.clock.now_ms(), self._stated[server, sender]
        if notice.is_leaving and stated.leaving_since_ms is None:
            stated.leaving_since_ms = now_ms
        if notice.backoff_ms is not None:
            from_ms = now_ms + BACKOFF_IN_FLIGHT_MS
            stated.backoffs.append(_Backoff(from_ms, now_ms + notice.backoff_ms))

    def on_request(self, server: str, sender: str) -> None:
        """Check a request that has arrived at a server."""
        if self.excused & {server, sender}:
            return
        now_ms, stated = self.clock.now_ms(), self._stated[server, sender]
        since_ms = stated.leaving_since_ms
        if since_ms is not None and now_ms > since_ms + self.leave_ms + LEAVING_IN_FLIGHT_MS:
            self.faults.append(NoticeIgnored(now_ms, server, sender, "leaving"))
        stated.backoffs = [backoff for backoff in stated.backoffs if now_ms <= backoff.until_ms]
        for backoff in stated.backoffs:
            backoff.arrived += now_ms >= backoff.from_ms
            if backoff.arrived > MAX_REQUESTS_IN_BACKOFF:
                self.faults.append(NoticeIgnored(now_ms, server, sender, "no requests"))

    def begin_fault(self, name: str) -> None:
        """Excuse a sender or a server while it has a fault."""
        self.excused.add(name)

    def end_fault(self, name: str) -> None:
        """Check a sender or a server again, from what servers state after the fault."""
        self.excused.discard(name)
        for pair in [pair for pair in self._stated if name in pair]:
            del self._stated[pair]
