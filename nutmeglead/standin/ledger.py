"""Record what backend stand-ins ran, independently of what routers report."""

from collections import Counter
from dataclasses import dataclass, field

__all__ = ["Run", "RunLedger"]


@dataclass(frozen=True)
class Run:
    """Record one run of a request; times are those of the ledger's clock in ms."""

    service_name: str
    key: str
    request_id: str
    server_id: str
    epoch: int
    started_ms: int
    finished_ms: int


@dataclass
class RunLedger:
    """Collect the runs of all backend stand-ins of one process."""

    runs: list[Run] = field(default_factory=list)
    run_count: Counter[str] = field(default_factory=Counter)
    two_owner_moments: int = 0
    _latest: dict[tuple[str, str], Run] = field(default_factory=dict)

    def add(self, run: Run) -> None:
        """Record a run and compare it with the runs of the same key on other servers.

        Epochs of a key grow with each change of owner. A run that applies its effect after a run of
        a higher epoch on another server is a moment with two owners.
        """
        self.runs.append(run)
        self.run_count[run.request_id] += 1
        place = (run.service_name, run.key)
        latest = self._latest.get(place)
        if latest is None or run.epoch > latest.epoch:
            self._latest[place] = run
        elif run.epoch < latest.epoch or run.server_id != latest.server_id:
            self.two_owner_moments += 1

    def doubled(self, request_ids: set[str]) -> int:
        """Count the given requests that ran more than once."""
        return sum(1 for request_id in request_ids if self.run_count[request_id] > 1)
