"""Steps for the reports of one renewer."""

from behave import given, then

from nutmeglead._generated.common.ttypes import Address, Sender
from nutmeglead._generated.messages.ttypes import (
    AssignRenewer,
    RenewerSet,
    RenewReply,
    RenewStatus,
)
from nutmeglead._generated.settings.ttypes import OwnershipSettings
from nutmeglead.ownership.renewer import Renewer

# A sleep of 25 ms takes a little longer, so a renewal is sent up to one round late.
LOOP_MS, ROUND_TRIP_MS = 27, 10


class RenewerScenario:
    def __init__(self, lost):
        self.lost, self.count, self.replies, self.reports = lost, 0, [], []
        self.renewer = Renewer("n1", "n1#1", OwnershipSettings(), 0)
        renewers = RenewerSet(1, ["n1", "n2", "n3"], ["n1#1", "n2#1", "n3#1"], 1)
        message = AssignRenewer(
            Sender("c", "c#1"), "x", 1, "s1", Address("s1", 1), "s1#1", renewers
        )
        assert self.renewer.assign(message, 0).accepted

    def run(self, until_ms):
        for now_ms in range(LOOP_MS, until_ms, LOOP_MS):
            for sent, due_ms in [reply for reply in self.replies if reply[1] <= now_ms]:
                self.replies.remove((sent, due_ms))
                reply = RenewReply(RenewStatus.RENEWED, "s1#1", due_ms + 77, 1, 0)
                self.renewer.on_reply("x", "s1", sent, reply, due_ms)
            for order in self.renewer.due(now_ms):
                self.count += 1
                if self.count not in self.lost:
                    self.replies.append((order.message, now_ms + ROUND_TRIP_MS))
            self.reports += self.renewer.suspects(now_ms)


@given("a renewer with late rounds whose renewals {lost} are lost")
def step_renewer(context, lost):
    numbers = set() if lost == "none" else set(map(int, lost.split()))
    context.renewer = RenewerScenario(numbers)


@then("it has reported the server as silent within {limit_ms:d} ms: {reported}")
def step_reported(context, limit_ms, reported):
    context.renewer.run(limit_ms)
    assert bool(context.renewer.reports) == (reported == "yes"), context.renewer.reports
