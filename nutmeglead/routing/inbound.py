"""Parse a caller's request head and derive the head that the server gets."""

from collections.abc import Mapping
from dataclasses import dataclass
from urllib.parse import unquote_to_bytes

from result import Err, Ok, Result

from nutmeglead._generated.settings.ttypes import ServiceSettings
from nutmeglead.core.ids import Epoch, ServiceName
from nutmeglead.http.messages import Headers, RequestHead, header_value
from nutmeglead.routing.errors import (
    BodyTooLarge,
    RequestError,
    RequestMalformed,
    UnknownService,
)

__all__ = ["InboundRequest", "answer_headers", "parse_request", "server_head"]

SAFE_METHODS = (b"GET", b"HEAD")
# Headers that concern one connection only (RFC 9110, 7.6.1).
HOP_HEADERS = frozenset(
    {
        b"connection",
        b"expect",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
# The router sets these itself; a caller that could set the epoch would pass the server's fence.
ROUTER_HEADERS = frozenset(
    {
        b"nutmeglead-deadline-ms",
        b"nutmeglead-epoch",
        b"nutmeglead-request",
        b"nutmeglead-server",
    }
)


@dataclass(frozen=True)
class InboundRequest:
    """Hold what the router needs of a request; `content_length` is None for a chunked body."""

    request_id: int
    service: ServiceSettings
    key: str
    head: RequestHead
    arrived_ms: int
    deadline_ms: int
    idempotent: bool
    content_length: int | None

    @property
    def service_name(self) -> ServiceName:
        """Return the service's name."""
        return ServiceName(self.service.name)


def parse_request(
    request_id: int, head: RequestHead, services: Mapping[str, ServiceSettings], now_ms: int
) -> Result[InboundRequest, RequestError]:
    """Return the parsed request, or the failure that the contract names."""
    located = _parse_target(head.target, services)
    if isinstance(located, Err):
        return located
    service, key = located.ok_value
    if head.method == b"CONNECT":
        return Err(RequestMalformed("the method CONNECT is not supported"))
    length = _content_length(head, service)
    if isinstance(length, Err):
        return length
    time_left = _time_left_ms(head.headers, service)
    if isinstance(time_left, Err):
        return time_left
    idempotent = head.method in SAFE_METHODS or bool(service.idempotent)
    deadline_ms = now_ms + time_left.ok_value
    return Ok(
        InboundRequest(
            request_id, service, key, head, now_ms, deadline_ms, idempotent, length.ok_value
        )
    )


def _parse_target(
    target: bytes, services: Mapping[str, ServiceSettings]
) -> Result[tuple[ServiceSettings, str], RequestError]:
    path = target.split(b"?", 1)[0]
    segments = path.split(b"/")
    if segments[0] or len(segments) < 3:
        return Err(RequestMalformed("expected a path of the form /<service>/<key>"))
    try:
        name = unquote_to_bytes(segments[1]).decode()
        key = unquote_to_bytes(segments[2]).decode()
    except UnicodeDecodeError:
        return Err(RequestMalformed("expected service and key in percent-encoded UTF-8"))
    if name not in services:
        return Err(UnknownService(f"no service {name!r}"))
    if not key:
        return Err(RequestMalformed("the key is empty"))
    return Ok((services[name], key))


def _content_length(
    head: RequestHead, service: ServiceSettings
) -> Result[int | None, RequestError]:
    if header_value(head.headers, b"transfer-encoding") is not None:
        return Ok(None)
    # The server edge refuses lengths that are not a number or that contradict each other.
    length = int(header_value(head.headers, b"content-length") or b"0")
    if length > service.max_body_bytes:
        return Err(BodyTooLarge(f"{length} bytes, at most {service.max_body_bytes} are allowed"))
    return Ok(length)


def _time_left_ms(headers: Headers, service: ServiceSettings) -> Result[int, RequestError]:
    """Return the caller's time left, at most the service's timeout.

    The cap lets a mover wait `request_timeout_ms` after a lapse until no sent request runs.
    """
    values = {value.strip() for name, value in headers if name == b"nutmeglead-deadline-ms"}
    if not values:
        return Ok(int(service.request_timeout_ms))
    value = values.pop()
    if values or not value.isdigit() or len(value) > 10:
        return Err(RequestMalformed("expected one Nutmeglead-Deadline-Ms in whole ms"))
    return Ok(min(int(value), int(service.request_timeout_ms)))


def _end_to_end(headers: Headers) -> Headers:
    """Return the headers that pass through a router."""
    named: set[bytes] = set()
    for name, value in headers:
        if name == b"connection":
            named.update(token.strip().lower() for token in value.split(b","))
    # A Connection header must not be able to remove the length that frames the body.
    named -= {b"content-length", b"host"}
    return [(n, v) for n, v in headers if n not in HOP_HEADERS and n not in named]


def server_head(
    request: InboundRequest, epoch: Epoch, now_ms: int, body_length: int | None
) -> RequestHead:
    """Return the head for the server; `body_length` None means a chunked body."""
    headers = [
        (name, value)
        for name, value in _end_to_end(request.head.headers)
        if name not in ROUTER_HEADERS and name != b"content-length"
    ]
    headers.append((b"nutmeglead-epoch", str(epoch).encode()))
    headers.append((b"nutmeglead-deadline-ms", str(request.deadline_ms - now_ms).encode()))
    headers.append((b"nutmeglead-request", str(request.request_id).encode()))
    if body_length is None:
        headers.append((b"transfer-encoding", b"chunked"))
    elif body_length or request.head.method not in SAFE_METHODS:
        headers.append((b"content-length", str(body_length).encode()))
    return RequestHead(request.head.method, request.head.target, headers)


def answer_headers(headers: Headers, from_gate: bool) -> Headers:
    """Return a server's headers for the caller.

    Only a router may state an outcome, so the header passes from a gate but not from a server.
    """
    passed = [
        (name, value)
        for name, value in _end_to_end(headers)
        if name != b"nutmeglead-request" and (from_gate or name != b"nutmeglead-outcome")
    ]
    if header_value(headers, b"transfer-encoding") is not None:
        passed.append((b"transfer-encoding", b"chunked"))
    return passed
