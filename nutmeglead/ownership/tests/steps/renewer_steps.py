"""Steps for the renewer."""

from behave import given, then

from nutmeglead._generated.common.ttypes import Address, Sender
from nutmeglead._generated.messages.ttypes import (
    AssignRenewer,
    RenewerSet,
    RenewReply,
    RenewStatus,
    StopRenewing,
)
from nutmeglead._generated.settings.ttypes import OwnershipSettings
from nutmeglead.ownership.renewer import Renewer

SERVICE, SERVER = "lagerblick", "s"


class RenewerScenario:
    def __init__(self, history):
        self.now_ms, self.sent, self.role_epoch = 0, None, 1
        self.renewer = Renewer("n1", "i1", OwnershipSettings(), 0)
        for event in history.split("; "):
            verb, *words = event.split()
            getattr(self, "do_" + verb)(*words)

    def do_at(self, now_ms):
        self.now_ms = int(now_ms)

    def do_assign(self, lease_epoch, word="for", value=None):
        incarnation = value if word == "for" and value else "i1"
        role_epoch = int(value) if word == "by" else 1
        renewers = RenewerSet(int(lease_epoch[1:]), ["n1", "n2"], [incarnation, "i9"], role_epoch)
        message = AssignRenewer(
            Sender("c", "i"), SERVICE, role_epoch, SERVER, Address("127.0.0.1", 1), "h1", renewers
        )
        self.reply = self.renewer.assign(message, self.now_ms)

    def do_send(self):
        (order,) = self.renewer.due(self.now_ms)
        self.sent = order.message

    def do_due(self, now_ms):
        self.now_ms = int(now_ms)
        self.renewer.due(self.now_ms)

    def do_reply(self, holder_now_ms, *words):
        incarnation = words[1] if words[:1] == ("from",) else "h1"
        status = RenewStatus.LAPSED if "LAPSED" in words else RenewStatus.RENEWED
        reply = RenewReply(status, incarnation, int(holder_now_ms), 1, 0)
        self.renewer.on_reply(SERVICE, SERVER, self.sent, reply, self.now_ms)

    def do_stop(self, lease_epoch, word="by", role_epoch=1):
        message = StopRenewing(
            Sender("c", "i"), SERVICE, int(role_epoch), SERVER, int(lease_epoch[1:])
        )
        return self.renewer.stop(message, self.now_ms)

    def do_report(self):
        return self.renewer.suspects(self.now_ms)


@given("a renewer with the history: {history}")
def step_history(context, history):
    context.renewer = RenewerScenario(history)


@then("the renewals due at {now:d} ms end at {ends}")
def step_due(context, now, ends):
    orders = context.renewer.renewer.due(now)
    found = [(order.message.lease_end_ms, order.message.lease_epoch) for order in orders]
    end, epoch = (ends.replace(" L", " ").split() + ["1"])[:2]
    expected = [] if ends == "none" else [(int(end), int(epoch))]
    assert found == expected, found
    assert all(order.message.role_epoch for order in orders), orders


@then("the last assignment was {answer} {epoch:d}")
def step_assigned(context, answer, epoch):
    reply = context.renewer.reply
    assert (reply.accepted, reply.lease_epoch) == (answer == "accepted", epoch), reply


@then("a stop of lease epoch {epoch:d} at {now:d} ms leaves {remaining:d}")
def step_stop(context, epoch, now, remaining):
    context.renewer.now_ms = now
    reply = context.renewer.do_stop(f"L{epoch}")
    assert (reply.lease_epoch, reply.remaining_ms) == (epoch, remaining), reply


@then("the report at {now:d} ms is {report}")
def step_report(context, now, report):
    context.renewer.now_ms = now
    found = [
        f"{'silent' if m.silent_ms >= 500 else 'answering'} {m.holder_incarnation}"
        for m in context.renewer.do_report()
    ]
    assert found == ([] if report == "none" else [report]), found
