"""Steps for applying tickets."""

import random

from behave import given, then
from hypothesis import given as generate
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from nutmeglead._generated.tickets.ttypes import ServerState
from nutmeglead.platform.memory import MemoryTable
from nutmeglead.tickets.items import claim_item_id
from nutmeglead.tickets.keys import key_number
from nutmeglead.tickets.rows import read_desired, ticket_writes
from nutmeglead.tickets.state import apply_tickets
from nutmeglead.tickets.tests.generated import KEY_NUMBER_COUNT, ticket_items
from nutmeglead.tickets.tests.samples import parse_items, run, ticket


def number_tickets(items):
    """Return tickets numbered from 1, each with the items at its position."""
    return [ticket(f"t-{n}", n - 1, number=n, **part) for n, part in enumerate(items, 1)]


class StateScenario:
    def __init__(self, *items):
        self.state = apply_tickets(number_tickets([parse_items(text) for text in items]))
        self.service = self.state.service("lagerblick")


@given("tickets 1 to 3 with {one}, {two} and {three}")
def step_tickets(context, one, two, three):
    context.state = StateScenario(one, two, three)


@then("{form} {value} belongs to {owner}")
def step_owner(context, form, value, owner):
    number = key_number(value) if form == "key" else int(value)
    claim = context.state.service.claim_of(number)
    assert (claim.server_id if claim else "none") == owner, claim


@then("server {one} is {state} since ticket {n:d} and server {two} is {other} since ticket {m:d}")
def step_servers(context, one, state, n, two, other, m):
    for server_id, name, number in ((one, state, n), (two, other, m)):
        server = context.state.service.servers[server_id]
        assert (server.state, server.ticket_number) == (ServerState[name.upper()], number)
        assert server.address.port == 9000


@then("the state has the number {number:d}")
def step_state_number(context, number):
    assert context.state.state.number == number


@then("service {name} is empty")
def step_service_empty(context, name):
    service = context.state.state.service(name)
    assert not service.servers and not service.claims


def check_histories(count, check):
    """Call `check` with the numbered tickets of each generated history."""

    @hypothesis_settings(max_examples=count, derandomize=True, database=None, deadline=None)
    @generate(st.lists(ticket_items, min_size=1, max_size=12))
    def run_check(items):
        check(number_tickets(items))

    run_check()


@then(
    "in {count:d} generated histories the state is the same applied at once, one by one,"
    " shuffled and from the item rows"
)
def step_same_state(context, count):
    def check(tickets):
        expected = apply_tickets(tickets)
        state = apply_tickets([])
        for one in tickets:
            state = apply_tickets([one], state)
        assert state == expected
        shuffled = list(tickets)
        random.Random(7).shuffle(shuffled)
        assert apply_tickets(shuffled) == expected
        table = MemoryTable()
        for one in tickets:
            run(table.commit([], ticket_writes(one)))
        assert run(read_desired(table)).unwrap() == expected

    check_histories(count, check)


@then("in {count:d} generated histories each number has the owner of the last ticket that names it")
def step_owners_of_numbers(context, count):
    def check(tickets):
        expected_owners, numbers = {}, range(KEY_NUMBER_COUNT)
        for one in tickets:
            for claim in one.claims:
                item = claim_item_id(claim)
                for number in range(item.first, item.last + 1):
                    expected_owners[number] = claim.server_id and (claim.server_id, one.number)
        actual_owners = {}
        for entry in apply_tickets(tickets).service("lagerblick").claims:
            for number in range(entry.first, entry.last + 1):
                assert number not in actual_owners, "two claims on one number"
                actual_owners[number] = (entry.server_id, entry.ticket_number)
        assert [actual_owners.get(n) for n in numbers] == [expected_owners.get(n) for n in numbers]
        assert actual_owners == {
            number: owner for number, owner in expected_owners.items() if owner
        }

    check_histories(count, check)
