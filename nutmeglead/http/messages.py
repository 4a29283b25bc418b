"""Heads (start line and headers) of HTTP requests and responses."""

from dataclasses import dataclass, field

__all__ = ["Body", "Headers", "RequestHead", "ResponseHead", "header_value"]

# A large request body stays in the buffer that it was received in.
Body = bytes | bytearray
# Header names are in lower case, as h11 returns them.
Headers = list[tuple[bytes, bytes]]


def header_value(headers: Headers, name: bytes) -> bytes | None:
    """Return the first value of the header with this lower-case name, or None."""
    for header_name, value in headers:
        if header_name == name:
            return value
    return None


@dataclass(frozen=True)
class RequestHead:
    """Method, target and headers of a request."""

    method: bytes
    target: bytes
    headers: Headers = field(default_factory=list)


@dataclass(frozen=True)
class ResponseHead:
    """Status code and headers of a response."""

    status: int
    headers: Headers = field(default_factory=list)
