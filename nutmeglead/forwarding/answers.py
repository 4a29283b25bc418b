"""Send the error answers that this node generates itself."""

from nutmeglead.core.outcome import OUTCOME_HEADER, Outcome
from nutmeglead.http.exchange import CallerExchange
from nutmeglead.http.messages import Headers

__all__ = ["final_status", "refuse"]

# Statuses after which the request may have run.
_UNKNOWN_STATUSES = frozenset((502, 504))


async def refuse(
    exchange: CallerExchange, status: int, reason: str, retry_after_ms: int | None
) -> None:
    """Send an error answer with the reason as its body.

    The outcome header says `unknown` for 502 and 504, and otherwise promises that the request has
    not run.
    """
    outcome = Outcome.UNKNOWN if status in _UNKNOWN_STATUSES else Outcome.NOT_RUN
    headers: Headers = [(b"content-type", b"text/plain"), (OUTCOME_HEADER, outcome.value.encode())]
    if retry_after_ms is not None:
        headers.append((b"retry-after", b"%.3f" % (retry_after_ms / 1000)))
    await exchange.respond(status, headers, reason.encode())


def final_status(outcome: Outcome, is_late: bool) -> int:
    """Return the status for a request that got no answer from a server.

    503 if it has not run; otherwise 504 if its deadline has passed, and 502 if not.
    """
    if outcome is Outcome.NOT_RUN:
        return 503
    return 504 if is_late else 502
