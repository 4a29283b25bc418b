"""Steps for parts of a node that fail with an unexpected error."""

import asyncio
from dataclasses import replace
from unittest import mock

from behave import then, when

from nutmeglead.entry.tests.deployment import HEARTBEAT_MS, OPTIONS, run_cluster
from nutmeglead.entry.watch import TableWatch
from nutmeglead.ranges.renewal import Renewals
from nutmeglead.ranges.transfer import Transfers

SETTLE_S = 6
OBSERVED_S = 12
FAILING = {
    "the renewals": (Renewals, "_report"),
    "the transfer of a range": (Transfers, "_grant"),
    "the feed of a table": (TableWatch, "_apply_rows"),
}


@when("an unexpected error leaves {part}")
def step_fails(context, part):
    async def run(cluster):
        await asyncio.sleep(SETTLE_S)
        with mock.patch.object(*FAILING[part], side_effect=RuntimeError("unexpected")):
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
