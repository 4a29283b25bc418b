"""Plan what a stopping process still does, from what is left of its grace."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["StopSchedule"]

# After SIGTERM the load balancer needs two readiness checks, one a second, to remove a node.
LEAVE_ROTATION_MS = 2_300
# What is sent to a server later than this after SIGTERM has to be answered by it.
LAST_START_MS = 3_000
# Longest time, and part of the grace, that is left for closing everything but the front server.
MAX_CLOSE_MS, CLOSE_SHARE = 500, 1 / 12
# The same for the time before that in which the last answers are sent. Servers that are still at
# work in the last sixth of the grace may be given up.
MAX_LAST_ANSWERS_MS, LAST_ANSWERS_SHARE = 250, 1 / 24


@dataclass(frozen=True)
class StopSchedule:
    """Hold the times of a planned stop.

    Until `rotation_end_ms` new connections are accepted, and until `last_start_ms` requests are
    sent to servers. Until `answers_due_ms` each request is answered, if need be by this node. At
    `end_ms` the connections that remain are aborted.
    """

    rotation_end_ms: int
    last_start_ms: int
    answers_due_ms: int
    end_ms: int

    @classmethod
    def plan(cls, begun_ms: int, grace_ms: int) -> StopSchedule:
        """Return the times of a stop that was asked for at `begun_ms`."""
        end_ms = begun_ms + grace_ms - round(min(MAX_CLOSE_MS, grace_ms * CLOSE_SHARE))
        last_answers_ms = min(MAX_LAST_ANSWERS_MS, grace_ms * LAST_ANSWERS_SHARE)
        answers_due_ms = end_ms - round(last_answers_ms)
        return cls(
            min(begun_ms + LEAVE_ROTATION_MS, answers_due_ms),
            min(begun_ms + LAST_START_MS, answers_due_ms),
            answers_due_ms,
            end_ms,
        )
