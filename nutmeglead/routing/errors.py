"""Define the failures of the request path, with the outcome and status that the caller is told."""

from typing import ClassVar, Self

from nutmeglead.core.errors import NutmegleadError
from nutmeglead.core.outcome import Outcome

__all__ = [
    "AnswerLate",
    "AnswerMalformed",
    "AssignmentChanged",
    "BodyTooLarge",
    "CallerGone",
    "ConnectionsUsedUp",
    "DeadlinePassed",
    "DeadlineUnreachable",
    "HandoverWaitEnded",
    "HandoverWaitFull",
    "HeadersTooLarge",
    "NoOwner",
    "QueueFull",
    "RequestError",
    "RequestMalformed",
    "RouterStopping",
    "ServerEjected",
    "ServerFailed",
    "ServerRefused",
    "ServerUnreachable",
    "UnknownService",
    "is_server_fault",
]


class RequestError(NutmegleadError):
    """Be the root of the failures that end a request; `reason` states what was seen.

    `kind` names the failure in the JSON body of the answer. `retry_after_s` is None for a request
    that no repetition can make succeed.
    """

    outcome: Outcome = Outcome.NOT_RUN
    status: ClassVar[int] = 503
    kind: ClassVar[str] = "not-run"
    retry_after_s: ClassVar[int | None] = 1

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason

    def after_first_byte(self) -> Self:
        """Return the failure as one whose request may have run, because bytes were written."""
        self.outcome = Outcome.UNKNOWN
        return self


class RequestMalformed(RequestError):
    """Report a request whose path, headers or body break the contract."""

    status = 400
    kind = "malformed-request"
    retry_after_s = None


class UnknownService(RequestError):
    """Report a service that the settings do not name."""

    status = 404
    kind = "unknown-service"
    retry_after_s = None


class BodyTooLarge(RequestError):
    """Report a body longer than the service's `max_body_bytes`."""

    status = 413
    kind = "body-too-large"
    retry_after_s = None


class HeadersTooLarge(RequestError):
    """Report headers longer than the server edge accepts."""

    status = 431
    kind = "headers-too-large"
    retry_after_s = None


class QueueFull(RequestError):
    """Report that the queue of the service or the unit has no room."""

    kind = "queue-full"


class DeadlineUnreachable(RequestError):
    """Report a request that the measured service times say cannot be answered in time."""

    kind = "deadline-unreachable"


class DeadlinePassed(RequestError):
    """Report a request whose deadline passed before any byte reached a server."""

    kind = "deadline-passed"


class HandoverWaitFull(RequestError):
    """Report that too many requests or bytes wait for units that are moving."""

    kind = "handover-wait-full"


class HandoverWaitEnded(RequestError):
    """Report a request that waited for a moving unit as long as the settings allow."""

    kind = "handover-wait-ended"


class NoOwner(RequestError):
    """Report a key without an owner, or an owner without a known address."""

    kind = "no-owner"


class AssignmentChanged(RequestError):
    """Report that the key got another owner while the request waited; the router starts over."""

    kind = "assignment-changed"


class ServerEjected(RequestError):
    """Report that repeated failures keep the owner out of use for longer than a request waits."""

    kind = "server-ejected"


class ServerUnreachable(RequestError):
    """Report a connection that failed before the first byte of the request was written."""

    kind = "server-unreachable"


class ConnectionsUsedUp(RequestError):
    """Report that the router's part of the server's connections is in use."""

    kind = "connections-used-up"


class ServerRefused(RequestError):
    """Report a typed refusal: status 421 or 503 with `Nutmeglead-Refusal`."""

    kind = "server-refused"

    def __init__(self, reason: str, status_given: int) -> None:
        super().__init__(reason)
        self.status_given = status_given

    @property
    def is_epoch_refusal(self) -> bool:
        """Tell whether the server refused because it does not hold the unit at this epoch."""
        return self.status_given == 421


class RouterStopping(RequestError):
    """Report a request that came after the router began to stop."""

    kind = "router-stopping"


class ServerFailed(RequestError):
    """Report a connection that broke after the first byte of the request was written."""

    outcome = Outcome.UNKNOWN
    status = 504
    kind = "server-failed"
    retry_after_s = None


class AnswerLate(RequestError):
    """Report that the deadline passed after the first byte of the request was written."""

    outcome = Outcome.UNKNOWN
    status = 504
    kind = "answer-late"
    retry_after_s = None


class AnswerMalformed(RequestError):
    """Report an answer that breaks HTTP or ends before its announced length."""

    outcome = Outcome.UNKNOWN
    status = 504
    kind = "answer-malformed"
    retry_after_s = None


class CallerGone(RequestError):
    """Report a caller that disconnected; nobody reads this failure's answer."""

    outcome = Outcome.UNKNOWN
    status = 504
    kind = "caller-gone"
    retry_after_s = None


def is_server_fault(error: RequestError) -> bool:
    """Tell whether a failure counts against the server's health.

    A refusal is a healthy server's answer, and a caller that leaves says nothing of the server.
    """
    return isinstance(error, ServerUnreachable | ServerFailed | AnswerLate | AnswerMalformed)
