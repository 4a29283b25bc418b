"""Run the services' own main functions in this process, on free ports of loopback."""

import asyncio
import contextlib
import io
import json
import logging
import signal
import socket
import tempfile
from pathlib import Path

from nutmeglead.core.events import Event
from nutmeglead.http.client import HttpFetcher
from nutmeglead.http.messages import RequestHead
from nutmeglead.programs import controller, router, standin
from nutmeglead.programs.policies import known_policies
from nutmeglead.programs.tests.rig import ROOT
from nutmeglead.settings.loader import load_settings
from nutmeglead.settings.structs import plain_struct

__all__ = ["GUARD_MS", "MAINS", "ServiceRun", "free_ports"]

GUARD_MS = 10_000
IP = "127.0.0.1"
EXAMPLES = ROOT / "examples" / "loopback"
MAINS = {
    "nutmeglead-router": router.main,
    "nutmeglead-controller": controller.main,
    "nutmeglead-standin": standin.main,
}


def free_ports(count):
    """Return ports that were free a moment ago."""
    sockets = [socket.socket() for _ in range(count)]
    for candidate in sockets:
        candidate.bind((IP, 0))
    ports = [candidate.getsockname()[1] for candidate in sockets]
    for candidate in sockets:
        candidate.close()
    return ports


class _OnStart(logging.Handler):
    """Note the events of the program's life and begin the visit when it is ready."""

    def __init__(self, visit):
        super().__init__()
        self.events = []
        self.task = None
        self._visit = visit

    def emit(self, record):
        self.events.append(record.event)
        if record.event is Event.PROGRAM_STARTED:
            self.task = asyncio.get_running_loop().create_task(self._bounded())

    async def _bounded(self):
        try:
            await asyncio.wait_for(self._visit(), GUARD_MS / 1000)
        finally:
            signal.raise_signal(signal.SIGTERM)


class ServiceRun:
    """Hold a settings file with free ports and one run of a program."""

    def __init__(self, program):
        self.program = program
        self.settings = load_settings(EXAMPLES / "domain-a.jsonc", known_policies()).unwrap()
        node, platform = self.settings.node, self.settings.platform
        ports = free_ports(9)
        for spec in filter(None, node.thrift_spec):
            if spec[2].endswith("_port"):
                setattr(node, spec[2], ports.pop())
        for address in (platform.table_service, platform.object_store, platform.vm_list):
            address.port = ports.pop()
        self.fetched = {}
        self.events = []
        self.code = None
        self.printed = ""

    def run(self, arguments, visit):
        """Run the program; `visit` is awaited while it runs, then SIGTERM is raised."""
        hook = _OnStart(visit)
        life = logging.getLogger("nutmeglead.admin.process")
        life.addHandler(hook)
        with tempfile.TemporaryDirectory() as directory:
            path = Path(directory) / "settings.jsonc"
            path.write_text(json.dumps(plain_struct(self.settings)))
            try:
                self.main(["--settings", str(path), *arguments])
            finally:
                life.removeHandler(hook)
        self.events = hook.events
        if hook.task is not None:
            hook.task.result()

    def main(self, arguments):
        """Call the program's main function with captured output."""
        out = io.StringIO()
        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(out):
            try:
                self.code = MAINS[self.program](arguments)
            except SystemExit as exited:
                self.code = exited.code
        self.printed = out.getvalue()

    async def fetch(self, port, path):
        """Return status and body of a GET."""
        fetcher = HttpFetcher()
        try:
            head = RequestHead(b"GET", path.encode())
            fetched = await fetcher.fetch(IP, port, head, b"", GUARD_MS)
        finally:
            fetcher.close()
        response, body = fetched.unwrap()
        return response.status, body.decode()
