"""Send a request to one server and read its answer."""

from __future__ import annotations

from dataclasses import dataclass

from result import Err, Ok, Result

from nutmeglead.forwarding.errors import (
    AnswerSpoiled,
    AttemptError,
    ConnectionBroken,
    NoConnection,
    ServerRefused,
)
from nutmeglead.forwarding.request import CallerRequest, without_hop_headers
from nutmeglead.forwarding.upstream import Upstream
from nutmeglead.http.client import ClientConnection
from nutmeglead.http.errors import HttpError, MalformedMessage
from nutmeglead.http.messages import Headers, RequestHead, ResponseHead, header_value
from nutmeglead.platform.wire import ANSWER_ID_HEADER, NOT_RUN_HEADER, SIGNATURE_HEADER

__all__ = ["Answer", "Attempt"]

# An answer up to this size is read whole before the caller gets its first byte, so that a cut or
# spoiled answer can still become a repeat or a typed failure.
WHOLE_ANSWER_BYTES = 600_000
# Without a Keep-Alive header a server closes idle connections after an unknown time.
DEFAULT_IDLE_MS = 4_000
# Extra answers to earlier requests that may lie in front of the right one.
MAX_EXTRA_ANSWERS = 2
# Promises of "not run" that only the server's own statement can back.
_PROMISING_STATUSES = frozenset((408, 421, 429, 503))


@dataclass(frozen=True)
class Answer:
    """Hold a server's answer; a body that is not whole goes on in `rest`."""

    status: int
    headers: Headers
    body: bytes
    rest: Attempt | None = None


class Attempt:
    """Run one exchange with one server; closing it early cancels the request there."""

    def __init__(self, upstream: Upstream, request: CallerRequest, max_connections: int) -> None:
        self.upstream = upstream
        self.was_sent = False
        self._request = request
        self._max_connections = max_connections
        self._connection: ClientConnection | None = None
        self._idle_ms = DEFAULT_IDLE_MS

    async def run(self) -> Result[Answer, AttemptError]:
        """Return the answer, or why there is none."""
        taken = await self.upstream.take_connection(self._request.may_repeat, self._left_ms())
        if isinstance(taken, Err):
            return taken
        self._connection, _ = taken.ok_value
        try:
            return await self._exchange(self._connection)
        except MalformedMessage as error:
            return Err(AnswerSpoiled(str(error)))
        except HttpError as error:
            return Err(ConnectionBroken(str(error)))

    async def _exchange(self, connection: ClientConnection) -> Result[Answer, AttemptError]:
        left_ms = self._left_ms()
        if left_ms <= 0:
            return Err(NoConnection("no time is left"))
        request = self._request
        headers = request.server_headers(self.upstream.record.server_id, left_ms)
        head = RequestHead(request.head.method, request.head.target, headers)
        self.was_sent = True
        await connection.send_request(head, request.body)
        answer = await self._read_own_head(connection)
        if isinstance(answer, Err):
            return answer
        self._note_idle_time(answer.ok_value.headers)
        return await self._read_answer(connection, answer.ok_value)

    async def _read_own_head(
        self, connection: ClientConnection
    ) -> Result[ResponseHead, AttemptError]:
        """Return the head of the answer that bears the request's id."""
        for _ in range(MAX_EXTRA_ANSWERS + 1):
            head = await connection.read_head()
            answer_id = header_value(head.headers, ANSWER_ID_HEADER)
            if answer_id is None or answer_id == self._request.request_id:
                return Ok(head)
            await connection.expect_another()
        return Err(AnswerSpoiled("the answers on the connection belong to other requests"))

    async def _read_answer(
        self, connection: ClientConnection, head: ResponseHead
    ) -> Result[Answer, AttemptError]:
        parts: list[bytes] = []
        size_bytes = 0
        while size_bytes <= WHOLE_ANSWER_BYTES:
            part = await connection.read_body()
            if not part:
                return self._judged(head, b"".join(parts), None)
            parts.append(part)
            size_bytes += len(part)
        return self._judged(head, b"".join(parts), self)

    def _judged(
        self, head: ResponseHead, body: bytes, rest: Attempt | None
    ) -> Result[Answer, AttemptError]:
        if header_value(head.headers, NOT_RUN_HEADER) is not None or head.status == 421:
            return Err(ServerRefused(f"status {head.status}"))
        if head.status in _PROMISING_STATUSES:
            return Err(ConnectionBroken(f"status {head.status} without a statement"))
        if 200 <= head.status < 300:
            if header_value(head.headers, SIGNATURE_HEADER) is None:
                return Err(AnswerSpoiled("a success without a signature"))
            if header_value(head.headers, ANSWER_ID_HEADER) is None:
                return Err(AnswerSpoiled("a success without the request's id"))
        # Callers ask for bodies without an encoding; an encoded body is not the server's.
        if header_value(head.headers, b"content-encoding") is not None:
            return Err(AnswerSpoiled("the body is encoded"))
        headers = [
            (name, value)
            for name, value in without_hop_headers(head.headers)
            if name != b"content-length"
        ]
        return Ok(Answer(head.status, headers, body, rest))

    async def read_rest(self) -> Result[bytes, AttemptError]:
        """Return the next part of a long body, or b"" at its end."""
        assert self._connection is not None
        try:
            return Ok(await self._connection.read_body())
        except HttpError as error:
            return Err(ConnectionBroken(str(error)))

    def close(self) -> None:
        """Give the connection back if its exchange is complete; end it otherwise."""
        connection, self._connection = self._connection, None
        if connection is not None:
            self.upstream.return_connection(connection, self._idle_ms, self._max_connections)

    def _left_ms(self) -> int:
        return self._request.deadline_ms - self.upstream.clock.now_ms()

    def _note_idle_time(self, headers: Headers) -> None:
        keep_alive = header_value(headers, b"keep-alive") or b""
        for parameter in keep_alive.split(b","):
            name, _, value = parameter.strip().partition(b"=")
            if name == b"timeout" and value.isdigit():
                # The request must arrive before the server closes.
                self._idle_ms = int(value) * 1000 - 500
