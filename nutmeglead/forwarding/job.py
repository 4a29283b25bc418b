"""Handle one caller's request: attempts at servers, retries and the answer."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

from result import Err

from nutmeglead.core.outcome import Outcome
from nutmeglead.forwarding.addresses import AddressHolder
from nutmeglead.forwarding.answers import final_status, refuse
from nutmeglead.forwarding.attempt import Answer, Attempt
from nutmeglead.forwarding.budget import RetryBudget
from nutmeglead.forwarding.dispatch import ServiceDispatch
from nutmeglead.forwarding.errors import (
    AttemptError,
    CallerLeft,
    DeadlinePassed,
    ExchangeCutOff,
    ForwardingError,
    NodeStopping,
    Overloaded,
    ServerRefused,
)
from nutmeglead.forwarding.model import ServerIncarnation
from nutmeglead.forwarding.request import CallerRequest
from nutmeglead.forwarding.request_log import RequestSummary
from nutmeglead.forwarding.upstream import Upstream
from nutmeglead.http.arrival_timeout import ArrivalTimeout
from nutmeglead.http.client import ClientConnection
from nutmeglead.http.exchange import CallerExchange
from nutmeglead.http.messages import Body

if TYPE_CHECKING:
    from nutmeglead.forwarding.forwarder import Forwarder

__all__ = ["RequestHandler"]

logger = logging.getLogger(__name__)

# Pause before the key's owner is tried again: after a refusal, the range map or the server's grant
# takes this long to be renewed.
KEY_RETRY_PAUSE_MS = 40
# Weights in the server's failure score. An error status weighs less than a failed attempt, because
# the request itself may be at fault.
FAILED_ATTEMPT_WEIGHT = 1.0
ERROR_STATUS_WEIGHT = 0.4
REFUSAL_WEIGHT = 0.3
# Attempts in which nothing was sent take nothing from the retry budget, but they take time.
MAX_UNSENT_ATTEMPTS = 4
DEFAULT_RETRY_AFTER_MS = 150


class RequestHandler:
    """Run the attempts of one request and answer its caller.

    `close` must be called after `run`; if `run` was cancelled, it cancels the request at the
    server.
    """

    def __init__(
        self,
        forwarder: Forwarder,
        request: CallerRequest,
        service: ServiceDispatch,
        budget: RetryBudget,
    ) -> None:
        self.outcome = "answered"
        self.status = 0
        self.failure: ForwardingError | None = None
        self.attempt_results: list[str] = []
        self._forwarder = forwarder
        self._clock = forwarder.clock
        self._request = request
        self._service = service
        self._budget = budget
        self._tried_servers: set[ServerIncarnation] = set()
        self._used_connections: list[ClientConnection] = []
        self._sent_count = 0
        self._waited_ms = 0
        self._unsent_count = 0
        self._may_have_run = False
        self._fallback_answer: Answer | None = None
        self._limit: ArrivalTimeout | None = None
        self._attempt: Attempt | None = None
        self._upstream: Upstream | None = None
        # The server that may have lost its address, and the check of that.
        self._doubt: tuple[Upstream, asyncio.Task[AddressHolder]] | None = None

    def summary(self) -> RequestSummary:
        """Return the outcome, status, attempts and times of the request for the request log."""
        ranges = self._service.ranges
        return RequestSummary(
            self.outcome,
            self.status,
            self.attempt_results,
            None if self.failure is None else str(self.failure),
            self._clock.now_ms() - self._request.received_ms,
            ranges.version if ranges is not None else 0,
            self._waited_ms,
        )

    def record_cancelled(self, exchange: CallerExchange) -> None:
        """Set the outcome to `cut-off` or `caller-left`, by which side has ended the connection.

        An answer that was begun keeps its outcome if the caller has left; one that waited for those
        before it on the connection was not.
        """
        self._add_running_attempt()
        if exchange.is_cut_off:
            self.outcome = "cut-off"
            self.failure = ExchangeCutOff("this process has cut off the connection")
        elif not exchange.response_started:
            self.outcome, self.status = "caller-left", 0
            self.failure = CallerLeft("the caller closed its connection")

    def _add_running_attempt(self) -> None:
        """Add the attempt that has no result yet, if there is one, to those of the log line."""
        if self._attempt is not None:
            progress = "in progress" if self._attempt.was_sent else "not sent"
            self.attempt_results.append(_attempt_label(self._attempt, progress))

    async def run(self, exchange: CallerExchange) -> None:
        """Send the caller a server's answer, or a refusal if there is none."""
        answer = await self._answer_before_deadline()
        if answer is not None:
            await self._send_answer(exchange, answer)
        else:
            await self._respond_with_failure(exchange)

    async def _answer_before_deadline(self) -> Answer | None:
        """Return the answer, or set `failure` and return None, at the deadline at the latest."""
        try:
            async with ArrivalTimeout(self._remaining_s(), self._received_bytes) as self._limit:
                return await self._attempt_until_answered()
        except TimeoutError:
            self._record_timeout()
            return None
        finally:
            self._limit = None

    def _received_bytes(self) -> int | None:
        return None if self._attempt is None else self._attempt.received_bytes

    def _remaining_s(self) -> float:
        end_ms = self._forwarder.stop_limit.end_ms(self._request.deadline_ms)
        return max(0, end_ms - self._clock.now_ms()) / 1000

    def begin_stop(self) -> None:
        """Answer the request before this node stops, with a failure if its server has not."""
        if self._limit is not None:
            self._limit.reschedule(asyncio.get_running_loop().time() + self._remaining_s())

    def _record_timeout(self) -> None:
        """Set `failure` for a request whose time is over, or whose node stops before that."""
        now_ms = self._clock.now_ms()
        self._add_running_attempt()
        self._may_have_run |= self._attempt is not None and self._attempt.was_sent
        outcome = Outcome.UNKNOWN if self._may_have_run else Outcome.NOT_RUN
        if now_ms < self._request.deadline_ms and self._remaining_s() == 0:
            self.failure = NodeStopping(outcome)
            return
        self.failure = DeadlinePassed(outcome)
        if self._upstream is not None and self._attempt is not None:
            self._upstream.record_failure(FAILED_ATTEMPT_WEIGHT, now_ms)

    async def _attempt_until_answered(self) -> Answer | None:
        """Make attempts and return the first answer that needs no retry.

        If no further attempt is possible, returns the last error answer of a server, or None with
        `failure` set if there was none.
        """
        while True:
            started_ms = self._clock.now_ms()
            try:
                upstream = await self._service.acquire(
                    self._request, frozenset(self._tried_servers)
                )
            except Overloaded as error:
                self.failure = error
                return self._fallback_answer
            finally:
                self._waited_ms += self._clock.now_ms() - started_ms
            answer = await self._attempt_at(upstream)
            if answer is not None and not self._should_retry_answer(answer):
                return answer
            if answer is None and not await self._may_retry_after_failure():
                return self._fallback_answer

    async def _attempt_at(self, upstream: Upstream) -> Answer | None:
        """Run one attempt and return its answer; if it fails, record the failure and return None.

        The server's connection limit is divided evenly by the live nodes; each may keep at least
        two connections.
        """
        max_connections = self._service.spec.max_connections // self._forwarder.node_count()
        self._upstream = upstream
        self._attempt = Attempt(
            upstream,
            self._request,
            self._service,
            max(2, max_connections),
            self._used_connections,
        )
        started_ms = self._clock.now_ms()
        result = await self._attempt.run()
        now_ms = self._clock.now_ms()
        self._sent_count += self._attempt.was_sent
        self._count_if_leaving(self._attempt)
        if isinstance(result, Err):
            self._record_failed_attempt(self._attempt, result.err_value, now_ms)
            self._close_attempt()
            return None
        answer = result.ok_value
        self.attempt_results.append(_attempt_label(self._attempt, str(answer.status)))
        if answer.status < 500:
            upstream.record_answer(now_ms - started_ms, now_ms)
        else:
            upstream.record_failure(ERROR_STATUS_WEIGHT, now_ms)
            self._may_have_run = True
            self._exclude_server(upstream)
        if answer.body_source is None:
            self._close_attempt()
        return answer

    def _count_if_leaving(self, attempt: Attempt) -> None:
        if attempt.leaving_age_ms is not None:
            self._service.leaving_requests.add(attempt.leaving_age_ms)

    def _record_failed_attempt(self, attempt: Attempt, error: AttemptError, now_ms: int) -> None:
        upstream = attempt.upstream
        self.attempt_results.append(_attempt_label(attempt, str(error)))
        self.failure = error
        if error.outcome is Outcome.UNKNOWN:
            self._may_have_run = True
        if isinstance(error, ServerRefused):
            upstream.record_failure(REFUSAL_WEIGHT, now_ms)
            if error.is_misdirected:
                self._check_address(upstream)
        else:
            upstream.record_failure(FAILED_ATTEMPT_WEIGHT, now_ms)
        self._exclude_server(upstream)

    def _check_address(self, upstream: Upstream) -> None:
        checks = self._forwarder.address_checks
        check = checks.check_if_doubtful(upstream)
        self._doubt = None if check is None else (upstream, check)

    def _exclude_server(self, upstream: Upstream) -> None:
        """Leave a server out of later attempts, unless it is the only one: the owner of the key."""
        if not self._service.spec.has_keys:
            self._tried_servers.add(upstream.record.incarnation)

    def _should_retry_answer(self, answer: Answer) -> bool:
        """Return whether to retry after a server's error answer; consume a retry if so.

        The answer is kept, and sent to the caller if no later attempt brings a better one.
        """
        if answer.status < 500 or not self._request.may_repeat or answer.body_source is not None:
            return False
        self._fallback_answer = answer
        return self._has_time_left() and self._may_resend()

    async def _may_retry_after_failure(self) -> bool:
        """Return whether to retry after a failed attempt; pause first if the service has keys.

        A request that may have run is sent again only if it may repeat. Retries after attempts
        that were sent are bounded by the retry budget, others by `MAX_UNSENT_ATTEMPTS`.
        """
        error = self.failure
        assert isinstance(error, AttemptError)
        if error.outcome is Outcome.UNKNOWN and not self._request.may_repeat:
            return False
        if not self._has_time_left():
            return False
        if not error.reached_server:
            self._unsent_count += 1
            if self._unsent_count >= MAX_UNSENT_ATTEMPTS:
                return False
        elif not self._may_resend():
            return False
        if self._service.spec.has_keys:
            await asyncio.sleep(KEY_RETRY_PAUSE_MS / 1000)
            await self._await_address_check()
        return True

    async def _await_address_check(self) -> None:
        """Wait until it is known whether the owner itself has refused the request.

        An owner that does not answer the check gets no request for a while.
        """
        doubt, self._doubt = self._doubt, None
        if doubt is None:
            return
        upstream, check = doubt
        # Other requests wait for the same check.
        if await asyncio.shield(check) is AddressHolder.UNKNOWN:
            upstream.mark_unreachable()

    def _has_time_left(self) -> bool:
        # What arrives at the deadline is still handled, but nothing is begun.
        return self._remaining_s() > 0

    def _may_resend(self) -> bool:
        """Consume one retry and return True if the route and the retry budget allow it."""
        route = self._request.route
        if not self._service.spec.has_keys and len(self._tried_servers) >= route.max_servers:
            return False
        if self._service.spec.has_keys and self._sent_count > route.max_servers:
            return False
        # Nodes that are cut off from each other all go on, so that silent ones count too.
        node_count = self._forwarder.listed_node_count()
        return self._budget.try_consume(node_count, self._clock.now_ms())

    async def _send_answer(self, exchange: CallerExchange, answer: Answer) -> None:
        """Send an answer to the caller; abort its connection if the server's body is cut short.

        A body that has not ended at the request's deadline is cut as well.
        """
        self.failure = None
        self.status = answer.status
        self.outcome = "answered" if answer.status < 400 else f"server-{answer.status}"
        if answer.body_source is None:
            await exchange.respond(answer.status, answer.headers, answer.body)
            return
        await exchange.start_response(answer.status, answer.headers)
        remaining_ms = max(0, self._request.deadline_ms - self._clock.now_ms())
        try:
            async with ArrivalTimeout(remaining_ms / 1000, self._received_bytes):
                self.failure = await self._send_body(exchange, answer, answer.body_source)
        except TimeoutError:
            self.failure = DeadlinePassed(Outcome.UNKNOWN)
        if self.failure is not None:
            if self._upstream is not None:
                self._upstream.record_failure(FAILED_ATTEMPT_WEIGHT, self._clock.now_ms())
            # The status is already sent, so only an aborted connection tells the caller that the
            # body is incomplete.
            self.outcome = "cut"
            exchange.abort()
            return
        self._close_attempt()
        await exchange.finish_response()

    async def _send_body(
        self, exchange: CallerExchange, answer: Answer, source: Attempt
    ) -> AttemptError | None:
        """Send the caller the rest of a body as it arrives; return why it was cut short, if so."""
        data: Body = answer.body
        while data:
            await exchange.send_body(data)
            part = await source.read_body_part()
            if isinstance(part, Err):
                return part.err_value
            data = part.ok_value
        return None

    async def _respond_with_failure(self, exchange: CallerExchange) -> None:
        """Send the caller an error answer; with Retry-After only if the request has not run."""
        outcome = Outcome.UNKNOWN if self._may_have_run else Outcome.NOT_RUN
        is_late = isinstance(self.failure, DeadlinePassed)
        self.status = final_status(outcome, is_late)
        self.outcome = f"failed-{self.status}"
        retry_after_ms = None
        if outcome is Outcome.NOT_RUN:
            retry_after_ms = DEFAULT_RETRY_AFTER_MS
            if isinstance(self.failure, Overloaded):
                retry_after_ms = self.failure.retry_after_ms
        self._close_attempt()
        await refuse(exchange, self.status, str(self.failure), retry_after_ms)

    def _close_attempt(self) -> None:
        """Give back the connection and the server of the current attempt, if there is one."""
        attempt, self._attempt = self._attempt, None
        if attempt is not None:
            attempt.close()
        upstream, self._upstream = self._upstream, None
        if upstream is not None:
            self._service.release(upstream)

    def close(self) -> None:
        """Close the current attempt, which cancels an unanswered request at its server."""
        self._close_attempt()


def _attempt_label(attempt: Attempt, result: str) -> str:
    """Return the server, the result and, if the server was leaving, for how long it had been."""
    label = f"{attempt.upstream.record.server_id}:{result}"
    if attempt.leaving_age_ms is None:
        return label
    return f"{label}, leaving for {attempt.leaving_age_ms} ms"
