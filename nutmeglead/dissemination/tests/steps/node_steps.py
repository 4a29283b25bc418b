"""Steps for the decisions of one node and of routers."""

from behave import given, then, when

from nutmeglead._generated.common.ttypes import Sender
from nutmeglead._generated.messages.ttypes import (
    Heartbeat,
    MessageType,
    PagesReply,
    PagesRequest,
    PageVersion,
)
from nutmeglead.dissemination.fanout import MAX_HOPS
from nutmeglead.dissemination.feeder import Feeder
from nutmeglead.dissemination.page_ids import PageId
from nutmeglead.dissemination.tests.fake_network import FakeNetwork
from nutmeglead.dissemination.tests.node_rig import ADDRESS, NodeScenario, vm_entries
from nutmeglead.dissemination.tests.page_cases import SERVICE, make_page


@given("a node that holds page 0 at version 1 and has 8 members in 2 failure domains")
def step_one_node(context):
    context.node = NodeScenario()


@when("it receives {deltas}")
def step_receives(context, deltas):
    context.node.receive(deltas)


@then("it forwards {forwarded:d} deltas and fetches {fetched:d} pages at once")
def step_forwards_and_fetches(context, forwarded, fetched):
    scenario = context.node
    assert len(scenario.of_type(MessageType.PAGE_DELTA)) == forwarded, scenario.sends
    asked = scenario.of_type(MessageType.PAGES)
    assert len(asked) == fetched, asked
    assert all(send.node_id == scenario.sender_id for send in asked), asked
    for send in asked:
        scenario.node.settle(send, PagesReply(Sender(send.node_id, "1"), [], 0), scenario.now_ms)


@then("at the next ticks it fetches from {targets}")
def step_later(context, targets):
    scenario, asked = context.node, []
    for _ in range(2):
        sends = scenario.of_type(MessageType.PAGES, scenario.tick_alive())
        asked += [send.node_id for send in sends]
        for send in sends:
            scenario.node.settle(send, None, scenario.now_ms)
    if targets == "nobody":
        assert asked == [], asked
    else:
        assert asked[0] == scenario.sender_id and asked[1] != scenario.sender_id, asked


@when("it publishes a change and {receiver} does not answer {times}")
def step_publish_unanswered(context, receiver, times):
    scenario = context.node
    sends = scenario.node.publish(scenario.pages[2], scenario.now_ms)
    is_relay = receiver == "the relay"
    scenario.sends, scenario.first_count = list(sends), len(sends)
    scenario.lost = [s for s in sends if (s.message.hops_left == MAX_HOPS) == is_relay][-1]
    missing = [scenario.lost]
    for _ in range({"once": 1, "twice": 2}[times]):
        replaced = [new for send in missing for new in scenario.node.settle(send, None, 0)]
        scenario.sends += replaced
        missing = [send for send in replaced if send.node_id == scenario.lost.node_id]


@then("that receiver gets {pushes:d} pushes and {replacement} takes its place")
def step_replacement(context, pushes, replacement):
    scenario = context.node
    assert [s.node_id for s in scenario.sends].count(scenario.lost.node_id) == pushes
    others = [
        s for s in scenario.sends[scenario.first_count :] if s.node_id != scenario.lost.node_id
    ]
    domain = scenario.node.membership.member(scenario.lost.node_id).failure_domain
    assert others and all(
        scenario.node.membership.member(s.node_id).failure_domain == domain for s in others
    ), others
    hops = {s.message.hops_left for s in others}
    assert hops == {MAX_HOPS if replacement == "another relay" else MAX_HOPS - 2}, hops


@when("{event} between two ticks")
def step_between_ticks(context, event):
    scenario = context.node
    if event.startswith("it starts anew"):
        context.node = scenario = NodeScenario(holds_page=False)
    elif event.startswith("it is a router"):
        feeder = Feeder("entry-05", ADDRESS)
        context.node = scenario = NodeScenario(feeder=feeder)
        while scenario.node._feeder.current(scenario.now_ms + 500) == feeder:
            scenario.tick()
    elif event.startswith("it runs for"):
        context.node = scenario = NodeScenario(holds_page=False)
        for _ in range(20):
            scenario.tick_alive()
    else:
        sender = Sender("entry-03", "1")
        digests = {SERVICE: scenario.copy.store.digest + 1}
        message = Heartbeat(sender, "halle-b", 5, ADDRESS, {}, digests)
        scenario.node.handle_heartbeat(message, scenario.now_ms)
        if "then a delta" in event:
            scenario.receive("1 to 2")
    sends = scenario.of_type(MessageType.DIGEST, scenario.tick_alive())
    scenario.partners = {send.node_id for send in sends}


@then("it compares digests with {partners}")
def step_partners(context, partners):
    found = context.node.partners
    if partners == "its sender":
        assert found == {"entry-03"}, found
    elif partners == "one other member":
        assert len(found) == 1 and found != {"entry-05"}, found
    elif partners == "3 members":
        assert 2 <= len(found) <= 3, found
    else:
        assert len(found) <= (partners == "at most 1 member"), found


@when(
    "a neighbour with {versions} answers a comparison with age {age:d} ms and gives {given_pages}"
)
def step_compared(context, versions, age, given_pages):
    scenario = context.node
    entries = {
        "equal": [],
        "older": [PageVersion(False, 0, 0)],
        "newer": [PageVersion(False, 0, 2), PageVersion(False, 1, 2)],
    }[versions]
    digest = scenario.copy.store.digest + (versions != "equal")
    for send in scenario.compare(digest, entries, age):
        pages = [make_page(2, number=number) for number in (0, 1)]
        pages = pages if given_pages == "all pages" else pages[:1]
        reply = PagesReply(Sender("entry-03", "1"), pages, age)
        scenario.node.settle(send, None if given_pages == "no reply" else reply, scenario.now_ms)


@when("all other members of its failure domain leave")
def step_alone(context):
    for number in (2, 4, 6, 8):
        sender = Sender(f"entry-{number:02d}", "1")
        message = Heartbeat(sender, "halle-a", 5, ADDRESS, {}, {}, leaving=True)
        context.node.node.handle_heartbeat(message, context.node.now_ms)


@then("each of its next {count:d} comparisons has a partner")
def step_partner(context, count):
    node, now_ms = context.node.node, context.node.now_ms
    assert all(node._neighbour(SERVICE, now_ms) is not None for _ in range(count))


@when("a router attaches to it and a delta arrives")
def step_router_attaches(context):
    sender = Sender("router-00", "1")
    message = Heartbeat(sender, "halle-a", 1, ADDRESS, {}, {}, passive=True)
    context.node.node.handle_heartbeat(message, context.node.now_ms)
    context.node.receive("1 to 2")


@then("the delta is pushed to the router at once")
def step_router_push(context):
    pushed = [s.node_id for s in context.node.of_type(MessageType.PAGE_DELTA)]
    assert "router-00" in pushed, pushed


@when("its copy is confirmed as of {first:d} ms ago and then as of {second:d} ms ago")
def step_confirmed_twice(context, first, second):
    for ago_ms in (first, second):
        context.node.copy.confirm(context.node.now_ms - ago_ms)


@then("the copy's age is {expected}")
def step_age(context, expected):
    found = context.node.node.age_ms(SERVICE, context.node.now_ms)
    assert found == (None if expected == "unknown" else int(expected)), found


@when("a neighbour has {count:d} newer pages")
def step_many_pages(context, count):
    context.node.wanted = [PageVersion(False, n, 2) for n in range(count)]
    context.node.sends = context.node.compare(1, context.node.wanted, 0)


@then("they are fetched in messages of 64, 64 and 22 pages")
def step_chunks(context):
    scenario, sizes = context.node, []
    first = scenario.sends
    second = scenario.compare(1, scenario.wanted, 0)
    assert len(second) == 1 and len(second[0].message.known) == 64
    assert not {e.page_number for e in second[0].message.known} & {
        e.page_number for e in first[0].message.known
    }, "the same pages are asked for twice"
    scenario.node.settle(second[0], None, scenario.now_ms)
    scenario.node.settle(first[0], None, scenario.now_ms)
    sends = scenario.compare(1, scenario.wanted, 0)
    while sends:
        sizes.append(len(sends[0].message.known))
        pages = [make_page(2, number=e.page_number) for e in sends[0].message.known]
        reply = PagesReply(Sender("entry-03", "1"), pages, 0)
        sends = scenario.node.settle(sends[0], reply, scenario.now_ms)
    assert sizes == [64, 64, 22], sizes


@then("a second neighbour is not asked for them until the first fails")
def step_not_twice(context):
    scenario = context.node
    wanted = [PageVersion(False, 0, 9)]
    first = scenario.compare(1, wanted, 0)
    assert len(first) == 1 and scenario.compare(1, wanted, 0) == []
    scenario.node.settle(first[0], None, scenario.now_ms)
    assert len(scenario.compare(1, wanted, 0)) == 1


@then("a neighbour that asks with version 0 gets 1 page, and one that asks with version 1 gets 0")
def step_answers(context):
    for version, count in ((0, 1), (1, 0)):
        request = PagesRequest(Sender("entry-03", "1"), SERVICE, [PageVersion(False, 0, version)])
        reply = context.node.node.handle_pages(request, context.node.now_ms)
        assert len(reply.pages) == count, reply
        assert reply.age_ms == -1, "a copy that was never confirmed claims an age"


@when("{first} announces role epoch {high:d} and then {second} role epoch {low:d}")
def step_roles(context, first, high, second, low):
    for node_id, epoch in ((first, high), (second, low)):
        message = Heartbeat(Sender(node_id, "1"), "halle-b", 5, ADDRESS, {SERVICE: epoch}, {})
        context.node.node.handle_heartbeat(message, context.node.now_ms)


@then("{node_id} is the acting controller")
def step_acting(context, node_id):
    assert context.node.node.acting(SERVICE).node_id == node_id


# ---- routers ----


class RouterScenario:
    def __init__(self):
        self.network = FakeNetwork(3)
        controllers = [f"entry-{n:02d}" for n in range(3)]
        for node_id in controllers:
            self.network.add(node_id, "halle-a", [SERVICE])
        for node_id in controllers:
            feeder = Feeder(node_id, self.network.nodes[node_id].machine.identity.rpc_address)
            self.network.add(f"router-{node_id[-2:]}", "halle-a", [SERVICE], feeder=feeder)
        for node in self.network.nodes.values():
            node.machine.learn_vms(vm_entries(controllers), 1000)
        self.network.nodes["entry-00"].machine.set_role(SERVICE, 1)
        self.run(3000)
        self.publish(1)
        self.run(3000)

    @property
    def router(self):
        return self.network.nodes["router-01"]

    def publish(self, version):
        self.network.publish("entry-00", make_page(version))

    def run(self, duration_ms):
        for _ in range(duration_ms // 250):
            self.network.nodes["entry-00"].machine.confirm(SERVICE, int(self.network.now_ms))
            self.network.run(250)

    def cut(self, node_ids):
        pairs = [{"router-01", node_id} for node_id in node_ids]
        self.network.blocked = lambda a, b: {a.node_id, b.node_id} in pairs

    def versions(self):
        place = PageId(False, 0)
        nodes = self.network.nodes.items()
        return {
            n: v.machine.copies[SERVICE].store.version(place) for n, v in nodes if "router" in n
        }

    def fed_by(self):
        return [n for n, v in self.network.nodes.items() if "router-01" in v.machine.attached()]


@given("{count:d} entry VMs with a router each")
def step_routers(context, count):
    context.routers = RouterScenario()


@when("the controller on the VM of one router is {fault} and a page changes")
def step_controller_fault(context, fault):
    scenario = context.routers
    if fault == "paused":
        scenario.network.pause("entry-01")
    elif fault != "fine":
        scenario.cut({"entry-01", "entry-00"} if "another" in fault else {"entry-01"})
    if fault == "slow to return":
        scenario.run(20000)
    scenario.publish(2)


@then("every router holds the change within {limit:d} ms")
def step_router_limit(context, limit):
    scenario = context.routers
    scenario.run(limit)
    assert set(scenario.versions().values()) == {2}, scenario.versions()


@then("after the fault that router is fed by its own controller again")
def step_fed_again(context):
    scenario = context.routers
    scenario.network.resume("entry-01")
    scenario.cut(set())
    scenario.run(5000)
    assert scenario.fed_by() == ["entry-01"], scenario.fed_by()
    assert not scenario.router.machine.is_cut_off(int(scenario.network.now_ms))


@when("all controllers are unreachable for one router for {duration:d} ms")
def step_all_unreachable(context, duration):
    scenario = context.routers
    scenario.cut({"entry-00", "entry-01", "entry-02"})
    scenario.run(duration)


@then("that router says that it is cut off and that its map is at least {age:d} ms old")
def step_router_cut_off(context, age):
    now_ms = int(context.routers.network.now_ms)
    machine = context.routers.router.machine
    assert machine.is_cut_off(now_ms) and machine.age_ms(SERVICE, now_ms) >= age
