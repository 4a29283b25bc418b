"""Define the errors of rpc frames and calls."""

from dataclasses import dataclass

from nutmeglead.core.errors import NutmegleadError

__all__ = [
    "CallRefused",
    "CallTimeout",
    "CallTooLarge",
    "ConnectionLost",
    "FrameError",
    "FrameMalformed",
    "FrameTooLarge",
    "PeerUnreachable",
    "ReplyMalformed",
    "RpcError",
    "TooManyCalls",
]


class RpcError(NutmegleadError):
    """Be the root of the errors of a call; `may_have_run` is False if no byte left this process."""

    may_have_run = True


@dataclass
class PeerUnreachable(RpcError):
    """Report a call that was not sent because there is no connection."""

    address: str
    reason: str
    may_have_run = False

    def __str__(self) -> str:
        return f"no connection to {self.address}: {self.reason}"


@dataclass
class TooManyCalls(RpcError):
    """Report a call that was not sent because too many are in flight to the peer."""

    address: str
    limit: int
    may_have_run = False

    def __str__(self) -> str:
        return f"{self.limit} calls are already in flight to {self.address}"


@dataclass
class CallTooLarge(RpcError):
    """Report a call that was not sent because its frame is above the limit."""

    call: str
    size_bytes: int
    limit_bytes: int
    may_have_run = False

    def __str__(self) -> str:
        return f"{self.call} has {self.size_bytes} bytes, at most {self.limit_bytes} are sent"


@dataclass
class CallTimeout(RpcError):
    """Report a call that was sent and has no reply yet."""

    address: str
    call: str
    timeout_ms: int

    def __str__(self) -> str:
        return f"no reply to {self.call} from {self.address} within {self.timeout_ms} ms"


@dataclass
class ConnectionLost(RpcError):
    """Report a connection that ended before the reply."""

    address: str
    reason: str

    def __str__(self) -> str:
        return f"the connection to {self.address} ended before the reply: {self.reason}"


@dataclass
class CallRefused(RpcError):
    """Report a peer that has no handler for the message, or whose handler failed."""

    address: str
    call: str

    def __str__(self) -> str:
        return f"{self.address} refused {self.call}"


@dataclass
class ReplyMalformed(RpcError):
    """Report a reply that does not decode to the expected struct."""

    address: str
    reason: str

    def __str__(self) -> str:
        return f"malformed reply from {self.address}: {self.reason}"


class FrameError(NutmegleadError):
    """Be the root of the errors of a byte stream; the connection cannot be used further."""


@dataclass
class FrameTooLarge(FrameError):
    """Report a frame whose length is above the limit."""

    size_bytes: int
    limit_bytes: int

    def __str__(self) -> str:
        return f"frame of {self.size_bytes} bytes, at most {self.limit_bytes} are accepted"


@dataclass
class FrameMalformed(FrameError):
    """Report a frame that holds no envelope."""

    reason: str

    def __str__(self) -> str:
        return f"frame without a valid envelope: {self.reason}"
