"""Let another writer leave an entry among the servers' that can't be read."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))

from manifests import manifest, service
from rig import Rig, has_trouble, run_case

# JSON that is nested too deeply to be read, below the 65,536 bytes that a row may have.
UNREADABLE = b"[" * 60_000
ENTRY_ID = "i-other-writer"
# A machine is at fault whose processes end by themselves so often.
OWN_ENDS = 3
LISTED_S = 15.0


async def play(rig: Rig) -> list[str]:
    """Return the machines whose processes ended by themselves three times."""
    await rig.start(3, manifest([service("orders")], "unsafe", 2.0, 0.5))
    for number in (1, 2, 3):
        await rig.add_instance("orders", f"i-{number}")
    await rig.wait_until_ready()
    loop = asyncio.get_running_loop()
    until_s = rig.now_s() + 2 + LISTED_S
    loads = [
        loop.create_task(rig.load(entry, 5, until_s, "POST", "/orders/x", 2000))
        for entry in rig.entries
    ]
    await asyncio.sleep(2)
    if has_trouble():
        rig.note("other writer", "writes an entry that can't be read:", ENTRY_ID)
        rig.store.put("servers", ENTRY_ID, UNREADABLE)
    await asyncio.gather(*loads)
    broken = [
        f"Fault: the processes of {entry.name} ended by themselves {len(entry.own_exits)} times"
        f" in {LISTED_S:.0f} s, with the codes {entry.own_exits}"
        for entry in rig.entries
        if len(entry.own_exits) >= OWN_ENDS
    ]
    return broken if len(broken) >= 2 else []


run_case(play, Path(__file__).parent)
