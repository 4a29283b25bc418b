"""Define the errors for which a request gets no answer from a server."""

from dataclasses import dataclass
from enum import Enum

from nutmeglead.core.errors import NutmegleadError
from nutmeglead.core.outcome import Outcome

__all__ = [
    "AnswerSpoiled",
    "AttemptError",
    "CallerLeft",
    "ConnectionBroken",
    "DeadlinePassed",
    "ExchangeCutOff",
    "ForwardingError",
    "NoConnection",
    "NodeStopping",
    "Overloaded",
    "RefusalReason",
    "ServerRefused",
]


class ForwardingError(NutmegleadError):
    """Base class of the errors of forwarding a request."""


@dataclass
class AttemptError(ForwardingError):
    """Report an attempt at one server that brought no usable answer.

    `outcome` tells whether the request may have run at that server.
    """

    reason: str
    outcome = Outcome.UNKNOWN
    # Whether the request may have reached the server; a retry then counts against the retry budget.
    reached_server = True

    def __str__(self) -> str:
        return f"{type(self).__name__}: {self.reason}"


@dataclass
class NoConnection(AttemptError):
    """Report that no connection or no time was left for the attempt, so nothing was sent."""

    outcome = Outcome.NOT_RUN
    reached_server = False


@dataclass
class ServerRefused(AttemptError):
    """Report an answer which states that the server has not run the request."""

    outcome = Outcome.NOT_RUN
    # Whether the answer is that of a server which does not hold the key, or is not the one named.
    is_misdirected: bool = False


@dataclass
class ConnectionBroken(AttemptError):
    """Report a connection that ended before the whole answer arrived.

    Also stands for a status such as 503 without a statement that the request has not run.
    """


@dataclass
class AnswerSpoiled(AttemptError):
    """Report an answer that is malformed or not the server's answer to this request."""


@dataclass
class CallerLeft(ForwardingError):
    """Report a caller that closed its connection before it had an answer."""

    reason: str

    def __str__(self) -> str:
        return self.reason


@dataclass
class ExchangeCutOff(ForwardingError):
    """Report an exchange that this process has ended without an answer."""

    reason: str

    def __str__(self) -> str:
        return self.reason


@dataclass
class DeadlinePassed(ForwardingError):
    """Report a request that was not answered by its deadline; it may have run if it was sent."""

    outcome: Outcome

    def __str__(self) -> str:
        return f"the time of the request is over ({self.outcome.value})"


@dataclass
class NodeStopping(DeadlinePassed):
    """Report a request that was not answered before this node stops; it may have run if sent."""

    def __str__(self) -> str:
        return f"the node stops before the request is answered ({self.outcome.value})"


class RefusalReason(Enum):
    """Why a request was not assigned to a server; the value is sent to the caller."""

    OWNER_OVERLOADED = "the key's owner has more requests than it can answer"
    SERVERS_BUSY = "the servers are too busy to answer in time"
    TOO_MANY_WAITING = "too many requests wait on this node"
    STOPPING = "this node is stopping"
    BACKOFF = "the server wants no requests yet"
    NO_SERVER = "no server can be reached for this request"
    EVACUATED = "all servers of the service are in evacuated failure domains"
    OWNER_GONE = "the key's owner is gone, and keys cannot move while the store does not answer"
    WARMING_UP = "the key's owner is warming up"


@dataclass
class Overloaded(ForwardingError):
    """Report a request that could not be assigned to a server in time.

    `retry_after_ms` is sent to the caller as the Retry-After time.
    """

    reason: RefusalReason
    retry_after_ms: int

    def __str__(self) -> str:
        return self.reason.value
