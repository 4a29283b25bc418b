"""Steps for checking the fields of tickets."""

import fnmatch
import json
import re

import jsonc
from behave import given, then, when
from result import Err, Ok

from nutmeglead.tickets.checks import load_ticket
from nutmeglead.tickets.errors import TicketFaults
from nutmeglead.tickets.tests.samples import EXAMPLES, SETTINGS


class ChecksScenario:
    def __init__(self, ticket_json):
        self.ticket_json = ticket_json

    def find(self, path):
        """Return the object or list that holds the field at a path, and the field's key."""
        steps = [int(s) if s.isdigit() else s for s in re.findall(r"\w+", path)]
        target = self.ticket_json
        for step in steps[:-1]:
            target = target[step]
        return target, steps[-1]

    def load(self):
        return load_ticket(json.dumps(self.ticket_json), SETTINGS, "ticket.jsonc")


@given("the first ticket of brunner")
def step_first_ticket(context):
    text = (EXAMPLES / "brunner" / "ticket-1.jsonc").read_text()
    context.checks = ChecksScenario(jsonc.loads(text))


@given("a ticket with {count:d} claims")
def step_ticket_of_size(context, count):
    claims = [{"service_name": "lagerblick", "key": f"k-{n}"} for n in range(count)]
    header = {"filing_id": "size", "base_number": 0, "filed_by": "operator"}
    context.checks = ChecksScenario(header | {"claims": claims})


@when("the ticket's {path} is set to {value}")
def step_set(context, path, value):
    target, name = context.checks.find(path)
    target[name] = json.loads(value)


@when("the ticket's {path} is removed")
def step_remove(context, path):
    target, name = context.checks.find(path)
    del target[name]


@then('the ticket is refused with only the fault "{pattern}"')
def step_refused(context, pattern):
    loaded = context.checks.load()
    assert isinstance(loaded, Err) and isinstance(loaded.err_value, TicketFaults), loaded
    faults = [str(fault) for fault in loaded.err_value.faults]
    literal = pattern.replace("[", "[[]")
    assert len(faults) == 1 and fnmatch.fnmatchcase(faults[0], literal), faults


@then("the ticket is accepted")
def step_accepted(context):
    loaded = context.checks.load()
    assert isinstance(loaded, Ok), loaded
