"""Run the operators' programs in one process against in-memory services."""

import asyncio
import io
import shlex
from pathlib import Path

from result import Err, Ok

from nutmeglead._generated.common.ttypes import Sender
from nutmeglead._generated.messages.ttypes import InForceReply, MissingParty
from nutmeglead._generated.settings.ttypes import AuditSettings
from nutmeglead._generated.tickets.ttypes import ServerState
from nutmeglead.audit.buffer import AuditBuffer
from nutmeglead.audit.records import AuditContext, lease_ended, unit_moved
from nutmeglead.core.clock import ManualClock
from nutmeglead.core.codec import encode
from nutmeglead.core.ids import RowKey
from nutmeglead.ownership import pages
from nutmeglead.ownership.keys import Unit
from nutmeglead.ownership.units import UnitMap
from nutmeglead.platform.memory import MemoryObjectStore, MemoryTable, MemoryVmList, TableFault
from nutmeglead.platform.ports import RowWrite, VmEntry, VmState
from nutmeglead.programs import audit, ticket
from nutmeglead.programs.audit_commands import AuditTools
from nutmeglead.programs.common import start
from nutmeglead.programs.exit_codes import ExitCode
from nutmeglead.programs.output import Output
from nutmeglead.programs.policies import known_policies
from nutmeglead.programs.ticket_commands import TicketTools
from nutmeglead.rpc.errors import PeerUnreachable
from nutmeglead.tickets.rows import ticket_writes
from nutmeglead.tickets.tests import samples

__all__ = ["ROOT", "SETTINGS", "Platform", "entry_vm"]

ROOT = Path(__file__).resolve().parents[3]
SETTINGS = "examples/brunner/halle-a.jsonc"
# 2026-12-06 22:00:00 UTC, a Sunday.
START_MS = 1_796_594_400_000


def entry_vm(vm_id, state=VmState.LIVE, role="entry"):
    return VmEntry(vm_id, role, "127.0.0.1", 8083, "halle-a", state, "1")


class Platform:
    """Hold the services and run command lines against them."""

    def __init__(self):
        self.table = MemoryTable()
        self.objects = MemoryObjectStore()
        self.vms = MemoryVmList()
        self.vms.entries = [entry_vm(f"entry-halle-a-{n}") for n in (1, 2)]
        self.clock = ManualClock(START_MS)
        # For each question in order: the missing parties, or None for no answer; the last repeats.
        self.answers = [[]]
        self.asked = 0
        self.runs = 0

    def run(self, line):
        """Return exit code, results and errors of a command line."""
        words = shlex.split(line)
        module = {"nutmeglead-ticket": ticket, "nutmeglead-audit": audit}[words[0]]
        parser = ticket.ticket_parser() if module is ticket else audit.audit_parser()
        arguments = [str(ROOT / word) if (ROOT / word).is_file() else word for word in words[1:]]
        options = parser.parse_args(arguments)
        output = Output(getattr(options, "json", False), io.StringIO(), io.StringIO())
        started = start(options, known_policies(), output)
        if isinstance(started, Err):
            code = started.err_value
        else:
            code = asyncio.run(module.run_command(options, self._tools(module, started, output)))
        found = [stream.getvalue().replace(f"{ROOT}/", "") for stream in _streams(output)]
        return code, found[0], found[1]

    def _tools(self, module, started, output):
        settings = started.ok_value
        if module is audit:
            return AuditTools(settings, self.table, self.objects, output)
        self.runs += 1
        sender = Sender(f"ticket-{settings.node.node_id}", str(self.runs))
        return TicketTools(
            settings=settings,
            store=self.table,
            vms=self.vms,
            audit=AuditBuffer(self.objects, settings.audit, sender, self.clock),
            context=AuditContext(sender, self.clock.wall_ms(), ""),
            ask=self._ask,
            clock=self.clock,
            pause_ms=self._pause,
            output=output,
        )

    def arrange(self, part):
        """Bring the platform into a named state; several states may follow each other."""
        first = f"nutmeglead-ticket --settings {SETTINGS} file examples/brunner/ticket-1.jsonc"
        if part == "the first ticket":
            assert self.run(first)[0] == ExitCode.DONE
        elif part == "an overlapping ticket":
            items = [samples.server("lb-01", ServerState.LEAVING)]
            self.put(*ticket_writes(samples.ticket("other", 0, items, number=1)))
        elif part == "a table outage":
            self.table.fault = TableFault.UNAVAILABLE
        elif part == "lost answers":
            self.table.next_commit_faults = [TableFault.ANSWER_LOST_NOT_APPLIED] * 8
        elif part == "an object store outage":
            self.objects.available = False
        elif part == "a corrupt head":
            self.put(RowWrite(RowKey("ticket/head"), b"\x1f"))
        elif part == "a corrupt page":
            self.put(RowWrite(RowKey("page/konturablage/hash/0"), b"\x1f"))
        else:
            self._arrange_placement(part)

    def _arrange_placement(self, part):
        """Bring pages, audit records or the entry VMs' answers into a named state."""
        if part == "missing grants":
            self.answers = [[("lb-05", "no acknowledgement of its grants")]] * 4 + [[]]
        elif part == "the move of schnittplan-4711":
            self._write_move("schnittplan-4711", "lb-05")
        elif part == "the loss of lb-03":
            self._write_loss("lb-03", "lb-06")
        elif part == "a lost entry VM":
            self.answers = [[], None] * 8
        elif part == "the platform says gone":
            self.vms.entries[1] = entry_vm(self.vms.entries[1].vm_id, VmState.GONE)
            self.answers = [[]]
        else:
            assert part == "no ticket", part

    def put(self, *writes):
        asyncio.run(self.table.commit([], writes)).unwrap()

    def _first_pages(self):
        owners = [f"lb-{bucket % 24 + 1:02}" for bucket in range(2048)]
        stamp = pages.WriteStamp(3, 1)
        return pages.hash_pages("lagerblick", 2048, owners.__getitem__, stamp)

    def _write_pages(self, written):
        self.put(*(RowWrite(pages.page_key_of(page), encode(page)) for page in written))

    def _write_records(self, number, *records):
        """Write audit records as the acting controller does; each is made from a context."""
        context = AuditContext(
            Sender("entry-halle-a-1", "7"), self.clock.wall_ms(), "lagerblick", 3, number
        )
        trail = AuditBuffer(self.objects, AuditSettings(), context.sender, self.clock)
        for make in records:
            trail.append(make(context))
        asyncio.run(trail.close()).unwrap()

    def _write_move(self, key, target):
        """Write pages and audit records as the acting controller does for ticket 2."""
        stamp = pages.WriteStamp(3, 1)
        written = self._first_pages()
        unit_map = UnitMap("lagerblick", 2048)
        for page in written:
            unit_map.apply(page)
        unit = Unit.of_key(key)
        below = unit_map.records_below(unit)
        empty = pages.empty_pin_page("lagerblick", pages.page_of_unit(unit)[1], stamp)
        second = pages.WriteStamp(3, 2)
        written.append(pages.add_unit(empty, unit, target, below, second).unwrap())
        self._write_pages(written)
        moved = (unit.to_id(), below[0].owner, target, 2, "claim of ticket 2")
        self._write_records(2, lambda context: unit_moved(context, *moved))

    def _write_loss(self, lost, target):
        """Write pages and audit records as after a loss; the previous holder is cleared."""
        written = []
        for page in self._first_pages():
            units = [
                u
                for u, owner in zip(pages.units_on_page(page), page.owners, strict=True)
                if page.servers[owner] == lost
            ]
            moved = pages.move_units(page, dict.fromkeys(units, target), pages.WriteStamp(3, 1))
            moved.ok_value.previous = {}
            written.append(moved.unwrap())
        self._write_pages(written)
        unit = Unit.of_bucket(1754).to_id()
        self._write_records(
            1,
            lambda c: lease_ended(c, lost, 1, "lost: 512 ms without a reply to renewals"),
            lambda c: unit_moved(c, unit, lost, target, 2, "server_lost, load 4.2/s"),
            lambda c: lease_ended(c, lost, 1, "lapsed"),
        )

    async def _ask(self, address, number):
        answer = self.answers[min(self.asked, len(self.answers) - 1)]
        self.asked += 1
        if answer is None:
            return Err(PeerUnreachable(f"{address.ip}:{address.port}", "no route to host"))
        missing = [MissingParty(name, reason) for name, reason in answer]
        return Ok(InForceReply(Sender("entry", "1"), number, not missing, missing))

    async def _pause(self, duration_ms):
        self.clock.advance(duration_ms)


def _streams(output):
    return output.results, output.errors
