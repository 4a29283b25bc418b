"""Measure when entry VMs apply the versions of a large manifest over links of limited rate."""

import asyncio
import random
from dataclasses import replace

from nutmeglead.core.events import Event
from nutmeglead.core.ids import NodeId
from nutmeglead.emulator.links import SEGMENT_BYTES
from nutmeglead.emulator.store_host import StoreFault
from nutmeglead.entry.node_rows import NODES_TABLE
from nutmeglead.entry.tests.deployment import MANIFEST, OPTIONS, ROUTE, run_cluster
from nutmeglead.platform.wire import MANIFEST_TABLE, SERVERS_TABLE

# Until then, nodes that take copies may still have a feed call at the store from their start.
SETTLE_S = 20
NODE_COUNT = 8
ROUTE_COUNT = 2_900
FREE_LINK_BYTES_PER_S = 500_000
OBSERVED_S = 6
SAMPLE_S = 0.02
# After this time each hub has read a change and named it in a heartbeat.
NAMED_S = 0.2
# An address of servers or callers, whose data fills a link.
ELSEWHERE = "10.9.0.1"
FILL_INTERVAL_S = 0.01
# After this time on a full link, a node has no recent heartbeat of a hub.
UNHEARD_S = 2
# A node counts as calm again this long after its start.
STABLE_WINDOW_S = 3
# An outage in which the feed calls end that were made 15 s before, after a change.
BEFORE_OUTAGE_S = 12.5
OUTAGE_S = 4.5
# The hubs have the change, and have not made their next feed calls yet.
JUST_BEFORE_OUTAGE_S = 0.03
SHORT_OUTAGE_S = 2.0
# The first two nodes of both failure domains; each node is in the domain of its number modulo 2.
HUBS = [NodeId(f"entry-{number}") for number in range(4)]
LARGE_OPTIONS = replace(OPTIONS, nodes=NODE_COUNT, failure_domains=2)


def large_manifest(rng, route_count=ROUTE_COUNT):
    """Return a manifest whose routes have random names and prefixes."""
    names = [f"{rng.getrandbits(40):010x}" for _ in range(route_count)]
    routes = tuple(replace(ROUTE, name=f"r-{name}", prefix=f"/{name}/s/") for name in names)
    return replace(MANIFEST, routes=routes)


class ManifestRun:
    """Change the manifest during a trouble, and sample which version each calm node has in force.

    `latest_ms` is by version the longest time from its acknowledgement until a calm node had it or a
    newer one. A trouble adds the nodes that it disturbs to `disturbed`.
    """

    def __init__(self, seed, events):
        self.rng = random.Random(seed)
        self.seed = seed
        self.events = events
        self.manifest = large_manifest(self.rng)
        self.disturbed = set()
        self.acknowledged_ms = {}
        self.latest_ms = {}

    def run(self, trouble):
        options = replace(LARGE_OPTIONS, manifest=self.manifest)
        run_cluster(self.seed, lambda cluster: self._run(cluster, trouble), options)

    async def _run(self, cluster, trouble):
        self.cluster = cluster
        await asyncio.sleep(SETTLE_S)
        assert {p.manifest_version() for p in cluster.nodes.values()} == {1}, "not settled"
        for node_id in cluster.node_ids:
            if node_id not in HUBS:
                cluster.network.links.set_rate(cluster.node_ip(node_id), FREE_LINK_BYTES_PER_S)
        self.events.lines.clear()
        task = asyncio.get_running_loop().create_task(trouble(self))
        end_ms = cluster.clock.now_ms() + OBSERVED_S * 1000
        while cluster.clock.now_ms() < end_ms or not task.done():
            self._sample()
            await asyncio.sleep(SAMPLE_S)
        await task
        self.calm_ips = {
            cluster.node_ip(node_id) for node_id in cluster.nodes if node_id not in self.disturbed
        }

    def _sample(self):
        in_force = [
            process.manifest_version()
            for node_id, process in self.cluster.nodes.items()
            if node_id not in self.disturbed
        ]
        for version, acknowledged_ms in self.acknowledged_ms.items():
            if version > min(in_force):
                self.latest_ms[version] = self.cluster.clock.now_ms() - acknowledged_ms

    # ---- steps of troubles ----

    def put(self, routes):
        self.manifest = replace(
            self.manifest, version=self.manifest.version + 1, routes=tuple(routes)
        )
        self.cluster.put_manifest(self.manifest)
        self.acknowledged_ms[self.manifest.version] = self.cluster.clock.now_ms()

    def change_a_route(self):
        routes = list(self.manifest.routes)
        number = self.rng.randrange(len(routes))
        routes[number] = replace(routes[number], timeout_ms=routes[number].timeout_ms + 10)
        self.put(routes)

    async def fill_links(self):
        """Keep the links of one node of each domain full of other data in both directions."""
        ips = [self.cluster.node_ip(node_id) for node_id in self.cluster.node_ids[-2:]]
        # The loop holds tasks by weak references only.
        self.fill_task = asyncio.get_running_loop().create_task(self._fill_links(ips))
        await asyncio.sleep(UNHEARD_S)

    async def _fill_links(self, ips):
        links, clock = self.cluster.network.links, asyncio.get_running_loop().time
        while True:
            for ip in ips:
                for hosts in ((ip, ELSEWHERE), (ELSEWHERE, ip)):
                    while not links.is_full(*hosts, clock()):
                        links.reserve(*hosts, SEGMENT_BYTES, clock())
            await asyncio.sleep(FILL_INTERVAL_S)

    def disturb_hubs(self):
        """Return the hub that serves most nodes of each domain, and count it as disturbed."""
        now_ms = self.cluster.clock.now_ms()
        hubs = [
            max(
                HUBS[domain::2],
                key=lambda hub: len(self.cluster.nodes[hub].peers.served_ids(now_ms)),
            )
            for domain in range(2)
        ]
        self.disturbed.update(hubs)
        return hubs


async def one_route_changes(run):
    run.change_a_route()


async def routes_are_added(run):
    run.put(run.manifest.routes + large_manifest(run.rng, 1_400).routes)


async def one_route_changes_often(run):
    for _ in range(12):
        run.change_a_route()
        await asyncio.sleep(0.33)


async def one_route_changes_as_a_node_starts(run):
    restarted = run.cluster.node_ids[-1]
    run.disturbed.add(restarted)
    run.cluster.kill_node(restarted)
    await asyncio.sleep(1)
    run.change_a_route()
    await run.cluster.start_node(restarted)
    await asyncio.sleep(STABLE_WINDOW_S)
    run.disturbed.remove(restarted)


async def one_route_changes_as_hubs_are_killed(run):
    hubs = run.disturb_hubs()
    run.change_a_route()
    await asyncio.sleep(NAMED_S)
    for hub in hubs:
        run.cluster.kill_node(hub)


async def one_route_changes_after_all_hubs_are_killed(run):
    run.disturbed.update(HUBS)
    for hub in HUBS:
        run.cluster.kill_node(hub)
    await asyncio.sleep(STABLE_WINDOW_S)
    run.change_a_route()


async def one_route_changes_as_hubs_are_cut_off(run):
    hubs = run.disturb_hubs()
    run.change_a_route()
    await asyncio.sleep(NAMED_S)
    for hub in hubs:
        run.cluster.disconnect_host(run.cluster.node_ip(hub))


async def one_route_changes_before_and_after_an_outage(run):
    await change_around_outage(run, BEFORE_OUTAGE_S, OUTAGE_S)


async def one_route_changes_just_before_and_after_a_short_outage(run):
    await change_around_outage(run, JUST_BEFORE_OUTAGE_S, SHORT_OUTAGE_S)


async def change_around_outage(run, before_s, outage_s):
    run.change_a_route()
    await asyncio.sleep(before_s)
    run.cluster.store.fault = StoreFault.SILENT
    await asyncio.sleep(outage_s)
    run.cluster.store.fault = StoreFault.NONE
    await asyncio.sleep(STABLE_WINDOW_S)
    run.change_a_route()
    await asyncio.sleep(OBSERVED_S)


async def one_route_changes_on_full_links(run):
    await run.fill_links()
    run.change_a_route()


async def routes_are_added_on_full_links(run):
    await run.fill_links()
    await routes_are_added(run)


async def one_route_changes_on_full_links_as_hubs_are_killed(run):
    await run.fill_links()
    await one_route_changes_as_hubs_are_killed(run)


async def one_route_changes_as_other_copies_hang(run):
    for hub in HUBS:
        for table in (SERVERS_TABLE, NODES_TABLE):
            hang_copies_of(run.cluster.nodes[hub], table)
    run.cluster.write_entry(next(iter(run.cluster.servers)))
    row = run.cluster.rows.get(NODES_TABLE, HUBS[0])
    run.cluster.rows.put(NODES_TABLE, HUBS[0], row.value)
    await asyncio.sleep(NAMED_S)
    run.change_a_route()


async def one_route_changes_as_hubs_send_no_copies(run):
    # The nodes of a domain hear both hubs, and ask the first one for copies.
    for hub in HUBS[:2]:
        hang_copies_of(run.cluster.nodes[hub], MANIFEST_TABLE)
    run.change_a_route()


def hang_copies_of(process, table):
    """Let an entry VM leave requests for copies of a table unanswered."""
    server = process._table_copies._server
    answer = server.handler

    async def answer_or_hang(exchange):
        if f"/{table}?" in exchange.head.target.decode():
            await asyncio.sleep(OBSERVED_S)
        await answer(exchange)

    server.handler = answer_or_hang


def copy_sizes(run):
    copies = run.events.fields_of(Event.TABLE_COPIED, run.calm_ips)
    return [fields["size_bytes"] for fields in copies if fields["table"] == MANIFEST_TABLE]


def silent_peers(run):
    disturbed = set(run.disturbed)
    return [
        fields
        for fields in run.events.fields_of(Event.PEER_SILENT, run.calm_ips)
        if fields["peer"] not in disturbed
    ]
