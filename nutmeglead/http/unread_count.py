"""Count the bytes of one connection that have arrived and are not used yet."""

from collections.abc import Callable

from nutmeglead.http.channel import ByteChannel

__all__ = ["UnreadCount"]


class UnreadCount:
    """Tell a function each change of the unread bytes of a connection, from `begin` to `end`.

    They are in the buffer of the channel, in that of the parser, or in the part of a body that was
    read last.
    """

    def __init__(self, channel: ByteChannel) -> None:
        self._channel = channel
        self._count: Callable[[int], None] | None = None
        # What the parser was last given, and may not have used up.
        self._fed_bytes = 0

    def begin(self, count: Callable[[int], None]) -> None:
        """Call a function with each change, until the exchange ends."""
        self._count = self._channel.on_unread_changed = count
        count(self._channel.unread_bytes)

    def set_fed(self, size_bytes: int) -> None:
        """Replace the number of bytes that the parser holds."""
        if self._count is not None:
            self._count(size_bytes - self._fed_bytes)
            self._fed_bytes = size_bytes

    def end(self) -> None:
        """Give back all that is counted."""
        self.set_fed(0)
        if self._count is not None:
            self._count(-self._channel.unread_bytes)
        self._count = self._channel.on_unread_changed = None
