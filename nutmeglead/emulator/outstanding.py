"""Requests on a caller's connection without a whole answer, and what the others were told."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field

import h11

from nutmeglead.core.outcome import OUTCOME_HEADER, Outcome
from nutmeglead.http.messages import RequestHead, header_value

__all__ = ["AnswerRecord", "OutstandingRequests", "SentRequest"]


@dataclass
class SentRequest:
    """Hold a request without an answer; its own parser encodes it and reads the answer.

    `is_whole` tells whether its last byte was written, and `written_wall_ms` when; `begun_wall_ms`
    tells when it was begun. Not all callers set the times.
    """

    request_id: str
    parser: h11.Connection
    is_whole: bool = False
    written_wall_ms: int = 0
    begun_wall_ms: int = 0
    body: bytearray = field(default_factory=bytearray)
    status: int = 0
    closes: bool = False
    is_not_run: bool = False


class AnswerRecord:
    """Hold the ids of the requests that were sent, and what their callers were told."""

    def __init__(self) -> None:
        self.sent: set[str] = set()
        # Those of them with an unsafe method.
        self.posted: set[str] = set()
        # Ids with a successful answer, and those whose failure says whether they may have run.
        self.answered: set[str] = set()
        self.not_run: set[str] = set()
        self.may_have_run: set[str] = set()
        self.wrong_answers = 0

    def add_answer(self, request: SentRequest) -> None:
        """Record the whole answer to a request."""
        if 200 <= request.status < 300:
            self.answered.add(request.request_id)
            self.wrong_answers += not request.body.startswith(request.request_id.encode() + b" ")
        elif request.is_not_run:
            self.not_run.add(request.request_id)
        else:
            self.may_have_run.add(request.request_id)


class OutstandingRequests:
    """Hold the requests of one connection that have no whole answer yet, the oldest one first."""

    def __init__(self, record: AnswerRecord) -> None:
        self._record = record
        self._requests: deque[SentRequest] = deque()

    def __len__(self) -> int:
        return len(self._requests)

    def __iter__(self) -> Iterator[SentRequest]:
        return iter(self._requests)

    def clear(self) -> None:
        """Drop all requests, to which nobody owes an answer any more."""
        self._requests.clear()

    def begin(self, request_id: str, head: RequestHead) -> tuple[SentRequest, bytes]:
        """Add a request, and return it with the bytes of its head."""
        request = SentRequest(request_id, h11.Connection(h11.CLIENT))
        event = h11.Request(method=head.method, target=head.target, headers=head.headers)
        data = request.parser.send(event) or b""
        self._record.sent.add(request_id)
        if head.method == b"POST":
            self._record.posted.add(request_id)
        self._requests.append(request)
        return request, data

    def receive(self, data: bytes) -> bool:
        """Read answers, drop their requests, and return whether one of them ends the connection."""
        while self._requests and data:
            oldest = self._requests[0]
            oldest.parser.receive_data(data)
            if not _read_answer(oldest):
                return False
            self._requests.popleft()
            self._record.add_answer(oldest)
            if oldest.closes:
                return True
            data = oldest.parser.trailing_data[0]
        return False


def _read_answer(request: SentRequest) -> bool:
    """Handle what has arrived of an answer, and return whether that is all of it."""
    while (event := request.parser.next_event()) is not h11.NEED_DATA:
        if isinstance(event, h11.Response):
            headers = list(event.headers)
            request.status = event.status_code
            request.closes = header_value(headers, b"connection") == b"close"
            outcome = header_value(headers, OUTCOME_HEADER)
            request.is_not_run = outcome == Outcome.NOT_RUN.value.encode()
        elif isinstance(event, h11.Data):
            request.body += event.data
        elif isinstance(event, h11.EndOfMessage):
            return True
        elif isinstance(event, h11.ConnectionClosed):
            return False
    return False
