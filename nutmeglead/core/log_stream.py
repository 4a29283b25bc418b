"""Write log lines to a descriptor without ever waiting for its reader."""

import os

__all__ = ["NonBlockingStream"]


class NonBlockingStream:
    """Write whole lines; a line that the descriptor does not take at once is dropped and counted.

    The next line that is taken tells how many were dropped before it.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> int:
        """Write a line, or count it as dropped."""
        if self.dropped:
            text = f'{{"dropped_lines": {self.dropped}}}\n{text}'
        data = text.encode(errors="replace")
        try:
            written = os.write(self._descriptor, data)
        except BlockingIOError:
            self.dropped += 1
            return 0
        # A line that was taken in part cannot be completed without waiting.
        self.dropped = 0 if written == len(data) else self.dropped + 1
        return written

    def flush(self) -> None:
        """Do nothing; each line is written at once."""
