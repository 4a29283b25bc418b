"""Responses to requests that are not handled."""

import h11

from nutmeglead.core.outcome import OUTCOME_HEADER, Outcome
from nutmeglead.http.errors import MemoryShort, RequestRefused

__all__ = ["encode_refusal"]


def encode_refusal(parser: h11.Connection, error: RequestRefused) -> bytes:
    """Return a response without a body that says that the request has not run.

    Nothing is returned if a response has begun.
    """
    if parser.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
        return b""
    outcome = (OUTCOME_HEADER, Outcome.NOT_RUN.value.encode())
    headers = [outcome, (b"content-length", b"0"), (b"connection", b"close")]
    if isinstance(error, MemoryShort):
        headers.append((b"retry-after", b"%.3f" % (error.retry_after_ms / 1000)))
    return parser.send(h11.Response(status_code=error.status, headers=headers)) or b""
