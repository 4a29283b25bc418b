"""Run seeds of the soak whose callers send slowly all through stops, to servers that need long.

python -m nutmeglead.soak.late_stop_run --first 1 --count 10 --kept-connections 16
"""

from __future__ import annotations

import asyncio
import random
import sys
from collections.abc import Iterator, Mapping
from dataclasses import replace

from nutmeglead.core.registry import Registry
from nutmeglead.emulator.balancer import LoadBalancer
from nutmeglead.emulator.late_callers import LateCallers
from nutmeglead.emulator.server_host import ServerOptions
from nutmeglead.emulator.stop_judge import requests_given_up, requests_unanswered
from nutmeglead.forwarding.model import ClientLimits, Manifest
from nutmeglead.http.exchange import CallerLimits
from nutmeglead.http.messages import RequestHead
from nutmeglead.platform.wire import DEADLINE_HEADER
from nutmeglead.soak.checks import RunCounts
from nutmeglead.soak.faults import CHANGES, RELOADS
from nutmeglead.soak.fleet import FRONT_PORT, SERVICES, EntryProgram, Fleet, ProgramRun
from nutmeglead.soak.load import SoakLoad
from nutmeglead.soak.manifest_run import ManifestFleet, ManifestLoad, ManifestRun
from nutmeglead.soak.options import SoakOptions
from nutmeglead.soak.run import main

__all__ = ["LATE_STOP_FAULTS", "LateStopRun"]

LATE_STOP_FAULTS = ("entry stopped", "entry signalled in series", RELOADS, CHANGES)
GRACE_MS = 6_000
# Longer than the work of any server and a stop, so that no time limit excuses an answer.
DEADLINE_MS = 7_000
LIMITS = ClientLimits(head_timeout_ms=3_000, idle_timeout_ms=5_000)
# A violation names at most this many requests.
MAX_NAMED = 3

WORK_TIMES: Registry[ServerOptions] = Registry("how long servers need")
WORK_TIMES.register("1 s to 3 s")(
    ServerOptions(slots=8, work_ms=1_200, long_share=0.2, long_work_ms=2_500)
)
WORK_TIMES.register("heavy tail")(
    ServerOptions(slots=8, work_ms=180, long_share=0.05, long_work_ms=2_500)
)


class LateStopFleet(ManifestFleet):
    """Give entry programs a longer grace."""

    stop_grace_ms = GRACE_MS


class LateStopLoad(ManifestLoad):
    """Own the callers that send slowly."""

    def __init__(
        self,
        fleet: Fleet,
        options: SoakOptions,
        balancer: LoadBalancer,
        rng: random.Random,
        seed: int,
    ) -> None:
        super().__init__(fleet, options, balancer, rng, seed)
        # These are closed with their idle connections, whose end requests may cross.
        self._kept = []
        self._late = [
            self._late_callers_of(f"late-{number}", entry, seed)
            for number, entry in enumerate(fleet.entries)
        ]

    def start(self, duration_s: float) -> list[asyncio.Task[None]]:
        """Start to send requests, and return the tasks that do so for `duration_s`."""
        loop, connections = asyncio.get_running_loop(), self._options.kept_connections
        late = [loop.create_task(group.run(duration_s, connections)) for group in self._late]
        return super().start(duration_s) + late

    @property
    def owed(self) -> int:
        """Return the number of requests that were sent."""
        return super().owed + sum(len(group.requests) for group in self._late)

    @property
    def in_time(self) -> int:
        """Return how many of these were answered with success."""
        answered = [each for group in self._late for _, each in group.requests]
        return super().in_time + sum(each.is_from_server for each in answered)

    def violations(self, run_counts: RunCounts) -> Iterator[Mapping[str, int]]:
        """Yield the numbers of violations by their description."""
        yield from super().violations(run_counts)
        accepted_ms = self._fleet.executions.accepted_ms
        given_up = []
        for group in self._late:
            for peer, request in group.requests:
                if peer.stop_ms is not None and peer.ended_as_planned:
                    given_up += requests_given_up(
                        [request], accepted_ms, peer.stop_ms, GRACE_MS, DEADLINE_MS
                    )
        counted = [str(each) for each in given_up if not each.is_excused]
        unanswered = requests_unanswered(each for group in self._late for _, each in group.requests)
        yield {
            f"requests passed on late in a stop were given up: {counted[:MAX_NAMED]}": len(counted),
            f"requests of slow callers got no answer: {unanswered[:MAX_NAMED]}": len(unanswered),
            "requests of slow callers got another one's answer": sum(
                group.wrong_answers for group in self._late
            ),
        }

    def _late_callers_of(
        self, name: str, entry: EntryProgram, seed: int
    ) -> LateCallers[ProgramRun]:
        def make_head(request_id: str, method: bytes) -> RequestHead:
            headers = [
                (b"host", b"soak"),
                (DEADLINE_HEADER, b"%d" % DEADLINE_MS),
                *self._key_headers(request_id),
            ]
            service = SERVICES[method == b"POST"]
            return RequestHead(method, f"/{service.name}/{request_id}".encode(), headers)

        return LateCallers(
            name,
            (entry.ip, FRONT_PORT),
            CallerLimits(**vars(LIMITS)),
            make_head,
            self._fleet.clock,
            random.Random(f"{name} of {seed}"),
            lambda: entry.run,
        )


class LateStopRun(ManifestRun):
    """Run one seed whose servers need one of the registered times, `work` or one that is drawn."""

    def __init__(self, seed: int, options: SoakOptions, work: str | None = None) -> None:
        self._work = work
        super().__init__(seed, options)

    def _make_fleet(self, seed: int, options: SoakOptions) -> ManifestFleet:
        fleet = LateStopFleet(seed, options.entries, options.servers, options.net, options.work_ms)
        drawn = random.Random(f"work of {seed}").choice(WORK_TIMES.names())
        fleet.server_options = WORK_TIMES.get(self._work or drawn)
        return fleet

    def _make_load(self, balancer: LoadBalancer) -> SoakLoad:
        return LateStopLoad(self.fleet, self._options, balancer, self.rng, self.report.seed)

    def _put_manifest(self, manifest: Manifest) -> None:
        """Write a manifest whose limits leave callers and servers enough time."""
        routes = tuple(replace(route, timeout_ms=DEADLINE_MS) for route in manifest.routes)
        super()._put_manifest(replace(manifest, routes=routes, limits=LIMITS))


if __name__ == "__main__":
    sys.exit(main(None, LateStopRun, LATE_STOP_FAULTS))
