"""Define what can keep a request from its answer."""

from dataclasses import dataclass

from nutmeglead.core.errors import NutmegleadError
from nutmeglead.core.outcome import Outcome

__all__ = [
    "AnswerSpoiled",
    "AttemptError",
    "CallerLeft",
    "ConnectionBroken",
    "DeadlinePassed",
    "ForwardingError",
    "NoConnection",
    "Overloaded",
    "ServerRefused",
]


class ForwardingError(NutmegleadError):
    """Be the root of the errors of the request path."""


@dataclass
class AttemptError(ForwardingError):
    """Report an attempt at one server that brought no answer for the caller."""

    reason: str
    outcome = Outcome.UNKNOWN
    # Whether the request reached the server, which then counts as an arrival.
    has_arrived = True

    def __str__(self) -> str:
        return f"{type(self).__name__}: {self.reason}"


@dataclass
class NoConnection(AttemptError):
    """Report a server without a connection; nothing was sent."""

    outcome = Outcome.NOT_RUN
    has_arrived = False


@dataclass
class ServerRefused(AttemptError):
    """Report a server that states that it has not run the request."""

    outcome = Outcome.NOT_RUN


@dataclass
class ConnectionBroken(AttemptError):
    """Report a connection that ended before the answer was whole."""


@dataclass
class AnswerSpoiled(AttemptError):
    """Report bytes that cannot be the server's answer to this request."""


@dataclass
class CallerLeft(ForwardingError):
    """Report a caller that closed its connection before it had an answer."""

    reason: str

    def __str__(self) -> str:
        return self.reason


@dataclass
class DeadlinePassed(ForwardingError):
    """Report a request whose time is over; it may have run if it was sent."""

    outcome: Outcome

    def __str__(self) -> str:
        return f"the time of the request is over ({self.outcome.value})"


@dataclass
class Overloaded(ForwardingError):
    """Report a request that is refused before it was sent, with the time to come back."""

    reason: str
    retry_after_ms: int

    def __str__(self) -> str:
        return self.reason
