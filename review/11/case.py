"""The store returns from an older copy while the processes of all machines are started again."""

import asyncio
import json
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-3"))

from rig import (  # noqa: E402
    FRONT_PORT,
    Instance,
    Node,
    Received,
    Rig,
    answer_bytes,
    new_id,
    route,
    run_case,
    service,
)

NODES = 3
# "share = 0.17": one of six is cut off.
INSTANCES = 6
CALM_S = 6.0
CUT_S = 5.5
KILL_AFTER_S = 3.5
DOWN_S = 1.2
STORE_AWAY_S = 0.5
WATCH_S = 9.0
THAW_SLACK_S = 0.3
# A grant of the same keys after a longer time is noted in the record again.
RENEWED_WITHIN_S = 3.0


class OwnerInstance(Instance):
    """An instance that records the grants it takes, and that can be cut off from the machines."""

    def prepare(self, rig: Rig) -> None:
        """Start without a cut."""
        self.rig = rig
        self.is_cut = False
        self.healed_s = 0.0
        # Time, keys, fence of each grant that was taken.
        self.taken: list[tuple[float, int, int, int]] = []

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.is_cut:
            # Nothing that is sent on a cut link arrives; its sender resets the connection.
            self._writers.add(writer)
            writer.transport.pause_reading()
            return
        await super()._serve(reader, writer)

    def cut(self) -> None:
        """Stop to hear the machines, and to be heard."""
        self.is_cut = True
        for writer in self._writers:
            writer.transport.pause_reading()

    def heal(self) -> None:
        """Hear the machines again; what was held back on the link is lost."""
        for writer in list(self._writers):
            writer.transport.abort()
        self._writers.clear()
        self.is_cut, self.healed_s = False, time.monotonic()

    def _answer_order(self, request: Received) -> bytes:
        answer = super()._answer_order(request)
        if request.target == "/v1/grant" and answer.startswith(b"HTTP/1.1 200"):
            order = json.loads(request.body)
            taken = (time.monotonic(), order["from"], order["target"], order["fence"])
            known_s = max(
                (at_s for at_s, *known in self.taken if known == [*taken[1:]]), default=0.0
            )
            if taken[0] - known_s > RENEWED_WITHIN_S:
                keys = f"keys {order['from']} to {order['target']}"
                self.rig.note(f"{self.server_id}: takes {keys} with fence {order['fence']}")
            self.taken.append(taken)
        return answer


async def answer(instance: Instance, request: Received, writer: asyncio.StreamWriter) -> None:
    """Answer a lookup for a key that the instance holds."""
    request_id = request.headers["x-request-id"]
    if not instance.holds_key(int(request.headers["x-shard-key"])):
        headers = {"X-Request-Id": request_id, "X-Not-Executed": "1"}
        writer.write(answer_bytes(421, headers, b""))
        return
    await asyncio.sleep(0.02)
    headers = {"X-Request-Id": request_id, "X-Response-Signature": f"mac-{request_id}"}
    writer.write(answer_bytes(200, headers, b"in stock"))


async def be_client(node: Node, number: int, until_s: float) -> None:
    """Send one lookup after the other, each on a connection of its own."""
    while time.monotonic() < until_s:
        number = (number + 4_093) % 65_536
        try:
            async with asyncio.timeout(2):
                reader, writer = await asyncio.open_connection(node.ip, FRONT_PORT)
                writer.write(
                    f"GET /lookup/{number} HTTP/1.1\r\nHost: shop.example\r\n"
                    f"X-Request-Id: {new_id()}\r\nX-Deadline-Ms: 1500\r\n"
                    f"X-Shard-Key: {number}\r\nConnection: close\r\n\r\n".encode()
                )
                await reader.read()
                writer.close()
        except (OSError, TimeoutError):
            pass
        await asyncio.sleep(0.05)


def find_low_fences(rig: Rig, instances: list[OwnerInstance]) -> int:
    """Note and count the grants that were taken under a fence not above those of others before."""
    events = sorted(
        (at_s, index, first, last, fence)
        for index, instance in enumerate(instances)
        for at_s, first, last, fence in instance.taken
    )
    count = 0
    reported = set()
    for at_s, index, first, last, fence in events:
        instance = instances[index]
        if 0 <= at_s - instance.healed_s < THAW_SLACK_S:
            continue
        for other_s, other_index, other_first, other_last, other_fence in events:
            if other_s >= at_s:
                break
            other = instances[other_index]
            if other is instance or other_last < first or last < other_first:
                continue
            if other_fence >= fence:
                count += 1
                key = (instance.server_id, first, last, fence, other.server_id)
                if key not in reported:
                    reported.add(key)
                    rig.note(
                        f"{instance.server_id} took keys {first} to {last} with fence {fence},"
                        f" {at_s - other_s:.1f} s after {other.server_id} had taken keys"
                        f" {other_first} to {other_last} with fence {other_fence}"
                    )
                break
    return count


async def play(rig: Rig, trouble: bool) -> bool:
    """Return whether an instance took keys under a fence below that of another instance."""
    routes, services = (
        [route("lookup", "stock", "safe", "/lookup/", 1.5)],
        [service("stock", True)],
    )
    rig.put_manifest(1, routes, services)
    instances = []
    for number in range(1, INSTANCES + 1):
        instance = OwnerInstance("stock", f"i-{number}", f"{rig.net}.{100 + number}", 7001, answer)
        instance.prepare(rig)
        instances.append(await rig.add_instance(instance))
    nodes = [rig.add_node() for _ in range(NODES)]
    for node in nodes:
        node.start()
    for node in nodes:
        await node.wait_ready()
    until_s = time.monotonic() + CALM_S + KILL_AFTER_S + DOWN_S + WATCH_S
    clients = [
        asyncio.create_task(be_client(node, 7_919 * index, until_s))
        for index, node in enumerate(nodes)
    ]
    await asyncio.sleep(CALM_S)
    saved = rig.rows.save()
    rig.note("platform: a copy of the store is made")
    cut = instances[0]
    cut.cut()
    healed_s = time.monotonic() + CUT_S
    rig.note(f"{cut.server_id}: is cut off from the machines")
    await asyncio.sleep(KILL_AFTER_S)
    for node in nodes:
        node.signal(signal.SIGKILL)
    rig.note("platform: the processes of all machines are killed")
    if trouble:
        await rig.store.stop()
        rig.rows.restore(saved)
        await asyncio.sleep(STORE_AWAY_S)
        ip, port = rig.store_address.split(":")
        await rig.store.start(ip, int(port))
        rig.note("platform: the store is back, from the copy")
        rig.put_manifest(1, routes, services)
        await asyncio.sleep(DOWN_S - STORE_AWAY_S)
    else:
        await asyncio.sleep(DOWN_S)
    for node in nodes:
        node.process.wait()
        node.start()
    rig.note("platform: the processes are started again")
    await asyncio.sleep(max(0.0, healed_s - time.monotonic()))
    cut.heal()
    rig.note(f"{cut.server_id}: is no longer cut off")
    await asyncio.gather(*clients)
    return find_low_fences(rig, instances) > 0


if __name__ == "__main__":
    sys.exit(run_case(play, Path(__file__).resolve().parent))
