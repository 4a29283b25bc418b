"""One entry process on loopback, with its store and its server in the process of the test."""

import asyncio
import json
import os
import socket
import sys
import tempfile
from pathlib import Path

from nutmeglead.core.clock import SystemClock
from nutmeglead.emulator.rows import RowStore
from nutmeglead.emulator.store_host import StoreHost
from nutmeglead.platform.wire import (
    ANSWER_ID_HEADER,
    MANIFEST_KEY,
    MANIFEST_TABLE,
    READY_TARGET,
    SERVERS_TABLE,
    SIGNATURE_HEADER,
)

__all__ = ["BODY_BYTES", "GUARD_S", "HOST", "MAX_FDS", "MEMORY_MB", "Deployment"]

# The limits of the settings and of the manifest, from which the bounds of the scenarios follow. An
# idle process takes about 30 MB.
MEMORY_MB = 100
MAX_FDS = 280
BODY_BYTES = 4 * 1024 * 1024
# A run that hangs fails instead of blocking; no step judges durations.
GUARD_S = 240
HOST = "crowd.example"
CHUNK_BYTES = 16
CHUNK = b"%x\r\n%b\r\n" % (CHUNK_BYTES, b"x" * CHUNK_BYTES)
LAST_CHUNK = b"0\r\n\r\n"
STORE_IP = "127.0.0.1"
# An address of its own, as the port of the metrics is fixed.
ENTRY_IP = "127.0.94.1"
POLL_INTERVAL_S = 0.02
SETTINGS = """node = "entry-1"
ip = "{ip}"
zone = "zone-a"
port_range = [{peer},{peer}]
bounds = ["drain_s=2","grace_s=3"]

[listen]
front = "{ip}:{front}"
readiness = "{ip}:{ready}"

[limits]
cpu_share = 1.0
cores = 1
memory_mb = {memory_mb}
max_fds = {max_fds}

[platform]
address = "{store_ip}:{store}"
"""
SERVICE = {"name": "app", "health_check_path": "/health", "max_connections": 500}
ROUTE = {
    "name": "app",
    "host": HOST,
    "prefix": "/app/",
    "kind": "safe",
    "service": "app",
    "timeout_s": 10,
    "target_latency_s": 8,
    "max_attempts": 1,
}
LIMITS = {
    "max_header_bytes": 16_384,
    "header_timeout_s": 3,
    "idle_timeout_s": 15,
}


def _free_port(ip):
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


class Server:
    """Answer requests for `/app/N` with N bytes, and for `/app/chunks-N` in chunks of 16 bytes.

    `/app/unread` is answered only after `released`.
    """

    def __init__(self):
        self.released = asyncio.Event()
        self.request_count = 0

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return self._server.sockets[0].getsockname()[1]

    def stop(self):
        self.released.set()
        self._server.close()

    async def _serve(self, reader, writer):
        try:
            while True:
                await self._serve_one(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            writer.close()

    async def _serve_one(self, reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        self.request_count += 1
        lines = head.decode().split("\r\n")
        headers = dict(line.lower().split(": ", 1) for line in lines[1:] if line)
        name = lines[0].split(" ")[1].rpartition("/")[2]
        if name == "unread":
            await self.released.wait()
        remaining = int(headers.get("content-length", 0))
        while remaining:
            data = await reader.read(min(remaining, 65_536))
            if not data:
                raise ConnectionResetError
            remaining -= len(data)
        in_chunks = name.startswith("chunks-")
        digits = name.removeprefix("chunks-")
        size = int(digits) if digits.isdigit() else 2
        answer_id, signature = ANSWER_ID_HEADER.decode(), SIGNATURE_HEADER.decode()
        request_id = headers[answer_id]
        answer = f"HTTP/1.1 200 OK\r\n{answer_id}: {request_id}\r\n{signature}: s\r\n"
        if in_chunks:
            writer.write(f"{answer}transfer-encoding: chunked\r\n\r\n".encode())
            writer.write(CHUNK * (size // CHUNK_BYTES) + LAST_CHUNK)
            await writer.drain()
            return
        writer.write(f"{answer}content-length: {size}\r\n\r\n".encode())
        while size:
            part = min(size, 65_536)
            writer.write(b"x" * part)
            await writer.drain()
            size -= part


class Deployment:
    """Start, watch and stop an entry process; `max_fd_count` is the most descriptors seen."""

    def __init__(self, memory_mb=MEMORY_MB, body_bytes=BODY_BYTES, max_fds=MAX_FDS):
        self.server = Server()
        self.memory_mb = memory_mb
        self.body_bytes = body_bytes
        self.max_fds = max_fds
        self.max_fd_count = 0

    async def start(self):
        """Return once the entry process is ready."""
        clock = SystemClock()
        rows = RowStore(clock)
        self._store = StoreHost(rows, clock)
        store_port = await self._store.start(STORE_IP, 0)
        server_port = await self.server.start()
        limits = {**LIMITS, "max_body_bytes": self.body_bytes}
        manifest = {"version": "r1", "routes": [ROUTE], "services": [SERVICE], "limits": limits}
        rows.put(MANIFEST_TABLE, MANIFEST_KEY, json.dumps(manifest).encode())
        entry = {
            "service": "app",
            "address": f"127.0.0.1:{server_port}",
            "zone": "zone-a",
            "slots": 400,
            "state": "ready",
            "born": 1,
        }
        rows.put(SERVERS_TABLE, "app-1", json.dumps(entry).encode())
        self.front_port, ready_port = _free_port(ENTRY_IP), _free_port(ENTRY_IP)
        self._folder = tempfile.TemporaryDirectory()
        settings = Path(self._folder.name) / "settings.toml"
        settings.write_text(
            SETTINGS.format(
                ip=ENTRY_IP,
                peer=_free_port(ENTRY_IP),
                front=self.front_port,
                ready=ready_port,
                memory_mb=self.memory_mb,
                max_fds=self.max_fds,
                store_ip=STORE_IP,
                store=store_port,
            )
        )
        self.log = Path(self._folder.name) / "entry.log"
        with self.log.open("wb") as log:
            self._process = await asyncio.create_subprocess_exec(
                *(sys.executable, "-m", "nutmeglead.programs.entry", "--settings", str(settings)),
                stdout=log,
                stderr=log,
                env=dict(os.environ, PYTHONHASHSEED="0"),
            )
        while not await self._is_ready(ready_port):
            assert self.is_alive, self.log.read_text()
            await asyncio.sleep(POLL_INTERVAL_S)

    async def stop(self):
        self.server.stop()
        if self.is_alive:
            self._process.kill()
        await self._process.wait()
        await self._store.stop()
        self._folder.cleanup()

    async def connect(self):
        """Return a new connection to the front port; it buffers little on the reading side."""
        return await asyncio.open_connection(ENTRY_IP, self.front_port, limit=4_096)

    async def _is_ready(self, port):
        try:
            reader, writer = await asyncio.open_connection(ENTRY_IP, port)
        except OSError:
            return False
        request = b"GET " + READY_TARGET + b" HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n"
        try:
            writer.write(request)
            return (await reader.read()).startswith(b"HTTP/1.1 200")
        finally:
            writer.close()

    @property
    def is_alive(self):
        return self._process.returncode is None

    def peak_memory_bytes(self):
        """Return the peak of the process's resident memory."""
        status = Path(f"/proc/{self._process.pid}/status").read_text()
        line = next(line for line in status.splitlines() if line.startswith("VmHWM:"))
        return int(line.split()[1]) * 1024

    def count_fds(self):
        """Count the open descriptors of the process."""
        count = len(list(Path(f"/proc/{self._process.pid}/fd").iterdir()))
        self.max_fd_count = max(self.max_fd_count, count)

    async def ordinary_status(self):
        """Return the status of a small request, or 0 if its connection ended without one."""
        try:
            reader, writer = await self.connect()
        except OSError:
            return 0
        try:
            writer.write(
                f"POST /app/2 HTTP/1.1\r\nhost: {HOST}\r\nx-request-id: ordinary\r\n"
                "content-length: 5\r\nconnection: close\r\n\r\nhello".encode()
            )
            answer = await reader.read()
            return int(answer.split(b" ")[1]) if answer else 0
        except OSError:
            return 0
        finally:
            writer.close()
