"""Steps for parts of a node that fail with an unexpected error."""

import asyncio
from dataclasses import replace
from unittest import mock

from behave import then, when

from nutmeglead.entry.tests.deployment import HEARTBEAT_MS, OPTIONS, SERVICE, run_cluster

SETTLE_S = 6
OBSERVED_S = 12
# The parts of the acting node, and the method of each that fails.
FAILING = {
    "the renewals": (lambda node: node.controllers[SERVICE]._renewals, "_report"),
    "the transfer of a range": (lambda node: node.controllers[SERVICE]._transfers, "_grant"),
    "the feed of a table": (lambda node: node._table_watches[1], "_apply_rows"),
}


@when("an unexpected error leaves {part}")
def step_fails(context, part):
    async def run(cluster):
        await asyncio.sleep(SETTLE_S)
        find_part, method = FAILING[part]
        # Only of this object: the loop ends before the patch of a class could be taken back.
        acting = find_part(cluster.nodes[cluster.acting(SERVICE)])
        setattr(acting, method, mock.Mock(side_effect=RuntimeError("unexpected")))
        server_id = cluster.server_with_most_keys()
        cluster.crash_server(server_id)
        await asyncio.sleep(3 * HEARTBEAT_MS / 1000)
        cluster.remove_entry(server_id)
        await asyncio.sleep(OBSERVED_S)

    context.exit_code = None
    try:
        run_cluster(context.seed, run, replace(OPTIONS, nodes=3))
    except SystemExit as error:
        context.exit_code = error.code


@then("the process ends at once with code {code:d}, so that it starts again")
def step_ends(context, code):
    assert context.exit_code == code, context.exit_code
