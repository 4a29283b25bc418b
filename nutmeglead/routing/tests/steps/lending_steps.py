"""Steps for slots lent between routers."""

import random
import re

from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from nutmeglead._generated.common.ttypes import Address, Sender
from nutmeglead._generated.messages.ttypes import LendSlots, MessageType
from nutmeglead._generated.settings.ttypes import ConcurrencySettings
from nutmeglead.core.clock import ManualClock
from nutmeglead.routing.lending import SlotLedger
from nutmeglead.routing.router_peers import RpcRouterPeers
from nutmeglead.routing.slot_exchange import SlotExchange, own_slots
from nutmeglead.routing.tests.memory_wire import until
from nutmeglead.routing.tests.rig import Rig, make_services, run
from nutmeglead.routing.timers import sleep_until
from nutmeglead.rpc.client import RpcClient
from nutmeglead.rpc.server import HandlerRegistry, RpcServer

START_MS = 2000


def make_ledger(name, own, now_ms, incarnation="1"):
    return SlotLedger(Sender(name, incarnation), "lookups", "s1", own, now_ms)


class LendingScenario:
    """Play one course between a lender with two slots and a borrower."""

    def __init__(self):
        self.lender = make_ledger("lender", 2, 0)
        self.borrower = make_ledger("borrower", 0, 0)
        self.now_ms = START_MS

    def borrow(self, busy_slots=0, slots=1):
        message = self.borrower.ask("lender", slots, self.now_ms)
        reply = self.lender.lend(message, busy_slots, self.now_ms)
        self.borrower.accept(reply, self.now_ms)
        return message, reply

    def follow(self, course):
        passing = re.search(r" and (\d+) ms pass$", course)
        name = course[: passing.start()] if passing else course
        getattr(self, "_" + name.replace(" ", "_"))()
        if passing:
            self.now_ms += int(passing.group(1))

    def _one_slot_is_lent(self):
        self.borrow()

    def _the_reply_comes_late(self):
        reply = self.lender.lend(self.borrower.ask("lender", 1, self.now_ms), 0, self.now_ms)
        self.now_ms += 500
        self.borrower.accept(reply, self.now_ms)

    def _both_slots_are_lent_and_renewed(self):
        self.borrow(slots=2)
        self.now_ms += 600
        self.borrow(slots=2)
        self.now_ms += 600

    def _the_reply_to_a_smaller_request_is_lost(self):
        self.borrow(slots=2)
        self._the_reply_is_lost()

    def _the_reply_is_lost(self):
        self.lender.lend(self.borrower.ask("lender", 1, self.now_ms), 0, self.now_ms)

    def _the_loan_ends(self):
        self.borrow()
        self.now_ms += 1003

    def _the_request_comes_twice(self):
        message, _ = self.borrow()
        again = self.lender.lend(message, 0, self.now_ms + 900)
        assert again.slots == 1
        self.borrower.accept(again, self.now_ms + 900)

    def _the_reply_comes_twice(self):
        _, reply = self.borrow()
        self.borrower.accept(reply, self.now_ms)

    def _the_loan_is_renewed_in_time(self):
        self.borrow()
        self.now_ms += 600
        self.borrow()
        self.now_ms += 600

    def _the_slot_is_given_back(self):
        self.borrow()
        self.lender.lend(self.borrower.give_back("lender", self.now_ms), 0, self.now_ms)

    def _the_request_comes_after_the_return(self):
        late = self.borrower.ask("lender", 1, self.now_ms)
        back = self.borrower.give_back("lender", self.now_ms)
        self.lender.lend(back, 0, self.now_ms)
        self.borrower.accept(self.lender.lend(late, 0, self.now_ms), self.now_ms)

    def _the_reply_comes_after_the_return(self):
        message = self.borrower.ask("lender", 1, self.now_ms)
        reply = self.lender.lend(message, 0, self.now_ms)
        back = self.borrower.give_back("lender", self.now_ms)
        self.borrower.accept(reply, self.now_ms)
        self.lender.lend(back, 0, self.now_ms)

    def _the_lender_is_busy(self):
        self.borrow(busy_slots=2)

    def _the_lender_restarts(self):
        self.borrow()
        self.lender = make_ledger("lender", 2, self.now_ms, "2")

    def _the_lender_loses_a_slot_to_a_new_router(self):
        self.borrow()
        self.lender.set_own_slots(1, self.now_ms)


class GeneratedNetwork:
    """Let routers lend over a network that loses, delays and doubles messages."""

    def __init__(self, routers, slots):
        self.slots = slots
        self.real_ms = START_MS
        self.names = [f"r{n}" for n in range(routers)]
        self.own = {
            name: slots // routers + (n < slots % routers) for n, name in enumerate(self.names)
        }
        self.restarts = dict.fromkeys(self.names, 0)
        self.ledgers = {name: make_ledger(name, self.own[name], 0) for name in self.names}
        self.messages = []

    def now_ms(self, name):
        """Return a router's own time; clocks differ by up to 500 ppm in either direction."""
        rate = 1 + (self.names.index(name) % 3 - 1) * 0.0005
        return int(self.real_ms * rate)

    def step(self, kind, choice, other, amount):
        name = self.names[choice % len(self.names)]
        peer = self.names[other % len(self.names)]
        if kind == "time":
            self.real_ms += amount
        elif kind == "ask" and name != peer:
            message = self.ledgers[name].ask(peer, 1 + amount % 3, self.now_ms(name))
            self.messages.append((peer, message))
        elif kind == "return" and name != peer:
            message = self.ledgers[name].give_back(peer, self.now_ms(name))
            self.messages.append((peer, message))
        elif kind == "restart":
            self.restarts[name] += 1
            incarnation = str(self.restarts[name] + 1)
            now_ms = self.now_ms(name)
            self.ledgers[name] = make_ledger(name, self.own[name], now_ms, incarnation)
        elif kind in ("deliver", "double") and self.messages:
            self._deliver(choice % len(self.messages), kind == "double")
        elif kind == "lose" and self.messages:
            self.messages.pop(choice % len(self.messages))

    def _deliver(self, position, keep):
        to, message = self.messages[position] if keep else self.messages.pop(position)
        ledger, now_ms = self.ledgers[to], self.now_ms(to)
        if hasattr(message, "duration_ms"):
            self.messages.append((message.sender.node_id, ledger.lend(message, 0, now_ms)))
        else:
            ledger.accept(message, now_ms)

    def total(self):
        return sum(ledger.share(self.now_ms(name)) for name, ledger in self.ledgers.items())


class FakePeers:
    """Reach one other router, or not."""

    def __init__(self, names, own_name, is_reachable):
        self.names = names
        self.sender = Sender(own_name, "1")
        self.is_reachable = is_reachable
        self.other = None

    def router_ids(self):
        return self.names

    async def lend(self, node_id, message):
        return self.other.answer(message) if self.is_reachable else None


class StarvingScenario:
    async def play(self, is_reachable):
        services = make_services(
            slots_per_instance=1, concurrency=ConcurrencySettings(policy="lent")
        )
        names = ["r1", "r2"]
        owner = next(n for n in names if own_slots(services[1], "s1", n, names) == 1)
        starving = next(n for n in names if n != owner)
        peers = FakePeers(names, starving, is_reachable)
        rig = Rig(services, peers=peers)
        peers.other = SlotExchange(
            services[1],
            FakePeers(names, owner, is_reachable),
            rig.timers,
            None,
            lambda server: 0,
            lambda server: None,
        )
        peers.other.ledger("s1")
        # Both routers start with the pause that protects loans of an earlier incarnation.
        await rig.advance(1100, 100)
        caller = rig.begin("POST", "/orders/k", b"order")
        await rig.advance(1100, 50)
        await until(caller.reading.done, "an answer")
        self.told = caller.told
        self.duration_ms = rig.records[-1].duration_ms
        await rig.close()


@given("a lender with 2 slots and a borrower with none")
def step_pair(context):
    context.lending = LendingScenario()


@when("the lending course is {course}")
def step_course(context, course):
    context.lending.follow(course)


@then("the lender may use {lender:d} and the borrower {borrower:d} slots")
def step_slots(context, lender, borrower):
    lending = context.lending
    actual = (lending.lender.share(lending.now_ms), lending.borrower.share(lending.now_ms))
    assert actual == (lender, borrower), actual


@when("generated routers lend slots over a network that loses, delays and doubles messages")
def step_network(context):
    kinds = ["time", "time", "ask", "ask", "deliver", "deliver", "deliver", "double", "lose"]
    event = st.tuples(
        st.sampled_from([*kinds, "return", "restart"]),
        st.integers(0, 20),
        st.integers(0, 20),
        st.integers(1, 400),
    )
    context.borrowed = 0

    @settings(derandomize=True, deadline=None, max_examples=300, database=None)
    @for_all(st.integers(2, 5), st.integers(1, 6), st.lists(event, min_size=30, max_size=120))
    def play(routers, slots, events):
        network = GeneratedNetwork(routers, slots)
        for one in events:
            network.step(*one)
            assert network.total() <= slots, (network.total(), slots)
            context.borrowed += any(
                ledger.share(network.now_ms(name)) > network.own[name]
                for name, ledger in network.ledgers.items()
            )

    context.play_network = play


@then("the shares never exceed the slots at any moment")
def step_never_exceed(context):
    context.play_network()
    assert context.borrowed > 100, "the generated courses must lend slots at all"


class GrowingScenario:
    async def play(self):
        rig = Rig(make_services(slots_per_instance=4, connections_per_instance=4))
        server = rig.servers["s1"]
        server.default = self._answer_after_10_ms
        self.rig, self.in_progress, self.most = rig, 0, 0
        for routers in (1, 4):
            rig.placement.routers, self.most = routers, 0
            callers = [rig.begin("GET", f"/orders/k{routers}-{n}") for n in range(4)]
            await rig.advance(600)
            assert all(caller.told == "200 whole" for caller in callers)
            self.open_count = rig.router.pool.open_count(("orders", "s1"))
            assert routers > 1 or (self.most, self.open_count) == (4, 4)
        await rig.close()

    async def _answer_after_10_ms(self, side):
        while (request := await side.take_request()) is not None:
            self.in_progress += 1
            self.most = max(self.most, self.in_progress)
            await sleep_until(self.rig.timers, self.rig.clock.now_ms() + 10)
            self.in_progress -= 1
            side.answer(request.target.encode())


class RpcScenario:
    async def play(self, is_listening):
        lender = make_ledger("lender", 2, -START_MS)
        clock = ManualClock()

        async def answer(message):
            return lender.lend(message, 0, 0)

        handlers = HandlerRegistry()
        handlers.add(MessageType.LEND_SLOTS, LendSlots, answer)
        server = RpcServer(handlers)
        port = await server.start("127.0.0.1", 0)
        if not is_listening:
            await server.close()
        client = RpcClient(clock, random.Random(1))
        addresses = {"lender": Address("127.0.0.1", port)}
        peers = RpcRouterPeers(Sender("borrower", "1"), lambda: addresses, client)
        assert list(peers.router_ids()) == ["borrower", "lender"]
        message = make_ledger("borrower", 0, 0).ask("lender", 1, 0)
        self.reply = await peers.lend("lender", message)
        assert await peers.lend("unknown", message) is None
        await client.close()
        if is_listening:
            await server.close()


@given("a router that alone has 4 requests running on the 4 connections of a server")
def step_alone(context):
    context.growing = GrowingScenario()


@when("three more routers share the server and the router gets 4 more requests")
def step_grow(context):
    run(context.growing.play)


@then("the router runs 1 of them at a time on 1 connection")
def step_grown(context):
    assert (context.growing.most, context.growing.open_count) == (1, 1), vars(context.growing)


@given("a router that lends slots over rpc and {state}")
def step_rpc_router(context, state):
    context.rpc_listens = state == "listens"


@when("another router asks it for 1 slot")
def step_rpc_ask(context):
    context.rpc = RpcScenario()
    run(context.rpc.play, context.rpc_listens)


@then("{slots} slots are lent")
def step_rpc_slots(context, slots):
    actual = "no" if context.rpc.reply is None else str(context.rpc.reply.slots)
    assert actual == slots, context.rpc.reply


@given("two routers of one server with 1 slot that {state}")
def step_two_routers(context, state):
    context.is_reachable = state == "can reach each other"


@when("the router without a slot gets an order")
def step_starve(context):
    context.starving = StarvingScenario()
    run(context.starving.play, context.is_reachable)


@then('the order is told "{told}" after {time:d} ms')
def step_order_told(context, told, time):
    assert context.starving.told == told, context.starving.told
    assert context.starving.duration_ms == time, context.starving.duration_ms
