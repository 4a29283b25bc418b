"""Decide from the results of orders and requests whether a server that holds keys is lost."""

from dataclasses import dataclass

from nutmeglead.forwarding.model import ServerIncarnation

__all__ = ["HolderHealth"]

# A server is lost after this many failures and this time without an answer to any order or request.
# One order in three may stay unanswered although its server is alive.
LOST_AFTER_FAILURES = 4
LOST_AFTER_MS = 700
# A refused order or connection is stronger evidence than a missing answer.
LOST_AFTER_REFUSALS = 2
LOST_AFTER_REFUSED_MS = 350


@dataclass
class _Evidence:
    """Hold the failures and refusals since a server's last answer, and the time of that answer.

    For a server that has never answered, the time is that of its first failure.
    """

    answered_ms: int
    failures: int = 0
    refusals: int = 0


class HolderHealth:
    """Count each server's failures since its last answer to any node."""

    def __init__(self) -> None:
        self._evidence: dict[ServerIncarnation, _Evidence] = {}

    def on_answer(self, incarnation: ServerIncarnation, now_ms: int) -> None:
        """Record a server's answer to this node or another, which clears its failures."""
        self._evidence[incarnation] = _Evidence(now_ms)

    def on_failure(self, incarnation: ServerIncarnation, is_refused: bool, now_ms: int) -> None:
        """Count an order that got no answer, or that was refused if `is_refused`."""
        evidence = self._evidence.setdefault(incarnation, _Evidence(now_ms))
        evidence.failures += 1
        evidence.refusals += is_refused

    def is_lost(self, incarnation: ServerIncarnation, now_ms: int) -> bool:
        """Return whether failures or refusals and the time since the last answer reach a limit."""
        evidence = self._evidence.get(incarnation)
        if evidence is None:
            return False
        silent_ms = now_ms - evidence.answered_ms
        if evidence.refusals >= LOST_AFTER_REFUSALS and silent_ms >= LOST_AFTER_REFUSED_MS:
            return True
        return evidence.failures >= LOST_AFTER_FAILURES and silent_ms >= LOST_AFTER_MS

    def retain(self, incarnations: set[ServerIncarnation]) -> None:
        """Remove the counts of all servers that are not in `incarnations`."""
        for incarnation in set(self._evidence) - incarnations:
            del self._evidence[incarnation]
