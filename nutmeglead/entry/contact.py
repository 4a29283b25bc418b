"""Tell since when the store has answered this node."""

import logging

from nutmeglead.core.clock import Clock
from nutmeglead.core.events import Event, log_event

__all__ = ["StoreContact"]

logger = logging.getLogger(__name__)


class StoreContact:
    """Tell since when the store has answered this node."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._answered_ms = clock.now_ms()
        self._lost_ms: int | None = None
        self._regained_ms: int | None = None

    def on_answer(self) -> None:
        """Note an answer."""
        now_ms = self._clock.now_ms()
        self._answered_ms = now_ms
        if self._lost_ms is not None:
            log_event(logger, Event.STORE_REGAINED, away_ms=now_ms - self._lost_ms)
            self._regained_ms, self._lost_ms = now_ms, None

    def on_failure(self, table: str, reason: str) -> None:
        """Note a failed call."""
        if self._lost_ms is None:
            self._lost_ms = self._clock.now_ms()
            log_event(logger, Event.STORE_LOST, table=table, reason=reason)

    @property
    def age_ms(self) -> int:
        """Return the time since the last answer, 0 while no call has failed since."""
        return 0 if self._lost_ms is None else self._clock.now_ms() - self._answered_ms

    def was_away_within(self, duration_ms: int) -> bool:
        """Tell whether the store was away at any time within a duration."""
        if self._lost_ms is not None:
            return True
        regained_ms = self._regained_ms
        return regained_ms is not None and self._clock.now_ms() - regained_ms <= duration_ms
