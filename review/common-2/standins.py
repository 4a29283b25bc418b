"""Start entry processes on loopback, with stand-ins of the store, the operator and instances."""

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import time
from collections.abc import Awaitable, Callable, Mapping
from pathlib import Path
from typing import Any, NamedTuple

from nutmeglead.core.clock import SystemClock
from nutmeglead.emulator.rows import RowStore
from nutmeglead.emulator.store_host import StoreHost

LOOPBACK = "127.0.0.1"
REPOSITORY = Path(__file__).resolve().parents[2]
HOST = "shop.example"
LIMITS = {
    "max_header_bytes": 16_384,
    "max_body_bytes": 1_048_576,
    "header_timeout_s": 3,
    "idle_timeout_s": 15,
}
# Bounds of the small deployments in SYSTEM.md.
BOUNDS = {
    "drain_s": 2,
    "grace_s": 6,
    "config_apply_s": 2,
    "retry_budget_ratio": 0.2,
    "budget_window_s": 10,
    "retry_budget_extra": 64,
    "max_hold_s": 10,
    "thaw_slack_s": 0.3,
}


def has_trouble() -> bool:
    """Return whether the disruption is to be played; TROUBLE=0 leaves it out."""
    return os.environ.get("TROUBLE", "1") != "0"


def free_port() -> int:
    """Return a port that is free on the loopback address."""
    with socket.socket() as probe:
        probe.bind((LOOPBACK, 0))
        return int(probe.getsockname()[1])


def new_id() -> str:
    """Return a random request id."""
    return f"{random.getrandbits(64):016x}"


class Record:
    """Write what is sent, answered and run to a file, one line each."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._started_s = time.monotonic()

    def now_s(self) -> float:
        """Return the time since the start in seconds."""
        return time.monotonic() - self._started_s

    def add(self, text: str) -> None:
        """Write a line with the time since the start."""
        self._file.write(f"{self.now_s():8.3f} {text}\n")

    def close(self) -> None:
        """Close the file."""
        self._file.close()


class Answer(NamedTuple):
    """Hold the status, the headers and the body of an answer."""

    status: int
    headers: Mapping[str, str] = {}
    body: bytes = b""


class Request(NamedTuple):
    """Hold a request that has arrived at an instance."""

    method: str
    target: str
    headers: Mapping[str, str]
    body: bytes

    @property
    def request_id(self) -> str:
        """Return the id of the request."""
        return self.headers.get("x-request-id", "")


Handler = Callable[["Instance", Request], Awaitable[Answer]]


class Instance:
    """Serve HTTP/1.1 as an instance; a handler answers the requests for it."""

    def __init__(self, server_id: str, service: str, handler: Handler, slots: int = 4) -> None:
        self.server_id = server_id
        self.service = service
        self.slots = slots
        self.born_ms = int(time.time() * 1000)
        self.port = 0
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, LOOPBACK, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                request = await _read_request(reader)
                answer = await self._answer(request)
                lines = [f"HTTP/1.1 {answer.status} -"]
                lines += [f"{name}: {value}" for name, value in answer.headers.items()]
                lines += [f"Content-Length: {len(answer.body)}", "", ""]
                writer.write("\r\n".join(lines).encode() + answer.body)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, request: Request) -> Answer:
        """Answer health checks, and requests for other instances; leave the rest to the handler."""
        if request.target == "/health":
            return Answer(200, {"X-Instance-Id": self.server_id})
        target = request.headers.get("x-target-instance")
        if target is not None and target != self.server_id:
            return Answer(421, {"X-Request-Id": request.request_id, "X-Not-Executed": "1"})
        return await self._handler(self, request)

    def stop(self) -> None:
        """End all connections and stop listening."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()


async def _read_request(reader: asyncio.StreamReader) -> Request:
    start, headers = _parse_head(await reader.readuntil(b"\r\n\r\n"))
    method, target, _ = start.split(" ")
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return Request(method, target, headers, body)


def _parse_head(data: bytes) -> tuple[str, dict[str, str]]:
    lines = data.decode("latin-1").split("\r\n")
    fields = (line.partition(":") for line in lines[1:] if line)
    return lines[0], {name.strip().lower(): value.strip() for name, _, value in fields}


class Platform:
    """Run the store, and write the operator's manifest and the entries of instances to it."""

    def __init__(self) -> None:
        clock = SystemClock()
        self.rows = RowStore(clock)
        self.host = StoreHost(self.rows, clock)
        self.port = 0
        self._seq = 0

    async def start(self) -> None:
        """Start the store on a free port."""
        self.port = await self.host.start(LOOPBACK, 0)

    def put_manifest(
        self, version: int, routes: list[dict[str, Any]], services: list[dict[str, Any]]
    ) -> None:
        """Write a manifest."""
        fields = {
            "version": f"r{version}",
            "routes": routes,
            "services": services,
            "limits": LIMITS,
        }
        self.rows.put("op", "config", json.dumps(fields).encode())

    def put_server(self, server: Instance, state: str = "ready") -> None:
        """Write the entry of an instance."""
        self._seq += 1
        fields = {
            "service": server.service,
            "address": f"{LOOPBACK}:{server.port}",
            "zone": "zone-a",
            "version": "v1",
            "slots": server.slots,
            "state": state,
            "warmup_left_s": 0,
            "seq": self._seq,
            "born": server.born_ms,
        }
        self.rows.put("servers", server.server_id, json.dumps(fields).encode())

    def remove_server(self, server: Instance) -> None:
        """Remove the entry of an instance."""
        self.rows.put("servers", server.server_id, None)


def route(name: str, prefix: str, service_name: str, kind: str, **other: Any) -> dict[str, Any]:
    """Return a route of a manifest."""
    return {
        "name": name,
        "host": HOST,
        "prefix": prefix,
        "kind": kind,
        "service": service_name,
        "timeout_s": 3,
        "target_latency_s": 0.3,
        "priority": 1,
        "max_attempts": 2,
        **other,
    }


def service(name: str, **other: Any) -> dict[str, Any]:
    """Return a service of a manifest."""
    return {"name": name, "health_check_path": "/health", "max_connections": 130, **other}


class Entry:
    """Run one entry process with the command of the deploy file."""

    def __init__(
        self,
        name: str,
        platform: Platform,
        directory: Path,
        memory_mb: int = 300,
        max_fds: int = 4_100,
    ) -> None:
        self.name = name
        self.memory_mb = memory_mb
        self.front, self.ready, self.control, self.peer = (free_port() for _ in range(4))
        self.process: asyncio.subprocess.Process | None = None
        self.log = directory / f"{name}.log"
        self._settings = directory / f"{name}.toml"
        bounds = ", ".join(f'"{bound}={value}"' for bound, value in BOUNDS.items())
        self._settings.write_text(f"""node = "{name}"
role = "entry"
class = "front"
serves = ["front"]
ip = "{LOOPBACK}"
zone = "zone-a"
region = "region-a"
port_range = [{self.peer}, {self.peer}]
seeds = []
bootstrap = true
counts_in_tolerance = false
discovery = "platform"
entry = "vip"
heartbeat_s = 0.87
contracts = ["base", "drain", "config", "cost", "retry", "recover", "own", "platform"]
bounds = [{bounds}]
grants = "call"
[zones]
zone-a = "region-a"
[listen]
front = "{LOOPBACK}:{self.front}"
readiness = "{LOOPBACK}:{self.ready}"
control = "{LOOPBACK}:{self.control}"
[limits]
cpu_share = 0.86
cores = 1
memory_mb = {memory_mb}
max_fds = {max_fds}
link_mbps = 1000.0
disk_mb = 0
[platform]
address = "{LOOPBACK}:{platform.port}"
form = "table"
writes_per_s = 400
reads_per_s = 2000
""")

    async def start(self) -> None:
        """Start the process at the repository root."""
        environment = {name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ}
        environment["NUTMEGLEAD_SETTINGS"] = str(self._settings)
        environment["PYTHONPATH"] = str(REPOSITORY / "target" / "deps")
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "python3",
                "-m",
                "nutmeglead.programs.entry",
                cwd=REPOSITORY,
                env=environment,
                stdout=log,
                stderr=log,
            )

    @property
    def has_ended(self) -> bool:
        """Return whether the process has ended."""
        return self.process is None or self.process.returncode is not None

    def memory_bytes(self) -> int:
        """Return the resident memory of the process now, or 0 if it has ended."""
        if self.process is None:
            return 0
        with contextlib.suppress(OSError):
            status = Path(f"/proc/{self.process.pid}/status").read_text(encoding="ascii")
            for line in status.splitlines():
                if line.startswith("VmRSS:"):
                    return int(line.split()[1]) * 1024
        return 0

    async def wait_until_ready(self, timeout_s: float = 20) -> bool:
        """Wait until the process says that it is ready; return False if it does not in time."""
        end_s = time.monotonic() + timeout_s
        while time.monotonic() < end_s:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
                if (await ask(self.ready, "/v1/ready", {}, timeout_s=1)).status == 200:
                    return True
            await asyncio.sleep(0.1)
        return False

    async def end(self) -> None:
        """Kill the process if it runs."""
        if self.process is None or self.process.returncode is not None:
            return
        self.process.send_signal(signal.SIGCONT)
        self.process.send_signal(signal.SIGKILL)
        await self.process.wait()


def encode_request(
    target: str, headers: Mapping[str, str], method: str = "GET", body: bytes = b""
) -> bytes:
    """Return the bytes of a request."""
    fields = {"Host": HOST, **headers}
    if body or method == "POST":
        fields["Content-Length"] = str(len(body))
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def read_answer(reader: asyncio.StreamReader) -> Answer:
    """Return the next answer on a connection."""
    start, headers = _parse_head(await reader.readuntil(b"\r\n\r\n"))
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return Answer(int(start.split(" ")[1]), headers, body)


async def ask(
    port: int,
    target: str,
    headers: Mapping[str, str],
    method: str = "GET",
    body: bytes = b"",
    timeout_s: float = 5,
) -> Answer:
    """Send one request on a connection of its own, and return the answer."""
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(LOOPBACK, port)
        try:
            writer.write(encode_request(target, headers, method, body))
            return await read_answer(reader)
        finally:
            writer.close()
