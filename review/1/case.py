"""Remove half of the machines in turn, and then let an instance with keys crash."""

import asyncio
import random
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))

from instances import HEARTBEAT_S
from manifests import manifest, service
from rig import Entry, Rig, has_trouble, run_case

TIME_LIMIT_S = 1.5
KEY_COUNT = 65_536
ZONES = ("zone-a", "zone-b", "zone-c")
MACHINES = 6
# Those that leave, and the pause between them.
LEAVING = 3
GAP_S = 1.3
# The machines that stay are left in peace for this time before the crash, and after it.
SETTLE_S = 15.0
RECOVERY_S = 15.0
DOWN_S = 4.5
CHECK_S = 15.0
PER_S = 20.0


async def play(rig: Rig) -> list[str]:
    """Return how many requests of each kind were served at the end, if one kind starved."""
    services = [service("stock", is_sharded=True), service("orders")]
    await rig.start(MACHINES, manifest(services, "safe", TIME_LIMIT_S, 0.3), zones=ZONES)
    await rig.add_instance("stock", "stock-0", is_sharded=True)
    for number in range(3):
        await rig.add_instance("orders", f"orders-{number}")
    await rig.wait_until_ready()
    await asyncio.sleep(3)
    staying = rig.entries[LEAVING:]
    if has_trouble():
        await _remove(rig, rig.entries[:LEAVING])
    await asyncio.sleep(SETTLE_S)
    await _crash_stock(rig)
    await asyncio.sleep(RECOVERY_S)
    served = await _serve(rig, staying)
    return _starved(served)


async def _remove(rig: Rig, machines: list[Entry]) -> None:
    for machine in machines:
        rig.note("platform", "removes, with SIGTERM,", machine.name)
        machine.send_signal(signal.SIGTERM)
        await asyncio.sleep(GAP_S)


async def _crash_stock(rig: Rig) -> None:
    """End the instance with keys; another one with a new id starts in its place."""
    (crashed,) = [instance for instance in rig.instances if instance.service == "stock"]
    crashed.kill()
    rig.note(crashed.server_id, "crashes", "")
    await asyncio.sleep(3 * HEARTBEAT_S)
    rig.store.put("servers", crashed.server_id, None)
    await asyncio.sleep(DOWN_S - 3 * HEARTBEAT_S)
    await rig.add_instance("stock", "stock-1", is_sharded=True)


async def _serve(rig: Rig, machines: list[Entry]) -> dict[str, tuple[int, int]]:
    """Send requests of both kinds, and return how many were served and sent of each."""
    rng = random.Random(1)
    loop = asyncio.get_running_loop()
    sent: dict[str, list[asyncio.Task[int]]] = {"stock": [], "orders": []}
    end_s = rig.now_s() + CHECK_S
    while rig.now_s() < end_s:
        for name, tasks in sent.items():
            headers = {"X-Shard-Key": str(rng.randrange(KEY_COUNT))}
            request = rig.send(
                rng.choice(machines), "GET", f"/{name}/x", round(TIME_LIMIT_S * 1000), headers
            )
            tasks.append(loop.create_task(request))
        await asyncio.sleep(1 / PER_S)
    counts = {}
    for name, tasks in sent.items():
        statuses = await asyncio.gather(*tasks)
        counts[name] = statuses.count(200), len(statuses)
        print(f"{name}: {counts[name][0]} of {counts[name][1]} requests were served")
    return counts


def _starved(served: dict[str, tuple[int, int]]) -> list[str]:
    """Return a line for each kind that is served less than a quarter as often as all requests."""
    overall = sum(ok for ok, _ in served.values()) / sum(count for _, count in served.values())
    return [
        f"Starved: {ok} of {count} requests to {name} were served, and {overall:.2f} of all"
        for name, (ok, count) in served.items()
        if ok / count < overall / 4
    ]


run_case(play, Path(__file__).parent)
