"""Steps for a whole router process on loopback with a stand-in of its controller."""

import asyncio
import random

from behave import given, then, when

from nutmeglead._generated.common.ttypes import Address, Sender
from nutmeglead._generated.messages.ttypes import (
    Acknowledged,
    Heartbeat,
    LendReply,
    LendSlots,
    MessageType,
    RouterEntry,
)
from nutmeglead._generated.settings.ttypes import (
    ConcurrencySettings,
    DisseminationSettings,
    NodeSettings,
    PlacementSettings,
    PlatformSettings,
    ServiceSettings,
    Settings,
)
from nutmeglead.core.clock import ManualClock
from nutmeglead.routing.process import RouterProcess
from nutmeglead.rpc.client import RpcClient
from nutmeglead.rpc.server import HandlerRegistry, RpcServer

IP = "127.0.0.1"
# Bounds a wait that would otherwise hang the run; no scenario judges how long it takes.
WAIT_S = 10
# A router's own slots count only after the loans of an earlier process have ended.
LOANS_END_MS = 2000
SERVER = ("lookups", "s1")


class ProcessScenario:
    def __init__(self):
        self.runner = asyncio.Runner()
        self.clock = ManualClock(1_000_000)
        self.routers = None
        self.asked = []
        self.sequence = 0

    async def start(self):
        handlers = HandlerRegistry()
        handlers.add(MessageType.HEARTBEAT, Heartbeat, self._acknowledge)
        handlers.add(MessageType.LEND_SLOTS, LendSlots, self._lend)
        self.peer = RpcServer(handlers)
        port = await self.peer.start(IP, 0)
        self.address = Address(IP, port)
        # Port 0 lets the system choose; nothing listens at the platform's address.
        node = NodeSettings("entry-a", IP, "domain-a", 0, 0, 0, port, 0, 0)
        platform = PlatformSettings(*[Address(IP, 1)] * 3, 1000, 1000)
        service = ServiceSettings(
            name="lookups",
            slots_per_instance=4,
            connections_per_instance=130,
            concurrency=ConcurrencySettings(policy="lent"),
            placement=PlacementSettings(),
        )
        settings = Settings(
            user="test",
            node=node,
            platform=platform,
            services=[service],
            dissemination=DisseminationSettings(heartbeat_interval_ms=20),
            graceful_stop_ms=0,
        )
        self.process = RouterProcess(settings, self.clock, random.Random(1))
        await self.process.start()
        self.client = RpcClient(self.clock, random.Random(2))
        # The first question makes the ledger, with the share of a router that knows no other.
        await self.ask_process("entry-b")

    async def _acknowledge(self, message):
        sender = Sender("entry-a", "1")
        return Acknowledged(sender, message.sequence, self.routers)

    async def _lend(self, message):
        self.asked.append(message.server_id)
        return LendReply(Sender("entry-b/router", "1"), message.sequence, 0)

    async def ask_process(self, vm_id):
        """Ask the process for all slots, as another router does."""
        self.sequence += 1
        sender = Sender(f"{vm_id}/router", "1")
        message = LendSlots(sender, *SERVER, self.sequence, 4, 1000)
        port = self.process._rpc_server._server.sockets[0].getsockname()[1]
        replied = await self.client.call(
            Address(IP, port), MessageType.LEND_SLOTS, message, LendReply, WAIT_S * 1000
        )
        return replied.unwrap().slots

    async def tell(self, count, known):
        names = [f"entry-{letter}" for letter in "bcd"[:count]]
        entries = [RouterEntry("entry-a", Address(IP, 1))]
        entries += [
            RouterEntry(n, self.address if i < known else None) for i, n in enumerate(names)
        ]
        self.routers = entries
        await until(lambda: list(self.process.dissemination.routers()) == entries)
        self.clock.advance(LOANS_END_MS)

    async def starve(self):
        self.process.router._on_starved(SERVER)
        exchange = self.process.router._slot_exchanges["lookups"]
        await until(lambda: not exchange._asking)

    async def close(self):
        await self.client.close()
        await self.process.stop()
        await self.peer.close()

    def finish(self):
        self.runner.run(self.close())
        self.runner.close()


async def until(condition):
    async with asyncio.timeout(WAIT_S):
        while not condition():
            await asyncio.sleep(0)


@given("a router process with a lent service of 4 slots and the controller that feeds it")
def step_process(context):
    context.process = ProcessScenario()
    context.process.runner.run(context.process.start())
    context.add_cleanup(context.process.finish)


@when("the controller tells it of {count:d} more routers, of which {known:d} have an address")
def step_tell(context, count, known):
    context.process.runner.run(context.process.tell(count, known))


@then("it lends {slots:d} of 4 slots to the first of them")
def step_process_lends(context, slots):
    found = context.process.runner.run(context.process.ask_process("entry-b"))
    assert found == slots, found


@then("it {asks} when a request waits for a slot")
def step_process_asks(context, asks):
    context.process.runner.run(context.process.starve())
    expected = ["s1"] if asks == "asks that router" else []
    assert context.process.asked == expected, context.process.asked
