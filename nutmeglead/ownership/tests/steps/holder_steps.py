"""Steps for the grant holder."""

from behave import given, then, when
from result import Ok

from nutmeglead._generated.common.ttypes import Sender
from nutmeglead._generated.messages.ttypes import Grant, ReleaseUnits, RenewLease, SetGrants
from nutmeglead.ownership.holder import GrantHolder
from nutmeglead.ownership.units import Unit

UNITS = {"bucket": Unit.of_bucket(0), "prefix": Unit.of_prefix("k"), "pin": Unit.of_key("ka")}
RENEWERS = ["n1", "n2", "n3"]


def parse_grants(words):
    pairs = [word.split("@") for word in words]
    return [Grant(UNITS[name].to_id(), int(epoch)) for name, epoch in pairs]


class HolderScenario:
    def __init__(self, history):
        self.now_ms, self.holder, self.ticket = 0, GrantHolder("h1"), None
        self.addressed = "h1"
        for event in history.split("; "):
            verb, *words = event.split()
            getattr(self, "do_" + verb)(*words)

    def do_at(self, now_ms):
        self.now_ms = int(now_ms)

    def do_restart(self):
        self.holder = GrantHolder("h2")

    def do_readdress(self):
        self.addressed = self.holder.incarnation

    def do_renew(self, node_id, lease_epoch, end_ms, role="role0"):
        nodes = [*RENEWERS, "x4"] if node_id == "x4" else RENEWERS
        sender, epoch = Sender(node_id, "i"), int(lease_epoch[1:])
        message = RenewLease(sender, self.addressed, epoch, nodes, int(end_ms), int(role[4:]))
        self.reply = self.holder.renew(message, self.now_ms)

    def do_lease(self, lease_epoch):
        for node_id in RENEWERS[:2]:
            self.do_renew(node_id, lease_epoch, 1000)

    def do_grants(self, order, lease_epoch, *words):
        role_epoch, sequence = map(int, order.split("."))
        grants = parse_grants(word for word in words if word[0] != "-")
        carve_outs = [UNITS[word[1:]].to_id() for word in words if word[0] == "-"]
        lease = int(lease_epoch[1:])
        message = SetGrants(
            Sender("c", "i"),
            role_epoch,
            sequence,
            self.addressed,
            lease,
            RENEWERS,
            1,
            grants,
            carve_outs,
        )
        self.reply = self.holder.set_grants(message, self.now_ms)

    def do_release(self, order, *words):
        role_epoch, sequence = map(int, order.split("."))
        split = words.index("keep") if "keep" in words else len(words)
        units, kept = parse_grants(words[:split]), parse_grants(words[split + 1 :])
        message = ReleaseUnits(Sender("c", "i"), role_epoch, sequence, "h1", units, kept)
        return self.holder.begin_release(message, self.now_ms)

    def do_run(self, epoch):
        self.ticket = self.holder.admit("ka", int(epoch), self.now_ms).unwrap()

    def do_finish(self):
        self.holder.finish(self.ticket)

    def answer(self, key, epoch):
        expected = self.holder.serves(key, self.now_ms)
        result = self.holder.admit(key, epoch, self.now_ms)
        # `serves` must agree with `admit`, since the checks of the model rest on it.
        is_served = expected is not None and expected[1] == epoch
        assert isinstance(result, Ok) == is_served, (result, expected)
        return "run" if isinstance(result, Ok) else result.err_value.reason


@given("a grant holder with the history: {history}")
def step_history(context, history):
    context.holder = HolderScenario(history)


@when('a request for "{key}" arrives at epoch {epoch:d}')
def step_request(context, key, epoch):
    context.answer = context.holder.answer(key, epoch)


@then("the holder answers {answer}")
def step_answer(context, answer):
    assert context.answer == answer, context.answer


@when("it is asked to release: {order}")
def step_release(context, order):
    context.reply = context.holder.do_release(*order.split())


@then("it reports {report}")
def step_report(context, report):
    reply = context.reply
    assert reply.status.name == report, reply
    assert bool(reply.released) == (report == "DONE"), reply


@then("the admitted run may take effect: {allowed}")
def step_effect(context, allowed):
    scenario = context.holder
    may = scenario.holder.may_commit(scenario.ticket, scenario.now_ms)
    assert may == (allowed == "yes"), may


@then("its replies name lease epoch {epoch:d}")
def step_reply_epoch(context, epoch):
    assert context.holder.reply.lease_epoch == epoch, context.holder.reply


@then("the last reply has status {status}")
def step_status(context, status):
    assert context.holder.reply.status.name == status, context.holder.reply
