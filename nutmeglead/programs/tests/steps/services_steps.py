"""Steps for the service programs; each runs its own main function in this process."""

import asyncio
import json
import signal
import socket
import tempfile
from pathlib import Path

from behave import given, then, when

from nutmeglead.core.events import Event
from nutmeglead.programs.exit_codes import ExitCode
from nutmeglead.programs.tests.loopback import IP, ServiceRun, free_ports
from nutmeglead.programs.tests.rig import ROOT

FILES = {
    "@loopback": "examples/loopback/domain-a.jsonc",
    "@ticket": "examples/loopback/ticket-1.jsonc",
    "@other": "examples/cubo/ticket-1.jsonc",
    "@faulty": "nutmeglead/programs/tests/bad-settings.jsonc",
}
LIFE = [Event.PROGRAM_STARTED, Event.PROGRAM_STOPPING, Event.PROGRAM_STOPPED]


class ServiceScenario:
    def __init__(self, program):
        self.run = ServiceRun(program)
        self.arguments = []
        self.answer = None
        self.probe = None
        self.vms = None
        self.server_ports = {}

    def port(self, name):
        if name in self.server_ports:
            return self.server_ports[name]
        settings = self.run.settings
        if hasattr(settings.node, name):
            return getattr(settings.node, name)
        return getattr(settings.platform, name).port

    async def stop_within_request(self):
        """Send SIGTERM between the two halves of a request."""
        reader, writer = await asyncio.open_connection(IP, self.port("router_port"))
        writer.write(b"POST /orders/o-1/new HTTP/1.1\r\nhost: x\r\ncontent-length: 8\r\n\r\nhalf")
        await writer.drain()
        # The router has read the head once the next exchange on another connection is answered.
        await self.run.fetch(self.port("router_admin_port"), "/healthz")
        signal.raise_signal(signal.SIGTERM)
        self.probe = await self.run.fetch(self.port("router_admin_port"), "/readyz")
        writer.write(b"half")
        self.answer = await reader.read()
        writer.close()

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
    scenario = context.service
    scenario.server_ports = dict(zip(["stock-1", "stock-2", "stock-3"], free_ports(3), strict=True))
    scenario.write_ticket(
        directory.name,
        [
            ("stock-1", "present", IP),
            ("stock-2", "present", "192.0.2.1"),
            ("stock-3", "removed", IP),
        ],
    )


@when("its main function gets {arguments}")
def step_main(context, arguments):
    words = [] if arguments == "nothing" else arguments.split()
    context.service.run.main([str(ROOT / FILES[w]) if w in FILES else w for w in words])


@when("it runs until {path} was fetched from its {port}")
def step_fetch(context, path, port):
    scenario = context.service

    async def visit():
        scenario.answer = await scenario.run.fetch(scenario.port(port), path)
        if scenario.server_ports:
            scenario.vms = await scenario.run.fetch(scenario.port("vm_list"), "/vms")
            scenario.bound = {name: is_bound(p) for name, p in scenario.server_ports.items()}

    scenario.run.run(scenario.arguments, visit)


@when("it runs until it ends")
def step_run(context):
    async def visit():
        raise AssertionError("the program started")

    context.service.run.run([], visit)


@when("it gets SIGTERM while a caller has sent half of a request")
def step_half(context):
    context.service.run.run([], context.service.stop_within_request)


@then("its exit code is {code:d} and it prints {text}")
def step_code(context, code, text):
    run = context.service.run
    assert (run.code, text in run.printed) == (code, True), (run.code, run.printed)


@then("it answered {status:d} with {text}")
def step_answered(context, status, text):
    found = context.service.answer
    is_expected = found[1] == "" if text == "nothing" else text in found[1]
    assert found[0] == status and is_expected, found


@then("it logged its start, its stop and its end, and returned DONE")
def step_life(context):
    run = context.service.run
    assert (run.events, run.code) == (LIFE, ExitCode.DONE), (run.events, run.code, run.printed)


@then("it did not log its start")
def step_not_started(context):
    assert context.service.run.events == [], context.service.run.events


@then("its ports are free again")
def step_free(context):
    scenario = context.service
    names = [spec[2] for spec in filter(None, scenario.run.settings.node.thrift_spec)]
    names = [name for name in names if name.endswith("_port")]
    names += ["table_service", "object_store", "vm_list"]
    bound = [name for name in names if is_bound(scenario.port(name))]
    assert not bound, bound


@then("the readiness probe got {status:d} with {text}")
def step_probe(context, status, text):
    found = context.service.probe
    assert found[0] == status and text in found[1], found


@then("the caller got a whole answer")
def step_whole(context):
    head, _, body = context.service.answer.partition(b"\r\n\r\n")
    lines = head.lower().split(b"\r\n")
    assert b"connection: close" in lines, head
    assert b"nutmeglead-outcome: not-run" in lines, head
    assert b"content-length: %d" % len(body) in lines, context.service.answer


@then("the VM list names the backend servers {servers}")
def step_vms(context, servers):
    entries = json.loads(context.service.vms[1])
    found = [entry["vm_id"] for entry in entries if entry["role"] == "backend"]
    assert found == servers.split(", "), found


@then("the port of {server} was not bound")
def step_unbound(context, server):
    assert not context.service.bound[server] and context.service.bound["stock-1"]
