"""Steps that test when grants may be sent and when holds end, with times given by the test."""

from behave import given, then, when

from nutmeglead._generated.peers.ttypes import (
    Heartbeat,
    Life,
    NodeRow,
    Scope,
    SentOrder,
    ServiceView,
)
from nutmeglead.core.ids import FailureDomainName, NodeId, ServerId, ServiceName
from nutmeglead.forwarding.model import ServerIncarnation
from nutmeglead.peers.membership import Membership
from nutmeglead.ranges.keys import KEY_COUNT
from nutmeglead.ranges.model import KeyRange, RangeMap
from nutmeglead.ranges.rights import GRANT_HISTORY_MS, RenewalRights

STOCK = ServiceName("stock")
INCARNATION = ServerIncarnation(ServerId("s-1"), 1)
ADDRESS = ("10.0.0.2", 7_000)


class RightsScenario:
    def __init__(self, node_count):
        self.membership = Membership(NodeId("n-0"), FailureDomainName("zone"), 1.0, 0)
        self.peers = [NodeId(f"n-{number}") for number in range(1, node_count)]
        self.witness_sets = (("n-0", *self.peers),)
        for peer in self.peers:
            self.membership.set_node(peer, NodeRow(*ADDRESS, 1, "zone", 1.0), 0)
        self.rights = RenewalRights(STOCK, self.membership, 0)
        self.rights.is_confirmed = True
        self.hold_ms = 0
        self.sent_ms = 0
        self.known_version = 2
        # The witnesses of the map after the one under which a hold ends, if it has others.
        self.later_witnesses = None

    def hear(
        self, peer, version, echo_ms, now_ms, sent=(), is_confirmed=True, store_read_ago_ms=None
    ):
        self.sent_ms += 1
        view = ServiceView(
            STOCK,
            version,
            0,
            1,
            "n-0",
            is_confirmed,
            GRANT_HISTORY_MS,
            list(sent),
            store_read_ago_ms,
        )
        heartbeat = Heartbeat(
            peer, 1, self.sent_ms, echo_ms, False, {}, 0, [view], b"", Scope.GROUP, b"", False
        )
        assert self.membership.on_heartbeat(heartbeat, ADDRESS, now_ms) is not None

    def map(self, version):
        whole = [KeyRange(0, KEY_COUNT - 1, INCARNATION, 1)]
        return RangeMap(STOCK, whole, version, witness_sets=self.witness_sets)

    def are_first_witnesses_listed(self, version, now_ms):
        sets = self.rights.unexpired_witness_sets(self.map(version), now_ms)
        return self.witness_sets[0] in sets

    def may_send(self, now_ms):
        return self.rights.may_send(self.map(1), now_ms)

    def hold_end_ms(self, version, now_ms):
        started, current = self.map(version), self.map(max(version, 2))
        if self.later_witnesses is not None:
            current = RangeMap(
                STOCK,
                current.ranges,
                version + 1,
                witness_sets=(*self.witness_sets, self.later_witnesses),
            )
        return self.rights.hold_end_ms(INCARNATION, started, current, self.hold_ms, now_ms)


@given("{count:d} nodes that know map 1")
def step_nodes(context, count):
    context.rights = RightsScenario(count)


@given("this node has restarted and not read the map")
def step_restarted(context):
    context.rights.rights.is_confirmed = False


@given("this node is not a witness")
def step_no_witness(context):
    scenario = context.rights
    scenario.witness_sets = (tuple(scenario.peers),)


@given("map 2 has other witnesses than map 1")
def step_replaced(context):
    scenario = context.rights
    scenario.witness_sets = (("n-0", *scenario.peers[:2]), ("n-0", *scenario.peers[2:]))


@given("map 2 has other witnesses than map 1, and most of those of map 1 have left")
def step_replaced_and_left(context):
    scenario = context.rights
    scenario.witness_sets = (("n-0", "n-7", "n-8"), ("n-0", *scenario.peers[2:]))


@given("map 2 has other witnesses than map 1, and all of those of map 1 have left")
def step_replaced_and_all_left(context):
    scenario = context.rights
    scenario.witness_sets = (("n-7", "n-8", "n-9"), ("n-0", *scenario.peers[2:]))


@given("a hold of {hold_ms:d} ms")
def step_hold(context, hold_ms):
    context.rights.hold_ms = hold_ms


@when("two peers echo the heartbeat sent at {echo_ms:d} ms")
def step_two_echo(context, echo_ms):
    for peer in context.rights.peers[:2]:
        context.rights.hear(peer, 1, echo_ms, echo_ms + 10)


@when(
    "two peers echo the heartbeat sent at {echo_ms:d} ms, {ago_ms:d} ms after a read of the store"
)
def step_two_echo_reads(context, echo_ms, ago_ms):
    for peer in context.rights.peers[:2]:
        context.rights.hear(peer, 1, echo_ms, echo_ms + 10, store_read_ago_ms=ago_ms)


@when("all peers echo the heartbeat sent at {echo_ms:d} ms")
def step_all_echo(context, echo_ms):
    for peer in context.rights.peers:
        context.rights.hear(peer, 1, echo_ms, echo_ms + 10)


@when("one peer echoes the heartbeat sent at {echo_ms:d} ms")
def step_one_echoes(context, echo_ms):
    context.rights.hear(context.rights.peers[0], 1, echo_ms, echo_ms + 10)


@when("two peers that have restarted echo the heartbeat sent at {echo_ms:d} ms")
def step_restarted_echo(context, echo_ms):
    for peer in context.rights.peers[:2]:
        context.rights.hear(peer, 1, echo_ms, echo_ms + 10, is_confirmed=False)


@when("all peers know map 2 at {now_ms:d} ms and one of them has a grant in flight")
def step_in_flight(context, now_ms):
    _hear_grant_of_peer(context.rights, now_ms, [(now_ms - 40, None)])


@when(
    "all peers know map 2 at {now_ms:d} ms and one of them has given up a grant {ago_ms:d} ms before"
)
def step_given_up(context, now_ms, ago_ms):
    _hear_grant_of_peer(context.rights, now_ms, [(now_ms - ago_ms - 160, now_ms - ago_ms)])


def _hear_grant_of_peer(scenario, now_ms, grants):
    """Let all peers report, of which one has sent grants that began and ended at these times."""
    peer_rights = RenewalRights(STOCK, scenario.membership, 0)
    for _, end_ms in grants:
        peer_rights.begin_grant(INCARNATION)
        if end_ms is not None:
            peer_rights.end_grant(INCARNATION, True, end_ms)
    for peer in scenario.peers:
        sent = peer_rights.sent_orders([INCARNATION], now_ms) if peer == scenario.peers[0] else ()
        scenario.hear(peer, 2, now_ms, now_ms, sent)


@when("map 3 has other witnesses at {now_ms:d} ms")
def step_later_witnesses(context, now_ms):
    scenario = context.rights
    scenario.hold_end_ms(2, now_ms)
    scenario.later_witnesses = ("n-0", *scenario.peers[:2])
    scenario.hold_end_ms(2, now_ms)


@when("a third peer knows map 2")
def step_third(context):
    context.rights.hear(context.rights.peers[2], 2, 0, 1_050)


@when("a read of the store that began at {asked_ms:d} ms returns map 1")
def step_store(context, asked_ms):
    context.rights.rights.confirm_by_store(1, asked_ms)


@when("three peers know map {version:d} at {now_ms:d} ms and one is silent")
@when("three peers know map {version:d} at {now_ms:d} ms")
def step_three_know(context, version, now_ms):
    scenario = context.rights
    for peer in scenario.peers[:3]:
        scenario.hear(peer, version, now_ms, now_ms)
    # The time at which a majority first knew a version is recorded when it is asked for.
    scenario.hold_end_ms(2, now_ms)
    scenario.hold_end_ms(version, now_ms)


@when("all peers know map 2 at {now_ms:d} ms and one has renewed {ago_ms:d} ms before")
def step_all_know(context, now_ms, ago_ms):
    sent = [SentOrder(Life(INCARNATION.server_id, INCARNATION.started_ms), ago_ms)]
    for number, peer in enumerate(context.rights.peers):
        context.rights.hear(peer, 2, now_ms, now_ms, sent if number == 0 else ())


@when("peers {numbers} know map 2 at {now_ms:d} ms")
@when("peer {numbers} knows map 2 at {now_ms:d} ms")
def step_some_know(context, numbers, now_ms):
    for number in numbers.split(" and "):
        context.rights.hear(NodeId(f"n-{number}"), 2, now_ms, now_ms)
    context.rights.hold_end_ms(2, now_ms)
    context.rights.are_first_witnesses_listed(2, now_ms)


@when("the next map that this node knows is map {version:d} at {now_ms:d} ms")
def step_next_map(context, version, now_ms):
    context.rights.known_version = version
    context.rights.are_first_witnesses_listed(version, now_ms)


@when("maps 3 to {last:d} follow until {end_ms:d} ms, each with a move that waits for a hold")
def step_many_maps(context, last, end_ms):
    scenario = context.rights
    for version in range(3, last + 1):
        now_ms = end_ms - (last - version) * 100
        scenario.are_first_witnesses_listed(version, now_ms)
        scenario.hold_end_ms(version, now_ms)
    scenario.known_version = last


@then("grants of map 1 may be sent until {end_ms:d} ms")
def step_may_until(context, end_ms):
    scenario = context.rights
    assert scenario.may_send(end_ms) and not scenario.may_send(end_ms + 1)


@then("grants of map 1 may not be sent at {now_ms:d} ms")
def step_may_not(context, now_ms):
    assert not context.rights.may_send(now_ms)


@then("under map 2 the end of a lost server's hold is not known")
def step_unknown(context):
    assert context.rights.hold_end_ms(2, 6_000) is None, context.rights.hold_end_ms(2, 6_000)


@then("under map 2 the end of a lost server's hold is not known at {now_ms:d} ms")
def step_unknown_at(context, now_ms):
    assert context.rights.hold_end_ms(2, now_ms) is None, context.rights.hold_end_ms(2, now_ms)


@then("under map 2 the hold of a lost server ends at {end_ms:d} ms")
def step_ends(context, end_ms):
    now_ms = max(6_000, end_ms)
    assert context.rights.hold_end_ms(2, now_ms) == end_ms, context.rights.hold_end_ms(2, now_ms)


@then("the witnesses of map 1 are listed until {end_ms:d} ms")
def step_listed_until(context, end_ms):
    scenario = context.rights
    assert scenario.are_first_witnesses_listed(scenario.known_version, end_ms)
    assert not scenario.are_first_witnesses_listed(scenario.known_version, end_ms + 1)
