"""Drive the flows while tickets move keys and parts fail."""

import asyncio
import time
from collections.abc import Sequence

from result import Ok

from nutmeglead._generated.messages.ttypes import InForceReply, InForceRequest, MessageType
from nutmeglead._generated.settings.ttypes import Settings
from nutmeglead._generated.tickets.ttypes import KeyClaim, ServerItem, ServerState, Ticket
from nutmeglead.demo.callers import Callers, Flow
from nutmeglead.demo.fleet import Fleet, FleetOptions
from nutmeglead.demo.report import Counts
from nutmeglead.demo.watcher import OwnerWatcher
from nutmeglead.platform.memory import TableFault
from nutmeglead.rpc.client import RpcClient
from nutmeglead.tickets.filing import TicketFiling

__all__ = ["run_demo"]

LARGE_BODY_BYTES = 512 * 1024
SERVERS = {"lagerblick": 6, "schnittauftrag": 3, "konturablage": 3}
# Its servers do not check grants, so that every request passes a gate.
UNCHECKED_SERVICES = ("konturablage",)
FLOWS = [
    Flow("lagerblick", b"GET", "stock", 40, 8),
    Flow("schnittauftrag", b"POST", "orders", 80, 4),
    Flow("konturablage", b"GET", "pattern", 300, 2, LARGE_BODY_BYTES),
]
START_TIMEOUT_S = 15.0
IN_FORCE_TIMEOUT_S = 10.0
# A leaving server may still get work until its units have moved; the requirement allows 3 s.
LEAVING_GRACE_S = 3.0


class Demo:
    """Hold one run of the demo."""

    def __init__(self, settings: Settings) -> None:
        for service in settings.services:
            service.checks_grants = service.name not in UNCHECKED_SERVICES
            # A stopping gate waits for a request without an answer until its deadline.
            service.request_timeout_ms = min(service.request_timeout_ms, 5000)
        options = FleetOptions(SERVERS, {"konturablage": LARGE_BODY_BYTES})
        self.fleet = Fleet(settings, options)
        self.counts = Counts()
        self._callers = Callers(self.fleet, self.counts)
        self._watcher = OwnerWatcher(self.fleet, self.counts)
        self._rpc = RpcClient(self.fleet.clock, self.fleet.rng)
        self._ticket_count = 0
        self._started_s = time.monotonic()

    async def run(self) -> Counts:
        """Run all steps and return the counts."""
        await self.fleet.start()
        self.say("the platform stand-in, 12 backend servers and 3 entry VMs run")
        await self.file_ticket("all servers exist", servers=self.fleet.server_items())
        await self._wait_until_routers_are_ready()
        self._watcher.start()
        load = asyncio.ensure_future(self._callers.run(FLOWS))
        await asyncio.sleep(2)
        await self._move_keys()
        await self._leave_server()
        await self._freeze_server()
        await self._table_outage()
        await self._stop_router()
        self._callers.stop()
        await load
        await self._watcher.stop()
        self._callers.settle()
        await self.fleet.stop()
        await self._rpc.close()
        self._count_moves()
        return self.counts

    def say(self, text: str) -> None:
        """Print one line of what happened."""
        print(f"{time.monotonic() - self._started_s:6.2f} s  {text}", flush=True)

    async def file_ticket(
        self,
        reason: str,
        servers: Sequence[ServerItem] = (),
        claims: Sequence[KeyClaim] = (),
    ) -> int:
        """File a ticket and wait until it is in force everywhere."""
        ticket = Ticket(
            filing_id=f"demo-{self._ticket_count + 1}",
            base_number=self._ticket_count,
            filed_by="demo",
            reason=reason,
            servers=list(servers),
            claims=list(claims),
        )
        filing = TicketFiling(self.fleet.platform.table, self.fleet.settings, _pause)
        filed = (await filing.file(ticket)).unwrap()
        began_s = time.monotonic()
        self._ticket_count = filed.number
        if await self._wait_in_force(filed.number, began_s):
            duration_ms = round((time.monotonic() - began_s) * 1000)
            # The first ticket also waits for the servers' first leases; it moves no key.
            if filed.number > 1:
                self.counts.tickets_in_force_ms.append(duration_ms)
            self.say(f"ticket {filed.number} ({reason}) is in force after {duration_ms} ms")
        else:
            self.counts.tickets_in_force_ms.append(round(IN_FORCE_TIMEOUT_S * 1000))
            self.say(f"ticket {filed.number} ({reason}) is not in force: {self._missing}")
        return int(filed.number)

    async def _wait_in_force(self, number: int, began_s: float) -> bool:
        services = {service.name for service in self.fleet.settings.services}
        while time.monotonic() - began_s < IN_FORCE_TIMEOUT_S:
            replies = [await self._ask_in_force(number, vm) for vm in range(len(self.fleet.vms))]
            known = [reply for reply in replies if reply is not None]
            answered = {name for reply in known for name in reply.service_names}
            self._missing = [party for reply in known for party in reply.missing]
            if answered >= services and not self._missing:
                return True
            await asyncio.sleep(0.05)
        return False

    async def _ask_in_force(self, number: int, vm: int) -> InForceReply | None:
        node = self.fleet.vms[vm].controller
        request = InForceRequest(node.sender, number)
        reply = await self._rpc.call(
            node.address, MessageType.IN_FORCE, request, InForceReply, 1000
        )
        return reply.ok_value if isinstance(reply, Ok) else None

    async def _wait_until_routers_are_ready(self) -> None:
        async with asyncio.timeout(START_TIMEOUT_S):
            while not all(vm.router.map_view.is_complete() for vm in self.fleet.vms):
                await asyncio.sleep(0.02)
        self.say("all routers have the complete unit map")

    async def _move_keys(self) -> None:
        claims = [
            KeyClaim(service_name="lagerblick", key="k1", server_id="lagerblick-05"),
            KeyClaim(service_name="lagerblick", prefix="k2", server_id="lagerblick-06"),
            KeyClaim(service_name="schnittauftrag", key="k1", server_id="schnittauftrag-03"),
            KeyClaim(
                service_name="schnittauftrag",
                first_bucket=0,
                last_bucket=99,
                server_id="schnittauftrag-02",
            ),
        ]
        await self.file_ticket("keys move under load", claims=claims)
        await asyncio.sleep(1.5)

    async def _leave_server(self) -> None:
        leaving = "lagerblick-02"
        items = [item for item in self.fleet.server_items() if item.server_id == leaving]
        items[0].state = ServerState.LEAVING
        filed_s = time.monotonic()
        await self.file_ticket(f"{leaving} leaves", servers=items)
        await asyncio.sleep(max(0.0, LEAVING_GRACE_S - (time.monotonic() - filed_s)))
        runs_before = self._runs_of(leaving)
        await asyncio.sleep(1)
        self.counts.work_at_leaving_server = self._runs_of(leaving) - runs_before
        self.say(f"{leaving} got {self.counts.work_at_leaving_server} requests after the grace")

    async def _freeze_server(self) -> None:
        frozen = "schnittauftrag-01"
        standin = self.fleet.backends[frozen].standin
        standin.freeze()
        self.say(f"{frozen} is frozen")
        await asyncio.sleep(4)
        standin.thaw()
        self.say(f"{frozen} is back as if nothing had happened")
        await asyncio.sleep(2)

    async def _table_outage(self) -> None:
        self.fleet.platform.table.fault = TableFault.UNAVAILABLE
        answered = self.counts.answered
        self.say("the table service is down")
        await asyncio.sleep(4)
        self.fleet.platform.table.fault = TableFault.NONE
        self.say(f"the table service is back; {self.counts.answered - answered} answers meanwhile")
        await asyncio.sleep(1)

    async def _stop_router(self) -> None:
        vm = self.fleet.vms[-1]
        await vm.router.stop()
        self.counts.cut_off_by_planned_stop = vm.router.cut_off_count
        self.say(f"the router of {vm.settings.node.node_id} has stopped gracefully")
        await asyncio.sleep(1)

    def _runs_of(self, server_id: str) -> int:
        return sum(1 for run in self.fleet.ledger.runs if run.server_id == server_id)

    def _count_moves(self) -> None:
        self.counts.two_owner_moments += self.fleet.ledger.two_owner_moments
        lines = b"\n".join(self.fleet.platform.objects.objects.values()).split(b"\n")
        self.counts.moves = sum(1 for line in lines if b'"kind": "unit_moved"' in line)


async def _pause(attempt: int) -> None:
    await asyncio.sleep(0.01 * attempt)


async def run_demo(settings: Settings) -> Counts:
    """Run the demo once."""
    return await Demo(settings).run()
