"""Steps that stop a node of a cluster under load."""

from dataclasses import replace

from behave import given, then, when

from nutmeglead.entry.tests.stops import StoppedNode


@given("a cluster and a service {kind} keys whose servers work for {work_ms:d} ms")
def step_cluster(context, kind, work_ms):
    context.stopped = StoppedNode(kind == "with")
    context.stopped.servers = replace(context.stopped.servers, work_ms=work_ms)


@when("a node is stopped whose callers keep {depth:d} requests outstanding, seed {seed:d}")
def step_stop(context, depth, seed):
    context.stopped.run(seed, depth)


@then("each of its requests that ran at a server has got a whole answer")
def step_none_lost(context):
    stopped = context.stopped
    assert stopped.callers.answered
    assert not stopped.lost, f"{len(stopped.lost)} of {len(stopped.callers.sent)}: {stopped.lost}"
    assert stopped.cut_off == 0, stopped.cut_off
