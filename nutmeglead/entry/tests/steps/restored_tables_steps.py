"""Steps for tables of a store that returns to an older copy."""

import asyncio
import random

from behave import given, then, when

from nutmeglead.core.clock import ManualClock
from nutmeglead.emulator.rows import RowStore, RowStoreFetcher
from nutmeglead.entry.contact import StoreContact
from nutmeglead.entry.followed_table import FollowedTable
from nutmeglead.entry.store_era import StoreEra
from nutmeglead.entry.watch import TableWatch
from nutmeglead.forwarding.registry import OUTAGE_RECOVERY_GRACE_MS
from nutmeglead.platform.store import StoreClient

TABLE = "servers"


class PromptStore(StoreClient):
    """Make feed calls that do not wait for a change."""

    async def feed(self, table, after, wait_ms):
        return await super().feed(table, after, 0)


class FollowingNode:
    """Follow a table of a store in memory, and hold the rows in force by key."""

    def __init__(self, rows, clock):
        self.in_force = {}
        eras = StoreEra()
        store = PromptStore("10.0.0.1", 80, RowStoreFetcher(rows), 100, clock, eras)
        self.watch = TableWatch(
            store,
            FollowedTable(TABLE, self._apply, 0),
            StoreContact(clock),
            clock,
            random.Random(1),
            lambda: True,
            known_era=lambda: eras.era,
        )

    def _apply(self, rows, is_snapshot, after_outage):
        if is_snapshot:
            self.in_force.clear()
        for row in rows.rows:
            self.in_force.pop(row.key, None)
            if row.value is not None:
                self.in_force[row.key] = row.value.decode()

    def read(self):
        asyncio.run(self.watch._next_rows())

    def text(self):
        return ",".join(f"{key}={value}" for key, value in sorted(self.in_force.items()))


def change(rows, text):
    """Write `key=value`, or remove the row of `key-`."""
    key, _, value = text.partition("=")
    rows.put(TABLE, key.rstrip("-"), value.encode() if value else None)


@given("a hub that has followed these changes of its table: {changes}")
def step_followed(context, changes):
    context.clock = ManualClock()
    context.rows = RowStore(context.clock)
    context.hub = FollowingNode(context.rows, context.clock)
    context.saved = []
    for text in changes.split(","):
        change(context.rows, text)
        context.saved.append(context.rows.save())
        context.hub.read()


@given("a node that has copied the table")
def step_node(context):
    context.node = FollowingNode(context.rows, context.clock)
    context.node.watch.apply_copy(context.hub.watch.copy(0), 0)


@when("the store returns to the copy after change {number:d}, and these follow: {changes}")
def step_returns(context, number, changes):
    context.rows.restore(context.saved[number - 1])
    for text in changes.split(","):
        if text != "nothing":
            change(context.rows, text)


@when("the hub reads the table")
@when("the hub's feed call is answered")
def step_hub_reads(context):
    context.hub.read()


@when("the node reads the table")
def step_node_reads(context):
    context.node.read()


@when("the node copies the table from the hub")
def step_node_copies(context):
    watch = context.node.watch
    watch.apply_copy(context.hub.watch.copy(watch.copy_after, False, watch.era), 0)


@when("the row {text} is written and the hub's feed call is answered")
def step_written(context, text):
    change(context.rows, text)
    context.hub.read()


@then("the rows in force are {rows}")
def step_in_force(context, rows):
    assert context.hub.text() == rows, context.hub.text()


@then("after the grace time they are {rows}")
def step_at_end(context, rows):
    context.clock.advance(OUTAGE_RECOVERY_GRACE_MS)
    context.hub.watch.expire_missing()
    assert context.hub.text() == rows, context.hub.text()


@then("the node has {rows} in force")
def step_node_in_force(context, rows):
    assert context.node.text() == rows, context.node.text()


@then("the hub that copies the table from the node has {rows} in force")
def step_hub_copies(context, rows):
    watch = context.hub.watch
    context.hub.watch.apply_copy(context.node.watch.copy(watch.copy_after, False, watch.era), 0)
    assert context.hub.text() == rows, context.hub.text()
