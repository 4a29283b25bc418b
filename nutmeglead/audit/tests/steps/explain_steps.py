"""Steps for the explanation of a key's owner."""

from behave import given, then

from nutmeglead._generated.common.ttypes import Sender
from nutmeglead._generated.messages.ttypes import PlacementPage, PreviousHolder
from nutmeglead._generated.tickets.ttypes import ServerState
from nutmeglead.audit import records
from nutmeglead.audit.explain import Evidence, explain
from nutmeglead.audit.records import AuditContext, LostRange
from nutmeglead.audit.trail import MissingKind, MissingRecords, Trail, Writer
from nutmeglead.ownership.keys import Unit, hash_key
from nutmeglead.tickets.state import fold
from nutmeglead.tickets.tests.samples import claim, server, ticket

SERVICE = "lagerblick"


def context_at(seconds, ticket_number):
    return AuditContext(Sender("entry-1", "1"), seconds * 1000, SERVICE, 2, ticket_number)


class ExplainScenario:
    def __init__(self, state):
        first = ticket("t1", servers=[server("lb-01"), server("lb-02")], number=1)
        fourth = ticket("t4", claims=[claim("lb-02", key="k-1")], number=4)
        fourth.reason = "shift change"
        tickets = [first, fourth]
        if state == "a leaving claimant":
            tickets.append(ticket("t5", servers=[server("lb-02", ServerState.LEAVING)], number=5))
        pages = [self.hash_page(1 if state == "a first placement" else 3)]
        if state != "an unwritten claim":
            pages.append(self.pin_page(pending=state == "a pending handover"))
        gap = MissingRecords(MissingKind.BUFFER_FULL, Writer("entry-1", "1"), LostRange(7, 9))
        still_open = MissingRecords(MissingKind.NOT_CLOSED, Writer("entry-2", "1"), None, "open")
        missing = [still_open, gap] if state == "a gap" else [still_open]
        self.evidence = Evidence(
            pages=pages,
            hash_buckets=2,
            desired=fold(tickets).service(SERVICE),
            tickets={one.number: one for one in tickets},
            trail=Trail(self.records(), missing),
        )

    def hash_page(self, epoch):
        return PlacementPage(SERVICE, False, 0, 1, 2, 3, ["lb-01"], [0, 0], [epoch, epoch], {})

    def pin_page(self, pending):
        previous = {0: [PreviousHolder("lb-01", 5)]} if pending else {}
        units = [Unit.of_key("k-1").to_id()]
        return PlacementPage(SERVICE, True, 0, 1, 2, 4, ["lb-02"], [0], [6], previous, units)

    def records(self):
        own, other = Unit.of_bucket(1).to_id(), Unit.of_bucket(0).to_id()
        key, other_key = Unit.of_key("k-1").to_id(), Unit.of_key("k-9").to_id()
        found = [
            records.unit_moved(context_at(1, 1), own, None, "lb-01", 6, "first placement"),
            records.unit_moved(context_at(1, 1), other, None, "lb-03", 5, "first placement"),
            records.lease_ended(context_at(2, 3), "lb-01", 2, "stopped by two renewers"),
            records.lease_ended(context_at(2, 3), "lb-03", 2, "stopped by two renewers"),
            records.unit_moved(context_at(3, 4), key, "lb-01", "lb-02", 6, "claim"),
            records.unit_moved(context_at(3, 9), other_key, "lb-01", "lb-02", 6, "claim"),
        ]
        strange = records.unit_moved(context_at(3, 4), key, "x-1", "x-2", 6, "another service")
        strange.service_name = "konturablage"
        return [strange, *found]

    def explain(self, key):
        return explain(SERVICE, key, self.evidence)


@given("a service with {state}")
def step_service(context, state):
    # The scenarios name bucket 1; both keys must lie in it.
    assert {hash_key(key) >> 63 for key in ("k-1", "k-2")} == {1}
    context.explain = ExplainScenario(state)


@then('the explanation of {key} has the line "{line}"')
def step_line(context, key, line):
    lines = list(context.explain.explain(key).lines())
    assert line in lines, lines


@then("the history of {key} is")
def step_history(context, key):
    lines = [line.strip() for line in context.explain.explain(key).lines()]
    start = next(n for n, line in enumerate(lines) if line.startswith("history"))
    expected = [row["line"] for row in context.table]
    assert lines[start + 1 :] == expected, lines


@then("the JSON form of {key} names owner {owner}, ticket {number:d} and {count:d} records")
def step_json(context, key, owner, number, count):
    plain = context.explain.explain(key).plain()
    assert (plain["owner"], plain["since_ticket"], len(plain["history"])) == (owner, number, count)
