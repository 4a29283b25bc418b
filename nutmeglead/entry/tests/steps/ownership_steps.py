"""Steps that check on virtual time that each key has at most one holder during a trouble."""

import asyncio
from dataclasses import replace

from behave import given, then, when

from nutmeglead.core.ids import NodeId
from nutmeglead.emulator.store_host import StoreFault
from nutmeglead.entry.tests.cluster_run import (
    SAMPLE_MS,
    SETTLE_MS,
    ClusterRun,
    crash_server_with_most_keys,
    pause,
)
from nutmeglead.entry.tests.deployment import HEARTBEAT_MS, MANIFEST, SERVICE, run_cluster
from nutmeglead.forwarding.model import ServerState
from nutmeglead.ranges.renewal import renewer_of

# One-way delay between failure domains; an order may have to open a connection first.
DELAY_MS = 4
# Above the time after which a node counts as cut off from the store, below the timeout of a call.
SLOW_STORE_MS = 1_200
# Two reads take less than half of that time, a transaction takes more.
SLOW_READ_MS = 100
SLOW_TRANSACTION_MS = 800


# Time from a new map to the fate of the node that renews an owner's grants: by then the others have
# heard that it knows the map, and its last renewals under the map before are still in flight.
HEARD_MS = 60
# The keys have another owner by then, and the kernel's general limit on unacknowledged data, 3 s after
# the last order, has not dropped what was held back.
CUT_MS = 2_800
# Time from the cut to the server's notice that it leaves: when the new map comes, the next renewals
# have just been sent.
LEAVING_DELAY_MS = 320


class Troubles:
    """Hold a method per trouble, named as in the step text."""

    async def nothing_happens(self, cluster):
        pass

    async def a_server_crashes(self, cluster):
        await crash_server_with_most_keys(cluster)

    async def a_server_falls_silent(self, cluster):
        server_id = cluster.server_with_most_keys()
        cluster.disconnect_host(cluster.servers[server_id].ip)
        await pause(3 * HEARTBEAT_MS)
        cluster.remove_entry(server_id)

    async def a_server_loses_its_entry_but_goes_on(self, cluster):
        cluster.remove_entry(cluster.server_with_most_keys())

    async def a_server_leaves(self, cluster):
        server_id = cluster.server_with_most_keys()
        cluster.servers[server_id].keys.is_busy = True
        cluster.write_entry(server_id, ServerState.LEAVING)
        await pause(2_500)
        cluster.remove_entry(server_id)

    async def a_server_starts_again_under_its_id(self, cluster):
        await cluster.restart_server(cluster.server_with_most_keys())

    async def an_owner_is_cut_off_and_its_renewer_lives_on(self, cluster):
        await self._cut_owner_off(cluster)

    async def an_owner_is_cut_off_and_its_renewer_is_killed(self, cluster):
        async def kill(node_id):
            cluster.kill_node(node_id)

        await cluster.start_node(await self._cut_owner_off(cluster, kill))

    async def an_owner_is_cut_off_and_its_renewer_is_restarted(self, cluster):
        async def restart(node_id):
            cluster.kill_node(node_id)
            await cluster.start_node(node_id)

        await self._cut_owner_off(cluster, restart)

    async def an_owner_is_cut_off_and_its_renewer_is_stopped(self, cluster):
        async def stop(node_id):
            await cluster.stop_node(node_id)

        await cluster.start_node(await self._cut_owner_off(cluster, stop))

    async def an_owner_is_cut_off_and_its_renewer_is_frozen(self, cluster):
        async def freeze(node_id):
            cluster.network.hosts.freeze(cluster.node_ip(node_id))

        node_id = await self._cut_owner_off(cluster, freeze)
        await pause(1_000)
        cluster.network.thaw_host(cluster.node_ip(node_id))

    async def an_owner_is_cut_off_and_grants_of_its_old_keys_come_300_ms_after_the_cut(
        self, cluster
    ):
        keys = cluster.servers[cluster.server_with_most_keys()].keys
        held = list(keys.holds)
        await self._cut_owner_off(cluster)
        await pause(300)
        self.late_statuses = [keys.grant(hold.first, hold.last, hold.fence, 1_200) for hold in held]

    async def _cut_owner_off(self, cluster, strike=None):
        """Cut off the server with most keys, and let `strike` end the node that renews its grants.

        Return that node. The server was about to leave, so that a new map gives its keys to others at
        once; the node is struck while its last grant under the map before is held back.
        """
        server_id = cluster.server_with_most_keys()
        server_ip = cluster.servers[server_id].ip
        controllers = [node.controllers[SERVICE] for node in cluster.nodes.values()]
        ranges = controllers[0].ranges
        renewer = renewer_of(server_id, ranges.witnesses)
        cut_ms = cluster.clock.now_ms()
        cluster.disconnect_host(server_ip)
        await pause(LEAVING_DELAY_MS)
        cluster.write_entry(server_id, ServerState.LEAVING)
        while any(controller.ranges.version == ranges.version for controller in controllers):
            await pause(1)
        await pause(HEARD_MS)
        assert self._is_grant_held_back(cluster, renewer, server_ip), "the grant was given up"
        if strike is not None:
            await strike(renewer)
        await pause(cut_ms + 3 * HEARTBEAT_MS - cluster.clock.now_ms())
        cluster.remove_entry(server_id)
        await pause(cut_ms + CUT_MS - cluster.clock.now_ms())
        cluster.reconnect_host(server_ip)
        cluster.write_entry(server_id, ServerState.LEAVING)
        return renewer

    def _is_grant_held_back(self, cluster, node_id, server_ip):
        streams = [
            stream
            for stream in cluster.network.streams
            if (stream.ip, stream.peer_ip) == (cluster.node_ip(node_id), server_ip)
        ]
        return any(map(cluster.network.has_held, streams))

    async def the_acting_node_is_killed(self, cluster):
        cluster.kill_node(cluster.acting(SERVICE))

    async def the_acting_node_is_cut_off(self, cluster):
        ip = cluster.node_ip(cluster.acting(SERVICE))
        cluster.disconnect_host(ip)
        await pause(6_000)
        cluster.reconnect_host(ip)

    async def the_acting_node_is_killed_and_a_server_falls_silent(self, cluster):
        await self.the_acting_node_is_killed(cluster)
        await self.a_server_falls_silent(cluster)

    async def the_acting_node_is_cut_off_and_a_server_falls_silent(self, cluster):
        cut = asyncio.get_running_loop().create_task(self.the_acting_node_is_cut_off(cluster))
        await self.a_server_falls_silent(cluster)
        await cut

    async def the_store_is_silent_for_9_s(self, cluster):
        await self._silence_store(cluster, 9_000)

    async def the_store_is_silent_for_60_s(self, cluster):
        await self._silence_store(cluster, 60_000)

    async def the_store_is_silent_for_20_s_and_a_node_is_lost(self, cluster):
        cluster.kill_node(cluster.node_ids[-1])
        await self._silence_store(cluster, 20_000)

    async def _silence_store(self, cluster, duration_ms):
        cluster.store.fault = StoreFault.SILENT
        await pause(duration_ms)
        cluster.store.fault = StoreFault.NONE

    async def the_store_is_silent_for_9_s_and_the_acting_node_dies(self, cluster):
        cluster.store.fault = StoreFault.SILENT
        await pause(1_000)
        await self.the_acting_node_is_killed(cluster)
        await pause(8_000)
        cluster.store.fault = StoreFault.NONE

    async def the_store_turns_the_acting_node_away_and_a_server_leaves(self, cluster):
        cluster.set_store_faults([cluster.acting(SERVICE)], StoreFault.BUSY)
        await self.a_server_leaves(cluster)

    async def the_store_does_not_answer_the_acting_node_and_a_server_leaves(self, cluster):
        node_id = cluster.acting(SERVICE)
        server_id = cluster.server_with_most_keys()
        cluster.write_entry(server_id, ServerState.LEAVING)
        # The acting node's feed has delivered the change before its store calls go unanswered.
        await pause(DELAY_MS * 3)
        cluster.set_store_faults([node_id], StoreFault.SILENT)
        await pause(2_000 - DELAY_MS * 3)
        now_ms = cluster.clock.now_ms()
        holds = cluster.servers[server_id].keys.holds
        self.holds_after_leave = [hold for hold in holds if hold.until_ms > now_ms]
        await pause(2_000)
        cluster.set_store_faults([node_id], StoreFault.NONE)

    async def the_store_is_slow_and_a_server_leaves(self, cluster):
        cluster.store.delay_ms = SLOW_STORE_MS
        await self.a_server_leaves(cluster)

    async def the_transactions_of_the_store_are_slow_and_two_servers_crash(self, cluster):
        cluster.store.delay_ms = SLOW_READ_MS
        cluster.store.transaction_delay_ms = SLOW_TRANSACTION_MS
        await self.a_server_crashes(cluster)
        await pause(4_000)
        await self.a_server_crashes(cluster)

    async def answers_of_the_store_are_lost_while_a_server_crashes(self, cluster):
        cluster.store.lost_answers = 2
        await self.a_server_crashes(cluster)

    async def a_third_of_the_orders_come_late(self, cluster):
        for server in cluster.servers.values():
            server.host.late_share = 0.33
        await pause(6_000)
        for server in cluster.servers.values():
            server.host.late_share = 0.0

    async def a_third_of_the_orders_come_late_and_a_server_leaves(self, cluster):
        late = asyncio.get_running_loop().create_task(self.a_third_of_the_orders_come_late(cluster))
        await self.a_server_leaves(cluster)
        await late

    async def the_only_server_left_was_silent_for_a_while(self, cluster):
        last = cluster.server_with_most_keys()
        cluster.disconnect_host(cluster.servers[last].ip)
        await pause(2_500)
        cluster.reconnect_host(cluster.servers[last].ip)
        await pause(500)
        for server_id in list(cluster.servers):
            if server_id != last:
                cluster.crash_server(server_id)
                cluster.remove_entry(server_id)

    async def all_nodes_are_killed(self, cluster):
        for node_id in list(cluster.nodes):
            cluster.kill_node(node_id)
        await pause(1_200)
        for node_id in cluster.node_ids:
            await cluster.start_node(node_id)

    async def all_nodes_are_killed_and_a_server_falls_silent(self, cluster):
        killed = asyncio.get_running_loop().create_task(self.all_nodes_are_killed(cluster))
        await self.a_server_falls_silent(cluster)
        await killed

    async def the_history_is_lost_while_a_server_leaves(self, cluster):
        cluster.set_store_faults(cluster.node_ids, StoreFault.BUSY)
        cluster.write_entry(cluster.server_with_most_keys(), ServerState.LEAVING)
        cluster.rows.forget_history()
        await pause(500)
        cluster.set_store_faults(cluster.node_ids, StoreFault.NONE)

    async def a_slow_clock_holds_longer_and_the_server_falls_silent(self, cluster):
        server_id = cluster.server_with_most_keys()
        cluster.servers[server_id].keys.clock_factor = 1.02
        await pause(1_500)
        # The ownership checker also counts the holds of a silent server that is up.
        await self.a_server_falls_silent(cluster)

    async def the_store_turns_two_nodes_away_and_the_manifest_changes(self, cluster):
        cluster.set_store_faults(cluster.node_ids[3:], StoreFault.BUSY)
        # The feed calls that already wait at the store return once more, with the old manifest.
        cluster.rows.put("notes", "nothing", b"")
        await pause(10)
        self._change_manifest(cluster)

    async def the_history_is_lost_and_a_node_starts_again(self, cluster):
        node_id = cluster.node_ids[-1]
        cluster.kill_node(node_id)
        cluster.rows.forget_history()
        self._change_manifest(cluster)
        await cluster.start_node(node_id)

    async def the_store_is_silent_and_a_node_starts_again(self, cluster):
        cluster.store.fault = StoreFault.SILENT
        node_id = cluster.node_ids[-1]
        cluster.kill_node(node_id)
        await pause(1_000)
        await cluster.start_node(node_id)

    def _change_manifest(self, cluster):
        cluster.put_manifest(replace(MANIFEST, version=2))


@given("a settled cluster with seed {seed:d}")
def step_cluster(context, seed):
    context.cluster_run = ClusterRun(seed)


@then("no key ever has two holders")
def step_one_holder(context):
    assert (
        not context.cluster_run.cluster.ownership_checker.faults
    ), context.cluster_run.cluster.ownership_checker.faults[:3]


@then("keys are without a holder for at most {gap_ms:d} ms")
def step_gap(context, gap_ms):
    # The measurement resolves one sample interval and two round trips of an order.
    resolution_ms = SAMPLE_MS + 4 * DELAY_MS if gap_ms else 0
    longest_ms = context.cluster_run.longest_gap_ms
    assert longest_ms <= gap_ms + resolution_ms, longest_ms


@then("it has refused all of them")
def step_refused(context):
    statuses = context.troubles.late_statuses
    assert statuses and set(statuses) == {409}, statuses


@then("at the end every key is held")
@then("after 12 s every key is held")
def step_all_held(context):
    assert context.cluster_run.unheld_count == 0, context.cluster_run.unheld_count


@then("all nodes have the new manifest within {bound_ms:d} ms")
def step_manifest(context, bound_ms):
    manifest_known_ms = context.cluster_run.manifest_known_ms
    assert manifest_known_ms is not None and manifest_known_ms <= bound_ms, manifest_known_ms


@then("the restarted node has made at most {count:d} store calls")
def step_calls(context, count):
    process = context.cluster_run.cluster.nodes[context.cluster_run.cluster.node_ids[-1]]
    assert process.store.call_count <= count, process.store.call_count


@when("the trouble is that {trouble}")
def step_trouble(context, trouble):
    context.troubles = Troubles()
    context.cluster_run.run(getattr(context.troubles, trouble.replace(" ", "_")))


@then("every node is ready within {bound_ms:d} ms and knows all servers")
def step_ready(context, bound_ms):
    ready_ms = context.cluster_run.ready_ms
    # The node is down for the first second.
    assert ready_ms is not None and ready_ms <= 1_000 + bound_ms, ready_ms


@then("the leaving server holds no key after 2000 ms")
def step_no_holds(context):
    assert not context.troubles.holds_after_leave, context.troubles.holds_after_leave


@then("no other node takes the role")
def step_role(context):
    assert context.cluster_run.role_changes == 0, context.cluster_run.role_changes


@given("5 nodes, of which {killed} is killed and {cut} is cut off for {time_s:d} s")
def step_gone(context, killed, cut, time_s):
    def listed(cluster):
        rows = cluster.rows.rows.items()
        return sorted(name[2] for name, row in rows if name[0] == "nodes" and row.value)

    async def run(cluster):
        await asyncio.sleep(SETTLE_MS / 1000)
        cluster.kill_node(NodeId(killed))
        cluster.disconnect_host(cluster.node_ip(NodeId(cut)))
        await asyncio.sleep(time_s)
        context.listed = [listed(cluster)]
        cluster.reconnect_host(cluster.node_ip(NodeId(cut)))
        await asyncio.sleep(6)
        context.listed.append(listed(cluster))

    run_cluster(36, run)


@then("after 40 s the store lists {names}")
def step_listed(context, names):
    assert context.listed[0] == names.split(), context.listed


@then("6 s after the cut has ended the store lists {names}")
def step_listed_again(context, names):
    assert context.listed[1] == names.split(), context.listed
