"""Steps for nodes that leave for good, or are cut off together, and then servers that crash."""

import asyncio
from dataclasses import replace

from behave import given, then, when

from nutmeglead.emulator.cluster import STORE
from nutmeglead.entry.tests.cluster_run import ClusterRun, crash_server_with_most_keys, pause
from nutmeglead.entry.tests.deployment import HEARTBEAT_MS, OPTIONS


@given("a settled cluster of {nodes:d} nodes with seed {seed:d}, watched for {run_s:d} s")
def step_large_cluster(context, nodes, seed, run_s):
    context.cluster_run = ClusterRun(seed, replace(OPTIONS, nodes=nodes), 1000 * run_s)


async def restart_nodes(cluster):
    staying = list(cluster.nodes)
    for node_id in staying:
        cluster.kill_node(node_id)
    await pause(1_200)
    for node_id in staying:
        await cluster.start_node(node_id)


@when("{count:d} of them leave for good {gap_ms:d} ms apart, {then_text}, and a server crashes")
def step_lost_nodes(context, count, gap_ms, then_text):
    async def trouble(cluster):
        for node_id in cluster.node_ids[:count]:
            cluster.kill_node(node_id)
            await pause(gap_ms)
        await pause(15_000 - count * gap_ms)
        if then_text == "the others start again":
            await restart_nodes(cluster)
        await crash_server_with_most_keys(cluster)

    context.cluster_run.run(trouble)


@when("the {count:d} hubs are stopped {gap_ms:d} ms apart, and a server crashes")
def step_stopped_hubs(context, count, gap_ms):
    async def trouble(cluster):
        stops = []
        for node_id in cluster.node_ids[:count]:
            stops.append(asyncio.ensure_future(cluster.stop_node(node_id)))
            await pause(gap_ms)
        await asyncio.gather(*stops)
        await pause(10_000)
        await crash_server_with_most_keys(cluster)

    context.cluster_run.run(trouble)


@when("{count:d} of them are cut off for {time_s:d} s with one of the servers")
def step_cut_off_together(context, count, time_s):
    async def trouble(cluster):
        server_id = cluster.server_with_most_keys()
        cut = {cluster.node_ip(node_id) for node_id in cluster.node_ids[:count]}
        cut.add(cluster.servers[server_id].ip)
        others = {cluster.node_ip(node_id) for node_id in cluster.node_ids[count:]}
        for ip in cut:
            for other in (*others, STORE.ip):
                cluster.network.block(ip, other)
        await pause(3 * HEARTBEAT_MS)
        cluster.remove_entry(server_id)
        await pause(1000 * time_s - 3 * HEARTBEAT_MS)
        cluster.network.blocked_pairs.clear()
        cluster.network.deliver_held()

    context.cluster_run.run(trouble)


@when("{count:d} of them leave for good at once")
def step_leave(context, count):
    async def trouble(cluster):
        for node_id in cluster.node_ids[:count]:
            cluster.kill_node(node_id)

    context.cluster_run.run(trouble)


@then("the store lists the rows of the other nodes only")
def step_rows(context):
    cluster = context.cluster_run.cluster
    rows = cluster.rows.rows.items()
    listed = {name[2] for name, row in rows if name[0] == "nodes" and row.value}
    assert listed == set(cluster.nodes), listed
