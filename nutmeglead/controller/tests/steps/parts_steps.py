"""Steps for the role, the choice of renewers, tickets in force and the write budget."""

from behave import given, then, when

from nutmeglead._generated.common.ttypes import Address
from nutmeglead._generated.messages.ttypes import MissingParty, RoleRow
from nutmeglead.controller.budget import WriteBudget
from nutmeglead.controller.decisions import EntryNode
from nutmeglead.controller.in_force import InForceTracker
from nutmeglead.controller.renewers import choose_renewers, replace_renewer
from nutmeglead.controller.role import RoleKeeper, RoleState
from nutmeglead.core.ids import NodeId

SERVICE, SILENT_MS, STEP_MS = "lagerblick", 1500, 100


def entry_node(name, alive=True, incarnation=1, domain=""):
    return EntryNode(NodeId(name), f"{name}#{incarnation}", domain, Address(name, 1), alive)


class RoleScenario:
    def __init__(self, text):
        self.text, self.row, self.now_ms = text, None, 0
        self.keeper = RoleKeeper(SERVICE, NodeId("c1"), "c1#1", SILENT_MS, 0)

    def nodes(self):
        nodes = [entry_node("c1")]
        for part in self.text.split(", ")[1:]:
            *names, state = part.replace("up again", "again").split()
            is_up = state in ("up", "again") or (state == "flapping" and self.now_ms % 1000 == 0)
            nodes += [entry_node(n, is_up, 2 if state == "again" else 1) for n in names]
        return nodes

    def observe(self, text, version=7):
        if text == "unread":
            return
        row = None
        if text != "absent":
            holder, _, epoch = text.split()
            row = RoleRow(SERVICE, holder.split("#")[0], holder, int(epoch))
        self.keeper.observe(RoleState(row, version if row else 0))

    def run_ms(self, duration_ms):
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms and self.row is None:
            self.now_ms += STEP_MS
            self.row = self.keeper.row_to_write(self.now_ms, self.nodes())


@given('a controller "c1" whose rivals are seen as: {nodes}')
def step_controller(context, nodes):
    context.role = RoleScenario(nodes)


@given("the role row is {row}")
def step_row(context, row):
    context.role.observe(row)


@when("{duration:d} ms pass")
def step_pass(context, duration):
    context.role.run_ms(duration)


@when("another writes it first")
def step_conflict(context):
    role = context.role
    role.run_ms(1600)
    assert role.row is not None
    role.observe("c2#1 at 5", version=8)
    role.row = role.keeper.row_to_write(role.now_ms + 100, role.nodes())


@then("it takes the role: {takes}")
def step_takes(context, takes):
    row = context.role.row
    found = "no" if row is None else f"yes, epoch {row.epoch}"
    assert found == takes, found


@when("all of {count:d} entry VMs consider the role of a ninth that is silent")
def step_candidates(context, count):
    names = [f"c{number}" for number in range(count)]
    nodes = [*(entry_node(name) for name in names), entry_node("c9", alive=False)]
    state = RoleState(RoleRow(SERVICE, "c9", "c9#1", 3), 7)
    context.writers = []
    for name in names:
        keeper = RoleKeeper(SERVICE, NodeId(name), f"{name}#1", 0, 0)
        keeper.observe(state)
        if keeper.row_to_write(0, nodes) is not None:
            context.writers.append(name)


@then("exactly one of them writes the row")
def step_one_writer(context):
    assert len(context.writers) == 1, context.writers


@given("entry VMs {nodes}")
def step_nodes(context, nodes):
    context.nodes = [
        entry_node(name.rstrip("-"), not name.endswith("-"), domain=name[0])
        for name in nodes.split()
    ]


@when('renewers are {chosen_for} for a server in domain "{domain}"')
def step_choose(context, chosen_for, domain):
    # Several servers, since each ranks the nodes differently.
    servers = [f"lb-{number}" for number in range(20)]
    if chosen_for == "chosen":
        found = [choose_renewers(server, domain, context.nodes, 3) for server in servers]
    else:
        present = ["a1", "b1", "c1"]
        found = [replace_renewer(server, present, "b1", context.nodes) for server in servers]
    context.found = found


@then("they are in the domains {domains}")
def step_domains(context, domains):
    for nodes in context.found:
        found = "none" if nodes is None else " ".join(name[0] for name in nodes)
        if "*" in domains:
            assert found[0] == "a" and len(set(found.split())) == 3, found
        elif "?" in domains:  # a second one of either domain
            assert found in ("a a c", "a c c"), found
        else:
            assert found == domains, found
        assert nodes is None or len(set(nodes)) == len(nodes), nodes


@given("a tracker of digests with the history: {history}")
def step_tracker(context, history):
    context.tracker, context.incarnations = InForceTracker(), {}
    for event in history.split("; "):
        match event.split():
            case ["map", digest]:
                context.tracker.map_changed(int(digest))
            case ["planned", number]:
                context.tracker.ticket_planned(int(number))
            case [node, "reports", digest]:
                context.tracker.node_reported(node, "i1", int(digest))
            case [node, "again"]:
                context.incarnations[node] = "i2"


@then('ticket {ticket:d} is in force with live nodes "{nodes}" and unproven "{rest}": {answer}')
@then('ticket {ticket:d} is in force with live nodes "{nodes}" and unproven "": {answer}')
def step_in_force(context, ticket, nodes, answer, rest=""):
    live = [(node, context.incarnations.get(node, "i1")) for node in nodes.split()]
    unproven = [MissingParty(name, "holds units") for name in rest.split()]
    missing = context.tracker.missing(ticket, live, unproven)
    found = " ".join(["no", *(party.id for party in missing)]) if missing else "yes"
    assert found == answer, found


@given("a budget of {rate:d} rows per second")
def step_budget(context, rate):
    context.budget = WriteBudget(rate, 10_000)


@when("{first:d} rows are asked for, and {second:d} rows {later:d} ms later")
def step_ask(context, first, second, later):
    got_first = context.budget.take_up_to(first, 10_000)
    context.got = (got_first, context.budget.take_up_to(second, 10_000 + later))


@then("{first:d} and {second:d} rows are allowed")
def step_allowed(context, first, second):
    assert context.got == (first, second), context.got
