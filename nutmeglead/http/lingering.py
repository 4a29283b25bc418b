"""Decide for how long a connection is read on after its last answer, so that its caller gets it."""

from nutmeglead.core.clock import Clock

__all__ = ["LINGER_MS", "Lingering"]

# After the last response, the server waits up to this long for the peer to close first. Closing a
# socket with unread bytes resets the connection, as do bytes that arrive after the close, and the
# kernel then drops what the peer has not acknowledged.
LINGER_MS = 1_000
# A caller that still takes its answers keeps the connection for up to this time.
MAX_LINGER_MS = 10_000


class Lingering:
    """Follow how much of the last answers a caller has taken while its connection ends."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._end_ms = clock.now_ms() + MAX_LINGER_MS
        self._least_bytes: int | None = None

    def goes_on(self, unacknowledged_bytes: int) -> bool:
        """Return whether to wait on, as the caller has taken some but not all since the last call.

        The first call has nothing to compare with, and goes on for any bytes that are left.
        """
        has_moved = self._least_bytes is None or unacknowledged_bytes < self._least_bytes
        self._least_bytes = unacknowledged_bytes
        return unacknowledged_bytes > 0 and has_moved and self._clock.now_ms() < self._end_ms
