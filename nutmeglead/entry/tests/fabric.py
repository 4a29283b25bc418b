"""Connect entry processes, the store and key servers in memory, with faults between them."""

import asyncio
import json
import random
from dataclasses import dataclass, field

from result import Err, Ok

from nutmeglead.core.ids import FailureDomainName, NodeId
from nutmeglead.entry.process import EntryProcess
from nutmeglead.http.errors import ConnectFailed, TimedOut
from nutmeglead.http.messages import ResponseHead, header_value
from nutmeglead.platform.node_settings import Bounds, NodeSettings, StoreSettings
from nutmeglead.standin.key_server import KeyServer
from nutmeglead.standin.rows import RowStore

STORE = ("10.0.0.1", 80)
SERVICE = "stock"
KEY_COUNT = 65_536
DELAY_MS = 4
HEARTBEAT_MS = 870
BOUNDS = Bounds(2_000, 6_000, 0.2, 10_000, 64, 10_000)
MANIFEST = {
    "version": "r1",
    "routes": [
        {
            "name": "lookup",
            "host": "stock.example",
            "prefix": "/s/",
            "kind": "safe",
            "timeout_s": 0.8,
            "target_latency_s": 0.3,
            "priority": 1,
            "service": SERVICE,
            "max_attempts": 2,
        }
    ],
    "services": [
        {
            "name": SERVICE,
            "health_check_path": "/health",
            "max_connections": 130,
            "protocol": "h1",
            "tls": False,
            "sharded": True,
            "warm_s": 3.0,
            "grants": "call",
        }
    ],
}


@dataclass
class Host:
    """Hold a server process of the fabric, and what is wrong with it."""

    server: KeyServer
    born_ms: int
    is_up: bool = True
    is_dark: bool = False
    is_off_store: bool = False
    late_share: float = 0.0


@dataclass
class Judge:
    """Note each moment at which a key has two holders, or a fence that is not the highest."""

    faults: list = field(default_factory=list)
    hosts: dict = field(default_factory=dict)
    clock: object = None
    fences: dict = field(default_factory=dict)

    def on_change(self, changed):
        now_ms = self.clock.now_ms()
        for hold in changed.holds:
            if hold.until_ms <= now_ms:
                continue
            for host in self.hosts.values():
                if host.server is changed or not host.is_up:
                    continue
                for other in host.server.holds:
                    overlaps = other.first <= hold.last and hold.first <= other.last
                    if overlaps and other.until_ms > now_ms:
                        self.faults.append((now_ms, changed.server_id, hold, host.server.server_id))


class Fetcher:
    """Carry one node's calls to the store, the servers and other nodes."""

    def __init__(self, fabric, node_id):
        self.fabric = fabric
        self.node_id = node_id
        # Addresses with a kept connection; a new one to a silent host is not established.
        self.connected = set()

    async def fetch(self, ip, port, head, body, timeout_ms):
        is_connected = ip in self.connected
        self.connected.discard(ip)
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                answer = await self._route(ip, port, head, body)
                self.connected.add(ip)
                return answer
        except TimeoutError:
            if not is_connected:
                return Err(ConnectFailed(ip, f"no answer within {timeout_ms} ms"))
            return Err(TimedOut("waiting for the response", timeout_ms))

    async def _route(self, ip, port, head, body):
        await asyncio.sleep(DELAY_MS / 1000)
        if (ip, port) == STORE:
            answer = await self.fabric.call_store(self.node_id, head, body)
        elif ip.startswith("10.2."):
            answer = await self.fabric.order(self.node_id, ip, head, body)
        else:
            answer = await self.fabric.copy(self.node_id, ip, head)
        await asyncio.sleep(DELAY_MS / 1000)
        return answer

    def close(self):
        pass


class Transport:
    """Carry one node's datagrams."""

    def __init__(self, fabric, node_id):
        self.fabric = fabric
        self.node_id = node_id

    def is_closing(self):
        return False

    def sendto(self, data, address):
        loop = asyncio.get_running_loop()
        loop.call_later(DELAY_MS / 1000, self.fabric.deliver, self.node_id, address[0], data)

    def close(self):
        pass


class Fabric:
    """Run nodes and servers; every fault is a switch."""

    def __init__(self, clock, seed, node_count=5, server_count=6):
        self.clock = clock
        self.rng = random.Random(seed)
        self.store = RowStore(clock)
        self.judge = Judge(clock=clock)
        self.hosts = self.judge.hosts
        self.nodes = {}
        self.cut_nodes = set()
        self.off_store = set()
        # Nodes whose calls to the store get no answer.
        self.silent_store = set()
        self.store_fault = None
        self.store_delay_ms = 0
        self.lost_answers = 0
        self.node_ids = [NodeId(f"entry-{number}") for number in range(node_count)]
        self.store.put("op", "config", json.dumps(MANIFEST).encode())
        for number in range(server_count):
            self.add_server(f"s-{number}")
        for node_id in self.node_ids:
            self.start_node(node_id)

    # ---- servers ----

    def add_server(self, server_id):
        server = KeyServer(server_id, self.clock, self.judge.on_change)
        host = Host(server, self.clock.wall_ms())
        self.hosts[server_id] = host
        self.write_entry(server_id)
        return host

    def write_entry(self, server_id, state="ready"):
        host = self.hosts[server_id]
        number = int(server_id.partition("-")[2])
        entry = {
            "service": SERVICE,
            "address": f"10.2.0.{number}:80",
            "zone": f"zone-{number % 3}",
            "version": "v1",
            "slots": 4,
            "state": state,
            "warmup_left_s": 0,
            "seq": 1,
            "born": host.born_ms,
        }
        self.store.put("servers", server_id, json.dumps(entry).encode())

    def remove_entry(self, server_id):
        self.store.put("servers", server_id, None)

    def restart_server(self, server_id):
        """Begin a new life under the same id; the new process holds nothing."""
        self.hosts[server_id].is_up = False
        return self.add_server(server_id)

    async def order(self, node_id, ip, head, body):
        server_id = f"s-{ip.rpartition('.')[2]}"
        host = self.hosts.get(server_id)
        if host is None or not host.is_up:
            return Err(ConnectFailed(ip, "Connection refused"))
        if host.is_dark or node_id in self.cut_nodes:
            await asyncio.sleep(3_600)
        if head.method == b"GET":
            return Ok((ResponseHead(200, [(b"x-instance-id", server_id.encode())]), b""))
        expected = header_value(head.headers, b"x-target-instance")
        target = head.target.decode()
        if self.rng.random() < host.late_share:
            asyncio.get_running_loop().create_task(self._late(host, target, body))
            await asyncio.sleep(3_600)
        status, headers = await host.server.answer(target, expected.decode(), body)
        return Ok((ResponseHead(status, headers), b""))

    async def _late(self, host, target, body):
        """Carry an order out later; the time of its hold counts from its arrival."""
        delay_ms = self.rng.uniform(2_000, 12_000)
        await asyncio.sleep(delay_ms / 1000)
        if host.is_up:
            fields = json.loads(body)
            if "hold_s" in fields:
                fields["hold_s"] = max(0, fields["hold_s"] - delay_ms / 1000)
            await host.server.answer(target, None, json.dumps(fields).encode())

    # ---- the store ----

    async def call_store(self, node_id, head, body):
        is_silent = self.store_fault == "silent" or node_id in self.silent_store
        if is_silent or node_id in self.cut_nodes:
            await asyncio.sleep(3_600)
        if self.store_fault == "busy" or node_id in self.off_store:
            return Ok((ResponseHead(503), b"{}"))
        await asyncio.sleep(self.store_delay_ms / 1000)
        method, target = head.method.decode(), head.target.decode()
        status, answer = await self.store.answer(method, target, body)
        if method == "POST" and self.lost_answers:
            self.lost_answers -= 1
            await asyncio.sleep(3_600)
        return Ok((ResponseHead(status), answer))

    # ---- nodes ----

    def start_node(self, node_id):
        number = self.node_ids.index(node_id)
        settings = NodeSettings(
            node_id,
            f"10.1.0.{number}",
            FailureDomainName(f"zone-{number % 3}"),
            7_000,
            8_000,
            8_001,
            StoreSettings(*STORE),
            BOUNDS,
            1.0,
        )
        fetcher = Fetcher(self, node_id)
        rng = random.Random(self.rng.random())
        process = EntryProcess(settings, self.clock, rng, fetcher, fetcher)
        process.peers.connection_made(Transport(self, node_id))
        process.begin()
        self.nodes[node_id] = process

    def kill_node(self, node_id):
        process = self.nodes.pop(node_id)
        process.abandon()

    def deliver(self, sender, ip, data):
        node_id = self.node_ids[int(ip.rpartition(".")[2])]
        process = self.nodes.get(node_id)
        if process is None or sender in self.cut_nodes or node_id in self.cut_nodes:
            return
        number = self.node_ids.index(sender)
        process.peers.datagram_received(data, (f"10.1.0.{number}", 7_000))

    async def copy(self, node_id, ip, head):
        other = self.node_ids[int(ip.rpartition(".")[2])]
        process = self.nodes.get(other)
        if process is None or node_id in self.cut_nodes or other in self.cut_nodes:
            await asyncio.sleep(3_600)
        return Ok((ResponseHead(200), process.encoded_copy(head.target.decode())))

    def acting(self):
        """Return the node that acts for the service, or None."""
        acting = [
            (process.controllers[SERVICE].role_epoch, node_id)
            for node_id, process in self.nodes.items()
            if SERVICE in process.controllers and process.controllers[SERVICE].is_acting
        ]
        return max(acting)[1] if acting else None

    def unheld_keys(self):
        """Count the sampled keys that no living server holds, or a node would send elsewhere."""
        keys = range(0, KEY_COUNT, 97)
        up = [host.server for host in self.hosts.values() if host.is_up and not host.is_dark]
        return sum(not any(server.holds_key(key) for server in up) for key in keys)
