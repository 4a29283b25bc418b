"""Steps for the right to repeat grants, with times given."""

from behave import given, then, when

from nutmeglead._generated.peers.ttypes import Heartbeat, NodeRow, ServiceView
from nutmeglead.core.ids import NodeId, ServerId, ServiceName
from nutmeglead.forwarding.model import ServerLife
from nutmeglead.peers.membership import Membership
from nutmeglead.ranges.rights import RenewalRights

STOCK = ServiceName("stock")
LIFE = ServerLife(ServerId("s-1"), 1)
ADDRESS = ("10.0.0.2", 7_000)


class RightsScenario:
    def __init__(self, node_count):
        self.membership = Membership(NodeId("n-0"))
        self.membership.has_rows = True
        self.peers = [f"n-{number}" for number in range(1, node_count)]
        for peer in self.peers:
            self.membership.set_node(NodeId(peer), NodeRow(*ADDRESS, 1, "zone", 1.0))
        self.rights = RenewalRights(STOCK, self.membership, 0)
        self.hold_ms = 0
        self.sent_ms = 0

    def hear(self, peer, version, echo_ms, now_ms, renewed_ago_ms=100_000):
        self.sent_ms += 1
        view = ServiceView(STOCK, version, 0, 1, "n-0", renewed_ago_ms)
        heartbeat = Heartbeat(peer, 1, self.sent_ms, echo_ms, False, {}, 0, [view], b"")
        assert self.membership.on_heartbeat(heartbeat, ADDRESS, now_ms) is not None

    def hold_end_ms(self, version, now_ms):
        return self.rights.hold_end_ms(LIFE, version, self.hold_ms, now_ms)


@given("5 nodes that know map 1")
def step_nodes(context):
    context.rights = RightsScenario(5)


@given("this node has no rows")
def step_no_rows(context):
    context.rights.membership.has_rows = False


@given("a hold of {hold_ms:d} ms")
def step_hold(context, hold_ms):
    context.rights.hold_ms = hold_ms


@when("two peers echo what was sent at {echo_ms:d} ms")
def step_two_echo(context, echo_ms):
    for peer in context.rights.peers[:2]:
        context.rights.hear(peer, 1, echo_ms, echo_ms + 10)


@when("one peer echoes what was sent at {echo_ms:d} ms")
def step_one_echoes(context, echo_ms):
    context.rights.hear(context.rights.peers[0], 1, echo_ms, echo_ms + 10)


@when("a third peer knows map 2")
def step_third(context):
    context.rights.hear(context.rights.peers[2], 2, 0, 1_050)


@when("the store had map 1 when it was asked at {asked_ms:d} ms")
def step_store(context, asked_ms):
    context.rights.rights.confirm_by_store(1, asked_ms)


@when("three peers know map {version:d} at {now_ms:d} ms and one is silent")
@when("three peers know map {version:d} at {now_ms:d} ms")
def step_three_know(context, version, now_ms):
    rig = context.rights
    for peer in rig.peers[:3]:
        rig.hear(peer, version, now_ms, now_ms)
    rig.hold_end_ms(2, now_ms)
    rig.hold_end_ms(version, now_ms)


@when("all peers know map 2 at {now_ms:d} ms and have renewed {ago_ms:d} ms before")
def step_all_know(context, now_ms, ago_ms):
    for peer in context.rights.peers:
        context.rights.hear(peer, 2, now_ms, now_ms, ago_ms)


@then("grants of map 1 may be sent until {end_ms:d} ms")
def step_may_until(context, end_ms):
    rights = context.rights.rights
    assert rights.may_send(1, end_ms) and not rights.may_send(1, end_ms + 1)


@then("grants of map 1 may not be sent at {now_ms:d} ms")
def step_may_not(context, now_ms):
    assert not context.rights.rights.may_send(1, now_ms)


@then("under map 2 the hold of a lost server ends at {end_ms:d} ms")
def step_ends(context, end_ms):
    assert context.rights.hold_end_ms(2, 6_000) == end_ms, context.rights.hold_end_ms(2, 6_000)
