"""Measure the rows and bytes that the controller reads from and writes to the table service."""

from collections.abc import Callable
from dataclasses import dataclass

from benchmarks.fits import fit_row, fit_table
from benchmarks.registry import BENCHMARKS, Options
from benchmarks.report import Report, Spread, Table
from nutmeglead._generated.settings.ttypes import PlacementSettings
from nutmeglead.controller.tests.rig import ControllerRig, RigOptions
from nutmeglead.platform.memory import MemoryTable

__all__ = ["table_cost"]

SERVER_COUNTS = (12, 24, 48, 96)
MOVED_KEYS = (4, 16, 64, 256)
BUCKETS_PER_SERVER = 64
SEEDS = 3
DOMAINS = ("halle-a", "halle-b", "buero", "hof")
NODES_PER_DOMAIN = 3
LIMIT_MS = 60_000
QUIET_MS = 3_000
STEP_MS = 100
# The share of the servers that one wave of replacements takes.
WAVE_SHARE = 12


@dataclass
class Traffic:
    """Count operations, rows and bytes of keys and values."""

    role_reads: int = 0
    read_calls: int = 0
    read_rows: int = 0
    read_bytes: int = 0
    commits: int = 0
    checked_rows: int = 0
    written_rows: int = 0
    written_bytes: int = 0


class CountingTable(MemoryTable):
    """Count what passes between the controller and the table."""

    def __init__(self) -> None:
        super().__init__()
        self.traffic = Traffic()
        self.last_commit: int = 0

    async def read(self, key):
        """Read one row."""
        found = await super().read(key)
        if key.startswith("role/"):
            self.traffic.role_reads += 1
        else:
            self._count_read([found.unwrap()] if found.is_ok() and found.unwrap() else [])
        return found

    async def scan(self, prefix):
        """Read all rows of a prefix."""
        found = await super().scan(prefix)
        self._count_read(found.unwrap_or([]))
        return found

    async def commit(self, checks, writes):
        """Write rows in one transaction."""
        self.traffic.commits += 1
        self.traffic.checked_rows += len(checks)
        self.traffic.written_rows += len(writes)
        sizes = (len(write.key) + len(write.value or b"") for write in writes)
        self.traffic.written_bytes += sum(sizes)
        return await super().commit(checks, writes)

    def _count_read(self, rows):
        self.traffic.read_calls += 1
        self.traffic.read_rows += max(1, len(rows))
        self.traffic.read_bytes += sum(len(row.key) + len(row.value) for row in rows)


class Scene:
    """Run a rig whose table is counted, from a settled placement on."""

    def __init__(self, servers: int, seed: int) -> None:
        buckets = 1 << (servers * BUCKETS_PER_SERVER - 1).bit_length()
        options = RigOptions(
            domains=DOMAINS,
            nodes_per_domain=NODES_PER_DOMAIN,
            server_count=servers,
            hash_buckets=buckets,
            seed=seed,
            placement=PlacementSettings(policy="steady", round_interval_ms=1000, max_pins=1024),
        )
        self.rig = ControllerRig(options)
        self.pages = max(1, buckets // 256)
        self.rig.table = CountingTable()
        self.rig.file_ticket()
        self.settle("the first placement")
        self.table.traffic = Traffic()

    @property
    def table(self) -> CountingTable:
        """Return the counted table."""
        return self.rig.table

    def settle(self, what: str) -> int:
        """Run until the ticket is in force and no row has been written for a while; return ms."""
        rig, started_ms = self.rig, self.rig.now_ms
        quiet_since, commits = rig.now_ms, self.table.traffic.commits
        rig.run_ms(STEP_MS)
        while rig.now_ms - started_ms < LIMIT_MS:
            rig.run_ms(STEP_MS)
            if self.table.traffic.commits != commits or not rig.in_force():
                quiet_since, commits = rig.now_ms, self.table.traffic.commits
            if rig.now_ms - quiet_since >= QUIET_MS:
                return quiet_since - started_ms
        raise RuntimeError(f"{what} was not over after {LIMIT_MS} ms")


def take_role(scene: Scene) -> None:
    """Lose the entry VM that acts."""
    acting = scene.rig.acting()
    assert acting is not None
    acting.is_dead = True


def move_keys(scene: Scene, count: int) -> None:
    """File a ticket that claims keys, each for some server."""
    names = sorted(scene.rig.servers)
    claims = {f"article-{n:05}": names[n % len(names)] for n in range(count)}
    scene.rig.file_ticket(claims=claims)


def lose_server(scene: Scene) -> None:
    """Lose one server."""
    scene.rig.lose_server(sorted(scene.rig.servers)[1])


def lose_domain(scene: Scene) -> None:
    """Lose a failure domain without the acting controller."""
    acting = scene.rig.acting()
    assert acting is not None
    scene.rig.lose_domain(next(domain for domain in DOMAINS if domain != acting.domain))


def replace_wave(scene: Scene) -> None:
    """Let a twelfth of the servers leave and add as many in their failure domains."""
    rig = scene.rig
    leaving = sorted(rig.servers)[: max(1, len(rig.servers) // WAVE_SHARE)]
    for server_id in leaving:
        rig.add_server(f"new-{server_id}", rig.servers[server_id].domain)
    rig.file_ticket(leaving=leaving)


EVENTS: dict[str, Callable[[Scene], None]] = {
    "loss of the acting controller": take_role,
    "loss of one server": lose_server,
    "loss of a failure domain of four": lose_domain,
    "replacement of a twelfth of the servers": replace_wave,
}
COLUMNS = (
    "pages", "role row reads", "other read calls", "rows read", "bytes read", "transactions",
    "rows checked", "rows written", "bytes written", "until quiet [ms]",
)  # fmt: skip


def _run(servers: int, seed: int, event: Callable[[Scene], None]) -> tuple[float, ...]:
    scene = Scene(servers, seed)
    event(scene)
    took_ms = scene.settle(event.__name__)
    t = scene.table.traffic
    return (
        scene.pages, t.role_reads, t.read_calls, t.read_rows, t.read_bytes, t.commits,
        t.checked_rows, t.written_rows, t.written_bytes, took_ms,
    )  # fmt: skip


def _tables(
    name: str, size_name: str, sizes: tuple[int, ...], run: Callable[[int, int], tuple[float, ...]],
    seeds: list[int],
) -> list[Table]:  # fmt: skip
    table = Table(name[0].upper() + name[1:], (size_name, *COLUMNS))
    points: dict[str, list[tuple[float, list[float]]]] = {}
    for size in sizes:
        columns = list(zip(*(run(size, seed) for seed in seeds), strict=True))
        table.rows.append((size, int(columns[0][0]), *(Spread.of(c) for c in columns[1:])))
        for column, values in zip(COLUMNS[1:], columns[1:], strict=True):
            points.setdefault(column, []).append((size, list(values)))
    fits = fit_table()
    fits.title = f"Linear fits: {name}"
    fits.rows = [fit_row(column, size_name, points[column]) for column in COLUMNS[1:]]
    return [table, fits]


METHOD = [
    "One service in virtual time: the ControllerMachine against grant holders, "
    "renewers and an in-memory table that counts (nutmeglead/controller/tests/rig.py). "
    f"{len(DOMAINS)} failure domains with {NODES_PER_DOMAIN} entry VMs each, at least "
    f"{BUCKETS_PER_SERVER} buckets per server (a power of two of them), 256 buckets per page. A "
    f"run ends when the ticket is in force and nothing was written for {QUIET_MS} ms. "
    f"{SEEDS} seeds, the given one and those that follow it.",
    "",
    "Bytes are those of keys and values. A scan that finds nothing counts as one row. Checked "
    "rows are those whose version a transaction compares, among them the role row. Each of the "
    "other controllers reads the role row every 10 s; these reads are counted apart. The ticket "
    "is given to the machines directly, so reading and writing its own rows is not counted.",
]


@BENCHMARKS.register("table_cost")
def table_cost(options: Options) -> Report:
    """Measure each event at several sizes."""
    seeds = [options.seed + offset for offset in range(1 if options.quick else SEEDS)]
    counts = SERVER_COUNTS[:2] if options.quick else SERVER_COUNTS
    report = Report("What the controller reads from and writes to the table", METHOD)
    for name, event in EVENTS.items():
        report.tables += _tables(
            name, "servers", counts, lambda n, seed, event=event: _run(n, seed, event), seeds
        )
    moved = MOVED_KEYS[:2] if options.quick else MOVED_KEYS
    report.tables += _tables(
        "a ticket that moves k keys, 24 servers", "keys", moved,
        lambda n, seed: _run(24, seed, lambda scene: move_keys(scene, n)), seeds,
    )  # fmt: skip
    return report
