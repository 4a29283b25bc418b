"""Track whether the store answers this node."""

import logging

from nutmeglead.core.clock import Clock
from nutmeglead.core.events import Event, log_event

__all__ = ["StoreContact"]

logger = logging.getLogger(__name__)


class StoreContact:
    """Hold when the store last answered this node, and since when its calls have failed."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._last_answer_ms = clock.now_ms()
        self._first_failure_ms: int | None = None
        self._recovered_ms: int | None = None

    def on_answer(self) -> None:
        """Record an answer of the store; log the recovery if calls had failed."""
        now_ms = self._clock.now_ms()
        self._last_answer_ms = now_ms
        if self._first_failure_ms is not None:
            log_event(logger, Event.STORE_REGAINED, away_ms=now_ms - self._first_failure_ms)
            self._recovered_ms, self._first_failure_ms = now_ms, None

    def on_failure(self, table: str, reason: str) -> None:
        """Record a failed call; log it if it is the first one since the last answer."""
        if self._first_failure_ms is None:
            self._first_failure_ms = self._clock.now_ms()
            log_event(logger, Event.STORE_LOST, table=table, reason=reason)

    @property
    def age_ms(self) -> int:
        """Return the time since the last answer, or 0 if no call has failed since then."""
        return 0 if self._first_failure_ms is None else self._clock.now_ms() - self._last_answer_ms

    def was_unavailable_within(self, duration_ms: int) -> bool:
        """Return whether calls to the store fail now, or did so within the last `duration_ms`."""
        if self._first_failure_ms is not None:
            return True
        recovered_ms = self._recovered_ms
        return recovered_ms is not None and self._clock.now_ms() - recovered_ms <= duration_ms
