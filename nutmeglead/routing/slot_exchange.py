"""Borrow and lend slots between routers for the `lent` concurrency policy."""

import asyncio
import random
from collections.abc import Callable, Sequence
from typing import Protocol

from xxhash import xxh64_intdigest

from nutmeglead._generated.common.ttypes import Sender
from nutmeglead._generated.messages.ttypes import LendReply, LendSlots
from nutmeglead._generated.settings.ttypes import ServiceSettings
from nutmeglead.core.ids import ServerId
from nutmeglead.routing.concurrency import split_share
from nutmeglead.routing.lending import SlotLedger
from nutmeglead.routing.timers import Timers

__all__ = ["RouterPeers", "SlotExchange", "own_slots"]

# A loan of 1 s is renewed this long before its end, if requests are still running on it.
RENEW_BEFORE_MS = 400


class RouterPeers(Protocol):
    """Know this router and the others, and send them messages."""

    @property
    def sender(self) -> Sender:
        """Return this router's node id and incarnation."""
        ...

    def router_ids(self) -> Sequence[str]:
        """List the node ids of all routers, this one included."""
        ...

    async def lend(self, node_id: str, message: LendSlots) -> LendReply | None:
        """Send a request for slots; return None if no reply came."""
        ...


def own_slots(
    service: ServiceSettings, server_id: str, node_id: str, routers: Sequence[str]
) -> int:
    """Return a router's own part of a server's slots.

    The routers are ranked by a hash with the server, so that each server's slots belong to other
    routers; all parts add up to exactly the slots.
    """
    ranked = sorted(
        set(routers), key=lambda router: xxh64_intdigest(f"{server_id}/{router}".encode())
    )
    if node_id not in ranked:
        return 0
    return split_share(int(service.slots_per_instance), len(ranked), ranked.index(node_id))


class SlotExchange:
    """Keep the ledgers of one service's servers and ask other routers for slots."""

    def __init__(
        self,
        service: ServiceSettings,
        peers: RouterPeers,
        timers: Timers,
        rng: random.Random,
        busy_slots: Callable[[ServerId], int],
        on_gain: Callable[[ServerId], None],
    ) -> None:
        self._service = service
        self._sender = peers.sender
        self._peers = peers
        self._timers = timers
        self._rng = rng
        self._busy_slots = busy_slots
        self._on_gain = on_gain
        self._ledgers: dict[ServerId, SlotLedger] = {}
        self._asking: dict[ServerId, asyncio.Task[None]] = {}

    def ledger(self, server_id: ServerId) -> SlotLedger:
        """Return the ledger of a server."""
        ledger = self._ledgers.get(server_id)
        if ledger is None:
            ledger = self._ledgers[server_id] = SlotLedger(
                self._sender,
                self._service.name,
                server_id,
                self._own_slots(server_id, self._sender.node_id),
                self._timers.clock.now_ms(),
            )
        return ledger

    def _own_slots(self, server_id: ServerId, node_id: str) -> int:
        return own_slots(self._service, server_id, node_id, self._peers.router_ids())

    def refresh(self) -> None:
        """Take over a changed list of routers."""
        now_ms = self._timers.clock.now_ms()
        for server_id, ledger in self._ledgers.items():
            ledger.set_own_slots(self._own_slots(server_id, self._sender.node_id), now_ms)

    def answer(self, message: LendSlots) -> LendReply:
        """Answer another router's request."""
        server_id = ServerId(message.server_id)
        busy = self._busy_slots(server_id)
        return self.ledger(server_id).lend(message, busy, self._timers.clock.now_ms())

    def want(self, server_id: ServerId) -> None:
        """Ask for a slot, unless a round of questions is under way."""
        if server_id not in self._asking:
            task = asyncio.ensure_future(self._ask_lenders(server_id))
            self._asking[server_id] = task
            task.add_done_callback(lambda _: self._asking.pop(server_id, None))

    async def _ask_lenders(self, server_id: ServerId) -> None:
        lenders = [
            router
            for router in self._peers.router_ids()
            if router != self._sender.node_id and self._own_slots(server_id, router) > 0
        ]
        self._rng.shuffle(lenders)
        for lender in lenders:
            if await self._ask(server_id, lender):
                return

    async def _ask(self, server_id: ServerId, lender: str) -> bool:
        ledger = self.ledger(server_id)
        message = ledger.ask(lender, 1, self._timers.clock.now_ms())
        reply = await self._peers.lend(lender, message)
        now_ms = self._timers.clock.now_ms()
        if reply is None or not ledger.accept(reply, now_ms):
            return False
        renew_ms = ledger.borrowed_until_ms(lender, now_ms) - RENEW_BEFORE_MS
        self._timers.call_at(renew_ms, lambda: self._renew(server_id, lender))
        self._on_gain(server_id)
        return True

    def _renew(self, server_id: ServerId, lender: str) -> None:
        """Keep a loan while requests run on it; an unused one lapses."""
        if self._busy_slots(server_id) and server_id not in self._asking:
            task = asyncio.ensure_future(self._renew_from(server_id, lender))
            self._asking[server_id] = task
            task.add_done_callback(lambda _: self._asking.pop(server_id, None))

    async def _renew_from(self, server_id: ServerId, lender: str) -> None:
        await self._ask(server_id, lender)

    def close(self) -> None:
        """End the rounds of questions."""
        for task in self._asking.values():
            task.cancel()
