"""Count and log the connections of callers that end with requests unanswered."""

import logging
from collections import Counter
from enum import Enum

from nutmeglead.core.clock import Clock
from nutmeglead.core.events import Event, log_event, log_failure
from nutmeglead.core.rate import RateBudget
from nutmeglead.http.messages import RequestHead, header_value

__all__ = ["ConnectionEnd", "ConnectionEnds", "EndCause"]

logger = logging.getLogger(__name__)

# Above this rate, ends are only counted, and the next line tells how many.
LINES_PER_S = 10.0
# A line names at most this many requests.
MAX_LOGGED_REQUESTS = 16


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
    """Remember the first cause of one connection's end, and which requests it left unanswered."""

    def __init__(self) -> None:
        self.cause = EndCause.CALLER_LEFT
        self.unanswered: list[RequestHead] = []
        self._has_begun = False

    def begin(self, cause: EndCause, unanswered: list[RequestHead]) -> None:
        """Record a cause and the requests without a whole answer, unless there is a cause."""
        if not self._has_begun:
            self._has_begun = True
            self.cause, self.unanswered = cause, unanswered


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

    def identify_by(self, id_header: bytes) -> None:
        """Name requests by the value of a header; without it, by their target."""
        self._id_header = id_header

    def record(self, end: ConnectionEnd, peer_ip: str, unread_bytes: int, late_ms: int) -> None:
        """Count an end, and log it unless the caller has left or the rate limit is reached.

        `unread_bytes` had arrived and were not read, and `late_ms` is how late a timeout was
        handled.
        """
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
            caller=peer_ip,
            cause=cause.value,
            requests=[self._request_id(head) for head in unanswered[:MAX_LOGGED_REQUESTS]],
            count=len(unanswered),
            unread_bytes=unread_bytes,
            late_ms=late_ms,
            unlogged=self._unlogged_count,
        )
        self._unlogged_count = 0

    def record_failed_handler(self, head: RequestHead, peer_ip: str, error: Exception) -> None:
        """Log an unexpected error in the handling of a request."""
        request = self._request_id(head)
        log_failure(logger, Event.HANDLER_FAILED, error, caller=peer_ip, request=request)

    def _request_id(self, head: RequestHead) -> str:
        value = header_value(head.headers, self._id_header) if self._id_header else None
        return (head.target if value is None else value).decode("latin-1")
