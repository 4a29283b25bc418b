"""Notice tickets that a restored store lacks, and numbers that it gives to another ticket."""

import logging
import zlib
from collections.abc import Iterable

from nutmeglead.core.events import Event, log_event
from nutmeglead.platform.store import StoreRow
from nutmeglead.tickets.rows import NUMBER_PREFIX

__all__ = ["LostTickets"]

logger = logging.getLogger(__name__)

# Numbers whose contents are remembered; a return undoes the tickets of some seconds.
KEPT_NUMBERS = 1_000


class LostTickets:
    """Follow the number rows of tickets, which are never removed but by a return of the store."""

    def __init__(self) -> None:
        self._lost: set[str] = set()
        # Checksum of each ticket by the key of its number row, oldest first.
        self._checksums: dict[str, int] = {}

    def record(self, rows: Iterable[StoreRow]) -> None:
        """Record changed rows; log a ticket that is lost and one that has another content."""
        for row in rows:
            if not row.key.startswith(NUMBER_PREFIX):
                continue
            number = row.key.removeprefix(NUMBER_PREFIX)
            if row.value is None:
                self._lost.add(row.key)
                log_event(logger, Event.TICKET_LOST, ticket=int(number))
                continue
            self._lost.discard(row.key)
            checksum = zlib.crc32(row.value)
            if self._checksums.get(row.key, checksum) != checksum:
                log_event(logger, Event.TICKET_REPLACED, ticket=int(number))
            self._checksums[row.key] = checksum
        while len(self._checksums) > KEPT_NUMBERS:
            del self._checksums[next(iter(self._checksums))]

    def missing_conditions(self) -> list[str]:
        """Return a text for each lost ticket that is not filed again."""
        return [
            f"ticket {int(key.removeprefix(NUMBER_PREFIX))} is not in the restored store:"
            " file it again"
            for key in sorted(self._lost)
        ]
