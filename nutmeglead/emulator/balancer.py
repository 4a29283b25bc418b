"""Send callers to the entry VMs that say they are ready, as the platform's balancer does."""

import asyncio
import random
from collections.abc import Callable, Mapping

from result import Ok

from nutmeglead.http.client import HttpFetcher
from nutmeglead.http.messages import RequestHead
from nutmeglead.platform.wire import READY_TARGET

__all__ = ["Balancer"]

PROBE_INTERVAL_S = 1.0
PROBE_TIMEOUT_MS = 900
# So many probes in a row without a 200 take a node out of rotation.
MAX_MISSES = 2

Address = tuple[str, int]


class Balancer:
    """Probe the entry VMs; `nodes` returns their ready ports by address of their front ports."""

    def __init__(self, nodes: Callable[[], Mapping[Address, Address]]) -> None:
        self._nodes = nodes
        self._misses: dict[Address, int] = {}
        self._fetcher = HttpFetcher(max_idle_count=1)

    def choose(self, rng: random.Random) -> Address | None:
        """Return a front port; with too few ready nodes any may be chosen."""
        all_nodes = list(self._nodes())
        ready = [front for front in all_nodes if self._misses.get(front, MAX_MISSES) < MAX_MISSES]
        chosen = ready if 2 * len(ready) >= len(all_nodes) else all_nodes
        return rng.choice(chosen) if chosen else None

    async def run(self) -> None:
        """Probe until cancelled."""
        while True:
            nodes = dict(self._nodes())
            await asyncio.gather(*(self._probe(front, ready) for front, ready in nodes.items()))
            await asyncio.sleep(PROBE_INTERVAL_S)

    async def _probe(self, front: Address, ready: Address) -> None:
        head = RequestHead(b"GET", READY_TARGET)
        fetched = await self._fetcher.fetch(*ready, head, b"", PROBE_TIMEOUT_MS)
        is_ready = isinstance(fetched, Ok) and fetched.ok_value[0].status == 200
        self._misses[front] = 0 if is_ready else self._misses.get(front, 0) + 1
