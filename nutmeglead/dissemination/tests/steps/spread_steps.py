"""Steps for pushes, repair and liveness over a fake network."""

from behave import given, then, when

from nutmeglead._generated.messages.ttypes import PageDelta
from nutmeglead.core.codec import decode, encode
from nutmeglead.dissemination.page_ids import PageId
from nutmeglead.dissemination.tests.page_cases import SERVICE, make_page, same
from nutmeglead.dissemination.tests.spread_rig import SpreadScenario
from nutmeglead.platform.ports import VmEntry, VmState


def _damaged(rng, share):
    def edit(delta):
        if rng.random() >= share:
            return [(0.0, delta)]
        copy = decode(PageDelta, encode(delta)).unwrap()
        position = rng.randrange(len(copy.changes))
        copy.changes = copy.changes[:position] + bytes([copy.changes[position] ^ 0x15])
        copy.changes += delta.changes[position + 1 :]
        return [(0.0, copy)]

    return edit


def _reordered(rng):
    return lambda delta: [(rng.choice([0.0, 40.0, 200.0, 700.0]), delta)]


def _replayed():
    kept = []

    def edit(delta):
        kept.append(delta)
        return [(0.0, delta), *((10.0, old) for old in kept[-4:-1])]

    return edit


def _stop_most(scenario):
    for node_id in [n for n in scenario.nodes if int(n[-2:]) % 3 == 1][1:]:
        scenario.network.stop(node_id)


def _partition(scenario):
    scenario.cut(scenario.is_in_domain("halle-b"))
    scenario.change_some(count=8, gap_ms=1000)
    scenario.heal()


def _lie_behind(scenario):
    """Replace a node by one that holds only first versions."""
    scenario.change_some()
    scenario.restart("entry-05")
    for number in range(3):
        scenario.nodes["entry-05"].machine.copies[SERVICE].put(make_page(1, number=number))


def _take_over(scenario):
    scenario.change_some(2)
    scenario.set_acting("entry-04")
    scenario.change_some(2)


def _stop_after_push(scenario):
    """Let one delta reach a single node, then stop its origin for good."""
    sent = []
    scenario.tamper(lambda delta: [(0.0, delta)] if not sent.append(1) and len(sent) == 1 else [])
    scenario.change(0)
    scenario.run(250)
    scenario.network.stop(scenario.acting)
    scenario.tamper(lambda delta: [(0.0, delta)])


FAULTS = {
    "nothing fails": lambda s: None,
    "one message in ten is lost": lambda s: setattr(s.network, "loss", 0.1),
    "every delta is doubled": lambda s: s.tamper(lambda delta: [(0.0, delta), (3.0, delta)]),
    "deltas arrive in a random order": lambda s: s.tamper(_reordered(s.rng)),
    "old deltas arrive again": lambda s: s.tamper(_replayed()),
    "one delta in three is corrupt": lambda s: s.tamper(_damaged(s.rng, 0.34)),
    "every delta is corrupt": lambda s: s.tamper(_damaged(s.rng, 1.0)),
    "every delta is lost": lambda s: s.tamper(lambda delta: []),
    "one node lies behind": _lie_behind,
    "the relay of a domain is paused": lambda s: s.network.pause(s.relay("halle-b")),
    "all but one node of a domain stop": _stop_most,
    "a failure domain is cut off and back": _partition,
    "a node restarts with empty memory": lambda s: s.restart("entry-05"),
    "another controller takes the role": _take_over,
    "the acting controller stops after one push": _stop_after_push,
}
# Faults that end with the acting controller; nobody can change a page after them.
WITHOUT_CHANGES = {"the acting controller stops after one push"}


@given("{nodes:d} entry VMs in {domains:d} failure domains that hold {pages:d} pages")
def step_spread(context, nodes, domains, pages):
    context.spread = SpreadScenario(nodes, domains, pages)
    assert context.spread.is_converged()


@given("{nodes:d} entry VMs in {domains:d} failure domains")
def step_members(context, nodes, domains):
    context.spread = SpreadScenario(nodes, domains)


@given("the table service has been out for {duration:d} ms")
def step_table_out(context, duration):
    context.spread.is_table_out = True
    context.spread.run(duration)


@when("pages change while {fault}")
def step_fault(context, fault):
    scenario = context.spread
    FAULTS[fault](scenario)
    if fault not in WITHOUT_CHANGES:
        scenario.change_some()
        scenario.change(0)


@when("a node starts with empty memory")
def step_new_node(context):
    context.spread.start("entry-09")
    context.spread.learn_vms()


@when("one node is cut off for {duration:d} ms")
def step_cut_off_node(context, duration):
    context.spread.cut(lambda identity: identity.node_id == "entry-05")
    context.spread.run(duration)


@when("a page differs on one node and then changes")
def step_differs(context):
    copy = context.spread.nodes["entry-05"].machine.copies[SERVICE]
    store, place = copy.store, PageId(False, 0)
    page = store.get(place)
    page.epochs[0] += 7
    store._encoded[place] = encode(page)
    context.spread.change(0)


@then("every node holds the highest version of each page within {limit:d} ms")
def step_converged(context, limit):
    scenario = context.spread
    assert scenario.run(limit, until=scenario.is_converged), {
        node_id: scenario.versions_of(node) for node_id, node in scenario.nodes.items()
    }
    for node_id in scenario.nodes:
        scenario.network.resume(node_id)
    assert scenario.run(limit, until=scenario.is_converged), "a resumed node stays behind"
    scenario.run(limit)
    assert scenario.is_converged()


@then("no node ever went back to a lower version")
def step_forwards(context):
    context.spread.check_forwards()


@then("the page is the same on all nodes")
def step_same_page(context):
    pages = [
        node.machine.copies[SERVICE].store.get(PageId(False, 0))
        for node in context.spread.nodes.values()
    ]
    assert all(same(page, pages[0]) for page in pages)


@then("the new node reports that its state is at least {age:d} ms old")
def step_new_age(context, age):
    node = context.spread.nodes["entry-09"]
    found = node.machine.age_ms(SERVICE, int(context.spread.network.now_ms))
    assert found is not None and found >= age, found


@then("only this node says that it is cut off from the others")
def step_only_one_cut_off(context):
    now_ms = int(context.spread.network.now_ms)
    found = [n for n, node in context.spread.nodes.items() if node.machine.is_cut_off(now_ms)]
    assert found == ["entry-05"], found


@then(
    "the age that it reports is at least {low:d} ms, and that of the others less than {high:d} ms"
)
def step_ages(context, low, high):
    now_ms = int(context.spread.network.now_ms)
    ages = {n: v.machine.age_ms(SERVICE, now_ms) for n, v in context.spread.nodes.items()}
    own = ages.pop("entry-05")
    assert own >= low and all(age is not None and age < high for age in ages.values()), ages


# ---- liveness ----


def _stop_domain(scenario):
    for node_id in [n for n in scenario.nodes if int(n[-2:]) % 4 == 1]:
        scenario.network.stop(node_id)


def _pause_one(scenario):
    scenario.network.pause("entry-07")
    scenario.run(5000)
    scenario.network.resume("entry-07")


def _cut_domain(scenario):
    scenario.cut(scenario.is_in_domain("halle-b"))
    scenario.run(5000)
    scenario.heal()


def _restart_one(scenario):
    incarnation = scenario.nodes["entry-07"].machine.identity.incarnation
    scenario.network.stop("entry-07")
    scenario.start("entry-07", str(int(incarnation) + 1))
    scenario.learn_vms()


def _join(scenario):
    """Start a node that reads the VM list, which does not name the node itself yet."""
    before = {n: v.machine.identity for n, v in scenario.nodes.items()}
    node = scenario.start("entry-40")
    entries = [
        VmEntry(n, "entry", i.rpc_address.ip, 8083, i.failure_domain, VmState.LIVE, "v")
        for n, i in before.items()
    ]
    node.machine.learn_vms(entries, int(scenario.network.now_ms))


EVENTS = {
    "one node stops": lambda s: s.network.stop("entry-07"),
    "one node is paused for 5000 ms": _pause_one,
    "one node restarts": _restart_one,
    "a failure domain stops": _stop_domain,
    "a failure domain is cut off for 5000 ms": _cut_domain,
    "one node joins that no VM list names": _join,
}


@when("{event} happens")
def step_event(context, event):
    EVENTS[event](context.spread)


@then("all running nodes hold all running nodes for alive within {limit:d} ms")
def step_all_alive(context, limit):
    scenario = context.spread
    running = set(scenario.nodes)
    processes = {n: v.machine.identity.incarnation for n, v in scenario.nodes.items()}

    def is_agreed():
        for node_id, node in scenario.nodes.items():
            alive = node.machine.membership.alive()
            if set(alive) != running - {node_id}:
                return False
            known = {n: m.incarnation for n, m in alive.items() if m.incarnation}
            if any(incarnation != processes[n] for n, incarnation in known.items()):
                return False
        return True

    assert scenario.run(limit, until=is_agreed), {
        n: set(v.machine.membership.alive()) ^ (running - {n}) for n, v in scenario.nodes.items()
    }
