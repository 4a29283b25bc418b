"""Join callers, router and fake servers in memory under a virtual clock."""

import asyncio
import random
from dataclasses import dataclass, field

import h11

from nutmeglead._generated.settings.ttypes import (
    AdmissionSettings,
    ConcurrencySettings,
    EjectionSettings,
    RetrySettings,
    ServiceSettings,
    Settings,
)
from nutmeglead.core.clock import ManualClock
from nutmeglead.http.server import HttpServer
from nutmeglead.routing.router import RouterService
from nutmeglead.routing.sources import BackendAddress
from nutmeglead.routing.timers import ManualTimers

from .fake_server import FakeServer
from .memory_wire import join_channel, settle, until

DEADLINE_MS = 1000


@dataclass
class FakeAssignment:
    unit: str
    owner: str | None
    epoch: int = 1
    pending: bool = False


@dataclass
class FakePlacement:
    """Be the unit map and the address book; one unit per key unless `units` says otherwise."""

    owners: dict = field(default_factory=dict)
    default_owner: str = "s1"
    server_ids: list = field(default_factory=lambda: ["s1", "s2"])
    routers: int = 1
    callbacks: list = field(default_factory=list)
    gates: bool = False

    def locate(self, service_name, key):
        return self.owners.get(key) or FakeAssignment(f"unit of {key}", self.default_owner)

    def subscribe(self, callback):
        self.callbacks.append(callback)
        return lambda: self.callbacks.remove(callback)

    def change(self, key, assignment):
        self.owners[key] = assignment
        for callback in self.callbacks:
            for service in ("lookups", "orders", "files"):
                callback(service)

    def address(self, service_name, server_id):
        if server_id not in self.server_ids:
            return None
        return BackendAddress(
            "192.0.2.1", 1000 + self.server_ids.index(server_id), "d1", self.gates
        )

    def servers(self, service_name):
        return self.server_ids

    def router_count(self):
        return self.routers


def make_services(**changes):
    common = {
        "slots_per_instance": 4,
        "connections_per_instance": 130,
        "request_timeout_ms": DEADLINE_MS,
        "handover_max_wait_ms": 500,
        "handover_max_count": 8,
        "ejection": EjectionSettings(policy="none"),
        "concurrency": ConcurrencySettings(policy="fixed"),
        "retries": RetrySettings(),
        "admission": AdmissionSettings(),
    }
    common.update(changes)
    return [
        ServiceSettings(name="lookups", idempotent=True, **common),
        ServiceSettings(name="orders", idempotent=False, **common),
        ServiceSettings(name="files", idempotent=True, **common),
    ]


class Caller:
    """Be one caller's connection."""

    def __init__(self, channel):
        self.channel = channel
        self._parser = h11.Connection(h11.CLIENT)
        self.status = None
        self.headers = {}
        self.body = b""
        self.is_whole = False
        self.is_cut = False

    def send(self, method, target, body=b"", headers=(), chunked=False):
        """Send a request without its end; chunked None means that `headers` frame the body."""
        framing = [("transfer-encoding", "chunked")] if chunked else []
        if chunked is False and (body or method == "POST"):
            framing = [("content-length", str(len(body)))]
        head = h11.Request(
            method=method, target=target, headers=[("host", "r"), *framing, *headers]
        )
        self.channel.transport.write(self._parser.send(head))
        if body:
            self.channel.transport.write(self._parser.send(h11.Data(data=body)))

    def send_rest(self, body):
        self.channel.transport.write(self._parser.send(h11.Data(data=body)))

    def finish(self):
        self.channel.transport.write(self._parser.send(h11.EndOfMessage()) or b"")

    async def read_answer(self):
        """Read until the answer is whole or the connection is cut."""
        while not self.is_whole and not self.is_cut:
            try:
                event = self._parser.next_event()
            except h11.RemoteProtocolError:
                self.is_cut = True
                return
            if event is h11.NEED_DATA:
                self._parser.receive_data(await self.channel.read())
            elif isinstance(event, h11.Response):
                self.status = event.status_code
                self.headers = dict(event.headers)
            elif isinstance(event, h11.Data):
                self.body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                self.is_whole = True
            else:
                self.is_cut = True

    def leave(self):
        self.channel.transport.abort()

    @property
    def told(self):
        """Summarise what the caller was told."""
        if self.is_cut or not self.is_whole:
            return "cut" if self.is_cut else "nothing"
        outcome = self.headers.get(b"nutmeglead-outcome")
        if outcome is None:
            return f"{self.status} whole"
        kind = self.body.split(b'"error": "')[1].split(b'"')[0].decode()
        return f"{self.status} {outcome.decode()} {kind}"


class Rig:
    """Hold a router, its fake servers and callers."""

    def __init__(self, services=None, seed=1, peers=None):
        self.clock = ManualClock(1000)
        self.timers = ManualTimers(self.clock)
        self.placement = FakePlacement()
        self.servers = {"s1": FakeServer(), "s2": FakeServer()}
        self.records = []
        settings = Settings(services=services or make_services())
        self.router = RouterService(
            settings,
            self.placement,
            self.placement,
            self.timers,
            random.Random(seed),
            connector=self._connect,
            observer=self,
            peers=peers,
        )
        self.http = HttpServer(self.router.handle)

    def request_finished(self, record):
        self.records.append(record)

    async def _connect(self, address):
        server_id = self.placement.server_ids[address.port - 1000]
        return await self.servers[server_id].connect(address)

    def open_caller(self):
        return Caller(join_channel(self.http._accept()))

    async def ask(self, method, target, body=b"", headers=()):
        """Send a request and read its answer."""
        caller = self.open_caller()
        caller.send(method, target, body, headers)
        caller.finish()
        reading = asyncio.ensure_future(caller.read_answer())
        await until(reading.done, f"an answer to {method} {target}")
        return caller

    def begin(self, method, target, body=b"", headers=()):
        """Send a request; the answer is read in the background."""
        caller = self.open_caller()
        caller.send(method, target, body, headers)
        caller.finish()
        caller.reading = asyncio.ensure_future(caller.read_answer())
        return caller

    async def advance(self, duration_ms, step_ms=10):
        """Let virtual time pass in steps, with all tasks running in between."""
        for _ in range(0, duration_ms, step_ms):
            await settle()
            self.timers.advance(step_ms)
        await settle()

    async def close(self):
        self.router.close()
        for server in self.servers.values():
            server.stop()
        await self.http.stop(0)
        await settle()


def run(coroutine_function, *arguments):
    """Run a coroutine to its end in a loop of its own; warn of tasks that leak."""

    async def guarded():
        result = await coroutine_function(*arguments)
        await settle()
        left = [task for task in asyncio.all_tasks() if task is not asyncio.current_task()]
        assert not left, f"tasks left behind: {left}"
        return result

    return asyncio.run(guarded())
