"""Send a request to one server and read its answer."""

from __future__ import annotations

import io
import sys
from dataclasses import dataclass, replace
from typing import Protocol

from result import Err, Ok, Result

from nutmeglead.core.errors import CodecError
from nutmeglead.forwarding.errors import (
    AnswerSpoiled,
    AttemptError,
    ConnectionBroken,
    NoConnection,
    ServerRefused,
)
from nutmeglead.forwarding.model import NO_NOTICE, ServerNotice
from nutmeglead.forwarding.request import CallerRequest, without_hop_by_hop_headers
from nutmeglead.forwarding.upstream import Upstream
from nutmeglead.http.client import ClientConnection
from nutmeglead.http.errors import HttpError, MalformedMessage
from nutmeglead.http.messages import Body, Headers, RequestHead, ResponseHead, header_value
from nutmeglead.http.request_reader import HEADER_FIELD_BYTES
from nutmeglead.platform.notices import decode_notice
from nutmeglead.platform.wire import (
    ANSWER_ID_HEADER,
    MISDIRECTED_STATUS,
    NOT_RUN_HEADER,
    RETRY_AFTER_HEADER,
    SERVER_LEAVING_HEADER,
    SERVER_LOAD_HEADER,
    SIGNATURE_HEADER,
    WARMUP_LEFT_HEADER,
)

__all__ = ["Answer", "Attempt"]

# What a server states to this node is not passed on to callers: they have their own connection.
NOTICE_HEADERS = frozenset(
    (RETRY_AFTER_HEADER, SERVER_LEAVING_HEADER, SERVER_LOAD_HEADER, WARMUP_LEFT_HEADER)
)

# A body up to this size is read whole before the caller gets its first byte, so that the request
# can still be retried, or answered with an error status, if the answer is cut short or malformed.
MAX_BUFFERED_BODY_BYTES = 600_000
# Used without a Keep-Alive header, when the time after which the server closes idle connections is
# unknown.
DEFAULT_KEEP_ALIVE_MS = 4_000
# A longer number is no time that a server means, and from 4,301 digits on it cannot be converted.
MAX_KEEP_ALIVE_DIGITS = 6
# Late answers to earlier requests that may arrive on the connection before the right one.
MAX_STALE_ANSWERS = 2
# Statuses that suggest that the request has not run. Without the server's `x-not-executed` header
# they do not prove it.
_NOT_RUN_STATUSES = frozenset((408, MISDIRECTED_STATUS, 429, 503))


@dataclass(frozen=True)
class Answer:
    """Hold a server's answer.

    If `body_source` is set, `body` is only the beginning, and the rest is read from that attempt.
    """

    status: int
    headers: Headers
    body: bytes
    body_source: Attempt | None = None


class ServerPolicy(Protocol):
    """Interface that decides on the use of a service's servers."""

    def may_send_to(self, upstream: Upstream) -> bool:
        """Return whether a server may get a request now."""
        ...

    def apply_notice(
        self,
        upstream: Upstream,
        notice: Result[ServerNotice, CodecError],
        answered_requests: int = 0,
    ) -> None:
        """Follow what an answer to an order, or to that many requests, states about its server."""
        ...


class Attempt:
    """Send a request to one server and read the answer.

    `was_sent` tells whether sending was begun. Closing an attempt whose answer has not been read
    whole cancels the request at the server.
    """

    def __init__(
        self,
        upstream: Upstream,
        request: CallerRequest,
        server_policy: ServerPolicy,
        max_connections: int,
        used_connections: list[ClientConnection],
    ) -> None:
        """`used_connections` holds the connections on which earlier attempts have sent the request.

        This attempt adds its own.
        """
        self.upstream = upstream
        self._server_policy = server_policy
        self.was_sent = False
        # For how long the server had been leaving when the request was sent, or None.
        self.leaving_age_ms: int | None = None
        self._request = request
        self._max_connections = max_connections
        self._connection: ClientConnection | None = None
        self._used_connections = used_connections
        self._keep_alive_ms = DEFAULT_KEEP_ALIVE_MS

    @property
    def received_bytes(self) -> int | None:
        """Return how much the server has sent on the connection, or None before the request."""
        if self._connection is None or not self.was_sent:
            return None
        return self._connection.channel.bytes_received

    async def run(self) -> Result[Answer, AttemptError]:
        """Return the server's answer, or the error that kept it from being usable."""
        acquired = await self.upstream.acquire_connection(
            self._request.may_repeat, self._remaining_ms(), self._used_connections
        )
        if isinstance(acquired, Err):
            return acquired
        self._connection, idle_ms = acquired.ok_value
        self._connection.take_turn = self._request.account.take_turn
        self._connection.unread_count.begin(self._request.account.count_unread)
        received_before = self._connection.channel.bytes_received
        try:
            return await self._exchange(self._connection)
        except MalformedMessage as error:
            return Err(AnswerSpoiled(str(error)))
        except HttpError as error:
            if idle_ms is not None and self._connection.channel.bytes_received == received_before:
                self.upstream.reuse.record_stale(idle_ms, self.upstream.clock.now_ms())
            return Err(ConnectionBroken(str(error)))

    async def _exchange(self, connection: ClientConnection) -> Result[Answer, AttemptError]:
        remaining_ms = self._remaining_ms()
        if remaining_ms <= 0:
            return Err(NoConnection("no time is left"))
        # The server may have begun to leave while the connection was opened, or this node to stop.
        if not self._server_policy.may_send_to(self.upstream):
            return Err(NoConnection("the server is leaving, or this node is stopping"))
        request = self._request
        headers = request.server_headers(self.upstream.record.server_id, remaining_ms)
        head = RequestHead(request.head.method, request.head.target, headers)
        self.was_sent = True
        self._used_connections.append(connection)
        self.leaving_age_ms = self.upstream.leaving_age_ms(self.upstream.clock.now_ms())
        await connection.send_request(head, request.body)
        answer = await self._read_matching_head(connection)
        if isinstance(answer, Err):
            return answer
        self._update_keep_alive(answer.ok_value.headers)
        return await self._read_answer(connection, answer.ok_value)

    async def _read_matching_head(
        self, connection: ClientConnection
    ) -> Result[ResponseHead, AttemptError]:
        """Return the head of the answer with this request's id, discarding late answers."""
        for _ in range(MAX_STALE_ANSWERS + 1):
            head = await connection.read_head()
            notice = decode_notice(head.status, head.headers)
            answer_id = header_value(head.headers, ANSWER_ID_HEADER)
            is_late = answer_id != self._request.request_id
            if isinstance(notice, Err) or notice.ok_value is not NO_NOTICE:
                if is_late and isinstance(notice, Ok):
                    # The load was stated when the late answer was written, at an unknown time.
                    notice = Ok(replace(notice.ok_value, load=None))
                self._server_policy.apply_notice(self.upstream, notice, 0 if is_late else 1)
            if not is_late:
                return Ok(head)
            if answer_id is None:
                return Err(AnswerSpoiled(f"status {head.status} without the request's id"))
            await connection.expect_another()
        return Err(AnswerSpoiled("the answers on the connection belong to other requests"))

    async def _read_answer(
        self, connection: ClientConnection, head: ResponseHead
    ) -> Result[Answer, AttemptError]:
        """Read the body, all of it or the beginning of a large one, and return the valid answer.

        The parts are joined as they arrive, and the whole buffer counts as held.
        """
        # `getvalue` returns the buffer itself, where a bytearray would have to be copied.
        buffer = io.BytesIO()
        # Without room for the head, there is none for the body either.
        self._request.account.try_hold(_head_bytes(head))
        counted_bytes = 0
        has_room = True
        while self._reads_on(buffer.tell()) and has_room:
            part = await connection.read_body()
            if not part:
                return self._validate_answer(head, buffer.getvalue(), None)
            buffer.write(part)
            # The next part may be long in coming.
            del part
            held_bytes = sys.getsizeof(buffer)
            if held_bytes > counted_bytes:
                has_room = self._request.account.try_hold(held_bytes - counted_bytes)
                counted_bytes = held_bytes
        return self._validate_answer(head, buffer.getvalue(), self)

    def _reads_on(self, size_bytes: int) -> bool:
        """Return whether more of an answer is read before its caller gets a first byte.

        One that is cut while it is sent takes the answers behind it with it, and one that waits for
        its turn is cut by its server if it stays unread.
        """
        return size_bytes <= MAX_BUFFERED_BODY_BYTES or self._request.account.must_be_whole

    def _validate_answer(
        self, head: ResponseHead, body: bytes, body_source: Attempt | None
    ) -> Result[Answer, AttemptError]:
        """Return the answer for the caller, or an error if it is not a valid one of this server.

        Status 421 says that the server does not hold the key, or that it is not the one which the
        request names. In either case the request has not run.
        """
        is_misdirected = head.status == MISDIRECTED_STATUS
        if header_value(head.headers, NOT_RUN_HEADER) is not None or is_misdirected:
            return Err(ServerRefused(f"status {head.status}", is_misdirected))
        if head.status in _NOT_RUN_STATUSES:
            return Err(ConnectionBroken(f"status {head.status} without a statement"))
        is_signed = header_value(head.headers, SIGNATURE_HEADER) is not None
        if 200 <= head.status < 300 and not is_signed:
            return Err(AnswerSpoiled("a success without a signature"))
        # Callers ask for unencoded bodies, so an encoded one does not come from the server.
        if header_value(head.headers, b"content-encoding") is not None:
            return Err(AnswerSpoiled("the body is encoded"))
        keeps_length = body_source is not None or self._request.head.method == b"HEAD"
        headers = [
            header
            for header in without_hop_by_hop_headers(head.headers)
            if header[0] not in NOTICE_HEADERS
            # A buffered body gets its length when it is sent; a streamed one keeps the server's, by
            # which a caller of HTTP/1.0 notices a cut, and so does the answer to HEAD.
            and (header[0] != b"content-length" or keeps_length)
        ]
        return Ok(Answer(head.status, headers, body, body_source))

    async def read_body_part(self) -> Result[Body, AttemptError]:
        """Return the next part of a body that is not buffered whole, or b"" at its end."""
        assert self._connection is not None
        try:
            return Ok(await self._connection.read_body())
        except HttpError as error:
            return Err(ConnectionBroken(str(error)))

    def close(self) -> None:
        """Return the connection for reuse if its exchange is complete, and close it otherwise."""
        connection, self._connection = self._connection, None
        if connection is not None:
            self.upstream.return_connection(connection, self._keep_alive_ms, self._max_connections)

    def _remaining_ms(self) -> int:
        return self._request.deadline_ms - self.upstream.clock.now_ms()

    def _update_keep_alive(self, headers: Headers) -> None:
        """Set the time that the connection may stay idle from the server's Keep-Alive header."""
        keep_alive = header_value(headers, b"keep-alive") or b""
        for parameter in keep_alive.split(b","):
            name, _, value = parameter.strip().partition(b"=")
            if name == b"timeout" and value.isdigit() and len(value) <= MAX_KEEP_ALIVE_DIGITS:
                # Stop 500 ms early: the next request must arrive before the server closes.
                self._keep_alive_ms = int(value) * 1000 - 500


def _head_bytes(head: ResponseHead) -> int:
    """Return how many bytes are held for a head."""
    text_bytes = sum(len(name) + len(value) for name, value in head.headers)
    return text_bytes + HEADER_FIELD_BYTES * len(head.headers)
