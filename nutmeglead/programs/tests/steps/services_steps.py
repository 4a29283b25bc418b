"""Steps for the service programs; each runs its own main function in this process."""

import json
import logging
import signal
import socket
import tempfile
from pathlib import Path
from unittest import mock

from behave import given, then, when

from nutmeglead.core.events import Event
from nutmeglead.entry import ports
from nutmeglead.programs import entry
from nutmeglead.programs.exit_codes import ExitCode
from nutmeglead.programs.tests.loopback import IP, ServiceRun, free_ports
from nutmeglead.programs.tests.rig import ROOT

FILES = {
    "@loopback": "examples/loopback/domain-a.jsonc",
    "@ticket": "examples/loopback/ticket-1.jsonc",
    "@other": "examples/cubo/ticket-1.jsonc",
    "@faulty": "nutmeglead/programs/tests/bad-settings.jsonc",
    "@platform": "nutmeglead/programs/tests/bad-settings.toml",
    "@day": "examples/days/shift-change.jsonc",
}
INCARNATION = [Event.PROGRAM_STARTED, Event.PROGRAM_STOPPING, Event.PROGRAM_STOPPED]


class ServiceScenario:
    def __init__(self, program):
        self.run = ServiceRun(program)
        self.arguments = []
        self.answer = None
        self.server_ports = {}

    def port(self, name):
        if name in self.server_ports:
            return self.server_ports[name]
        settings = self.run.settings
        return settings.store.port if name == "store" else getattr(settings.node, name)

    def own_ports(self):
        if self.run.program == "nutmeglead-standin":
            return [self.port("store")]
        node = self.run.settings.node
        return [getattr(node, s[2]) for s in node.thrift_spec if s and s[2].endswith("_port")]

    def write_ticket(self, directory, items):
        servers = [
            {
                "service_name": "stock",
                "server_id": server_id,
                "state": state,
                "address": {"ip": ip, "port": self.server_ports[server_id]},
                "failure_domain": "domain-a",
            }
            for server_id, state, ip in items
        ]
        ticket = {"filing_id": "test", "base_number": 0, "filed_by": "test", "servers": servers}
        path = Path(directory) / "ticket.jsonc"
        path.write_text(json.dumps(ticket))
        self.arguments = ["--backends", str(path)]

    async def change_settings(self, leave_ms):
        """Change the file twice; each change is noticed without a signal."""
        self.run.settings.bounds.leave_ms = leave_ms
        self.run.write_settings()
        await self.run.event(Event.SETTINGS_RELOADED)
        self.run.path.write_text('{"user": 7}')
        await self.run.event(Event.SETTINGS_KEPT)


def is_bound(port):
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((IP, port))
        except OSError:
            return True
    return False


@given("the program {program}")
def step_program(context, program):
    context.service = ServiceScenario(program)


@given("another process holds its {port}")
def step_held(context, port):
    held = socket.socket()
    held.bind((IP, context.service.port(port)))
    held.listen()
    context.add_cleanup(held.close)


@given(
    "a ticket with stock-1 on loopback, stock-2 on 192.0.2.1 and stock-3 removed on loopback",
)
def step_ticket(context):
    directory = tempfile.TemporaryDirectory()
    context.add_cleanup(directory.cleanup)
    service = context.service
    ids = ("stock-1", "stock-2", "stock-3")
    service.server_ports = dict(zip(ids, free_ports(3), strict=True))
    items = [("stock-1", "present", IP), ("stock-2", "present", "192.0.2.1")]
    service.write_ticket(directory.name, [*items, ("stock-3", "removed", IP)])


@when("its main function gets {arguments}")
def step_main(context, arguments):
    words = [] if arguments == "nothing" else arguments.split()
    context.service.run.main([str(ROOT / FILES[w]) if w in FILES else w for w in words])


@when("it runs until {path} was fetched from its {port}")
def step_fetched(context, path, port):
    service = context.service

    async def visit():
        service.answer = await service.run.fetch(service.port(port), path)
        service.bound = {name: is_bound(number) for name, number in service.server_ports.items()}

    service.run.run(service.arguments, visit)


@when("it gets SIGTERM as soon as it has logged that a port is not free")
def step_stopped_while_it_waits(context):
    async def visit():
        raise AssertionError("the program has started")

    def stop(record):
        if getattr(record, "event", None) is Event.LISTEN_DELAYED:
            signal.raise_signal(signal.SIGTERM)
        return True

    logger = logging.getLogger("nutmeglead.entry.ports")
    logger.addFilter(stop)
    context.add_cleanup(logger.removeFilter, stop)
    context.service.run.run([], visit)


@then("its ports but the {port} are free again")
def step_others_free(context, port):
    service = context.service
    others = set(service.own_ports()) - {service.port(port)}
    assert not any(map(is_bound, others))


@when("it runs until it ends")
def step_ends(context):
    async def visit():
        raise AssertionError("the program has started")

    with mock.patch.object(ports, "LISTEN_RETRY_MS", 0):
        context.service.run.run([], visit)


@when("its settings file is changed to a drain bound of {leave_ms:d} ms, and then to a faulty one")
def step_changed(context, leave_ms):
    service = context.service
    with mock.patch.object(entry, "SETTINGS_CHECK_INTERVAL_S", 0.01):
        service.run.run([], lambda: service.change_settings(leave_ms))


@then("its exit code is {code:d} and it prints {text}")
def step_code_and_text(context, code, text):
    run = context.service.run
    assert run.code == code and text in run.printed, (run.code, run.printed)


@then("its exit code is {code:d}")
def step_code(context, code):
    assert context.service.run.code == code, context.service.run.code


@then("it answered {status:d} with {text}")
def step_answered(context, status, text):
    found, body = context.service.answer
    assert found == status, context.service.answer
    assert ("" if text == "nothing" else text) in body, body


@then("it logged its start, its stop and its end, and returned DONE")
def step_life(context):
    run = context.service.run
    assert [event for event in run.events if event in INCARNATION] == INCARNATION, run.events
    assert run.code == ExitCode.DONE, run.code


@then("it did not log its start")
def step_no_start(context):
    assert Event.PROGRAM_STARTED not in context.service.run.events


@then("its ports are free again")
def step_free(context):
    assert not any(map(is_bound, context.service.own_ports()))


@then("the port of {server_id} was not bound")
def step_not_bound(context, server_id):
    assert context.service.bound["stock-1"] and not context.service.bound[server_id]


@then("it logged {first} and then {second}")
def step_logged(context, first, second):
    wanted = [Event[first], Event[second]]
    assert [event for event in context.service.run.events if event in wanted] == wanted
