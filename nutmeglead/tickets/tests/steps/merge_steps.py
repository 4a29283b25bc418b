"""Steps for conflicts between tickets."""

from behave import given, then, when
from hypothesis import given as generate
from hypothesis import settings as hypothesis_settings

from nutmeglead.tickets.keys import key_number
from nutmeglead.tickets.merge import CONFLICT_RULES, per_item
from nutmeglead.tickets.state import apply_tickets
from nutmeglead.tickets.tests.generated import KEY_NUMBER_COUNT, ticket_items
from nutmeglead.tickets.tests.samples import parse_items, ticket


class MergeScenario:
    def __init__(self, mine):
        self.mine = ticket("mine", 4, **parse_items(mine))
        self.later = []

    def conflict(self, rule):
        return CONFLICT_RULES.get(rule)(self.mine, self.later)


@given("a ticket with {mine}")
def step_ticket(context, mine):
    context.merge = MergeScenario(mine)


@when("the tickets after its base are one with {theirs}")
def step_later_ticket(context, theirs):
    context.merge.later = [ticket("theirs", 4, number=5, **parse_items(theirs))]


@when("there are no tickets after its base")
def step_no_later_ticket(context):
    context.merge.later = []


@then("per_item finds {count:d} collisions")
def step_collisions(context, count):
    conflict = context.merge.conflict("per_item")
    assert (len(conflict.collisions) if conflict else 0) == count, conflict


@then("head_only finds a conflict")
def step_head_only(context):
    conflict = context.merge.conflict("head_only")
    assert conflict is not None and conflict.head_number == 5


@then("per_item finds the same number with the two tickets exchanged")
def step_symmetric(context):
    mine, later_ticket = context.merge.mine, context.merge.later[0]
    as_filed = per_item(mine, [later_ticket])
    mine.number, later_ticket.number = 5, None
    exchanged = per_item(later_ticket, [mine])
    counts = [len(conflict.collisions) if conflict else 0 for conflict in (as_filed, exchanged)]
    assert counts[0] == counts[1], counts


@then('the collision reads "{text}"')
def step_collision_text(context, text):
    assert [str(c) for c in context.merge.conflict("per_item").collisions] == [text]


@then("no rule finds a conflict")
def step_no_conflict(context):
    assert CONFLICT_RULES.names() == ("head_only", "per_item")
    assert all(context.merge.conflict(name) is None for name in CONFLICT_RULES.names())


@then(
    "in {count:d} generated pairs of tickets, those without a conflict"
    " give the same state in either order"
)
def step_commute(context, count):
    disjoint = []

    @hypothesis_settings(max_examples=count, derandomize=True, database=None, deadline=None)
    @generate(ticket_items, ticket_items, ticket_items)
    def check(before, one, two):
        first = apply_tickets([ticket("before", number=1, **before)])
        mine = ticket("one", 1, **one)
        later_ticket = ticket("two", 1, number=2, **two)
        if per_item(mine, [later_ticket]) is None:
            disjoint.append(1)
            assert owners_after(first, mine, later_ticket) == owners_after(
                first, later_ticket, mine
            )

    check()
    assert len(disjoint) > count // 10, "too few pairs without a conflict were generated"


def owners_after(state, one, two):
    """Return the servers and key owners after two tickets.

    Ticket numbers are left out, because they depend on the order of the tickets.
    """
    one.number, two.number = 2, 3
    service = apply_tickets([one, two], state).service("lagerblick")
    numbers = [*range(KEY_NUMBER_COUNT), *map(key_number, ["a", "a/b", "b"])]
    owners = [service.claim_of(number) for number in numbers]
    servers = [(s.server_id, s.state) for s in service.servers.values()]
    return servers, [claim and claim.server_id for claim in owners]
