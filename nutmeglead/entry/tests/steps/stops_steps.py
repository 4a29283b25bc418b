"""Steps that stop a node of a cluster under load."""

import asyncio
from dataclasses import replace
from functools import partial

from behave import given, then, when

from nutmeglead.entry.stop_schedule import StopSchedule
from nutmeglead.entry.tests.deployment import OPTIONS, SERVICE, run_cluster
from nutmeglead.entry.tests.stops import StoppedNode

LOOK_INTERVAL_S = 0.05


@given("a cluster and a service {kind} keys whose servers work for {work_ms:d} ms")
def step_cluster(context, kind, work_ms):
    context.stopped = StoppedNode(kind == "with")
    context.stopped.servers = replace(context.stopped.servers, work_ms=work_ms)


@when("a node is stopped whose callers keep {depth:d} requests outstanding, seed {seed:d}")
def step_stop(context, depth, seed):
    context.stopped.run(seed, depth)


def want_nothing(stopped, cluster):
    for server in stopped.servers_of(cluster):
        server.host.shed_share, server.host.backoff_ms = 1.0, 7_000


def become_slow(stopped, cluster):
    for server in stopped.servers_of(cluster):
        server.host.work_factor = 1_000.0


def lose_keys(stopped, cluster):
    """End the servers that hold the keys; no other server is left to take them."""
    for server in stopped.servers_of(cluster):
        cluster.crash_server(server.record.server_id)
        cluster.remove_entry(server.record.server_id)


def lose_answers(stopped, cluster):
    for server in stopped.servers_of(cluster):
        server.host.lost_answer_share = 1.0


DISTURBANCES = {
    "lost all answers": lose_answers,
    "wanted nothing for 7 s": want_nothing,
    "became very slow": become_slow,
    "lost their keys": lose_keys,
}


@given("requests that may take {deadline_ms:d} ms")
def step_deadline(context, deadline_ms):
    context.stopped.deadline_ms = deadline_ms


@when(
    "a node is stopped just after its servers {event}, with {depth:d} requests outstanding on a "
    "connection, seed {seed:d}"
)
def step_stop_disturbed(context, event, depth, seed):
    stopped = context.stopped
    stopped.disturb = partial(DISTURBANCES[event], stopped)
    stopped.run(seed, depth, connections=8)


@when(
    "a node is stopped and a request begins to arrive {begin_ms:d} ms later, and takes "
    "{arrival_ms:d} ms"
)
def step_stop_late_body(context, begin_ms, arrival_ms):
    context.stopped.run_with_late_body(10, begin_ms, arrival_ms)


@then("no connection was cut off, and the node has stopped after {stopped_ms:d} ms at most")
def step_stopped(context, stopped_ms):
    stopped = context.stopped
    assert (stopped.cut_off, stopped.lost) == (0, []), (stopped.cut_off, stopped.lost)
    assert stopped.duration_ms <= stopped_ms, stopped.duration_ms


@then("its callers were told {outcome}")
def step_told(context, outcome):
    callers = context.stopped.callers
    told = callers.not_run if outcome == "not run" else callers.may_have_run
    assert told, (len(callers.sent), len(callers.not_run), len(callers.may_have_run))


@then("the request is answered with {status:d} and has not run")
def step_not_run(context, status):
    stopped = context.stopped
    assert stopped.received.startswith(b"HTTP/1.1 %d " % status), stopped.received
    assert stopped.run_count == 0, stopped.run_count


@then(
    "a stop with a grace of {grace_ms:d} ms accepts until {rotation_ms:d}, sends until "
    "{last_start_ms:d}, answers until {answers_ms:d} and ends at {end_ms:d}"
)
def step_schedule(context, grace_ms, rotation_ms, last_start_ms, answers_ms, end_ms):
    expected = StopSchedule(
        1_000 + rotation_ms, 1_000 + last_start_ms, 1_000 + answers_ms, 1_000 + end_ms
    )
    assert StopSchedule.plan(1_000, grace_ms) == expected


@then("each of its requests that ran at a server has got a whole answer")
def step_none_lost(context):
    stopped = context.stopped
    assert stopped.callers.answered
    assert not stopped.lost, f"{len(stopped.lost)} of {len(stopped.callers.sent)}: {stopped.lost}"
    assert stopped.cut_off == 0, stopped.cut_off


async def stop_soon(after_ms, cluster):
    """Stop the only node, and return whether it knew of the service, and whether it acted."""
    (node_id,) = cluster.node_ids
    process = cluster.nodes[node_id]
    await asyncio.sleep(after_ms / 1000)
    stopping = asyncio.create_task(cluster.stop_node(node_id))
    has_acted = False
    while not stopping.done():
        has_acted |= any(controller.is_acting for controller in process.controllers.values())
        await asyncio.sleep(LOOK_INTERVAL_S)
    return SERVICE in process.controllers, has_acted


@when("the only node of a cluster is stopped as soon as it has started, seed {seed:d}")
def step_stop_at_once(context, seed):
    step_stop_soon(context, 0, seed)


@when("the only node of a cluster is stopped {after_ms:d} ms after it has started, seed {seed:d}")
def step_stop_soon(context, after_ms, seed):
    context.knew_service, context.has_acted = run_cluster(
        seed, partial(stop_soon, after_ms), replace(OPTIONS, nodes=1)
    )


@then("it has learned of a service with keys, and has not acted for it")
def step_has_not_acted(context):
    assert context.knew_service
    assert not context.has_acted
