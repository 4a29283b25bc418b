"""Steps for the operators' programs."""

import json

from behave import given, then, when

from nutmeglead.programs.common import run_command_line
from nutmeglead.programs.exit_codes import ExitCode
from nutmeglead.programs.tests.rig import SETTINGS, Platform


class ProgramScenario:
    def __init__(self, state):
        self.platform = Platform()
        self.settings = SETTINGS
        self.outcome = None
        for part in state.split(" and "):
            if part == "bad settings":
                self.settings = "nutmeglead/programs/tests/bad-settings.jsonc"
            else:
                self.platform.arrange(part)

    def run(self, program, command):
        self.outcome = self.platform.run(f"{program} --settings {self.settings} {command}")


@given("the platform with {state}")
def step_platform(context, state):
    context.program = ProgramScenario(state)


@given("the entry VMs answer {answers}")
def step_answers(context, answers):
    known = {
        "in force": [],
        "missing": ["lagerblick: lb-07 may still hold keys"],
        "none": None,
    }
    context.program.platform.nodes.answers = [known[answer] for answer in answers.split(", ")]


@given("the entry VMs follow ticket {number:d}")
def step_behind(context, number):
    context.program.platform.nodes.ticket_number = number


@given("the store lists no entry VM")
def step_no_entry(context):
    context.program.platform.nodes.node_ids = []


@given("the entry VMs cannot be listed")
def step_no_list(context):
    context.program.platform.nodes.is_listed = False


@when("the ticket program runs {command}")
def step_ticket(context, command):
    context.program.run("nutmeglead-ticket", command)


@when("the audit program runs {command}")
def step_audit(context, command):
    context.program.run("nutmeglead-audit", command)


@then("it ends with {code} and prints {text}")
def step_ends(context, code, text):
    found, results, errors = context.program.outcome
    assert found == ExitCode[code], context.program.outcome
    # A semicolon separates texts that must all be printed.
    assert all(part in results + errors for part in text.split("; ")), context.program.outcome


@then("{asked:d} questions were asked in {waited:d} ms")
def step_asked(context, asked, waited):
    platform = context.program.platform
    begin_ms = Platform().clock.now_ms()
    assert (platform.nodes.asked, platform.clock.now_ms() - begin_ms) == (
        asked,
        waited,
    ), platform.nodes.asked


@then("the JSON error has the type {name} and names item {item}")
def step_json_error(context, name, item):
    error = json.loads(context.program.outcome[1])["error"]
    assert error["type"] == name and error["collisions"][0]["item"] == item, error


@then("the JSON ticket has number {number:d} and server {server_id} with state {state}")
def step_json_ticket(context, number, server_id, state):
    found = json.loads(context.program.outcome[1])["ticket"]
    server = found["servers"][0]
    assert (found["number"], server["server_id"], server["state"]) == (number, server_id, state)


@when("a command line is interrupted")
def step_interrupted(context):
    async def command():
        raise KeyboardInterrupt

    context.code = run_command_line(command())


@then("it returns {code:w}")
def step_returns(context, code):
    assert context.code == ExitCode[code], context.code
