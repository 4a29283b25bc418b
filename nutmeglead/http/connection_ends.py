"""Count and log the connections of callers that end with requests unanswered."""

import logging
from collections import Counter
from enum import Enum

from nutmeglead.core.clock import Clock
from nutmeglead.core.events import Event, log_event, log_failure
from nutmeglead.core.rate import RateBudget
from nutmeglead.http.discarded import DiscardedBytes
from nutmeglead.http.messages import RequestHead, header_value

__all__ = ["ConnectionEnd", "ConnectionEnds", "EndCause"]

logger = logging.getLogger(__name__)

# Above this rate, ends are only counted, and the next line tells how many.
LINES_PER_S = 10.0
# A line names at most this many requests.
MAX_LOGGED_REQUESTS = 16
# Many connections end at the same moment of a stop, which is the last one of the process.
MAX_STOP_LINES = 2_000


class EndCause(Enum):
    """Why a connection of a caller has ended; the value is the one in logs and metrics."""

    CALLER_LEFT = "caller-left"
    IDLE_TIMEOUT = "idle-timeout"
    CONNECTION_LIMIT = "connection-limit"
    ANSWER_CUT = "answer-cut"
    HANDLER_FAILED = "handler-failed"
    SLOW_READER = "slow-reader"
    STOP = "stop"
    LAST_ANSWER = "last-answer"


class ConnectionEnd:
    """Remember the first cause of one connection's end, and which requests it left unanswered.

    `begun_ms` is when the end was decided on, and `quiet_ms` for how long no request had been read
    by then. `request_count` counts the requests that were handled.
    """

    def __init__(self) -> None:
        self.cause = EndCause.CALLER_LEFT
        self.unanswered: list[RequestHead] = []
        self.begun_ms: int | None = None
        self.quiet_ms = 0
        self.request_count = 0
        self.discarded = DiscardedBytes()

    def begin(
        self, cause: EndCause, unanswered: list[RequestHead], now_ms: int, quiet_since_ms: int
    ) -> None:
        """Record a cause and the requests without a whole answer, unless there is a cause."""
        if self.begun_ms is None:
            self.cause, self.unanswered, self.begun_ms = cause, unanswered, now_ms
            self.quiet_ms = now_ms - quiet_since_ms


class ConnectionEnds:
    """Own the counts of ended connections that left requests unanswered, by cause.

    `connections` counts the connections, and `requests` the requests that had been read whole.
    """

    def __init__(self, clock: Clock) -> None:
        self.connections: Counter[EndCause] = Counter()
        self.requests: Counter[EndCause] = Counter()
        self._clock = clock
        self._id_header: bytes | None = None
        self._budget = RateBudget(LINES_PER_S)
        self._unlogged_count = 0
        self._stop_begun_ms: int | None = None
        self._stop_line_count = 0

    def identify_by(self, id_header: bytes) -> None:
        """Name requests by the value of a header; without it, by their target."""
        self._id_header = id_header

    def begin_stop(self) -> None:
        """Log each connection that this process ends from now on."""
        self._stop_begun_ms = self._clock.now_ms()

    def record(
        self, end: ConnectionEnd, peer_address: str, unread_bytes: int, late_ms: int
    ) -> None:
        """Count an end, and log it unless the caller has left or the rate limit is reached.

        `unread_bytes` had arrived and were not read, and `late_ms` is how late a timeout was
        handled.
        """
        self._log_in_stop(end, peer_address)
        cause, unanswered = end.cause, end.unanswered
        if not unanswered and not unread_bytes:
            return
        self.connections[cause] += 1
        self.requests[cause] += len(unanswered)
        # The request log has a line for each request whose caller has left.
        if cause is EndCause.CALLER_LEFT:
            return
        if not self._budget.try_consume(self._clock.now_ms()):
            self._unlogged_count += 1
            return
        log_event(
            logger,
            Event.ANSWERS_MISSING,
            caller=peer_address.rpartition(":")[0],
            cause=cause.value,
            requests=[self._request_id(head) for head in unanswered[:MAX_LOGGED_REQUESTS]],
            count=len(unanswered),
            unread_bytes=unread_bytes,
            late_ms=late_ms,
            unlogged=self._unlogged_count,
        )
        self._unlogged_count = 0

    def _log_in_stop(self, end: ConnectionEnd, peer_address: str) -> None:
        """Log when a stop ended a connection, and what of its caller was not handled."""
        if self._stop_begun_ms is None or end.begun_ms is None:
            return
        if end.begun_ms < self._stop_begun_ms:
            return
        if end.cause is EndCause.CALLER_LEFT or self._stop_line_count >= MAX_STOP_LINES:
            return
        self._stop_line_count += 1
        discarded = end.discarded
        log_event(
            logger,
            Event.CONNECTION_CLOSED,
            caller=peer_address,
            cause=end.cause.value,
            after_ms=end.begun_ms - self._stop_begun_ms,
            quiet_ms=end.quiet_ms,
            lingered_ms=self._clock.now_ms() - end.begun_ms,
            handled=end.request_count,
            discarded_bytes=discarded.size_bytes,
            discarded=[
                self._request_id(head) for head in discarded.whole_requests(MAX_LOGGED_REQUESTS)
            ],
        )

    def record_failed_handler(self, head: RequestHead, peer_ip: str, error: Exception) -> None:
        """Log an unexpected error in the handling of a request."""
        request = self._request_id(head)
        log_failure(logger, Event.HANDLER_FAILED, error, caller=peer_ip, request=request)

    def _request_id(self, head: RequestHead) -> str:
        value = header_value(head.headers, self._id_header) if self._id_header else None
        return (head.target if value is None else value).decode("latin-1")
