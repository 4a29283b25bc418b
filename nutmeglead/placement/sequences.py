"""Recognise messages that were received before."""

__all__ = ["SequenceWindow"]


class SequenceWindow:
    """Accept each sequence number of one sender once, in any order within a window of 64."""

    _WIDTH = 64

    def __init__(self) -> None:
        self.last_accepted_ms = 0
        self._highest = 0
        # Bit i is set if the number `_highest` - i was accepted.
        self._seen = 0

    def accept(self, sequence: int, now_ms: int) -> int | None:
        """Return how many numbers a new message is behind the newest, or None if it was seen.

        A number below the window counts as seen.
        """
        ahead = sequence - self._highest
        if ahead > 0:
            self._seen = ((self._seen << min(ahead, self._WIDTH)) | 1) & ((1 << self._WIDTH) - 1)
            self._highest = sequence
        elif -ahead >= self._WIDTH or self._seen >> -ahead & 1:
            return None
        else:
            self._seen |= 1 << -ahead
        self.last_accepted_ms = now_ms
        return max(0, -ahead)
