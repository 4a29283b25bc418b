"""Generate a Zipf workload whose hot keys change, with servers that come and go."""

import math
import random
from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum

from nutmeglead.placement.hotkeys import HotKeyFinder

__all__ = ["Change", "Round", "Trace", "TraceSettings"]

HOT_KEYS = 240


@dataclass(frozen=True)
class TraceSettings:
    """Describe a trace; rounds before `warm_up_rounds` are not measured."""

    servers: int
    keys: int
    exponent: float
    requests_per_server_s: int = 1000
    warm_up_rounds: int = 12
    rounds: int = 60
    round_ms: int = 5000
    # This part of the hottest 240 keys is replaced every `hot_change_rounds` rounds.
    hot_change_part: float = 0.25
    hot_change_rounds: int = 12


class Change(Enum):
    """Name what changes at the start of a round."""

    HOT_KEYS = "hot keys change"
    LOST = "server lost"
    RETURNED = "server returned"
    JOINED = "server joined"
    LEAVING = "server leaving"


@dataclass(frozen=True)
class Round:
    """Hold one round: true rates per key, and the requests that routers counted."""

    number: int
    now_ms: int
    changes: tuple[Change, ...]
    rates: list[float]
    counts: list[int]
    # What the sketch of hot keys found in a sample of the round's requests.
    hot_counts: list[tuple[str, int]]
    sample_requests: int


class Trace:
    """Produce the same rounds for every strategy from one seed."""

    SAMPLE_REQUESTS = 60_000

    def __init__(self, settings: TraceSettings, seed: int) -> None:
        self.settings = settings
        self._rng = random.Random(seed)
        self.names = [f"part-{number}" for number in range(settings.keys)]
        weights = [rank**-settings.exponent for rank in range(1, settings.keys + 1)]
        total = settings.requests_per_server_s * settings.servers
        scale = total / sum(weights)
        self._rates_by_rank = [weight * scale for weight in weights]
        self._key_of_rank = list(range(settings.keys))
        self._rng.shuffle(self._key_of_rank)

    @property
    def total_rate(self) -> float:
        """Return the requests/s of all keys."""
        return float(self.settings.requests_per_server_s * self.settings.servers)

    @property
    def top_rate(self) -> float:
        """Return the requests/s of the hottest key."""
        return self._rates_by_rank[0]

    def rounds(self) -> Iterator[Round]:
        """Generate the rounds; call once."""
        settings = self.settings
        seconds = settings.round_ms / 1000.0
        finder = HotKeyFinder(HOT_KEYS, 1, self._rng)
        for number in range(settings.warm_up_rounds + settings.rounds):
            changes = self._changes(number - settings.warm_up_rounds)
            if Change.HOT_KEYS in changes:
                self._change_hot_keys()
            rates = [0.0] * settings.keys
            for rank, key in enumerate(self._key_of_rank):
                rates[key] = self._rates_by_rank[rank]
            counts = [_poisson(rate * seconds, self._rng) for rate in rates]
            sample = self._rng.choices(self.names, weights=rates, k=self.SAMPLE_REQUESTS)
            now_ms = (number + 1) * settings.round_ms
            for name in sample:
                finder.count(name)
            hot = finder.take_window()
            yield Round(number, now_ms, changes, rates, counts, hot, len(sample))

    def _changes(self, number: int) -> tuple[Change, ...]:
        planned = {
            20: Change.LOST,
            30: Change.RETURNED,
            40: Change.JOINED,
            50: Change.LEAVING,
        }
        changes = [planned[number]] if number in planned else []
        if number > 0 and number % self.settings.hot_change_rounds == 0:
            changes.append(Change.HOT_KEYS)
        return tuple(changes)

    def _change_hot_keys(self) -> None:
        """Swap some of the hottest keys with keys of any lower rank."""
        ranks = self._rng.sample(range(HOT_KEYS), int(HOT_KEYS * self.settings.hot_change_part))
        for rank in ranks:
            other = self._rng.randrange(HOT_KEYS, self.settings.keys)
            keys = self._key_of_rank
            keys[rank], keys[other] = keys[other], keys[rank]


def _poisson(mean: float, rng: random.Random) -> int:
    if mean > 30.0:
        return max(0, round(rng.gauss(mean, math.sqrt(mean))))
    limit = math.exp(-mean)
    product = rng.random()
    count = 0
    while product > limit:
        product *= rng.random()
        count += 1
    return count
