"""Carry one request from its head to its answer: wait, attempt, repeat, deliver."""

from __future__ import annotations

from collections.abc import Awaitable, Iterator
from dataclasses import dataclass

from result import Err, Ok, Result

from nutmeglead._generated.settings.ttypes import ServiceSettings
from nutmeglead.core.ids import ServiceName
from nutmeglead.http.messages import ResponseHead
from nutmeglead.routing.answers import render_error
from nutmeglead.routing.attempt import Attempt, AttemptTarget, RouterParts
from nutmeglead.routing.body import CallerExchange, RequestBody
from nutmeglead.routing.delivery import Delivery, DeliveryState
from nutmeglead.routing.errors import (
    AssignmentChanged,
    CallerGone,
    DeadlinePassed,
    RequestError,
    ServerRefused,
)
from nutmeglead.routing.handover import HandoverWaiter, Wake
from nutmeglead.routing.hedging import open_hedged
from nutmeglead.routing.inbound import InboundRequest
from nutmeglead.routing.retries import RetryPolicy, RetryRequest
from nutmeglead.routing.servers import ServiceServers
from nutmeglead.routing.sources import AddressBook, RequestRecord
from nutmeglead.routing.timers import sleep_until, time_limit

__all__ = ["RequestJob", "ServiceRoute"]


@dataclass(frozen=True)
class ServiceRoute:
    """Group what the requests of one service share."""

    settings: ServiceSettings
    servers: ServiceServers
    waiter: HandoverWaiter
    retries: RetryPolicy
    addresses: AddressBook

    @property
    def name(self) -> ServiceName:
        """Return the service's name."""
        return ServiceName(self.settings.name)


class RequestJob:
    """Run one request; cancelling it cancels the request at the server."""

    def __init__(
        self,
        parts: RouterParts,
        route: ServiceRoute,
        request: InboundRequest,
        caller: CallerExchange,
        attempt_ids: Iterator[int],
    ) -> None:
        self._parts = parts
        self._route = route
        self._request = request
        self._attempt_ids = attempt_ids
        self._body = RequestBody(caller, request)
        self._delivery = Delivery(caller, request, parts.timers)
        self._caller = caller
        self._attempt_count = 0
        self._held_since_ms: int | None = None
        self._target: AttemptTarget | None = None
        self._failure: RequestError | None = None

    async def run(self) -> None:
        """Answer the caller."""
        self._route.retries.count_request()
        try:
            await self._read_small_body()
            self._failure = await self._attempt_until_answered()
        except RequestError as error:
            self._failure = error
        finally:
            self._route.waiter.end_trial(self._request.request_id)
        if self._failure is not None:
            await self.fail(self._failure)

    async def fail(self, error: RequestError) -> None:
        """Tell the caller of a failure, unless it is gone or has part of an answer."""
        self._failure = error
        if isinstance(error, CallerGone) or self._delivery.state is not DeliveryState.NOTHING:
            self._caller.abort()
            return
        try:
            await self._delivery.respond(*render_error(error))
        except CallerGone:
            self._caller.abort()

    async def _read_small_body(self) -> None:
        if self._body.is_whole:
            return
        try:
            async with time_limit(self._parts.timers, self._request.deadline_ms):
                await self._body.buffer_small()
        except TimeoutError:
            raise DeadlinePassed("before the caller had sent the body") from None

    async def _attempt_until_answered(self) -> RequestError | None:
        while True:
            target = await self._wait_for_target()
            if isinstance(target, Err):
                return target.err_value
            self._target = target.ok_value
            error = await self._attempt(target.ok_value)
            if error is None or not await self._may_repeat(error, target.ok_value):
                return error

    async def _wait_for_target(self) -> Result[AttemptTarget, RequestError]:
        while True:
            wake = Wake.READY
            if not self._route.waiter.is_ready(self._request.key):
                woken = await self._hold()
                if isinstance(woken, Err):
                    return woken
                wake = woken.ok_value
            # The map may have changed between the wake-up and this step.
            if wake is Wake.TRIAL or self._route.waiter.is_ready(self._request.key):
                target = self._locate()
                if target is not None:
                    return Ok(target)
            self._route.waiter.end_trial(self._request.request_id)

    async def _hold(self) -> Result[Wake, RequestError]:
        if self._held_since_ms is None:
            self._held_since_ms = self._parts.timers.clock.now_ms()
        return await self._route.waiter.wait(
            self._request.request_id,
            self._request.key,
            self._request.deadline_ms,
            self._body.size_bytes,
            self._held_since_ms,
        )

    def _locate(self) -> AttemptTarget | None:
        assignment = self._route.waiter.locate(self._request.key)
        if assignment is None or assignment.owner is None:
            return None
        address = self._route.addresses.address(self._route.name, assignment.owner)
        return AttemptTarget(assignment, assignment.owner, address) if address else None

    def _is_current(self) -> bool:
        """Tell whether the target still owns the key at the same epoch."""
        assignment = self._route.waiter.locate(self._request.key)
        target = self._target
        return (
            assignment is not None
            and target is not None
            and assignment.owner == target.server_id
            and assignment.epoch == target.assignment.epoch
        )

    async def _attempt(self, target: AttemptTarget) -> RequestError | None:
        attempt = self._new_attempt(target)
        is_left = True
        try:
            attempt, opened = await self._open(attempt, target)
            error = opened.err_value if isinstance(opened, Err) else None
            if isinstance(opened, Ok):
                self._route.waiter.note_served(target.assignment)
                error = await self._delivery.answer(attempt, opened.ok_value)
            is_left = False
        finally:
            attempt.close(is_left)
            self._route.waiter.end_trial(self._request.request_id)
        if not isinstance(error, AssignmentChanged):
            self._attempt_count += 1
        return error

    def _new_attempt(self, target: AttemptTarget) -> Attempt:
        return Attempt(
            self._parts,
            self._route.servers,
            self._request,
            self._body,
            target,
            next(self._attempt_ids),
        )

    async def _open(
        self, attempt: Attempt, target: AttemptTarget
    ) -> tuple[Attempt, Result[ResponseHead, RequestError]]:
        """Send the request, and send it again if it may be hedged and its answer is slow."""
        retries = self._route.retries
        delay_ms = retries.hedge_delay_ms(self._request.idempotent)
        if delay_ms is None or not self._body.is_whole:
            return attempt, await attempt.open(self._is_current)

        def make_second() -> Attempt | None:
            return self._new_attempt(target) if retries.take_hedge() else None

        def open_attempt(entrant: Attempt) -> Awaitable[Result[ResponseHead, RequestError]]:
            return entrant.open(self._is_current)

        timers = self._parts.timers
        hedge_at_ms = timers.clock.now_ms() + delay_ms
        return await open_hedged(attempt, make_second, open_attempt, timers, hedge_at_ms)

    async def _may_repeat(self, error: RequestError, target: AttemptTarget) -> bool:
        """Tell whether to send the request again, after the back-off."""
        if self._delivery.state is not DeliveryState.NOTHING:
            return False
        if isinstance(error, AssignmentChanged):
            return True
        if isinstance(error, ServerRefused) and error.is_epoch_refusal:
            # This costs no retry token: the next attempt waits for a newer assignment or for its
            # turn as a trial, so a move cannot multiply the load.
            self._route.waiter.note_refused(target.assignment)
            return self._body.can_replay
        retry = RetryRequest(
            error,
            self._attempt_count,
            self._request.idempotent,
            self._body.can_replay,
            self._request.deadline_ms,
        )
        when_ms = self._route.retries.retry_at(retry, self._parts.timers.clock.now_ms())
        if when_ms is None:
            return False
        await sleep_until(self._parts.timers, when_ms)
        return True

    def record(self) -> RequestRecord:
        """Describe the finished request."""
        left = isinstance(self._failure, CallerGone)
        return RequestRecord(
            service_name=self._route.name,
            key=self._request.key,
            unit=self._target.assignment.unit if self._target else None,
            server_id=self._target.server_id if self._target else None,
            status=None if left else self._delivery.status,
            failure=self._failure.kind if self._failure else None,
            attempts=self._attempt_count,
            duration_ms=self._parts.timers.clock.now_ms() - self._request.arrived_ms,
        )
