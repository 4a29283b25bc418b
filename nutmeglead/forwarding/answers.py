"""Send the answers that this node makes itself."""

from nutmeglead.core.outcome import OUTCOME_HEADER, Outcome
from nutmeglead.http.exchange import CallerExchange
from nutmeglead.http.messages import Headers

__all__ = ["final_status", "refuse"]

_UNKNOWN_STATUSES = frozenset((502, 504))


async def refuse(
    exchange: CallerExchange, status: int, reason: str, retry_after_ms: int | None
) -> None:
    """Send an answer of this node's own; 503 promises that the request has not run."""
    outcome = Outcome.UNKNOWN if status in _UNKNOWN_STATUSES else Outcome.NOT_RUN
    headers: Headers = [(b"content-type", b"text/plain"), (OUTCOME_HEADER, outcome.value.encode())]
    if retry_after_ms is not None:
        headers.append((b"retry-after", b"%.3f" % (retry_after_ms / 1000)))
    await exchange.respond(status, headers, reason.encode())


def final_status(outcome: Outcome, is_late: bool) -> int:
    """Return the status for a request that got no answer of a server."""
    if outcome is Outcome.NOT_RUN:
        return 503
    return 504 if is_late else 502
