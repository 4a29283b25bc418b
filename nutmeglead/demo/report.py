"""Count what the demo's backend servers and callers saw, and judge the promises."""

import json
from dataclasses import asdict, dataclass, field

__all__ = ["Counts", "broken_promises", "summary_line"]


@dataclass
class Counts:
    """Hold the figures of the demo's last line."""

    requests: int = 0
    answered: int = 0
    not_run: int = 0
    unknown: int = 0
    cut_answers: int = 0
    doubled_orders: int = 0
    wrong_answers: int = 0
    false_not_run: int = 0
    answered_without_run: int = 0
    two_owner_moments: int = 0
    moves: int = 0
    longest_unavailable_ms: int = 0
    cut_off_by_planned_stop: int = 0
    work_at_leaving_server: int = 0
    tickets_in_force_ms: list[int] = field(default_factory=list)


# The requirements: a key is served again within 2 s of a loss, a ticket is in force within 3 s.
MAX_UNAVAILABLE_MS = 2000
MAX_IN_FORCE_MS = 3000


def broken_promises(counts: Counts) -> list[str]:
    """Name each promise that the run broke."""
    must_be_zero = (
        "doubled_orders",
        "wrong_answers",
        "false_not_run",
        "answered_without_run",
        "two_owner_moments",
        "cut_off_by_planned_stop",
        "work_at_leaving_server",
    )
    figures = asdict(counts)
    broken = [f"{name} is {figures[name]}, expected 0" for name in must_be_zero if figures[name]]
    if counts.longest_unavailable_ms > MAX_UNAVAILABLE_MS:
        broken.append(
            f"a key had no serving owner for {counts.longest_unavailable_ms} ms, "
            f"expected at most {MAX_UNAVAILABLE_MS} ms"
        )
    for in_force_ms in counts.tickets_in_force_ms:
        if in_force_ms > MAX_IN_FORCE_MS:
            broken.append(
                f"a ticket was in force after {in_force_ms} ms, expected {MAX_IN_FORCE_MS} ms"
            )
    if not counts.answered or not counts.moves:
        broken.append("nothing was answered or nothing moved")
    return broken


def summary_line(counts: Counts) -> str:
    """Return the last line of the demo."""
    return json.dumps(asdict(counts))
