"""Follow what the servers of one service state about themselves in their answers."""

import asyncio
import logging
import random
from collections.abc import Callable

from result import Err, Result

from nutmeglead.core.clock import Clock
from nutmeglead.core.errors import CodecError
from nutmeglead.core.events import Event, log_event
from nutmeglead.core.ids import ServiceName
from nutmeglead.core.rate import RateBudget
from nutmeglead.forwarding.model import ServerNotice
from nutmeglead.forwarding.registry import ServerRegistry
from nutmeglead.forwarding.upstream import Upstream

__all__ = ["NoticeFollower"]

logger = logging.getLogger(__name__)

# A server that sends invalid notices sends them in all its answers.
INVALID_NOTICE_LINES_PER_S = 1.0


class NoticeFollower:
    """Record announcements of leaving, and begin backoffs.

    The nodes that a server told to come back at the same time do so spread over the part
    `backoff_spread` of that time. `on_backoff_end` is called then.
    """

    def __init__(
        self,
        service: ServiceName,
        registry: ServerRegistry,
        clock: Clock,
        rng: random.Random,
        backoff_spread: float,
        on_backoff_end: Callable[[], None],
    ) -> None:
        # Answers in which servers asked for no requests for a time.
        self.backoff_count = 0
        self._service = service
        self._registry = registry
        self._clock = clock
        self._rng = rng
        self._backoff_spread = backoff_spread
        self._on_backoff_end = on_backoff_end
        self._invalid_notice_lines = RateBudget(INVALID_NOTICE_LINES_PER_S)

    def apply(
        self,
        upstream: Upstream,
        notice: Result[ServerNotice, CodecError],
        answered_requests: int = 0,
    ) -> None:
        """Follow what an answer states about its server, for this node's later requests.

        `answered_requests` is 1 for the answer to a request, which still counts as in flight here
        but no longer in the server's load.
        """
        if isinstance(notice, Err):
            self._log_invalid_notice(upstream, str(notice.err_value))
            return
        stated = notice.ok_value
        if stated.load is not None:
            own_in_flight = upstream.in_flight - answered_requests
            upstream.load.record_stated(stated.load, own_in_flight, self._clock.now_ms())
        for fault in stated.faults:
            self._log_invalid_notice(upstream, str(fault))
        if stated.is_leaving:
            self._announce_leaving(upstream)
        if stated.backoff_ms is not None:
            self._begin_backoff(upstream, stated.backoff_ms)
        if stated.warmup_left_ms is not None:
            self._follow_warmup(upstream, stated.warmup_left_ms)

    def _follow_warmup(self, upstream: Upstream, left_ms: int) -> None:
        incarnation, warmups = upstream.record.incarnation, self._registry.warmups
        warmups.apply_answer(incarnation, left_ms, self._clock.now_ms())
        upstream.cold_until_ms = warmups.until_ms(incarnation)

    def _announce_leaving(self, upstream: Upstream) -> None:
        incarnation = upstream.record.incarnation
        if self._registry.announce_leaving(incarnation, self._clock.now_ms()):
            log_event(
                logger,
                Event.LEAVING_ANNOUNCED,
                service=self._service,
                server=incarnation.server_id,
            )

    def _begin_backoff(self, upstream: Upstream, backoff_ms: int) -> None:
        now_ms = self._clock.now_ms()
        if not upstream.is_paused(now_ms):
            log_event(
                logger,
                Event.BACKOFF_REQUESTED,
                service=self._service,
                server=upstream.record.server_id,
                backoff_ms=backoff_ms,
            )
        self.backoff_count += 1
        spread_ms = backoff_ms * self._backoff_spread * self._rng.random()
        until_ms = now_ms + backoff_ms + round(spread_ms)
        upstream.begin_backoff(self._registry.back_off(upstream.record.incarnation, until_ms))
        left_s = upstream.backoff_left_ms(now_ms) / 1000
        asyncio.get_running_loop().call_later(left_s, self._on_backoff_end)

    def _log_invalid_notice(self, upstream: Upstream, error: str) -> None:
        if self._invalid_notice_lines.try_consume(self._clock.now_ms()):
            log_event(
                logger,
                Event.NOTICE_REFUSED,
                service=self._service,
                server=upstream.record.server_id,
                error=error,
            )
