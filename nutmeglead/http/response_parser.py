"""Give an exchange a parser that keeps no bytes of later requests."""

import h11

from nutmeglead.http.messages import RequestHead

__all__ = ["response_parser"]

# A parser with fewer unread bytes is kept, as making another one costs more.
KEPT_UNREAD_BYTES = 2_048


def response_parser(parser: h11.Connection, head: RequestHead, unread: bytes) -> h11.Connection:
    """Return a parser in the state in which the response to a request is sent.

    h11 keeps the bytes that follow a request for as long as its parser lives. The request must
    leave the connection open for others.
    """
    if len(unread) <= KEPT_UNREAD_BYTES:
        return parser
    other = h11.Connection(h11.SERVER)
    # All that h11 remembers of such a request is its method.
    other.receive_data(head.method + b" / HTTP/1.1\r\nhost: -\r\n\r\n")
    other.next_event()
    other.next_event()
    return other
