"""Steps for the rows of entry VMs; the store counts writes and always answers."""

import asyncio
from types import SimpleNamespace

from behave import given, then, when
from result import Ok

from nutmeglead._generated.peers.ttypes import NodeRow
from nutmeglead.core.codec import encode
from nutmeglead.core.ids import FailureDomainName, NodeId
from nutmeglead.emulator.virtual_time import run_virtual
from nutmeglead.entry.contact import StoreContact
from nutmeglead.entry.node_rows import NODES_TABLE, NodeRows
from nutmeglead.peers.membership import Membership
from nutmeglead.platform.store import StoreRow, StoreRows

OWN, OTHER = NodeId("n-1"), NodeId("n-2")
ZONE = FailureDomainName("zone-1")
SETTINGS = SimpleNamespace(
    node_id=OWN, ip="10.0.0.1", peer_port=7, failure_domain=ZONE, cpu_cores=1.0
)
OTHER_ROW = encode(NodeRow("10.0.0.2", 7, 1, ZONE, 1.0))


class CountingStore:
    """Count the writes, keep the row of the last one and answer each with success."""

    def __init__(self):
        self.count = 0

    async def transact(self, checks, rows, removed=()):
        self.count += 1
        self.row = rows[0]
        return Ok(1)


def _rows_read(text, own_row):
    rows = {
        "that its row was removed": [(OWN, None)],
        "all rows, and its own is missing": [(OTHER, OTHER_ROW)],
        "all rows, its own among them": [(OWN, own_row), (OTHER, OTHER_ROW)],
        "that another row was removed": [(OTHER, None)],
    }[text]
    stored = [StoreRow(NODES_TABLE, "", node_id, value, 5) for node_id, value in rows]
    return StoreRows(tuple(stored), 5), text.startswith("all rows")


@given("a node that has written its row")
def step_written(context):
    context.store = CountingStore()


@when("it reads {text}")
def step_reads(context, text):
    async def run(clock):
        membership = Membership(OWN, ZONE, 1.0, clock.now_ms())
        node = NodeRows(
            context.store, SETTINGS, 1, membership, clock, StoreContact(clock), set, lambda: False
        )
        task = asyncio.get_running_loop().create_task(node.run())
        await asyncio.sleep(1)
        assert context.store.count == 1
        rows, is_snapshot = _rows_read(text, context.store.row.value)
        node.apply(rows, is_snapshot, False)
        await asyncio.sleep(10)
        task.cancel()

    run_virtual(run)


@then("it has written its row {count:d} times")
def step_count(context, count):
    assert context.store.count == count, context.store.count
