"""Carry one request through its attempts to one answer."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

from result import Err

from nutmeglead.core.outcome import Outcome
from nutmeglead.forwarding.answers import final_status, refuse
from nutmeglead.forwarding.attempt import Answer, Attempt
from nutmeglead.forwarding.budget import RetryBudget
from nutmeglead.forwarding.dispatch import ServiceDispatch
from nutmeglead.forwarding.errors import (
    AttemptError,
    CallerLeft,
    DeadlinePassed,
    ForwardingError,
    Overloaded,
    ServerRefused,
)
from nutmeglead.forwarding.model import ServerIncarnation
from nutmeglead.forwarding.request import CallerRequest
from nutmeglead.forwarding.request_log import RequestSummary
from nutmeglead.forwarding.upstream import Upstream
from nutmeglead.http.exchange import CallerExchange

if TYPE_CHECKING:
    from nutmeglead.forwarding.forwarder import Forwarder

__all__ = ["Job"]

logger = logging.getLogger(__name__)

# After a refusal for a key, the map or the grant needs this time to be renewed.
KEY_RETRY_PAUSE_MS = 40
# A failed server weighs this much; an error of its own may be the request's fault.
FAILURE_WEIGHT = 1.0
ERROR_WEIGHT = 0.4
REFUSAL_WEIGHT = 0.3
# Attempts in which nothing was sent cost no budget but time.
MAX_UNSENT = 4
DEFAULT_RETRY_AFTER_MS = 150


class Job:
    """Run one request; cancelling it cancels the request at the server."""

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
        self.history: list[str] = []
        self._forwarder = forwarder
        self._clock = forwarder.clock
        self._request = request
        self._service = service
        self._budget = budget
        self._tried: set[ServerIncarnation] = set()
        self._arrivals = 0
        self._waited_ms = 0
        self._unsent = 0
        self._may_have_run = False
        self._kept_answer: Answer | None = None
        self._attempt: Attempt | None = None
        self._upstream: Upstream | None = None

    def summary(self) -> RequestSummary:
        """Return how the request ended."""
        ranges = self._service.ranges
        return RequestSummary(
            self.outcome,
            self.status,
            self.history,
            None if self.failure is None else str(self.failure),
            self._clock.now_ms() - self._request.received_ms,
            ranges.version if ranges is not None else 0,
            self._waited_ms,
        )

    def note_caller_left(self) -> None:
        """Note that the caller closed its connection before it had an answer."""
        if self.status == 0:
            self.outcome = "caller-left"
            self.failure = CallerLeft("the caller closed its connection")

    async def run(self, exchange: CallerExchange) -> None:
        """Answer the caller."""
        answer = await self._answer_in_time()
        if answer is not None:
            await self._deliver(exchange, answer)
        else:
            await self._fail(exchange)

    async def _answer_in_time(self) -> Answer | None:
        left_ms = max(0, self._request.deadline_ms - self._clock.now_ms())
        try:
            async with asyncio.timeout(left_ms / 1000):
                return await self._attempt_until_answered()
        except TimeoutError:
            self._may_have_run |= self._attempt is not None and self._attempt.was_sent
            outcome = Outcome.UNKNOWN if self._may_have_run else Outcome.NOT_RUN
            self.failure = DeadlinePassed(outcome)
            if self._upstream is not None and self._attempt is not None:
                self._upstream.note_failure(FAILURE_WEIGHT, self._clock.now_ms())
            return None

    async def _attempt_until_answered(self) -> Answer | None:
        while True:
            started_ms = self._clock.now_ms()
            try:
                upstream = await self._service.acquire(self._request, frozenset(self._tried))
            except Overloaded as error:
                self.failure = error
                return self._kept_answer
            finally:
                self._waited_ms += self._clock.now_ms() - started_ms
            answer = await self._attempt_at(upstream)
            if answer is not None and not self._wants_another(answer):
                return answer
            if answer is None and not await self._may_go_on():
                return self._kept_answer

    async def _attempt_at(self, upstream: Upstream) -> Answer | None:
        """Run one attempt; on failure note it and return None."""
        max_connections = self._service.spec.max_connections // self._forwarder.node_count()
        self._upstream = upstream
        self._attempt = Attempt(upstream, self._request, max(2, max_connections))
        started_ms = self._clock.now_ms()
        result = await self._attempt.run()
        now_ms = self._clock.now_ms()
        self._arrivals += self._attempt.was_sent
        if isinstance(result, Err):
            self._note_failure(upstream, result.err_value, now_ms)
            self._end_attempt()
            return None
        answer = result.ok_value
        label = f"{upstream.record.server_id}:{answer.status}"
        self.history.append(label)
        if answer.status < 500:
            upstream.note_answer(now_ms - started_ms, now_ms)
        else:
            upstream.note_failure(ERROR_WEIGHT, now_ms)
            self._may_have_run = True
            self._exclude(upstream)
        if answer.rest is None:
            self._end_attempt()
        return answer

    def _note_failure(self, upstream: Upstream, error: AttemptError, now_ms: int) -> None:
        self.history.append(f"{upstream.record.server_id}:{error}")
        self.failure = error
        if error.outcome is Outcome.UNKNOWN:
            self._may_have_run = True
        if isinstance(error, ServerRefused):
            upstream.note_failure(REFUSAL_WEIGHT, now_ms)
        else:
            upstream.note_failure(FAILURE_WEIGHT, now_ms)
        self._exclude(upstream)

    def _exclude(self, upstream: Upstream) -> None:
        """Leave a server out of later attempts; a key has no other one."""
        if not self._service.spec.has_keys:
            self._tried.add(upstream.record.incarnation)

    def _wants_another(self, answer: Answer) -> bool:
        """Tell whether a server's error is worth another attempt; keep the answer for the end."""
        if answer.status < 500 or not self._request.may_repeat or answer.rest is not None:
            return False
        self._kept_answer = answer
        return self._may_send_again()

    async def _may_go_on(self) -> bool:
        error = self.failure
        assert isinstance(error, AttemptError)
        if error.outcome is Outcome.UNKNOWN and not self._request.may_repeat:
            return False
        if not error.has_arrived:
            self._unsent += 1
            if self._unsent >= MAX_UNSENT:
                return False
        elif not self._may_send_again():
            return False
        if self._service.spec.has_keys:
            await asyncio.sleep(KEY_RETRY_PAUSE_MS / 1000)
        return True

    def _may_send_again(self) -> bool:
        route = self._request.route
        if not self._service.spec.has_keys and len(self._tried) >= route.max_servers:
            return False
        if self._service.spec.has_keys and self._arrivals > route.max_servers:
            return False
        return self._budget.try_consume(self._forwarder.node_count(), self._clock.now_ms())

    async def _deliver(self, exchange: CallerExchange, answer: Answer) -> None:
        self.failure = None
        self.status = answer.status
        self.outcome = "answered" if answer.status < 400 else f"server-{answer.status}"
        if answer.rest is None:
            await exchange.respond(answer.status, answer.headers, answer.body)
            return
        await exchange.start_response(answer.status, answer.headers)
        data = answer.body
        while data:
            await exchange.send_body(data)
            part = await answer.rest.read_rest()
            if isinstance(part, Err):
                # The status is sent already; only a cut connection says that the body is not whole.
                self.failure = part.err_value
                self.outcome = "cut"
                exchange.abort()
                return
            data = part.ok_value
        self._end_attempt()
        await exchange.finish_response()

    async def _fail(self, exchange: CallerExchange) -> None:
        outcome = Outcome.UNKNOWN if self._may_have_run else Outcome.NOT_RUN
        is_late = isinstance(self.failure, DeadlinePassed)
        self.status = final_status(outcome, is_late)
        self.outcome = f"failed-{self.status}"
        retry_after_ms = None
        if outcome is Outcome.NOT_RUN:
            retry_after_ms = DEFAULT_RETRY_AFTER_MS
            if isinstance(self.failure, Overloaded):
                retry_after_ms = self.failure.retry_after_ms
        self._end_attempt()
        await refuse(exchange, self.status, str(self.failure), retry_after_ms)

    def _end_attempt(self) -> None:
        attempt, self._attempt = self._attempt, None
        if attempt is not None:
            attempt.close()
        upstream, self._upstream = self._upstream, None
        if upstream is not None:
            self._service.release(upstream)

    def close(self) -> None:
        """End what is still open, which cancels the request at its server."""
        self._end_attempt()
