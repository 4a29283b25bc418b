"""Decode what a server states about itself in the headers of its answers."""

import math
from collections.abc import Callable
from typing import Any

from result import Err, Ok, Result

from nutmeglead.core.errors import CodecError
from nutmeglead.forwarding.model import NO_NOTICE, ServerNotice, StatedLoad
from nutmeglead.http.messages import Headers
from nutmeglead.platform.wire import (
    RETRY_AFTER_HEADER,
    SERVER_LEAVING_HEADER,
    SERVER_LOAD_HEADER,
    WARMUP_LEFT_HEADER,
)

__all__ = ["MAX_BACKOFF_MS", "decode_notice", "encode_notice"]

# A longer Retry-After time is cut to this one: a key has no other owner meanwhile, and one request
# a minute is within the bound on requests to a server that wants none.
MAX_BACKOFF_MS = 60_000
# A longer warm-up is cut to this time; a server that goes on with it says so again.
MAX_WARMUP_MS = 600_000
BUSY_STATUS = 503
LEAVING_VALUE = b"1"
# The last figure, the duration of work, may be absent.
LOAD_FIGURES = 4
# Servers run tens of requests; a figure of more digits cannot be meant.
MAX_FIGURE_DIGITS = 5
# A log line shows no more of an invalid header.
MAX_SHOWN_BYTES = 80


def decode_notice(status: int, headers: Headers) -> Result[ServerNotice, CodecError]:
    """Return what an answer states about its server, or a CodecError if nothing of it is valid.

    An invalid header is ignored alone and named in the notice's `faults`. Only answers with status
    503 carry a time: other statuses use Retry-After for the request.
    """
    is_leaving, stated = False, {}
    for name, value in headers:
        if name == SERVER_LEAVING_HEADER:
            is_leaving |= value.strip() == LEAVING_VALUE
        elif name in _PARSERS and (name != RETRY_AFTER_HEADER or status == BUSY_STATUS):
            stated[name] = value
    if not stated:
        return Ok(ServerNotice(is_leaving=True) if is_leaving else NO_NOTICE)
    figures: dict[bytes, Any] = {}
    faults: list[CodecError] = []
    for name, value in stated.items():
        parse, expected = _PARSERS[name]
        figures[name] = parse(value)
        if figures[name] is None:
            faults.append(_fault(name, expected, value))
    if len(faults) == len(stated) and not is_leaving:
        return Err(faults[0])
    return Ok(
        ServerNotice(
            is_leaving,
            figures.get(RETRY_AFTER_HEADER),
            figures.get(WARMUP_LEFT_HEADER),
            figures.get(SERVER_LOAD_HEADER),
            tuple(faults),
        )
    )


def _fault(name: bytes, expected: str, value: bytes) -> CodecError:
    text = value[:MAX_SHOWN_BYTES].decode("latin-1")
    return CodecError(f"the header {name.decode()}", f"expected {expected}, got {text!r}")


def _parse_load(value: bytes) -> StatedLoad | None:
    """Return the figures of a load header, or None if they are malformed or absurd."""
    figures = value.split(b",", LOAD_FIGURES)
    if not LOAD_FIGURES - 1 <= len(figures) <= LOAD_FIGURES:
        return None
    counts = []
    for figure in figures:
        digits = figure.strip()
        if not digits.isdigit() or len(digits) > MAX_FIGURE_DIGITS:
            return None
        counts.append(int(digits))
    load = StatedLoad(*counts)
    # A server without slots or whose work takes no time would be divided by zero.
    return load if load.slots and load.duration_percent else None


def _parse_seconds_as_ms(value: bytes) -> int | None:
    """Return a time in seconds, with fractions, as ms; None if it is negative or no number."""
    try:
        seconds = float(value)
    except ValueError:
        return None
    if math.isnan(seconds) or seconds < 0:
        return None
    return math.ceil(min(seconds * 1000, MAX_BACKOFF_MS))


def _parse_ms(value: bytes) -> int | None:
    """Return a time in ms, at most MAX_WARMUP_MS; None if it is negative or no number."""
    try:
        left_ms = float(value)
    except ValueError:
        return None
    if math.isnan(left_ms) or left_ms < 0:
        return None
    return math.ceil(min(left_ms, MAX_WARMUP_MS))


_PARSERS: dict[bytes, tuple[Callable[[bytes], object], str]] = {
    RETRY_AFTER_HEADER: (_parse_seconds_as_ms, "seconds"),
    WARMUP_LEFT_HEADER: (_parse_ms, "ms"),
    SERVER_LOAD_HEADER: (_parse_load, "three or four counts"),
}


def encode_notice(notice: ServerNotice) -> Headers:
    """Return the headers that `decode_notice` reads, for emulated servers."""
    headers: Headers = []
    if notice.is_leaving:
        headers.append((SERVER_LEAVING_HEADER, LEAVING_VALUE))
    if notice.backoff_ms is not None:
        headers.append((RETRY_AFTER_HEADER, b"%.3f" % (notice.backoff_ms / 1000)))
    if notice.warmup_left_ms is not None:
        headers.append((WARMUP_LEFT_HEADER, b"%d" % notice.warmup_left_ms))
    if notice.load is not None:
        headers.append((SERVER_LOAD_HEADER, b"%d,%d,%d,%d" % notice.load))
    return headers
