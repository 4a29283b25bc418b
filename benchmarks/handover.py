"""Measure how long keys have no serving owner in moves and losses, and the table's load."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

from benchmarks.registry import BENCHMARKS, Options
from benchmarks.report import Cell, Report, Table
from nutmeglead._generated.settings.ttypes import OwnershipSettings
from nutmeglead.controller.tests.faults import FAULTS, pause
from nutmeglead.controller.tests.rig import ControllerRig, RigOptions

__all__ = [
    "Case",
    "handover",
    "handover_acting_domain",
    "handover_domain",
    "handover_table",
    "handover_table_430",
    "measure_gaps",
]

RUN_COUNT = 200
LOSS_AIM_MS = 2_000
# Three message delays of 4 ms plus retries.
MOVE_AIM_MS = 200
TABLE_WRITES_PER_S = 300
SERVER_COUNTS = (24, 96, 430)
WATCHED_MS = 6_000


@dataclass
class Case:
    """Describe one kind of run; `hit` begins the fault and `aim_ms` bounds the longest time."""

    name: str
    hit: Callable[[ControllerRig], None]
    aim_ms: int
    options: dict[str, int] = field(default_factory=dict)
    ownership: dict[str, int] = field(default_factory=dict)
    runs: int = RUN_COUNT


def _freeze_random(rig: ControllerRig) -> None:
    name = rig.rng.choice(sorted(rig.servers))
    pause(rig, rig.servers[name])


def _claim(rig: ControllerRig) -> None:
    owner = rig.checks.server_of("auftrag-1")
    others = [name for name in sorted(rig.servers) if name != owner]
    rig.file_ticket(claims={"auftrag-1": rig.rng.choice(others)})


def _leave(rig: ControllerRig) -> None:
    owner = rig.checks.server_of("auftrag-1")
    assert owner is not None
    rig.file_ticket(leaving=[owner])


def _lose_with_renewer(rig: ControllerRig) -> None:
    name = rig.rng.choice(sorted(rig.servers))
    acting = rig.acting()
    renewers = [node for node in rig.renewers_of(name) if node is not acting]
    rig.rng.choice(renewers).is_dead = True
    rig.lose_server(name)


_DOMAIN = {"server_count": 24, "nodes_per_domain": 4, "hash_buckets": 2048, "one_way_ms": 8}

CASES = (
    Case("planned move of a claimed key", _claim, MOVE_AIM_MS),
    Case("leaving server", _leave, MOVE_AIM_MS),
    Case("server frozen at a random moment", _freeze_random, LOSS_AIM_MS),
    Case("server and one of its renewers lost", _lose_with_renewer, LOSS_AIM_MS),
)

DOMAIN_CASES = (
    Case(
        "failure domain lost, 24 servers, 8 ms one way",
        FAULTS.get("failure domain lost"),
        LOSS_AIM_MS,
        _DOMAIN,
    ),
    Case(
        "failure domain of the acting controller lost, 24 servers, 8 ms one way",
        FAULTS.get("failure domain of the acting controller lost"),
        LOSS_AIM_MS,
        _DOMAIN,
    ),
)

OPTION_CASES = (
    Case("renewal every 250 ms", _freeze_random, LOSS_AIM_MS, runs=50),
    Case(
        "renewal every 150 ms",
        _freeze_random,
        LOSS_AIM_MS,
        ownership={"renew_interval_ms": 150},
        runs=50,
    ),
    Case(
        "renewal every 150 ms, suspicion after 300 ms",
        _freeze_random,
        LOSS_AIM_MS,
        ownership={"renew_interval_ms": 150, "suspect_after_ms": 300},
        runs=50,
    ),
    Case(
        "lease of 800 ms, renewal every 150 ms, suspicion after 300 ms",
        _freeze_random,
        LOSS_AIM_MS,
        ownership={"lease_ttl_ms": 800, "renew_interval_ms": 150, "suspect_after_ms": 300},
        runs=50,
    ),
)


def _rig_in_force(seed: int, sample_ms: int, case: Case) -> ControllerRig:
    ownership = OwnershipSettings(**case.ownership)
    options = RigOptions(seed=seed, sample_ms=sample_ms, ownership=ownership, **case.options)
    rig = ControllerRig(options)
    rig.run_ms(500)
    rig.file_ticket(claims={"auftrag-1": "lb-03"})
    assert rig.run_until(rig.in_force, 20_000) is not None
    rig.run_ms(1_000 + rig.rng.randrange(500))
    return rig


def measure_gaps(case: Case, first_seed: int, runs: int) -> HdrHistogram:
    """Return a histogram of ms without a serving owner, one value per run: the longest of a key.

    Runs in which no sampled key was affected are counted as 0 ms.
    """
    histogram = HdrHistogram(1, 60_000, 3)
    for seed in range(first_seed, first_seed + runs):
        rig = _rig_in_force(seed, 4 if case.options else 1, case)
        begun_ms = rig.now_ms
        case.hit(rig)
        rig.run_ms(1_500 if case.aim_ms == MOVE_AIM_MS else 2_500)
        histogram.record_value(rig.checks.longest_gap_ms(begun_ms))
    return histogram


def _gap_row(case: Case, first_seed: int, runs: int) -> list[Cell]:
    found = measure_gaps(case, first_seed, runs)
    percentiles = [int(found.get_value_at_percentile(p)) for p in (50, 90, 99, 100)]
    verdict = "met" if percentiles[-1] <= case.aim_ms else "not met"
    return [case.name, runs, *percentiles, f"{case.aim_ms}: {verdict}"]


def _gap_table(title: str, cases: tuple[Case, ...], options: Options) -> Table:
    columns = ("case", "runs", "p50 [ms]", "p90 [ms]", "p99 [ms]", "longest [ms]", "aim [ms]")
    table = Table(title, columns)
    for index, case in enumerate(cases):
        runs = 5 if options.quick else case.runs
        table.rows.append(_gap_row(case, options.seed + 1_000 * index, runs))
    return table


def _per_second(rig: ControllerRig, duration_ms: int) -> tuple[int, int, int]:
    """Run on and return all row writes, the most writes and the most reads in one second."""
    writes, reads = [], []
    for _ in range(duration_ms // 1_000):
        before = (rig.table.write_count, rig.table.read_count)
        rig.run_ms(1_000)
        writes.append(rig.table.write_count - before[0])
        reads.append(rig.table.read_count - before[1])
    return sum(writes), max(writes), max(reads)


def _table_rows(server_count: int, seed: int) -> list[list[Cell]]:
    buckets = 1 << (server_count * 64 - 1).bit_length()
    size = {"server_count": server_count, "nodes_per_domain": 4, "hash_buckets": buckets}
    case = Case("", _claim, 0, size)
    hits: list[tuple[str, Callable[[ControllerRig], None] | None]] = [
        ("idle", None),
        ("ticket: a server leaves", _leave),
        ("failure domain lost", FAULTS.get("failure domain lost")),
    ]
    rig = _rig_in_force(seed, 20, case)
    # The clearing of previous holders and the first balancing end before the idle time.
    rig.run_ms(6_000)
    rows: list[list[Cell]] = []
    for name, hit in hits:
        begun_ms = rig.now_ms
        if hit is not None:
            hit(rig)
        total, most, reads = _per_second(rig, WATCHED_MS)
        aim = 1 if hit is None else TABLE_WRITES_PER_S // 4
        verdict = f"{aim}: {'met' if most <= aim else 'not met'}"
        gap_ms = rig.checks.longest_gap_ms(begun_ms)
        gap_verdict = f"{LOSS_AIM_MS}: {'met' if gap_ms <= LOSS_AIM_MS else 'not met'}"
        rows.append([server_count, name, total, most, verdict, reads, gap_ms, gap_verdict])
    return rows


def _table_load(options: Options, counts: tuple[int, ...]) -> Table:
    table = Table(
        f"Operations of the table service, {WATCHED_MS // 1000} s watched",
        (
            "servers",
            "while",
            "row writes",
            "most writes in one second",
            "aim [writes/s]",
            "most reads in one second",
            "longest time without an owner [ms]",
            "aim [ms]",
        ),
    )
    for count in counts[: 1 if options.quick else None]:
        table.rows += _table_rows(count, options.seed)
    return table


def _findings(tables: list[Table]) -> list[str]:
    missed = [
        f"{row[0]} servers, {row[1]}" if isinstance(row[0], int) else str(row[0])
        for table in tables
        for row in table.rows
        if any("not met" in str(cell) for cell in row)
    ]
    return [f"Aim not met: {name}." for name in missed] or ["All aims are met."]


METHOD = (
    "Runs in virtual time of the controllers, renewers and grant holders of this project with"
    " an in-memory table (`nutmeglead/controller/tests/rig.py`): 6 servers in 3 failure domains"
    " with 2 entry VMs each and 4 ms one way with up to 2 ms of jitter, unless stated. Clocks"
    " differ and drift by up to 500 ppm. CPU time of the processes counts as 0.",
    "",
    "One value per run: the longest time in which one of 11 sampled keys was served by nobody,"
    " from the fault on, in steps of 1 ms (4 ms with 24 servers). The VM list is 30 s late.",
    "",
    "The aims are 2000 ms from a loss, 200 ms for a planned move (three message delays plus"
    " retries), and a quarter of 300 table writes/s, near none when idle. Reads by the poll for new"
    " tickets (2 per s) are not included.",
)


@BENCHMARKS.register("handover")
def handover(options: Options) -> Report:
    """Measure times without a serving owner in planned moves and losses of servers."""
    tables = [
        _gap_table("Time without a serving owner", CASES, options),
        _gap_table("Options for a frozen server", OPTION_CASES, options),
    ]
    return Report("Handover: time without an owner", METHOD, tables, _findings(tables))


@BENCHMARKS.register("handover_domain")
def handover_domain(options: Options) -> Report:
    """Measure times without a serving owner when a failure domain is lost."""
    tables = [_gap_table("Time without a serving owner", DOMAIN_CASES[:1], options)]
    return Report("Handover: loss of a failure domain", METHOD, tables, _findings(tables))


@BENCHMARKS.register("handover_acting_domain")
def handover_acting_domain(options: Options) -> Report:
    """Measure the same when the acting controller is lost with the failure domain."""
    tables = [_gap_table("Time without a serving owner", DOMAIN_CASES[1:], options)]
    title = "Handover: loss of the acting controller's failure domain"
    return Report(title, METHOD, tables, _findings(tables))


@BENCHMARKS.register("handover_table")
def handover_table(options: Options) -> Report:
    """Measure the load of the table service."""
    tables = [_table_load(options, SERVER_COUNTS[:2])]
    return Report("Handover: load of the table service", METHOD, tables, _findings(tables))


@BENCHMARKS.register("handover_table_430")
def handover_table_430(options: Options) -> Report:
    """Measure the same with 430 servers."""
    tables = [_table_load(options, SERVER_COUNTS[2:])]
    title = "Handover: load of the table service with 430 servers"
    return Report(title, METHOD, tables, _findings(tables))
