"""Steps for the handover table."""

from behave import given, then

from nutmeglead._generated.common.ttypes import Sender
from nutmeglead._generated.messages.ttypes import (
    AssignReply,
    Grant,
    OrderStatus,
    ReleaseReply,
    ReleaseUnits,
    RenewerSet,
    ServerRow,
    StoppedReply,
    SuspectServer,
)
from nutmeglead._generated.settings.ttypes import OwnershipSettings
from nutmeglead.ownership.handover import HandoverTable, SendRelease
from nutmeglead.ownership.units import Holder, Unit, UnitRecord

UNITS = {"bucket": Unit.of_bucket(0), "pin": Unit.of_key("ka")}
SERVICE, SERVER = "lagerblick", "A"


def number(lease_epoch):
    return int(lease_epoch[1:])


class HandoverScenario:
    def __init__(self, history):
        self.now_ms, self.row, self.suspicion = 0, None, None
        self.begin(0)
        for event in history.split("; "):
            verb, *words = event.split()
            getattr(self, "do_" + verb.replace("-", "_"))(*words)

    def begin(self, after_lapse_ms):
        self.table = HandoverTable(OwnershipSettings(), after_lapse_ms)
        self.do_row("L1", "n1,n2,n3")
        self.do_pending("5")

    def do_start(self):
        pass

    def do_gate(self):
        self.begin(5000)

    def do_at(self, now_ms):
        self.now_ms = int(now_ms)
        self.table.decide(self.now_ms)

    def do_pending(self, epoch):
        holders = () if epoch == "none" else (Holder(SERVER, int(epoch)),)
        record = UnitRecord(UNITS["bucket"], "B", 9, holders)
        self.table.set_pending([record] if holders else [])

    def do_row(self, lease_epoch, nodes, former=""):
        former_sets = [self.row.current] if former else []
        current = RenewerSet(number(lease_epoch), nodes.split(","))
        self.row = ServerRow(SERVICE, SERVER, "h1", current, former_sets)
        self.table.set_server(self.row)

    def do_stopped(self, node_id, lease_epoch, remaining_ms):
        sender = Sender(node_id, "i")
        reply = StoppedReply(sender, SERVER, number(lease_epoch), int(remaining_ms))
        self.table.on_stopped(reply, self.now_ms)

    def do_renewer_gone(self, node_id):
        self.table.on_renewer_gone(node_id, self.now_ms)

    def do_vm_gone(self, incarnation):
        self.table.on_server_gone(SERVER, incarnation, self.now_ms)

    def do_lapse(self):
        self.table.require_lapse(SERVER)

    def do_reported(self, node_id, lease_epoch, incarnation, silent_ms="0"):
        message = SuspectServer(
            Sender(node_id, "i"), SERVICE, SERVER, number(lease_epoch), int(silent_ms), incarnation
        )
        self.suspicion = self.table.on_suspect(message, self.now_ms)

    def do_refused(self, node_id, lease_epoch):
        reply = AssignReply(Sender(node_id, "i"), False, number(lease_epoch))
        self.suspicion = self.table.on_assign_reply(SERVER, reply)

    def do_released(self, grant, word="", incarnation="h1"):
        status = OrderStatus.STALE_ROLE_EPOCH if word == "stale" else OrderStatus.DONE
        self._reply(grant, status, incarnation, released=True)

    def do_unasked(self, grant):
        self._reply("bucket@5", OrderStatus.DONE, "h1", True, UNITS[grant.split("@")[0]].to_id())

    def do_draining(self, grant):
        self._reply(grant, OrderStatus.DRAINING, "h1", released=False)

    def _reply(self, grant, status, incarnation, released, named=None):
        name, epoch = grant.split("@")
        unit_id = UNITS[name].to_id()
        request = ReleaseUnits(Sender("c", "i"), 1, 1, "h1", [Grant(unit_id, int(epoch))])
        lists = ([named or unit_id], []) if released else ([], [unit_id])
        reply = ReleaseReply(status, incarnation, *lists, 1)
        self.table.on_release_reply(SERVER, request, reply, self.now_ms)

    def messages(self, now_ms):
        found = []
        for decision in self.table.decide(now_ms):
            if isinstance(decision, SendRelease):
                names = {unit: name for name, unit in UNITS.items()}
                found += [f"release {names[unit]}@{epoch}" for unit, epoch in decision.units]
            else:
                found.append(f"stop {decision.node_id} L{decision.lease_epoch}")
        return found


@given("a handover table with the history: {history}")
def step_history(context, history):
    context.handover = HandoverScenario(history)


@then("A's holding of the bucket at epoch {epoch:d} is proven by {proof}")
def step_proof(context, epoch, proof):
    table, holder = context.handover.table, Holder(SERVER, epoch)
    found = table.proof(UNITS["bucket"], holder)
    assert (found.name if found else "none") == proof, found
    proven = table.proven().get(UNITS["bucket"], [])
    assert proven == ([holder] if found else []), proven


@then("at {now:d} ms it sends {messages}")
def step_messages(context, now, messages):
    found = context.handover.messages(now)
    assert found == ([] if messages == "none" else messages.split(", ")), found


@then("the last report means {suspicion}")
def step_suspicion(context, suspicion):
    assert context.handover.suspicion.name == suspicion, context.handover.suspicion
