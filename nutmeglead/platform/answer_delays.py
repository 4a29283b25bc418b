"""Estimate how long answers of the store were under way, by the time of its clock in each."""

__all__ = ["AnswerDelays"]

# Clocks may drift apart, so that a fastest answer is forgotten after one to two windows.
WINDOW_MS = 60_000


class AnswerDelays:
    """Compare the time from sending to arrival of each answer with that of the fastest one.

    The store's clock has another origin than this node's, so only differences are known.
    """

    def __init__(self) -> None:
        self._window_start_ms = 0
        # Least difference between a local time of arrival and the store's time in the answer.
        self._least_ms: int | None = None
        self._previous_least_ms: int | None = None

    def delay_ms(self, sent_store_ms: int, received_ms: int) -> int:
        """Return how much longer an answer was under way than the fastest one."""
        if received_ms - self._window_start_ms >= WINDOW_MS:
            self._window_start_ms = received_ms
            self._previous_least_ms, self._least_ms = self._least_ms, None
        difference_ms = received_ms - sent_store_ms
        known = (difference_ms, self._least_ms, self._previous_least_ms)
        least_ms = min(value for value in known if value is not None)
        if self._least_ms is None or difference_ms < self._least_ms:
            self._least_ms = difference_ms
        return difference_ms - least_ms
