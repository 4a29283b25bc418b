"""Name the faults that the scenarios inject into a rig."""

from nutmeglead.core.registry import Registry
from nutmeglead.platform.memory import TableFault

FAULTS = Registry("fault")
# The faults of which all pairs are run.
PAIRED = (
    "server frozen",
    "server frozen for 3 s",
    "server restarted",
    "server leaving",
    "server leaving and back",
    "keys claimed and back",
    "renewer paused for 3 s",
    "renewer restarted",
    "acting controller paused for 4 s",
    "failure domain lost",
    "failure domain cut off with the table",
    "table down",
    "answers lost",
    "5% loss, doubling and reordering",
)


def pause(rig, process, duration_ms=None):
    """Pause a process; without a duration until the rig heals."""
    process.is_paused = True
    if duration_ms is not None:
        resume = lambda: process.resume() if process.is_paused else None  # noqa: E731
        rig.network.at(rig.now_ms + duration_ms, resume)


def other_domain(rig):
    """Return a failure domain in which the acting controller is not."""
    acting = rig.acting()
    return next(d for d in rig.options.domains if acting is None or d != acting.domain)


def other_renewer(rig, server):
    """Return a renewer of a server that does not act."""
    return next(node for node in rig.renewers_of(server) if node is not rig.acting())


def file_ticket(rig, **items):
    """File a ticket as soon as the table accepts it, as an operator would."""
    if rig.table_is_up():
        rig.file_ticket(**items)
    else:
        rig.network.at(rig.now_ms + 100, lambda: file_ticket(rig, **items))


@FAULTS.register("server frozen")
def _frozen(rig):
    pause(rig, rig.servers["lb-01"])


@FAULTS.register("server frozen for 3 s")
def _frozen_3s(rig):
    pause(rig, rig.servers["lb-02"], 3_000)


@FAULTS.register("server frozen for 480 ms")
def _frozen_480_ms(rig):
    """Freeze a server until after it is suspected and before its lease ends."""
    pause(rig, rig.servers["lb-02"], 480)


def leave_behind_cut(rig, renewer_count):
    """Have a server leave that the acting controller does not reach, nor some of its renewers."""
    acting = rig.acting()
    server = next(s for s in rig.servers.values() if acting not in rig.renewers_of(s.name))
    others = [server, *rig.renewers_of(server.name)[:renewer_count]]
    rig.network.cut_links |= {frozenset((acting.name, other.name)) for other in others}
    file_ticket(rig, leaving=[server.name])


@FAULTS.register("server leaving behind a cut link")
def _leaving_behind_cut(rig):
    leave_behind_cut(rig, 0)


@FAULTS.register("server and two renewers behind cut links")
def _leaving_behind_cuts(rig):
    leave_behind_cut(rig, 2)


@FAULTS.register("server lost")
def _lost(rig):
    rig.lose_server("lb-01")


@FAULTS.register("server lost, VM list prompt")
def _lost_prompt(rig):
    rig.options.vm_list_delay_ms = 0
    rig.lose_server("lb-01")


@FAULTS.register("server restarted")
def _restarted(rig):
    rig.servers["lb-03"].restart()


@FAULTS.register("server leaving")
def _leaving(rig):
    file_ticket(rig, leaving=["lb-04"])


@FAULTS.register("server leaving and back")
def _leaving_back(rig):
    file_ticket(rig, leaving=["lb-05"])
    back = lambda: file_ticket(rig, present=["lb-05"])  # noqa: E731
    rig.at_step("after", "release", back)
    rig.network.at(rig.now_ms + 2_500, back)


@FAULTS.register("keys claimed and back")
def _claimed(rig):
    keys = ("auftrag-1", "auftrag-2")
    owners = {key: rig.checks.server_of(key) or "lb-00" for key in keys}
    others = {key: next(s for s in rig.servers if s != owners[key]) for key in keys}
    file_ticket(rig, claims=others)
    rig.at_step("after", "pages written", lambda: file_ticket(rig, claims=owners))


@FAULTS.register("key claimed during a request")
def _claimed_during_request(rig):
    """Move one of two pins of a server while a request in flight has the release repeated."""
    file_ticket(rig, claims={"auftrag-3": "lb-01"})
    assert rig.run_until(rig.in_force, 5_000) is not None
    server = rig.servers["lb-01"]
    _, epoch = server.holder.serves("auftrag-2", server.clock_ms())
    request = server.holder.admit("auftrag-2", epoch, server.clock_ms()).unwrap()
    file_ticket(rig, claims={"auftrag-2": "lb-00"})

    def finish_later():
        rig.network.at(rig.now_ms + 90, lambda: server.holder.finish(request))

    rig.at_step("after", "release", finish_later)


@FAULTS.register("two tickets at once")
def _two_tickets(rig):
    file_ticket(rig, leaving=["lb-04"])
    file_ticket(rig, claims={"auftrag-3": "lb-00"})


@FAULTS.register("renewer paused for 3 s")
def _renewer_paused(rig):
    pause(rig, other_renewer(rig, "lb-00"), 3_000)


@FAULTS.register("renewer restarted")
def _renewer_restarted(rig):
    other_renewer(rig, "lb-00").restart()


@FAULTS.register("server and renewer lost")
def _server_and_renewer(rig):
    other_renewer(rig, "lb-01").is_dead = True
    rig.lose_server("lb-01")


@FAULTS.register("acting controller paused for 4 s")
def _acting_paused(rig):
    if rig.acting() is not None:
        pause(rig, rig.acting(), 4_000)


@FAULTS.register("acting controller lost")
def _acting_lost(rig):
    rig.acting().is_dead = True


@FAULTS.register("failure domain lost")
def _domain_lost(rig):
    rig.lose_domain(other_domain(rig))


@FAULTS.register("failure domain of the acting controller lost")
def _acting_domain_lost(rig):
    rig.lose_domain(rig.acting().domain)


@FAULTS.register("failure domain cut off with the table")
def _domain_cut_table(rig):
    rig.cut_domain(other_domain(rig), with_table=True)


@FAULTS.register("failure domain cut off without the table")
def _domain_cut(rig):
    rig.cut_domain(other_domain(rig), with_table=False)


@FAULTS.register("failure domain of the acting controller cut off with the table")
def _acting_cut_table(rig):
    rig.cut_domain(rig.acting().domain, with_table=True)


@FAULTS.register("failure domain of the acting controller cut off without the table")
def _acting_cut(rig):
    rig.cut_domain(rig.acting().domain, with_table=False)


@FAULTS.register("table down")
def _table_down(rig):
    rig.table.fault = TableFault.UNAVAILABLE


@FAULTS.register("answers lost")
def _answers_lost(rig):
    lost = [TableFault.ANSWER_LOST_APPLIED, TableFault.ANSWER_LOST_NOT_APPLIED]
    rig.table.next_commit_faults = lost * 2


@FAULTS.register("1% loss")
def _loss_1(rig):
    rig.network.loss = 0.01


@FAULTS.register("5% loss, doubling and reordering")
def _loss_5(rig):
    rig.network.loss, rig.network.doubling, rig.network.lateness = 0.05, 0.05, 0.05


@FAULTS.register("no fault")
def _none(rig):
    pass


__all__ = ["FAULTS", "PAIRED", "file_ticket", "pause"]
