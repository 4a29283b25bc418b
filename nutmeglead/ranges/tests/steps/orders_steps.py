"""Steps for orders of a node whose right to send them is given."""

import asyncio

from behave import given, then, when
from result import Err, Ok

from nutmeglead.core.clock import ManualClock
from nutmeglead.core.ids import FailureDomainName, NodeId, ServerId, ServiceName
from nutmeglead.forwarding.addresses import AddressHolder
from nutmeglead.forwarding.model import ServerIncarnation, ServerRecord, ServerState
from nutmeglead.forwarding.registry import ServerRegistry
from nutmeglead.peers.membership import Membership
from nutmeglead.platform.grants import GrantRefused, OrderNotPermitted
from nutmeglead.ranges.expiry import RENEW_RIGHT_MS
from nutmeglead.ranges.health import HolderHealth
from nutmeglead.ranges.hold import hold_for
from nutmeglead.ranges.keys import KEY_COUNT
from nutmeglead.ranges.model import KeyRange, RangeMap, decode_map, encode_map
from nutmeglead.ranges.orders import OrderSender
from nutmeglead.ranges.rights import RenewalRights

STOCK = ServiceName("stock")
OWNER = ServerIncarnation(ServerId("s-1"), 1)
OWN_ID = NodeId("n-0")
ENTRY = KeyRange(0, KEY_COUNT - 1, OWNER, 1)


class RecordingClient:
    """Record the orders that a node sends; `on_open` runs as a connection opens.

    Accept them, unless `refusal_status` is set.
    """

    def __init__(self):
        self.orders = []
        self.refusal_status = None
        self.on_open = lambda: None

    async def grant(self, *order):
        return self._send(order, None)

    async def release(self, *order):
        return self._send(order, "h-1")

    def _send(self, order, answer):
        self.on_open()
        *_, may_send = order
        if not may_send():
            return Err(OrderNotPermitted())
        self.orders.append(order)
        if self.refusal_status is not None:
            return Err(GrantRefused(OWNER.server_id, self.refusal_status))
        return Ok(answer)


class AddressCheckRecord:
    """Record the servers whose addresses are to be checked, without any result."""

    def __init__(self):
        self.records = []

    def check(self, record):
        self.records.append(record)


class Node:
    """Hold the parts of a node that sends orders of a map."""

    def __init__(self, newest_version=1):
        self.clock = ManualClock(10_000)
        self.registry = registry = ServerRegistry()
        domain = FailureDomainName("zone")
        record = ServerRecord(OWNER, STOCK, "10.0.0.1", 80, domain, 4, ServerState.READY, 0)
        registry.apply([record], [], self.clock.now_ms())
        rights = self.rights = RenewalRights(STOCK, Membership(OWN_ID, domain, 1.0, 0), 0)
        self.ranges = self.map([ENTRY])
        self.confirm(newest_version)
        self.client = RecordingClient()
        self.address_checks = AddressCheckRecord()
        self.sender = OrderSender(
            self.client,
            self.address_checks,
            registry,
            rights,
            HolderHealth(),
            self.clock,
            10_000,
            lambda: self.ranges,
        )

    def confirm(self, newest_version=1):
        # The store's answer stands for the majority; either gives the right for the same time.
        self.rights.confirm_by_store(newest_version, self.clock.now_ms())

    def map(self, ranges):
        return RangeMap(STOCK, ranges, 1, witness_sets=((OWN_ID, NodeId("n-1"), NodeId("n-2")),))


def _freeze(node):
    node.clock.advance(RENEW_RIGHT_MS + 1)


def _move(node):
    other = ServerIncarnation(ServerId("s-2"), 1)
    node.ranges = node.map([KeyRange(0, KEY_COUNT - 1, other, 2)])


def _split(node):
    middle = KEY_COUNT // 2
    other = ServerIncarnation(ServerId("s-2"), 1)
    parts = [KeyRange(0, middle - 1, OWNER, 1), KeyRange(middle, KEY_COUNT - 1, other, 2)]
    node.ranges = node.map(parts)


CHANGES = {
    "whose map a majority confirms": lambda node: None,
    "that was frozen": _freeze,
    "whose map gives the range to another": _move,
    "whose map splits the range": _split,
}


@given("a node with a map, {state} while a connection opens")
def step_node_opening(context, state):
    node = context.node = Node()
    node.client.on_open = lambda: CHANGES[state](node)


@given("a node with a map, {state}")
def step_node(context, state):
    context.node = Node(2 if state == "that knows of a newer map" else 1)
    if state == "that was frozen for longer than its right":
        _freeze(context.node)


@when("it sends a {order} to a server")
def step_order(context, order):
    sender = context.node.sender
    if order == "grant":
        asyncio.run(sender.grant(OWNER, ENTRY, None))
    else:
        asyncio.run(sender.release(OWNER, ENTRY))


@given("another server has answered at the owner's address")
def step_lost_address(context):
    node = context.node
    node.registry.record_address(OWNER, AddressHolder.ANOTHER, node.clock.now_ms())


@when(
    "it renews the grants of the server for {duration_ms:d} ms, which refuses them with {status:d}"
)
def step_renewals(context, duration_ms, status):
    asyncio.run(_renew(context.node, duration_ms, status))


async def _renew(node, duration_ms, status):
    """Let a node renew due grants every 50 ms while its right lasts; note when it sends them."""
    node.client.refusal_status = status
    node.sent_ms, start_ms = [], node.clock.now_ms()
    while node.clock.now_ms() - start_ms < duration_ms:
        order_count = len(node.client.orders)
        node.confirm()
        node.sender.renew_due([OWNER])
        for _ in range(10):
            await asyncio.sleep(0)
        if len(node.client.orders) > order_count:
            node.sent_ms.append(node.clock.now_ms() - start_ms)
        node.clock.advance(50)


@then("it has sent grants after {times_ms} ms")
def step_sent_after(context, times_ms):
    assert context.node.sent_ms == [int(ms) for ms in times_ms.split(", ")], context.node.sent_ms


@then("it has asked {count:d} times who has the server's address")
def step_asked(context, count):
    assert len(context.node.address_checks.records) == count, context.node.address_checks.records


@then("it counts the owner's address as {state}")
def step_address_state(context, state):
    assert context.node.registry.addresses.is_lost(OWNER) is (state == "lost")


@then("the server has received {count:d} orders")
def step_received(context, count):
    orders = context.node.client.orders
    assert len(orders) == count, orders


@given("a map of a service with a target latency of {target_ms:d} ms")
def step_map(context, target_ms):
    unowned = RangeMap(STOCK, [KeyRange(0, KEY_COUNT - 1, None, 0)])
    context.map = unowned.assign([], 1, hold_ms=hold_for(target_ms))


@when("the next map is written with a target latency of {target_ms:d} ms")
def step_next_map(context, target_ms):
    context.map = context.map.assign([], 1, hold_ms=hold_for(target_ms))


@then("grants are in force for {hold_ms:d} ms")
def step_hold(context, hold_ms):
    assert context.map.hold_ms == hold_ms, context.map.hold_ms


@then("decoding the encoded map returns the same hold")
def step_decoded_hold(context):
    assert decode_map(encode_map(context.map)).unwrap().hold_ms == context.map.hold_ms
