"""Measure until when entry VMs assign requests to a server that is leaving."""

import asyncio
from dataclasses import replace

from nutmeglead.core.ids import NodeId, ServiceName
from nutmeglead.emulator.cluster import ClusterOptions, ServiceOptions
from nutmeglead.emulator.store_host import StoreFault
from nutmeglead.entry.tests.deployment import ROUTE, SERVICE, SPEC, run_cluster
from nutmeglead.forwarding.errors import Overloaded
from nutmeglead.forwarding.model import Manifest, ServerState
from nutmeglead.forwarding.request import CallerRequest
from nutmeglead.http.messages import RequestHead

ORDERS = ServiceName("orders")
# Three nodes in each failure domain, so that one of them is no hub.
NODE_COUNT = 9
SETTLE_MS = 6_000
OBSERVED_MS = 6_000
SAMPLE_MS = 10
# Longer than a round trip to the store and shorter than a hub's pause between two feed calls.
STEP_MS = 20
# After this time each hub has read a change and named it in a heartbeat.
NAMED_MS = 200
TURNED_AWAY_MS = 3_000
# After this time no node uses a server whose entry has gone, and its keys have moved.
LEFT_MS = 1_600
DOWN_MS = 500
# The store's answer has arrived, and the next call waits for the end of the pause.
BEFORE_SILENCE_MS = 100
# After an outage of the store, changes have to arrive in time again after this time.
STABLE_WINDOW_MS = 3_000
# Longer than the longest pause between failed calls to the store.
REGAINED_MS = 1_000
# The first failure domain has a third node, which these two serve.
HUBS_OF_A_DOMAIN = (NodeId("entry-0"), NodeId("entry-3"))
OPTIONS = ClusterOptions(
    (ServiceOptions(SERVICE, 6), ServiceOptions(ORDERS, 4, has_keys=False)),
    Manifest(1, (ROUTE,), {SERVICE: SPEC, ORDERS: replace(SPEC, name=ORDERS, has_keys=False)}),
    NODE_COUNT,
    failure_domains=3,
)


async def pause(duration_ms):
    await asyncio.sleep(duration_ms / 1000)


class LeavingRun:
    """Let a server leave during a trouble, and sample on each calm node whether it gets requests.

    `last_assigned_ms` is the age of the announcement at the last assignment, by node. A trouble adds
    the nodes that it disturbs to `disturbed`.
    """

    def __init__(self, seed, service=SERVICE):
        self.seed = seed
        self.service = service
        self.disturbed = set()
        self.last_assigned_ms = {}

    def run(self, trouble):
        run_cluster(self.seed, lambda cluster: self._run(cluster, trouble), OPTIONS)

    async def _run(self, cluster, trouble):
        self.cluster = cluster
        await pause(SETTLE_MS)
        self.server_id = self._choose_server()
        self.key = self._held_key()
        # A trouble begins the leaving before it ends, unless it raises an error.
        await trouble(self)
        end_ms = self.announced_ms + OBSERVED_MS
        while cluster.clock.now_ms() < end_ms:
            for node_id, process in list(cluster.nodes.items()):
                if node_id not in self.disturbed:
                    await self._sample(node_id, process)
            await pause(SAMPLE_MS)

    def _choose_server(self):
        if self.service == SERVICE:
            return self.cluster.server_with_most_keys(SERVICE)
        servers = self.cluster.servers.items()
        return min(server_id for server_id, server in servers if server.record.service == ORDERS)

    def _held_key(self):
        holds = self.cluster.servers[self.server_id].keys.holds
        return holds[0].first if holds else 0

    async def _sample(self, node_id, process):
        now_ms = self.cluster.clock.now_ms()
        dispatch = process.forwarder.services.get(self.service)
        if dispatch is None:
            # The node has just started and knows no manifest yet.
            return
        others = {
            incarnation
            for incarnation in dispatch.upstreams
            if incarnation.server_id != self.server_id
        }
        # Without time left, a request that finds no server is refused at once.
        request = CallerRequest(
            RequestHead(b"GET", b"/s/"), b"", b"r1", ROUTE, 1, self.key, now_ms, now_ms
        )
        try:
            upstream = await dispatch.acquire(request, frozenset(others))
        except Overloaded:
            return
        dispatch.release(upstream)
        if upstream.record.server_id == self.server_id:
            self.last_assigned_ms[node_id] = now_ms - self.announced_ms

    # ---- steps of troubles ----

    def announce(self):
        """Let the server announce that it is leaving."""
        self.announced_ms = self.cluster.clock.now_ms()
        self.cluster.servers[self.server_id].keys.is_busy = True
        self.cluster.write_entry(self.server_id, ServerState.LEAVING)

    def remove(self):
        """Let the server leave without an announcement: its entry goes, and it serves on."""
        self.announced_ms = self.cluster.clock.now_ms()
        self.cluster.remove_entry(self.server_id)

    def state_leaving(self):
        """Let the server state in its answers that it is leaving; its entry goes on saying ready."""
        self.announced_ms = self.cluster.clock.now_ms()
        self.cluster.servers[self.server_id].keys.is_busy = True
        self.cluster.servers[self.server_id].host.states_leaving = True

    def change_another_entry(self):
        """Write the entry of another server, after which the hubs pause before the next feed call."""
        others = [server_id for server_id in self.cluster.servers if server_id != self.server_id]
        self.cluster.write_entry(others[0])

    def kill(self, node_ids):
        for node_id in node_ids:
            self.disturbed.add(node_id)
            self.cluster.kill_node(node_id)

    async def restart_without_store(self, node_id):
        """Start a node again once the server has left and the store has fallen silent."""
        await pause(LEFT_MS)
        self.cluster.store.fault = StoreFault.SILENT
        self.cluster.kill_node(node_id)
        await pause(DOWN_MS)
        await self.cluster.start_node(node_id)

    def disconnect_hubs(self):
        for node_id in HUBS_OF_A_DOMAIN:
            self.disturbed.add(node_id)
            self.cluster.disconnect_host(self.cluster.node_ip(node_id))

    async def turn_hubs_away(self):
        """Let the store refuse the calls of a domain's hubs for a while, and answer them again."""
        self.disturbed.update(HUBS_OF_A_DOMAIN)
        self.cluster.set_store_faults(HUBS_OF_A_DOMAIN, StoreFault.BUSY)
        # The feed calls that wait at the store return, and the next ones are refused.
        self.change_another_entry()
        await pause(TURNED_AWAY_MS)
        self.cluster.set_store_faults(HUBS_OF_A_DOMAIN, StoreFault.NONE)
        await pause(REGAINED_MS)

    async def silence_store_after_change(self, silent_ms):
        """Let the store swallow the calls that the hubs make after a change."""
        self.change_another_entry()
        await pause(BEFORE_SILENCE_MS)
        self.cluster.store.fault = StoreFault.SILENT
        await pause(silent_ms)
        self.cluster.store.fault = StoreFault.NONE


class Troubles:
    """Hold a method per trouble, named as in the step text."""

    async def nothing_else_happens(self, run):
        run.announce()

    async def its_entry_goes_without_an_announcement(self, run):
        run.remove()

    async def only_its_answers_say_so(self, run):
        run.state_leaving()

    async def only_its_answers_say_so_and_the_acting_node_is_killed(self, run):
        run.kill([run.cluster.acting(SERVICE)])
        run.state_leaving()

    async def a_node_starts_again_while_the_store_is_silent(self, run):
        run.remove()
        await run.restart_without_store(NodeId("entry-6"))

    async def a_hub_starts_again_while_the_store_is_silent(self, run):
        run.remove()
        await run.restart_without_store(HUBS_OF_A_DOMAIN[0])

    async def the_acting_node_is_killed(self, run):
        run.kill([run.cluster.acting(SERVICE)])
        run.announce()

    async def the_hubs_of_a_domain_are_killed(self, run):
        run.kill(HUBS_OF_A_DOMAIN)
        run.announce()

    async def the_hubs_of_a_domain_fall_silent(self, run):
        run.disconnect_hubs()
        run.announce()

    async def the_hubs_of_a_domain_fall_silent_just_after(self, run):
        run.announce()
        await pause(NAMED_MS)
        run.disconnect_hubs()

    async def the_store_turned_its_hubs_away_just_before(self, run):
        await run.turn_hubs_away()
        run.remove()

    async def the_store_turned_its_hubs_away_just_before_and_answers_are_lost(self, run):
        await run.turn_hubs_away()
        run.cluster.store.lost_answers = 3
        run.remove()

    async def answers_of_the_store_are_lost(self, run):
        run.cluster.store.lost_answers = 3
        run.announce()

    async def answers_are_lost_and_another_entry_has_just_changed(self, run):
        run.cluster.store.lost_answers = 3
        run.change_another_entry()
        await pause(STEP_MS)
        run.announce()

    async def answers_are_lost_and_the_hubs_of_a_domain_are_killed(self, run):
        run.cluster.store.lost_answers = 3
        run.kill(HUBS_OF_A_DOMAIN)
        run.announce()

    async def the_store_was_silent_for_1_s_after_a_change(self, run):
        await run.silence_store_after_change(1_000)
        await pause(STABLE_WINDOW_MS)
        run.announce()

    async def the_store_was_silent_for_8_s_after_a_change(self, run):
        await run.silence_store_after_change(8_000)
        await pause(STABLE_WINDOW_MS)
        run.announce()

    async def the_store_was_silent_after_a_change_and_the_checking_hubs_are_killed(self, run):
        await run.silence_store_after_change(1_000)
        run.kill([NodeId("entry-0"), NodeId("entry-1")])
        await pause(STABLE_WINDOW_MS)
        run.announce()
