"""Steps that watch which node acts while nodes stop, start, are lost or are cut off."""

import asyncio
from dataclasses import replace

from behave import given, then, when

from nutmeglead.emulator.links import SEGMENT_BYTES
from nutmeglead.entry.tests.deployment import OPTIONS, SERVICE, run_cluster
from nutmeglead.forwarding.model import ServerState

SETTLE_S = 6
SAMPLE_MS = 20
RESTART_PAUSE_S = 0.3
RECOVERY_S = 10
LINK_BYTES_PER_S = 625_000
FILL_INTERVAL_S = 0.01
ELSEWHERE = "10.2.0.0"
MOVE_INTERVAL_S = 0.75


class RoleRun:
    """Run a trouble on a settled cluster, and record when another node acts.

    `taken_ms` is the time from `lost_ms` to the first takeover, and `taken_from_running` lists the
    time of each takeover from a node that ran and was not stopping, with both nodes.
    """

    def __init__(self, nodes, seed):
        self.seed = seed
        self.options = replace(OPTIONS, nodes=nodes)
        self.lost_ms = None
        self.taken_ms = None
        self.taken_from_running = []
        self.followed = set()

    def run(self, trouble):
        run_cluster(self.seed, lambda cluster: self._run(cluster, trouble), self.options)

    async def _run(self, cluster, trouble):
        self.cluster, self.clock = cluster, cluster.clock
        await asyncio.sleep(SETTLE_S)
        assert cluster.acting(SERVICE) is not None, "the cluster has not settled"
        watch = asyncio.create_task(self._watch(cluster.acting(SERVICE)))
        await asyncio.sleep(SAMPLE_MS / 1000)
        await trouble(self)
        await asyncio.sleep(RECOVERY_S)
        watch.cancel()
        self.followed = {
            node.controllers[SERVICE].role.acting_id for node in cluster.nodes.values()
        }
        self.acting_at_end = cluster.acting(SERVICE)

    async def _watch(self, last_id):
        cluster, start_ms = self.cluster, self.clock.now_ms()
        last = cluster.nodes[last_id]
        while True:
            await asyncio.sleep(SAMPLE_MS / 1000)
            acting_id = cluster.acting(SERVICE)
            if acting_id is None or cluster.nodes[acting_id] is last:
                continue
            now_ms = self.clock.now_ms()
            if cluster.nodes.get(last_id) is last and not last.is_stopping:
                self.taken_from_running.append((now_ms - start_ms, last_id, acting_id))
            if self.taken_ms is None and self.lost_ms is not None:
                self.taken_ms = now_ms - self.lost_ms
            last_id, last = acting_id, cluster.nodes[acting_id]

    def acting_first(self):
        """Return all nodes, the acting one first."""
        acting = self.cluster.acting(SERVICE)
        return [acting, *(n for n in self.cluster.node_ids if n != acting)]

    async def stop_and_start(self, node_id):
        await self.cluster.stop_node(node_id)
        await asyncio.sleep(RESTART_PAUSE_S)
        await self.cluster.start_node(node_id)

    async def fill_link(self, node_id, queue_s, duration_s):
        """Queue data for a node, so that datagrams are lost and other data comes late."""
        links, ip = self.cluster.network.links, self.cluster.node_ip(node_id)
        links.set_rate(ip, LINK_BYTES_PER_S)
        time_s = asyncio.get_running_loop().time
        end_s = time_s() + duration_s
        while time_s() < end_s:
            while links.reserve(ELSEWHERE, ip, 0, time_s()) < time_s() + queue_s:
                links.reserve(ELSEWHERE, ip, SEGMENT_BYTES, time_s())
            await asyncio.sleep(FILL_INTERVAL_S)

    async def move_keys(self, duration_s):
        """Let a server leave and return, again and again."""
        cluster = self.cluster
        server_id = cluster.server_with_most_keys()
        for _ in range(round(duration_s / MOVE_INTERVAL_S / 2)):
            cluster.write_entry(server_id, ServerState.LEAVING)
            await asyncio.sleep(MOVE_INTERVAL_S)
            cluster.write_entry(server_id, ServerState.READY)
            await asyncio.sleep(MOVE_INTERVAL_S)


@given("a cluster of {nodes:d} nodes with seed {seed:d}, whose acting node is watched")
def step_watched(context, nodes, seed):
    context.role_run = RoleRun(nodes, seed)


@when("its nodes are stopped {count:d} at a time, {gap_ms:d} ms apart, and start again")
def step_stopped_in_turn(context, count, gap_ms):
    async def trouble(run):
        tasks, node_ids = [], run.acting_first()
        while node_ids:
            batch, node_ids = node_ids[:count], node_ids[count:]
            tasks += [asyncio.create_task(run.stop_and_start(node_id)) for node_id in batch]
            await asyncio.sleep(gap_ms / 1000)
        await asyncio.gather(*tasks)

    context.role_run.run(trouble)


@when("{count:d} nodes are killed {gap_ms:d} ms apart, and start again after {pause_ms:d} ms")
def step_killed_in_turn(context, count, gap_ms, pause_ms):
    async def trouble(run):
        for node_id in run.acting_first()[:count]:
            run.cluster.kill_node(node_id)
            await asyncio.sleep(pause_ms / 1000)
            await run.cluster.start_node(node_id)
            await asyncio.sleep((gap_ms - pause_ms) / 1000)

    context.role_run.run(trouble)


@when("{count:d} nodes are lost at once, the acting one among them")
def step_lost(context, count):
    async def trouble(run):
        run.lost_ms = run.clock.now_ms()
        for node_id in run.acting_first()[:count]:
            run.cluster.kill_node(node_id)

    context.role_run.run(trouble)


@when("{count:d} nodes lose power at once, the acting one among them")
def step_power(context, count):
    async def trouble(run):
        run.lost_ms = run.clock.now_ms()
        for node_id in run.acting_first()[:count]:
            # No packet of a host without power answers a connection.
            run.cluster.network.isolated.add(run.cluster.node_ip(node_id))
            run.cluster.kill_node(node_id)

    context.role_run.run(trouble)


@when("all nodes are lost at once, and all but the acting one start again after {pause_ms:d} ms")
def step_all_lost(context, pause_ms):
    async def trouble(run):
        node_ids = run.acting_first()
        for node_id in node_ids:
            run.cluster.kill_node(node_id)
        await asyncio.sleep(pause_ms / 1000)
        run.lost_ms = run.clock.now_ms()
        for node_id in node_ids[1:]:
            await run.cluster.start_node(node_id)

    context.role_run.run(trouble)


@when("data for {who} waits {queue_ms:d} ms for its link for {duration_s:d} s")
def step_full_link(context, who, queue_ms, duration_s):
    async def trouble(run):
        others = run.acting_first()[1:]
        hubs = run.cluster.nodes[others[0]].membership.hub_ids(run.clock.now_ms())
        is_hub_wanted = who == "the next node in rank"
        node_id = next(n for n in sorted(others) if (n in hubs) is is_hub_wanted)
        await run.fill_link(node_id, queue_ms / 1000, duration_s)

    context.role_run.run(trouble)


@when("{count:d} nodes that do not act are cut off from the others for {duration_s:d} s")
def step_cut_quiet_minority(context, count, duration_s):
    cut_minority(context, count, lambda run: asyncio.sleep(duration_s))


@when(
    "{count:d} nodes that do not act are cut off from the others for {duration_s:d} s while keys "
    "move"
)
def step_cut_minority(context, count, duration_s):
    cut_minority(context, count, lambda run: run.move_keys(duration_s))


def cut_minority(context, count, pass_time):
    """Cut nodes off from the others, but not from the store, while `pass_time` runs."""

    async def trouble(run):
        network, node_ip = run.cluster.network, run.cluster.node_ip
        node_ids = run.acting_first()
        for cut_off in node_ids[-count:]:
            for other in node_ids[:-count]:
                network.block(node_ip(cut_off), node_ip(other))
        await pass_time(run)
        network.blocked_pairs.clear()
        network.deliver_held()

    context.role_run.run(trouble)


@when("the acting node is stopped")
def step_acting_stopped(context):
    async def trouble(run):
        run.lost_ms = run.clock.now_ms()
        await run.cluster.stop_node(run.acting_first()[0])

    context.role_run.run(trouble)


@then("the role is never taken from a node that runs")
def step_not_taken(context):
    found = context.role_run.taken_from_running
    assert not found, f"{len(found)} times: {found}"


@then("another node acts within {taken_ms:d} ms")
def step_taken(context, taken_ms):
    found = context.role_run.taken_ms
    assert found is not None and found <= taken_ms, found


@then("at the end a node acts that every node follows")
def step_followed(context):
    run = context.role_run
    assert run.acting_at_end is not None
    assert run.followed == {run.acting_at_end}, run.followed
