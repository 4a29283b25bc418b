"""Errors of HTTP connections and messages."""

from dataclasses import dataclass

from nutmeglead.core.errors import NutmegleadError

__all__ = [
    "ConnectFailed",
    "HttpError",
    "MalformedMessage",
    "MemoryShort",
    "PeerClosed",
    "RequestRefused",
    "RequestTimedOut",
    "RequestWithdrawn",
    "TimedOut",
]


class HttpError(NutmegleadError):
    """Base class of the errors of HTTP connections and messages."""


@dataclass
class ConnectFailed(HttpError):
    """The connection was not established, so no byte of the request was written.

    `is_refused` tells whether the host answered that no process listens there.
    """

    address: str
    reason: str
    is_refused: bool = False

    def __str__(self) -> str:
        return f"no connection to {self.address}: {self.reason}"


@dataclass
class PeerClosed(HttpError):
    """The peer closed or reset the connection before the exchange was complete."""

    stage: str

    def __str__(self) -> str:
        return f"the peer closed the connection {self.stage}"


class RequestRefused(HttpError):
    """A request is not handled; `status` is the response status for it."""

    status: int


@dataclass
class MalformedMessage(RequestRefused):
    """A message violates HTTP/1.1 or a size limit."""

    reason: str
    status: int = 400

    def __str__(self) -> str:
        return f"expected a valid HTTP/1.1 message: {self.reason}"


@dataclass
class MemoryShort(RequestRefused):
    """The process has no room for a request, which has not run."""

    retry_after_ms: int
    status: int = 503

    def __str__(self) -> str:
        return f"expected room for the request, which may be there in {self.retry_after_ms} ms"


@dataclass
class RequestTimedOut(RequestRefused):
    """A request did not arrive whole in time, so it has not run."""

    timeout_ms: int
    status: int = 408

    def __str__(self) -> str:
        return f"expected the whole request within {self.timeout_ms} ms"


@dataclass
class RequestWithdrawn(HttpError):
    """The caller no longer wanted the request, so no byte of it was written."""

    address: str

    def __str__(self) -> str:
        return f"the request to {self.address} was withdrawn before it was sent"


@dataclass
class TimedOut(HttpError):
    """The exchange was not complete within its timeout."""

    stage: str
    timeout_ms: int
    received_bytes: int = 0

    def __str__(self) -> str:
        return (
            f"not complete {self.stage} within {self.timeout_ms} ms,"
            f" {self.received_bytes} bytes received"
        )
