"""Steps for patches of large rows; rows are passed to the watches instead of read from a store."""

import random

from behave import given, then, when

from nutmeglead.core.clock import ManualClock
from nutmeglead.core.codec import encode
from nutmeglead.core.compression import compress, decompress
from nutmeglead.entry.contact import StoreContact
from nutmeglead.entry.followed_table import FollowedTable
from nutmeglead.entry.watch import TableWatch
from nutmeglead.platform.store import StoreRow, StoreRows

TABLE, KEY = "op", "config"


class PatchNode:
    """Watch a table and keep the newest value of its row."""

    def __init__(self, clock):
        self.value = None
        table = FollowedTable(TABLE, self.apply, 0)
        self.watch = TableWatch(None, table, StoreContact(clock), clock, None, lambda: True)

    def apply(self, rows, is_snapshot, after_outage):
        for row in rows.rows:
            self.value = row.value

    def read(self, value, version):
        rows = StoreRows((StoreRow(TABLE, "", KEY, value, version),), version)
        self.watch.apply_fed_rows(rows, version == 1)


@given(
    "a hub with a row of {size:d} random bytes in version {version:d}, and a node with a copy of it"
)
def step_nodes(context, size, version):
    context.rng = random.Random(1)
    context.hub, context.node = (PatchNode(ManualClock()) for _ in range(2))
    context.version = version
    context.hub.read(context.rng.randbytes(size), version)
    context.node.watch.apply_copy(context.hub.watch.copy(0, True), 0)


@given("the node has read another value of the row in version {version:d}")
def step_other_value(context, version):
    context.node = PatchNode(ManualClock())
    context.node.read(context.rng.randbytes(len(context.hub.value)), version)


@given("the hub has read the whole table again in version {version:d}")
def step_read_again(context, version):
    row = StoreRow(TABLE, "", KEY, context.hub.value, context.version)
    context.hub.watch.apply_fed_rows(StoreRows((row,), version), True)
    context.version = version


@when("the row changes {count:d} times by {size:d} bytes")
def step_changes(context, count, size):
    for _ in range(count):
        at = context.rng.randrange(len(context.hub.value) - size)
        value = context.hub.value
        context.version += 1
        context.hub.read(
            value[:at] + context.rng.randbytes(size) + value[at + size :], context.version
        )


@when("the row changes {count:d} times by {size:d} bytes while the node is sent a copy from before")
def step_changes_meanwhile(context, count, size):
    after = context.node.watch.copy_after
    earlier = context.hub.watch.copy(after, True)
    step_changes(context, count, size)
    later = context.hub.watch.copy(after, True)
    for copy in (earlier, later):
        assert context.node.watch.apply_copy(copy, 0)


@when("the row is removed and returns with other bytes")
def step_removed(context):
    size = len(context.hub.value)
    for value in (None, context.rng.randbytes(size)):
        context.version += 1
        context.hub.read(value, context.version)


@when("the node copies from the hub")
def step_copy(context):
    copy = context.hub.watch.copy(context.node.watch.copy_after, True)
    context.copy_size = len(encode(copy))
    context.node.watch.apply_copy(copy, 0)


@then("the node has the newest value")
def step_newest(context):
    assert context.node.value == context.hub.value
    assert context.node.watch.changed_version == context.version


@then("the copy was smaller than {limit_bytes:d} bytes")
def step_size(context, limit_bytes):
    assert context.copy_size < limit_bytes, context.copy_size


@then("a copy without patches has the newest value")
def step_without_patches(context):
    (row,) = context.hub.watch.copy(context.version - 1).rows
    assert row.value == context.hub.value and not row.patches


@when("{size:d} random bytes are compressed against others and {fault}")
def step_fault(context, size, fault):
    base, other = context.rng.randbytes(size), context.rng.randbytes(size)
    data = base[: size // 2] + context.rng.randbytes(size // 2)
    compressed = compress(data, base)
    assert decompress(compressed, base).unwrap() == data
    damaged = bytearray(compressed)
    damaged[len(damaged) // 2] ^= 1
    context.decompressed = {
        "a byte is changed": lambda: decompress(bytes(damaged), base),
        "the end is missing": lambda: decompress(compressed[:-1], base),
        "the base is another one": lambda: decompress(compressed, other),
    }[fault]()


@then("they cannot be decompressed")
def step_refused(context):
    assert context.decompressed.is_err(), context.decompressed
