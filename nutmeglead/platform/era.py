"""Decode the era of the store, which rises when the store returns from an older copy."""

import logging

from nutmeglead.http.messages import Headers, header_value
from nutmeglead.platform.wire import STORE_ERA_HEADER

__all__ = ["EraRecord", "parse_era"]

logger = logging.getLogger(__name__)

# An era is sent to peers as a signed 64-bit number; a store does not return that often.
MAX_ERA = 2**31 - 1
MAX_LOGGED_CHARACTERS = 40


def parse_era(headers: Headers) -> int | None:
    """Return the era in the headers of an answer, 0 without the header, or None if malformed."""
    value = header_value(headers, STORE_ERA_HEADER)
    if value is None:
        return 0
    text = value.decode("latin-1").strip()
    if text.isascii() and text.isdecimal() and len(text) <= 10 and int(text) <= MAX_ERA:
        return int(text)
    logger.warning(
        "expected a whole number up to %d in the header store-era, got %r",
        MAX_ERA,
        text[:MAX_LOGGED_CHARACTERS],
    )
    return None


class EraRecord:
    """Hold the highest era of the store that this process has seen."""

    def __init__(self) -> None:
        self.era = 0

    def observe(self, era: int) -> bool:
        """Record the era of an answer; return False for a lower one than is known."""
        if era > self.era:
            self._rise(era)
        return era == self.era

    def _rise(self, era: int) -> None:
        self.era = era
