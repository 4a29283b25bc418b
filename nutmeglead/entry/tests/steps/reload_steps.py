"""Steps for bounds that a reload of the settings changes."""

import asyncio
from dataclasses import replace

from behave import given, then, when

from nutmeglead.core.ids import ServiceName
from nutmeglead.entry.tests.deployment import MANIFEST, OPTIONS, SERVICE, run_cluster

SETTLE_S = 6
AFTER_S = 6
SEED = 53
ADDED = ServiceName("added")


@given("a settled cluster with grants of up to {hold_ms:d} ms")
def step_grants(context, hold_ms):
    context.bounds = replace(OPTIONS.bounds, max_hold_ms=hold_ms)


@given("a settled cluster whose nodes may use a leaving owner for {use_ms:d} ms")
def step_leaving(context, use_ms):
    context.bounds, context.first_use_ms = OPTIONS.bounds, use_ms


def reload_all(cluster, bounds):
    for process in cluster.nodes.values():
        process.apply_settings(replace(process.settings, bounds=bounds))


@when("all nodes reload settings with a longest hold of {hold_ms:d} ms")
def step_reload_hold(context, hold_ms):
    context.grants = grants = []

    async def run(cluster):
        await asyncio.sleep(SETTLE_S)
        for server in cluster.servers.values():
            record_grants(server.keys, cluster.clock, grants)
        reload_all(cluster, replace(context.bounds, max_hold_ms=hold_ms))
        context.reloaded_ms = cluster.clock.now_ms()
        await asyncio.sleep(AFTER_S)

    run_cluster(SEED, run, replace(OPTIONS, bounds=context.bounds))


def record_grants(keys, clock, grants):
    grant = keys.grant

    def recorded(first, last, fence, hold_ms):
        grants.append((clock.now_ms(), hold_ms))
        return grant(first, last, fence, hold_ms)

    keys.grant = recorded


@then("every grant that arrives later than {after_ms:d} ms after it has at most {hold_ms:d} ms")
def step_holds(context, after_ms, hold_ms):
    later = [hold for at_ms, hold in context.grants if at_ms > context.reloaded_ms + after_ms]
    assert later and max(later) <= hold_ms, later


@when("all nodes reload settings with a drain bound of {leave_ms:d} ms")
def step_reload_drain(context, leave_ms):
    async def run(cluster):
        await asyncio.sleep(SETTLE_S)
        context.before_ms = use_ms(cluster, SERVICE)
        reload_all(cluster, replace(context.bounds, leave_ms=leave_ms))
        added = replace(MANIFEST.services[SERVICE], name=ADDED)
        services = {**MANIFEST.services, ADDED: added}
        cluster.put_manifest(replace(MANIFEST, version=2, services=services))
        await asyncio.sleep(AFTER_S)
        context.after_ms = use_ms(cluster, SERVICE) | use_ms(cluster, ADDED)

    run_cluster(SEED, run, replace(OPTIONS, bounds=context.bounds))


def use_ms(cluster, service):
    """Return for how long the nodes use a leaving owner of a service."""
    return {
        process.forwarder.services[service].server_use.leaving_use_ms
        for process in cluster.nodes.values()
    }


@then(
    "they may use a leaving owner for {later_ms:d} ms, also of a service that a manifest adds later"
)
def step_use(context, later_ms):
    assert context.before_ms == {context.first_use_ms}, context.before_ms
    assert context.after_ms == {later_ms}, context.after_ms
