"""Run the programs' own main functions in this process, on free ports of loopback."""

import asyncio
import contextlib
import io
import json
import logging
import os
import signal
import socket
import tempfile
from pathlib import Path

from nutmeglead.core.events import Event
from nutmeglead.http.client import HttpFetcher
from nutmeglead.http.messages import RequestHead
from nutmeglead.programs import emulate, entry, standin
from nutmeglead.programs.tests.rig import ROOT
from nutmeglead.settings.loader import load_settings
from nutmeglead.settings.structs import plain_struct

__all__ = ["GUARD_MS", "IP", "MAINS", "ServiceRun", "free_ports"]

GUARD_MS = 10_000
IP = "127.0.0.1"
EXAMPLES = ROOT / "examples" / "loopback"
MAINS = {
    "nutmeglead-entry": entry.main,
    "nutmeglead-standin": standin.main,
    "nutmeglead-emulate": emulate.main,
}
LOGGERS = ("nutmeglead.programs.entry", "nutmeglead.programs.common")


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
        event = getattr(record, "event", None)
        if event is None:
            return
        self.events.append(event)
        if event is Event.PROGRAM_STARTED:
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
        self.settings = load_settings(EXAMPLES / "domain-a.jsonc").unwrap()
        # The shortest time that the settings permit, since a stop waits for the balancer.
        self.settings.bounds.stop_grace_ms = 3_000
        node = self.settings.node
        ports = free_ports(5)
        for spec in filter(None, node.thrift_spec):
            if spec[2].endswith("_port"):
                setattr(node, spec[2], ports.pop())
        self.settings.store.port = ports.pop()
        self.events = []
        self.code = None
        self.printed = ""

    def run(self, arguments, visit):
        """Run the program; `visit` is awaited while it runs, then SIGTERM is raised."""
        self._hook = hook = _OnStart(visit)
        with tempfile.TemporaryDirectory() as directory:
            self.path = Path(directory) / "settings.jsonc"
            self.write_settings()
            for name in LOGGERS:
                logging.getLogger(name).addHandler(hook)
            try:
                self.main(["--settings", str(self.path), *arguments])
            finally:
                for name in LOGGERS:
                    logging.getLogger(name).removeHandler(hook)
        self.events = hook.events
        if hook.task is not None:
            hook.task.result()

    async def event(self, event):
        """Return when the program has logged an event; the visit is bounded."""
        while event not in self._hook.events:
            await asyncio.sleep(0)

    def write_settings(self):
        """Write the settings file, as a change of it does."""
        self.path.write_text(json.dumps(plain_struct(self.settings)))

    def main(self, arguments):
        """Call the program's main function with captured output."""
        out = io.StringIO()
        # Log lines go to the descriptor of standard output, which the test runner reads.
        with open(os.devnull, "w") as null:
            out.fileno = null.fileno
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
