"""Run random troubles in series and overlapping, and check sole ownership; by hand for many seeds.

python -m nutmeglead.entry.tests.mix --first 1 --count 50
"""

import argparse
import asyncio
import random
import sys

from nutmeglead.core.virtual_time import run_virtual
from nutmeglead.entry.tests.fabric import HEARTBEAT_MS, Fabric

SETTLE_S = 6
TROUBLE_S = 20
# Holds of lost nodes and servers end, and keys are granted anew, well within this time.
CALM_S = 15
NODE_COUNT = 5
SERVER_COUNT = 6


async def pause(rng, low_s, high_s):
    await asyncio.sleep(rng.uniform(low_s, high_s))


class Mix:
    """Hold one run; `log` lists the troubles with their times."""

    def __init__(self, seed):
        self.seed = seed
        self.rng = random.Random(seed)
        self.log = []
        self.faults = []
        self.unheld = 0
        self.next_server = SERVER_COUNT

    def run(self):
        run_virtual(self._run)
        return self

    async def _run(self, clock):
        self.clock = clock
        self.fabric = Fabric(clock, self.seed, NODE_COUNT, SERVER_COUNT)
        await asyncio.sleep(SETTLE_S)
        self.start_ms = clock.now_ms()
        troubles = [
            self.kill_node,
            self.cut_node,
            self.store_away,
            self.turn_away,
            self.lose_answers,
            self.crash_server,
            self.silence_server,
            self.lapse_entry,
            self.drain_server,
            self.restart_server,
            self.late_orders,
            self.add_server,
            self.kill_all,
            self.forget_history,
        ]
        tasks = []
        while clock.now_ms() < self.start_ms + TROUBLE_S * 1_000:
            trouble = self.rng.choice(troubles)
            self.log.append((clock.now_ms() - self.start_ms, trouble.__name__))
            tasks.append(asyncio.get_running_loop().create_task(trouble()))
            await pause(self.rng, 0.1, 3.0)
        await asyncio.gather(*tasks)
        await asyncio.sleep(CALM_S)
        self.faults = self.fabric.judge.faults
        self.unheld = self.fabric.unheld_keys()

    def any_node(self):
        acting = self.fabric.acting()
        if acting is not None and self.rng.random() < 0.5:
            return acting
        return self.rng.choice(self.fabric.node_ids)

    def any_server(self):
        ready = [server_id for server_id, host in self.fabric.hosts.items() if host.is_up]
        return self.rng.choice(ready) if len(ready) > 2 else None

    async def kill_node(self):
        node_id = self.any_node()
        if node_id not in self.fabric.nodes:
            return
        self.fabric.kill_node(node_id)
        await pause(self.rng, 0.3, 4)
        if node_id not in self.fabric.nodes:
            self.fabric.start_node(node_id)

    async def kill_all(self):
        killed = list(self.fabric.nodes)
        for node_id in killed:
            self.fabric.kill_node(node_id)
        await pause(self.rng, 0.3, 2)
        for node_id in killed:
            if node_id not in self.fabric.nodes:
                self.fabric.start_node(node_id)

    async def cut_node(self):
        node_id = self.any_node()
        self.fabric.cut_nodes.add(node_id)
        await pause(self.rng, 0.5, 8)
        self.fabric.cut_nodes.discard(node_id)

    async def store_away(self):
        self.fabric.store_fault = self.rng.choice(["silent", "busy"])
        await pause(self.rng, 1, 9)
        self.fabric.store_fault = None

    async def turn_away(self):
        node_id = self.any_node()
        self.fabric.off_store.add(node_id)
        await pause(self.rng, 1, 9)
        self.fabric.off_store.discard(node_id)

    async def lose_answers(self):
        self.fabric.lost_answers += self.rng.randrange(1, 4)

    async def crash_server(self):
        await self._lose("is_up", False)

    async def silence_server(self):
        await self._lose("is_dark", True)

    async def _lose(self, switch, value):
        server_id = self.any_server()
        if server_id is None:
            return
        setattr(self.fabric.hosts[server_id], switch, value)
        await asyncio.sleep(3 * HEARTBEAT_MS / 1000)
        host = self.fabric.hosts[server_id]
        if not host.is_up or host.is_dark:
            self.fabric.remove_entry(server_id)
        if switch == "is_dark":
            await pause(self.rng, 0, 6)
            # It comes back as if nothing had happened, with the holds that its clock still allows.
            host.is_dark = False
            if host.is_up:
                self.fabric.write_entry(server_id)

    async def lapse_entry(self):
        server_id = self.any_server()
        if server_id is None:
            return
        self.fabric.remove_entry(server_id)
        await pause(self.rng, 0.5, 6)
        if self.fabric.hosts[server_id].is_up:
            self.fabric.write_entry(server_id)

    async def drain_server(self):
        server_id = self.any_server()
        if server_id is None:
            return
        host = self.fabric.hosts[server_id]
        host.server.is_busy = True
        self.fabric.write_entry(server_id, "draining")
        await pause(self.rng, 2, 5)
        host.is_up = False
        self.fabric.remove_entry(server_id)

    async def restart_server(self):
        server_id = self.any_server()
        if server_id is not None:
            self.fabric.restart_server(server_id)

    async def add_server(self):
        self.fabric.add_server(f"s-{self.next_server}")
        self.next_server += 1

    async def late_orders(self):
        hosts = list(self.fabric.hosts.values())
        for host in hosts:
            host.late_share = 0.3
        await pause(self.rng, 1, 6)
        for host in hosts:
            host.late_share = 0.0

    async def forget_history(self):
        self.fabric.store.forget_history()


def main(arguments=None):
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--count", type=int, default=50)
    options = parser.parse_args(arguments)
    failed = 0
    for seed in range(options.first, options.first + options.count):
        mix = Mix(seed).run()
        if mix.faults or mix.unheld:
            failed += 1
            print(f"seed {seed}: faults {mix.faults[:2]}, unheld {mix.unheld}, {mix.log}")
    print(f"{options.count - failed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
