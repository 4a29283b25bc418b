"""Emulate the platform's load balancer, which probes the entry VMs for readiness."""

import asyncio
import random
from collections.abc import Callable, Mapping

from result import Ok

from nutmeglead.http.client import HttpFetcher
from nutmeglead.http.messages import RequestHead
from nutmeglead.platform.wire import READY_TARGET

__all__ = ["LoadBalancer"]

PROBE_INTERVAL_S = 1.0
PROBE_TIMEOUT_MS = 900
# Consecutive probes without a 200 after which a node is taken out of rotation.
MAX_FAILED_PROBES = 2

Address = tuple[str, int]


class LoadBalancer:
    """Probe the entry VMs for readiness, and choose a ready one for each attempt of a caller.

    `nodes` returns the address of each VM's readiness check by its front address.
    """

    def __init__(self, nodes: Callable[[], Mapping[Address, Address]]) -> None:
        self._nodes = nodes
        self._failed_probes: dict[Address, int] = {}
        self._fetcher = HttpFetcher(max_idle_count=1)

    def choose(self, rng: random.Random) -> Address | None:
        """Return the front address of a random ready node, or None if there are no nodes.

        While fewer than half of the nodes are ready, any node may be chosen.
        """
        all_nodes = list(self._nodes())
        ready = [
            front
            for front in all_nodes
            if self._failed_probes.get(front, MAX_FAILED_PROBES) < MAX_FAILED_PROBES
        ]
        candidates = ready if 2 * len(ready) >= len(all_nodes) else all_nodes
        return rng.choice(candidates) if candidates else None

    async def run(self) -> None:
        """Probe every node once per interval until cancelled."""
        while True:
            nodes = dict(self._nodes())
            await asyncio.gather(*(self._probe(front, ready) for front, ready in nodes.items()))
            await asyncio.sleep(PROBE_INTERVAL_S)

    async def _probe(self, front: Address, ready: Address) -> None:
        head = RequestHead(b"GET", READY_TARGET)
        fetched = await self._fetcher.fetch(*ready, head, b"", PROBE_TIMEOUT_MS)
        is_ready = isinstance(fetched, Ok) and fetched.ok_value[0].status == 200
        self._failed_probes[front] = 0 if is_ready else self._failed_probes.get(front, 0) + 1
