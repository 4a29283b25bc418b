"""Run the dissemination machine of one process on its event loop."""

import asyncio
import logging
import random
from collections.abc import Callable, Coroutine, Iterable, Sequence
from typing import Any

from result import Ok

from nutmeglead._generated.messages.ttypes import (
    Acknowledged,
    DigestReply,
    DigestRequest,
    Heartbeat,
    MessageType,
    PageDelta,
    PagesReply,
    PagesRequest,
    PlacementPage,
    RouterEntry,
)
from nutmeglead._generated.settings.ttypes import DisseminationSettings
from nutmeglead.core.clock import Clock
from nutmeglead.core.events import Event, log_event
from nutmeglead.core.ids import RoleEpoch, ServiceName
from nutmeglead.dissemination.facts import Acting
from nutmeglead.dissemination.feeder import Feeder
from nutmeglead.dissemination.machine import DisseminationMachine
from nutmeglead.dissemination.members import Identity, Member
from nutmeglead.dissemination.page_ids import PageId
from nutmeglead.dissemination.sends import Send
from nutmeglead.platform.ports import VmEntry, VmList
from nutmeglead.rpc.client import RpcClient
from nutmeglead.rpc.server import HandlerRegistry

__all__ = ["DisseminationService", "PageCallback"]

_LOGGER = logging.getLogger(__name__)

PageCallback = Callable[[PlacementPage], None]


class DisseminationService:
    """Keep the copies of all services current and tell subscribers of every change.

    A controller is a member; a router passes the `feeder` on its VM and is passive. The callers
    must pass every answered VM list, or a VmList port that this service reads.
    """

    def __init__(
        self,
        identity: Identity,
        settings: DisseminationSettings,
        services: Iterable[ServiceName],
        client: RpcClient,
        clock: Clock,
        rng: random.Random,
        feeder: Feeder | None = None,
        vm_list: VmList | None = None,
        vm_list_poll_interval_ms: int = 5000,
    ) -> None:
        self._machine = DisseminationMachine(
            identity, settings, services, rng, clock.now_ms(), feeder
        )
        self._settings = settings
        self._client = client
        self._clock = clock
        self._vm_list = vm_list
        self._vm_list_poll_interval_ms = vm_list_poll_interval_ms
        self._callbacks: list[PageCallback] = []
        self._router_callbacks: list[Callable[[], None]] = []
        self._routers_version = 0
        self._loops: list[asyncio.Task[None]] = []
        self._calls: set[asyncio.Task[None]] = set()
        self._was_cut_off = False

    # ---- life cycle ----

    def register(self, handlers: HandlerRegistry) -> None:
        """Enter the handlers of this service's messages into the process's rpc server."""
        handlers.add(MessageType.HEARTBEAT, Heartbeat, self._handle_heartbeat)
        handlers.add(MessageType.PAGE_DELTA, PageDelta, self._handle_delta)
        handlers.add(MessageType.DIGEST, DigestRequest, self._handle_digest)
        handlers.add(MessageType.PAGES, PagesRequest, self._handle_pages)

    async def start(self) -> None:
        """Begin the periodic work; the first VM list is read before the first heartbeat."""
        await self._read_vm_list()
        self._loops.append(asyncio.ensure_future(self._repeat(self._tick, self._interval_ms)))
        if self._vm_list is not None:
            poll_ms = self._vm_list_poll_interval_ms
            self._loops.append(asyncio.ensure_future(self._repeat(self._read_vm_list, poll_ms)))

    async def stop(self) -> None:
        """Tell the others of the planned stop, then end all calls."""
        await self._cancel(self._loops)
        leaving = [self._call(send) for send in self._machine.leave(self._clock.now_ms())]
        await asyncio.gather(*leaving)
        await self._cancel(list(self._calls))

    def subscribe(self, callback: PageCallback) -> None:
        """Call back with each page that changes, each version in order."""
        self._callbacks.append(callback)

    def subscribe_routers(self, callback: Callable[[], None]) -> None:
        """Call back after each change of the list of routers."""
        self._router_callbacks.append(callback)

    # ---- the acting controller ----

    def publish(self, page: PlacementPage) -> None:
        """Take over and push a page that the table service has accepted."""
        self._start(self._machine.publish(page, self._clock.now_ms()))
        self._report()

    def confirm(self, service_name: ServiceName) -> None:
        """Note that the table was just read in full or holds what this copy holds."""
        self._machine.confirm(service_name, self._clock.now_ms())

    def set_role(self, service_name: ServiceName, role_epoch: RoleEpoch | None) -> None:
        """Announce that this node acts for a service, or no longer."""
        self._machine.set_role(service_name, role_epoch)

    def learn_acting(self, service_name: ServiceName, role_epoch: RoleEpoch, node_id: str) -> None:
        """Note who acts for a service, as a command of that controller shows."""
        self._machine.learn_acting(service_name, role_epoch, node_id)

    def update_vms(self, entries: Sequence[VmEntry]) -> None:
        """Take over a VM list that the caller has read."""
        self._machine.learn_vms(entries, self._clock.now_ms())

    # ---- questions ----

    def page(self, service_name: ServiceName, place: PageId) -> PlacementPage | None:
        """Return a copy of a page."""
        return self._machine.copies[service_name].store.get(place)

    def pages(self, service_name: ServiceName) -> list[PlacementPage]:
        """Return copies of all known pages of a service."""
        return list(self._machine.copies[service_name].store.pages())

    def versions(self, service_name: ServiceName) -> dict[PageId, int]:
        """Return the known page versions of a service."""
        return dict(self._machine.copies[service_name].store.versions())

    def age_ms(self, service_name: ServiceName) -> int | None:
        """Return the time since the acting controller's chain confirmed the copy, or None."""
        return self._machine.age_ms(service_name, self._clock.now_ms())

    def is_cut_off(self) -> bool:
        """Tell whether none of the others was heard for silent_after_ms."""
        return self._machine.is_cut_off(self._clock.now_ms())

    def members(self) -> list[Member]:
        """List what is known of the other entry VMs."""
        return self._machine.membership.members()

    def routers(self) -> Sequence[RouterEntry]:
        """List the routers of all entry VMs as the feeder last told them; empty before that."""
        return self._machine.routers.entries

    def member(self, node_id: str) -> Member | None:
        """Return what is known of another entry VM."""
        return self._machine.membership.member(node_id)

    def acting(self, service_name: ServiceName) -> Acting | None:
        """Return the controller that last announced that it acts for a service."""
        return self._machine.acting(service_name)

    # ---- handlers ----

    async def _handle_heartbeat(self, message: Heartbeat) -> Acknowledged:
        reply = self._machine.handle_heartbeat(message, self._clock.now_ms())
        self._report()
        return reply

    async def _handle_delta(self, message: PageDelta) -> Acknowledged:
        reply, sends = self._machine.handle_delta(message, self._clock.now_ms())
        self._start(sends)
        self._report()
        return reply

    async def _handle_digest(self, message: DigestRequest) -> DigestReply:
        return self._machine.handle_digest(message, self._clock.now_ms())

    async def _handle_pages(self, message: PagesRequest) -> PagesReply:
        return self._machine.handle_pages(message, self._clock.now_ms())

    # ---- periodic work and calls ----

    @property
    def _interval_ms(self) -> int:
        return int(self._settings.heartbeat_interval_ms)

    async def _repeat(
        self, action: Callable[[], Coroutine[Any, Any, None]], interval_ms: int
    ) -> None:
        while True:
            try:
                await action()
            except Exception:  # one failed round must not end the periodic work
                _LOGGER.exception("a periodic round failed")
            await asyncio.sleep(interval_ms / 1000)

    async def _tick(self) -> None:
        self._start(self._machine.tick(self._clock.now_ms()))
        self._report()
        is_cut_off = self.is_cut_off()
        if is_cut_off and not self._was_cut_off:
            ages = {name: self.age_ms(name) for name in self._machine.copies}
            log_event(_LOGGER, Event.MAP_STALE, age_ms=ages)
        self._was_cut_off = is_cut_off

    async def _read_vm_list(self) -> None:
        if self._vm_list is None:
            return
        listed = await self._vm_list.read()
        if isinstance(listed, Ok):
            self.update_vms(listed.ok_value)

    def _start(self, sends: Iterable[Send]) -> None:
        for send in sends:
            task = asyncio.ensure_future(self._call(send))
            self._calls.add(task)
            task.add_done_callback(self._finish)

    def _finish(self, task: asyncio.Task[None]) -> None:
        self._calls.discard(task)
        if not task.cancelled() and task.exception() is not None:
            _LOGGER.error("a call failed", exc_info=task.exception())

    async def _call(self, send: Send) -> None:
        result = await self._client.call(
            send.address, send.message_type, send.message, send.reply_struct, send.timeout_ms
        )
        reply = result.ok_value if isinstance(result, Ok) else None
        self._start(self._machine.settle(send, reply, self._clock.now_ms()))
        self._report()

    def _report(self) -> None:
        """Log the machine's notices and pass its changed pages on."""
        for notice in self._machine.take_notices():
            log_event(_LOGGER, notice.event, **notice.fields)
        if self._machine.routers.version != self._routers_version:
            self._routers_version = self._machine.routers.version
            for listener in self._router_callbacks:
                listener()
        for page in self._machine.take_changed():
            for callback in self._callbacks:
                try:
                    callback(page)
                except Exception:  # one subscriber's fault must not keep pages from the others
                    _LOGGER.exception("a subscriber failed on a page")

    async def _cancel(self, tasks: list[asyncio.Task[None]]) -> None:
        for task in tasks:
            task.cancel()
        if tasks:
            await asyncio.wait(tasks)
        tasks.clear()
