"""Register the faults that a soak run injects into processes, links, servers and the store."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

from nutmeglead._generated.tickets.ttypes import ServerState
from nutmeglead.core.registry import Registry
from nutmeglead.emulator.rows import SavedRows
from nutmeglead.emulator.store_host import StoreFault
from nutmeglead.soak.proxy import LinkFault

if TYPE_CHECKING:
    from nutmeglead.soak.run import SoakRun

__all__ = [
    "ADDRESS_REUSED",
    "CHANGES",
    "DEFAULT_FAULTS",
    "DELAYED_ORDER_FAULTS",
    "FAULTS",
    "LOST_MAP",
    "RELOADS",
    "STALLS",
    "STORE_DRILL",
    "TICKET_FAULTS",
]

Fault = Callable[["SoakRun"], Awaitable[None]]

FAULTS: Registry[Fault] = Registry("faults of the soak")

STORE_DRILL = "store returns to an older copy"
LOST_MAP = "entries killed in a drill beside a cut server"
RELOADS = "entries reloaded in series"
CHANGES = "changes in series"
STALLS = "entries stand still in series"
ADDRESS_REUSED = "address reused while the store is away"
# Left out of the default faults, so that the kept seeds of the tests draw the same ones as before.
OPTIONAL_FAULTS = (STORE_DRILL, LOST_MAP, RELOADS, CHANGES, STALLS, ADDRESS_REUSED)

# File tickets.
TICKET_FAULTS = (
    STORE_DRILL,
    LOST_MAP,
    "keys claimed",
    "servers leave in series",
    "server states that it is leaving",
)

# Deliver grants seconds after they were sent, whatever has become of their senders.
DELAYED_ORDER_FAULTS = frozenset(("orders late", "server link"))

LINK_FAULTS = [LinkFault.DELAY, LinkFault.RESET, LinkFault.SILENCE, LinkFault.ONE_WAY]


async def _wait_random(run: SoakRun, min_s: float, max_s: float) -> None:
    await asyncio.sleep(run.rng.uniform(min_s, max_s))


@FAULTS.register("entry killed")
async def _entry_killed(run: SoakRun) -> None:
    """Kill an entry process with SIGKILL, and start it again 0.2 to 2 s after its exit."""
    entry = run.reserve_entry()
    if entry is None:
        return
    entry.signal(signal.SIGKILL)
    await entry.wait_for_exit()
    await _wait_random(run, 0.2, 2)
    await entry.start()
    run.release(entry)


@FAULTS.register("entry paused")
async def _entry_paused(run: SoakRun) -> None:
    """Pause an entry process with SIGSTOP for 0.3 to 5 s."""
    entry = run.reserve_entry()
    if entry is None:
        return
    entry.signal(signal.SIGSTOP)
    await _wait_random(run, 0.3, 5)
    entry.signal(signal.SIGCONT)
    run.release(entry)


@FAULTS.register("entry stopped")
async def _entry_stopped(run: SoakRun) -> None:
    """Stop an entry process with SIGTERM, check its exit code, and start it again."""
    entry = run.reserve_entry()
    if entry is None:
        return
    entry.signal(signal.SIGTERM)
    run.check_exit_code(await entry.wait_for_exit())
    await entry.start()
    run.release(entry)


@FAULTS.register("entry signalled in series")
async def _entry_signalled_in_series(run: SoakRun) -> None:
    """Send reloads and stops to an entry process in quick succession, also while it starts."""
    entry = run.reserve_entry()
    if entry is None:
        return
    for _ in range(run.rng.randrange(2, 4)):
        for _ in range(run.rng.randrange(3)):
            entry.signal(signal.SIGHUP)
            await _wait_random(run, 0, 0.2)
        for _ in range(run.rng.randrange(1, 3)):
            entry.signal(signal.SIGTERM)
            await _wait_random(run, 0, 0.2)
        run.check_exit_code(await entry.wait_for_exit())
        await entry.start()
        await _wait_random(run, 0, 1)
    run.release(entry)


@FAULTS.register("servers leave in series")
async def _servers_leave_in_series(run: SoakRun) -> None:
    """Let servers announce their leaving one after the other, and take new work again later."""
    servers = [run.reserve_server() for _ in range(run.rng.randrange(1, 3))]
    for server in filter(None, servers):
        await run.file_server_state(server, ServerState.LEAVING)
        await _wait_random(run, 0.1, 1)
    await _wait_random(run, 0.5, 4)
    for server in filter(None, servers):
        await run.file_server_state(server, ServerState.PRESENT)
        run.release(server)


@FAULTS.register("server restarted")
async def _server_restarted(run: SoakRun) -> None:
    """Stop a server, and start it 0.1 to 3 s later without keys."""
    server = run.reserve_server()
    if server is None:
        return
    await run.fleet.restart_server(server.server_id, run.rng.uniform(0.1, 3))
    run.release(server)


@FAULTS.register("server link")
async def _server_link(run: SoakRun) -> None:
    """Set a random fault on the link to a server for 0.3 to 5 s."""
    server = run.reserve_server()
    if server is None:
        return
    server.proxy.set_fault(run.rng.choice(LINK_FAULTS))
    await _wait_random(run, 0.3, 5)
    server.proxy.set_fault(LinkFault.NONE)
    run.release(server)


@FAULTS.register("store link")
async def _store_link(run: SoakRun) -> None:
    """Set a random fault on the link of an entry process to the store for 0.3 to 6 s."""
    proxy = run.rng.choice(run.fleet.store_proxies)
    proxy.set_fault(run.rng.choice(LINK_FAULTS))
    await _wait_random(run, 0.3, 6)
    proxy.set_fault(LinkFault.NONE)


@FAULTS.register("store away")
async def _store_away(run: SoakRun) -> None:
    """Make the store leave all calls unanswered, or refuse them, for 0.5 to 6 s."""
    store = run.fleet.store
    store.fault = run.rng.choice([StoreFault.SILENT, StoreFault.BUSY])
    await _wait_random(run, 0.5, 6)
    store.fault = StoreFault.NONE


@FAULTS.register("store loses answers")
async def _store_loses_answers(run: SoakRun) -> None:
    """Make the store apply the next one or two transactions without answering them."""
    run.fleet.store.lost_answers += run.rng.randrange(1, 3)


@FAULTS.register("store forgets its history")
async def _store_forgets(run: SoakRun) -> None:
    """Drop the store's history, so that feeds from earlier versions are refused."""
    run.fleet.rows.forget_history()


@FAULTS.register(STORE_DRILL)
async def _store_drill(run: SoakRun) -> None:
    """Return the store to its state of 0.3 to 4 s ago, after a silence; file lost tickets again."""
    saved = run.fleet.rows.save()
    await _wait_random(run, 0.3, 4)
    await _return_store(run, saved)


async def _return_store(run: SoakRun, saved: SavedRows) -> None:
    store = run.fleet.store
    store.fault = StoreFault.SILENT
    await _wait_random(run, 0.2, 1)
    run.fleet.rows.restore(saved)
    store.fault = StoreFault.NONE
    await run.file_lost_tickets()


@FAULTS.register(LOST_MAP)
async def _entries_killed_in_drill(run: SoakRun) -> None:
    """Cut off a server, lose the map that took its keys with all entry processes, and start again.

    Entry processes under another fault go on with what they know.
    """
    server = run.reserve_server()
    if server is None:
        return
    # Confirmed grants are written to the store up to 1 s later.
    await _wait_random(run, 1.5, 3)
    saved = run.fleet.rows.save()
    server.proxy.set_fault(LinkFault.CUT)
    # Long enough for others to get the server's keys.
    await _wait_random(run, 2.5, 4)
    entries = run.reserve_free_entries()
    for entry in entries:
        entry.signal(signal.SIGKILL)
    await asyncio.gather(*(entry.wait_for_exit() for entry in entries))
    await _return_store(run, saved)
    await asyncio.gather(*(entry.start() for entry in entries))
    for entry in entries:
        run.release(entry)
    await _wait_random(run, 0, 3)
    server.proxy.set_fault(LinkFault.NONE)
    run.release(server)


@FAULTS.register("orders late")
async def _orders_late(run: SoakRun) -> None:
    """Make servers apply a quarter of the orders seconds later, unanswered, for 0.5 to 4 s."""
    hosts = [server.host for server in run.fleet.servers.values()]
    for host in hosts:
        host.late_share = 0.25
    await _wait_random(run, 0.5, 4)
    for host in hosts:
        host.late_share = 0.0


@FAULTS.register("answers lost")
async def _answers_lost(run: SoakRun) -> None:
    """Make servers lose a tenth of the answers to executed requests for 0.5 to 4 s."""
    hosts = [server.host for server in run.fleet.servers.values()]
    for host in hosts:
        host.lost_answer_share = 0.1
    await _wait_random(run, 0.5, 4)
    for host in hosts:
        host.lost_answer_share = 0.0


@FAULTS.register("servers shed")
async def _servers_shed(run: SoakRun) -> None:
    """Make servers refuse a fifth of the requests and ask for a pause, for 1 to 4 s."""
    hosts = [server.host for server in run.fleet.servers.values()]
    for host in hosts:
        host.shed_share, host.backoff_ms = 0.2, round(run.rng.uniform(200, 2_500))
    await _wait_random(run, 1, 4)
    for host in hosts:
        host.shed_share, host.backoff_ms = 0.0, None


@FAULTS.register("server states that it is leaving")
async def _server_states_leaving(run: SoakRun) -> None:
    """Let a server leave by its answers alone, and take it back by tickets after 3.5 to 6 s."""
    server = run.reserve_server()
    if server is None:
        return
    run.fleet.notice_checker.end_fault(server.host.name)
    server.host.states_leaving = True
    await _wait_random(run, 3.5, 6)
    server.host.states_leaving = False
    for state in (ServerState.LEAVING, ServerState.PRESENT):
        run.fleet.notice_checker.begin_fault(server.host.name)
        await run.file_server_state(server, state)
    run.release(server)


@FAULTS.register("keys claimed")
async def _keys_claimed(run: SoakRun) -> None:
    """File a ticket that claims a key for a random server."""
    await run.claim_key()


@FAULTS.register(RELOADS)
async def _entries_reloaded_in_series(run: SoakRun) -> None:
    """Send reloads to entry processes without other faults in quick succession, and no stop."""
    for _ in range(run.rng.randrange(4, 16)):
        for entry in run.free_entries():
            if run.rng.random() < 0.8:
                entry.signal(signal.SIGHUP)
        await _wait_random(run, 0, 0.4)


@FAULTS.register(CHANGES)
async def _changes_in_series(run: SoakRun) -> None:
    """Let the operator make changes in quick succession."""
    await run.change_in_series()


@FAULTS.register(STALLS)
async def _entries_stand_still(run: SoakRun) -> None:
    """Let an entry process without other faults stand still for 0.5 to 1.2 s, several times.

    As long passes of its event loop do; it must lose no request by that.
    """
    for _ in range(run.rng.randrange(2, 6)):
        free = run.free_entries()
        if free:
            await run.rng.choice(free).stand_still(run.rng.uniform(0.5, 1.2))
        await _wait_random(run, 0, 0.5)


@FAULTS.register(ADDRESS_REUSED)
async def _address_reused(run: SoakRun) -> None:
    """Let the address of a silent server go to another service while the store is away."""
    await run.reuse_address()


DEFAULT_FAULTS = tuple(name for name in FAULTS.names() if name not in OPTIONAL_FAULTS)
