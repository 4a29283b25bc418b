"""Define and run the small cluster of the entry scenarios."""

from nutmeglead.core.ids import ServiceName
from nutmeglead.emulator.cluster import Cluster, ClusterOptions, ServiceOptions
from nutmeglead.emulator.network import EmulatedLoop
from nutmeglead.emulator.virtual_time import run_virtual
from nutmeglead.forwarding.model import Backend, Manifest, RequestKind, Route, ServiceSpec

SERVICE = ServiceName("stock")
SERVER_COUNT = 6
NODE_COUNT = 5
# Interval at which servers write their entries; the store removes one after three intervals.
HEARTBEAT_MS = 870
ROUTE = Route(
    "lookup",
    "stock.example",
    "/s/",
    RequestKind.IDEMPOTENT,
    800,
    300,
    1,
    2,
    (Backend(SERVICE, 1.0),),
)
SPEC = ServiceSpec(SERVICE, "/health", 130, True, True, 3_000)
MANIFEST = Manifest(1, (ROUTE,), {SERVICE: SPEC})
OPTIONS = ClusterOptions(
    (ServiceOptions(SERVICE, SERVER_COUNT),), MANIFEST, NODE_COUNT, failure_domains=3
)


def run_cluster(seed, use, options=OPTIONS):
    """Start a cluster on virtual time and return the result of `use(cluster)`."""

    async def run(clock):
        cluster = Cluster(clock, seed, options)
        await cluster.start()
        return await use(cluster)

    return run_virtual(run, EmulatedLoop(seed))
