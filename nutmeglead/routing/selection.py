"""Choose among several allowed servers by own in-flight counts and aged load hints."""

import random
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass

from nutmeglead.core.ids import ServerId
from nutmeglead.core.rate import RateBudget
from nutmeglead.core.registry import Registry

__all__ = [
    "SELECTION",
    "LoadHints",
    "ProbeBudget",
    "Selector",
    "choose_least_in_flight",
    "choose_random",
]

# Load reports lag by about one report interval; after 2 s a hint says nothing of the present load.
HINT_MAX_AGE_MS = 2000


@dataclass(frozen=True)
class _Hint:
    load: float
    reported_ms: int


class LoadHints:
    """Keep the last reported load per server and discount it with age."""

    def __init__(self) -> None:
        self._hints: dict[ServerId, _Hint] = {}

    def report(self, server_id: ServerId, load: float, now_ms: int) -> None:
        """Record a load report; the load is in requests in progress."""
        self._hints[server_id] = _Hint(load, now_ms)

    def aged(self, server_id: ServerId, now_ms: int) -> float:
        """Return the load times a weight that falls from 1 to 0 over HINT_MAX_AGE_MS."""
        hint = self._hints.get(server_id)
        if hint is None:
            return 0.0
        age_ms = max(0, now_ms - hint.reported_ms)
        return hint.load * max(0.0, 1 - age_ms / HINT_MAX_AGE_MS)


Selector = Callable[
    [Sequence[ServerId], Mapping[ServerId, int], LoadHints, int, random.Random], ServerId
]

SELECTION: Registry[Selector] = Registry("selection")


@SELECTION.register("least_in_flight")
def choose_least_in_flight(
    candidates: Sequence[ServerId],
    in_flight: Mapping[ServerId, int],
    hints: LoadHints,
    now_ms: int,
    rng: random.Random,
) -> ServerId:
    """Return the server with the fewest own requests; hints, then chance, break ties.

    Own counts come first because they are exact; a hint may be older than the load it describes.
    """

    def order(server_id: ServerId) -> tuple[int, float, float]:
        return in_flight.get(server_id, 0), hints.aged(server_id, now_ms), rng.random()

    return min(candidates, key=order)


@SELECTION.register("random")
def choose_random(
    candidates: Sequence[ServerId],
    in_flight: Mapping[ServerId, int],
    hints: LoadHints,
    now_ms: int,
    rng: random.Random,
) -> ServerId:
    """Return any server; the naive baseline."""
    return rng.choice(candidates)


class ProbeBudget(RateBudget):
    """Allow a bounded number of probes per second over all servers.

    A probe costs about 6 ms; at 5 per second probes take 3% of one connection's time.
    """

    def __init__(self, probes_per_s: float = 5.0) -> None:
        super().__init__(probes_per_s)
