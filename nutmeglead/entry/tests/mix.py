"""Run random troubles in series and overlapping, and check that no key has two holders.

Run by hand for many seeds:

python -m nutmeglead.entry.tests.mix --first 1 --count 50 --nodes 12
python -m nutmeglead.entry.tests.mix --first 1 --count 50 --cut-owners
"""

import argparse
import asyncio
import random
import sys
from dataclasses import replace

from nutmeglead.emulator.store_host import StoreFault
from nutmeglead.entry.tests.deployment import (
    HEARTBEAT_MS,
    NODE_COUNT,
    OPTIONS,
    SERVICE,
    run_cluster,
)
from nutmeglead.forwarding.model import ServerState

SETTLE_S = 6
TROUBLE_S = 20
# After the loss of nodes and servers, holds expire and keys are granted again well within this time.
RECOVERY_S = 15


async def pause(rng, low_s, high_s):
    await asyncio.sleep(rng.uniform(low_s, high_s))


class Mix:
    """Run random troubles with one seed.

    `log` lists their start times and names, `faults` what the ownership checker found, and
    `unheld_count` is the number of keys without a holder at the end.
    """

    def __init__(self, seed, nodes=NODE_COUNT, cuts_owners=False):
        """With `cuts_owners`, owners are mostly cut off while nodes that renew grants end or stand still."""
        self.seed = seed
        self.cuts_owners = cuts_owners
        self.options = replace(OPTIONS, nodes=nodes)
        self.rng = random.Random(seed)
        self.log = []
        self.faults = []
        self.unheld_count = 0

    def run(self):
        run_cluster(self.seed, self._run, self.options)
        return self

    async def _run(self, cluster):
        self.cluster = cluster
        self.clock = clock = cluster.clock
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
        if self.cuts_owners:
            troubles += 6 * [self.cut_owner_and_strike] + 3 * [self.freeze_node]
        tasks = []
        while clock.now_ms() < self.start_ms + TROUBLE_S * 1_000:
            trouble = self.rng.choice(troubles)
            self.log.append((clock.now_ms() - self.start_ms, trouble.__name__))
            tasks.append(asyncio.get_running_loop().create_task(trouble()))
            await pause(self.rng, 0.1, 3.0)
        await asyncio.gather(*tasks)
        await asyncio.sleep(RECOVERY_S)
        self.faults = cluster.ownership_checker.faults
        self.unheld_count = cluster.unheld_keys()

    def choose_node(self):
        acting = self.cluster.acting(SERVICE)
        if acting is not None and self.rng.random() < 0.5:
            return acting
        return self.rng.choice(self.cluster.node_ids)

    def choose_server(self):
        running = [key for key, server in self.cluster.servers.items() if server.holder.is_up]
        return self.rng.choice(running) if len(running) > 2 else None

    async def kill_node(self):
        node_id = self.choose_node()
        if node_id not in self.cluster.nodes:
            return
        self.cluster.kill_node(node_id)
        await pause(self.rng, 0.3, 4)
        await self._restart_nodes([node_id])

    async def freeze_node(self):
        node_id = self.choose_node()
        if node_id not in self.cluster.nodes:
            return
        ip = self.cluster.node_ip(node_id)
        self.cluster.network.hosts.freeze(ip)
        await pause(self.rng, 0.1, 5)
        self.cluster.network.thaw_host(ip)

    async def cut_owner_and_strike(self):
        """Cut an owner off, and soon after end or freeze nodes that may have grants in flight to it."""
        server_id = self.choose_server()
        if server_id is None:
            return
        cut = asyncio.ensure_future(self._cut_owner(server_id))
        await pause(self.rng, 0.1, 1.5)
        strikes = [self.rng.choice([self.kill_node, self.freeze_node]) for _ in range(2)]
        await asyncio.gather(cut, *(strike() for strike in strikes))

    async def _cut_owner(self, server_id):
        ip = self.cluster.servers[server_id].ip
        self.cluster.disconnect_host(ip)
        if self.rng.random() < 0.5:
            self.cluster.write_entry(server_id, ServerState.LEAVING)
        await pause(self.rng, 0.3, 4)
        self.cluster.reconnect_host(ip)
        if self.cluster.is_up(server_id):
            self.cluster.write_entry(server_id)

    async def kill_all(self):
        killed = list(self.cluster.nodes)
        for node_id in killed:
            self.cluster.kill_node(node_id)
        await pause(self.rng, 0.3, 2)
        await self._restart_nodes(killed)

    async def _restart_nodes(self, node_ids):
        for node_id in node_ids:
            if node_id not in self.cluster.nodes:
                await self.cluster.start_node(node_id)

    async def cut_node(self):
        ip = self.cluster.node_ip(self.choose_node())
        self.cluster.disconnect_host(ip)
        await pause(self.rng, 0.5, 8)
        self.cluster.reconnect_host(ip)

    async def store_away(self):
        self.cluster.store.fault = self.rng.choice([StoreFault.SILENT, StoreFault.BUSY])
        await pause(self.rng, 1, 9)
        self.cluster.store.fault = StoreFault.NONE

    async def turn_away(self):
        node_id = self.choose_node()
        self.cluster.set_store_faults([node_id], StoreFault.BUSY)
        await pause(self.rng, 1, 9)
        self.cluster.set_store_faults([node_id], StoreFault.NONE)

    async def lose_answers(self):
        self.cluster.store.lost_answers += self.rng.randrange(1, 4)

    async def crash_server(self):
        server_id = self.choose_server()
        if server_id is None:
            return
        self.cluster.crash_server(server_id)
        await self._remove_entry_after_timeout(server_id)

    async def silence_server(self):
        server_id = self.choose_server()
        if server_id is None:
            return
        ip = self.cluster.servers[server_id].ip
        self.cluster.disconnect_host(ip)
        await self._remove_entry_after_timeout(server_id)
        await pause(self.rng, 0, 6)
        # The server continues with the holds that have not expired by its own clock.
        self.cluster.reconnect_host(ip)
        if self.cluster.is_up(server_id):
            self.cluster.write_entry(server_id)

    async def _remove_entry_after_timeout(self, server_id):
        await asyncio.sleep(3 * HEARTBEAT_MS / 1000)
        if not self.cluster.is_up(server_id):
            self.cluster.remove_entry(server_id)

    async def lapse_entry(self):
        server_id = self.choose_server()
        if server_id is None:
            return
        self.cluster.remove_entry(server_id)
        await pause(self.rng, 0.5, 6)
        if self.cluster.servers[server_id].holder.is_up:
            self.cluster.write_entry(server_id)

    async def drain_server(self):
        server_id = self.choose_server()
        if server_id is None:
            return
        self.cluster.servers[server_id].keys.is_busy = True
        self.cluster.write_entry(server_id, ServerState.LEAVING)
        await pause(self.rng, 2, 5)
        self.cluster.crash_server(server_id)
        self.cluster.remove_entry(server_id)

    async def restart_server(self):
        server_id = self.choose_server()
        if server_id is not None:
            await self.cluster.restart_server(server_id)

    async def add_server(self):
        await self.cluster.add_server(OPTIONS.services[0])

    async def late_orders(self):
        hosts = [server.host for server in self.cluster.servers.values()]
        for host in hosts:
            host.late_share = 0.3
        await pause(self.rng, 1, 6)
        for host in hosts:
            host.late_share = 0.0

    async def forget_history(self):
        self.cluster.rows.forget_history()


def main(arguments=None):
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--count", type=int, default=50)
    parser.add_argument("--nodes", type=int, default=NODE_COUNT)
    parser.add_argument("--cut-owners", action="store_true")
    options = parser.parse_args(arguments)
    failed = 0
    for seed in range(options.first, options.first + options.count):
        mix = Mix(seed, options.nodes, options.cut_owners).run()
        if mix.faults or mix.unheld_count:
            failed += 1
            print(
                f"seed {seed}: faults {mix.faults[:2]}, keys without a holder {mix.unheld_count}, {mix.log}"
            )
    print(f"{options.count - failed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
