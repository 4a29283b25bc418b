"""Stop a node of a cluster while its callers send requests ahead."""

import asyncio
from dataclasses import replace
from functools import partial

from nutmeglead.core.ids import NodeId, ServiceName
from nutmeglead.emulator.cluster import FRONT_PORT, ClusterOptions, ServiceOptions
from nutmeglead.emulator.hosts import HOST
from nutmeglead.emulator.pipelined_callers import PipelinedCallers
from nutmeglead.emulator.server_host import ServerOptions
from nutmeglead.entry.tests.deployment import ROUTE, SERVICE, SPEC, run_cluster
from nutmeglead.forwarding.model import Backend, Manifest
from nutmeglead.http.channel import ByteChannel
from nutmeglead.http.messages import RequestHead
from nutmeglead.platform.wire import DEADLINE_HEADER, KEY_HEADER, REQUEST_ID_HEADER

ORDERS = ServiceName("orders")
CALLER_IP = "10.9.0.1"
STOPPED = NodeId("entry-0")
SETTLE_S = 6
LOAD_S = 2
# Callers stay until the process is gone.
OBSERVED_S = 8
# Callers learn of a disturbance within this time.
DISTURBED_S = 0.5
STEP_OF_KEYS = 9_973


class StoppedNode:
    """Stop one node, and hold which requests at servers got no answer from it."""

    def __init__(self, has_keys, deadline_ms=800):
        self._service = SERVICE if has_keys else ORDERS
        self.deadline_ms = deadline_ms
        self.servers = ServerOptions()
        # Called with the cluster just before the stop.
        self.disturb = lambda cluster: None

    def run(self, seed, depth, connections=4):
        """Send requests to the node on some connections, and stop it after `LOAD_S`."""
        self._run_cluster(seed, partial(self._stop_under_load, depth, connections))

    def run_with_late_body(self, seed, begin_ms, arrival_ms):
        """Stop the node before the body of a request arrives, and keep what its caller receives."""
        self._run_cluster(seed, partial(self._stop_before_body, begin_ms, arrival_ms))

    def _run_cluster(self, seed, use):
        route = replace(ROUTE, backends=(Backend(self._service, 1.0),), timeout_ms=self.deadline_ms)
        specs = {SERVICE: SPEC, ORDERS: replace(SPEC, name=ORDERS, has_keys=False)}
        options = ClusterOptions(
            (
                ServiceOptions(SERVICE, 6, self.servers),
                ServiceOptions(ORDERS, 6, self.servers, has_keys=False),
            ),
            Manifest(1, (route,), specs),
        )
        run_cluster(seed, use, options)

    async def _stop_under_load(self, depth, connections, cluster):
        await asyncio.sleep(SETTLE_S)
        self.callers = PipelinedCallers(
            "ahead",
            (cluster.node_ip(STOPPED), FRONT_PORT),
            depth,
            self._head,
            cluster.clock,
        )
        HOST.set(CALLER_IP)
        load = asyncio.create_task(self.callers.run(LOAD_S + OBSERVED_S, connections))
        await asyncio.sleep(LOAD_S)
        self.disturb(cluster)
        await asyncio.sleep(DISTURBED_S)
        started_ms = cluster.clock.now_ms()
        self.cut_off = await cluster.stop_node(STOPPED)
        self.duration_ms = cluster.clock.now_ms() - started_ms
        await load
        run_counts = cluster.executions.run_counts
        self.lost = [cut.request_id for cut in self.callers.cut if run_counts[cut.request_id]]

    def servers_of(self, cluster):
        """Return the servers of the requests' service."""
        return [s for s in cluster.servers.values() if s.record.service == self._service]

    async def _stop_before_body(self, begin_ms, arrival_ms, cluster):
        await asyncio.sleep(SETTLE_S)
        HOST.set(CALLER_IP)
        address = (cluster.node_ip(STOPPED), FRONT_PORT)
        _, channel = await asyncio.get_running_loop().create_connection(ByteChannel, *address)
        head = self._head("late-1")
        fields = [*head.headers, (REQUEST_ID_HEADER, b"late-1"), (b"content-length", b"4")]
        lines = [b"POST /s/x HTTP/1.1", *(name + b": " + value for name, value in fields)]
        stopping = asyncio.create_task(cluster.stop_node(STOPPED))
        await asyncio.sleep(begin_ms / 1000)
        await channel.write(b"\r\n".join(lines) + b"\r\n\r\n")
        for _ in range(4):
            await asyncio.sleep(arrival_ms / 4 / 1000)
            await channel.write(b"x")
        self.received = b""
        while data := await channel.read():
            self.received += data
        channel.abort()
        await stopping
        self.run_count = cluster.executions.run_counts["late-1"]

    def _head(self, request_id):
        key = int(request_id.rpartition("-")[2]) * STEP_OF_KEYS % 65_536
        headers = [
            (b"host", b"stock.example"),
            (DEADLINE_HEADER, b"%d" % self.deadline_ms),
            (KEY_HEADER, b"%d" % key),
        ]
        return RequestHead(b"GET", b"/s/x", headers)
