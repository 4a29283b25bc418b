"""Run a trouble on a settled cluster, and sample what its servers hold and its nodes know."""

import asyncio

from nutmeglead.entry.tests.deployment import (
    HEARTBEAT_MS,
    OPTIONS,
    SERVER_COUNT,
    SERVICE,
    run_cluster,
)

SETTLE_MS = 6_000
RUN_MS = 12_000
SAMPLE_MS = 20


class ClusterRun:
    """Run a trouble on a settled cluster, and sample unheld keys, manifests and readiness."""

    def __init__(self, seed, options=OPTIONS, run_ms=RUN_MS):
        self.seed = seed
        self.options = options
        self.run_ms = run_ms
        self.longest_gap_ms = 0
        self.unheld_count = 0
        self.manifest_known_ms = None
        self.ready_ms = None
        self.max_store_calls = 0

    def run(self, trouble):
        run_cluster(self.seed, lambda cluster: self._run(cluster, trouble), self.options)

    async def _run(self, cluster, trouble):
        self.cluster = cluster
        clock = cluster.clock
        await asyncio.sleep(SETTLE_MS / 1000)
        assert cluster.unheld_keys() == 0, "the cluster has not settled"
        task = asyncio.get_running_loop().create_task(trouble(cluster))
        gap_since_ms = None
        start_ms = clock.now_ms()
        first_epoch = self._epoch()
        while clock.now_ms() < start_ms + self.run_ms:
            await asyncio.sleep(SAMPLE_MS / 1000)
            if cluster.unheld_keys():
                gap_since_ms = clock.now_ms() if gap_since_ms is None else gap_since_ms
                gap_ms = clock.now_ms() - gap_since_ms + SAMPLE_MS
                self.longest_gap_ms = max(self.longest_gap_ms, gap_ms)
            else:
                gap_since_ms = None
            self._record_progress(clock.now_ms() - start_ms)
        await task
        self.unheld_count = cluster.unheld_keys()
        self.role_changes = self._epoch() - first_epoch
        self.max_store_calls = max(process.store.call_count for process in cluster.nodes.values())

    def _epoch(self):
        return max(node.controllers[SERVICE].role.epoch for node in self.cluster.nodes.values())

    def _record_progress(self, age_ms):
        versions = {
            process.forwarder.manifest.version if process.forwarder.manifest else 0
            for process in self.cluster.nodes.values()
        }
        if self.manifest_known_ms is None and versions == {2}:
            self.manifest_known_ms = age_ms
        processes = list(self.cluster.nodes.values())
        if len(processes) < len(self.cluster.node_ids):
            self.ready_ms = None
        elif self.ready_ms is None and all(map(is_ready_with_all_servers, processes)):
            self.ready_ms = age_ms


def is_ready_with_all_servers(process):
    """Return whether a node is ready and has all servers in its registry."""
    service = process.forwarder.services.get(SERVICE)
    return process.is_ready and service is not None and len(service.upstreams) == SERVER_COUNT


async def pause(duration_ms):
    await asyncio.sleep(duration_ms / 1000)


async def crash_server_with_most_keys(cluster):
    """End a server; its entry goes after three of its intervals."""
    server_id = cluster.server_with_most_keys()
    cluster.crash_server(server_id)
    await pause(3 * HEARTBEAT_MS)
    cluster.remove_entry(server_id)
