"""Steps for the operators' programs."""

import asyncio
import contextlib
import dataclasses
import io
import json
import signal

from behave import given, then, when

from nutmeglead._generated.common.ttypes import Sender
from nutmeglead._generated.messages.ttypes import InForceReply, InForceRequest, MessageType
from nutmeglead.platform.ports import VmState
from nutmeglead.programs import audit, ticket
from nutmeglead.programs.common import run_command_line, run_service, start
from nutmeglead.programs.exit_codes import ExitCode
from nutmeglead.programs.output import Output
from nutmeglead.programs.tests.rig import ROOT, SETTINGS, Platform, entry_vm
from nutmeglead.rpc.server import HandlerRegistry, RpcServer
from nutmeglead.standin.platform import PlatformStandin


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
        "missing": [("lb-07", "no acknowledgement of its grants")],
        "none": None,
    }
    context.program.platform.answers = [known[answer] for answer in answers.split(", ")]


@given("the VM list names only gone and backend VMs")
def step_no_entry(context):
    gone = entry_vm("entry-halle-a-1", VmState.GONE)
    context.program.platform.vms.entries = [gone, entry_vm("lb-01", role="backend")]


@given("the VM list is down")
def step_no_list(context):
    context.program.platform.vms.available = False


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
    assert (platform.asked, platform.clock.now_ms() - begin_ms) == (asked, waited), platform.asked


@then("the JSON error has the type {name} and names item {item}")
def step_json_error(context, name, item):
    error = json.loads(context.program.outcome[1])["error"]
    assert error["type"] == name and error["collisions"][0]["item"] == item, error


@then("the JSON ticket has number {number:d} and server {server_id} with state {state}")
def step_json_ticket(context, number, server_id, state):
    found = json.loads(context.program.outcome[1])["ticket"]
    server = found["servers"][0]
    assert (found["number"], server["server_id"], server["state"]) == (number, server_id, state)


@then("it does not print {text}")
def step_not_printed(context, text):
    assert text not in context.program.outcome[1], context.program.outcome


class StoppingService:
    """End the program as soon as it has started, as SIGTERM would."""

    async def start(self):
        signal.raise_signal(signal.SIGTERM)

    async def stop(self):
        pass


@when("a service program runs with {settings} settings and {option}")
def step_service(context, settings, option):
    context.built = []

    def build(loaded):
        context.built.append(loaded)
        return StoppingService()

    path = {"valid": SETTINGS, "faulty": "nutmeglead/programs/tests/bad-settings.jsonc"}[settings]
    arguments = ["--settings", str(ROOT / path)] + ([] if option == "nothing" else [option])
    with contextlib.redirect_stdout(io.StringIO()), contextlib.redirect_stderr(io.StringIO()):
        context.code = run_service("nutmeglead-test", "A test.", {}, build, arguments)


@when("a command line is interrupted")
def step_interrupted(context):
    async def command():
        raise KeyboardInterrupt

    context.code = run_command_line(command())


@then("it returns {code:w}")
def step_returns(context, code):
    assert context.code == ExitCode[code], context.code


@then("it returns {code:w} and has built {count:d} services")
def step_built(context, code, count):
    assert (context.code, len(context.built)) == (ExitCode[code], count), context.code


class LoopbackScenario:
    """Run the programs through their own HTTP and rpc adapters."""

    def __init__(self):
        self.asked = []

    async def run(self):
        standin, handlers = PlatformStandin(), HandlerRegistry()
        handlers.add(MessageType.IN_FORCE, InForceRequest, self.answer)
        entry = RpcServer(handlers)
        entry_port = await entry.start("127.0.0.1", 0)
        standin.vms.entries = [dataclasses.replace(entry_vm("entry-1"), port=entry_port)]
        port = await standin.start("127.0.0.1", 0)
        try:
            path = f"{ROOT}/examples/brunner/ticket-1.jsonc"
            self.filed = await self.command(ticket, port, f"file {path}")
            self.listed = await self.command(ticket, port, "list")
            self.watched = await self.command(ticket, port, "watch 1")
            self.trail = await self.command(audit, port, "trail")
        finally:
            await standin.stop()
            await entry.close(0)

    async def answer(self, request):
        self.asked.append(request.ticket_number)
        return InForceReply(Sender("entry-1", "1"), request.ticket_number, True, [])

    async def command(self, module, port, line):
        parser = ticket.ticket_parser() if module is ticket else audit.audit_parser()
        options = parser.parse_args(["--settings", f"{ROOT}/{SETTINGS}", "--json", *line.split()])
        output = Output(True, io.StringIO(), io.StringIO())
        settings = start(options, {}, output).unwrap()
        platform = settings.platform
        for address in (platform.table_service, platform.object_store, platform.vm_list):
            address.ip, address.port = "127.0.0.1", port
        code = await module._run(options, settings, output)
        return code, json.loads(output.results.getvalue())


@given("the stand-in of the platform and an entry VM on loopback")
def step_standin(context):
    context.loopback = LoopbackScenario()


@when("the ticket program files examples/brunner/ticket-1.jsonc, lists and watches it")
def step_over_http(context):
    asyncio.run(context.loopback.run())


@then("all end with DONE, the list shows ticket 1 and the entry VM was asked for ticket 1")
def step_listed(context):
    loopback = context.loopback
    assert loopback.filed == (ExitCode.DONE, {"number": 1, "repeated": False}), loopback.filed
    assert loopback.listed[0] == loopback.watched[0] == ExitCode.DONE, loopback.watched
    assert [found["number"] for found in loopback.listed[1]["tickets"]] == [1]
    assert loopback.watched[1]["in_force"] and loopback.asked == [1]


@then("the audit trail is read over HTTP with {count:d} records")
def step_trail(context, count):
    code, values = context.loopback.trail
    assert code == ExitCode.DONE and len(values["records"]) == count, values
    assert values["missing"] == []
