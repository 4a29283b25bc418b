"""Render the answers that the router makes itself."""

import json

from nutmeglead.http.messages import Headers
from nutmeglead.routing.errors import RequestError

__all__ = ["render_error"]


def render_error(error: RequestError) -> tuple[int, Headers, bytes]:
    """Return status, headers and body as docs/callers.md states them."""
    headers: Headers = [
        (b"content-type", b"application/json"),
        (b"nutmeglead-outcome", error.outcome.value.encode()),
    ]
    if error.retry_after_s is not None:
        headers.append((b"retry-after", str(error.retry_after_s).encode()))
    body = {"outcome": error.outcome.value, "error": error.kind, "reason": error.reason}
    return error.status, headers, json.dumps(body).encode()
