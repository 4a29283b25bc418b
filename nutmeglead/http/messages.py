"""Define the heads of requests and responses."""

from dataclasses import dataclass, field

__all__ = ["Headers", "RequestHead", "ResponseHead", "header_value"]

# Names are lower case, as h11 gives them.
Headers = list[tuple[bytes, bytes]]


def header_value(headers: Headers, name: bytes) -> bytes | None:
    """Return the first value of a header, whose name is given in lower case."""
    for header_name, value in headers:
        if header_name == name:
            return value
    return None


@dataclass(frozen=True)
class RequestHead:
    """Hold the method, target and headers of a request."""

    method: bytes
    target: bytes
    headers: Headers = field(default_factory=list)


@dataclass(frozen=True)
class ResponseHead:
    """Hold the status and headers of a response."""

    status: int
    headers: Headers = field(default_factory=list)
