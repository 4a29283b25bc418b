"""Run the programs of examples/loopback as idle child processes on free ports."""

from __future__ import annotations

import contextlib
import json
import socket
import subprocess
import sys
import time
import urllib.error
import urllib.request
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import jsonc

from benchmarks.children import ROOT, Child, environment

__all__ = ["Cluster", "Size"]

EXAMPLES = ROOT / "examples" / "loopback"
NODES = ("a", "b", "c")
NODE_PORTS = (
    "router_port",
    "router_rpc_port",
    "router_admin_port",
    "controller_rpc_port",
    "controller_admin_port",
    "router_gate_port",
)
IP = "127.0.0.1"
READY_TIMEOUT_S = 90


@dataclass(frozen=True)
class Size:
    """Say how large the map is; servers are counted over all services."""

    services: int = 2
    servers: int = 6
    hash_buckets: int = 256

    def __str__(self) -> str:
        return f"{self.services} services, {self.servers} servers, {self.hash_buckets} buckets"


class Cluster:
    """Start a platform stand-in, three controllers and three routers; file a ticket."""

    def __init__(self, size: Size, directory: Path) -> None:
        self._size = size
        self._directory = directory
        directory.mkdir(parents=True, exist_ok=True)
        self._stack = contextlib.ExitStack()
        self._ports = _free_ports(3 + len(NODES) * len(NODE_PORTS) + size.servers)
        self._admin_port = 0
        self.controllers: list[Child] = []
        self.router: Child | None = None

    def __enter__(self) -> Cluster:
        with self._stack:
            self._write_files()
            options = [f"--entry-vm={self._settings(node)}" for node in NODES[1:]]
            options.append(f"--backends={self._directory / 'ticket.jsonc'}")
            self._start("standin", NODES[0], options)
            time.sleep(1)
            self.controllers = [self._start("controller", node) for node in NODES]
            self.router, *_ = [self._start("router", node) for node in NODES]
            self._stack = self._stack.pop_all()
        return self

    def __exit__(self, *error: object) -> None:
        self._stack.close()

    def file_ticket(self) -> None:
        """File the ticket with all servers and wait until the router has a complete map."""
        command = [sys.executable, "-m", "nutmeglead.programs.ticket", "--settings"]
        command += [str(self._settings(NODES[0])), "file", str(self._directory / "ticket.jsonc")]
        for _ in range(10):
            done = subprocess.run(
                command, cwd=ROOT, env=environment(), capture_output=True, timeout=60, check=False
            )
            if done.returncode == 0:
                break
            time.sleep(0.5)
        else:
            raise RuntimeError(f"the ticket was not filed: {done.stdout!r} {done.stderr!r}")
        deadline = time.monotonic() + READY_TIMEOUT_S
        while not self._is_ready():
            if time.monotonic() > deadline:
                raise RuntimeError(f"the router was not ready after {READY_TIMEOUT_S} s")
            time.sleep(0.2)

    def _is_ready(self) -> bool:
        try:
            with urllib.request.urlopen(f"http://{IP}:{self._admin_port}/readyz", timeout=2):
                return True
        except (urllib.error.URLError, TimeoutError):
            return False

    def _start(self, program: str, node: str, options: list[str] | None = None) -> Child:
        settings = f"--settings={self._settings(node)}"
        arguments = ["-m", f"nutmeglead.programs.{program}", settings, *(options or [])]
        log = self._directory / f"{program}-{node}.log"
        return self._stack.enter_context(Child(arguments, log))

    def _settings(self, node: str) -> Path:
        return self._directory / f"domain-{node}.jsonc"

    def _write_files(self) -> None:
        platform = [{"ip": IP, "port": self._ports.pop()} for _ in range(3)]
        for node in NODES:
            document = jsonc.loads((EXAMPLES / f"domain-{node}.jsonc").read_text())
            document["node"] |= {name: self._ports.pop() for name in NODE_PORTS}
            if node == NODES[0]:
                self._admin_port = document["node"]["router_admin_port"]
            names = ("table_service", "object_store", "vm_list")
            document["platform"] |= dict(zip(names, platform, strict=True))
            document["services"] = self._services(document["services"])
            self._settings(node).write_text(json.dumps(document))
        (self._directory / "ticket.jsonc").write_text(json.dumps(self._ticket()))

    def _services(self, examples: list[dict[str, Any]]) -> list[dict[str, Any]]:
        change = {"hash_buckets": self._size.hash_buckets}
        return [
            examples[number % len(examples)] | change | {"name": f"service-{number}"}
            for number in range(self._size.services)
        ]

    def _ticket(self) -> dict[str, Any]:
        servers = [
            {
                "service_name": f"service-{number % self._size.services}",
                "server_id": f"server-{number}",
                "state": "present",
                "address": {"ip": IP, "port": self._ports.pop()},
                "failure_domain": f"domain-{NODES[number // self._size.services % len(NODES)]}",
            }
            for number in range(self._size.servers)
        ]
        ticket = {"filing_id": "idle", "base_number": 0, "filed_by": "benchmark"}
        return ticket | {"reason": "measure idle programs", "servers": servers}


def _free_ports(count: int) -> list[int]:
    sockets = [socket.socket() for _ in range(count)]
    for candidate in sockets:
        candidate.bind((IP, 0))
    ports = [candidate.getsockname()[1] for candidate in sockets]
    for candidate in sockets:
        candidate.close()
    return ports
