"""Steps for copies of tables; rows are passed to the watches instead of read from a store."""

from behave import given, then, when

from nutmeglead.core.clock import ManualClock
from nutmeglead.entry.contact import StoreContact
from nutmeglead.entry.followed_table import FollowedTable
from nutmeglead.entry.watch import TableWatch
from nutmeglead.platform.store import StoreRow, StoreRows

TABLE = "servers"
SERVER = "i-1"
OTHER_SERVER = "i-2"


class CopyNode:
    """Watch a table and record whether each removed row counted as removed or as lapsed."""

    def __init__(self, clock):
        self.contact = StoreContact(clock)
        self.removed = {}
        self.changed_ms = {}
        self._clock = clock
        table = FollowedTable(TABLE, self.apply, 0, self.confirm)
        self.watch = TableWatch(None, table, self.contact, clock, None, lambda: True)

    def apply(self, rows, is_snapshot, after_outage):
        for row in rows.rows:
            self.changed_ms[row.key] = row.changed_ms
            if row.value is None:
                self.removed[row.key] = "lapsed" if after_outage else "removed"

    def confirm(self):
        self.removed = dict.fromkeys(self.removed, "removed")

    def read(self, rows, version):
        self.watch.apply_fed_rows(StoreRows(tuple(rows), version), version == 1)

    def copy_from(self, other, transfer_ms=0):
        copy = other.watch.copy(self.watch.version)
        self._clock.advance(transfer_ms)
        self.watch.apply_copy(copy, transfer_ms)


def row(key, value, version):
    return StoreRow(TABLE, "", key, value, version)


@given("hub A, hub B and a node that copies from hub A")
def step_nodes(context):
    context.clock = ManualClock()
    context.hub_a, context.hub_b, context.node = (CopyNode(context.clock) for _ in range(3))
    context.hub_b.read([row(SERVER, b"{}", 1), row(OTHER_SERVER, b"{}", 1)], 1)
    context.hub_a.copy_from(context.hub_b)
    context.node.copy_from(context.hub_a)
    context.version = 1


@given("the store refuses the calls of hub A")
def step_refuses(context):
    context.hub_a.contact.on_failure(TABLE, "refused")


@given("the store has just recovered for hub B")
def step_recovered(context):
    context.hub_b.contact.on_failure(TABLE, "refused")
    context.clock.advance(1_000)
    context.hub_b.contact.on_answer()


@when("hub B reads that {which} server was removed and hub A copies it")
def step_removed(context, which):
    context.version += 1
    key = SERVER if which == "a" else OTHER_SERVER
    context.hub_b.read([row(key, None, context.version)], context.version)
    context.hub_a.copy_from(context.hub_b)


@when(
    "hub B reads a removal {pause_ms:d} ms after another answer, {delay_ms:d} ms after the store has "
    "sent it with {history}"
)
def step_delayed_removal(context, pause_ms, delay_ms, history):
    watch = context.hub_b.watch
    watch.apply_fed_rows(StoreRows((), context.version), False)
    context.clock.advance(pause_ms)
    rows = (row(SERVER, None, context.version + 1),)
    fed = StoreRows(rows, context.version + 1, delay_ms)
    watch.apply_fed_rows(fed, False, is_history_lost=history == "no history")


@then("hub B counts the change as up to {age_ms:d} ms old")
def step_age(context, age_ms):
    found_ms = context.clock.now_ms() - context.hub_b.changed_ms[SERVER]
    assert found_ms == age_ms, found_ms


@when("the node copies it")
def step_copy(context):
    context.node.copy_from(context.hub_a)


@when("the node copies it in {transfer_ms:d} ms")
def step_copy_slowly(context, transfer_ms):
    context.node.copy_from(context.hub_a, transfer_ms)


@when("{duration_ms:d} ms pass")
def step_pass(context, duration_ms):
    context.clock.advance(duration_ms)


@when("{count:d} of {total:d} other nodes report that version without an outage")
def step_peers_report(context, count, total):
    version = context.version
    peers = [(version, 0)] * count + [(version, version)] * (total - count)
    context.hub_b.watch.confirm_by_peers(peers)


@when("{count:d} other nodes report the version before without an outage")
def step_peers_are_older(context, count):
    context.hub_b.watch.confirm_by_peers([(context.version - 1, 0)] * count)


@when("the node hears from hub B alone")
def step_hears_hub_b(context):
    watch = context.hub_b.watch
    context.node.watch.confirm_by_peers([(watch.changed_version, watch.unconfirmed_version)])


@then("hub B treats the server as {how}")
def step_hub_b_treats(context, how):
    assert context.hub_b.removed == {**context.hub_b.removed, SERVER: how}, context.hub_b.removed


@then("hub A treats the server as {how}")
def step_hub_treats(context, how):
    assert context.hub_a.removed == {**context.hub_a.removed, SERVER: how}, context.hub_a.removed


@then("the node treats the server as {how}")
def step_node_treats(context, how):
    assert context.node.removed == {**context.node.removed, SERVER: how}, context.node.removed


@then("the node counts the change from the same time as hub B")
def step_same_time(context):
    assert context.node.changed_ms[SERVER] == context.hub_b.changed_ms[SERVER]
