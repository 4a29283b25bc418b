"""Count needless ticket conflicts at 24,000 tickets a day filed by several operators."""

import heapq
import itertools
import random
import statistics
import sys
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field

from benchmarks.registry import BENCHMARKS, Options
from benchmarks.report import Report, Spread, Table
from nutmeglead._generated.tickets.ttypes import KeyClaim, ServerItem, ServerState, Ticket
from nutmeglead.tickets.items import BucketItem, TouchedItem, touched_items
from nutmeglead.tickets.merge import collide

__all__ = ["Figures", "main", "run"]

TICKETS_PER_DAY = 24_000
DAY_S = 86_400
SEED_COUNT = 5
# An operator who was refused this often gives up for the day.
MAX_ATTEMPTS = 4
# Time from reading the head to filing: a program, a prepared file, a careful look, a discussion.
PREPARATION_S = (1, 10, 60, 300)
RULES = ("head_only", "per_item")

SERVICES = 6
SERVERS_PER_SERVICE = 1083
HASH_BUCKETS = 1 << 17
PREFIXES = 5000
KEYS = 1_000_000
# The hottest 240 keys change within minutes; a tenth of the claims are about them.
HOT_KEYS = 240
HOT_SHARE = 0.1
MAX_ITEMS = 4


@dataclass
class Figures:
    """Count the outcomes of one day under one rule."""

    tickets: int = 0
    attempts: int = 0
    needless: int = 0
    contradicting: int = 0
    given_up: int = 0
    accepted_at_once: int = 0
    work_s: float = 0.0

    @property
    def needless_percent(self) -> float:
        """Return the share of filings that were refused without a contradiction."""
        return 100 * self.needless / self.attempts

    @property
    def contradicting_percent(self) -> float:
        """Return the share of filings that were refused because tickets contradict each other."""
        return 100 * self.contradicting / self.attempts

    @property
    def operators(self) -> float:
        """Return the mean number of operators at work at the same time."""
        return self.work_s / (DAY_S * self.tickets / TICKETS_PER_DAY)


@dataclass
class _Work:
    items: Sequence[TouchedItem]
    attempts: int = 0
    base: int = 0


def _make_items(rng: random.Random) -> Sequence[TouchedItem]:
    ticket = Ticket(servers=[], claims=[])
    for _ in range(rng.randint(1, MAX_ITEMS)):
        service = f"service-{rng.randrange(SERVICES)}"
        server_id = f"s-{rng.randrange(SERVERS_PER_SERVICE)}"
        if rng.random() < 0.5:
            state = ServerState.LEAVING if rng.random() < 0.5 else ServerState.PRESENT
            ticket.servers.append(
                ServerItem(service_name=service, server_id=server_id, state=state)
            )
        else:
            form = _make_form(rng)
            ticket.claims.append(KeyClaim(service_name=service, server_id=server_id, **form))
    return touched_items(ticket)


def _make_form(rng: random.Random) -> dict[str, object]:
    kind = rng.randrange(3)
    if kind == 0:
        hot = rng.random() < HOT_SHARE
        return {"key": f"{rng.randrange(PREFIXES)}/{rng.randrange(HOT_KEYS if hot else KEYS)}"}
    if kind == 1:
        return {"prefix": f"{rng.randrange(PREFIXES)}/"}
    first = rng.randrange(HASH_BUCKETS)
    return {"first_bucket": first, "last_bucket": min(HASH_BUCKETS - 1, first + rng.randrange(64))}


def _contradict(one: TouchedItem, two: TouchedItem) -> bool:
    """Tell whether the result of two tickets depends on their order, or defeats one of them.

    This is narrower than `collide`: equal changes agree, and of a key and a prefix that covers it
    the more specific applies whichever is filed first.
    """
    if not collide(one, two) or one.item == two.item:
        return False
    mine, theirs = one.item, two.item
    if not isinstance(mine, KeyClaim) or not isinstance(theirs, KeyClaim):
        return True
    if isinstance(one.item_id, BucketItem) or one.item_id == two.item_id:
        return bool(mine.server_id != theirs.server_id)
    return False


@dataclass
class _Day:
    """Replay one day of filings; arrivals are a Poisson process, preparation is exponential."""

    rule: str
    preparation_s: float
    rng: random.Random
    figures: Figures = field(default_factory=Figures)
    accepted: list[Sequence[TouchedItem]] = field(default_factory=list)
    events: list[tuple[float, int, _Work, bool]] = field(default_factory=list)
    order: Iterator[int] = field(default_factory=itertools.count)

    def run(self, ticket_count: int) -> Figures:
        arrival_s = 0.0
        for _ in range(ticket_count):
            arrival_s += self.rng.expovariate(TICKETS_PER_DAY / DAY_S)
            self._push(arrival_s, _Work(_make_items(self.rng)), False)
        self.figures.tickets = ticket_count
        while self.events:
            now_s, _, work, is_filing = heapq.heappop(self.events)
            if is_filing:
                self._file(now_s, work)
            else:
                self._begin(now_s, work)
        return self.figures

    def _push(self, time_s: float, work: _Work, is_filing: bool) -> None:
        heapq.heappush(self.events, (time_s, next(self.order), work, is_filing))

    def _begin(self, now_s: float, work: _Work) -> None:
        work.base = len(self.accepted)
        duration_s = self.rng.expovariate(1 / self.preparation_s)
        self.figures.work_s += duration_s
        self._push(now_s + duration_s, work, True)

    def _file(self, now_s: float, work: _Work) -> None:
        self.figures.attempts += 1
        work.attempts += 1
        later = self.accepted[work.base :]
        pairs = [(one, two) for other in later for two in other for one in work.items]
        colliding = [pair for pair in pairs if collide(*pair)]
        refused = bool(colliding) if self.rule == "per_item" else bool(later)
        if not refused:
            self.figures.accepted_at_once += work.attempts == 1
            self.accepted.append(work.items)
            return
        contradicting = any(_contradict(*pair) for pair in colliding)
        self.figures.contradicting += contradicting
        self.figures.needless += not contradicting
        if work.attempts < MAX_ATTEMPTS:
            self._begin(now_s, work)
        else:
            self.figures.given_up += 1


def run(seed: int, tickets: int = TICKETS_PER_DAY) -> dict[tuple[str, int], Figures]:
    """Return the figures of one day for each rule and preparation time."""
    return {
        (rule, preparation_s): _Day(rule, preparation_s, random.Random(seed)).run(tickets)
        for preparation_s in PREPARATION_S
        for rule in RULES
    }


def _report(runs: Sequence[dict[tuple[str, int], Figures]], tickets: int) -> Report:
    table = Table(
        f"{tickets} tickets at {TICKETS_PER_DAY} a day",
        (
            "preparation [s]",
            "rule",
            "operators at work",
            "needless refusals [% of filings]",
            "contradictions refused [% of filings]",
            "accepted at once [% of tickets]",
            f"not accepted in {MAX_ATTEMPTS} filings [% of tickets]",
        ),
    )
    for preparation_s in PREPARATION_S:
        for rule in RULES:
            days = [found[rule, preparation_s] for found in runs]
            table.rows.append(
                (
                    preparation_s,
                    rule,
                    Spread.of([day.operators for day in days]),
                    Spread.of([day.needless_percent for day in days]),
                    Spread.of([day.contradicting_percent for day in days]),
                    Spread.of([100 * day.accepted_at_once / day.tickets for day in days]),
                    Spread.of([100 * day.given_up / day.tickets for day in days]),
                )
            )
    return Report(
        "Ticket conflicts: head number against touched items",
        (
            "Tickets arrive as a Poisson process at the target rate. The operator reads the head,"
            " prepares for an exponentially distributed time with the given mean, and files. After"
            f" a refusal the operator prepares again from the new head, at most {MAX_ATTEMPTS}"
            " times.",
            "",
            f"A ticket has 1 to {MAX_ITEMS} items in {SERVICES} services: half are servers (of"
            f" {SERVERS_PER_SERVICE} per service), half are claims of a key, a prefix or up to 64"
            f" of {HASH_BUCKETS} buckets. `head_only` refuses if the head moved; `per_item` refuses"
            " if `nutmeglead.tickets.merge.collide` holds for an item of a later ticket. A refusal"
            " is needless if the tickets do not contradict each other: the result is the same in"
            " either order and defeats neither. Equal changes, and a key with a prefix that covers"
            " it, collide but do not contradict. The mix of items is an assumption.",
            "",
            f"{len(runs)} seeds, the given one and those that follow it.",
        ),
        [table],
        _findings(runs),
    )


def _findings(runs: Sequence[dict[tuple[str, int], Figures]]) -> list[str]:
    found = []
    for preparation_s in PREPARATION_S:
        needless = [day["head_only", preparation_s].needless_percent for day in runs]
        per_item = [day["per_item", preparation_s].needless_percent for day in runs]
        found.append(
            f"At {preparation_s} s of preparation `head_only` refuses"
            f" {statistics.median(needless):.2f}% of the filings needlessly, `per_item`"
            f" {statistics.median(per_item):.2f}%."
        )
    return found


@BENCHMARKS.register("ticket_conflicts")
def ticket_conflicts(options: Options) -> Report:
    """Compare the two conflict rules of nutmeglead.tickets.merge."""
    tickets = 2000 if options.quick else TICKETS_PER_DAY
    seeds = [options.seed] if options.quick else range(options.seed, options.seed + SEED_COUNT)
    return _report([run(seed, tickets) for seed in seeds], tickets)


def main(seed: int) -> None:
    """Print the figures of one day."""
    for (rule, preparation_s), figures in run(seed).items():
        print(f"{rule} {preparation_s} s: {figures}")


if __name__ == "__main__":
    main(int(sys.argv[1]))
