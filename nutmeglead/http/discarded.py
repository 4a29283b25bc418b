"""Remember what a connection received and did not handle, for the log line of its end."""

import h11

from nutmeglead.http.messages import RequestHead

__all__ = ["DiscardedBytes"]

# Requests are looked for in at most this much of what was discarded.
MAX_SAMPLE_BYTES = 4_096


class DiscardedBytes:
    """Count the bytes that a connection received after the last request that it handled."""

    def __init__(self) -> None:
        self.size_bytes = 0
        self._heads: list[RequestHead] = []
        self._sample = bytearray()

    def add(self, data: bytes) -> None:
        """Add bytes, in the order of their arrival."""
        self.size_bytes += len(data)
        self._sample += data[: MAX_SAMPLE_BYTES - len(self._sample)]

    def add_request(self, head: RequestHead, following: bytes) -> None:
        """Add a request that was read whole, and the bytes that arrived behind it."""
        self._heads.append(head)
        self.add(following)

    def whole_requests(self, max_count: int) -> list[RequestHead]:
        """Return the heads of the first whole requests of what was discarded."""
        return [*self._heads, *_parse_requests(bytes(self._sample), max_count - len(self._heads))]


def _parse_requests(data: bytes, max_count: int) -> list[RequestHead]:
    heads: list[RequestHead] = []
    while data and len(heads) < max_count:
        parser = h11.Connection(h11.SERVER)
        parser.receive_data(data)
        try:
            request = parser.next_event()
            event: object = request
            while isinstance(event, (h11.Request, h11.Data)):
                event = parser.next_event()
        except h11.RemoteProtocolError:
            break
        if not isinstance(event, h11.EndOfMessage) or not isinstance(request, h11.Request):
            break
        heads.append(RequestHead(request.method, request.target, list(request.headers)))
        data = parser.trailing_data[0]
    return heads
