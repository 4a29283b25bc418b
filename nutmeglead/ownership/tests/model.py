"""Run the pure machines of this package together under injected faults, in virtual time."""

import random
from dataclasses import dataclass

from result import Ok

from nutmeglead._generated.messages.ttypes import PlacementPage
from nutmeglead.core.codec import decode, encode
from nutmeglead.ownership import pages, server_rows
from nutmeglead.ownership.holder import GrantHolder
from nutmeglead.ownership.renewer import Renewer
from nutmeglead.ownership.tests.model_controller import (
    BUCKETS,
    KEYS,
    NODES,
    SERVERS,
    SERVICE,
    SETTINGS,
    Controller,
    run,
)
from nutmeglead.ownership.units import UnitMap
from nutmeglead.platform.memory import MemoryTable, TableFault
from nutmeglead.platform.ports import RowWrite

STEP_MS = 10
FAULTS = (
    "pause server",
    "restart server",
    "pause node",
    "restart node",
    "table outage",
    "answer lost, applied",
    "answer lost, not applied",
    "cut node",
    "cut pair",
    "cut controllers",
)


class Process:
    """Have an own clock, of any origin and within the drift bound, and pauses."""

    def __init__(self, world, name):
        self.world, self.name, self.paused_until = world, name, 0
        self.origin_ms = world.random.randrange(1, 10**7)
        self.rate = 1 + world.random.choice((-1, 0, 1)) * SETTINGS.clock_drift_ppm / 1e6
        self.restart()

    def restart(self):
        self.incarnation = f"{self.name}.{self.world.next_number()}"
        self.start()

    def now_ms(self):
        return int(self.origin_ms + self.world.time_ms * self.rate)

    def is_paused(self):
        return self.world.time_ms < self.paused_until


class Server(Process):
    def start(self):
        self.holder = GrantHolder(self.incarnation)
        self.runs = []

    def tick(self):
        now, rng = self.now_ms(), self.world.random
        for end_ms, ticket in [run_ for run_ in self.runs if run_[0] <= self.world.time_ms]:
            self.holder.may_commit(ticket, now)
            self.holder.finish(ticket)
            self.runs.remove((end_ms, ticket))
        key = rng.choice(KEYS)
        serving = self.holder.serves(key, now)
        if serving and len(self.runs) < 3 and rng.random() < 0.1:
            admitted = self.holder.admit(key, serving[1], now)
            assert isinstance(admitted, Ok), admitted
            self.runs.append((self.world.time_ms + rng.randrange(400), admitted.ok_value))


class Node(Process):
    """Run a renewer; the first two nodes also run a controller."""

    def start(self):
        self.renewer = Renewer(self.name, self.incarnation, SETTINGS, self.now_ms())
        self.controller = Controller(self) if self.name in NODES[:2] else None

    def tick(self):
        now = self.now_ms()
        for order in self.renewer.due(now):
            self._send_renewal(order)
        for suspicion in self.renewer.suspects(now):
            for peer in NODES[:2]:
                self.world.send(self, peer, lambda node, m=suspicion: node.on_suspect(m))
        if self.world.time_ms % 100 == 0:
            for peer in NODES[:2]:
                self.world.send(
                    self, peer, lambda node, s=(self.name, self.incarnation): node.on_seen(*s)
                )
        if self.controller:
            self.controller.tick(now)

    def _send_renewal(self, order):
        renewer = self.renewer

        def answer(server):
            reply = server.holder.renew(order.message, server.now_ms())
            self.world.send(server, self.name, lambda node: node.on_renewed(renewer, order, reply))

        self.world.send(self, order.server_id, answer)

    def on_renewed(self, renewer, order, reply):
        # A reply belongs to the process that asked; a restarted one has no such connection.
        if renewer is self.renewer:
            args = (order.service_name, order.server_id, order.message, reply, self.now_ms())
            renewer.on_reply(*args)

    def on_suspect(self, message):
        if self.controller:
            self.controller.on_suspect(message, self.now_ms())

    def on_seen(self, name, incarnation):
        if self.controller:
            self.controller.incarnations[name] = incarnation


@dataclass(order=True)
class Delivery:
    due_ms: int
    number: int
    target: str
    handle: object


class World:
    """Hold the processes, the network and the table, and check them after each step."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.time_ms, self.count = 0, 0
        self.has_faults = True
        self.table = MemoryTable()
        self.outage_until = self.cut_until = self.burst_until = 0
        self.cut = set()
        self.deliveries = []
        self.served_epochs = {}
        self.moves = self.served = 0
        self.processes = {name: Server(self, name) for name in SERVERS}
        self.processes |= {name: Node(self, name) for name in NODES}
        self._write_first_rows()

    def _write_first_rows(self):
        stamp = pages.WriteStamp(0, 0)
        first = pages.hash_pages(SERVICE, BUCKETS, lambda b: SERVERS[b % len(SERVERS)], stamp)
        values = {pages.page_key_of(page): page for page in first}
        for server in SERVERS:
            renewers = {name: self.processes[name].incarnation for name in NODES[:3]}
            incarnation = self.processes[server].incarnation
            row = server_rows.first_row(SERVICE, server, incarnation, renewers, 0)
            values[pages.server_key(SERVICE, server)] = row
        writes = [RowWrite(key, encode(value)) for key, value in values.items()]
        assert isinstance(run(self.table.commit([], writes)), Ok)

    def next_number(self):
        self.count += 1
        return self.count

    def send(self, source, target, handle):
        rng = self.random
        copies = 1
        if self.has_faults:
            copies = rng.choices((0, 1, 2), (0.08, 0.86, 0.06))[0]
            if self.time_ms < self.cut_until and frozenset((source.name, target)) in self.cut:
                copies = 0
        for _ in range(copies):
            delay_ms = rng.randrange(1, 30)
            if self.has_faults and rng.random() < 0.03:
                delay_ms = rng.randrange(30, 4000)
            delivery = Delivery(self.time_ms + delay_ms, self.next_number(), target, handle)
            self.deliveries.append(delivery)

    def inject(self, fault, target, duration_ms):
        servers = [self.processes[name] for name in SERVERS]
        nodes = [self.processes[name] for name in NODES]
        group = servers if "server" in fault else nodes
        process = group[target % len(group)]
        if fault.startswith("pause"):
            process.paused_until = self.time_ms + duration_ms
        elif fault.startswith("restart"):
            process.paused_until = 0
            process.restart()
        elif fault == "table outage":
            self.outage_until = self.time_ms + duration_ms
        elif fault.startswith("cut"):
            self.cut = self._cut_links(fault, process.name)
            self.cut_until = self.time_ms + duration_ms
        else:
            self.table.next_commit_faults = [TableFault(fault)]

    def _cut_links(self, fault, name):
        if fault == "cut controllers":
            return {frozenset((one, two)) for one in NODES[:2] for two in NODES[2:]}
        others = SERVERS + NODES if fault == "cut node" else (self.random.choice(NODES),)
        return {frozenset((name, other)) for other in others}

    def step(self):
        self.time_ms += STEP_MS
        out = self.has_faults and self.time_ms < self.outage_until
        self.table.fault = TableFault.UNAVAILABLE if out else TableFault.NONE
        self._deliver()
        processes = list(self.processes.values())
        self.random.shuffle(processes)
        for process in processes:
            if not process.is_paused():
                process.tick()
        self.check()

    def _deliver(self):
        due = sorted(d for d in self.deliveries if d.due_ms <= self.time_ms)
        self.deliveries = [d for d in self.deliveries if d.due_ms > self.time_ms]
        for delivery in due:
            process = self.processes[delivery.target]
            if process.is_paused():
                delivery.due_ms = process.paused_until + self.random.randrange(1, 50)
                self.deliveries.append(delivery)
            else:
                delivery.handle(process)

    def check(self):
        """Check that no key has two holders and that no epoch goes back."""
        for key in KEYS:
            holders = [s for s in SERVERS if self._holder(s).holds(key, self._now(s))]
            assert len(holders) <= 1, f"{self.time_ms} ms: {key} is held by {holders}"
            for server in holders:
                self._check_epoch(key, server)

    def _holder(self, server):
        return self.processes[server].holder

    def _now(self, server):
        return self.processes[server].now_ms()

    def _check_epoch(self, key, server):
        serving = self._holder(server).serves(key, self._now(server))
        if serving is None:
            return
        self.served += 1
        unit, epoch = serving
        last, last_server = self.served_epochs.get(unit, (0, None))
        assert epoch >= last, f"{self.time_ms} ms: {unit} served at {epoch} after {last}"
        assert (
            epoch > last or server == last_server or last_server is None
        ), f"{self.time_ms} ms: {unit} served at epoch {epoch} by {last_server} and {server}"
        self.moves += epoch > last
        self.served_epochs[unit] = (epoch, server)

    def table_map(self):
        """Return a map of what the table holds."""
        unit_map = UnitMap(SERVICE, BUCKETS)
        for row in run(self.table.scan("page/")).unwrap():
            unit_map.apply(decode(PlacementPage, row.value).unwrap())
        return unit_map

    def settle(self, limit_ms):
        """End the faults and step until all keys are served as the table says; return how long."""
        self.has_faults = False
        self.table.next_commit_faults.clear()
        for process in self.processes.values():
            process.paused_until = 0
        begun_ms = self.time_ms
        while self.time_ms - begun_ms < limit_ms:
            self.step()
            if self.time_ms % 100 == 0 and not self.unserved():
                return self.time_ms - begun_ms
        raise AssertionError(f"not served {limit_ms} ms after the faults: {self.unserved()}")

    def unserved(self):
        """List the keys that are not served by their owner in the table at its epoch."""
        unit_map = self.table_map()
        missing = []
        for key in KEYS:
            place = unit_map.locate(key)
            serving = place.owner and self._holder(place.owner).serves(key, self._now(place.owner))
            if serving != (place.unit, place.epoch):
                missing.append((key, place))
        return missing


def run_seed(seed, steps):
    """Run a world with random faults for a number of steps, then let it settle."""
    world = World(seed)
    chooser = random.Random(seed + 1)
    fault_rate = chooser.choice((0.003, 0.01, 0.02))
    # Some rules break only if faults meet a lapse in progress, others only in calmer runs.
    burst_factor = chooser.choice((1, 1, 1, 5))
    for _ in range(steps):
        is_burst = world.time_ms < world.burst_until
        if chooser.random() < fault_rate * (burst_factor if is_burst else 1):
            world.inject(
                chooser.choice(FAULTS), chooser.randrange(4), chooser.choice((300, 1500, 4000))
            )
        world.step()
    world.settled_ms = world.settle(20_000)
    return world
