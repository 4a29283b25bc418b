"""Define the errors of the HTTP edge."""

from dataclasses import dataclass

from nutmeglead.core.errors import NutmegleadError

__all__ = ["ConnectFailed", "HttpError", "MalformedMessage", "PeerClosed", "TimedOut"]


class HttpError(NutmegleadError):
    """Be the root of the errors of the HTTP edge."""


@dataclass
class ConnectFailed(HttpError):
    """Report a connection that was not established; no byte was written."""

    address: str
    reason: str

    def __str__(self) -> str:
        return f"no connection to {self.address}: {self.reason}"


@dataclass
class PeerClosed(HttpError):
    """Report a connection that the peer closed before the exchange was complete."""

    stage: str

    def __str__(self) -> str:
        return f"the peer closed the connection {self.stage}"


@dataclass
class MalformedMessage(HttpError):
    """Report a message that breaks HTTP/1.1, with the status that a server should answer."""

    reason: str
    status: int = 400

    def __str__(self) -> str:
        return f"expected a valid HTTP/1.1 message: {self.reason}"


@dataclass
class TimedOut(HttpError):
    """Report an exchange that did not finish in its time."""

    stage: str
    timeout_ms: int

    def __str__(self) -> str:
        return f"no progress {self.stage} within {self.timeout_ms} ms"
