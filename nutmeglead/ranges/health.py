"""Tell from orders and answers whether a server that holds keys is lost."""

from dataclasses import dataclass

from nutmeglead.forwarding.model import ServerIncarnation

__all__ = ["HolderHealth"]

# One order in three may stay unanswered although its server lives; a server that answers any
# order or request within this time is not lost.
LOST_AFTER_FAILURES = 4
LOST_AFTER_MS = 700
# A refused connection is stronger evidence than silence.
LOST_AFTER_REFUSALS = 2
REFUSED_AFTER_MS = 350


@dataclass
class _Evidence:
    answered_ms: int
    failures: int = 0
    refusals: int = 0


class HolderHealth:
    """Count failures since each server's last answer to anyone."""

    def __init__(self) -> None:
        self._evidence: dict[ServerIncarnation, _Evidence] = {}

    def on_answer(self, incarnation: ServerIncarnation, now_ms: int) -> None:
        """Note an answer, to this node or to another."""
        self._evidence[incarnation] = _Evidence(now_ms)

    def on_failure(self, incarnation: ServerIncarnation, is_refused: bool, now_ms: int) -> None:
        """Note an order without an answer, or a connection that was refused."""
        evidence = self._evidence.setdefault(incarnation, _Evidence(now_ms))
        evidence.failures += 1
        evidence.refusals += is_refused

    def is_lost(self, incarnation: ServerIncarnation, now_ms: int) -> bool:
        """Tell whether the server must be taken for lost."""
        evidence = self._evidence.get(incarnation)
        if evidence is None:
            return False
        silent_ms = now_ms - evidence.answered_ms
        if evidence.refusals >= LOST_AFTER_REFUSALS and silent_ms >= REFUSED_AFTER_MS:
            return True
        return evidence.failures >= LOST_AFTER_FAILURES and silent_ms >= LOST_AFTER_MS

    def forget(self, incarnations: set[ServerIncarnation]) -> None:
        """Drop the evidence of servers that are not among those given."""
        for incarnation in set(self._evidence) - incarnations:
            del self._evidence[incarnation]
