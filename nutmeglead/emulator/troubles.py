"""Register the troubles of a day: faults, load changes and planned operations."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

from nutmeglead._generated.emulator.ttypes import DayTrouble
from nutmeglead._generated.tickets.ttypes import ServerState
from nutmeglead.core.registry import Registry
from nutmeglead.emulator.store_host import StoreFault

if TYPE_CHECKING:
    from nutmeglead.emulator.run import DayRun

__all__ = ["TROUBLES"]

Trouble = Callable[["DayRun", DayTrouble], Awaitable[None]]

TROUBLES: Registry[Trouble] = Registry("troubles")

# A leaving server's process ends this long after the operator saw its ticket in force.
SERVE_AFTER_LEAVING_S = 2.5


async def _wait_duration(trouble: DayTrouble) -> None:
    await asyncio.sleep(trouble.for_s)


@TROUBLES.register("server-crash")
async def _server_crash(run: DayRun, trouble: DayTrouble) -> None:
    """End the servers with most keys; after `for_s` they start again without keys."""
    for server_id in run.pick_servers(trouble):
        run.cluster.crash_server(server_id)
        run.spawn(_restart_later(run, trouble, server_id))


async def _restart_later(run: DayRun, trouble: DayTrouble, server_id: str) -> None:
    await _wait_duration(trouble)
    await run.cluster.restart_server(run.server_id(server_id))


@TROUBLES.register("server-silent")
async def _server_silent(run: DayRun, trouble: DayTrouble) -> None:
    """Disconnect the servers with most keys for `for_s`; their processes keep running."""
    addresses = [run.cluster.servers[server_id].ip for server_id in run.pick_servers(trouble)]
    for ip in addresses:
        run.cluster.disconnect_host(ip)
    await _wait_duration(trouble)
    for ip in addresses:
        run.cluster.reconnect_host(ip)


@TROUBLES.register("server-slow")
async def _server_slow(run: DayRun, trouble: DayTrouble) -> None:
    """Make work at the servers with most keys take `factor` times as long, for `for_s`."""
    hosts = [run.cluster.servers[server_id].host for server_id in run.pick_servers(trouble)]
    for host in hosts:
        host.work_factor = trouble.factor
    await _wait_duration(trouble)
    for host in hosts:
        host.work_factor = 1.0


@TROUBLES.register("server-sheds")
async def _server_sheds(run: DayRun, trouble: DayTrouble) -> None:
    """Make the servers with most keys refuse a third of the requests, for `for_s`.

    With each refusal they ask for no requests for `factor` seconds, as they do while they are full.
    """
    hosts = [run.cluster.servers[server_id].host for server_id in run.pick_servers(trouble)]
    for host in hosts:
        host.shed_share, host.backoff_ms = 1 / 3, round(trouble.factor * 1000)
    await _wait_duration(trouble)
    for host in hosts:
        host.shed_share, host.backoff_ms = 0.0, None


@TROUBLES.register("server-states-leaving")
async def _server_states_leaving(run: DayRun, trouble: DayTrouble) -> None:
    """Make the servers with most keys leave without a ticket, and end them after `for_s`.

    Only their answers say so; the ticket that removes them is filed once they have ended.
    """
    leaving = run.pick_servers(trouble)
    for server_id in leaving:
        run.cluster.servers[server_id].host.states_leaving = True
    await _wait_duration(trouble)
    for server_id in leaving:
        run.cluster.crash_server(server_id)
    items = [run.server_item(server_id, ServerState.REMOVED) for server_id in leaving]
    await run.file_ticket(f"{', '.join(leaving)} have left", servers=items)


@TROUBLES.register("answers-lost")
async def _answers_lost(run: DayRun, trouble: DayTrouble) -> None:
    """Make the servers with most keys lose one in `factor` answers after execution, for `for_s`."""
    hosts = [run.cluster.servers[server_id].host for server_id in run.pick_servers(trouble)]
    for host in hosts:
        host.lost_answer_share = 1 / trouble.factor
    await _wait_duration(trouble)
    for host in hosts:
        host.lost_answer_share = 0.0


@TROUBLES.register("orders-late")
async def _orders_late(run: DayRun, trouble: DayTrouble) -> None:
    """Make all servers apply one in `factor` orders seconds later, unanswered, for `for_s`."""
    hosts = [server.host for server in run.cluster.servers.values()]
    for host in hosts:
        host.late_share = 1 / trouble.factor
    await _wait_duration(trouble)
    for host in hosts:
        host.late_share = 0.0


@TROUBLES.register("server-leaves")
async def _server_leaves(run: DayRun, trouble: DayTrouble) -> None:
    """File a ticket to leave for the servers with most keys, end them, and file their removal."""
    leaving = run.pick_servers(trouble)
    for server_id in leaving:
        run.cluster.servers[server_id].keys.is_busy = True
    items = [run.server_item(server_id, ServerState.LEAVING) for server_id in leaving]
    await run.file_ticket(f"{', '.join(leaving)} leave", servers=items)
    run.mark_leaving(leaving)
    await asyncio.sleep(SERVE_AFTER_LEAVING_S)
    for server_id in leaving:
        run.cluster.crash_server(server_id)
    items = [run.server_item(server_id, ServerState.REMOVED) for server_id in leaving]
    await run.file_ticket(f"{', '.join(leaving)} are removed", servers=items)


@TROUBLES.register("server-added")
async def _server_added(run: DayRun, trouble: DayTrouble) -> None:
    """Start servers and file a ticket that adds them."""
    service = run.service_options(trouble)
    added = [await run.cluster.add_server(service) for _ in range(trouble.count)]
    ids = [server.record.server_id for server in added]
    items = [run.server_item(server_id, ServerState.PRESENT) for server_id in ids]
    await run.file_ticket(f"{', '.join(ids)} are added", servers=items)


@TROUBLES.register("keys-claimed")
async def _keys_claimed(run: DayRun, trouble: DayTrouble) -> None:
    """File a ticket that claims a service's first keys for its server with the fewest keys."""
    await run.claim_keys(trouble)


@TROUBLES.register("node-killed")
async def _node_killed(run: DayRun, trouble: DayTrouble) -> None:
    """Kill entry processes, the acting one first; they start again after `for_s`."""
    killed = run.pick_nodes(trouble)
    for node_id in killed:
        run.cluster.kill_node(node_id)
    await _wait_duration(trouble)
    for node_id in killed:
        await run.cluster.start_node(node_id)


@TROUBLES.register("node-cut")
async def _node_cut(run: DayRun, trouble: DayTrouble) -> None:
    """Disconnect entry VMs, the acting one first, from all hosts for `for_s`."""
    addresses = [run.cluster.node_ip(node_id) for node_id in run.pick_nodes(trouble)]
    for ip in addresses:
        run.cluster.disconnect_host(ip)
    await _wait_duration(trouble)
    for ip in addresses:
        run.cluster.reconnect_host(ip)


@TROUBLES.register("node-stopped")
async def _node_stopped(run: DayRun, trouble: DayTrouble) -> None:
    """Stop entry processes gracefully one after the other; each starts again after `for_s`."""
    for node_id in run.pick_nodes(trouble):
        run.counts.cut_by_planned_stop += await run.cluster.stop_node(node_id)
        await _wait_duration(trouble)
        await run.cluster.start_node(node_id)


@TROUBLES.register("store-silent")
async def _store_silent(run: DayRun, trouble: DayTrouble) -> None:
    """Make the store leave all calls unanswered for `for_s`."""
    run.cluster.store.fault = StoreFault.SILENT
    await _wait_duration(trouble)
    run.cluster.store.fault = StoreFault.NONE


@TROUBLES.register("store-slow")
async def _store_slow(run: DayRun, trouble: DayTrouble) -> None:
    """Delay each answer of the store by `factor` times 10 ms, for `for_s`."""
    run.cluster.store.delay_ms = round(10 * trouble.factor)
    await _wait_duration(trouble)
    run.cluster.store.delay_ms = 0


@TROUBLES.register("store-turns-away")
async def _store_turns_away(run: DayRun, trouble: DayTrouble) -> None:
    """Make the store refuse calls of entry VMs with 503 for `for_s`, the acting one first."""
    node_ids = run.pick_nodes(trouble)
    run.cluster.set_store_faults(node_ids, StoreFault.BUSY)
    await _wait_duration(trouble)
    run.cluster.set_store_faults(node_ids, StoreFault.NONE)


@TROUBLES.register("burst")
async def _burst(run: DayRun, trouble: DayTrouble) -> None:
    """Multiply the request rate of all flows by `factor` for `for_s`."""
    run.callers.load_factor = trouble.factor
    await _wait_duration(trouble)
    run.callers.load_factor = 1.0
