"""Steps for membership and for the sums of requests in flight, with explicit times."""

import asyncio
import re

from behave import given, then, when

from nutmeglead._generated.peers.ttypes import Heartbeat, NodeRow, Scope
from nutmeglead.core.clock import ManualClock
from nutmeglead.core.ids import FailureDomainName, NodeId
from nutmeglead.emulator.network import EmulatedLoop
from nutmeglead.emulator.virtual_time import run_virtual
from nutmeglead.peers.codec import NodeState, encode_states, node_tag
from nutmeglead.peers.membership import Membership
from nutmeglead.peers.peer import HEARTBEAT_INTERVAL_MS
from nutmeglead.peers.service import PeerHandler, PeerService
from nutmeglead.peers.work import InFlightTotals

NOW_MS = 10_000
OWN = NodeId("n-11")
ADDRESS = ("10.0.0.2", 7_000)
TAG = 7
STORE_AGE_MS = 0


class CountingRow(NodeRow):
    """Count the reads of `cpu_cores` over all rows."""

    reads = 0

    def __getattribute__(self, name):
        if name == "cpu_cores":
            CountingRow.reads += 1
        return super().__getattribute__(name)


class MembershipFixture:
    def __init__(self, silent=(), leaving=(), many_cores=()):
        own_cores = 4.0 if OWN in many_cores else 1.0
        self.membership = Membership(OWN, FailureDomainName("zone-2"), own_cores, 0)
        self.sent_ms = 0
        for number in range(11):
            name = f"n-{number:02}"
            cores = 4.0 if name in many_cores else 1.0
            row = CountingRow(*ADDRESS, 1, f"zone-{number % 3}", cores)
            self.membership.set_node(NodeId(name), row, 0)
            if name not in silent:
                self.hear(name, NOW_MS, is_leaving=name in leaving)

    def hear(self, name, now_ms, is_leaving=False, states=()):
        self.sent_ms += 1
        heartbeat = Heartbeat(
            name,
            1,
            self.sent_ms,
            0,
            is_leaving,
            {},
            STORE_AGE_MS,
            [],
            b"",
            Scope.GROUP,
            encode_states(states),
            False,
        )
        self.membership.on_heartbeat(heartbeat, ADDRESS, now_ms)


@given("12 nodes in 3 failure domains, where {changes}")
def step_nodes(context, changes):
    names = re.findall(r"n-\d+", changes)
    if "silent" in changes:
        context.fixture = MembershipFixture(silent=names)
    elif "leaving" in changes:
        context.fixture = MembershipFixture(leaving=names)
    else:
        context.fixture = MembershipFixture(many_cores=names)


@then("the hubs are {hubs}")
def step_hubs(context, hubs):
    found = context.fixture.membership.hub_ids(NOW_MS)
    assert sorted(found) == sorted(hubs.split()), found


@when("the row of {name} then names more cores")
def step_more_cores(context, name):
    zone = f"zone-{int(name[2:]) % 3}"
    row = NodeRow(*ADDRESS, 1, zone, 4.0)
    context.fixture.membership.hub_ids(NOW_MS)
    context.fixture.membership.set_node(NodeId(name), row, NOW_MS)


@when("the row of {name} is removed")
def step_removed(context, name):
    context.fixture.membership.remove_node(NodeId(name))


@when("the hubs are listed twice")
def step_list_twice(context):
    context.fixture.membership.hub_ids(NOW_MS)
    CountingRow.reads = 0
    context.fixture.membership.hub_ids(NOW_MS)


@then("the second time reads the cores of {count:d} nodes")
def step_reads(context, count):
    assert CountingRow.reads == count, CountingRow.reads


@then("the rank of n-11, counted up to the limit {limit:d}, is {rank:d}")
def step_rank(context, limit, rank):
    found = context.fixture.membership.rank(NOW_MS, limit)
    assert found == rank, found


@when(
    "requests ask {count:d} times in each of {interval_count:d} heartbeat intervals how many nodes "
    "are alive"
)
def step_ask(context, count, interval_count):
    membership = context.fixture.membership
    list_alive_ids, context.passes, context.answers = membership.alive_ids, 0, set()

    def counted_alive_ids(now_ms):
        context.passes += 1
        return list_alive_ids(now_ms)

    membership.alive_ids = counted_alive_ids

    async def run(clock):
        service = PeerService(membership, 1, PeerHandler(), ManualClock(NOW_MS))
        task = asyncio.ensure_future(service.run())
        await asyncio.sleep(HEARTBEAT_INTERVAL_MS / 1000 / 2)
        for _ in range(interval_count - 1):
            context.answers |= {service.alive_count for _ in range(count)}
            await asyncio.sleep(HEARTBEAT_INTERVAL_MS / 1000)
        context.answers |= {service.alive_count for _ in range(count)}
        task.cancel()

    run_virtual(run, EmulatedLoop(1))


@then("the answers are {alive_count:d}, after {passes:d} passes over all nodes")
def step_answers(context, alive_count, passes):
    assert context.answers == {alive_count}, context.answers
    assert context.passes == passes, context.passes


@when("hub n-00 reports that it heard n-09 {age_ms:d} ms ago")
def step_reported_state(context, age_ms):
    state = NodeState(node_tag(NodeId("n-09")), age_ms, False, True)
    # Without its own heartbeat, only the hub's report counts for n-09.
    context.fixture.membership.get(NodeId("n-09")).heartbeat_received_ms = None
    context.fixture.hear("n-00", NOW_MS, states=[state])


@then("{name} is alive for {time_ms:d} ms more and then it is not")
def step_alive(context, name, time_ms):
    membership = context.fixture.membership
    assert membership.is_alive(NodeId(name), NOW_MS + time_ms)
    assert not membership.is_alive(NodeId(name), NOW_MS + time_ms + 1)


@given("a hub that serves two nodes with {one:d} and {two:d} requests at a server")
def step_serves(context, one, two):
    context.in_flight_totals = InFlightTotals()
    context.own = 0
    context.now_ms = NOW_MS
    for name, count in (("n-01", one), ("n-02", two)):
        context.in_flight_totals.apply(Scope.NODE, NodeId(name), {TAG: count}, 0, NOW_MS)


@given("another hub that reports {count:d} requests of its group")
def step_group(context, count):
    context.in_flight_totals.apply(Scope.GROUP, NodeId("n-03"), {TAG: count}, 0, NOW_MS)


@given("the hub itself has {count:d} requests at the server")
def step_own(context, count):
    context.own = count


@when("900 ms pass without a heartbeat")
def step_pass(context):
    context.now_ms += 900


@then(
    "it counts {elsewhere:d} requests elsewhere, reports {group:d} to hubs"
    " and {total:d} to its nodes"
)
def step_sums(context, elsewhere, group, total):
    own = {TAG: context.own}
    assert (
        context.in_flight_totals.in_flight_elsewhere(TAG) == elsewhere
    ), context.in_flight_totals.in_flight_elsewhere(TAG)
    assert context.in_flight_totals.group_sum(own, context.now_ms)[TAG] == group
    assert context.in_flight_totals.total(own, context.now_ms)[TAG] == total


@then("it reports {count:d} requests to hubs")
def step_group_sum(context, count):
    found = context.in_flight_totals.group_sum({}, context.now_ms)
    assert found.get(TAG, 0) == count, found


@given("a node that has reported {count:d} requests at a server in heartbeat {sent_ms:d}")
def step_reported(context, count, sent_ms):
    context.in_flight_totals = InFlightTotals()
    context.in_flight_totals.record_report(sent_ms, {TAG: count})


@when("its hub reports {count:d} requests and echoes heartbeat {sent_ms:d}")
def step_all(context, count, sent_ms):
    context.in_flight_totals.apply(Scope.ALL, NodeId("n-00"), {TAG: count}, sent_ms, NOW_MS)


@then("the node counts {count:d} requests elsewhere")
def step_elsewhere(context, count):
    assert (
        context.in_flight_totals.in_flight_elsewhere(TAG) == count
    ), context.in_flight_totals.in_flight_elsewhere(TAG)
