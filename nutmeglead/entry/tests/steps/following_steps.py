"""Steps for a node that changes between the store's feed and copies from a hub."""

import asyncio
import random

from behave import given, then, when
from result import Ok

from nutmeglead._generated.peers.ttypes import CopiedRow, TableCopy
from nutmeglead.core.clock import ManualClock
from nutmeglead.emulator.network import EmulatedLoop
from nutmeglead.emulator.virtual_time import run_virtual
from nutmeglead.entry.contact import StoreContact
from nutmeglead.entry.followed_table import FollowedTable
from nutmeglead.entry.watch import TableWatch
from nutmeglead.platform.store import StoreRow, StoreRows

TABLE, KEY = "op", "config"


class FeedStore:
    """Answer feed calls with the row's newest version, once it is newer than the caller's."""

    def __init__(self):
        self.version = 1
        self.changed = asyncio.Event()
        self.waiting_count = 0
        self.asked_after = []
        self.is_cut_off = False

    async def feed(self, table, after, wait_ms):
        self.asked_after.append(after)
        self.waiting_count += 1
        try:
            while self.version <= after or self.is_cut_off:
                await self.changed.wait()
        finally:
            self.waiting_count -= 1
        row = StoreRow(TABLE, "", KEY, b"value", self.version)
        return Ok(StoreRows((row,), self.version))

    def change(self):
        self.version += 1
        self.changed.set()
        self.changed = asyncio.Event()


class FollowingNode:
    """Run a watch through the steps of a scenario on virtual time, and keep its state at the end."""

    def __init__(self):
        self.steps = []
        self.hears_hub = False
        self.clock = None
        # Longest time for which the newest row can have stood in the store when it was applied.
        self.age_ms = None

    def run(self):
        run_virtual(self._run, EmulatedLoop(1))

    async def _run(self, clock):
        self.clock, self.store = clock, FeedStore()
        table = FollowedTable(TABLE, self._apply, 0)
        contact = self.contact = StoreContact(ManualClock())
        self.watch = TableWatch(
            self.store, table, contact, clock, random.Random(1), lambda: not self.hears_hub
        )
        self.task = asyncio.ensure_future(self.watch.run())
        await asyncio.sleep(1)
        assert self.store.waiting_count == 1
        for step in self.steps:
            await step()
        self.waiting_count = self.store.waiting_count
        self.task.cancel()

    def _apply(self, rows, is_snapshot, after_outage):
        for row in rows.rows:
            self.age_ms = self.clock.now_ms() - row.changed_ms

    async def hear(self, hears_hub, duration_ms):
        self.hears_hub = hears_hub
        await asyncio.sleep(duration_ms / 1000)

    async def change_row(self):
        self.store.change()
        await asyncio.sleep(0)

    async def cut_store_off(self):
        self.store.is_cut_off = True

    async def copy_change(self):
        row = CopiedRow(KEY, 2, b"value", 0, None)
        assert self.watch.apply_copy(TableCopy(2, 2, [row], False, False, None), 0)

    async def stop(self):
        self.task.cancel()
        await asyncio.sleep(0.01)


@given("a node whose feed call waits at the store")
def step_node(context):
    context.node = FollowingNode()


@when("the node hears a hub for {duration_ms:d} ms")
def step_hears(context, duration_ms):
    context.node.steps.append(lambda: context.node.hear(True, duration_ms))


@when("the node hears no hub for {duration_ms:d} ms")
def step_hears_none(context, duration_ms):
    context.node.steps.append(lambda: context.node.hear(False, duration_ms))


@when("the row changes in the store")
def step_changes(context):
    context.node.steps.append(context.node.change_row)


@when("the store is cut off from the node")
def step_cut_off(context):
    context.node.steps.append(context.node.cut_store_off)


@when("the node copies the change from a peer")
def step_copies(context):
    context.node.steps.append(context.node.copy_change)


@then("the node has made no other call")
def step_no_other_call(context):
    async def check():
        # The first call has returned the row, the second one waits for its change.
        assert context.node.store.asked_after == [0, 1], context.node.store.asked_after

    context.node.steps.append(check)


@then("the node counts the store as {state}")
def step_contact(context, state):
    context.node.run()
    is_lost = context.node.contact.was_unavailable_within(0)
    assert is_lost is (state == "lost"), context.node.store.asked_after


@when("the node is stopped")
def step_stopped(context):
    context.node.steps.append(context.node.stop)


@then("no call of the node waits at the store")
def step_none_waits(context):
    context.node.run()
    assert context.node.waiting_count == 0


@then("the node has applied the change, after a call for the changes since version 1")
def step_applied(context):
    context.node.steps.append(lambda: context.node.hear(False, 200))
    context.node.run()
    assert context.node.watch.changed_version == 2
    assert 0 not in context.node.store.asked_after[1:], context.node.store.asked_after


@then("the node counts the change as at least {age_ms:d} ms old")
def step_age(context, age_ms):
    context.node.run()
    assert context.node.watch.changed_version == 2
    assert context.node.age_ms >= age_ms, context.node.age_ms
