"""Count what callers have not taken yet, and close the connections of those that read nothing."""

import asyncio
from typing import Protocol

from nutmeglead.core.clock import Clock
from nutmeglead.http.held_bytes import HeldBytes

__all__ = ["SlowReaderWatch", "UnsentSource"]

# A caller that reads nothing for this time is closed. Garbage collection, a full processor or a
# change of network keep a client from reading for a few seconds at most.
SLOW_READER_MS = 10_000
# The same while the process is short of memory.
SHORT_SLOW_READER_MS = 1_000
CHECK_INTERVAL_MS = 250


class UnsentSource(Protocol):
    """A connection whose caller may read slowly."""

    @property
    def bytes_written(self) -> int:
        """Return how many bytes were written to the connection."""

    @property
    def unsent_bytes(self) -> int:
        """Return how many of them the kernel has not taken yet."""

    @property
    def peer_ip(self) -> str:
        """Return the IP address of the caller."""

    def end_slow_reader(self) -> None:
        """End the connection with a reset, as its caller reads nothing."""


class _Progress:
    """What was unsent at the last look, how much was sent, and when that last grew."""

    def __init__(self, now_ms: int) -> None:
        self.unsent_bytes = 0
        self.sent_bytes = -1
        self.moved_ms = now_ms


class SlowReaderWatch:
    """Look at the connections with unsent bytes at each interval, as long as there are any."""

    def __init__(self, held: HeldBytes, clock: Clock) -> None:
        self._held = held
        self._clock = clock
        self._watched: dict[UnsentSource, _Progress] = {}
        self._timer: asyncio.TimerHandle | None = None

    def update(self, source: UnsentSource) -> None:
        """Count the unsent bytes of a connection after a write."""
        progress = self._watched.get(source)
        unsent_bytes = source.unsent_bytes
        if progress is None:
            if not unsent_bytes:
                return
            progress = self._watched[source] = _Progress(self._clock.now_ms())
            self._start_timer()
        self._held.add(unsent_bytes - progress.unsent_bytes)
        progress.unsent_bytes = unsent_bytes

    def remove(self, source: UnsentSource) -> None:
        """Forget a connection that is lost or has nothing unsent."""
        progress = self._watched.pop(source, None)
        if progress is not None:
            self._held.add(-progress.unsent_bytes)

    def _start_timer(self) -> None:
        if self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(CHECK_INTERVAL_MS / 1000, self._check)

    def _check(self) -> None:
        """Close the connections whose callers read nothing, those with the most unsent first."""
        self._timer = None
        now_ms = self._clock.now_ms()
        for source in list(self._watched):
            self.update(source)
        by_size = sorted(self._watched.items(), key=lambda item: -item[1].unsent_bytes)
        for source, progress in by_size:
            sent_bytes = source.bytes_written - progress.unsent_bytes
            limit_ms = SHORT_SLOW_READER_MS if self._held.is_short else SLOW_READER_MS
            if not progress.unsent_bytes:
                self.remove(source)
            elif sent_bytes != progress.sent_bytes:
                progress.sent_bytes, progress.moved_ms = sent_bytes, now_ms
            elif now_ms - progress.moved_ms >= limit_ms:
                self._held.record_slow_reader(source.peer_ip, progress.unsent_bytes)
                self.remove(source)
                source.end_slow_reader()
        if self._watched:
            self._start_timer()
