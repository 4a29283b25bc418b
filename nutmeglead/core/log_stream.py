"""Log output to a file descriptor that never blocks the program."""

import os

__all__ = ["NonBlockingStream"]


class NonBlockingStream:
    """Non-blocking writer of log lines to a file descriptor, such as a pipe that nobody reads.

    A line that the descriptor does not accept at once is dropped. The next line that is written
    follows a line with `dropped_lines`, the number of lines dropped before it.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> int:
        """Write a line and return the number of bytes written, or drop it and return 0."""
        if self.dropped:
            text = f'{{"dropped_lines": {self.dropped}}}\n{text}'
        data = text.encode(errors="replace")
        try:
            written = os.write(self._descriptor, data)
        except BlockingIOError:
            self.dropped += 1
            return 0
        # The rest of a line that was written in part could only be written by waiting for the
        # reader, so the line counts as dropped.
        self.dropped = 0 if written == len(data) else self.dropped + 1
        return written

    def flush(self) -> None:
        """Do nothing, since `write` buffers no text."""
