"""Register the faults that a soak injects from outside."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

from nutmeglead.core.registry import Registry
from nutmeglead.emulator.store_host import StoreFault
from nutmeglead.soak.proxy import LinkFault

if TYPE_CHECKING:
    from nutmeglead.soak.run import SoakRun

__all__ = ["FAULTS"]

Fault = Callable[["SoakRun"], Awaitable[None]]

FAULTS: Registry[Fault] = Registry("faults of the soak")

LINK_FAULTS = [LinkFault.DELAY, LinkFault.RESET, LinkFault.SILENCE, LinkFault.ONE_WAY]


async def _hold(run: SoakRun, low_s: float, high_s: float) -> None:
    await asyncio.sleep(run.rng.uniform(low_s, high_s))


@FAULTS.register("entry killed")
async def _entry_killed(run: SoakRun) -> None:
    entry = run.take_entry()
    if entry is None:
        return
    entry.signal(signal.SIGKILL)
    await entry.wait_ended()
    await _hold(run, 0.2, 2)
    await entry.start()
    run.give_back(entry)


@FAULTS.register("entry paused")
async def _entry_paused(run: SoakRun) -> None:
    entry = run.take_entry()
    if entry is None:
        return
    entry.signal(signal.SIGSTOP)
    await _hold(run, 0.3, 5)
    entry.signal(signal.SIGCONT)
    run.give_back(entry)


@FAULTS.register("entry stopped")
async def _entry_stopped(run: SoakRun) -> None:
    entry = run.take_entry()
    if entry is None:
        return
    entry.signal(signal.SIGTERM)
    run.note_stop(await entry.wait_ended())
    await entry.start()
    run.give_back(entry)


@FAULTS.register("server restarted")
async def _server_restarted(run: SoakRun) -> None:
    server = run.take_server()
    if server is None:
        return
    await run.fleet.restart_server(server.server_id, run.rng.uniform(0.1, 3))
    run.give_back(server)


@FAULTS.register("server link")
async def _server_link(run: SoakRun) -> None:
    server = run.take_server()
    if server is None:
        return
    server.proxy.set_fault(run.rng.choice(LINK_FAULTS))
    await _hold(run, 0.3, 5)
    server.proxy.set_fault(LinkFault.NONE)
    run.give_back(server)


@FAULTS.register("store link")
async def _store_link(run: SoakRun) -> None:
    proxy = run.rng.choice(run.fleet.store_proxies)
    proxy.set_fault(run.rng.choice(LINK_FAULTS))
    await _hold(run, 0.3, 6)
    proxy.set_fault(LinkFault.NONE)


@FAULTS.register("store away")
async def _store_away(run: SoakRun) -> None:
    store = run.fleet.store
    store.fault = run.rng.choice([StoreFault.SILENT, StoreFault.BUSY])
    await _hold(run, 0.5, 6)
    store.fault = StoreFault.NONE


@FAULTS.register("store loses answers")
async def _store_loses_answers(run: SoakRun) -> None:
    run.fleet.store.lost_answers += run.rng.randrange(1, 3)


@FAULTS.register("store forgets its history")
async def _store_forgets(run: SoakRun) -> None:
    run.fleet.rows.forget_history()


@FAULTS.register("orders late")
async def _orders_late(run: SoakRun) -> None:
    hosts = [server.host for server in run.fleet.servers.values()]
    for host in hosts:
        host.late_share = 0.25
    await _hold(run, 0.5, 4)
    for host in hosts:
        host.late_share = 0.0


@FAULTS.register("answers lost")
async def _answers_lost(run: SoakRun) -> None:
    hosts = [server.host for server in run.fleet.servers.values()]
    for host in hosts:
        host.lost_answer_share = 0.1
    await _hold(run, 0.5, 4)
    for host in hosts:
        host.lost_answer_share = 0.0


@FAULTS.register("keys claimed")
async def _keys_claimed(run: SoakRun) -> None:
    await run.claim_key()
