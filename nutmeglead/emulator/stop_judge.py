"""Judge what a stopping entry process passed on late and then gave up."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

__all__ = ["LATE_MS", "GivenUp", "TimedRequest", "requests_given_up", "requests_unanswered"]

# From this time after SIGTERM on, what is passed on has to get its server's answer.
LATE_MS = 3_000
# Servers that are still at work in the last part of the grace may be given up, by a request that
# was sent no later than LATE_MS after SIGTERM.
LAST_SHARE = 1 / 6
# A request that ends within this time after its last byte was sent may not have been read.
CROSSING_MS = 200


@dataclass
class TimedRequest:
    """Hold when a caller sent a request and how it ended; times are in ms, 0 if not yet.

    `status` is that of the whole answer, or 0 without one.
    """

    request_id: str
    way: str = ""
    begun_ms: int = 0
    written_ms: int = 0
    ended_ms: int = 0
    status: int = 0
    is_from_server: bool = False
    # Whether it was sent behind a request of its connection that had no answer.
    is_behind: bool = False


@dataclass(frozen=True)
class GivenUp:
    """A request that was passed on late and got no answer of its server.

    `is_excused` tells whether the server was at work in the last part of the grace on a request
    that was sent early enough.
    """

    request: TimedRequest
    stop_ms: int
    passed_on_ms: int
    is_excused: bool

    def __str__(self) -> str:
        request = self.request
        times = (request.begun_ms, request.written_ms, self.passed_on_ms, request.ended_ms)
        begun, written, passed_on, ended = (each - self.stop_ms for each in times)
        return (
            f"{request.request_id} ({request.way}): begun {begun}, written {written}, passed on "
            f"{passed_on}, ended with {request.status} {ended} ms after the stop began"
        )


def requests_given_up(
    requests: Iterable[TimedRequest],
    passed_on_ms: Mapping[str, int],
    stop_ms: int,
    grace_ms: int,
    deadline_ms: int,
) -> list[GivenUp]:
    """Return the requests that were passed on late and neither answered nor out of time.

    `passed_on_ms` holds when a server last accepted a request, by its id.
    """
    found = []
    for request in requests:
        at_ms = passed_on_ms.get(request.request_id, 0)
        is_out_of_time = request.ended_ms - request.begun_ms >= deadline_ms
        if at_ms <= stop_ms + LATE_MS or request.is_from_server or is_out_of_time:
            continue
        was_sent_early = request.written_ms <= stop_ms + LATE_MS
        was_last = request.ended_ms >= stop_ms + grace_ms * (1 - LAST_SHARE)
        found.append(GivenUp(request, stop_ms, at_ms, was_sent_early and was_last))
    return found


def requests_unanswered(requests: Iterable[TimedRequest]) -> list[TimedRequest]:
    """Return the first requests of their connections that were whole and ended without an answer.

    A request that crosses the end of its connection is left out.
    """
    return [
        each
        for each in requests
        if each.written_ms
        and not each.is_behind
        and not each.status
        and each.ended_ms > each.written_ms + CROSSING_MS
    ]
