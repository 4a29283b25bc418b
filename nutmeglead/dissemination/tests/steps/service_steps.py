"""Steps for the dissemination service over loopback; each wait is for a callback or a state."""

import asyncio
import random

from behave import given, then, when
from result import Err, Ok

from nutmeglead._generated.common.ttypes import Address, Sender
from nutmeglead._generated.messages.ttypes import RouterEntry
from nutmeglead._generated.settings.ttypes import DisseminationSettings
from nutmeglead.core.clock import SystemClock
from nutmeglead.dissemination.deltas import make_delta
from nutmeglead.dissemination.feeder import Feeder
from nutmeglead.dissemination.members import Identity
from nutmeglead.dissemination.page_ids import PageId
from nutmeglead.dissemination.service import DisseminationService
from nutmeglead.dissemination.tests.page_cases import SERVICE, make_page
from nutmeglead.platform.errors import VmListUnavailable
from nutmeglead.platform.ports import VmEntry, VmState
from nutmeglead.rpc.client import RpcClient
from nutmeglead.rpc.server import HandlerRegistry, RpcServer

# Bounds a wait that would otherwise hang the run; no scenario judges how long it takes.
WAIT_S = 15
PLACE = PageId(False, 0)


class ListedVms:
    """Answer reads of the VM list; the first `failures` of them fail."""

    def __init__(self, entries, failures=0):
        self.entries = entries
        self.failures = failures

    async def read(self):
        if self.failures > 0:
            self.failures -= 1
            return Err(VmListUnavailable("injected"))
        return Ok(list(self.entries))


class Process:
    """Run one service with its own rpc server and client, as one program does."""

    def __init__(self, cluster, node_id, feeder=None, vm_list_failures=0):
        self.cluster, self.node_id, self.feeder = cluster, node_id, feeder
        self.vm_list = ListedVms(cluster.entries, vm_list_failures)
        self.versions = []
        self.changed = asyncio.Event()
        self.router_changes = 0

    async def bind(self):
        self.handlers = HandlerRegistry()
        self.server = RpcServer(self.handlers)
        self.address = Address("127.0.0.1", await self.server.start("127.0.0.1", 0))
        return self

    async def start(self):
        clock, rng = SystemClock(), random.Random(self.node_id)
        self.client = RpcClient(clock, rng)
        relay = next((e.rpc_address for e in self.cluster.relays if e.vm_id == self.node_id), None)
        identity = Identity(self.node_id, "1", "halle-a", self.address, relay)
        configured = DisseminationSettings(
            heartbeat_interval_ms=50, silent_after_ms=2000, digest_interval_ms=100
        )
        self.service = DisseminationService(
            identity, configured, [SERVICE], self.client, clock, rng, self.feeder, self.vm_list, 100
        )
        self.service.register(self.handlers)
        self.service.subscribe(self.note)
        self.service.subscribe_routers(self.note_routers)
        await self.service.start()

    def note_routers(self):
        self.router_changes += 1

    def note(self, page):
        self.versions.append(page.version)
        self.changed.set()

    async def until(self, condition):
        """Wait until a condition holds, which is tested again on each event of the loop."""
        async with asyncio.timeout(WAIT_S):
            while not condition():
                await asyncio.sleep(0)

    async def stop(self):
        await self.service.stop()
        await self.server.close()
        await self.client.close()


class Cluster:
    def __init__(self):
        self.runner = asyncio.Runner()
        self.entries = []
        self.processes = {}
        self.relays = [RouterEntry(f"entry-0{n}", Address("127.0.0.1", n + 1)) for n in range(3)]

    async def start(self):
        for number in range(3):
            process = await Process(self, f"entry-0{number}").bind()
            self.processes[process.node_id] = process
            self.list_vm(process)
        feeder = Feeder("entry-01", self.processes["entry-01"].address)
        self.processes["router-01"] = await Process(self, "router-01", feeder).bind()
        for process in self.processes.values():
            await process.start()

    def list_vm(self, process):
        port = process.address.port
        self.entries.append(
            VmEntry(process.node_id, "entry", "127.0.0.1", port, "halle-a", VmState.LIVE, "v")
        )

    async def close(self):
        await asyncio.gather(*(process.stop() for process in self.processes.values()))
        others = asyncio.all_tasks() - {asyncio.current_task()}
        if others:
            await asyncio.wait(others)

    def finish(self):
        self.runner.run(self.close())
        self.runner.close()


@given("3 controllers and a router on loopback")
def step_cluster(context):
    cluster = context.cluster = Cluster()
    context.add_cleanup(cluster.finish)
    cluster.runner.run(cluster.start())


@when("one controller publishes 3 versions of a page")
def step_publish(context):
    async def publish():
        service = context.cluster.processes["entry-00"].service
        for version in (1, 2, 3):
            service.publish(make_page(version))

    context.cluster.runner.run(publish())


@when("a subscriber on each node fails and one controller publishes 3 versions of a page")
def step_failing_subscriber(context):
    def fail(page):
        raise ValueError("injected")

    for process in context.cluster.processes.values():
        process.service._callbacks.insert(0, fail)
    step_publish(context)


@when("a fourth controller starts that reads the VM list only at the second attempt")
def step_fourth(context):
    cluster = context.cluster

    async def start():
        process = await Process(cluster, "entry-03", vm_list_failures=1).bind()
        cluster.processes["entry-03"] = process
        await process.start()

    cluster.runner.run(start())


@when("one controller stops")
def step_stop(context):
    cluster = context.cluster
    known = [p for n, p in cluster.processes.items() if n in ("entry-00", "entry-01")]
    for process in known:
        cluster.runner.run(
            process.until(lambda p=process: state_of(p, "entry-02") == "alive heard")
        )
    cluster.runner.run(cluster.processes.pop("entry-02").stop())


def state_of(process, node_id):
    for member in process.service.members():
        if member.node_id == node_id:
            return member.state.value + (" heard" if member.incarnation else "")
    return None


@then("the others hold it for gone")
def step_gone(context):
    for node_id in ("entry-00", "entry-01"):
        process = context.cluster.processes[node_id]
        assert state_of(process, "entry-02") == "gone", state_of(process, "entry-02")


@then("the subscribers of all 4 get version 3 last, each version at most once")
def step_subscribers(context):
    for process in context.cluster.processes.values():
        context.cluster.runner.run(process.until(lambda p=process: 3 in p.versions))
        assert process.versions == sorted(set(process.versions)), process.versions
        assert process.versions[-1] == 3, process.versions


@then("all 4 hold it with a known age after it is confirmed")
def step_known_age(context):
    processes = context.cluster.processes
    processes["entry-00"].service.confirm(SERVICE)
    for process in processes.values():
        service = process.service
        context.cluster.runner.run(process.until(lambda s=service: s.age_ms(SERVICE) is not None))
        assert service.versions(SERVICE) == {PLACE: 3} and not service.is_cut_off()
        assert service.page(SERVICE, PLACE).version == 3


@then("it holds version {version:d}")
def step_holds(context, version):
    process = context.cluster.processes["entry-03"]
    context.cluster.runner.run(process.until(lambda: process.versions[-1:] == [version]))


@when("one controller handles a delta to version 1")
def step_handle(context):
    process = context.cluster.processes["entry-00"]
    delta = make_delta(None, make_page(1), Sender("entry-01", "1"), 0)
    context.cluster.runner.run(process.service._handle_delta(delta))
    context.seen = list(process.versions)


@then("its subscribers have version 1 already")
def step_already(context):
    assert context.seen == [1], context.seen


@then("the router lists the routers of {names}")
def step_lists(context, names):
    process = context.cluster.processes["router-01"]
    expected = names.replace(" and ", ", ").split(", ")
    has_relay = {entry.vm_id: entry.rpc_address for entry in context.cluster.relays}

    def is_told():
        return {e.vm_id: e.rpc_address for e in process.service.routers()} == {
            name: has_relay[name] for name in expected
        }

    context.cluster.runner.run(process.until(is_told))
    assert process.router_changes > 0
