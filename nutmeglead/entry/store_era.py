"""Own the era of the store on one node: log and count its rises, and notify other parts."""

import logging
from collections.abc import Callable

from nutmeglead.core.events import Event, log_event
from nutmeglead.platform.era import EraRecord

__all__ = ["StoreEra"]

logger = logging.getLogger(__name__)


class StoreEra(EraRecord):
    """Hold the era that the store's answers and the peers' heartbeats state.

    `rise_count` counts the returns of the store that this process has seen; the first era that it
    learns of is none.
    """

    def __init__(self) -> None:
        super().__init__()
        self.rise_count = 0
        self._is_known = False
        self._listeners: list[Callable[[], None]] = []

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Register a function that is called after each rise."""
        self._listeners.append(listener)

    def observe(self, era: int) -> bool:
        """Record the era of an answer; return False for a lower one than is known."""
        is_current = super().observe(era)
        self._is_known = True
        return is_current

    def observe_peer(self, era: int) -> None:
        """Record the era that a peer's heartbeat states; 0 may only mean that it has no rows."""
        if era:
            self.observe(era)

    def _rise(self, era: int) -> None:
        previous, self.era = self.era, era
        if self._is_known:
            self.rise_count += 1
            log_event(logger, Event.STORE_ERA_RISEN, before=previous, era=era)
        for listener in self._listeners:
            listener()
