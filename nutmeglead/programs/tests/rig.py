"""Run the operators' programs in one process against a store in memory."""

import asyncio
import io
import shlex
from pathlib import Path

from result import Err, Ok

from nutmeglead._generated.peers.ttypes import NodeRow, TicketStatus
from nutmeglead._generated.tickets.ttypes import ServerState
from nutmeglead.core.clock import ManualClock
from nutmeglead.core.codec import encode
from nutmeglead.core.ids import NodeId, ServerId, ServiceName
from nutmeglead.emulator.rows import CallFault, RowStore, RowStoreFetcher
from nutmeglead.forwarding.model import ServerIncarnation
from nutmeglead.http.errors import ConnectFailed
from nutmeglead.platform.store import StoreClient, StoreUnavailable
from nutmeglead.platform.table import StoreTable
from nutmeglead.programs import audit, ticket
from nutmeglead.programs.audit_commands import AuditContext
from nutmeglead.programs.common import set_up
from nutmeglead.programs.exit_codes import ExitCode
from nutmeglead.programs.output import Output
from nutmeglead.programs.ticket_commands import TicketContext
from nutmeglead.ranges.audit import AUDIT_TABLE, move_record, role_record
from nutmeglead.ranges.keys import KEY_COUNT
from nutmeglead.ranges.model import KeyRange, RangeMap, encode_map
from nutmeglead.ranges.moves import Move, MoveReason
from nutmeglead.ranges.role import MAP_KEY, RANGES_TABLE
from nutmeglead.tickets.keys import key_number
from nutmeglead.tickets.rows import HEAD_ROW, TICKETS_TABLE, ticket_writes
from nutmeglead.tickets.tests import samples

__all__ = ["ROOT", "SETTINGS", "Platform"]

ROOT = Path(__file__).resolve().parents[3]
SETTINGS = "examples/brunner/halle-a.jsonc"
# 2026-12-06 22:00:00 UTC, a Sunday.
START_MS = 1_796_594_400_000
NODE = NodeId("entry-halle-a-1")
STOCK = ServiceName("lagerblick")
TIMEOUT_MS = 1_000


class Nodes:
    """Answer for the entry VMs."""

    def __init__(self):
        self.node_ids = [f"entry-halle-a-{n}" for n in (1, 2)]
        self.is_listed = True
        # For each question in order: the missing parts, or None for no answer; the last repeats.
        self.answers = [[]]
        self.ticket_number = 1_000
        self.asked = 0

    async def list(self):
        if not self.is_listed:
            return Err(StoreUnavailable("status 503"))
        return Ok({node_id: NodeRow("10.0.0.1", 1, 1, "", 1.0) for node_id in self.node_ids})

    async def status(self, row):
        answer = self.answers[min(self.asked, len(self.answers) - 1)]
        self.asked += 1
        if answer is None:
            return Err(ConnectFailed(row.ip, "no route to host"))
        return Ok(TicketStatus("entry", self.ticket_number, answer))


class Platform:
    """Hold the store and run command lines against it."""

    def __init__(self):
        self.clock = ManualClock(START_MS)
        self.rows = RowStore(self.clock)
        self.fetcher = RowStoreFetcher(self.rows)
        self.store = StoreClient("10.0.0.1", 80, self.fetcher, TIMEOUT_MS, self.clock)
        self.tickets = StoreTable(self.store, TICKETS_TABLE)
        self.nodes = Nodes()

    def run(self, line):
        """Return exit code, results and errors of a command line."""
        words = shlex.split(line)
        module = {"nutmeglead-ticket": ticket, "nutmeglead-audit": audit}[words[0]]
        parser = ticket.ticket_parser() if module is ticket else audit.audit_parser()
        arguments = [str(ROOT / word) if (ROOT / word).is_file() else word for word in words[1:]]
        options = parser.parse_args(arguments)
        output = Output(getattr(options, "json", False), io.StringIO(), io.StringIO())
        loaded = set_up(options, output)
        if isinstance(loaded, Err):
            code = loaded.err_value
        else:
            commands_context = self._commands_context(module, loaded.ok_value, options, output)
            code = asyncio.run(module.run_command(options, commands_context))
        found = [
            stream.getvalue().replace(f"{ROOT}/", "") for stream in (output.results, output.errors)
        ]
        return code, found[0], found[1]

    def _commands_context(self, module, settings, options, output):
        if module is ticket:
            return TicketContext(
                settings, self.tickets, self.nodes, self.clock, self._pause, output
            )
        services = [service.name for service in settings.services]
        names = [options.service] if options.service else services
        return AuditContext(names, self.store, self.tickets, output)

    def arrange(self, part):
        """Bring the platform into a named state; several states may follow each other."""
        first = f"nutmeglead-ticket --settings {SETTINGS} file examples/brunner/ticket-1.jsonc"
        if part == "the first ticket":
            assert self.run(first)[0] == ExitCode.DONE
        elif part == "an overlapping ticket":
            items = [samples.server("lb-01", ServerState.LEAVING)]
            writes = ticket_writes(samples.ticket("other", 0, items, number=1))
            asyncio.run(self.tickets.commit([], writes)).unwrap()
        elif part == "a store outage":
            self.fetcher.fault = CallFault.UNAVAILABLE
        elif part == "lost answers":
            self.fetcher.next_transact_faults = [CallFault.ANSWER_LOST_NOT_APPLIED] * 8
        elif part == "a corrupt head":
            self.rows.put(TICKETS_TABLE, HEAD_ROW, b"\x1f")
        elif part == "a corrupt record":
            self.rows.put(AUDIT_TABLE, "map-0000000001", b"\x1f", STOCK)
        elif part == "keys that are not yet moved":
            self.nodes.answers = [["lagerblick: keys 1 to 1 are not yet with lb-05"]] * 4 + [[]]
        elif part == "the move of schnittplan-4711":
            self._write_move("schnittplan-4711", "lb-03", "lb-05")
        elif part == "a lost entry VM":
            self.nodes.answers = [[], None] * 8
        else:
            assert part == "no ticket", part

    def _write_move(self, key, holder, target):
        """Write the rows of a role and of two maps as the acting controller does."""
        number, incarnations = key_number(key), [
            ServerIncarnation(ServerId(name), 0) for name in (holder, target)
        ]
        empty = RangeMap(STOCK, [KeyRange(0, KEY_COUNT - 1, None, 0)])
        first = [Move(0, KEY_COUNT - 1, incarnations[0], MoveReason.FIRST_PLACEMENT)]
        claimed = [Move(number, number, incarnations[1], MoveReason.CLAIM)]
        ranges = empty
        records = [role_record(NODE, self.clock.wall_ms(), STOCK, 1, 3)]
        for moves, ticket_number in ((first, 1), (claimed, 2)):
            after = ranges.assign(moves, 3)
            self.clock.advance(1_000)
            wall_ms = self.clock.wall_ms()
            records.append(move_record(NODE, wall_ms, ticket_number, moves, ranges, after))
            ranges = after
        keys = ["role-0000000003", "map-0000000001", "map-0000000002"]
        for row_key, record in zip(keys, records, strict=True):
            self.rows.put(AUDIT_TABLE, row_key, encode(record), STOCK)
        self.rows.put(RANGES_TABLE, MAP_KEY, encode_map(ranges), STOCK)

    async def _pause(self, duration_ms):
        self.clock.advance(duration_ms)
